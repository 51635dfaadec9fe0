package event

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
)

// HTTPArrival is an HTTP request of a client that was received in full.
type HTTPArrival struct {
	Exchange table.ExchangeID
	// Request is the client's id of the request.
	Request string
	Host    string
	Path    string
	// HasKey is true if the client sent an API key; KeyHash is its hash.
	HasKey  bool
	KeyHash table.KeyHash
	// ClientTimeout is how long the client waits after the arrival; 0 if unknown.
	ClientTimeout time.Duration
	// BodyBytes is the length of the body.
	BodyBytes    int
	PromptTokens table.Tokens
	MaxOutput    table.Tokens
	PromptParts  []table.PromptPart
	Fingerprint  table.Fingerprint
}

// ClientDisconnect says that the client of an exchange closed its connection.
type ClientDisconnect struct{ Exchange table.ExchangeID }

// LoadReport is a direct endpoint's own load report.
type LoadReport struct {
	// Present is false if the endpoint sent no report.
	Present bool
	// Running and Waiting are numbers of requests.
	Running int
	Waiting int
	// Slowdown is the current duration of work divided by the usual one: 1 is the
	// usual speed, 2 half of it.
	Slowdown float64
	// Age is how long ago the head of the answer that carries it was read.
	Age time.Duration
}

// EndpointNotice is what a direct endpoint says of itself in an answer.
type EndpointNotice struct {
	// Present is false if there was no answer of the endpoint.
	Present bool
	// Leaving is true if it is about to end and wants no new work.
	Leaving bool
	// Pause is for how long it wants nothing from this router, or 0.
	Pause time.Duration
	// RateLimited is true if it names a limit, RateLimit how many requests a second it takes from
	// all routers together.
	RateLimited bool
	RateLimit   float64
	// RateLimitUnknown is true if the limit that it names is unreadable.
	RateLimitUnknown bool
	// Age is how long ago the head of the answer was read.
	Age time.Duration
}

// ConnectTime is how long it took to open a connection to an endpoint, or to give up.
type ConnectTime struct{ Duration time.Duration }

// DirectAnswerStarted says that the first event of a stream arrived from a
// direct endpoint.
type DirectAnswerStarted struct {
	Exchange table.ExchangeID
	Attempt  int
	Report   LoadReport
	Notice   EndpointNotice
}

// ContinuedEvents is the number of events of one attempt from which a stream has gone on
// beyond its beginning. An endpoint that a request crashes ends as it begins to answer, and
// may have sent the first events by then.
const ContinuedEvents = 3

// DirectAnswerContinued says that ContinuedEvents events with an id have arrived from an
// attempt.
type DirectAnswerContinued struct {
	Exchange table.ExchangeID
	Attempt  int
}

// DirectStatus is how an attempt at a direct endpoint ended.
type DirectStatus uint8

// Values of DirectStatus.
const (
	// DirectAnswered means that the endpoint's whole answer arrived, with status
	// HTTPStatus.
	DirectAnswered DirectStatus = iota + 1
	// DirectNotSent means that no part of the request was written to the endpoint.
	DirectNotSent
	// DirectDeclined means that the endpoint answered that it did not run the
	// request.
	DirectDeclined
	// DirectOutcomeUnknown means that the attempt failed in another way, after
	// which the request may have run. Logs and decisions name it "broken".
	DirectOutcomeUnknown
)

// String returns the lower-case name of the status.
func (s DirectStatus) String() string {
	return [...]string{"unknown", "answered", "unreached", "declined", "broken"}[s]
}

