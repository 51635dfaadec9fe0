package allowance

import (
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// demandHorizon is the duration of demand that the margin covers, which a
	// router keeps available for coming requests. It exceeds the usual partition
	// from the store, which lasts eight seconds.
	demandHorizon = 9 * time.Second
	// The margin of a router without demand is the total divided by
	// minMarginDivisor, so that first requests need not wait for the ledger.
	minMarginDivisor = 100
	// The margins of all routers may add up to a fraction of the remaining tokens
	// of a total: marginFractionSlope times the share of the total that remains,
	// but at most maxMarginFraction. A margin is lost if its router crashes, and
	// the less remains, the sooner clients are refused because of the loss. These
	// values serve the most requests; see docs/decisions/0007-limit-ledger.md.
	maxMarginFraction   = 1.0 / 3
	marginFractionSlope = 0.4
	// abandonedEntryScale is the number of abandoned entries in the ledger that
	// halves the margins: each crash makes another one more likely.
	// maxAbandonedEntries caps the count, so that margins shrink to no less than a
	// third.
	abandonedEntryScale = 6
	maxAbandonedEntries = 12
)

// targetMargin returns the amount of a total that this router aims to have
// available.
func targetMargin(w *world.World, a *table.Account, p *table.PrepaidCustomer) table.Tokens {
	a.DemandRate.Add(w.Now, 0, demandTimeConstant)
	margin := max(p.Total/minMarginDivisor, table.Tokens(a.DemandRate.PerSecond*demandHorizon.Seconds()+a.MeanReservation))
	return min(margin, maxMargin(w, p, maxRemaining(w, a)))
}

// maxMargin returns the largest margin that this router may hold if the given
// amount of a total remains.
func maxMargin(w *world.World, p *table.PrepaidCustomer, remaining table.Tokens) table.Tokens {
	if remaining <= 0 || p.Total <= 0 {
		return 0
	}
	fraction := min(maxMarginFraction, marginFractionSlope*float64(remaining)/float64(p.Total))
	fraction *= abandonedEntryScale / float64(abandonedEntryScale+min(maxAbandonedEntries, w.LimitLedgerView.Content.AbandonedEntries))
	return table.Tokens(fraction * float64(remaining) / float64(max(1, w.LimitLedgerView.RouterCount)))
}

// forEachLimited visits the customers with a limited total, and adds missing
// accounts.
func forEachLimited(w *world.World, visit func(table.CustomerID, *table.PrepaidCustomer, *table.Account)) {
	w.PrepaidCustomers.Each(func(c table.CustomerID, p *table.PrepaidCustomer) {
		if p.Limited {
			visit(c, p, ensureAccount(w, c))
		}
	})
}

// proposeLedger returns a copy of the ledger with the limits that this router
// wants and those that other routers requested.
func proposeLedger(w *world.World) table.LimitLedger {
	proposal := w.LimitLedgerView.Content.Clone()
	proposal.CloseEarlierIncarnations(w.Self())
	entries := make(map[table.CustomerID]table.LimitEntry)
	routerCount := countRouters(&proposal)
	forEachLimited(w, func(c table.CustomerID, p *table.PrepaidCustomer, a *table.Account) {
		entries[c] = table.LimitEntry{Limit: proposeLimit(w, a, p, &proposal, routerCount, targetMargin(w, a, p)), Spent: a.NetSpent()}
	})
	w.Accounts.Each(func(c table.CustomerID, a *table.Account) {
		if _, ok := entries[c]; !ok && a.RecordedLimit != 0 {
			// The customer was removed from the configuration, or its total is no
			// longer limited.
			entries[c] = table.LimitEntry{Limit: a.RequiredLimit() - a.ClosedLimit, Spent: a.NetSpent()}
		}
	})
	proposal.Holders = slices.DeleteFunc(proposal.Holders, func(h table.LimitHolder) bool { return h.Holder == w.Self() })
	if w.Closing && w.Exchanges.Len() == 0 {
		w.LimitLedgerView.EntryCloseSent = true
		for c, e := range entries {
			proposal.ClosedTokens[c] += e.Limit
		}
		return proposal
	}
	proposal.Holders = append(proposal.Holders, table.LimitHolder{Holder: w.Self(), Address: w.Params.Front.PeerAddress, Entries: entries})
	grantRequests(w, &proposal)
	return proposal
}

// proposeLimit returns the limit that this router proposes for itself so that
// the margin is available. One write takes only a part of the unallocated tokens
// beyond what waiting requests need, so that a router without need does not
// hold the last tokens of a total.
func proposeLimit(w *world.World, a *table.Account, p *table.PrepaidCustomer, ledger *table.LimitLedger, routerCount int, margin table.Tokens) table.Tokens {
	// Tokens transferred in are covered by the limit of the router that sent them,
	// so the result may be negative.
	used := a.RequiredLimit() - a.ClosedLimit
	if w.Closing {
		return used
	}
	maxLimit := p.Total - (ledger.Allocated(a.Customer) - a.RecordedLimit)
	unallocated := maxLimit - a.RecordedLimit
	target := used + a.WaitingTokens + margin
	if unallocated < 0 {
		// The total was lowered below the sum of the limits.
		return max(used, min(a.RecordedLimit, maxLimit))
	}
	if target > a.RecordedLimit {
		return a.RecordedLimit + min(target-a.RecordedLimit, unallocated, max(a.WaitingTokens, unallocated/table.Tokens(2*max(1, routerCount))))
	}
	if a.RecordedLimit-target < margin/minChangeDivisor {
		// A small surplus stays, so that limits do not change with each write.
		return a.RecordedLimit
	}
	return max(used, target)
}

// lowerLimits applies the decreases of a proposal before the write is sent,
// because the write may take effect at any time from then on.
func lowerLimits(w *world.World, proposal *table.LimitLedger) {
	own := proposal.Find(w.Self())
	w.Accounts.Each(func(c table.CustomerID, a *table.Account) {
		var proposed table.Tokens
		if own != nil {
			proposed = own.Entries[c].Limit
		} else {
			proposed = a.RequiredLimit() - a.ClosedLimit
		}
		a.Limit = min(a.Limit, a.ClosedLimit+proposed)
	})
}
