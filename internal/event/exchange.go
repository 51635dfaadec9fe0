package event

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
)

// HTTPArrival is a whole HTTP request of a client.
type HTTPArrival struct {
	Exchange table.ExchangeID
	// Request is the client's id of the request.
	Request string
	Host    string
	Path    string
	HasKey  bool
	KeyHash table.KeyHash
	// Budget is how long the client waits, from the arrival on; 0 if not told.
	Budget      time.Duration
	Prompt      table.Tokens
	MaxOutput   table.Tokens
	Parts       []table.PromptPart
	Fingerprint table.Fingerprint
}

// ClientGone says that the client of an exchange closed its connection.
type ClientGone struct{ Exchange table.ExchangeID }

// EndpointReport is an endpoint's own account of its load.
type EndpointReport struct {
	Known   bool
	Running int
	Waiting int
	// Slowdown is how long work takes at the moment, 1 as usual.
	Slowdown float64
}

// AttemptStarted says that an attempt's answer has begun.
type AttemptStarted struct {
	Exchange table.ExchangeID
	Attempt  int
	Report   EndpointReport
}

// DirectStatus is how an attempt at a direct endpoint ended.
type DirectStatus uint8

// Values of DirectStatus.
const (
	// DirectAnswered gave a whole answer of the endpoint, with status Code.
	DirectAnswered DirectStatus = iota + 1
	// DirectUnreached wrote nothing of the request to the endpoint.
	DirectUnreached
	// DirectDeclined was answered with the endpoint's word that it did not run.
	DirectDeclined
	// DirectBroken ended in any other way; the request may have run.
	DirectBroken
)

// String returns the lower-case name of the status.
func (s DirectStatus) String() string {
	return [...]string{"unknown", "answered", "unreached", "declined", "broken"}[s]
}

// DirectEnd is the end of an attempt at a direct endpoint.
type DirectEnd struct {
	Exchange table.ExchangeID
	Attempt  int
	Status   DirectStatus
	// Code is the HTTP status of the answer, 0 if there was none.
	Code int
	// Misdirected says that another endpoint has the address.
	Misdirected bool
	// CutOff says that the connection ended before the answer was whole, as it
	// does when an endpoint crashes.
	CutOff bool
	// Events counts the events passed to the client, over all attempts.
	Events int64
	// Begun says that the client got the head of an answer.
	Begun  bool
	Reason string
	Report EndpointReport
	// LongestGap is the longest pause between two events of the attempt.
	LongestGap time.Duration
}

// serverError is the first HTTP status by which an endpoint says that it failed.
const serverError = 500

// Failed reports whether the attempt brought no answer, or one that says that the
// endpoint failed.
func (e *DirectEnd) Failed() bool { return e.Status != DirectAnswered || e.Code >= serverError }

// ManifestSeen carries a configuration of the HTTP front.
type ManifestSeen struct{ Manifest table.Manifest }

// DirectEntry is an endpoint's entry in the platform's list.
type DirectEntry struct {
	ID      table.EndpointID
	Service table.ServiceName
	Address string
	Domain  string
	Slots   int
	Leaving bool
	Born    int64
}

// EndpointsSeen tells changes of the platform's list of endpoints, or, if Full,
// all of it.
type EndpointsSeen struct {
	Full    bool
	Present []DirectEntry
	Removed []table.EndpointID
}

// LimitLedgerAnswer is how a call to the limit ledger ended.
type LimitLedgerAnswer struct {
	Status   CallStatus
	Revision uint64
	// Content is the ledger after the call, for CallOK and CallConflict.
	Content table.LimitLedger
	Reason  string
}

// Allowance tells what another router may still spend, by customer.
type Allowance struct {
	From table.Holder
	Free map[table.CustomerID]table.Tokens
	// StoreDown is true while the sender's calls to the store fail.
	StoreDown bool
}

// TransferRequest asks another router for a part of what it may still spend. It
// is of use only if Need is given; Want is welcome.
type TransferRequest struct {
	From     table.Holder
	Customer table.CustomerID
	Need     table.Tokens
	Want     table.Tokens
}

// Transfer gives another router a part of what the sender may still spend. The
// sender counts it as spent from the moment it is sent.
type Transfer struct {
	From     table.Holder
	Customer table.CustomerID
	Amount   table.Tokens
}

// LedgerChange tells of a write of the limit ledger, so that the others need not
// read the ledger.
type LedgerChange struct{ table.LedgerStep }

// LimitRequest asks the router that writes the ledger for others to raise the
// sender's limits to those given, as far as the totals allow, and to record what
// the sender has spent. It never lowers a limit, so it may be carried out late.
type LimitRequest struct {
	From    table.Holder
	Entries map[table.CustomerID]table.LimitEntry
	// Urgent is true while a client's request waits for it.
	Urgent bool
	// Register is true if the ledger has no entry of the sender yet; Address is
	// where other routers reach it.
	Register bool
	Address  string
}

// AddTo implements Event.
func (e LimitRequest) AddTo(in *Inbox) { in.LimitRequests = append(in.LimitRequests, e) }

// AddTo implements Event.
func (e LedgerChange) AddTo(in *Inbox) { in.LedgerChanges = append(in.LedgerChanges, e) }

// AddTo implements Event.
func (e Allowance) AddTo(in *Inbox) { in.Allowances = append(in.Allowances, e) }

// AddTo implements Event.
func (e TransferRequest) AddTo(in *Inbox) { in.TransferRequests = append(in.TransferRequests, e) }

// AddTo implements Event.
func (e Transfer) AddTo(in *Inbox) { in.Transfers = append(in.Transfers, e) }

// AddTo implements Event.
func (e HTTPArrival) AddTo(in *Inbox) { in.HTTPArrivals = append(in.HTTPArrivals, e) }

// AddTo implements Event.
func (e ClientGone) AddTo(in *Inbox) { in.ClientsGone = append(in.ClientsGone, e) }

// AddTo implements Event.
func (e AttemptStarted) AddTo(in *Inbox) { in.AttemptsStarted = append(in.AttemptsStarted, e) }

// AddTo implements Event.
func (e DirectEnd) AddTo(in *Inbox) { in.DirectEnds = append(in.DirectEnds, e) }

// AddTo implements Event.
func (e ManifestSeen) AddTo(in *Inbox) { in.Manifests = append(in.Manifests, e) }

// AddTo implements Event.
func (e EndpointsSeen) AddTo(in *Inbox) { in.EndpointLists = append(in.EndpointLists, e) }

// AddTo implements Event.
func (e LimitLedgerAnswer) AddTo(in *Inbox) { in.LimitAnswers = append(in.LimitAnswers, e) }