// DirectAttemptEnd says that an attempt at a direct endpoint ended.
type DirectAttemptEnd struct {
	Exchange table.ExchangeID
	Attempt  int
	Status   DirectStatus
	// HTTPStatus is the HTTP status of the answer, 0 if there was none.
	HTTPStatus int
	// Misdirected is true if another endpoint has the address.
	Misdirected bool
	// ConnectionLost is true if the connection ended before the answer was
	// complete, as it does when an endpoint crashes.
	ConnectionLost bool
	// Withheld is true if this router did not send the request over a connection that was
	// open: the endpoint was withdrawn or the time was over.
	Withheld bool
	// Undelimited is true if the answer ended with its connection, without a length or
	// chunks. The answer of an endpoint that ends between two events looks the same.
	Undelimited bool
	// EndpointGone is true if the connection was lost, or ended an undelimited stream, before
	// the answer of the attempt had continued, and nothing accepted connections at the
	// endpoint's address right after.
	EndpointGone bool
	// ClientLost is true if the answer could not be written to the client, which left or
	// did not read. It says nothing about the endpoint.
	ClientLost bool
	// DeliveredEvents counts the events passed to the client, over all attempts.
	DeliveredEvents int64
	// HeaderDelivered is true if the header of an answer was sent to the client, by
	// this attempt or an earlier one.
	HeaderDelivered bool
	Reason          string
	Report          LoadReport
	Notice          EndpointNotice
	// AnswerBytes is the length of the part of the answer's body that arrived.
	AnswerBytes int64
	// LongestGap is the longest pause between two events of the attempt.
	LongestGap time.Duration
}

// firstServerError is the least HTTP status that reports a failure of the
// endpoint.
const firstServerError = 500

// Failed reports whether the attempt brought no answer, or one that reports a
// failure of the endpoint.
func (e *DirectAttemptEnd) Failed() bool {
	return e.Status != DirectAnswered || e.HTTPStatus >= firstServerError
}

// ManifestReceived carries a configuration of the HTTP front.
type ManifestReceived struct {
	InEra
	Manifest table.Manifest
	// Revision is the store's revision of its last change, or 0 if the sender does not know
	// that in its era.
	Revision uint64
	// Relayed is true if another router sent it, From.
	Relayed bool            `msgpack:"-"`
	From    table.ProcessID `msgpack:"-"`
}

// EndpointEntry is an endpoint's entry in the platform's list.
type EndpointEntry struct {
	ID      table.EndpointID
	Service table.ServiceName
	Address string
	Domain  string
	Slots   int
	Leaving bool
	// StartedUnixMilli is the endpoint's start in milliseconds of Unix time.
	StartedUnixMilli int64
	// Sequence counts what the endpoint's process has written, or is 0 if that is unknown. It
	// orders the entries of one process.
	Sequence int64
	// ColdKnown is true if the entry says whether the endpoint is cold, and ColdLeft for how
	// long it stays so. Releases before these fields don't pass them on.
	ColdKnown bool
	ColdLeft  time.Duration
}

// EndpointChanges carries all changes of the platform's list of endpoints between two
// revisions of the store, or, if Full, the whole list at a revision.
type EndpointChanges struct {
	InEra
	Full bool
	// Since and Covered are the revisions; Since is 0 if Full.
	Since   uint64
	Covered uint64
	// LastChange is the highest revision of an entry in the list or the changes.
	LastChange uint64
	Present    []EndpointEntry
	Removed    []table.EndpointID
	// Relayed is true if another router sent the changes. MayHaveLapsed is true if an
	// outage of the store at that router may have caused the removals, as far as this
	// router knows.
	Relayed       bool `msgpack:"-"`
	MayHaveLapsed bool
	// LapseGrace is how long lapsed entries may take to come back, if another router
	// said that there may be any. It is 0 from releases that don't say it.
	LapseGrace time.Duration
}

// EvacuationChanges carries the evacuated failure domains at a revision of the store, if
// Full, or the changes of them between two revisions.
type EvacuationChanges struct {
	InEra
	Full bool
	// Since and Covered are the revisions; Since is 0 if Full.
	Since   uint64
	Covered uint64
	// LastChange is the highest revision of an entry that the store returned, or 0.
	LastChange uint64
	Present    []string
	Removed    []string
	// Relayed is true if another router sent them; SenderStoreDown is true if that one does
	// not reach the store.
	Relayed         bool
	SenderStoreDown bool
}

// WatchStatus is how a call that follows a kind of objects ended.
type WatchStatus uint8

// Values of WatchStatus.
const (
	WatchOK WatchStatus = iota + 1
	// WatchCompacted means that the store no longer has the history since the
	// revision.
	WatchCompacted
	WatchFailed
)

