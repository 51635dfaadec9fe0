package table

import (
	"maps"
	"slices"
	"time"
)

// LimitEntry is the ledger's record of one router and one customer.
type LimitEntry struct {
	// Limit is the most that the router may spend of the customer's total.
	Limit Tokens
	// Spent is the router's Account.NetSpent at the time of the write: it includes
	// tokens transferred out and excludes tokens transferred in.
	Spent Tokens
}

// LimitHolder is a router in the limit ledger, with its entries.
type LimitHolder struct {
	Holder
	// Address is where other routers reach the holder.
	Address string
	Entries map[CustomerID]LimitEntry
	// ForcedChanges counts the writes that had to change the ledger, so that an earlier one
	// without an answer can no longer be carried out.
	ForcedChanges uint64
	// StatedEra is the store's era in which the holder itself last had its entry written, or 0
	// from releases without eras. After a return of the store, only that shows that the entry
	// has all that the holder may spend.
	StatedEra uint64 `msgpack:",omitempty"`
}

// LedgerVersion orders the contents of the limit ledger over the returns of the store: a
// content of a later era begins with what the routers knew of an earlier one.
type LedgerVersion struct {
	// Era is the store's era in which the content was written, or 0 if that is unknown, and
	// Writes counts the writes up to it.
	Era    uint64
	Writes uint64
}

// Before reports whether v is of an earlier content than other.
func (v LedgerVersion) Before(other LedgerVersion) bool {
	return v.Era < other.Era || v.Era == other.Era && v.Writes < other.Writes
}

// LedgerHistory says how far the content of the limit ledger is known to be complete.
type LedgerHistory struct {
	Version LedgerVersion
	// RestoredFrom is the version of an earlier era that the content of this era includes.
	RestoredFrom LedgerVersion
	// SettledEra is the last era in which all holders have stated their entries, or were given
	// the time for it.
	SettledEra uint64
}

// LimitLedger divides the customers' prepaid totals among the routers. It is
// stored as one object with conditional writes. Invariant of each version: for
// each customer, ClosedTokens plus the sum of all limits do not exceed the total. A
// content that was read or sent is immutable; writers change a copy.
type LimitLedger struct {
	// ClosedTokens are what routers that ended have spent or may have spent.
	ClosedTokens map[CustomerID]Tokens
	// LostTokens is the part of ClosedTokens that routers which crashed had not
	// recorded as spent.
	LostTokens map[CustomerID]Tokens
	// AbandonedEntries counts the entries that their routers did not close before
	// they ended.
	AbandonedEntries int
	Holders          []LimitHolder
	LedgerHistory
}

// Clone returns a copy whose map and slice may be changed. The copy shares the
// holders' Entries maps.
func (l *LimitLedger) Clone() LimitLedger {
	c := LimitLedger{
		ClosedTokens: make(map[CustomerID]Tokens, len(l.ClosedTokens)), LostTokens: make(map[CustomerID]Tokens, len(l.LostTokens)),
		AbandonedEntries: l.AbandonedEntries, Holders: slices.Clone(l.Holders), LedgerHistory: l.LedgerHistory,
	}
	maps.Copy(c.ClosedTokens, l.ClosedTokens)
	maps.Copy(c.LostTokens, l.LostTokens)
	return c
}

// Find returns the entries of a holder, or nil.
func (l *LimitLedger) Find(h Holder) *LimitHolder {
	for i := range l.Holders {
		if l.Holders[i].Holder == h {
			return &l.Holders[i]
		}
	}
	return nil
}

// Put adds a holder's entries, replacing earlier ones of the same holder.
func (l *LimitLedger) Put(h LimitHolder) {
	if old := l.Find(h.Holder); old != nil {
		*old = h
		return
	}
	l.Holders = append(l.Holders, h)
}

// CloseEarlierIncarnations closes the entries of other incarnations of the
// holder's process. Those ended without closing them, so their whole limits
// count as spent.
func (l *LimitLedger) CloseEarlierIncarnations(holder Holder) {
	l.Holders = slices.DeleteFunc(l.Holders, func(h LimitHolder) bool {
		if h.Process != holder.Process || h.Incarnation == holder.Incarnation {
			return false
		}
		l.AbandonedEntries++
		for c, e := range h.Entries {
			l.ClosedTokens[c] += e.Limit
			l.LostTokens[c] += max(0, e.Limit-e.Spent)
		}
		return true
	})
}

