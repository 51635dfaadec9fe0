package allowance

import (
	"strconv"
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// After a conflict, a router delays its next write by a random time below
	// conflictDelayPerRouter times the number of routers. A write takes some
	// milliseconds.
	conflictDelayPerRouter = 4 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed call.
	minBackoff = 30 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// onLedgerResult applies the result of a ledger call. After a call without an
// answer, each limit stays at the lower of its old and proposed values until the
// ledger has a higher revision than the call was conditional on. A later write that
// is answered does not show that: one that changes nothing keeps the revision. If the
// store has returned since the call was sent, its outcome shows nothing about the ledger.
func onLedgerResult(w *world.World, e *event.LimitLedgerResult) {
	s := &w.LimitLedgerView
	s.CallOpen = false
	answered := e.Status == event.CallOK || e.Status == event.CallConflict
	storeReturned := s.CallReturns != w.StoreEra.Returns
	if storeReturned && !answered {
		return
	}
	switch e.Status {
	case event.CallOK, event.CallConflict:
		if e.Status == event.CallOK && !storeReturned {
			onWriteApplied(w, e)
		}
		if !s.ContentKnown {
			w.RecordStateChange("ledger", "limits", "unknown", "known", "revision "+strconv.FormatUint(e.Revision, 10))
		}
		s.ContentKnown, s.ConfirmedAt, s.Backoff = true, s.CallSentAt, 0
		s.WriteOutcomeUnknown = s.WriteOutcomeUnknown && e.Revision <= s.UnansweredRevision
		// The requested limits may be recorded by now; otherwise they are requested
		// again.
		s.LimitRequestOpen = false
		if e.Revision >= s.Revision {
			receiveContent(w, e.Revision, &e.Content)
		}
		applyFollowingSteps(w)
		if s.WriteOutcomeUnknown {
			w.Count("allowance.unchanged_writes")
		}
		if !s.WriteOutcomeUnknown || isEntryAbsent(w) {
			adoptRecordedLimits(w)
		}
		if e.Status == event.CallConflict {
			backOffAfterConflict(w)
		}
	case event.CallNotApplied:
		dropAllRequests(w)
		w.Count("allowance.calls_refused")
		if !s.WriteOutcomeUnknown {
			adoptRecordedLimits(w)
		}
		backOff(w)
	default:
		s.WriteOutcomeUnknown, s.UnansweredRevision = true, max(s.UnansweredRevision, s.CallRevision)
		dropAllRequests(w)
		w.Count("allowance.calls_unanswered")
		backOff(w)
	}
}

// isEntryAbsent reports whether a router that closes its entry has none in the ledger, so that
// there is nothing to change. An unanswered write that registered it may still be carried out.
func isEntryAbsent(w *world.World) bool {
	s := &w.LimitLedgerView
	return s.EntryCloseSent && s.Content.Find(w.Self()) == nil
}

// backOffAfterConflict spreads the next writes of routers that conflicted. The
// first conflict of a router in a small fleet causes no delay: few other
// routers are likely to retry at the same time. Nor does the one by which the writer for the
// others sees what the store has after a return: they wait for it.
func backOffAfterConflict(w *world.World) {
	s := &w.LimitLedgerView
	w.Count("allowance.conflicts")
	s.ConsecutiveConflicts++
	if s.RestoreDue && s.ConsecutiveConflicts == 1 && chooseWriter(w, true) == nil {
		return
	}
	if s.ConsecutiveConflicts > 1 || s.RouterCount > unscaledFleetSize {
		maxDelay := int64(conflictDelayPerRouter) * int64(max(1, s.RouterCount))
		s.RetryAt = w.Now.Add(time.Duration(w.Rand.Int64N(maxDelay)))
	}
}

// backOff doubles the delay before the next call after a failed one. Half of
// the delay is random.
func backOff(w *world.World) {
	s := &w.LimitLedgerView
	s.Backoff = min(max(2*s.Backoff, minBackoff), maxBackoff)
	half := s.Backoff / 2
	s.RetryAt = w.Now.Add(half + time.Duration(w.Rand.Int64N(int64(half)+1)))
	w.WakeAt(s.RetryAt)
}

// adoptRecordedLimits sets the limits of all accounts to those in the ledger.
func adoptRecordedLimits(w *world.World) {
	own := w.LimitLedgerView.Content.Find(w.Self())
	if own == nil && w.LimitLedgerView.EntryCloseSent {
		// The closing write took effect, possibly without an answer.
		w.LimitLedgerView.EntryClosed = true
		return
	}
	if !isRecorded(w, own) {
		return
	}
	w.LimitLedgerView.StatedEra = w.StoreEra.Number
	if own == nil {
		// A later process of the same name closed the entry. The ledger counts its
		// limits as spent, so this router may still spend them.
		w.Accounts.Each(func(_ table.CustomerID, a *table.Account) {
			a.ClosedLimit, a.RecordedLimit = a.ClosedLimit+a.RecordedLimit, 0
			a.Limit = a.ClosedLimit
		})
		return
	}
	if w.LimitLedgerView.RegisteredAt == 0 {
		w.LimitLedgerView.RegisteredAt = w.Now
	}
	for c, entry := range own.Entries {
		a := ensureAccount(w, c)
		if a.RecordedLimit != entry.Limit {
			w.RecordStateChange("limit", string(c), formatTokens(a.RecordedLimit), formatTokens(entry.Limit), "spent "+formatTokens(a.Spent)+", reserved "+formatTokens(a.Reserved))
		}
		a.RecordedLimit = entry.Limit
	}
	w.Accounts.Each(func(_ table.CustomerID, a *table.Account) { a.Limit = a.ClosedLimit + a.RecordedLimit })
}

// setContent replaces the copy of the ledger and what is derived from it.
func setContent(w *world.World, revision uint64, content *table.LimitLedger) {
	s := &w.LimitLedgerView
	s.Revision, s.Content = revision, *content
	s.Sums = content.SumEntries()
	registered := make(map[table.Holder]bool, len(content.Holders))
	changed := len(content.Holders) != len(s.Registered)
	for i := range content.Holders {
		registered[content.Holders[i].Holder] = true
		changed = changed || !s.Registered[content.Holders[i].Holder]
	}
	if changed {
		s.Registered, s.RouterCount = registered, countRouters(content)
		w.FleetGeneration++
	}
}

func formatTokens(n table.Tokens) string { return strconv.FormatInt(int64(n), 10) }

// countRouters returns the number of distinct process names in the ledger.
func countRouters(ledger *table.LimitLedger) int {
	names := make(map[table.ProcessID]bool, len(ledger.Holders))
	for i := range ledger.Holders {
		names[ledger.Holders[i].Process] = true
	}
	return len(names)
}