// WatchResult is the end of a call that follows a kind of objects. The objects are
// carried by events before it.
type WatchResult struct {
	InEra
	Kind   table.WatchKind
	Call   uint64
	Status WatchStatus
	// Covered is the revision up to which the call returned all changes, and
	// LastChange the highest revision of an object that it returned, or 0.
	Covered    uint64
	LastChange uint64
}

// LimitLedgerResult is the result of a call to the limit ledger.
type LimitLedgerResult struct {
	InEra
	Status   CallStatus
	Revision uint64
	// Content is the ledger after the call, for CallOK and CallConflict.
	Content table.LimitLedger
	Reason  string
}

// RouterReport is a router's periodic report to the others.
type RouterReport struct {
	InEra
	From table.Holder
	// Available is what the sender may still spend of the totals that it holds limits
	// of.
	Available map[table.CustomerID]table.Tokens `msgpack:"Free"`
	// StoreDown is true while the sender's calls to the store fail.
	StoreDown bool
	// FollowedFor is for how long the sender has followed the list of endpoints itself
	// and the store has answered all its calls for it; 0 if it does not follow it now.
	FollowedFor time.Duration
	// LastChanges are the highest revisions of changes in the store that the sender
	// knows, by kind of object.
	LastChanges map[table.WatchKind]uint64
	// ManifestVersion is the version of the configuration that is in force at the sender, or 0
	// from releases that don't report it.
	ManifestVersion uint64
	// Wants are the kinds of objects of which the sender lacks changes that the store does
	// not give it. Releases that don't know the field don't answer.
	Wants map[table.WatchKind]WantedChanges
	// WantsLedgerOf is the router that is asked for the limit ledger as it knows it, by one
	// that only knows an older copy. It is empty if the sender wants none.
	WantsLedgerOf table.Holder
	// Notices are what endpoints said of themselves to the sender itself, as far as it
	// binds other routers.
	Notices []ReportedNotice
	// Evacuated are all evacuated failure domains at the revision EvacuationsCovered of
	// the store. The revision is 0 if the sender does not say which are.
	Evacuated          []string
	EvacuationsCovered uint64
	// EvacuationsLost are domains that stay evacuated at the sender although the store has not
	// named them since it returned from a copy.
	EvacuationsLost []string
	// LinkFull is true while the sender's link has no room for more requests. Releases
	// that don't know the field never report it.
	LinkFull bool
	// Lost are the endpoints that the sender itself found lost lately.
	Lost []LostEndpoint
	// Loads are load reports that the sender received from endpoints itself.
	Loads []ReportedLoad
	// SendRates are the requests a second that the sender sends, by service.
	SendRates map[table.ServiceName]float64
}

// LostEndpoint is an endpoint that did not accept a connection or broke its answers, so
// that another process may come back in its place.
type LostEndpoint struct {
	Endpoint table.EndpointID
	// StartedUnixMilli is the start of the process that was listed then.
	StartedUnixMilli int64
	// Age is how long ago it was found lost.
	Age time.Duration
}

// ReportedLoad is an endpoint's load report that a router passes on.
type ReportedLoad struct {
	//lint:ignore U1000 the encoding reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Endpoint         table.EndpointID
	Running, Waiting int
	// SlowdownPercent is 100 at the usual speed of the endpoint.
	SlowdownPercent int
	// AgeMs is how long ago the endpoint sent the report, EventTimeUs the time between two
	// events of its streams as the sender learnt it, or 0; in milliseconds and microseconds.
	AgeMs, EventTimeUs int64
}

// ReportedNotice is what an endpoint said of itself to a router.
type ReportedNotice struct {
	Endpoint table.EndpointID
	// StartedUnixMilli is the start of the endpoint's process.
	StartedUnixMilli int64
	Leaving          bool
	// RateLimited is false also if the endpoint no longer names a limit.
	RateLimited bool
	RateLimit   float64
	// Age is how long ago it said so.
	Age time.Duration
}

// WantedChanges asks a router for the state of a kind of objects.
type WantedChanges struct {
	// From is the router that is asked.
	From table.Holder
	// Covered is the revision up to which the sender has all changes.
	Covered uint64
	// ManifestVersion is the version of the configuration in force at the sender.
	ManifestVersion uint64
}

