package table

import (
	"cmp"
	"slices"
	"time"
)

// LedgerGrant is the part of a budget that the ledger assigns to one holder.
type LedgerGrant struct {
	Holder Holder
	Amount Tokens
	// Settled is what the holder has settled or withheld of this budget since its
	// start. Recovery compares it with the charges at the agents, which are also
	// counted from the holder's start.
	Settled Tokens
}

// LedgerBudget is the ledger's record of one budget. Invariant of every
// accepted version: Settled + Withheld + sum of Grants <= Deposited.
type LedgerBudget struct {
	ID        BudgetID
	Deposited Tokens
	Settled   Tokens
	// Withheld is spend that cannot be proved or ruled out after a failure.
	Withheld Tokens
	Grants   []LedgerGrant
	// TopUps are the ids of the last top-ups, so that a repeated one is counted
	// once.
	TopUps []string
}

// Ungranted returns the tokens that can still be granted.
func (b *LedgerBudget) Ungranted() Tokens {
	ungranted := b.Deposited - b.Settled - b.Withheld
	for _, g := range b.Grants {
		ungranted -= g.Amount
	}
	return ungranted
}

// GrantOf returns the grant of a holder; its amount is 0 if there is none.
func (b *LedgerBudget) GrantOf(h Holder) LedgerGrant {
	for _, g := range b.Grants {
		if g.Holder == h {
			return g
		}
	}
	return LedgerGrant{Holder: h}
}

// LedgerWriter records the sequence number of a writer's last write. A writer
// that lost an answer reads it back to learn whether its write took effect.
type LedgerWriter struct {
	Holder   Holder
	Sequence uint64
}

// ShardContent is the value of a ledger shard object. Budgets are sorted by id.
// A content that was read or sent is immutable; writers change a copy.
type ShardContent struct {
	Budgets []LedgerBudget
	Writers []LedgerWriter
}

// Find returns the budget's row, or nil.
func (c *ShardContent) Find(id BudgetID) *LedgerBudget {
	i, ok := c.search(id)
	if !ok {
		return nil
	}
	return &c.Budgets[i]
}

// FindOrInsert returns the budget's row and adds an empty one if it is absent.
func (c *ShardContent) FindOrInsert(id BudgetID) *LedgerBudget {
	i, ok := c.search(id)
	if !ok {
		c.Budgets = slices.Insert(c.Budgets, i, LedgerBudget{ID: id})
	}
	return &c.Budgets[i]
}

func (c *ShardContent) search(id BudgetID) (int, bool) {
	return slices.BinarySearchFunc(c.Budgets, id, func(b LedgerBudget, id BudgetID) int { return cmp.Compare(b.ID, id) })
}

// LastSequence returns the sequence number of a writer's last write, or 0.
func (c *ShardContent) LastSequence(h Holder) uint64 {
	for _, w := range c.Writers {
		if w.Holder == h {
			return w.Sequence
		}
	}
	return 0
}

// TopUp is an operator's deposit that waits for its ledger write.
type TopUp struct {
	// ReplyID identifies the operator's call that waits for the answer.
	ReplyID uint64
	Budget  BudgetID
	Amount  Tokens
	// ID is chosen by the operator, so that a repeated top-up is counted once.
	ID         string
	ReceivedAt Instant
}

// BudgetChange is the effect of a ledger write on one of this router's budgets.
type BudgetChange struct {
	Budget BudgetID
	// NewGrant is this router's grant after the write.
	NewGrant Tokens
	// Settle and Withhold are the amounts that the write adds to the budget's
	// settled and withheld totals.
	Settle   Tokens
	Withhold Tokens
}

// Reclaim asks a shard to take back the grants of a holder that can no
// longer spend, because it is fenced at all agents.
type Reclaim struct {
	Holder Holder
	// Charges are the agents' totals per budget since the holder's start.
	Charges map[BudgetID]Tokens
	// ChargesIncomplete is true if charges may be missing: the unsettled rest of
	// the grants is then withheld.
	ChargesIncomplete bool
}

// PendingShardWrite is a write whose outcome is not known yet. The same write
// is sent again until the ledger shows that it took effect or that it never
// can.
type PendingShardWrite struct {
	// Sequence is the write's sequence number, and Version the object version that
	// the write is conditional on.
	Sequence    uint64
	Version     uint64
	Content     ShardContent
	Changes     []BudgetChange
	TopUps      []TopUp
	WriteSentAt Instant
	// OutcomeUnknown is true after a lost answer, until the shard was read back.
	OutcomeUnknown bool
}

