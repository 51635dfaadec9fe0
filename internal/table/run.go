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
	// RunRejected had attempts refused before they ran; others may still run.
	RunRejected
)

// Run is what an agent knows of one request id. Invariant: the endpoint runs a
// non-idempotent request id at most once in an incarnation of the agent.
type Run struct {
	ID     RequestID
	State  RunState
	Holder Holder
	// Payer is the holder of the ledger grant that the run is charged to.
	Payer    Holder
	Budget   BudgetID
	Endpoint EndpointID
	Service  ServiceName
	Attempt  uint32
	// Latest is the last attempt of the same call that the run serves.
	Latest      uint32
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
	// AnswerUntil is when the kept text is freed; 0 if there is none.
	AnswerUntil Instant
	// PaceSeen is true once the first-token time of the run was learned.
	PaceSeen bool
	Class    Class
	Kind     ServiceKind
	// Session gets the output of the attempt.
	Session uint64
	// Nonce names the call at a router that runs the key.
	Nonce uint64
	// Only is the call that may run a refused or failed key, if it is not 0.
	Only uint64
	// Rejected are the refused attempts, which a late duplicate must not run.
	Rejected []RejectedAttempt
	// Keep is when the row may be forgotten, unless the run is in progress.
	Keep Instant
}

// Ran reports whether the endpoint may have run any part of the key.
func (r *Run) Ran() bool {
	return r != nil && r.State != RunRefused && r.State != RunRejected
}

// RejectedAttempt is the highest attempt of one call that was refused.
type RejectedAttempt struct {
	Holder  Holder
	Nonce   uint64
	Attempt uint32
}

// EndpointRuns are the runs in progress at an endpoint of this agent.
type EndpointRuns struct {
	Running []RequestID
	// Alone is true while a run that must not share the endpoint is in progress.
	Alone bool
	// Broken are runs that ended early a moment ago. They count as running when
	// the endpoint's death is noticed after their streams ended.
	Broken []BrokenRun
}

// BrokenRun is a run that ended early.
type BrokenRun struct {
	Fingerprint Fingerprint
	At          Instant
}

// HolderWork is what an agent runs at the cost of one holder's grants.
type HolderWork struct {
	Running int
	Budgets []BudgetID
	// Asking are the fence calls to answer again when the last run ended.
	Asking []FenceCall
}

// FenceCall is a router's open question about a fenced holder.
type FenceCall struct {
	From Holder
	Call uint64
}

// AgentTables are the rows that only an agent has.
type AgentTables struct {
	EndpointRuns Table[EndpointID, EndpointRuns]
	HolderWork   Table[Holder, HolderWork]
	// RunExpiry says when a row of runs may be forgotten.
	RunExpiry Timers[RequestID]
	// ChargeExpiry says when the charges of a fenced holder may be forgotten.
	ChargeExpiry Timers[Holder]
	Readiness    Readiness
	// FirstStart is true if this agent had no earlier incarnation.
	FirstStart bool
	// HolderStarts are the start numbers of the routers that opened sessions.
	HolderStarts Table[Holder, uint64]
	// FenceReadAt is when to read the fence list again, or zero.
	FenceReadAt Instant
}

// Readiness is how far an agent's start has come.
type Readiness uint8

// Steps of an agent's start, in order.
const (
	// Starting has not registered its process object yet.
	Starting Readiness = iota
	// ReadingFences is registered and has asked for the fence list.
	ReadingFences
	// Ready refuses all fenced holders and accepts work.
	Ready
)

// ChargeKey identifies a charge record at an agent. The holder is that of the
// ledger grant, also when another router spent a slice of it.
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
