package routing

import (
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
)

const (
	// otherDomain and otherRegion are what a hop to another failure domain or
	// region adds to the time to the first token, there and back.
	otherDomain = 2 * time.Millisecond
	otherRegion = 150 * time.Millisecond
	// defaultTokenTime is assumed while no token time was observed.
	defaultTokenTime = 20 * time.Millisecond
	// choices is how many random candidates are compared.
	choices = 2
)

// scored is a candidate endpoint with its expected time to the first token.
type scored struct {
	endpoint *table.Endpoint
	wait     time.Duration
}

// choose returns the better of two random endpoints with a free slot, and the
// candidates that it compared. Endpoints that failed the request, are believed
// full or are in other regions are taken only if there are no others.
func (p *pass) choose(r *table.Request, free func(*table.Endpoint) bool) (*table.Endpoint, []scored) {
	var candidates []*table.Endpoint
	for _, e := range p.usable {
		if !free(e) || slices.Contains(r.Tried, e.ID) && e.Ejected {
			continue
		}
		if probeDue(p.w, e, r) {
			return e, []scored{{e, p.expectedWait(e)}}
		}
		if !e.Ejected || p.allEjected {
			candidates = append(candidates, e)
		}
	}
	candidates = table.Prefer(candidates, func(e *table.Endpoint) bool { return !slices.Contains(r.Tried, e.ID) })
	candidates = table.Prefer(candidates, func(e *table.Endpoint) bool { return !believedFull(e) })
	candidates = table.Prefer(candidates, func(e *table.Endpoint) bool { return e.Region == p.w.Params.Self.Region })
	return p.best(candidates)
}

// best compares random candidates by expected wait.
func (p *pass) best(list []*table.Endpoint) (*table.Endpoint, []scored) {
	if len(list) == 0 {
		return nil, nil
	}
	considered := make([]scored, 0, choices)
	for n := min(choices, len(list)); len(considered) < n; {
		i := len(considered) + p.w.Rand.IntN(len(list)-len(considered))
		j := len(considered)
		list[i], list[j] = list[j], list[i]
		considered = append(considered, scored{list[j], p.expectedWait(list[j])})
	}
	best := slices.MinFunc(considered, func(a, b scored) int { return int(a.wait - b.wait) })
	return best.endpoint, considered
}

// expectedWait estimates the time to the first token at an endpoint from the
// observed times, the outstanding tokens and the distance.
func (p *pass) expectedWait(e *table.Endpoint) time.Duration {
	perToken := e.TokenTime
	if perToken == 0 {
		perToken = defaultTokenTime
	}
	outstanding := float64(e.InFlightTokens+e.OthersTokens) / float64(max(1, e.Slots))
	first := e.FirstTokenTime
	if e.Waiting > 0 {
		first = max(first, p.w.Now.Sub(e.WaitingSince))
	}
	wait := first + time.Duration(outstanding*float64(perToken))
	return wait + p.distance(e)
}

func (p *pass) distance(e *table.Endpoint) time.Duration {
	self := &p.w.Params.Self
	switch {
	case e.Region != self.Region:
		return otherRegion
	case e.Domain != self.Domain:
		return otherDomain
	}
	return 0
}
