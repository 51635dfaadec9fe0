package table

// RecoveryStage is a step of recovering a dead router's grants.
type RecoveryStage uint8

// Stages of recoveries, in order.
const (
	// RecoveryConfirming waits for a process list that proves the holder dead.
	RecoveryConfirming RecoveryStage = iota
	// RecoveryFencing waits until the holder is in the fence list.
	RecoveryFencing
	// RecoveryListingAgents waits for a process list read after the fence was
	// written, which names all agents to ask.
	RecoveryListingAgents
	// RecoveryCollectingCharges waits for the charges from all agents.
	RecoveryCollectingCharges
	// RecoveryWritingLedger waits until the ledger shows no grant of the holder.
	RecoveryWritingLedger
	// RecoveryCancelled found the holder alive.
	RecoveryCancelled
)

// RecoveryAgent is an agent that is asked for the charges of a dead holder.
type RecoveryAgent struct {
	Agent Holder
	// Answered is true after a final answer, ChargesIncomplete if charges may be
	// missing.
	Answered          bool
	ChargesIncomplete bool
}

// Recovery is the state of recovering the grants of one dead holder.
type Recovery struct {
	Holder Holder
	Stage  RecoveryStage
	// Shards are the ledger shards with grants of the holder.
	Shards Set[ShardID]
	// OpenCall is the number of the call whose answer is awaited, or 0. It was
	// sent at CallSentAt.
	OpenCall   uint64
	CallSentAt Instant
	StartedAt  Instant
	Agents     []RecoveryAgent
	// Charges sums up the agents' answers per budget.
	Charges map[BudgetID]Tokens
}
