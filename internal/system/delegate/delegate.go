// Package delegate chooses the routers that do a duty for the others of the fleet.
//
// Each router chooses from the routers that it is connected with. Routers may
// disagree for a while, so that a duty is done by too many or by too few: no duty may
// depend on this choice for its correctness.
package delegate

import (
	"cmp"
	"slices"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// MinCount is the least number of delegates of a duty, for fleets with few failure
	// domains.
	MinCount = 4
	// minSize is the least processor share of a delegate's host, as a part of the
	// largest in its failure domain.
	minSize = 0.5
)

// candidate is a router that may be a delegate.
type candidate struct {
	holder table.Holder
	domain string
	cores  float64
	// rank orders the candidates of a duty alike at all routers, highest first.
	rank uint64
}

// For returns the routers that do a duty: one in each failure domain, and more if
// these are fewer than MinCount. Those in this router's failure domain come first.
func For(w *world.World, duty string) *table.Delegates {
	row := w.Delegates.Get(duty)
	if row != nil && row.Generation == w.FleetGeneration {
		return row
	}
	chosen := choose(candidates(w, duty))
	slices.SortStableFunc(chosen, func(a, b candidate) int {
		return compareBool(a.domain == w.Params.Self.Domain, b.domain == w.Params.Self.Domain)
	})
	next := table.Delegates{Generation: w.FleetGeneration}
	for _, c := range chosen {
		next.Routers, next.Domains = append(next.Routers, c.holder), append(next.Domains, c.domain)
		next.IncludesSelf = next.IncludesSelf || c.holder == w.Self()
	}
	return w.Delegates.Put(duty, next)
}

// Serves reports whether this router, a delegate, does the duty for the routers of a
// failure domain: its own, and those without a delegate for which it ranks first.
func Serves(w *world.World, duty *table.Delegates, domain string) bool {
	if domain == w.Params.Self.Domain {
		return true
	}
	if slices.Contains(duty.Domains, domain) {
		return false
	}
	first := slices.MaxFunc(duty.Routers, func(a, b table.Holder) int {
		return cmp.Or(cmp.Compare(table.RendezvousRank(domain, string(a.Process)), table.RendezvousRank(domain, string(b.Process))),
			cmp.Compare(a.Process, b.Process))
	})
	return first == w.Self()
}

// candidates returns this router and the connected ones that have an entry in the
// limit ledger and reach the store, by rank. If no router reaches the store, it
// returns all.
func candidates(w *world.World, duty string) []candidate {
	self := w.Params.Self
	found := []candidate{{self.Holder, self.Domain, self.Cores, table.RendezvousRank(duty, string(self.Process))}}
	anyReachesStore := w.PlatformReachable
	w.RouterPeers.Each(func(_ table.ProcessID, p *table.RouterPeer) {
		anyReachesStore = anyReachesStore || isCandidate(w, p) && !p.StoreDown
	})
	w.RouterPeers.Each(func(_ table.ProcessID, p *table.RouterPeer) {
		if isCandidate(w, p) && !(anyReachesStore && p.StoreDown) {
			found = append(found, candidate{p.Holder, p.Domain, p.Cores, table.RendezvousRank(duty, string(p.Process))})
		}
	})
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.holder.Process, b.holder.Process))
	})
	return found
}

func isCandidate(w *world.World, p *table.RouterPeer) bool {
	return p.Connected && w.LimitLedgerView.Registered[p.Holder]
}

// choose selects the delegates from candidates that are ordered by rank. In each
// failure domain, routers on small hosts come after all others.
func choose(candidates []candidate) []candidate {
	largest := make(map[string]float64)
	for _, c := range candidates {
		largest[c.domain] = max(largest[c.domain], c.cores)
	}
	hasDelegate := make(map[string]bool)
	var chosen, others, small []candidate
	for _, c := range candidates {
		switch {
		case c.cores < minSize*largest[c.domain]:
			small = append(small, c)
		case hasDelegate[c.domain]:
			others = append(others, c)
		default:
			hasDelegate[c.domain] = true
			chosen = append(chosen, c)
		}
	}
	others = append(others, small...)
	return append(chosen, others[:min(len(others), max(0, MinCount-len(chosen)))]...)
}

// compareBool returns -1 if only first is true, 1 if only second is, and 0
// otherwise.
func compareBool(first, second bool) int {
	switch {
	case first == second:
		return 0
	case first:
		return -1
	}
	return 1
}
