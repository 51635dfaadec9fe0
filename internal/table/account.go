package table

import (
	"maps"
	"slices"
	"time"
)

// Account is what this router holds of one customer's prepaid total.
// Invariant: Spent and Reserved never exceed Limit.
type Account struct {
	Customer CustomerID
	// Limit is the most that this router may spend in all, as far as the ledger
	// is known to record it. While a write that lowers it is unanswered, it is
	// already lowered.
	Limit Tokens
	// Recorded is the limit in this router's entry of the ledger.
	Recorded Tokens
	// Base is the part of Limit that the ledger counts as closed: a later process
	// of the same name closed this router's entry while it was still running.
	Base Tokens
	// Spent is charged for ended requests, Reserved held for open ones.
	Spent    Tokens
	Reserved Tokens
	// TransferredIn and TransferredOut moved between routers without the ledger.
	TransferredIn  Tokens
	TransferredOut Tokens
	// Demand is a moving average of the spend in tokens.
	Demand DecayingRate
	// Mean is a moving average of the size of reservations.
	Mean float64
	// Missing is the smallest addition that serves a waiting request, and
	// Waiting the sum of all that wait.
	Missing Tokens
	Waiting Tokens
	// AskedAt is when peers were last asked for a transfer, for AskedNeed.
	AskedAt   Instant
	AskedNeed Tokens
}

// Free returns what may still be reserved.
func (a *Account) Free() Tokens {
	return a.Limit + a.TransferredIn - a.TransferredOut - a.Spent - a.Reserved
}

// Net returns what was spent or passed on, less what was received and what the
// ledger counts as closed. Over all routers, transfers cancel out.
func (a *Account) Net() Tokens { return a.Spent + a.TransferredOut - a.TransferredIn - a.Base }

// Used returns the least limit that covers what was spent, reserved or passed on.
func (a *Account) Used() Tokens {
	return a.Spent + a.Reserved + a.TransferredOut - a.TransferredIn
}

// LimitEntry is what the ledger records of one router and one customer.
type LimitEntry struct {
	// Limit is the most that the router may spend of the customer's total.
	Limit Tokens
	// Spent is what the router had spent when it wrote the entry, with what it had
	// passed on and without what it had received.
	Spent Tokens
}

// LimitHolder is a router's part of the ledger.
type LimitHolder struct {
	Holder
	// Address is where other routers reach it.
	Address string
	Entries map[CustomerID]LimitEntry
}

// LimitLedger is the ledger of all customers' prepaid totals. Invariant of each
// version: for each customer, Closed plus all limits do not exceed the total.
// A content is never changed once it was read or sent; writers copy it.
type LimitLedger struct {
	// Closed is what routers that ended have spent, or may have spent.
	Closed map[CustomerID]Tokens
	// Deaths counts the entries that routers left behind without closing them.
	Deaths  int
	Holders []LimitHolder
}

// Clone returns a copy whose lists may be changed. The entries of holders are
// shared.
func (l *LimitLedger) Clone() LimitLedger {
	c := LimitLedger{
		Closed: make(map[CustomerID]Tokens, len(l.Closed)), Deaths: l.Deaths, Holders: slices.Clone(l.Holders),
	}
	maps.Copy(c.Closed, l.Closed)
	return c
}

// Find returns the entry of a holder, or nil.
func (l *LimitLedger) Find(h Holder) *LimitHolder {
	for i := range l.Holders {
		if l.Holders[i].Holder == h {
			return &l.Holders[i]
		}
	}
	return nil
}

// Replace puts the entry of a holder in the place of its earlier one.
func (l *LimitLedger) Replace(h LimitHolder) {
	if old := l.Find(h.Holder); old != nil {
		*old = h
		return
	}
	l.Holders = append(l.Holders, h)
}

// CloseEarlier closes the entries of earlier processes of a holder's name: they
// ended without doing so, and may have spent all of their limits.
func (l *LimitLedger) CloseEarlier(holder Holder) {
	l.Holders = slices.DeleteFunc(l.Holders, func(h LimitHolder) bool {
		if h.Process != holder.Process || h.Incarnation == holder.Incarnation {
			return false
		}
		l.Deaths++
		for c, e := range h.Entries {
			l.Closed[c] += e.Limit
		}
		return true
	})
}

