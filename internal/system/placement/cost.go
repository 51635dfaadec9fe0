package placement

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// prefillRate is how many prompt tokens an engine reads in a millisecond, from
	// the sheet of the deployments' engines.
	prefillRate = 80.0
	// stepTime is what each running request adds to the time of one step, in
	// milliseconds, with some 20 steps until a first event is out.
	stepTime = 1.5
	// callTime is the mean work of a plain call in milliseconds.
	callTime = 30.0
	// waitingTime is what a request that waits at the endpoint adds, in milliseconds.
	waitingTime = 40.0
	// otherDomain is the cost of the way to another failure domain and back, in
	// milliseconds; bytes between domains are paid for.
	otherDomain = 4.0
	// rereadCost is the cost of reading a shared prompt token again, in
	// milliseconds. It exceeds the time of the engine because other requests
	// wait too, and because reading again is paid for.
	rereadCost = 0.06
	// failureCost is the cost of an endpoint that fails each request.
	failureCost = 1500.0
	// stallCost weighs the delay that a prompt adds to each stream that runs
	// beside it, in milliseconds per millisecond.
	stallCost = 0.05
	// reportAge is how long an endpoint's own report of its load is of use. What
	// it runs changes within some hundred milliseconds.
	reportAge = time.Second
)

// scored is a candidate endpoint with its cost in milliseconds.
type scored struct {
	endpoint *table.DirectEndpoint
	cost     float64
}

// choose returns the candidate with the least cost; equal ones are drawn.
func choose(w *world.World, x *table.Exchange, list []*table.DirectEndpoint) (*table.DirectEndpoint, []scored) {
	considered := make([]scored, 0, len(list))
	home := homeOf(x, list)
	for _, e := range list {
		considered = append(considered, scored{e, cost(w, x, e, e == home)})
	}
	best := w.Rand.IntN(len(considered))
	for i := range considered {
		if considered[i].cost < considered[best].cost {
			best = i
		}
	}
	return considered[best].endpoint, considered
}

// homeOf returns the endpoint that the request's shared prompt belongs to, or
// nil if it shares none.
func homeOf(x *table.Exchange, list []*table.DirectEndpoint) *table.DirectEndpoint {
	if len(x.Parts) < 2 {
		return nil
	}
	key := x.Parts[len(x.Parts)-2].ID
	var home *table.DirectEndpoint
	var most uint64
	for _, e := range list {
		if h := rendezvous(key, e.ID); home == nil || h > most {
			home, most = e, h
		}
	}
	return home
}

// cost estimates the time until the first event, and what the request costs
// beyond that, in milliseconds.
func cost(w *world.World, x *table.Exchange, e *table.DirectEndpoint, home bool) float64 {
	slow, running := 1.0, float64(e.InFlight)
	c := failureCost * e.FailureRate
	if e.Domain != w.Params.Self.Domain {
		c += otherDomain
	}
	if w.Now.Sub(e.ReportedAt) < reportAge {
		slow, running = max(1, e.Slowdown), max(running, float64(e.Running))
		c += waitingTime * float64(e.Waiting) * slow
	}
	if x.Prompt == 0 {
		return c + callTime*running*slow/float64(max(1, e.Slots))
	}
	uncached := float64(x.Prompt - cached(w, x, e))
	if !home {
		c += rereadCost * max(0, uncached-float64(x.Prompt-shared(x)))
	}
	c += (float64(e.PrefillTokens) + uncached) / prefillRate * slow
	c += stepTime * running * slow
	c += stallCost * running * uncached / prefillRate
	return c
}

// shared returns the tokens of the prompt that other requests may share.
func shared(x *table.Exchange) table.Tokens {
	var sum table.Tokens
	for i := 0; i < len(x.Parts)-1; i++ {
		sum += x.Parts[i].Tokens
	}
	return sum
}

// cached returns the tokens at the start of the prompt that the endpoint has
// probably cached: a part is of use only if all parts before it are cached.
func cached(w *world.World, x *table.Exchange, e *table.DirectEndpoint) table.Tokens {
	var sum table.Tokens
	for _, p := range x.Parts {
		if w.CachedParts.Get(table.CachedPart{Endpoint: e.ID, Part: p.ID}) == nil {
			break
		}
		sum += p.Tokens
	}
	return min(sum, x.Prompt)
}