// TransferRequest asks another router for part of what it may still spend. Need
// is the least amount that lets a waiting request of the sender proceed, Want
// the preferred amount.
type TransferRequest struct {
	From     table.Holder
	Customer table.CustomerID
	// Request is the request that the need is of.
	Request table.RequestID
	Need    table.Tokens
	Want    table.Tokens
}

// Transfer gives another router part of what the sender may still spend. The
// sender counts it as spent from the moment it is sent. An amount below the need of
// a request, which may be 0, says that the sender has no more.
type Transfer struct {
	From     table.Holder
	Customer table.CustomerID
	Amount   table.Tokens
}

// LedgerChange reports a write of the limit ledger, so that other routers can
// update their copies without a read.
type LedgerChange struct {
	InEra
	table.LedgerStep
}

// LimitRequest asks the router that writes the limit ledger for others to raise
// the sender's limits to those given, as far as the totals allow, and to record
// what the sender has spent. It never lowers a limit, so it may be carried out
// late.
type LimitRequest struct {
	InEra
	From    table.Holder
	Entries map[table.CustomerID]table.LimitEntry
	// Urgent is true while a client's request waits for it.
	Urgent bool
	// Register is true if the ledger has no entry of the sender yet; Address is
	// where other routers reach the sender.
	Register bool
	Address  string
	// States is true if the sender's entry has to be written as Held says, whatever the ledger
	// has: the store may have lost it.
	States bool                                  `msgpack:",omitempty"`
	Held   map[table.CustomerID]table.LimitEntry `msgpack:",omitempty"`
}

// AddTo implements Event.
func (e LimitRequest) AddTo(in *Inbox) { in.LimitRequests = append(in.LimitRequests, e) }

// AddTo implements Event.
func (e LedgerChange) AddTo(in *Inbox) { in.LedgerChanges = append(in.LedgerChanges, e) }

// AddTo implements Event.
func (e RouterReport) AddTo(in *Inbox) { in.RouterReports = append(in.RouterReports, e) }

// AddTo implements Event.
func (e TransferRequest) AddTo(in *Inbox) { in.TransferRequests = append(in.TransferRequests, e) }

// AddTo implements Event.
func (e Transfer) AddTo(in *Inbox) { in.Transfers = append(in.Transfers, e) }

// AddTo implements Event.
func (e HTTPArrival) AddTo(in *Inbox) { in.HTTPArrivals = append(in.HTTPArrivals, e) }

// AddTo implements Event.
func (e ClientDisconnect) AddTo(in *Inbox) { in.ClientDisconnects = append(in.ClientDisconnects, e) }

// AddTo implements Event.
func (e DirectAnswerStarted) AddTo(in *Inbox) {
	in.DirectAnswersStarted = append(in.DirectAnswersStarted, e)
}

// AddTo implements Event.
func (e DirectAnswerContinued) AddTo(in *Inbox) {
	in.DirectAnswersContinued = append(in.DirectAnswersContinued, e)
}

// AddTo implements Event.
func (e DirectAttemptEnd) AddTo(in *Inbox) { in.DirectAttemptEnds = append(in.DirectAttemptEnds, e) }

// AddTo implements Event.
func (e ManifestReceived) AddTo(in *Inbox) { in.Manifests = append(in.Manifests, e) }

// AddTo implements Event.
func (e EndpointChanges) AddTo(in *Inbox) { in.EndpointChanges = append(in.EndpointChanges, e) }

// AddTo implements Event.
func (e EvacuationChanges) AddTo(in *Inbox) { in.EvacuationChanges = append(in.EvacuationChanges, e) }

// AddTo implements Event.
func (e WatchResult) AddTo(in *Inbox) { in.WatchResults = append(in.WatchResults, e) }

// AddTo implements Event.
func (e ConnectTime) AddTo(in *Inbox) { in.ConnectTimes = append(in.ConnectTimes, e) }

// AddTo implements Event.
func (e LimitLedgerResult) AddTo(in *Inbox) { in.LimitLedgerResults = append(in.LimitLedgerResults, e) }