// Diff returns the changes from l to a later content. The caller sets the
// revisions.
func (l *LimitLedger) Diff(next *LimitLedger) LedgerStep {
	step := LedgerStep{
		ClosedTokens: next.ClosedTokens, LostTokens: next.LostTokens, AbandonedEntries: next.AbandonedEntries, LedgerHistory: next.LedgerHistory,
	}
	for i := range next.Holders {
		h := &next.Holders[i]
		if old := l.Find(h.Holder); old == nil || old.Address != h.Address || old.ForcedChanges != h.ForcedChanges ||
			old.StatedEra != h.StatedEra || !maps.Equal(old.Entries, h.Entries) {
			step.Holders = append(step.Holders, *h)
		}
	}
	for i := range l.Holders {
		if next.Find(l.Holders[i].Holder) == nil {
			step.Removed = append(step.Removed, l.Holders[i].Holder)
		}
	}
	return step
}

// Whole returns the step from any content to l.
func (l *LimitLedger) Whole(revision uint64) LedgerStep {
	return LedgerStep{
		Revision: revision, Full: true, Holders: l.Holders, ClosedTokens: l.ClosedTokens, LostTokens: l.LostTokens, AbandonedEntries: l.AbandonedEntries,
		LedgerHistory: l.LedgerHistory,
	}
}

// Apply returns the content after a step. It does not change l.
func (l *LimitLedger) Apply(step *LedgerStep) LimitLedger {
	next := LimitLedger{
		ClosedTokens: step.ClosedTokens, LostTokens: step.LostTokens, AbandonedEntries: step.AbandonedEntries, Holders: slices.Clone(l.Holders),
		LedgerHistory: step.LedgerHistory,
	}
	next.Holders = slices.DeleteFunc(next.Holders, func(h LimitHolder) bool { return slices.Contains(step.Removed, h.Holder) })
	for _, h := range step.Holders {
		next.Put(h)
	}
	return next
}

// Merge returns the content with what an earlier era's content has beyond it. Entries that
// their holders have stated in the era count as they are; what else there is, is replaced by
// what the earlier content says.
func (l *LimitLedger) Merge(earlier *LimitLedger, era uint64) LimitLedger {
	merged := l.Clone()
	merged.Holders = slices.DeleteFunc(merged.Holders, func(h LimitHolder) bool { return h.StatedEra != 0 && h.StatedEra != era })
	for _, h := range earlier.Holders {
		if merged.Find(h.Holder) == nil {
			merged.Holders = append(merged.Holders, h)
		}
	}
	mergeLargest(merged.ClosedTokens, earlier.ClosedTokens)
	mergeLargest(merged.LostTokens, earlier.LostTokens)
	merged.AbandonedEntries = max(merged.AbandonedEntries, earlier.AbandonedEntries)
	merged.RestoredFrom = earlier.Version
	return merged
}

func mergeLargest(sums, others map[CustomerID]Tokens) {
	for c, n := range others {
		sums[c] = max(sums[c], n)
	}
}

// Allocated returns the tokens of a customer's total that are closed or part of
// a router's limit.
func (l *LimitLedger) Allocated(c CustomerID) Tokens {
	sum := l.ClosedTokens[c]
	for i := range l.Holders {
		sum += l.Holders[i].Entries[c].Limit
	}
	return sum
}

