// Package drain shuts a process down gracefully: it gets no new work, finishes the
// work in progress, returns its grants and exits.
package drain

import (
	"cmp"
	"strconv"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// systemName is the name of this system in recorded decisions.
const systemName = "drain"

// defaultGrantReturnTimeout bounds how long an idle router waits for the platform to
// take back its unused grants if Params.GrantReturnTimeout is not set. The recovery
// system returns grants that are left after that.
const defaultGrantReturnTimeout = 5 * time.Second

const (
	abortReason = "the drain timeout passed"
	// abortRetryAfter is the retry delay of requests that did not run: other routers
	// take them.
	abortRetryAfter = 50 * time.Millisecond
)

// bodyRefusalMargin is the part of the closing period that is left for refusing requests
// whose body is not complete.
const bodyRefusalMargin = 200 * time.Millisecond

// System holds the state of one shutdown.
type System struct {
	draining  bool
	startedAt table.Instant
	idleSince table.Instant
	exited    bool
}

// New returns the drain system.
func New() *System { return &System{} }

// Run implements world.System. The recovery system also starts a drain, when this
// incarnation was fenced.
func (s *System) Run(w *world.World) {
	if len(w.In.Shutdowns) > 0 {
		w.Draining = true
	}
	if !w.Draining || s.exited {
		return
	}
	if !s.draining {
		s.draining, s.startedAt, w.DrainStartedAt = true, w.Now, w.Now
		w.RecordStateChange("process", string(w.Self().Process), "serving", "draining", drainReason(w))
		// The other systems need a tick in which they see the drain before it can
		// end.
		w.WakeAt(w.Now)
		return
	}
	s.advance(w)
}

func drainReason(w *world.World) string {
	if fenced(w) {
		return "this incarnation was fenced"
	}
	return "shutdown requested"
}

func fenced(w *world.World) bool { return w.FencedHolders.Get(w.Self()) != nil }

// advance exits the process if it is idle or out of time, and otherwise schedules
// the next check.
func (s *System) advance(w *world.World) {
	deadline := s.startedAt.Add(w.Params.DrainTimeout)
	if w.Now >= deadline {
		s.endExchanges(w)
		s.exit(w, "drain_timeout passed with work in progress")
		return
	}
	w.WakeAt(deadline)
	closingAt := deadline.Add(-w.Params.ClosingPeriod)
	if earliestEnd := min(closingAt, s.startedAt.Add(w.Params.MinDrainTime)); w.Now < earliestEnd {
		w.WakeAt(earliestEnd)
		return
	}
	if w.Now < closingAt && hasWork(w) {
		w.WakeAt(closingAt)
		return
	}
	if !w.Closing {
		w.Closing = true
		w.Out.BodyReadLimits = append(w.Out.BodyReadLimits, command.LimitBodyReads{Within: max(0, w.Params.ClosingPeriod-bodyRefusalMargin)})
	}
	if hasWork(w) {
		s.idleSince = 0
		return
	}
	if s.idleSince == 0 {
		s.idleSince = w.Now
	}
	if !holdsGrants(w) {
		s.exit(w, "all work finished")
		return
	}
	if returnDeadline := s.idleSince.Add(cmp.Or(w.Params.GrantReturnTimeout, defaultGrantReturnTimeout)); w.Now < returnDeadline {
		w.WakeAt(returnDeadline)
		return
	}
	s.exit(w, "all work finished, grants not returned")
}

func hasWork(w *world.World) bool {
	if w.Requests.Len() > 0 || w.Exchanges.Len() > 0 {
		return true
	}
	inFlight := 0
	if w.Params.Self.Role == table.RoleAgent {
		w.Endpoints.Each(func(_ table.EndpointID, e *table.Endpoint) { inFlight += e.InFlight })
	}
	return inFlight > 0
}

// holdsGrants reports whether a ledger still records a grant or limit that this
// process can return itself.
func holdsGrants(w *world.World) bool {
	if fenced(w) {
		return false
	}
	held := w.Accounts.Len() > 0 && !w.LimitLedgerView.EntryClosed
	w.Budgets.Each(func(_ table.BudgetID, b *table.Budget) {
		held = held || b.Granted > 0 || b.Unsettled > 0
	})
	return held
}

// endExchanges ends the requests that are in progress when the process exits. A client
// whose answer has not begun gets a refusal, which says whether the request may have run;
// the other answers are cut off. accepted_after is negative for requests that arrived
// before the shutdown request.
func (s *System) endExchanges(w *world.World) {
	for _, id := range openExchanges(w) {
		x := w.Exchanges.Get(id)
		w.Count("drain.aborted")
		w.RecordAttemptDecision(x, systemName, "aborted: "+abortReason,
			table.Input{Name: "accepted_after", Value: x.ArrivedAt.Sub(s.startedAt).Round(time.Millisecond).String()},
			table.Input{Name: "answer_started", Value: strconv.FormatBool(x.FirstEventAt != 0)})
		outcome := table.Outcome{Code: table.CodeDraining, Reason: abortReason, Ran: table.RanUnknown}
		if x.State != table.ExchangeRunning && !x.MayHaveRun {
			outcome.Ran, outcome.RetryAfter = table.NotRun, abortRetryAfter
		}
		w.FinishExchange(x, false, outcome)
	}
}

// openExchanges returns the requests that have not been answered.
func openExchanges(w *world.World) []table.ExchangeID {
	var open []table.ExchangeID
	w.Exchanges.Each(func(id table.ExchangeID, x *table.Exchange) {
		if x.State != table.ExchangeStopping && x.State != table.ExchangeEnded {
			open = append(open, id)
		}
	})
	return open
}

func (s *System) exit(w *world.World, reason string) {
	// A process that was frozen may come here without a closing period.
	s.exited, w.Closing = true, true
	w.RecordStateChange("process", string(w.Self().Process), "draining", "stopped", reason)
	// A request that is being read and an answer that is being written have no row:
	// their clients get the rest of the time.
	w.Out.Exits = append(w.Out.Exits, command.Exit{
		Reason: reason, GrantsReturned: !fenced(w) && !holdsGrants(w), CloseTimeout: max(0, w.DrainDeadline().Sub(w.Now)),
	})
}
