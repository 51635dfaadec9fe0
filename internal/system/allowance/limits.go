package allowance

import (
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/system/delegate"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// demandHorizon is the duration of demand that the margin covers, which a
	// router keeps available for coming requests. It exceeds the usual partition
	// from the store, which lasts eight seconds.
	demandHorizon = 9 * time.Second
	// connectTime is how long a router that started takes to connect with the others.
	connectTime = 600 * time.Millisecond
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
	// crashScale is the number of crashes for each router that halves the margins:
	// each crash makes another one more likely. maxCrashes caps the number, so that
	// margins shrink to no less than a third.
	crashScale = 2.0
	maxCrashes = 4.0
)

// targetMargin returns the amount of a total that this router aims to have
// available: nothing if it is no holder of the customer.
func targetMargin(w *world.World, a *table.Account, p *table.PrepaidCustomer) table.Tokens {
	holders := delegate.For(w, string(a.Customer))
	if !holders.IncludesSelf || !connectedWithFleet(w) {
		return 0
	}
	a.DemandRate.Add(w.Now, 0, demandTimeConstant)
	margin := max(p.Total/minMarginDivisor, table.Tokens(a.DemandRate.PerSecond*demandHorizon.Seconds()+a.MeanReservation))
	return min(margin, maxMargin(w, p, maxRemaining(w, a))/holderCount(w, holders))
}

// connectedWithFleet reports whether this router has had time to connect with the
// others. Before that it would take itself for a holder of each customer.
func connectedWithFleet(w *world.World) bool {
	registeredAt := w.LimitLedgerView.RegisteredAt
	return registeredAt != 0 && w.DueOrWake(registeredAt.Add(connectTime))
}

// holderCount returns the number of holders that share the margins of a total. It
// counts those that this router expects but is not connected with.
func holderCount(w *world.World, h *table.Delegates) table.Tokens {
	return table.Tokens(max(1, len(h.Routers), min(delegate.MinCount, w.LimitLedgerView.RouterCount)))
}

// maxMargin returns the most that the margins of all holders may add up to if the
// given amount of a total remains.
func maxMargin(w *world.World, p *table.PrepaidCustomer, remaining table.Tokens) table.Tokens {
	if remaining <= 0 || p.Total <= 0 {
		return 0
	}
	fraction := min(maxMarginFraction, marginFractionSlope*float64(remaining)/float64(p.Total))
	crashes := float64(w.LimitLedgerView.Content.AbandonedEntries) / float64(max(1, w.LimitLedgerView.RouterCount))
	fraction *= crashScale / (crashScale + min(maxCrashes, crashes))
	return table.Tokens(fraction * float64(remaining))
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
	raise := mayRaise(w)
	advanceHistory(w, &proposal, raise)
	proposal.CloseEarlierIncarnations(w.Self())
	entries := make(map[table.CustomerID]table.LimitEntry)
	sums := proposal.SumEntries()
	forEachLimited(w, func(c table.CustomerID, p *table.PrepaidCustomer, a *table.Account) {
		if e := proposeEntry(w, a, p, sums[c].Allocated, raise); e != (table.LimitEntry{}) {
			entries[c] = e
		}
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
	proposal.Holders = append(proposal.Holders, table.LimitHolder{
		Holder: w.Self(), Address: w.Params.Front.PeerAddress, Entries: entries, ForcedChanges: forcedChanges(w),
		StatedEra: w.StoreEra.Number,
	})
	grantRequests(w, &proposal, raise)
	return proposal
}

// forcedChanges returns the number of forced changes that this router proposes. While the
// outcome of a write is unknown, the next one must change the ledger: only a higher revision
// keeps the first from being carried out.
func forcedChanges(w *world.World) uint64 {
	n := uint64(0)
	if own := w.LimitLedgerView.Content.Find(w.Self()); own != nil {
		n = own.ForcedChanges
	}
	if w.LimitLedgerView.WriteOutcomeUnknown {
		n++
	}
	return n
}

// proposeEntry returns the entry that this router proposes for a customer. It is
// empty if the router spends only what others transferred to it: their entries
// count that.
func proposeEntry(w *world.World, a *table.Account, p *table.PrepaidCustomer, allocated table.Tokens, raise bool) table.LimitEntry {
	limit := proposeLimit(w, a, p, allocated, targetMargin(w, a, p), raise)
	if limit == 0 && a.RecordedLimit == 0 && !w.Closing && !delegate.For(w, string(a.Customer)).IncludesSelf {
		return table.LimitEntry{}
	}
	return table.LimitEntry{Limit: limit, Spent: a.NetSpent()}
}

// proposeLimit returns the limit that this router proposes for itself so that
// the margin is available. One write takes only a part of the unallocated tokens
// beyond what waiting requests need, so that a router without need does not
// hold the last tokens of a total. A router that is no holder returns tokens by
// transfer, so its limit does not fall. raise is what mayRaise says, which looks at all routers.
func proposeLimit(w *world.World, a *table.Account, p *table.PrepaidCustomer, allocated, margin table.Tokens, raise bool) table.Tokens {
	// Tokens transferred in are covered by the limit of the router that sent them,
	// so the result may be negative.
	used := a.RequiredLimit() - a.ClosedLimit
	if w.Closing {
		return used
	}
	if !raise {
		return a.RecordedLimit
	}
	holders := delegate.For(w, string(a.Customer))
	maxLimit := p.Total - (allocated - a.RecordedLimit)
	unallocated := maxLimit - a.RecordedLimit
	target := used + a.WaitingTokens + margin
	if unallocated < 0 {
		// The total was lowered below the sum of the limits.
		return max(used, min(a.RecordedLimit, maxLimit))
	}
	if target > a.RecordedLimit {
		return a.RecordedLimit + min(target-a.RecordedLimit, unallocated, max(a.WaitingTokens, unallocated/(2*holderCount(w, holders))))
	}
	if a.RecordedLimit-target < margin/minChangeDivisor || !holders.IncludesSelf {
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
