// Package attempt decides what follows the end of an attempt at a direct
// endpoint, and ends exchanges whose time is over or whose client left.
//
// A request that certainly did not run may go to another endpoint. One that may
// have run is sent again only if its route allows that, within the attempts of
// the route and the retry budget of the service.
package attempt

import (
	"strconv"
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/quarantine"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// System names this system in explanations.
const System = "attempt"

const (
	// maxAttempts bounds the attempts of one exchange that reach no endpoint.
	maxAttempts = 6
	// declinedRetry is what a client is told after endpoints declined: a busy
	// endpoint frees a slot within the time of a short request.
	declinedRetry = 300 * time.Millisecond
	// timeoutRetry is what a client is told when the route's timeout passed
	// before its request was sent.
	timeoutRetry = 100 * time.Millisecond
)

// Run handles what attempts and clients did in this tick, and what is due.
func Run(w *world.World) {
	for i := range w.In.DirectEnds {
		ended(w, &w.In.DirectEnds[i])
	}
	for _, e := range w.In.ClientsGone {
		clientGone(w, e.Exchange)
	}
	for {
		id, due := w.ExchangeTimers.Pop(w.Now)
		if !due {
			break
		}
		if x := w.Exchanges.Get(id); x != nil {
			timer(w, x)
		}
	}
	w.WakeAt(w.ExchangeTimers.Next())
}

func ended(w *world.World, e *event.DirectEnd) {
	x := w.Exchanges.Get(e.Exchange)
	if x == nil || x.Attempt != e.Attempt {
		return
	}
	x.Events = max(x.Events, e.Events)
	if e.Status != event.DirectUnreached {
		x.Sent++
	}
	if e.Status == event.DirectAnswered || e.Status == event.DirectBroken {
		x.MayHaveRun = true
	}
	switch x.State {
	case table.ExchangeStopping:
		x.State = table.ExchangeEnded
		w.ExchangesEnded.Add(x.ID)
	case table.ExchangeRunning:
		x.State = table.ExchangePlacing
		follow(w, x, e)
	}
}

// follow decides what comes after an attempt of an exchange that is still wanted.
func follow(w *world.World, x *table.Exchange, e *event.DirectEnd) {
	x.Tried = append(x.Tried, x.Endpoint)
	x.LastFailure = e.Reason
	failed := e.Failed()
	explain(w, x, "attempt ended: "+e.Status.String(), e)
	if failed && again(w, x, e) {
		w.Count("attempt.repeated")
		explain(w, x, "sent again", e)
		x.Started = false
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
			Code: table.CodeBusy, Reason: e.Reason, Ran: table.NotRun, RetryAfter: declinedRetry,
		})
	default:
		w.Count("attempt.failed")
		w.FinishExchange(x, false, table.Outcome{Code: table.CodeEndpointFailed, Reason: e.Reason, Ran: table.RanUnknown})
	}
}

// again reports whether another attempt may be made, and takes it from the
// retry budget of the service if endpoints would see it as a repeat.
func again(w *world.World, x *table.Exchange, e *event.DirectEnd) bool {
	if _, refused := quarantine.Refused(w, x.Fingerprint); refused || x.Attempt >= maxAttempts {
		return false
	}
	if e.Status == event.DirectUnreached && !x.MayHaveRun && x.Sent == 0 {
		return true
	}
	if x.MayHaveRun && !x.Repeatable {
		return false
	}
	if e.Begun && x.Kind != table.RouteStream {
		return false
	}
	return x.Sent < x.MaxAttempts && takeRetry(w, x.Service)
}

// takeRetry uses one repeat of the service's retry budget, if there is one. The
// burst that all routers may use together is divided among them.
func takeRetry(w *world.World, name table.ServiceName) bool {
	s := w.DirectServices.Get(name)
	if s == nil {
		return false
	}
	burst := w.Params.Front.RetryBurst / float64(max(1, w.LimitShare.Routers))
	if burst+s.RetryLevel < 1 {
		w.Count("attempt.retry_budget_used_up")
		return false
	}
	s.RetryLevel--
	return true
}

func clientGone(w *world.World, id table.ExchangeID) {
	x := w.Exchanges.Get(id)
	if x == nil || x.State == table.ExchangeStopping || x.State == table.ExchangeEnded {
		return
	}
	w.Count("attempt.client_gone")
	explain(w, x, "the client left", nil)
	w.FinishExchange(x, false, table.Outcome{Code: table.CodeCancelled, Reason: "the client left", Ran: table.RanUnknown})
}

// timer ends an exchange whose client or route waits no longer.
func timer(w *world.World, x *table.Exchange) {
	if x.State == table.ExchangeStopping || x.State == table.ExchangeEnded {
		return
	}
	due := min(x.Timeout, x.Deadline)
	if due > w.Now {
		w.ExchangeTimers.Set(x.ID, due)
		return
	}
	o := table.Outcome{Code: table.CodeTimeout, Reason: "the timeout of the route passed", Ran: table.RanUnknown}
	if !x.MayHaveRun && x.State != table.ExchangeRunning {
		o.Ran, o.RetryAfter = table.NotRun, timeoutRetry
	}
	w.Count("attempt.timeout")
	explain(w, x, "ended: "+o.Reason, nil)
	w.FinishExchange(x, false, o)
}

func explain(w *world.World, x *table.Exchange, decision string, e *event.DirectEnd) {
	var inputs []table.Input
	if e != nil {
		inputs = append(inputs,
			table.Input{Name: "status", Value: strconv.Itoa(e.Code)},
			table.Input{Name: "events", Value: strconv.FormatInt(e.Events, 10)},
			table.Input{Name: "reason", Value: e.Reason})
	}
	if e != nil && x.FirstEventAt != 0 {
		inputs = append(inputs,
			table.Input{Name: "first_event", Value: x.FirstEventAt.Sub(x.Arrived).Round(time.Millisecond).String()},
			table.Input{Name: "longest_gap", Value: e.LongestGap.Round(time.Millisecond).String()})
	}
	w.ExplainAttempt(x, System, decision, inputs...)
}
