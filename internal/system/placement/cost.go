package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

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
	// stallWeight weighs the delay that a prompt causes in each stream running at the same
	// endpoint, in milliseconds per millisecond.
	stallWeight = 0.05
	// concurrentTime is the time in which routers do not learn of each other's requests.
	concurrentTime = 100 * time.Millisecond
	// An endpoint is crowded above crowdedShare times its share of the load and crowdedSlack
	// requests.
	crowdedShare = 1.2
	crowdedSlack = 1.0
	// costPrecision is the difference in milliseconds below which costs count as equal.
	costPrecision = 1e-6
	// maxCredit bounds the requests that an endpoint is owed, or got ahead.
	maxCredit = 2.0
	// minRoom is the least room in requests.
	minRoom = 1e-3
)

// scoredEndpoint is a candidate endpoint with its costs in milliseconds.
type scoredEndpoint struct {
	endpoint *table.DirectEndpoint
	place    placeKind
	load     load.Estimate
	// busy is the cost of the endpoint's load to a request of this size, and unit what
	// another request adds to it.
	busy, unit float64
	// own is what differs for this request alone: its prompt's place and its domain.
	own float64
}

// chooseEndpoint chooses an endpoint by its load and by what the request costs there.
//
// Requests that the other routers send at the same time level the load up to some height,
// as they choose alike. Candidates below it are equally good, and share the requests in
// proportion to the room below that height.
func chooseEndpoint(w *world.World, x *table.Exchange, candidates []*table.DirectEndpoint) (scoredEndpoint, []scoredEndpoint) {
	scored, height := scoreEndpoints(w, x, candidates)
	if load.ExpectDue(w, x.Service) {
		load.Expect(w, x.Service, candidates, sharesOf(w, x.Service, scored, height))
	}
	return pick(w, scored, height), scored
}

// scoreEndpoints returns the costs of the candidates, and the height that requests of the
// other routers level their loads to. It changes nothing.
func scoreEndpoints(w *world.World, x *table.Exchange, candidates []*table.DirectEndpoint) ([]scoredEndpoint, float64) {
	scored := make([]scoredEndpoint, 0, len(candidates))
	places := placesOf(w, x, candidates)
	for i, e := range candidates {
		scored = append(scored, estimateCost(w, x, e, load.Of(w, e), places[i]))
	}
	addCrowding(scored)
	return scored, levelOf(scored, load.OthersRate(w, x.Service)*concurrentTime.Seconds())
}

// addCrowding adds a cost to candidates with much more than their share of the load, by
// speed: what exceeds it counts like a queue. It bounds what a prompt's home may get.
func addCrowding(scored []scoredEndpoint) {
	running, speeds := 0.0, 0.0
	for i := range scored {
		running += scored[i].load.Running
		speeds += scored[i].load.Speed
	}
	for i := range scored {
		share := running / speeds * scored[i].load.Speed
		scored[i].busy += waitingCost * max(0, scored[i].load.Running-crowdedShare*share-crowdedSlack)
	}
}

// pick chooses one of the candidates with the least cost, given the height that the loads
// level to, and records the credits that the choice leaves.
func pick(w *world.World, scored []scoredEndpoint, height float64) scoredEndpoint {
	shares := pickShares(scored, height)
	best, credits := nextInTurn(w, scored, shares)
	for i := range scored {
		if shares[i] != 0 {
			scored[i].endpoint.Credit = credits[i]
		}
	}
	return scored[best]
}

// nextInTurn returns which of the candidates gets the request, and the credits that this
// leaves. Each gets its share; the one whose shares of this choice and earlier ones exceed
// what it got the most is next, so that requests come more evenly than at random. Routers
// differ by the random credits that they begin with.
func nextInTurn(w *world.World, scored []scoredEndpoint, shares []float64) (best int, credits []float64) {
	best, credits = -1, make([]float64, len(scored))
	for i, share := range shares {
		if share == 0 {
			continue
		}
		credits[i] = scored[i].endpoint.Credit
		if credits[i] == 0 {
			credits[i] = w.Rand.Float64()
		}
		credits[i] = min(credits[i]+share, maxCredit)
		if best < 0 || credits[i] > credits[best] {
			best = i
		}
	}
	credits[best] = max(credits[best]-1, -maxCredit)
	return best, credits
}

