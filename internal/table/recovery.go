package table

// RecoveryStage is a step of recovering a dead router's grants.
type RecoveryStage uint8

// Stages of recoveries, in order.
const (
	// RecoveryChecking waits for a process list that proves the holder dead.
	RecoveryChecking RecoveryStage = iota
	// RecoveryFencing waits until the holder is in the fence list.
	RecoveryFencing
	// RecoveryListing waits for a process list read after the fence was written.
	RecoveryListing
	// RecoveryAsking waits for the charges from all agents.
	RecoveryAsking
	// RecoveryWriting waits until the ledger shows no grant of the holder.
	RecoveryWriting
	// RecoveryCancelled found the holder alive.
	RecoveryCancelled
)

// RecoveryAgent is an agent that is asked for the charges of a dead holder.
type RecoveryAgent struct {
	Agent Holder
	// Done is true after a final answer, Unknown if charges may be missing.
	Done    bool
	Unknown bool
}

// Recovery is the state of recovering the grants of one dead holder.
type Recovery struct {
	Holder  Holder
	Stage   RecoveryStage
	Shards  Set[ShardID]
	Call    uint64
	SentAt  Instant
	Since   Instant
	Agents  []RecoveryAgent
	Charges map[BudgetID]Tokens
}