// StepTo returns what changed from l to a later content.
func (l *LimitLedger) StepTo(next *LimitLedger) LedgerStep {
	step := LedgerStep{Closed: next.Closed, Deaths: next.Deaths}
	for i := range next.Holders {
		h := &next.Holders[i]
		if old := l.Find(h.Holder); old == nil || old.Address != h.Address || !maps.Equal(old.Entries, h.Entries) {
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

// Apply returns the content after a step. It does not change l.
func (l *LimitLedger) Apply(step *LedgerStep) LimitLedger {
	next := LimitLedger{Closed: step.Closed, Deaths: step.Deaths, Holders: slices.Clone(l.Holders)}
	next.Holders = slices.DeleteFunc(next.Holders, func(h LimitHolder) bool { return slices.Contains(step.Removed, h.Holder) })
	for _, h := range step.Holders {
		next.Replace(h)
	}
	return next
}

// Allocated returns what is closed or may be spent of a customer's total.
func (l *LimitLedger) Allocated(c CustomerID) Tokens {
	sum := l.Closed[c]
	for i := range l.Holders {
		sum += l.Holders[i].Entries[c].Limit
	}
	return sum
}

// KnownSpent returns what has certainly been spent, or counts as such.
func (l *LimitLedger) KnownSpent(c CustomerID) Tokens {
	sum := l.Closed[c]
	for i := range l.Holders {
		sum += l.Holders[i].Entries[c].Spent
	}
	return sum
}

// LimitShare is this router's view of the ledger object and of its open call.
type LimitShare struct {
	Known    bool
	Revision uint64
	Content  LimitLedger
	// Calling is true while a call is open, since CalledAt, on condition of
	// CalledRevision.
	Calling        bool
	CalledAt       Instant
	CalledRevision uint64
	// Unsure is true after a write without an answer, until a later call shows
	// whether it took effect: it may still be carried out.
	Unsure bool
	// Routers is how many routers there are by the ledger, or 0 before it is known.
	// They share the margins of each total and the retry budget.
	Routers int
	// Conflicts counts the writes in a row that lost against another router's.
	Conflicts int
	// Confirmed is when the last call that gave Content was sent.
	Confirmed Instant
	// Later are changes that do not follow on Revision: an earlier one is missing
	// since LaterSince.
	Later      []LedgerStep
	LaterSince Instant
	// RequestedAt is when RequestedOf was last asked to write this router's limits.
	// Requested is true while the answer is awaited, RequestedUrgent if a client
	// waited for it.
	RequestedAt     Instant
	RequestedOf     Holder
	Requested       bool
	RequestedUrgent bool
	// WrittenAt is when the last write that took effect was sent.
	WrittenAt Instant
	NextTry   Instant
	Backoff   time.Duration
	// Closing is true once a write was sent that closes the entry of this router
	// for its end, and Closed once the ledger has no entry of it any more.
	Closing bool
	Closed  bool
}

// LedgerStep is what one write of the ledger changed.
type LedgerStep struct {
	// Previous and Revision are the ledger's revisions before and after the write.
	Previous uint64
	Revision uint64
	// Holders are the entries that the write added or replaced, Removed those that
	// it closed.
	Holders []LimitHolder
	Removed []Holder
	// Closed and Deaths are as in the ledger after the write.
	Closed map[CustomerID]Tokens
	Deaths int
}

// LimitRequest is what another router wants recorded in the ledger.
type LimitRequest struct {
	Holder
	Entries map[CustomerID]LimitEntry
	Urgent  bool
	// Register is true if the router has no entry yet; Address is that of the entry.
	Register bool
	Address  string
	// Writing is true while a write that includes it is open.
	Writing bool
}

// AllowancePeer is another router that this one exchanges allowances with.
type AllowancePeer struct {
	Holder
	Connected bool
	Session   uint64
	// Free is what it said it may still spend, less what was asked for since.
	Free map[CustomerID]Tokens
	// StoreDown is true if it said that its calls to the store fail.
	StoreDown bool
	// NoRequestsUntil is when it may be asked to write the ledger again after it
	// did not do so.
	NoRequestsUntil Instant
	// DialAt is when a session may be tried next, DialPause the pause after that.
	DialAt    Instant
	DialPause time.Duration
}