// LimitLedgerView is this router's copy of the limit ledger and the state of
// its calls to it.
type LimitLedgerView struct {
	// ContentKnown is true once Content and Revision were read.
	ContentKnown bool
	Revision     uint64
	Content      LimitLedger
	// Complete is true once Content has all that the routers have written. It is false in a
	// process that only knows what the store still has after a return.
	Complete bool
	// Earlier is the last content that was known before the store returned, until the ledger
	// includes it; EarlierKnown is true until then.
	EarlierKnown bool
	Earlier      LimitLedger
	// ReadInEraAt is when this router first received a content in this era of the store, or 0.
	ReadInEraAt Instant
	// RestoreDue is true while Content has more than the store has at Revision.
	RestoreDue bool
	// StatedEra is the store's era in which the ledger last recorded this router's own
	// statement of its entry.
	StatedEra uint64
	// CallOpen is true while a call awaits its answer. CallSentAt is when it was
	// sent, and CallRevision the revision that its write was conditional on.
	CallOpen     bool
	CallSentAt   Instant
	CallRevision uint64
	// CallRestores is true if the open call writes more than a change of what the store has.
	// CallReturns is how often the store had returned when the call was sent.
	CallRestores bool
	CallReturns  int
	// WriteOutcomeUnknown is true after a write without an answer, which may still be
	// carried out, until the ledger is known to have a revision above UnansweredRevision,
	// the highest that such a write was conditional on.
	WriteOutcomeUnknown bool
	UnansweredRevision  uint64
	// RouterCount is the number of routers in the ledger, or 0 before it is known.
	// They share the retry budget.
	RouterCount int
	// Registered are the routers that have an entry in Content, and Sums the sums
	// over the entries of each customer.
	Registered map[Holder]bool
	Sums       map[CustomerID]LedgerSum
	// ConsecutiveConflicts counts the consecutive writes that failed because
	// another router wrote first.
	ConsecutiveConflicts int
	// ConfirmedAt is when Content was last known to be current: when the call that
	// returned it was sent, or when the last change by another router arrived.
	ConfirmedAt Instant
	// OutOfOrderSteps are changes by other routers that cannot be applied yet,
	// because the change that follows Revision has been missing since
	// OutOfOrderSince.
	OutOfOrderSteps []LedgerStep
	OutOfOrderSince Instant
	// LimitRequestSentAt is when LimitRequestSentTo was last asked to write this
	// router's limits. LimitRequestOpen is true while the answer is awaited, and
	// LimitRequestUrgent if a client's request waited for it.
	LimitRequestSentAt Instant
	LimitRequestSentTo Holder
	LimitRequestOpen   bool
	LimitRequestUrgent bool
	// WrittenAt is when the last write that took effect was sent.
	WrittenAt Instant
	// RetryAt is when the next call may be sent, after a delay of up to Backoff.
	RetryAt Instant
	Backoff time.Duration
	// RegisteredAt is when this router first saw its entry in the ledger, or 0.
	RegisteredAt Instant
	// EntryCloseSent is true once this router, at its shutdown, sent a write that
	// closes its entry. EntryClosed is true once the ledger no longer has that
	// entry.
	EntryCloseSent bool
	EntryClosed    bool
}

// LedgerSum holds the sums over a customer's entries in the limit ledger: the tokens
// that are closed or part of a limit, and those that are closed or recorded as spent.
type LedgerSum struct {
	Allocated Tokens
	Spent     Tokens
}

// SumEntries returns the sums of all customers with tokens in the ledger.
func (l *LimitLedger) SumEntries() map[CustomerID]LedgerSum {
	sums := make(map[CustomerID]LedgerSum, len(l.ClosedTokens))
	for c, closed := range l.ClosedTokens {
		sums[c] = LedgerSum{Allocated: closed, Spent: closed}
	}
	for i := range l.Holders {
		for c, e := range l.Holders[i].Entries {
			s := sums[c]
			sums[c] = LedgerSum{Allocated: s.Allocated + e.Limit, Spent: s.Spent + e.Spent}
		}
	}
	return sums
}

// LedgerStep is one change of the limit ledger: the difference between the
// revisions before and after a write.
type LedgerStep struct {
	// Previous and Revision are the ledger's revisions before and after the write.
	Previous uint64
	Revision uint64
	// Holders are the entries that the write added or replaced, Removed those that
	// it closed.
	Holders []LimitHolder
	Removed []Holder
	// ClosedTokens, LostTokens and AbandonedEntries have the same values as in the
	// ledger after the write.
	ClosedTokens     map[CustomerID]Tokens `msgpack:"Closed"`
	LostTokens       map[CustomerID]Tokens `msgpack:"Lost"`
	AbandonedEntries int                   `msgpack:"Deaths"`
	// Full is true if Holders are all entries, whatever the ledger was before.
	Full bool `msgpack:",omitempty"`
	LedgerHistory
}

// Content returns the content that a full step leads to.
func (s *LedgerStep) Content() *LimitLedger {
	return &LimitLedger{
		ClosedTokens: s.ClosedTokens, LostTokens: s.LostTokens, AbandonedEntries: s.AbandonedEntries, Holders: s.Holders, LedgerHistory: s.LedgerHistory,
	}
}

// LimitRequest is another router's request to record its limits in the ledger.
type LimitRequest struct {
	Holder
	Entries map[CustomerID]LimitEntry
	// Urgent is true while a client's request waits for it.
	Urgent bool
	// Register is true if the router has no entry yet; Address is the address to
	// record in it.
	Register bool
	Address  string
	// States is true if Held are all limits that the router has, and what it has spent.
	States bool
	Held   map[CustomerID]LimitEntry
	// WriteOpen is true while a write that includes the request awaits its answer.
	WriteOpen bool
}
