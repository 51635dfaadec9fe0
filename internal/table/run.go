package table

// RunState is the state of a key at an agent.
type RunState uint8

// States of runs.
const (
	// RunRunning is at the endpoint now.
	RunRunning RunState = iota
	// RunDone has a kept answer.
	RunDone
	// RunFailed ended without a whole answer.
	RunFailed
	// RunRefused is a key that must never run here.
	RunRefused
	// RunIssued is a key this agent issued that was not used yet.
	RunIssued
)

// Run is what an agent knows of one request id. Invariant: a non-idempotent
// request id reaches RunRunning at most once in an incarnation.
type Run struct {
	ID          RequestID
	State       RunState
	Holder      Holder
	Budget      BudgetID
	Endpoint    EndpointID
	Service     ServiceName
	Attempt     uint32
	Fingerprint Fingerprint
	Idempotent  bool
	Limit       Tokens
	Prompt      Tokens
	Output      Tokens
	// Position is the answer position at which this agent's run started.
	Position Tokens
	Expires  Instant
	Started  Instant
	Alone    bool
}

// ChargeKey identifies a charge record at an agent.
type ChargeKey struct {
	Holder Holder
	Budget BudgetID
}

// Charge sums what ran here under one holder's grant. It is used only to
// recover the grant after the holder died.
type Charge struct {
	Spent Tokens
	// Running is the sum of the limits of runs in progress.
	Running Tokens
	LastUse Instant
}

// Suspect is the crash record of a fingerprint.
type Suspect struct {
	// Weight is the sum of 1/(number running) over the crashes seen.
	Weight      float64
	LastCrash   Instant
	Quarantined bool
	Until       Instant
}

// Decision is one step of a request's history, kept for explain.
type Decision struct {
	At       Instant
	Request  RequestID
	System   string
	Decision string
	Inputs   []Input
}

// Input is a named value that a decision was made from.
type Input struct {
	Name  string
	Value string
}
