package table

import (
	"cmp"
	"slices"
	"time"
)

// LedgerGrant is a grant as recorded in the ledger.
type LedgerGrant struct {
	Holder Holder
	Amount Tokens
	// Settled is what the holder has settled or withheld of this budget since
	// its start. Recovery compares it with the charges at the agents, which
	// count from the holder's start too.
	Settled Tokens
}

// LedgerBudget is one budget as recorded in the ledger. Invariant of every
// accepted version: Settled + Withheld + sum of Grants <= Deposited.
type LedgerBudget struct {
	ID        BudgetID
	Deposited Tokens
	Settled   Tokens
	// Withheld is spend that cannot be proved or ruled out after a failure.
	Withheld Tokens
	Grants   []LedgerGrant
	// TopUps are the ids of the last top-ups, so that a repeat counts once.
	TopUps []string
}

// Free returns what can still be granted.
func (b *LedgerBudget) Free() Tokens {
	free := b.Deposited - b.Settled - b.Withheld
	for _, g := range b.Grants {
		free -= g.Amount
	}
	return free
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

// LedgerWriter records the last write sequence of one writer. After a lost
// answer the writer reads it back to learn whether its write took effect.
type LedgerWriter struct {
	Holder   Holder
	Sequence uint64
}

// ShardContent is the value of a ledger shard object. Budgets are sorted by id.
// A content is never changed once it was read or sent; writers copy it.
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

// Insert returns the budget's row, which it adds if absent.
func (c *ShardContent) Insert(id BudgetID) *LedgerBudget {
	i, ok := c.search(id)
	if !ok {
		c.Budgets = slices.Insert(c.Budgets, i, LedgerBudget{ID: id})
	}
	return &c.Budgets[i]
}

func (c *ShardContent) search(id BudgetID) (int, bool) {
	return slices.BinarySearchFunc(c.Budgets, id, func(b LedgerBudget, id BudgetID) int { return cmp.Compare(b.ID, id) })
}

// SequenceOf returns the last write sequence of a writer.
func (c *ShardContent) SequenceOf(h Holder) uint64 {
	for _, w := range c.Writers {
		if w.Holder == h {
			return w.Sequence
		}
	}
	return 0
}

// TopUp is an order to add to a budget that waits for its ledger write.
type TopUp struct {
	Reply  uint64
	Budget BudgetID
	Amount Tokens
	ID     string
	Since  Instant
}

// BudgetChange is what a ledger write changes for this router's own budget row.
type BudgetChange struct {
	Budget   BudgetID
	Granted  Tokens
	Settle   Tokens
	Withhold Tokens
}

// Reclaim is the order to take back the grants of a holder that can spend no
// more, because it is fenced at all agents.
type Reclaim struct {
	Holder Holder
	// Charges is what the agents counted per budget since the holder's start.
	Charges map[BudgetID]Tokens
	// Unknown is true if charges may be missing: the rest is then withheld.
	Unknown bool
}

// ShardPending is a write whose outcome is not known yet. The same write is
// sent again until the ledger shows that it took effect or that it never can.
type ShardPending struct {
	Sequence uint64
	Version  uint64
	Content  ShardContent
	Changes  []BudgetChange
	TopUps   []TopUp
	SentAt   Instant
	// Unsure is true after a lost answer, until the shard was read back.
	Unsure bool
}

// Shard is a ledger shard as this router knows it.
type Shard struct {
	ID ShardID
	// Version is the object's version as last read or written; 0 if absent.
	Version uint64
	Known   bool
	Content ShardContent
	// ReadAt is when the last read or write that gave Content was sent.
	ReadAt Instant
	// Reading and Writing are true while a call to the platform is open.
	Reading bool
	Writing bool
	// Force asks for a write before the settlement interval has passed.
	Force bool
	// Asked is true while a read is wanted for an operator or a recovery.
	Asked bool
	// CalledAt is when the open call was sent.
	CalledAt Instant
	// Sequence is this router's last write sequence for the shard.
	Sequence  uint64
	WrittenAt Instant
	Pending   *ShardPending
	// Dirty holds this router's budgets whose rows differ from the ledger.
	Dirty Set[BudgetID]
	// Held holds this router's budgets that have a grant in the ledger.
	Held Set[BudgetID]
	// TopUps wait for the next write.
	TopUps []TopUp
	// Reclaims wait for a write that takes back grants of dead holders.
	Reclaims []Reclaim
	// NextTry delays the next call after a failure.
	NextTry   Instant
	Backoff   time.Duration
	Conflicts int
}

// Budget is what this router holds of one budget. Invariant: what the router
// has spent and reserved never exceeds what it holds.
type Budget struct {
	ID    BudgetID
	Shard ShardID
	// Granted is this router's grant in the ledger, as of the last write known
	// to have taken effect.
	Granted Tokens
	// SliceIn is held by slices from other routers, SliceOut passed to others.
	SliceIn  Tokens
	SliceOut Tokens
	// Lost was passed to routers that are gone, and is withheld by the next
	// ledger write because its use cannot be proved.
	Lost Tokens
	// Returning is given back by a ledger write whose outcome is not known.
	Returning Tokens
	// Reserved is held for requests in progress.
	Reserved Tokens
	// Spent is billed but not yet settled in the ledger.
	Spent Tokens
	// Settled is what this router has settled or withheld since its start.
	Settled Tokens
	Expires Instant
	// Demand is the recent spend in tokens.
	Demand DecayingRate
	// Reservation is the size of a recent large reservation.
	Reservation Tokens
	// Target is what the router wants to hold.
	Target Tokens
	// Need is the smallest addition that serves a waiting request.
	Need Tokens
	// Waiting is the sum of what waiting requests and slices ask for. WaitSince
	// is the arrival of the oldest request; a refusal needs a ledger read that
	// was sent after NeedSince, the arrival of the latest.
	Waiting   Tokens
	WaitSince Instant
	NeedSince Instant
	// AskedNeed, AskedSince and AskedRead are the need, its time and the read
	// of the shard for which the ledger was asked last.
	AskedNeed  Tokens
	AskedSince Instant
	AskedRead  Instant
	// Release asks to return all that is not in use.
	Release bool
	// Short is true while requests wait for more of this budget.
	Short bool
	// AtHome is true while the home router is asked before the ledger.
	AtHome bool
	// Low is true while the own grant is far below Target; LowAt is when the
	// ledger was last asked for more because of that.
	Low   bool
	LowAt Instant
	// UsedAt is when a request last reserved or settled.
	UsedAt Instant
}

// Held returns what the router may still reserve.
func (b *Budget) Held() Tokens { return b.Own() + b.SliceIn }

// Own returns what the router may still reserve from its own ledger grant.
func (b *Budget) Own() Tokens {
	return b.Granted - b.SliceOut - b.Lost - b.Returning - b.Reserved - b.Spent
}
