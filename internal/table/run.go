package table

// RunState is the state of an idempotency key at an agent.
type RunState uint8

// States of runs.
const (
	// RunRunning is in progress at the endpoint.
	RunRunning RunState = iota
	// RunDone has a kept answer.
	RunDone
	// RunFailed ended without a whole answer.
	RunFailed
	// RunRefused must not run here, except by the call that AllowedNonce identifies.
	RunRefused
	// RunRejected had attempts rejected before they ran; other attempts may still
	// run.
	RunRejected
)

// Run is an agent's record of one request id. Invariant: the endpoint runs a
// non-idempotent request id at most once per incarnation of the agent.
type Run struct {
	ID    RequestID
	State RunState
	// Holder is the router that dispatched the run.
	Holder Holder
	// GrantHolder is the holder of the ledger grant that the run is charged to.
	GrantHolder Holder
	Budget      BudgetID
	Endpoint    EndpointID
	Service     ServiceName
	// Attempt is the attempt that started the run, and LatestAttempt the last
	// attempt of the same call that was attached to it.
	Attempt       uint32
	LatestAttempt uint32
	Fingerprint   Fingerprint
	Idempotent    bool
	// ChargeLimit is the most that may be charged: prompt plus output tokens.
	ChargeLimit  Tokens
	PromptTokens Tokens
	OutputTokens Tokens
	// StartPosition is the answer position at which this agent's run started, in
	// tokens.
	StartPosition Tokens
	// GrantExpiresAt is the expiry of the grant that pays, in this agent's clock.
	GrantExpiresAt Instant
	StartedAt      Instant
	// MustRunAlone is true if the endpoint must run nothing else at the same time.
	MustRunAlone bool
	// AnswerUntil is when the kept answer is freed; 0 if there is none.
	AnswerUntil Instant
	// FirstTokenSampled is true once the run's time to the first token was added
	// to the endpoint's average.
	FirstTokenSampled bool
	Class             Class
	Kind              ServiceKind
	// Session is the session that gets the output of the attempt.
	Session uint64
	// Nonce identifies the call at the router that runs the key.
	Nonce uint64
	// AllowedNonce identifies the only call that may still run a refused or failed
	// key; 0 if there is none.
	AllowedNonce uint64
	// RejectedAttempts are the attempts that were rejected before they ran. A late
	// duplicate of them must not run.
	RejectedAttempts []RejectedAttempt
	// KeepUntil is when the row may be removed, unless the run is in progress.
	KeepUntil Instant
}

// MayHaveRun reports whether the endpoint may have run any part of the request.
func (r *Run) MayHaveRun() bool {
	return r != nil && r.State != RunRefused && r.State != RunRejected
}

// RejectedAttempt is the highest attempt of one call that was rejected.
type RejectedAttempt struct {
	Holder  Holder
	Nonce   uint64
	Attempt uint32
}

// EndpointRuns are the runs in progress at an endpoint of this agent.
type EndpointRuns struct {
	Running []RequestID
	// RunningAlone is true while a run in progress must run alone.
	RunningAlone bool
	// RecentlyBroken are runs that recently ended early. The crash of an endpoint
	// may be detected only after its streams ended; these runs then count as in
	// progress at the crash.
	RecentlyBroken []BrokenRun
}

// BrokenRun is a run that ended early.
type BrokenRun struct {
	Fingerprint Fingerprint
	EndedAt     Instant
}

// HolderWork is what an agent runs on the grants of one holder.
type HolderWork struct {
	// Running counts the runs in progress. Budgets are the budgets with a Charge.
	Running int
	Budgets []BudgetID
	// OpenFenceCalls are the fence calls to answer again when the last run ended.
	OpenFenceCalls []FenceCall
}

// FenceCall identifies a router's call that fences a holder.
type FenceCall struct {
	From Holder
	Call uint64
}

// AgentTables are the rows that only an agent has.
type AgentTables struct {
	EndpointRuns Table[EndpointID, EndpointRuns]
	HolderWork   Table[Holder, HolderWork]
	// RunTimers schedules the removal of rows of runs.
	RunTimers Timers[RequestID]
	// ChargeTimers schedules the removal of a fenced holder's charges.
	ChargeTimers Timers[Holder]
	Readiness    AgentReadiness
	// FirstIncarnation is true if this agent had no earlier incarnation.
	FirstIncarnation bool
	// HolderStartNumbers are the start numbers of the routers that opened
	// sessions.
	HolderStartNumbers Table[Holder, uint64]
	// NextFenceReadAt is when to read the fence list again, or zero.
	NextFenceReadAt Instant
}

// AgentReadiness is the progress of an agent's start.
type AgentReadiness uint8

// Steps of an agent's start, in order.
const (
	// AgentStarting has not registered its process object yet.
	AgentStarting AgentReadiness = iota
	// AgentReadingFences is registered and has requested the fence list.
	AgentReadingFences
	// AgentReady refuses all fenced holders and accepts work.
	AgentReady
)

// ChargeKey identifies a charge record at an agent. The holder is that of the
// ledger grant, also when another router spent a slice of it.
type ChargeKey struct {
	Holder Holder
	Budget BudgetID
}

// Charge sums up what ran at this agent under one holder's grant. It is used
// only to recover the grant after the holder's process is gone.
type Charge struct {
	Spent Tokens
	// RunningLimit is the sum of the charge limits of runs in progress.
	RunningLimit Tokens
	LastUsedAt   Instant
}

// CrashSuspect is the crash record of a request fingerprint.
type CrashSuspect struct {
	// CrashWeight is the sum over the crashes seen of 1/(number of runs in
	// progress).
	CrashWeight      float64
	LastCrashAt      Instant
	Quarantined      bool
	QuarantinedUntil Instant
	// Crashes are the crashes of direct endpoints that count, oldest first. Agents report one
	// crash of their endpoint once, so that routers with agents need not tell them apart.
	Crashes []CountedCrash
}

// CountedCrash is a crash of an endpoint that had a request.
type CountedCrash struct {
	Endpoint EndpointID
	At       Instant
}

// Decision is one recorded decision about a request, kept for explain.
type Decision struct {
	At       Instant
	Request  RequestID
	System   string
	Decision string
	Inputs   []Input
}

// Input is a named value that a decision was based on.
type Input struct {
	Name  string
	Value string
}
