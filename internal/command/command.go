// Package command defines the orders of the control thread to traffic.
//
// Each type of command has its own list in the Outbox. The process executes
// them after the tick, in the order of the fields of Outbox.
package command

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// Outbox holds the commands of one tick, with a list per type.
type Outbox struct {
	// Requests of callers, at a router.
	Accepts       []Accept
	Dispatches    []Dispatch
	CancelRuns    []CancelRun
	Replies       []Reply
	KeyReplies    []KeyReply
	CancelReplies []CancelReply

	// Sessions with other processes.
	Dials          []Dial
	Heartbeats     []SendHeartbeat
	Crashes        []SendCrash
	ConfigRequests []RequestConfig

	// Platform.
	ReadShards           []ReadShard
	WriteShards          []WriteShard
	ClaimCalls           []ClaimCall
	ReadFenceLists       []ReadFenceList
	WriteFenceLists      []WriteFenceList
	ReadQuarantineLists  []ReadQuarantineList
	WriteQuarantineLists []WriteQuarantineList
	ReadProcesses        []ReadProcesses

	// Messages between processes.
	SliceRequests []SendSliceRequest
	SliceGrants   []SendSliceGrant
	SliceReports  []SendSliceReport
	KeyRecords    []SendKeyRecord
	KeyQueries    []SendKeyQuery
	KeyResults    []SendKeyResult
	Lookups       []SendLookup
	LookupResults []SendLookupResult
	Fences        []SendFence
	FenceResults  []SendFenceResult

	// Work at an agent.
	Runs        []Run
	Rejects     []Reject
	Replays     []Replay
	StopRuns    []StopRun
	FreeAnswers []FreeAnswer

	// Operators.
	TopUpReplies   []TopUpReply
	BudgetReplies  []BudgetReply
	StatusReplies  []StatusReply
	ExplainReplies []ExplainReply
	WhereReplies   []WhereReply
	DrainReplies   []DrainReply
	DrainOrders    []SendDrainOrder

	// The HTTP front and its direct endpoints.
	EndpointCalls     []CallEndpoint
	EndpointUses      []SetEndpointUse
	IdleCloses        []CloseIdle
	StopAttempts      []StopAttempt
	FinishExchanges   []FinishExchange
	BodyReadLimits    []LimitBodyReads
	WriteLimitLedgers []WriteLimitLedger

	// Reports and allowances between routers.
	RouterReports []SendRouterReport
	// Calls and messages about the store's objects.
	WatchCalls       []WatchObjects
	WatchStops       []StopWatch
	EndpointRelays   []RelayEndpointChanges
	ManifestRelays   []RelayManifest
	TransferRequests []SendTransferRequest
	Transfers        []SendTransfer
	LedgerChanges    []SendLedgerChange
	LimitRequests    []SendLimitRequest

	// Process.
	StateChanges []StateChange
	Exits        []Exit
}

// Reset empties all lists.
func (o *Outbox) Reset() { *o = Outbox{} }

// Accept gives a handler the id of its request, once admission has determined
// the customer.
type Accept struct {
	ReplyID uint64
	Request table.RequestID
	// Attach is true when the request is already in progress and its earlier
	// caller disconnected: the new handler gets the answer after ResumePosition.
	Attach         bool
	ResumePosition table.Tokens
}

// Dispatch sends an attempt to an agent. Traffic adds StartPosition and the
// prompt, followed by the text already delivered.
type Dispatch struct {
	To table.Holder
	event.Dispatch
}

// CancelRun ends an attempt at an agent.
type CancelRun struct {
	To      table.Holder
	Request table.RequestID
	Attempt uint32
}

// Reply ends a caller's request. Request is empty when it was refused before
// admission gave it an id.
type Reply struct {
	ReplyID uint64
	Request table.RequestID
	Outcome table.Outcome
}

// KeyReply answers a KeyIssueRequest, with a key or a Refusal.
type KeyReply struct {
	ReplyID uint64
	Key     string
	// ValidFor is how long the key may be used.
	ValidFor time.Duration
	Refusal  table.Outcome
}

// CancelReply answers a Cancel.
type CancelReply struct {
	ReplyID uint64
	// Found is true if the router has a request with the key.
	Found bool
}

// Dial opens a session to a process.
type Dial struct {
	Process table.ProcessID
	Address string
}

// SendHeartbeat sends a heartbeat on all sessions, or to one process if To is
// set.
type SendHeartbeat struct {
	To        table.ProcessID
	Heartbeat event.Heartbeat
}

// SendCrash sends a crash report to all routers, or to those of To if it is not empty.
type SendCrash struct {
	To    []table.Holder
	Crash event.Crash
}

// RequestConfig requests a peer's configuration.
type RequestConfig struct{ To table.ProcessID }

// ReadShard reads a ledger shard.
type ReadShard struct{ Shard table.ShardID }

// WriteShard writes a ledger shard on condition of its version; 0 creates it.
type WriteShard struct {
	Shard   table.ShardID
	Version uint64
	// Sequence is the sequence number of the write, which its result repeats.
	Sequence uint64
	Content  table.ShardContent
}

// ClaimCall reads, creates or updates a claim. Version 0 creates it.
type ClaimCall struct {
	Read    bool
	Version uint64
	Claim   event.Claim
}

// ReadFenceList reads the fence list.
type ReadFenceList struct{}

// WriteFenceList writes the fence list on condition of its version.
type WriteFenceList struct {
	Version uint64
	Holders []table.Holder
}

