package table

import "time"

// LedgerGrant is a grant as recorded in the ledger.
type LedgerGrant struct {
	Holder Holder
	Amount Tokens
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

// LedgerWriter records the last write sequence of one writer. After a lost
// answer the writer reads it back to learn whether its write took effect.
type LedgerWriter struct {
	Holder   Holder
	Sequence uint64
}

// ShardContent is the value of a ledger shard object. Budgets are sorted by id.
type ShardContent struct {
	Budgets []LedgerBudget
	Writers []LedgerWriter
}

// Shard is a ledger shard as this router knows it.
type Shard struct {
	ID ShardID
	// Version is the object's version as last read or written; 0 if absent.
	Version uint64
	Known   bool
	Content ShardContent
	ReadAt  Instant
	// Reading and Writing are true while a call to the platform is open.
	Reading bool
	Writing bool
	// Sequence is this router's last write sequence for the shard.
	Sequence  uint64
	WrittenAt Instant
	// NextTry delays the next call after a failure.
	NextTry Instant
	Backoff time.Duration
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
	// Reserved is held for requests in progress.
	Reserved Tokens
	// Spent is billed but not yet settled in the ledger.
	Spent   Tokens
	Expires Instant
	// Demand is the recent spend rate in tokens per second.
	Demand   float64
	DemandAt Instant
	// Short is true while requests wait for more of this budget.
	Short bool
}

// Held returns what the router may still reserve.
func (b *Budget) Held() Tokens {
	return b.Granted + b.SliceIn - b.SliceOut - b.Reserved - b.Spent
}
