// Package event defines the messages from traffic to the control thread.
//
// Each type of event has its own list in the Inbox; systems read the lists of
// the current tick. Events carry decoded values only, no wire types.
package event

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
)

// Event is one message to the control thread.
type Event interface {
	// AddTo appends the event to its list.
	AddTo(in *Inbox)
}

// Inbox holds the events of one tick, with a list per type.
type Inbox struct {
	// Requests of callers, at a router.
	Arrivals          []Arrival
	CallerDisconnects []CallerDisconnect
	Cancels           []Cancel
	KeyIssueRequests  []KeyIssueRequest
	FirstTokens       []FirstToken
	AttemptProgress   []AttemptProgress
	AttemptEnds       []AttemptEnd

	// Sessions with other processes.
	SessionsOpened []SessionOpened
	SessionsClosed []SessionClosed
	Heartbeats     []Heartbeat
	Crashes        []Crash

	// Platform.
	MemberLists           []MemberList
	ProcessLists          []ProcessList
	ShardReadResults      []ShardReadResult
	ShardWriteResults     []ShardWriteResult
	ClaimResults          []ClaimResult
	FenceLists            []FenceList
	FenceListWriteResults []FenceListWriteResult
	QuarantineLists       []QuarantineList
	Configs               []ConfigReceived
	PlatformStates        []PlatformState
	Registrations         []Registered

	// Budget slices between routers.
	SliceRequests []SliceRequest
	SliceGrants   []SliceGrant
	SliceReports  []SliceReport

	// Idempotency keys between processes.
	KeyRecords    []KeyRecord
	KeyQueries    []KeyQuery
	KeyResults    []KeyResult
	Lookups       []Lookup
	LookupResults []LookupResult

	// Work at an agent.
	Dispatches    []Dispatch
	RunCancels    []RunCancel
	RunProgress   []RunProgress
	RunEnds       []RunEnd
	EngineReports []EngineReport
	Fences        []Fence
	FenceResults  []FenceResult

	// Operators.
	TopUps         []TopUp
	BudgetQueries  []BudgetQuery
	StatusQueries  []StatusQuery
	ExplainQueries []ExplainQuery
	WhereQueries   []WhereQuery
	DrainOrders    []DrainOrder
	Shutdowns      []Shutdown

	// The HTTP front and its direct endpoints.
	HTTPArrivals           []HTTPArrival
	ClientDisconnects      []ClientDisconnect
	DirectAnswersStarted   []DirectAnswerStarted
	DirectAnswersContinued []DirectAnswerContinued
	DirectAttemptEnds      []DirectAttemptEnd
	Manifests              []ManifestReceived
	EndpointChanges        []EndpointChanges
	EvacuationChanges      []EvacuationChanges
	WatchResults           []WatchResult
	ConnectTimes           []ConnectTime
	LimitLedgerResults     []LimitLedgerResult

	// Reports and allowances between routers.
	RouterReports    []RouterReport
	TransferRequests []TransferRequest
	Transfers        []Transfer
	LedgerChanges    []LedgerChange
	LimitRequests    []LimitRequest
}

// Reset empties all lists.
func (in *Inbox) Reset() { *in = Inbox{} }

// Arrival is a new request of a caller.
type Arrival struct {
	// Key is the idempotency key, without the customer: admission adds the one that
	// KeyHash belongs to. CallerKey is true if the caller chose the key, false if
	// the router generated it.
	Key       string
	CallerKey bool
	// KeyHash is the hash of the caller's API key.
	KeyHash table.KeyHash
	// ReplyID identifies the handler that waits for the outcome.
	ReplyID uint64
	Service table.ServiceName
	// BudgetName is the budget's name within the customer.
	BudgetName  string
	Kind        table.ServiceKind
	Operation   string
	Fingerprint table.Fingerprint
	// PromptTokens is an upper estimate.
	PromptTokens table.Tokens
	MaxOutput    table.Tokens
	// FirstTokenDeadline is the time until the first token must arrive; 0 means
	// the service's default.
	FirstTokenDeadline time.Duration
	Priority           int
	// CallerRetry is true when the caller says that it sent the request before.
	CallerRetry bool
	// ResumePosition is how many tokens of the answer the caller already has.
	ResumePosition table.Tokens
}

