package routing

import (
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
)

const (
	// crossDomainLatency and crossRegionLatency are the round-trip times that
	// another failure domain or region adds to the time to the first token.
	crossDomainLatency = 2 * time.Millisecond
	crossRegionLatency = 150 * time.Millisecond
	// defaultTokenTime is assumed until a token time was observed.
	defaultTokenTime = 20 * time.Millisecond
	// sampleSize is the number of random candidates that are compared.
	sampleSize = 2
)

// scoredEndpoint is a candidate endpoint with its expected time to the first token.
type scoredEndpoint struct {
	endpoint       *table.Endpoint
	firstTokenTime time.Duration
}

// chooseEndpoint returns the better of two random available endpoints, and the
// candidates that it compared. An ejected endpoint that is due for a probe comes
// first. Endpoints that failed this request, that are reported full or that are in
// another region are used only if there are no others.
func (p *schedulingPass) chooseEndpoint(
	r *table.Request, available func(*table.Endpoint) bool,
) (*table.Endpoint, []scoredEndpoint) {
	var candidates []*table.Endpoint
	for _, e := range p.usable {
		if !available(e) || slices.Contains(r.TriedEndpoints, e.ID) && e.Ejected {
			continue
		}
		if probeDue(p.w, e, r) {
			return e, []scoredEndpoint{{e, p.expectedFirstTokenTime(e)}}
		}
		if !e.Ejected || p.allEjected {
			candidates = append(candidates, e)
		}
	}
	candidates = table.FilterOrAll(candidates, func(e *table.Endpoint) bool { return !slices.Contains(r.TriedEndpoints, e.ID) })
	candidates = table.FilterOrAll(candidates, func(e *table.Endpoint) bool { return !reportedFull(e) })
	candidates = table.FilterOrAll(candidates, func(e *table.Endpoint) bool { return e.Region == p.w.Params.Self.Region })
	return p.fastestOfSample(candidates)
}

// fastestOfSample returns the random candidate with the shortest expected time to
// the first token, and all candidates that were compared.
func (p *schedulingPass) fastestOfSample(candidates []*table.Endpoint) (*table.Endpoint, []scoredEndpoint) {
	if len(candidates) == 0 {
		return nil, nil
	}
	sampled := make([]scoredEndpoint, 0, sampleSize)
	for n := min(sampleSize, len(candidates)); len(sampled) < n; {
		i := len(sampled) + p.w.Rand.IntN(len(candidates)-len(sampled))
		j := len(sampled)
		candidates[i], candidates[j] = candidates[j], candidates[i]
		sampled = append(sampled, scoredEndpoint{candidates[j], p.expectedFirstTokenTime(candidates[j])})
	}
	best := slices.MinFunc(sampled, func(a, b scoredEndpoint) int { return int(a.firstTokenTime - b.firstTokenTime) })
	return best.endpoint, sampled
}

// expectedFirstTokenTime estimates the time to the first token at an endpoint from
// its observed times, its outstanding tokens and the network latency.
func (p *schedulingPass) expectedFirstTokenTime(e *table.Endpoint) time.Duration {
	perToken := e.TokenTime
	if perToken == 0 {
		perToken = defaultTokenTime
	}
	outstanding := float64(e.InFlightTokens+e.OthersTokens) / float64(max(1, e.Slots))
	firstToken := e.FirstTokenTime
	if e.AwaitingFirstToken > 0 {
		firstToken = max(firstToken, p.w.Now.Sub(e.AwaitingFirstTokenSince))
	}
	expected := firstToken + time.Duration(outstanding*float64(perToken))
	return expected + p.networkLatency(e)
}

func (p *schedulingPass) networkLatency(e *table.Endpoint) time.Duration {
	self := &p.w.Params.Self
	switch {
	case e.Region != self.Region:
		return crossRegionLatency
	case e.Domain != self.Domain:
		return crossDomainLatency
	}
	return 0
}
