package allowance

import (
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// horizon is the time of demand that a limit covers beyond what is spent. It
	// exceeds the partitions from the store of eight seconds that are usual.
	horizon = 9 * time.Second
	// floorShare is the part of a total that a router without demand holds, so
	// that first requests need not wait for the ledger.
	floorShare = 100
	// marginShare is the largest part of what is left of a total that all routers
	// together hold as their margin, and marginSlope what that part is for each part
	// of the total that is left. A margin is lost if its router dies, and the less is
	// left, the sooner clients are refused for what was lost. Of the shapes that were
	// measured, this one served most; see docs/decisions/0007-limit-ledger.md.
	marginShare = 1.0 / 3
	marginSlope = 0.4
	// deathScale is the number of deaths in the ledger that halves the share: each
	// one makes another one more likely. mostDeaths bounds it to a third.
	deathScale = 6
	mostDeaths = 12
)

// wanted returns what this router wants to be free to spend of a total.
func wanted(w *world.World, a *table.Account, p *table.Prepaid) table.Tokens {
	a.Demand.Add(w.Now, 0, demandTime)
	margin := max(p.Total/floorShare, table.Tokens(a.Demand.PerSecond*horizon.Seconds()+a.Mean))
	return min(margin, marginPart(w, p, remaining(w, a)))
}

// marginPart returns the most that this router may hold as its margin of a total
// of which so much is left.
func marginPart(w *world.World, p *table.Prepaid, left table.Tokens) table.Tokens {
	if left <= 0 || p.Total <= 0 {
		return 0
	}
	share := min(marginShare, marginSlope*float64(left)/float64(p.Total))
	share *= deathScale / float64(deathScale+min(mostDeaths, w.LimitShare.Content.Deaths))
	return table.Tokens(share * float64(left) / float64(max(1, w.LimitShare.Routers)))
}

// eachLimited visits the customers with a limited total, and adds accounts that
// are absent.
func eachLimited(w *world.World, visit func(table.CustomerID, *table.Prepaid, *table.Account)) {
	w.Prepaids.Each(func(c table.CustomerID, p *table.Prepaid) {
		if p.Limited {
			visit(c, p, account(w, c))
		}
	})
}

// propose returns the ledger with the limits that this router wants.
func propose(w *world.World) table.LimitLedger {
	content := w.LimitShare.Content.Clone()
	content.CloseEarlier(w.Self())
	entries := make(map[table.CustomerID]table.LimitEntry)
	count := routers(&content)
	eachLimited(w, func(c table.CustomerID, p *table.Prepaid, a *table.Account) {
		entries[c] = table.LimitEntry{Limit: limit(w, a, p, &content, count, wanted(w, a, p)), Spent: a.Net()}
	})
	w.Accounts.Each(func(c table.CustomerID, a *table.Account) {
		if _, ok := entries[c]; !ok && a.Recorded != 0 {
			// The customer is not in the configuration any more, or not limited.
			entries[c] = table.LimitEntry{Limit: a.Used() - a.Base, Spent: a.Net()}
		}
	})
	content.Holders = slices.DeleteFunc(content.Holders, func(h table.LimitHolder) bool { return h.Holder == w.Self() })
	if w.Closing && w.Exchanges.Len() == 0 {
		w.LimitShare.Closing = true
		for c, e := range entries {
			content.Closed[c] += e.Limit
		}
		return content
	}
	content.Holders = append(content.Holders, table.LimitHolder{Holder: w.Self(), Address: w.Params.Front.PeerAddress, Entries: entries})
	grantRequests(w, &content)
	return content
}

// limit returns the limit that this router, one of count, proposes for itself to
// have the margin free. What no request waits for is taken in parts of what is
// left, so that the last of a total is not held by a router that does not need it.
func limit(w *world.World, a *table.Account, p *table.Prepaid, content *table.LimitLedger, count int, margin table.Tokens) table.Tokens {
	// What was received from other routers is in their limits; an entry may be
	// negative by what is left of it.
	used := a.Used() - a.Base
	if w.Closing {
		return used
	}
	room := p.Total - (content.Allocated(a.Customer) - a.Recorded)
	left := room - a.Recorded
	want := used + a.Waiting + margin
	if left < 0 {
		// The total was lowered below what the routers may spend.
		return max(used, min(a.Recorded, room))
	}
	if want > a.Recorded {
		return a.Recorded + min(want-a.Recorded, left, max(a.Waiting, left/table.Tokens(2*max(1, count))))
	}
	if a.Recorded-want < margin/gainShare {
		// Small surpluses stay, so that limits do not change with each write.
		return a.Recorded
	}
	return max(used, want)
}

// lower takes the limits down at once that the proposed content lowers: once the
// write is under way, it may take effect at any time.
func lower(w *world.World, content *table.LimitLedger) {
	own := content.Find(w.Self())
	w.Accounts.Each(func(c table.CustomerID, a *table.Account) {
		var proposed table.Tokens
		if own != nil {
			proposed = own.Entries[c].Limit
		} else {
			proposed = a.Used() - a.Base
		}
		a.Limit = min(a.Limit, a.Base+proposed)
	})
}
