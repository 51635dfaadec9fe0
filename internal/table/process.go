package table

import "time"

// Role is what a daemon does.
type Role uint8

// Roles of daemons.
const (
	RoleRouter Role = iota + 1
	RoleAgent
)

// String returns the name used in settings.
func (r Role) String() string {
	if r == RoleAgent {
		return "agent"
	}
	return "router"
}

// ProcessState is what this process believes about another one.
type ProcessState uint8

// States of processes.
const (
	// ProcessUnknown has been listed but never heard from.
	ProcessUnknown ProcessState = iota
	ProcessLive
	// ProcessSuspect has not been heard from for several heartbeat intervals.
	ProcessSuspect
	ProcessLeaving
	// ProcessGone has left the platform's list and is silent.
	ProcessGone
)

// String returns the lower-case name of the state.
func (s ProcessState) String() string {
	return [...]string{"unknown", "live", "suspect", "leaving", "gone"}[s]
}

// Process is a daemon as this process knows it, itself included.
type Process struct {
	Holder
	Role Role
	// Start numbers the starts of the fleet's processes in their order; 0 until
	// the process registered. A process with a higher number started later.
	Start uint64
	// Left is true after a graceful end.
	Left    bool
	Region  string
	Domain  string
	Address string
	State   ProcessState
	// Connected is true while a session is open.
	Connected bool
	// Session is the session last opened; the end of an older one is ignored.
	Session   uint64
	LastHeard Instant
	// Interval and Wanted repeat the process's last heartbeat.
	Interval time.Duration
	Wanted   time.Duration
	// Generation is the configuration the process last said it enforces.
	Generation Generation
	// Unlisted and ListedLeaving repeat the platform's membership list. A process
	// that no list was read for yet is not Unlisted: recovery starts with it.
	Unlisted      bool
	ListedLeaving bool
	// NoticeLeaving is set by the process's own leaving notice.
	NoticeLeaving bool
	// PeerClock is the peer's monotonic clock as last received, PeerClockAt the
	// local time of receipt. PeerClock + (t - PeerClockAt) is never ahead of the
	// peer's clock at local time t.
	PeerClock   Instant
	PeerClockAt Instant
}

// ID returns the process's id.
func (p *Process) ID() ProcessID { return p.Process }

// EndpointState is whether an endpoint may get new work.
type EndpointState uint8

// States of endpoints.
const (
	EndpointLive EndpointState = iota
	EndpointLeaving
	EndpointDown
)

// String returns the lower-case name of the state.
func (s EndpointState) String() string {
	return [...]string{"live", "leaving", "down"}[s]
}

// Endpoint is a model engine or plain service instance.
type Endpoint struct {
	ID            EndpointID
	Agent         ProcessID
	Service       ServiceName
	Slots         int
	ChecksFencing bool
	Region        string
	Domain        string
	State         EndpointState
	// Reason says why the endpoint is not live, or why it is ejected.
	Reason string

	// InFlight and InFlightTokens are this router's own work at the endpoint.
	InFlight       int
	InFlightQuick  int
	InFlightTokens Tokens
	// OthersInFlight, OthersLong and OthersTokens are the other routers' work:
	// what the agent last said, less this router's own work at that time.
	OthersInFlight int
	OthersLong     int
	OthersTokens   Tokens
	// BusyUntil and BusyDelay hold back work of a class, by class, after the
	// agent refused it as busy.
	BusyUntil [2]Instant
	BusyDelay [2]time.Duration
	// The agent's view over all routers, from its last heartbeat or reply.
	AgentInFlight int
	AgentTokens   Tokens
	AgentHeard    Instant
	// ReportTokens is the engine's own load report, ReportAge its age then.
	ReportTokens Tokens
	ReportAge    time.Duration

	// Moving averages observed by this router; 0 when unknown. First-token times
	// are those of quick requests, so that long prompts do not make an endpoint
	// look slow.
	FirstTokenTime time.Duration
	TokenTime      time.Duration
	Samples        int
	// Observed is the agent's count of samples when it last told its averages.
	Observed uint64
	// Failures counts broken attempts since the last good one.
	Failures int
	// Waiting counts quick attempts without a first token; WaitingSince is when
	// the first of them was sent or the last first token came.
	Waiting      int
	WaitingSince Instant
	// HeldFor is a request that must run alone and waits for the endpoint to
	// become idle.
	HeldFor RequestID

	Ejected bool
	// The next probe may go out at ProbeAt, once as many requests of the service
	// were sent as ProbeAfter says.
	ProbeAt       Instant
	ProbeAfter    uint64
	ProbeInterval time.Duration
	Probing       bool
}