// Shard is this router's copy of a ledger shard and the state of its calls to
// it.
type Shard struct {
	ID ShardID
	// Version is the object's version as last read or written; 0 if absent.
	Version uint64
	// ContentKnown is true while Content holds what was last read or written.
	ContentKnown bool
	Content      ShardContent
	// ReadAt is when the last read or write that gave Content was sent.
	ReadAt Instant
	// Reading and Writing are true while a call to the platform awaits its answer.
	Reading bool
	Writing bool
	// WriteImmediately is true if a write is needed before the settlement interval
	// has passed.
	WriteImmediately bool
	// ReadRequested is true while an operator's query or a recovery needs a read.
	ReadRequested bool
	// CallSentAt is when the open call was sent.
	CallSentAt Instant
	// Sequence is the sequence number of this router's last write of the shard.
	Sequence uint64
	// WrittenAt is when the last write that took effect was sent.
	WrittenAt Instant
	// PendingWrite is the write whose outcome is not known yet, or nil.
	PendingWrite *PendingShardWrite
	// DirtyBudgets are this router's budgets with changes that the ledger lacks.
	DirtyBudgets Set[BudgetID]
	// GrantedBudgets are this router's budgets that have a grant in the ledger.
	GrantedBudgets Set[BudgetID]
	// TopUps wait for the next write.
	TopUps []TopUp
	// Reclaims wait for a write that takes back grants of dead holders.
	Reclaims []Reclaim
	// RetryAt is when the next call may be sent after a failure, and Backoff the
	// last delay. ConsecutiveConflicts counts the consecutive writes that
	// failed because another router wrote first.
	RetryAt              Instant
	Backoff              time.Duration
	ConsecutiveConflicts int
}

// Budget is this router's part of one budget. Invariant: the sum of unsettled
// spend and reservations never exceeds what the router holds.
type Budget struct {
	ID    BudgetID
	Shard ShardID
	// Granted is this router's grant in the ledger, as of the last write known to
	// have taken effect.
	Granted Tokens
	// ReceivedSliceTokens is the amount that may still be reserved from slices
	// received from other routers. GrantedSliceTokens is the sum of the open slices
	// granted to others.
	ReceivedSliceTokens Tokens
	GrantedSliceTokens  Tokens
	// ToWithhold is the sum of slices granted to routers that are gone. Their use
	// cannot be proved, so the next ledger write withholds it.
	ToWithhold Tokens
	// Returning is the amount that a ledger write returns whose outcome is not known
	// yet.
	Returning Tokens
	// Reserved is the amount reserved from the ledger grant for requests in
	// progress.
	Reserved Tokens
	// Unsettled is billed but not yet settled in the ledger.
	Unsettled Tokens
	// Settled is what this router has settled or withheld since its start.
	Settled Tokens
	// GrantExpiresAt is when this router's ledger grant expires unless it is
	// renewed.
	GrantExpiresAt Instant
	// SpendRate is a moving average of the spend, in tokens per second.
	SpendRate DecayingRate
	// RecentLargeReservation is the largest recent reservation: each reservation
	// raises it to its own size or lets it decay.
	RecentLargeReservation Tokens
	// Target is how many tokens the router aims to hold.
	Target Tokens
	// SmallestShortfall is the least addition that lets a waiting request proceed.
	SmallestShortfall Tokens
	// WaitingTokens is the sum that waiting requests and slice requests ask for.
	// OldestWaitSince is the arrival of the oldest waiting request, and
	// NewestWaitSince that of the newest: a refusal needs a ledger read that was
	// sent after it.
	WaitingTokens   Tokens
	OldestWaitSince Instant
	NewestWaitSince Instant
	// LedgerRequestShortfall, LedgerRequestNewestWait and LedgerRequestReadAt are
	// SmallestShortfall, NewestWaitSince and the shard's ReadAt as of the last
	// request to the ledger. The request is repeated only after one of them changed.
	LedgerRequestShortfall  Tokens
	LedgerRequestNewestWait Instant
	LedgerRequestReadAt     Instant
	// ReleaseUnused is true if all tokens that are not in use are to be returned to
	// the ledger.
	ReleaseUnused bool
	// Short is true while requests wait for more of this budget.
	Short bool
	// HomeSliceFirst is true while the home router is asked for a slice. The ledger
	// is asked for a grant only afterwards.
	HomeSliceFirst bool
	// BelowTarget is true while Available is far below Target. RefillRequestedAt is
	// when more was last requested for that reason.
	BelowTarget       bool
	RefillRequestedAt Instant
	// LastUsedAt is when a request last reserved or settled.
	LastUsedAt Instant
}

// Available returns the tokens that may still be reserved, from the ledger
// grant and from received slices.
func (b *Budget) Available() Tokens { return b.AvailableFromGrant() + b.ReceivedSliceTokens }

// AvailableFromGrant returns the tokens that may still be reserved from this
// router's own ledger grant.
func (b *Budget) AvailableFromGrant() Tokens {
	return b.Granted - b.GrantedSliceTokens - b.ToWithhold - b.Returning - b.Reserved - b.Unsettled
}
