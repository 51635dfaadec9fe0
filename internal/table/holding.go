package table

import "time"

// HoldingID numbers what clients make this process hold.
type HoldingID uint64

// HoldingPhase says for whom a connection or request waits.
type HoldingPhase uint8

// Phases of holdings.
const (
	// HoldingIdle is a connection without a request.
	HoldingIdle HoldingPhase = iota
	// HoldingReceiving waits for the client to send the rest of a head or body.
	HoldingReceiving
	// HoldingWorking waits for this process or an endpoint.
	HoldingWorking
	// HoldingSending waits for the client to read an answer.
	HoldingSending
)

// ListenerClass groups listeners whose connections share a limit.
type ListenerClass uint8

// Classes of listeners.
const (
	// ClientListener serves clients or callers.
	ClientListener ListenerClass = iota
	// PrivateListener serves the load balancer, operators or other processes of the fleet.
	PrivateListener
	ListenerClasses
)

// Holding is a connection of a client, or one of several requests on a connection, with what
// it makes this process hold.
type Holding struct {
	ID    HoldingID
	Class ListenerClass
	// Connection is true if the end of the holding frees a descriptor.
	Connection bool
	// Served is true for a connection on which a request was answered.
	Served bool
	Phase  HoldingPhase
	// PhaseAge is how long the phase has lasted, and Moved how many bytes the client has sent
	// or read in it.
	PhaseAge time.Duration
	Moved    int64
	// Bytes is the memory that is charged to the holding.
	Bytes int64
}
