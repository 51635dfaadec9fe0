package allowance

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Only the holders of a customer keep a margin of its total. The other routers get
// tokens from the nearest holder for each request and give back what is left, so
// that the ledger, its writes and the loss in a crash follow the number of customers
// and not that of the routers. Routers may disagree about the holders for a while:
// that costs messages but no tokens, because the ledger alone says what each may
// spend.
const (
	// minHolders is the least number of holders of a customer, for fleets with few
	// failure domains.
	minHolders = 4
	// minHolderSize is the least processor share of a holder's host, as a part of the
	// largest in its failure domain.
	minHolderSize = 0.5
)

// holderCandidate is a router that may hold limits of a customer.
type holderCandidate struct {
	holder table.Holder
	domain string
	cores  float64
	// rank orders the candidates of a customer alike at all routers, highest first.
	rank uint64
}

// holdersOf returns the routers that hold limits of a customer: one in each failure
// domain, and more if these are fewer than minHolders. Those in this router's
// failure domain come first.
func holdersOf(w *world.World, c table.CustomerID) *table.CustomerHolders {
	row := w.CustomerHolders.Get(c)
	if row != nil && row.Generation == w.HolderGeneration {
		return row
	}
	chosen := chooseHolders(holderCandidates(w, c))
	slices.SortStableFunc(chosen, func(a, b holderCandidate) int {
		return compareBool(b.domain == w.Params.Self.Domain, a.domain == w.Params.Self.Domain)
	})
	next := table.CustomerHolders{Generation: w.HolderGeneration}
	for _, candidate := range chosen {
		next.Holders = append(next.Holders, candidate.holder)
		next.IncludesSelf = next.IncludesSelf || candidate.holder == w.Self()
	}
	return w.CustomerHolders.Put(c, next)
}

// holderCandidates returns this router and the connected ones that have an entry in
// the ledger and reach the store, by rank. If none of the others reaches the store,
// it returns all.
func holderCandidates(w *world.World, c table.CustomerID) []holderCandidate {
	self := w.Params.Self
	candidates := []holderCandidate{{self.Holder, self.Domain, self.Cores, holderRank(c, self.Process)}}
	anyReachesStore := false
	w.AllowancePeers.Each(func(_ table.ProcessID, p *table.AllowancePeer) {
		anyReachesStore = anyReachesStore || isHolderCandidate(w, p) && !p.StoreDown
	})
	w.AllowancePeers.Each(func(_ table.ProcessID, p *table.AllowancePeer) {
		if isHolderCandidate(w, p) && !(anyReachesStore && p.StoreDown) {
			candidates = append(candidates, holderCandidate{p.Holder, p.Domain, p.Cores, holderRank(c, p.Process)})
		}
	})
	slices.SortFunc(candidates, func(a, b holderCandidate) int {
		if a.rank != b.rank {
			return compareBool(a.rank > b.rank, b.rank > a.rank)
		}
		return compareBool(a.holder.Process < b.holder.Process, b.holder.Process < a.holder.Process)
	})
	return candidates
}

func isHolderCandidate(w *world.World, p *table.AllowancePeer) bool {
	return p.Connected && w.LimitLedgerView.Registered[p.Holder]
}

// chooseHolders selects the holders from candidates that are ordered by rank. In
// each failure domain, routers on small hosts come after all others.
func chooseHolders(candidates []holderCandidate) []holderCandidate {
	largest := make(map[string]float64)
	for _, c := range candidates {
		largest[c.domain] = max(largest[c.domain], c.cores)
	}
	hasHolder := make(map[string]bool)
	var chosen, others, small []holderCandidate
	for _, c := range candidates {
		switch {
		case c.cores < minHolderSize*largest[c.domain]:
			small = append(small, c)
		case hasHolder[c.domain]:
			others = append(others, c)
		default:
			hasHolder[c.domain] = true
			chosen = append(chosen, c)
		}
	}
	others = append(others, small...)
	return append(chosen, others[:min(len(others), max(0, minHolders-len(chosen)))]...)
}

// holderRank ranks a router for a customer by rendezvous hashing.
func holderRank(c table.CustomerID, p table.ProcessID) uint64 {
	digest := xxhash.New()
	// Writing to a digest does not fail.
	_, _ = digest.WriteString(string(c))
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(string(p))
	return digest.Sum64()
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