// CallerDisconnect says that the caller of a request disconnected.
type CallerDisconnect struct{ Request table.RequestID }

// Cancel is a caller's order to end a request.
type Cancel struct {
	ReplyID uint64
	KeyHash table.KeyHash
	// Key is the request's idempotency key.
	Key string
}

// KeyIssueRequest asks for an idempotency key bound to an agent.
type KeyIssueRequest struct {
	ReplyID uint64
	KeyHash table.KeyHash
	Service table.ServiceName
}

// FirstToken says that the current attempt produced its first token.
type FirstToken struct {
	Request table.RequestID
	Attempt uint32
}

// AttemptProgress is a periodic report of delivered output.
type AttemptProgress struct {
	Request table.RequestID
	Attempt uint32
	// DeliveredTokens is the answer position reached, over all attempts.
	DeliveredTokens table.Tokens
}

// AttemptStatus is how an attempt ended, as seen by the router.
type AttemptStatus uint8

// Values of AttemptStatus.
const (
	// AttemptDone means that the whole answer was delivered, verified by length and
	// checksum.
	AttemptDone AttemptStatus = iota + 1
	// AttemptRejected means that the agent rejected the attempt before it ran; Code
	// says why.
	AttemptRejected
	// AttemptBroken means that the answer is incomplete or damaged: the endpoint
	// failed or the stream was truncated.
	AttemptBroken
	// AttemptLost means that the session to the agent ended.
	AttemptLost
	// AttemptCancelled means that this router cancelled the attempt.
	AttemptCancelled
)

// AttemptEnd says that an attempt ended.
type AttemptEnd struct {
	Request table.RequestID
	Attempt uint32
	Status  AttemptStatus
	Code    table.Code
	Reason  string
	// Ran says whether the attempt ran, as far as that is known.
	Ran table.Ran
	// PromptTokens is the engine's count of prompt tokens.
	PromptTokens table.Tokens
	// DeliveredTokens is the answer position reached, over all attempts.
	DeliveredTokens table.Tokens
	// Replayed is true when the answer was kept from an earlier run.
	Replayed bool
	// Cost is the agent's charge for a call of a plain service.
	Cost table.Tokens
	// AgentInFlight is the number of requests at the endpoint by the agent's
	// count, given with code BUSY.
	AgentInFlight int
}

// SessionOpened says that a session with a process is open.
type SessionOpened struct {
	// Session is unique in this process.
	Session uint64
	Process table.Process
	// PeerClock is the peer's monotonic clock in its Hello.
	PeerClock table.Instant
	Endpoints []table.Endpoint
}

// SessionClosed says that a session ended.
type SessionClosed struct {
	Session uint64
	Peer    table.Holder
}

// EndpointLoad is an endpoint's load in an agent's heartbeat.
type EndpointLoad struct {
	Endpoint table.EndpointID
	State    table.EndpointState
	Slots    int
	// InFlight, InFlightQuick and InFlightTokens are the requests, quick requests
	// and tokens of expected work of all routers.
	InFlight       int
	InFlightQuick  int
	InFlightTokens table.Tokens
	// ReportTokens is the pending work in the engine's own load report, and
	// ReportAge the age of that report.
	ReportTokens table.Tokens
	ReportAge    time.Duration
	// FirstTokenTime and TokenTime are the agent's own moving averages over the
	// runs of all routers, first-token times of quick runs only; 0 when unknown.
	// Samples counts the samples in them.
	FirstTokenTime time.Duration
	TokenTime      time.Duration
	Samples        uint64 `msgpack:"Observed"`
}

// Heartbeat is a process's periodic report to its peers.
type Heartbeat struct {
	Peer table.Holder
	// Clock is the sender's monotonic clock.
	Clock table.Instant
	// Generation is that of the sender's active configuration.
	Generation table.Generation
	// Leaving is true while the sender shuts down.
	Leaving bool
	// Interval is the longest time until the next heartbeat. WantedInterval is the
	// interval that the sender wants from its peers.
	Interval       time.Duration
	WantedInterval time.Duration `msgpack:"Wanted"`
	Endpoints      []EndpointLoad
}