// ReadQuarantineList reads the quarantine list.
type ReadQuarantineList struct{}

// WriteQuarantineList writes the quarantine list on condition of its version.
type WriteQuarantineList struct {
	Version uint64
	Entries []event.QuarantineEntry
}

// ReadProcesses reads the process objects. The answer repeats Call.
type ReadProcesses struct{ Call uint64 }

// SendSliceRequest asks another router for a slice of a budget.
type SendSliceRequest struct {
	To      table.ProcessID
	Request event.SliceRequest
}

// SendSliceGrant answers a SliceRequest.
type SendSliceGrant struct {
	To    table.Holder
	Grant event.SliceGrant
}

// SendSliceReport returns a slice to its grantor.
type SendSliceReport struct {
	To     table.Holder
	Report event.SliceReport
}

// SendKeyRecord stores a key at an index router.
type SendKeyRecord struct {
	To     table.ProcessID
	Record event.KeyRecord
}

// SendKeyQuery asks an index router about a key.
type SendKeyQuery struct {
	To    table.ProcessID
	Query event.KeyQuery
}

// SendKeyResult answers a KeyQuery.
type SendKeyResult struct {
	To     table.Holder
	Result event.KeyResult
}

// SendLookup asks an agent about a request id.
type SendLookup struct {
	To     table.ProcessID
	Lookup event.Lookup
}

// SendLookupResult answers a Lookup.
type SendLookupResult struct {
	To     table.Holder
	Result event.LookupResult
}

// SendFence fences a holder at an agent.
type SendFence struct {
	To    table.ProcessID
	Fence event.Fence
}

// SendFenceResult answers a Fence.
type SendFenceResult struct {
	To     table.Holder
	Result event.FenceResult
}

// Run starts a run at an endpoint; its output is sent on the session and kept.
type Run struct {
	Session   uint64
	Request   table.RequestID
	Attempt   uint32
	Endpoint  table.EndpointID
	Kind      table.ServiceKind
	Operation string
	// ChargeLimit is the most that may be charged: prompt plus output tokens.
	// MaxOutput is what the run may produce after StartPosition.
	ChargeLimit   table.Tokens
	MaxOutput     table.Tokens
	Priority      int
	StartPosition table.Tokens
	// FencingToken is the agent's start number, for engines that check it: they
	// refuse orders of an earlier incarnation of the agent.
	FencingToken uint64
}

// Reject rejects a dispatch that did not run.
type Reject struct {
	Session uint64
	Request table.RequestID
	Attempt uint32
	Code    table.Code
	Reason  string
	Ran     table.Ran
	// InFlight is the number of requests in progress at the endpoint.
	InFlight int
}

// Replay sends a kept answer, or that of a run in progress, to another session,
// starting at a position.
type Replay struct {
	Session      uint64
	Request      table.RequestID
	Attempt      uint32
	FromPosition table.Tokens
	// SameCall is true when the run was started by the same call of the same
	// router. That router bills it; any other gets it as a replayed answer.
	SameCall bool
}

// StopRun cancels a run at its endpoint.
type StopRun struct{ Request table.RequestID }

// FreeAnswer frees a kept answer.
type FreeAnswer struct{ Request table.RequestID }

// TopUpReply answers a TopUp.
type TopUpReply struct {
	ReplyID uint64
	OK      bool
	// OutcomeUnknown is true if the top-up may or may not have been recorded.
	OutcomeUnknown bool
	Reason         string
	// Deposited and Settled are the budget's totals in the ledger.
	Deposited table.Tokens
	Settled   table.Tokens
}

// BudgetInfo is a budget in a BudgetReply: the ledger's record and this
// router's part.
type BudgetInfo struct {
	Ledger table.LedgerBudget
	Local  table.Budget
}

// BudgetReply answers a BudgetQuery.
type BudgetReply struct {
	ReplyID uint64
	Budgets []BudgetInfo
	// Incomplete is true if not all ledger shards could be read.
	Incomplete bool
}

// StatusReply answers a StatusQuery.
type StatusReply struct {
	ReplyID    uint64
	Self       table.ProcessID
	Generation table.Generation
	// PlatformReachable is true if the last call reached the platform, and
	// PlatformStateAge is how long ago that last changed.
	PlatformReachable bool
	PlatformStateAge  time.Duration
	// Now is the time of the reply, to which the instants in Processes relate.
	Now          table.Instant
	Processes    []table.Process
	Endpoints    []table.Endpoint
	Quarantined  []table.Fingerprint
	ShortBudgets []table.BudgetID
}

// ExplainReply answers an ExplainQuery.
type ExplainReply struct {
	ReplyID   uint64
	Self      table.ProcessID
	Request   table.RequestID
	Decisions []table.Decision
}

// DrainReply answers a DrainOrder. Reason is empty if the order was accepted.
type DrainReply struct {
	ReplyID uint64
	Reason  string
}

// StateChange is a change of state to write to the log.
type StateChange struct {
	Subject string
	ID      string
	From    string
	To      string
	Reason  string
}

// Exit ends the process after its last stream.
type Exit struct {
	Reason string
	// CloseTimeout bounds how long the servers wait for clients that still send a
	// request or read an answer.
	CloseTimeout time.Duration
	// GrantsReturned is true if no grant of this process is left in the ledger.
	GrantsReturned bool
}

// SendDrainOrder forwards an operator's drain order to the agent of an
// endpoint.
type SendDrainOrder struct {
	To    table.ProcessID
	Order event.DrainOrder
}
