// Package placement decides which direct endpoint gets an HTTP request.
//
// Model requests prefer endpoints that have their prompt cached. Routers do
// not coordinate: each assigns shared prompts to endpoints by rendezvous
// hashing, and chooses another endpoint only if the assigned one is much
// busier.
package placement

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/system/eligibility"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// System is the name of this system in recorded decisions.
const System = "placement"

// minTimeLeft is the least time until its timeout for which a request is sent.
const minTimeLeft = 5 * time.Millisecond

// Run sends the waiting requests to endpoints.
func Run(w *world.World) {
	var waiting []*table.Exchange
	for _, id := range w.ExchangesWaiting.Keys() {
		if x := w.Exchanges.Get(id); x.State == table.ExchangePlacing {
			waiting = append(waiting, x)
		}
	}
	if len(waiting) > 1 && eligibility.AnyLimited(w) {
		// The more urgent requests get what endpoints admit.
		slices.SortStableFunc(waiting, func(a, b *table.Exchange) int { return cmp.Compare(a.Priority, b.Priority) })
	}
	for _, x := range waiting {
		place(w, x)
	}
}

func place(w *world.World, x *table.Exchange) {
	candidates, avoidedCold := eligibleEndpoints(w, x)
	if len(candidates) == 0 {
		waitOrRefuse(w, x)
		return
	}
	if avoidedCold {
		w.Count("placement.avoided_cold")
	}
	best, scored := chooseEndpoint(w, x, candidates)
	send(w, x, best, scored)
}

// send starts an attempt at an endpoint and adds it to the endpoint's load.
func send(w *world.World, x *table.Exchange, e *table.DirectEndpoint, scored []scoredEndpoint) {
	timeLeft := min(x.RouteDeadline, x.ClientDeadline).Sub(w.Now)
	if timeLeft < minTimeLeft {
		// The timer of the exchange ends it.
		return
	}
	eligibility.Take(w, e)
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