// Crash reports the fingerprints that were running when an endpoint crashed,
// one per run. With Cleared it reports instead that a suspect which ran alone
// finished without a crash.
type Crash struct {
	// ID distinguishes a duplicate from another crash.
	ID           table.CrashID
	Endpoint     table.EndpointID
	Fingerprints []table.Fingerprint
	Cleared      bool
	// SinceSent is how long before the report the request was sent to a direct endpoint.
	// Earlier releases do not send it.
	SinceSent time.Duration `msgpack:",omitempty"`
	// Parts, if set, is a report about prompt parts, and the other fields are empty.
	// Earlier releases ignore such a message.
	Parts *PartReport `msgpack:",omitempty"`
	// Quarantined, if set, are requests that the sender has in quarantine, and the other
	// fields are empty. Earlier releases ignore such a message.
	Quarantined []QuarantineEntry `msgpack:",omitempty"`
}

// StoreEra returns the era to which the version in the report belongs, or 0.
func (c Crash) StoreEra() uint64 {
	if c.Parts == nil {
		return 0
	}
	return c.Parts.StoredEra
}

// PartReport is what a router reports about prompt parts that may crash endpoints.
type PartReport struct {
	// Crashes are the crashes of endpoints that the router observed.
	Crashes []EndpointCrash
	// Cleared are the parts that the router has proof for that they are sound.
	Cleared []table.Fingerprint
	// Quarantined are parts, or combinations of parts, that the router quarantined.
	Quarantined []QuarantineEntry
	// Withdrawn are quarantines that the router ended because others explain the crashes.
	Withdrawn []table.Fingerprint `msgpack:",omitempty"`
	// StoredVersion is the version of the stored list that has just been written, with
	// the entries of Stored, or 0.
	StoredVersion uint64
	// StoredEra is the era of the store to which the version belongs.
	StoredEra uint64
	Stored    []table.Fingerprint
}

// EndpointCrash names the prompt parts of the attempts that the crash of an endpoint cut
// off at the beginning of their answers, without those that proved sound.
type EndpointCrash struct {
	Endpoint table.EndpointID
	Parts    []CrashedPart
	// Prompts holds, for each of the prompts, the indexes of its parts in Parts. Earlier
	// releases do not send it; their parts count as those of one prompt.
	Prompts [][]int `msgpack:",omitempty"`
	// Age is how long ago the crash was, if a router that connects is told of it.
	Age time.Duration `msgpack:",omitempty"`
}

// CrashedPart is a prompt part of attempts that were cut off, the last of which was sent
// SinceSent and the first SinceFirstSent before the report. Position is the number of parts
// before it in the prompt. Earlier releases do not send SinceFirstSent.
type CrashedPart struct {
	Part           table.Fingerprint
	Position       int
	SinceSent      time.Duration
	SinceFirstSent time.Duration `msgpack:",omitempty"`
}

// Member is a host on the platform's membership list.
type Member struct {
	Process table.ProcessID
	Leaving bool
}

// MemberList is the platform's list of live and leaving hosts. It may be out of
// date.
type MemberList struct{ Members []Member }

// ProcessList holds the process objects read from the platform.
type ProcessList struct {
	// Call repeats the number of the ReadProcesses command that was answered.
	Call      uint64
	Processes []table.Process
	Endpoints []table.Endpoint
}

// CallStatus is how a call to the platform ended.
type CallStatus uint8

// Values of CallStatus.
const (
	CallOK CallStatus = iota + 1
	// CallConflict means that another version is stored; nothing was written.
	CallConflict
	// CallNotApplied means that the call certainly had no effect.
	CallNotApplied
	// CallOutcomeUnknown means that a write may or may not have taken effect.
	CallOutcomeUnknown
)

// ShardReadResult is the result of reading a ledger shard. Version 0 means
// absent.
type ShardReadResult struct {
	Shard   table.ShardID
	Status  CallStatus
	Version uint64
	Content table.ShardContent
}

