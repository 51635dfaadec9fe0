package table

import "time"

// RouterPeer is another router of the fleet.
type RouterPeer struct {
	Holder
	// Domain is the peer's failure domain and Cores the processor share of its host.
	Domain    string
	Cores     float64
	Connected bool
	// AbsentSince is when the last session ended or, without any, when the peer became
	// known.
	AbsentSince Instant
	// Session is the number of the session last opened.
	Session uint64
	// Available is what the peer last reported that it may still spend, less what
	// was requested from it since.
	Available map[CustomerID]Tokens
	// SendRates are the requests a second that the peer last reported, by service.
	SendRates map[ServiceName]float64
	// StoreDown is true if the peer reported that its calls to the store fail.
	StoreDown bool
	// LinkFull is true if the peer reported that its link has no room for more requests.
	LinkFull bool
	// NoLimitRequestsUntil is when the peer may be asked to write the ledger
	// again, after it failed to do so.
	NoLimitRequestsUntil Instant
	// NoTransferRequestsUntil is when the peer may be asked for a transfer again,
	// after it did not answer.
	NoTransferRequestsUntil Instant
	// DialAt is when the next session may be tried, and DialBackoff the delay
	// after that attempt.
	DialAt      Instant
	DialBackoff time.Duration
}

// Members are the routers that share what an endpoint admits, as this router sees them for
// a FleetGeneration until RecheckAt.
type Members struct {
	Names      []ProcessID
	Generation uint64
	RecheckAt  Instant
}

// Delegates are the routers that do a duty for the others, as this router sees them,
// those in its failure domain first.
type Delegates struct {
	// Generation is the value of FrontTables.FleetGeneration that Routers was
	// computed for.
	Generation uint64
	Routers    []Holder
	// Domains are the failure domains of Routers.
	Domains []string
	// IncludesSelf is true if this router is one of them.
	IncludesSelf bool
}
