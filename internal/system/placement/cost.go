package placement

import (
	"laburnumroad.dev/laburnumroad/internal/system/load"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// prefillTokensPerMs is the number of prompt tokens that the deployed engines
	// process in a millisecond.
	prefillTokensPerMs = 80.0
	// stepCost is what each running request adds to the time until the first
	// event, in milliseconds: it slows each of the about 20 steps until then.
	stepCost = 1.5
	// callCost is the mean duration of a plain call in milliseconds.
	callCost = 30.0
	// waitingCost is what each request queued at the endpoint adds, in
	// milliseconds.
	waitingCost = 40.0
	// crossDomainCost is the cost of the round trip to another failure domain, in
	// milliseconds. It includes the price of traffic between domains.
	crossDomainCost = 4.0
	// sharedTokenCost is the cost of processing a shared prompt token again, in
	// milliseconds. It exceeds the engine's time because other requests are
	// delayed too, and because processed tokens are paid for.
	sharedTokenCost = 0.06
	// failureCost is the cost of an endpoint that fails every request, in
	// milliseconds.
	failureCost = 1500.0
	// stallWeight weighs the delay that a prompt causes in each stream running at
	// the same endpoint, in milliseconds per millisecond.
	stallWeight = 0.05
)

// scoredEndpoint is a candidate endpoint with its cost in milliseconds.
type scoredEndpoint struct {
	endpoint *table.DirectEndpoint
	cost     float64
}

// chooseEndpoint returns the candidate with the least cost. It starts from a
// random candidate, which wins ties.
func chooseEndpoint(w *world.World, x *table.Exchange, candidates []*table.DirectEndpoint) (*table.DirectEndpoint, []scoredEndpoint) {
	scored := make([]scoredEndpoint, 0, len(candidates))
	home := homeEndpoint(x, candidates)
	for _, e := range candidates {
		scored = append(scored, scoredEndpoint{e, estimateCost(w, x, e, e == home)})
	}
	best := w.Rand.IntN(len(scored))
	for i := range scored {
		if scored[i].cost < scored[best].cost {
			best = i
		}
	}
	return scored[best].endpoint, scored
}

// homeEndpoint returns the endpoint that the request's shared prompt is
// assigned to, or nil if it shares none.
func homeEndpoint(x *table.Exchange, candidates []*table.DirectEndpoint) *table.DirectEndpoint {
	if len(x.PromptParts) < 2 {
		return nil
	}
	key := x.PromptParts[len(x.PromptParts)-2].ID
	var home *table.DirectEndpoint
	var maxHash uint64
	for _, e := range candidates {
		if hash := table.RendezvousRank(key, string(e.ID)); home == nil || hash > maxHash {
			home, maxHash = e, hash
		}
	}
	return home
}

// estimateCost returns the estimated time until the first event plus the cost
// of the request to other requests, in milliseconds.
func estimateCost(w *world.World, x *table.Exchange, e *table.DirectEndpoint, home bool) float64 {
	l := load.Of(w, e)
	total := failureCost*e.FailureRate + waitingCost*l.Waiting*l.Slowdown
	if e.Domain != w.Params.Self.Domain {
		total += crossDomainCost
	}
	if x.PromptTokens == 0 {
		return total + callCost*l.Running*l.Slowdown/float64(max(1, e.Slots))
	}
	uncached := float64(x.PromptTokens - cachedTokens(w, x, e))
	if !home {
		total += sharedTokenCost * max(0, uncached-float64(x.PromptTokens-sharedTokens(x)))
	}
	total += (float64(e.PrefillTokens) + uncached) / prefillTokensPerMs * l.Slowdown
	total += stepCost * l.Running * l.Slowdown
	total += stallWeight * l.Running * uncached / prefillTokensPerMs
	return total
}

// sharedTokens returns the prompt tokens that other requests may share.
func sharedTokens(x *table.Exchange) table.Tokens {
	var sum table.Tokens
	for i := 0; i < len(x.PromptParts)-1; i++ {
		sum += x.PromptParts[i].Tokens
	}
	return sum
}

// cachedTokens returns the tokens at the start of the prompt that the endpoint
// has probably cached. A cached part is usable only if all parts before it are
// cached.
func cachedTokens(w *world.World, x *table.Exchange, e *table.DirectEndpoint) table.Tokens {
	var sum table.Tokens
	for _, p := range x.PromptParts {
		if w.CachedParts.Get(table.CachedPart{Endpoint: e.ID, Part: p.ID}) == nil {
			break
		}
		sum += p.Tokens
	}
	return min(sum, x.PromptTokens)
}
