// Package placement decides which direct endpoint gets an HTTP request.
//
// Model requests prefer endpoints that have their prompt cached. Routers do
// not coordinate: each assigns shared prompts to endpoints by rendezvous
// hashing, and chooses another endpoint only if the assigned one is much
// busier.
package placement

import (
	"slices"
	"strconv"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/system/notice"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// System is the name of this system in recorded decisions.
const System = "placement"

const (
	// A request waits for an endpoint for its latency objective divided by
	// waitObjectiveDivisor, but at least for minEndpointWait.
	waitObjectiveDivisor = 8
	minEndpointWait      = 20 * time.Millisecond
	// recheckInterval is the interval at which waiting requests are checked
	// again.
	recheckInterval = 10 * time.Millisecond
	// noEndpointRetryAfter is the retry delay sent to refused clients: a crashed
	// endpoint restarts, or a replacement is listed, within a second or two.
	noEndpointRetryAfter = 500 * time.Millisecond
	// minTimeLeft is the least time until its timeout for which a request is
	// sent.
	minTimeLeft = 5 * time.Millisecond
)

// Run sends the waiting requests to endpoints.
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
	candidates := eligibleEndpoints(w, x)
	if len(candidates) == 0 {
		waitOrRefuse(w, x)
		return
	}
	best, scored := chooseEndpoint(w, x, candidates)
	send(w, x, best, scored)
}

// waitOrRefuse keeps a request waiting for an endpoint, or refuses it early
// enough for the client to retry.
func waitOrRefuse(w *world.World, x *table.Exchange) {
	waitEnd := x.ArrivedAt.Add(max(minEndpointWait, x.LatencyObjective/waitObjectiveDivisor))
	if x.SentAttempts > 0 {
		waitEnd = x.AttemptSentAt.Add(max(minEndpointWait, x.LatencyObjective))
	}
	limited, wait := limitsEndIn(w, x.Service)
	if w.Now < waitEnd && !(limited && w.Now.Add(wait) > waitEnd) {
		w.WakeAt(min(waitEnd, w.Now.Add(recheckInterval)))
		return
	}
	outcome := table.Outcome{Code: table.CodeNoEndpoint, Reason: "no endpoint of the service can take work", Ran: table.NotRun, RetryAfter: noEndpointRetryAfter}
	if limited {
		w.Count("placement.limited")
		outcome.Reason = "the limits that the endpoints named are used up"
		// Clients that are refused at the same time come back one after the other.
		outcome.RetryAfter = wait + time.Duration(w.Rand.Int64N(int64(noEndpointRetryAfter)))
	}
	if x.MayHaveRun {
		outcome.Code, outcome.Reason, outcome.Ran = table.CodeEndpointFailed, "no endpoint is left after: "+x.LastFailure, table.RanUnknown
	}
	w.Count("placement.refused")
	w.RecordDecision(x.Request, System, "refused: "+outcome.Reason, table.Input{Name: "age", Value: w.Now.Sub(x.ArrivedAt).String()})
	w.FinishExchange(x, false, outcome)
}

// limitsEndIn reports whether only the limits that endpoints of a service named keep this
// router from sending to them, and how long it takes until one takes a request. If none
// does as long as its limit stands, that is the time after which a client may try again,
// at another router.
func limitsEndIn(w *world.World, service table.ServiceName) (bool, time.Duration) {
	limited, anyShare, wait := false, false, noEndpointRetryAfter
	w.DirectEndpoints.Each(func(_ table.EndpointID, e *table.DirectEndpoint) {
		if e.Service != service || e.Leaving {
			return
		}
		limited = true
		if in, hasShare := notice.AdmitsIn(w, e.ID); hasShare && (!anyShare || in < wait) {
			anyShare, wait = true, in
		}
	})
	return limited, wait
}

// eligibleEndpoints returns the endpoints that may get the request. Endpoints
// that it was sent to before and suspect endpoints are excluded unless no
// others remain; those whose limit this router has used up always are.
func eligibleEndpoints(w *world.World, x *table.Exchange) []*table.DirectEndpoint {
	var usable []*table.DirectEndpoint
	w.DirectEndpoints.Each(func(_ table.EndpointID, e *table.DirectEndpoint) {
		if e.Service == x.Service && !e.Leaving && notice.Admits(w, e.ID) {
			usable = append(usable, e)
		}
	})
	usable = table.FilterOrAll(usable, func(e *table.DirectEndpoint) bool { return !slices.Contains(x.TriedEndpoints, e.ID) })
	return table.FilterOrAll(usable, func(e *table.DirectEndpoint) bool { return e.SuspectUntil <= w.Now })
}

// send starts an attempt at an endpoint and adds it to the endpoint's load.
func send(w *world.World, x *table.Exchange, e *table.DirectEndpoint, scored []scoredEndpoint) {
	timeLeft := min(x.RouteDeadline, x.ClientDeadline).Sub(w.Now)
	if timeLeft < minTimeLeft {
		// The timer of the exchange ends it.
		return
	}
	notice.Take(w, e.ID)
	w.ExchangesWaiting.Remove(x.ID)
	x.State = table.ExchangeRunning
	x.Attempt++
	x.Endpoint, x.AttemptSentAt, x.AnswerStarted = e.ID, w.Now, false
	x.PrefillTokens = x.PromptTokens - cachedTokens(w, x, e)
	e.InFlight++
	e.AwaitingFirstEvent++
	e.PrefillTokens += x.PrefillTokens
	w.Out.EndpointCalls = append(w.Out.EndpointCalls, command.CallEndpoint{
		Exchange: x.ID, Attempt: x.Attempt, Endpoint: e.ID, Address: e.Address, Service: e.Service,
		Customer: x.Customer, TimeLeft: timeLeft, Stream: x.Kind == table.RouteStream, Priority: x.Priority,
	})
	w.Count("placement.sent")
	explain(w, x, e, scored)
}

func explain(w *world.World, x *table.Exchange, e *table.DirectEndpoint, scored []scoredEndpoint) {
	inputs := []table.Input{
		{Name: "in_flight", Value: strconv.Itoa(e.InFlight - 1)},
		{Name: "report_age", Value: w.Now.Sub(e.ReportedAt).Round(time.Millisecond).String()},
		{Name: "candidates", Value: strconv.Itoa(len(scored))},
	}
	if x.PromptTokens > 0 {
		inputs = append(inputs, table.Input{Name: "prefill", Value: strconv.FormatInt(int64(x.PrefillTokens), 10)})
	}
	w.RecordAttemptDecision(x, System, "sent", inputs...)
}
