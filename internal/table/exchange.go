package table

import "time"

// ExchangeID numbers the HTTP requests of this process.
type ExchangeID uint64

// ExchangeState is the processing stage of an exchange.
type ExchangeState uint8

// States of exchanges, in the usual order.
const (
	// ExchangeReserving waits for budget.
	ExchangeReserving ExchangeState = iota
	// ExchangePlacing waits for an endpoint.
	ExchangePlacing
	// ExchangeRunning has an attempt at an endpoint.
	ExchangeRunning
	// ExchangeStopping has been answered, or its client has disconnected; its
	// attempt has not ended yet.
	ExchangeStopping
	// ExchangeEnded has no attempt and no client; its cost is settled next.
	ExchangeEnded
)

// Exchange is an HTTP request in progress at this router.
type Exchange struct {
	ID ExchangeID
	// Request is the id that the client gave the request.
	Request  RequestID
	Customer CustomerID
	Route    string
	Service  ServiceName
	Kind     RouteKind
	// Repeatable and MaxAttempts are copied from the route: a later configuration
	// does not change how often an admitted request may be sent.
	Repeatable  bool
	MaxAttempts int
	// Priority is the rank among the requests at an endpoint, 0 first: that of the
	// route, or of the customer if it has one. RoutePriority is always that of the
	// route; it ranks the requests of one customer.
	Priority      int
	RoutePriority int
	// LatencyObjective is the route's target latency.
	LatencyObjective time.Duration
	Fingerprint      Fingerprint

	ArrivedAt Instant
	// ClientDeadline is the end of the timeout that the client sent, RouteDeadline
	// the end of the route's timeout.
	ClientDeadline Instant
	RouteDeadline  Instant

	// PromptTokens and MaxOutput bound the cost. PromptParts are the parts of the
	// prompt that an endpoint may have cached.
	PromptTokens Tokens
	MaxOutput    Tokens
	PromptParts  []PromptPart

	State ExchangeState
	// Reserved is the amount reserved from the customer's allowance until the
	// exchange is settled.
	Reserved Tokens

	// Attempt numbers the attempts; SentAttempts counts those of which any part was
	// written to an endpoint.
	Attempt      int
	SentAttempts int
	Endpoint     EndpointID
	// AttemptSentAt is when the current attempt was sent to Endpoint.
	AttemptSentAt Instant
	// PrefillTokens is what the current attempt added to its endpoint's
	// PrefillTokens.
	PrefillTokens Tokens
	// AnswerStarted is true once the answer of the current attempt has begun.
	AnswerStarted bool
	// AnswerStartedAt is when it began, if AnswerStarted.
	AnswerStartedAt Instant
	// AnswerContinued is true once it has gone on beyond its beginning.
	AnswerContinued bool
	// FirstEventAt is when the first event of any attempt arrived, or 0.
	FirstEventAt Instant
	// TriedEndpoints are the endpoints of earlier attempts.
	TriedEndpoints []EndpointID
	// MayHaveRun is true once an attempt ended without proof that it did not run.
	MayHaveRun bool
	// DeliveredEvents counts the events passed to the client, over all attempts.
	DeliveredEvents int64
	// MaxEventTokens is the most tokens in one event.
	MaxEventTokens Tokens
	// LastFailure describes the failure of the last attempt.
	LastFailure string
}

// MaxCost returns the most tokens that the request may cost its customer.
func (x *Exchange) MaxCost() Tokens { return x.PromptTokens + x.MaxOutput }

// FrontTables hold a router's rows about HTTP requests and direct endpoints.
type FrontTables struct {
	Exchanges Table[ExchangeID, Exchange]
	// ExchangesWaiting are the exchanges in ExchangeReserving or ExchangePlacing,
	// ExchangesEnded those that wait for their settlement.
	ExchangesWaiting Set[ExchangeID]
	ExchangesEnded   Set[ExchangeID]
	// ExchangeTimers schedule the exchanges' deadlines.
	ExchangeTimers Timers[ExchangeID]

	DirectEndpoints Table[EndpointID, DirectEndpoint]
	DirectServices  Table[ServiceName, DirectService]
	// DepartedEndpoints are endpoints whose rows were lately deleted.
	DepartedEndpoints Table[EndpointID, DepartedEndpoint]
	// EndpointNotices are what endpoints say of themselves, as far as it binds routers.
	EndpointNotices Table[EndpointID, EndpointNotice]
	// ColdEndpoints are the endpoints that are cold or have lately been.
	ColdEndpoints Table[EndpointID, ColdEndpoint]
	// HeardAt is when the store or another router last told this one something. Silent is
	// true once that is too long ago to know of endpoints that start again.
	HeardAt Instant
	Silent  bool
	// CachedParts maps a prompt part at an endpoint to its last use there.
	CachedParts Table[CachedPart, Instant]
	// PromptRates are the rates of the requests with a prompt part, by its id.
	PromptRates Table[string, DecayingRate]
	// ServiceTraffic is what this router sends, by service.
	ServiceTraffic Table[ServiceName, ServiceTraffic]

	// Manifest is the active configuration of the HTTP front, ManifestRevision the store's
	// revision of its last change.
	Manifest         Manifest
	ManifestRevision uint64
	// RoutesByHost maps a host name to the indexes of its routes in
	// Manifest.Routes, longest prefix first.
	RoutesByHost       Table[string, []int]
	CustomersByKeyHash Table[KeyHash, CustomerID]
	PrepaidCustomers   Table[CustomerID, PrepaidCustomer]
	// RouteSlowdowns are the observed durations of requests by the name of the route.
	RouteSlowdowns Table[string, RouteSlowdown]

	PartTables
	EvacuationTables

	Accounts Table[CustomerID, Account]
	// DemandByPriority is the demand that arrives at this router, by the priority of
	// the requests, in tokens per second.
	DemandByPriority Table[int, DecayingRate]
	LimitLedgerView  LimitLedgerView
	// RouterPeers are the other routers in the limit ledger.
	RouterPeers Table[ProcessID, RouterPeer]
	// LimitRequests are what other routers asked this one to write to the ledger.
	LimitRequests Table[ProcessID, LimitRequest]
	// Delegates caches which routers do a duty for the others, by the name of the duty.
	// For the limits of a customer that is its id. FleetGeneration increases with each
	// change that may affect them.
	Delegates       Table[string, Delegates]
	FleetGeneration uint64
	// LedgerMembers are the routers in the limit ledger that share what cold endpoints bear.
	LedgerMembers Members
	// Link is the state of this router's own link, RouteAnswerSizes what answers bring to
	// it, by the name of the route.
	Link             Link
	RouteAnswerSizes Table[string, RouteAnswerSize]
	// StoreEra is the era of the store.
	StoreEra StoreEra
	// Watches are the kinds of objects in the store that this router follows.
	Watches Table[WatchKind, Watch]
	// PendingTransfers are other routers' requests that wait for a limit.
	PendingTransfers Table[TransferKey, PendingTransfer]
	// ReportSentAt is when the peers were last sent a report, and ReportedStoreDown
	// what it said about the store.
	ReportSentAt      Instant
	ReportedStoreDown bool
	// DialCheckAt is when the sessions with other routers are checked next, and
	// DialCheckGeneration the FleetGeneration at the last check.
	DialCheckAt         Instant
	DialCheckGeneration uint64
}
