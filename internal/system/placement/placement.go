// Package placement decides which direct endpoint an HTTP request goes to.
//
// Model requests prefer endpoints that have their prompt cached. Routers that
// know nothing of each other agree on where a prompt belongs by rendezvous
// hashing, and leave that place only if it is much busier than another one.
package placement

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// System names this system in explanations.
const System = "placement"

const (
	// patienceShare is the part of a request's objective for which it may wait
	// for an endpoint before it is refused; patienceLeast serves short objectives.
	patienceShare = 8
	patienceLeast = 20 * time.Millisecond
	// waitStep is how often waiting requests are looked at again.
	waitStep = 10 * time.Millisecond
	// noEndpointRetry is what a refused client is told: a crashed endpoint is
	// back, or a replacement listed, within about a second or two.
	noEndpointRetry = 500 * time.Millisecond
	// leastTime is the time a request must have left to be worth sending.
	leastTime = 5 * time.Millisecond
)

// Run places the requests that wait for an endpoint.
func Run(w *world.World) {
	for _, id := range w.ExchangesWaiting.Keys() {
		x := w.Exchanges.Get(id)
		if x.State != table.ExchangePlacing {
			continue
		}
		place(w, x)
	}
}

func place(w *world.World, x *table.Exchange) {
	c := candidates(w, x)
	if len(c) == 0 {
		wait(w, x)
		return
	}
	best, considered := choose(w, x, c)
	send(w, x, best, considered)
}

// wait leaves a request waiting for an endpoint, or refuses it while the client
// still has time to come back.
func wait(w *world.World, x *table.Exchange) {
	due := x.Arrived.Add(max(patienceLeast, x.Objective/patienceShare))
	if x.Sent > 0 {
		due = x.SentAt.Add(max(patienceLeast, x.Objective))
	}
	if w.Now < due {
		w.WakeAt(min(due, w.Now.Add(waitStep)))
		return
	}
	o := table.Outcome{Code: table.CodeNoEndpoint, Reason: "no endpoint of the service can take work", Ran: table.NotRun, RetryAfter: noEndpointRetry}
	if x.MayHaveRun {
		o.Code, o.Reason, o.Ran = table.CodeEndpointFailed, "no endpoint is left after: "+x.LastFailure, table.RanUnknown
	}
	w.Count("placement.refused")
	w.Explain(x.Request, System, "refused: "+o.Reason, table.Input{Name: "age", Value: w.Now.Sub(x.Arrived).String()})
	w.FinishExchange(x, false, o)
}

// candidates returns the endpoints that may get the request. Endpoints that it
// tried before, and suspects, are left out unless no others remain.
func candidates(w *world.World, x *table.Exchange) []*table.DirectEndpoint {
	var usable []*table.DirectEndpoint
	w.DirectEndpoints.Each(func(_ table.EndpointID, e *table.DirectEndpoint) {
		if e.Service == x.Service && !e.Leaving {
			usable = append(usable, e)
		}
	})
	usable = table.Prefer(usable, func(e *table.DirectEndpoint) bool { return !slices.Contains(x.Tried, e.ID) })
	return table.Prefer(usable, func(e *table.DirectEndpoint) bool { return e.SuspectUntil <= w.Now })
}

func send(w *world.World, x *table.Exchange, e *table.DirectEndpoint, considered []scored) {
	left := min(x.Timeout, x.Deadline).Sub(w.Now)
	if left < leastTime {
		// The timer of the exchange ends it.
		return
	}
	w.ExchangesWaiting.Remove(x.ID)
	x.State = table.ExchangeRunning
	x.Attempt++
	x.Endpoint, x.SentAt, x.Started = e.ID, w.Now, false
	x.Prefill = x.Prompt - cached(w, x, e)
	e.InFlight++
	e.Unstarted++
	e.PrefillTokens += x.Prefill
	w.Out.EndpointCalls = append(w.Out.EndpointCalls, command.CallEndpoint{
		Exchange: x.ID, Attempt: x.Attempt, Endpoint: e.ID, Address: e.Address, Service: e.Service,
		Customer: x.Customer, TimeLeft: left, Stream: x.Kind == table.RouteStream, Priority: x.Priority,
	})
	w.Count("placement.sent")
	explain(w, x, e, considered)
}

func explain(w *world.World, x *table.Exchange, e *table.DirectEndpoint, considered []scored) {
	inputs := []table.Input{
		{Name: "in_flight", Value: strconv.Itoa(e.InFlight - 1)},
		{Name: "report_age", Value: w.Now.Sub(e.ReportedAt).Round(time.Millisecond).String()},
		{Name: "candidates", Value: strconv.Itoa(len(considered))},
	}
	if x.Prompt > 0 {
		inputs = append(inputs, table.Input{Name: "prefill", Value: strconv.FormatInt(int64(x.Prefill), 10)})
	}
	w.ExplainAttempt(x, System, "sent", inputs...)
}

// rendezvous orders endpoints for a prompt part in the same way at all routers.
func rendezvous(part string, id table.EndpointID) uint64 {
	d := xxhash.New()
	// Writing to a digest does not fail.
	_, _ = d.WriteString(part)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}