// ShardWriteResult is the result of writing a ledger shard.
type ShardWriteResult struct {
	Shard table.ShardID
	// Sequence is the sequence number of the write.
	Sequence uint64
	Status   CallStatus
	Version  uint64
}

// ClaimState is the state of an at-most-once claim.
type ClaimState uint8

// States of claims.
const (
	ClaimHeld ClaimState = iota + 1
	ClaimDone
	ClaimCancelled
)

// Claim is the content of a claim object, which reserves a key for one call.
type Claim struct {
	Request table.RequestID
	State   ClaimState
	// Nonce identifies the call that holds the claim.
	Nonce uint64
	Agent table.Holder
	// Fingerprint distinguishes a repeat from another request under the same key.
	Fingerprint table.Fingerprint
	// Until is the last moment of a dispatch under the claim, in the agent's
	// clock.
	Until table.Instant
}

// ClaimResult is the result of a claim call. Version 0 means absent. Claim is
// what was read, or what the call was to write.
type ClaimResult struct {
	Request table.RequestID
	Status  CallStatus
	Version uint64
	Claim   Claim
	// Read is true for the result of a read.
	Read bool
}

// FenceList is the result of reading the platform's list of fenced
// incarnations.
type FenceList struct {
	Status  CallStatus
	Version uint64
	Holders []table.Holder
}

// FenceListWriteResult is the result of writing the fence list.
type FenceListWriteResult struct {
	Status  CallStatus
	Version uint64
}

// QuarantineList is the result of reading or writing the platform's list of
// quarantined fingerprints. With CallOK, Entries are those now stored.
type QuarantineList struct {
	InEra
	Status  CallStatus
	Version uint64
	Entries []QuarantineEntry
	Reason  string
}

// QuarantineEntry is a quarantined fingerprint of a request or a prompt part. Remaining is counted from the
// moment the list was read.
type QuarantineEntry struct {
	Fingerprint table.Fingerprint
	Remaining   time.Duration
	// Parts, if set, are several prompt parts that are quarantined together, and Fingerprint
	// is a hash of them, which is no part's: earlier releases refuse nothing for it.
	Parts []table.Fingerprint `msgpack:",omitempty"`
	// IsRequest is true for a request in the list of prompt parts. Earlier releases take it
	// for a part that no prompt has.
	IsRequest bool `msgpack:",omitempty"`
	// Rounds counts how often the quarantine of prompt parts has begun or been renewed, and
	// Crashes the crashes counted for it. The list in the store has neither.
	Rounds  int `msgpack:",omitempty"`
	Crashes int `msgpack:",omitempty"`
	// SinceEnd is how long ago the quarantine ended, if it did and nothing shows yet that
	// the parts are sound. Remaining is then a moment, as earlier releases need it.
	SinceEnd time.Duration `msgpack:",omitempty"`
}

// ConfigReceived carries a validated configuration from the platform or a peer.
type ConfigReceived struct {
	Config table.FleetConfig
	// From is the peer, or empty for the platform.
	From table.ProcessID
	// Reevaluated is true when the active configuration is evaluated again
	// because the end date of an exception passed.
	Reevaluated bool
}

// PlatformState says whether the last call reached the platform.
type PlatformState struct {
	Reachable bool
	// DueFor is for how long an answer to the call had been due when it failed. The
	// failure shows nothing about the platform after that.
	DueFor time.Duration
}

// Registered says that this process's object is written to the platform.
type Registered struct {
	// StartNumber is the process's start number.
	StartNumber uint64
	// FirstIncarnation is true if no earlier incarnation of this process was
	// registered.
	FirstIncarnation bool
}

// SliceRequest asks another router for a slice of its grant of a budget.
type SliceRequest struct {
	From   table.Holder
	Call   uint64
	Budget table.BudgetID
	// Want is the requested amount and Need the least that is of use.
	Want table.Tokens
	Need table.Tokens
	// Forwarded is true when the home router asks a holder on behalf of another
	// router.
	Forwarded bool
	// Recall is true when a grantor asks for its slices on behalf of From; such a
	// request is not forwarded again.
	Recall bool
}