// pickShares returns which share of the requests each candidate gets: those with the least
// cost get one in proportion to their room, the others 0.
func pickShares(scored []scoredEndpoint, height float64) []float64 {
	least := math.Inf(1)
	for i := range scored {
		least = min(least, scored[i].cost(height))
	}
	shares, rooms := make([]float64, len(scored)), 0.0
	for i := range scored {
		if scored[i].cost(height) <= least+costPrecision {
			shares[i] = room(&scored[i], height)
			rooms += shares[i]
		}
	}
	for i := range shares {
		shares[i] /= rooms
	}
	return shares
}

// cost returns the cost of a candidate, given the height that the loads level to.
func (s *scoredEndpoint) cost(height float64) float64 { return max(s.busy, height) + s.own }

// levelOf returns the height that a number of requests raises the loads of the candidates to.
func levelOf(scored []scoredEndpoint, requests float64) float64 {
	byLoad := make([]*scoredEndpoint, len(scored))
	for i := range scored {
		byLoad[i] = &scored[i]
	}
	slices.SortFunc(byLoad, func(a, b *scoredEndpoint) int { return cmp.Compare(a.busy, b.busy) })
	// A candidate takes (height-busy)/unit requests.
	perHeight, atZero, height := 0.0, 0.0, 0.0
	for i, s := range byLoad {
		perHeight += 1 / s.unit
		atZero += s.busy / s.unit
		height = (requests + atZero) / perHeight
		if i+1 == len(byLoad) || height <= byLoad[i+1].busy {
			break
		}
	}
	return height
}

// room returns how many requests a candidate takes below a height.
func room(s *scoredEndpoint, height float64) float64 {
	return max(0, height-s.busy)/s.unit + minRoom
}

// sharesOf returns which share of the other routers' requests each candidate gets: those
// that are bound to a place of their prompt go where requests went on average, the others fill
// room.
func sharesOf(w *world.World, service table.ServiceName, scored []scoredEndpoint, height float64) []float64 {
	bound := 0.0
	if t := w.ServiceTraffic.Get(service); t != nil {
		bound = t.BoundShare
	}
	rooms, means := 0.0, 0.0
	for i := range scored {
		rooms += room(&scored[i], height)
		means += scored[i].endpoint.OthersMean + minRoom
	}
	shares := make([]float64, len(scored))
	for i := range scored {
		shares[i] = bound*(scored[i].endpoint.OthersMean+minRoom)/means + (1-bound)*room(&scored[i], height)/rooms
	}
	return shares
}

// estimateCost returns the estimated time until the first event plus the cost
// of the request to other requests, in milliseconds.
func estimateCost(w *world.World, x *table.Exchange, e *table.DirectEndpoint, l load.Estimate, p placeKind) scoredEndpoint {
	// pace is how long work takes, in units of the usual time of the service's endpoints.
	pace := l.Slowdown / l.Speed
	s := scoredEndpoint{endpoint: e, place: p, load: l, unit: (stepCost + stallWeight*float64(x.PromptTokens)/prefillTokensPerMs) * pace}
	if x.PromptTokens == 0 {
		s.unit = callCost * pace / float64(max(1, e.Slots))
	}
	s.busy = failureCost*e.FailureRate + waitingCost*l.Waiting*pace + s.unit*l.Running
	if e.Domain != w.Params.Self.Domain {
		s.own += crossDomainCost
	}
	if x.PromptTokens == 0 {
		return s
	}
	uncached := float64(x.PromptTokens - cachedTokens(w, x, e))
	s.own += p.rereadShare() * sharedTokenCost * max(0, uncached-float64(x.PromptTokens-sharedTokens(x)))
	s.own -= (float64(x.PromptTokens) - uncached) / prefillTokensPerMs * pace
	s.busy += (float64(e.PrefillTokens) + float64(x.PromptTokens)) / prefillTokensPerMs * pace
	return s
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
