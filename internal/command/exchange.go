package command

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// CallEndpoint starts an attempt at a direct endpoint.
type CallEndpoint struct {
	Exchange table.ExchangeID
	Attempt  int
	Endpoint table.EndpointID
	Address  string
	Service  table.ServiceName
	Customer table.CustomerID
	// TimeLeft is how long the endpoint may work on the request.
	TimeLeft time.Duration
	Stream   bool
	// Priority is the rank among the endpoint's requests, 0 first.
	Priority int
}

// SetEndpointUse says whether requests may be sent to an endpoint. Attempts that wait
// for their connection are bound by it too.
type SetEndpointUse struct {
	Endpoint table.EndpointID
	Allowed  bool
}

// CloseIdle closes the idle connections to an address that an endpoint no longer has.
type CloseIdle struct{ Address string }

// StopAttempt ends an attempt whose answer is no longer needed.
type StopAttempt struct {
	Exchange table.ExchangeID
	Attempt  int
}

// FinishExchange ends an exchange for its client. If Deliver is set, the answer
// of the last attempt is passed on unchanged; otherwise Outcome says what to
// answer, or why an answer that has begun is cut off.
type FinishExchange struct {
	Exchange table.ExchangeID
	Deliver  bool
	Outcome  table.Outcome
	// RouteKind, Age and FirstEventTime are for the latency histograms: Age is the
	// time since the arrival, FirstEventTime the time from the arrival to the
	// first event of a stream, or 0.
	RouteKind      table.RouteKind
	Age            time.Duration
	FirstEventTime time.Duration
}

// WriteLimitLedger writes the limit ledger on condition of its revision; 0
// creates it.
type WriteLimitLedger struct {
	Revision uint64
	Content  table.LimitLedger
}

// SendRouterReport sends a report to all connected routers.
type SendRouterReport struct{ Report event.RouterReport }

// WatchObjects calls the store for the objects of a kind: the complete list, or, if
// Since is not 0, the changes since a revision, for which the call waits up to Wait.
type WatchObjects struct {
	Kind  table.WatchKind
	Call  uint64
	Since uint64
	Wait  time.Duration
}

// StopWatch ends the open call that follows a kind of objects.
type StopWatch struct{ Kind table.WatchKind }

// RelayEndpointChanges sends changes of the list of endpoints to other routers.
type RelayEndpointChanges struct {
	To      []table.Holder
	Changes event.EndpointChanges
}

// RelayManifest sends a configuration to other routers.
type RelayManifest struct {
	To       []table.Holder
	Manifest event.ManifestReceived
}

// SendTransferRequest asks another router for part of its allowance.
type SendTransferRequest struct {
	To      table.Holder
	Request event.TransferRequest
}

// SendTransfer gives another router part of this one's allowance.
type SendTransfer struct {
	To       table.Holder
	Transfer event.Transfer
}

// SendLedgerChange reports a write of the limit ledger to all connected
// routers, or tells To, if that is set, of the whole ledger.
type SendLedgerChange struct {
	To     table.Holder
	Change event.LedgerChange
}

// SendLimitRequest asks another router to record this one's limits.
type SendLimitRequest struct {
	To      table.Holder
	Request event.LimitRequest
}

// LimitBodyReads says that requests whose body is not complete within a time are
// refused. It applies to bodies that are being read and to later ones.
type LimitBodyReads struct {
	Within time.Duration
}
