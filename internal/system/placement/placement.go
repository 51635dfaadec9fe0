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
	"laburnumroad.dev/laburnumroad/internal/system/load"
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
	send(w, x, &best, scored)
}

// send starts an attempt at an endpoint and adds it to the endpoint's load.
func send(w *world.World, x *table.Exchange, chosen *scoredEndpoint, scored []scoredEndpoint) {
	e := chosen.endpoint
	left := timeLeft(w, x)
	if left < minTimeLeft {
		// The timer of the exchange ends it.
		return
	}
	eligibility.Take(w, e)
	w.ExchangesWaiting.Remove(x.ID)
	x.State = table.ExchangeRunning
	x.Attempt++
	x.Endpoint, x.AttemptSentAt, x.AnswerStarted, x.AnswerContinued = e.ID, w.Now, false, false
	x.PrefillTokens = x.PromptTokens - cachedTokens(w, x, e)
	e.InFlight++
	load.CountSend(w, e, chosen.place == placeHome || chosen.place == placeSecond)
	e.AwaitingFirstEvent++
	e.PrefillTokens += x.PrefillTokens
	w.Out.EndpointCalls = append(w.Out.EndpointCalls, command.CallEndpoint{
		Exchange: x.ID, Attempt: x.Attempt, Endpoint: e.ID, Address: e.Address, Service: e.Service,
		Customer: x.Customer, TimeLeft: left, Stream: x.Kind == table.RouteStream, Priority: x.Priority,
	})
	count(w, chosen)
	recordPrompt(w, x)
	explain(w, x, chosen, scored)
}

// timeLeft returns the time until the timeout of a request.
func timeLeft(w *world.World, x *table.Exchange) time.Duration {
	return min(x.RouteDeadline, x.ClientDeadline).Sub(w.Now)
}

// count counts a request that is sent to an endpoint, and how old the load report is that
// the choice used.
func count(w *world.World, chosen *scoredEndpoint) {
	w.Count("placement.sent")
	w.Count("placement.place." + chosen.place.String())
	if chosen.load.Reported {
		w.Count("placement.reports_used")
		w.CountN("placement.report_age_ms", chosen.load.Age.Milliseconds())
	}
}

func explain(w *world.World, x *table.Exchange, chosen *scoredEndpoint, scored []scoredEndpoint) {
	inputs := []table.Input{
		{Name: "in_flight", Value: strconv.Itoa(chosen.endpoint.InFlight - 1)},
		{Name: "report_age", Value: chosen.load.Age.Round(time.Millisecond).String()},
		{Name: "place", Value: chosen.place.String()},
		{Name: "candidates", Value: strconv.Itoa(len(scored))},
	}
	if x.PromptTokens > 0 {
		inputs = append(inputs, table.Input{Name: "prefill", Value: strconv.FormatInt(int64(x.PrefillTokens), 10)})
	}
	w.RecordAttemptDecision(x, System, "sent", inputs...)
}