// SliceGrant answers a SliceRequest. Amount may be 0.
type SliceGrant struct {
	From table.Holder
	// Call repeats the number of the request, and Slice is the grantor's number of
	// the slice. A repeated request may lead to a second slice.
	Call   uint64
	Slice  uint64
	Budget table.BudgetID
	Amount table.Tokens
	// Lifetime is counted from when the request was sent.
	Lifetime time.Duration
	// Released is what the sender returns to the ledger instead of granting a
	// slice.
	Released table.Tokens
	// Reported acknowledges the SliceReport of the slice.
	Reported bool
}

// SliceReport returns a slice: what was spent of it and what is returned
// unused.
type SliceReport struct {
	From     table.Holder
	Slice    uint64
	Budget   table.BudgetID
	Spent    table.Tokens
	Returned table.Tokens
}

// KeyRecord tells a key's index routers which agent runs the key. Without an
// agent it says that the router ended its request without a whole answer.
type KeyRecord struct {
	From    table.Holder
	Request table.RequestID
	Agent   table.Holder
	// Nonce identifies the call, so that the end of one call of a router does not
	// remove what another one recorded.
	Nonce uint64
}

// KeyQuery asks an index router about a key. If the key is unknown, the index
// router records the asking router as its owner.
type KeyQuery struct {
	From    table.Holder
	Call    uint64
	Request table.RequestID
	// Nonce identifies the asking call.
	Nonce uint64
}

// KeyResult answers a KeyQuery.
type KeyResult struct {
	From    table.Holder
	Call    uint64
	Request table.RequestID
	Found   bool
	Agent   table.Holder
	// Owner is another live router that has a request with the key.
	Owner table.Holder
}

// Lookup asks an agent about a request id.
type Lookup struct {
	From    table.Holder
	Call    uint64
	Request table.RequestID
	// Refuse asks the agent to refuse the key from now on if it was never run or its
	// run failed. Only the call with this Nonce may still run it, or none if Nonce
	// is 0.
	Refuse bool
	Nonce  uint64
	// KeyDeadline is the deadline of the key's claim in the agent's clock, or 0.
	KeyDeadline table.Instant `msgpack:"KeyUntil"`
}

// LookupResult answers a Lookup.
type LookupResult struct {
	Agent       table.Holder
	Call        uint64
	Request     table.RequestID
	Found       bool
	State       table.RunState
	Fingerprint table.Fingerprint
	// Forgotten is true when the key may have run and its record may have been
	// removed since.
	Forgotten bool
}

// Dispatch is an attempt that arrived at an agent.
type Dispatch struct {
	// Session is the session that answers are sent on.
	Session uint64
	// Holder is the router that sent the attempt, and Agent the incarnation of the
	// agent that it is meant for.
	Holder      table.Holder
	Agent       table.Holder
	Request     table.RequestID
	Attempt     uint32
	Endpoint    table.EndpointID
	Service     table.ServiceName
	Kind        table.ServiceKind
	Operation   string
	Budget      table.BudgetID
	Fingerprint table.Fingerprint
	Idempotent  bool
	Class       table.Class
	// MustRunAlone requires an endpoint without other work. ReplayOnly asks for a
	// kept answer and never for a run.
	MustRunAlone bool `msgpack:"Alone"`
	ReplayOnly   bool
	// GrantHolder is the holder of the ledger grant that pays. It differs from
	// Holder when a router spends a slice of another router's grant.
	GrantHolder table.Holder `msgpack:"Grant"`
	// ChargeLimit is the most that may be charged: prompt plus output tokens.
	ChargeLimit table.Tokens `msgpack:"Limit"`
	// StartPosition is how many tokens of the answer precede this attempt's
	// output.
	StartPosition table.Tokens `msgpack:"Position"`
	Priority      int
	// MaxOutput is the most tokens that this attempt may produce after
	// StartPosition.
	MaxOutput table.Tokens
	// GrantExpiresAt is the expiry of the grant that pays, in this agent's clock.
	GrantExpiresAt table.Instant `msgpack:"Expires"`
	// Nonce identifies the call at its router, so that it is distinguished from
	// other calls with the same key.
	Nonce uint64
	// KeyDeadline is the expiry of an issued key or the deadline of the key's claim,
	// in this agent's clock; 0 if there is none.
	KeyDeadline table.Instant `msgpack:"KeyUntil"`
}

