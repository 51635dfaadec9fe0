// Package attempt decides how to proceed after an attempt at a direct endpoint
// ends, and ends exchanges that time out or whose client disconnects.
//
// A request that certainly did not run may go to another endpoint. One that
// may have run is sent again only if its route allows that, within the
// attempts of the route and the retry budget of the service.
package attempt

import (
	"strconv"
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/duration"
	"laburnumroad.dev/laburnumroad/internal/system/quarantine"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// System is the name of this system in recorded decisions.
const System = "attempt"

const (
	// maxAttempts bounds the attempts of one exchange, including those in
	// which nothing was sent.
	maxAttempts = 6
	// declinedRetryAfter is the retry delay sent to clients after endpoints
	// declined: a busy endpoint frees a slot within the time of a short request.
	declinedRetryAfter = 300 * time.Millisecond
	// timeoutRetryAfter is the retry delay sent to clients whose request timed out
	// before it ran.
	timeoutRetryAfter = 100 * time.Millisecond
)

// Run handles ended attempts, disconnected clients and expired timers.
func Run(w *world.World) {
	for i := range w.In.DirectAttemptEnds {
		onAttemptEnd(w, &w.In.DirectAttemptEnds[i])
	}
	for _, e := range w.In.ClientDisconnects {
		onClientDisconnect(w, e.Exchange)
	}
	for {
		id, due := w.ExchangeTimers.PopDue(w.Now)
		if !due {
			break
		}
		if x := w.Exchanges.Get(id); x != nil {
			onTimer(w, x)
		}
	}
	w.WakeAt(w.ExchangeTimers.NextDue())
}

func onAttemptEnd(w *world.World, e *event.DirectAttemptEnd) {
	x := w.Exchanges.Get(e.Exchange)
	if x == nil || x.Attempt != e.Attempt {
		return
	}
	x.DeliveredEvents = max(x.DeliveredEvents, e.DeliveredEvents)
	if e.Status != event.DirectNotSent {
		x.SentAttempts++
	}
	if e.Status == event.DirectAnswered || e.Status == event.DirectOutcomeUnknown {
		x.MayHaveRun = true
	}
	switch x.State {
	case table.ExchangeStopping:
		x.State = table.ExchangeEnded
		w.ExchangesEnded.Add(x.ID)
	case table.ExchangeRunning:
		x.State = table.ExchangePlacing
		if e.ClientLost {
			onClientLost(w, x, e)
			return
		}
		retryOrFinish(w, x, e)
	}
}

// retryOrFinish lets an exchange wait for another endpoint after an attempt, or
// finishes it.
func retryOrFinish(w *world.World, x *table.Exchange, e *event.DirectAttemptEnd) {
	x.TriedEndpoints = append(x.TriedEndpoints, x.Endpoint)
	x.LastFailure = e.Reason
	failed := e.Failed()
	explain(w, x, "attempt ended: "+e.Status.String(), e)
	if failed && allowRetry(w, x, e) {
		w.Count("attempt.repeated")
		explain(w, x, "sent again", e)
		x.AnswerStarted = false
		w.ExchangesWaiting.Add(x.ID)
		return
	}
	switch {
	case e.Status == event.DirectAnswered:
		w.Count("attempt.answered")
		w.FinishExchange(x, true, table.Outcome{OK: !failed, Ran: table.DidRun})
	case !x.MayHaveRun:
		w.Count("attempt.declined")
		w.FinishExchange(x, false, table.Outcome{
			Code: table.CodeBusy, Reason: e.Reason, Ran: table.NotRun, RetryAfter: declinedRetryAfter,
		})
	default:
		w.Count("attempt.failed")
		w.FinishExchange(x, false, table.Outcome{Code: table.CodeEndpointFailed, Reason: e.Reason, Ran: table.RanUnknown})
	}
}

// allowRetry reports whether another attempt may be made. It charges the retry
// budget of the service if endpoints may already have received the request.
func allowRetry(w *world.World, x *table.Exchange, e *event.DirectAttemptEnd) bool {
	if _, quarantined := quarantine.Active(w, x.Fingerprint); quarantined || x.Attempt >= maxAttempts {
		return false
	}
	if quarantine.HasQuarantinedPart(w, x) {
		return false
	}
	if w.Draining && !e.HeaderDelivered && w.Now.Add(duration.UpperBound(w, x)) > w.DrainDeadline() {
		// The client has time to reach another router.
		return false
	}
	if e.Status == event.DirectNotSent && !x.MayHaveRun && x.SentAttempts == 0 {
		return true
	}
	if x.MayHaveRun && !x.Repeatable {
		return false
	}
	if e.HeaderDelivered && x.Kind != table.RouteStream {
		return false
	}
	return x.SentAttempts < x.MaxAttempts && consumeRetryBudget(w, x.Service)
}

// consumeRetryBudget takes one retry from the budget of the service, and
// reports whether one was left. The burst is a limit for all routers together
// and is divided among them.
func consumeRetryBudget(w *world.World, service table.ServiceName) bool {
	s := w.DirectServices.Get(service)
	if s == nil {
		return false
	}
	burst := w.Params.Front.RetryBurst / float64(max(1, w.LimitLedgerView.RouterCount))
	if burst+s.RetryBucketLevel < 1 {
		w.Count("attempt.retry_budget_used_up")
		return false
	}
	s.RetryBucketLevel--
	return true
}

func onClientDisconnect(w *world.World, id table.ExchangeID) {
	x := w.Exchanges.Get(id)
	if x == nil || x.State == table.ExchangeStopping || x.State == table.ExchangeEnded {
		return
	}
	w.Count("attempt.client_gone")
	explain(w, x, "the client left", nil)
	w.FinishExchange(x, false, table.Outcome{Code: table.CodeCancelled, Reason: "the client left", Ran: table.RanUnknown})
}

// onClientLost ends an exchange whose client did not take its answer. Another endpoint
// would answer nobody.
func onClientLost(w *world.World, x *table.Exchange, e *event.DirectAttemptEnd) {
	w.Count("attempt.client_lost")
	explain(w, x, "the client did not take the answer", e)
	w.FinishExchange(x, false, table.Outcome{Code: table.CodeCancelled, Reason: e.Reason, Ran: table.RanUnknown})
}

// onTimer ends an exchange whose ClientDeadline or RouteDeadline has passed.
func onTimer(w *world.World, x *table.Exchange) {
	if x.State == table.ExchangeStopping || x.State == table.ExchangeEnded {
		return
	}
	expiry := min(x.RouteDeadline, x.ClientDeadline)
	if expiry > w.Now {
		w.ExchangeTimers.Schedule(x.ID, expiry)
		return
	}
	outcome := table.Outcome{Code: table.CodeTimeout, Reason: "the timeout of the route passed", Ran: table.RanUnknown}
	if !x.MayHaveRun && x.State != table.ExchangeRunning {
		outcome.Ran, outcome.RetryAfter = table.NotRun, timeoutRetryAfter
	}
	w.Count("attempt.timeout")
	explain(w, x, "ended: "+outcome.Reason, nil)
	w.FinishExchange(x, false, outcome)
}

func explain(w *world.World, x *table.Exchange, decision string, e *event.DirectAttemptEnd) {
	var inputs []table.Input
	if e != nil {
		inputs = append(inputs,
			table.Input{Name: "status", Value: strconv.Itoa(e.HTTPStatus)},
			table.Input{Name: "events", Value: strconv.FormatInt(e.DeliveredEvents, 10)},
			table.Input{Name: "reason", Value: e.Reason})
	}
	if e != nil && x.FirstEventAt != 0 {
		inputs = append(inputs,
			table.Input{Name: "first_event", Value: x.FirstEventAt.Sub(x.ArrivedAt).Round(time.Millisecond).String()},
			table.Input{Name: "longest_gap", Value: e.LongestGap.Round(time.Millisecond).String()})
	}
	w.RecordAttemptDecision(x, System, decision, inputs...)
}
