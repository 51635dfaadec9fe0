package allowance

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/system/delegate"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// A router requests more tokens, even if no client waits, once the available
	// tokens fall below the target margin divided by refillDivisor. Limits change
	// only by more than the margin divided by minChangeDivisor, except for
	// waiting requests.
	refillDivisor    = 2
	minChangeDivisor = 4
	// refillInterval and spentReportInterval are the minimum intervals between
	// changes of one router's entry that refill margins, and that only report
	// what was spent. If a router writes its entry itself, the intervals grow
	// with the fleet beyond unscaledFleetSize routers, so that the total rate of
	// calls to the store stays the same.
	refillInterval      = 300 * time.Millisecond
	spentReportInterval = 2 * time.Second
	unscaledFleetSize   = 4
	// ledgerStaleAfter is the age of this router's copy of the ledger after which
	// a waiting request causes a write even if the copy has too few unallocated
	// tokens: the ledger may have more by then.
	ledgerStaleAfter = time.Second
)

// planWrite sends a write of the ledger, or requests one from another router,
// if it is due.
func planWrite(w *world.World) {
	s := &w.LimitLedgerView
	if s.CallOpen || s.EntryClosed || w.Manifest.Version == 0 || awaitRestoration(w) || !writeDue(w) {
		return
	}
	if s.RetryAt > w.Now {
		w.WakeAt(s.RetryAt)
		return
	}
	proposal := proposeLedger(w)
	lowerLimits(w, &proposal)
	sendWrite(w, s.Revision, proposal)
}

// sendWrite writes a content on condition of a revision, or if there is none if that is 0.
func sendWrite(w *world.World, revision uint64, content table.LimitLedger) {
	s := &w.LimitLedgerView
	s.CallOpen, s.CallSentAt, s.CallRevision = true, w.Now, revision
	s.CallRestores, s.CallReturns = s.RestoreDue || revision == 0 && w.StoreEra.Number > 0, w.StoreEra.Returns
	w.Out.WriteLimitLedgers = append(w.Out.WriteLimitLedgers, command.WriteLimitLedger{Revision: revision, Content: content})
	w.Count("allowance.writes")
}

// writeDue reports whether this router should write the ledger now. If another
// router writes for it, it sends that router a request instead.
func writeDue(w *world.World) bool {
	s := &w.LimitLedgerView
	if !s.ContentKnown || s.RestoreDue && (s.Backoff == 0 || !needsStatement(w)) {
		return true
	}
	own := s.Content.Find(w.Self())
	if w.Closing {
		return w.Exchanges.Len() == 0 || own != nil && hasSurplus(w) && w.DueOrWake(s.WrittenAt.Add(scaleToFleet(w, refillInterval)))
	}
	need := assessNeed(w, own)
	if need.returnsLimit && w.DueOrWake(s.WrittenAt.Add(scaleToFleet(w, spentReportInterval))) || own != nil && peerWriteDue(w) {
		return true
	}
	if stepMissing(w) {
		// This write will conflict, and the answer will contain the whole ledger.
		return w.DueOrWake(s.WrittenAt.Add(refillInterval))
	}
	if writer := chooseWriter(w, own != nil); writer != nil && (!s.WriteOutcomeUnknown || needsStatement(w)) {
		return !requestWrite(w, writer, own, need)
	}
	return urgencyDue(w, need.urgency, s.WrittenAt, scaleToFleet(w, refillInterval), scaleToFleet(w, spentReportInterval))
}

// urgency is how soon the ledger must change for a router.
type urgency int

const (
	urgencyNone urgency = iota
	// urgencyReport only reports to other routers what was spent.
	urgencyReport
	// urgencyRefill refills margins.
	urgencyRefill
	// urgencyWaiting serves a waiting request.
	urgencyWaiting
)

// writeNeed is what a router needs from a ledger write.
type writeNeed struct {
	urgency urgency
	// returnsLimit is true if the write would return a part of this router's
	// limits.
	returnsLimit bool
}

func assessNeed(w *world.World, own *table.LimitHolder) writeNeed {
	s := &w.LimitLedgerView
	if own == nil || needsStatement(w) {
		// Nothing can be spent without an entry, and nothing is given out while one is not
		// stated.
		return writeNeed{urgency: urgencyWaiting}
	}
	need := writeNeed{urgency: urgencyNone}
	raise := mayRaise(w)
	forEachLimited(w, func(c table.CustomerID, p *table.PrepaidCustomer, a *table.Account) {
		allocated := s.Sums[c].Allocated
		unallocated := p.Total - allocated
		margin := targetMargin(w, a, p)
		target := proposeLimit(w, a, p, allocated, margin, raise)
		need.returnsLimit = need.returnsLimit || target < a.RecordedLimit
		if unallocated < 0 && a.RecordedLimit > 0 {
			need.urgency = max(need.urgency, urgencyRefill)
		}
		if a.SmallestShortfall > 0 && raise && !transferPossible(w, a) && (unallocated >= a.SmallestShortfall || s.ConfirmedAt.Add(scaleToFleet(w, ledgerStaleAfter)) <= w.Now) {
			need.urgency = urgencyWaiting
		}
		if a.Available() < margin/refillDivisor && target-a.RecordedLimit > margin/minChangeDivisor {
			need.urgency = max(need.urgency, urgencyRefill)
		}
		if a.NetSpent() != own.Entries[c].Spent && (a.RecordedLimit != 0 || delegate.For(w, string(c)).IncludesSelf) {
			need.urgency = max(need.urgency, urgencyReport)
		}
	})
	return need
}

// transferPossible reports whether another router may still serve a waiting request.
// A holder does not wait for the others if the ledger has what it needs.
func transferPossible(w *world.World, a *table.Account) bool {
	if transferPending(w, a) {
		return !canRaiseLimit(w, a, a.Available()+a.SmallestShortfall)
	}
	return nextHolder(w, a) != nil
}

// urgencyDue reports whether a change of the given urgency is due if the last
// one was at last.
func urgencyDue(w *world.World, u urgency, last table.Instant, refill, report time.Duration) bool {
	switch u {
	case urgencyWaiting:
		return true
	case urgencyRefill:
		return w.DueOrWake(last.Add(refill))
	case urgencyReport:
		return w.DueOrWake(last.Add(report))
	}
	return false
}

// hasSurplus reports whether the ledger records limits beyond what a router
// that shuts down needs.
func hasSurplus(w *world.World) bool {
	found := false
	w.Accounts.Each(func(_ table.CustomerID, a *table.Account) {
		found = found || a.RecordedLimit > a.RequiredLimit()-a.ClosedLimit
	})
	return found
}

// scaleToFleet returns the interval scaled to the number of routers.
func scaleToFleet(w *world.World, interval time.Duration) time.Duration {
	return max(interval, interval*time.Duration(w.LimitLedgerView.RouterCount)/unscaledFleetSize)
}