// RunCancel asks an agent to end a run.
type RunCancel struct {
	Session uint64
	Holder  table.Holder
	Request table.RequestID
	Attempt uint32
}

// RunProgress is a periodic report of a run's output.
type RunProgress struct {
	Request      table.RequestID
	PromptTokens table.Tokens
	OutputTokens table.Tokens
	Latency      RunLatency
}

// RunLatency holds the times measured in a run; 0 when unknown.
type RunLatency struct {
	// FirstTokenTime is the time from the start of the run to its first token.
	FirstTokenTime time.Duration
	// TokenTime is the mean time per token since the last report.
	TokenTime time.Duration
}

// RunStatus is how a run at an endpoint ended.
type RunStatus uint8

// Values of RunStatus.
const (
	RunDone RunStatus = iota + 1
	// RunNotRun means that the endpoint certainly ran nothing.
	RunNotRun
	// RunBroken means that the endpoint failed or truncated the stream.
	RunBroken
	RunCancelled
)

// RunEnd says that a run at an endpoint ended.
type RunEnd struct {
	Request      table.RequestID
	Attempt      uint32
	Status       RunStatus
	Code         table.Code
	PromptTokens table.Tokens
	OutputTokens table.Tokens
	Latency      RunLatency
}

// EngineReport is an endpoint's health and load report.
type EngineReport struct {
	Endpoint table.EndpointID
	Up       bool
	// ReportTokens is the engine's pending work, and ReportAge the age of that
	// figure.
	ReportTokens table.Tokens
	ReportAge    time.Duration
}

// Fence orders an agent to refuse a holder and to report its charges.
type Fence struct {
	From   table.Holder
	Call   uint64
	Holder table.Holder
}

// HolderCharge is what a fenced holder spent of a budget at one agent.
type HolderCharge struct {
	Budget table.BudgetID
	Spent  table.Tokens
}

// FenceResult answers a Fence.
type FenceResult struct {
	Agent  table.Holder
	Call   uint64
	Holder table.Holder
	// Running is true while the holder's runs are still in progress at the agent,
	// so that the charges are not final.
	Running bool
	// Complete is true if no earlier incarnation of the agent can have run work
	// under the holder's grants, so that no charge is missing.
	Complete bool
	Charges  []HolderCharge
}

// TopUp is an operator's order to add to a budget.
type TopUp struct {
	ReplyID uint64
	Budget  table.BudgetID
	Amount  table.Tokens
	// ID is chosen by the operator, so that a repeated top-up is counted once.
	ID string
}

// BudgetQuery asks for the budgets of a customer, or of all customers if
// Customer is empty.
type BudgetQuery struct {
	ReplyID  uint64
	Customer table.CustomerID
}

// StatusQuery asks for the state of the fleet as this process knows it.
type StatusQuery struct{ ReplyID uint64 }

// ExplainQuery asks for the recorded decisions about a request.
type ExplainQuery struct {
	ReplyID uint64
	Request string
}

// WhereQuery asks what would happen to a request that is not sent.
type WhereQuery struct {
	ReplyID uint64
	Host    string
	Path    string
	// Customer names the customer. If it is empty, HasKey and KeyHash do, as in an
	// arrival.
	Customer     table.CustomerID
	HasKey       bool
	KeyHash      table.KeyHash
	BodyBytes    int
	PromptTokens table.Tokens
	MaxOutput    table.Tokens
	PromptParts  []table.PromptPart
}

// DrainOrder marks an endpoint or process as leaving, or with Undo takes that
// back.
type DrainOrder struct {
	ReplyID uint64
	Target  string
	Undo    bool
	Reason  string
}

// Shutdown starts the graceful shutdown of this process.
type Shutdown struct{}
