package table

import "time"

// Role is the function of a daemon in the fleet.
type Role uint8

// Roles of daemons.
const (
	RoleRouter Role = iota + 1
	RoleAgent
)

// String returns the name of the role in settings.
func (r Role) String() string {
	if r == RoleAgent {
		return "agent"
	}
	return "router"
}

// ProcessState is this process's view of another process.
type ProcessState uint8

// States of processes.
const (
	// ProcessUnknown is listed but was never heard from.
	ProcessUnknown ProcessState = iota
	ProcessLive
	// ProcessSuspect was not heard from for several heartbeat intervals.
	ProcessSuspect
	ProcessLeaving
	// ProcessGone is no longer on the platform's list and not heard from.
	ProcessGone
)

// String returns the lower-case name of the state.
func (s ProcessState) String() string {
	return [...]string{"unknown", "live", "suspect", "leaving", "gone"}[s]
}

// Process is this process's record of a daemon, itself included.
type Process struct {
	Holder
	Role Role
	// StartNumber numbers the process starts of the fleet in order: a process with
	// a higher number started later. It is 0 until the process registered.
	StartNumber uint64 `json:"Start" msgpack:"Start"`
	// Left is true after a graceful shutdown.
	Left   bool
	Region string
	// Domain is the failure domain (zone).
	Domain string
	// Cores is the processor share of a router's host, in cores; 0 if unknown.
	Cores   float64
	Address string
	State   ProcessState
	// Connected is true while a session is open.
	Connected bool
	// Session is the number of the session last opened; the end of an older one is
	// ignored.
	Session   uint64
	LastHeard Instant
	// Interval and WantedInterval repeat the process's last heartbeat: the longest
	// time until its next one, and the interval that it wants from its peers.
	Interval       time.Duration
	WantedInterval time.Duration `json:"Wanted" msgpack:"Wanted"`
	// Generation is that of the process's active configuration, as last reported.
	Generation Generation
	// Unlisted and ListedLeaving repeat the platform's membership list. Unlisted
	// stays false until a list was read, because recovery starts with an unlisted
	// process.
	Unlisted      bool
	ListedLeaving bool
	// AnnouncedLeaving is true once the process itself announced that it is
	// leaving.
	AnnouncedLeaving bool `json:"NoticeLeaving" msgpack:"NoticeLeaving"`
	// PeerClock is the peer's monotonic clock as last received, PeerClockAt the
	// local time of receipt. PeerClock + (t - PeerClockAt) is never ahead of the
	// peer's clock at local time t.
	PeerClock   Instant
	PeerClockAt Instant
}

// ID returns the process's id.
func (p *Process) ID() ProcessID { return p.Process }

// EndpointState says whether an endpoint may get new work.
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

// Endpoint is a model engine or plain service instance behind an agent.
type Endpoint struct {
	ID      EndpointID
	Agent   ProcessID
	Service ServiceName
	// Slots is how many requests the endpoint runs at the same time.
	Slots int
	// ChecksFencing is true if the engine refuses orders with a lower fencing
	// token than one it has seen.
	ChecksFencing bool
	Region        string
	// Domain is the failure domain (zone).
	Domain string
	State  EndpointState
	// Reason says why the endpoint is not live, or why it is ejected.
	Reason string

	// InFlight, InFlightQuick and InFlightTokens are this router's own requests,
	// quick requests and tokens of expected work at the endpoint.
	InFlight       int
	InFlightQuick  int
	InFlightTokens Tokens
	// OthersInFlight, OthersInFlightLong and OthersTokens are the other routers'
	// work: the agent's last figures, less this router's own work at that time.
	OthersInFlight     int
	OthersInFlightLong int `json:"OthersLong" msgpack:"OthersLong"`
	OthersTokens       Tokens
	// BusyUntil is when work may be sent again after the agent rejected it as busy,
	// indexed by Class. BusyBackoff is the delay before that, without jitter.
	BusyUntil   [2]Instant
	BusyBackoff [2]time.Duration `json:"BusyDelay" msgpack:"BusyDelay"`
	// AgentInFlight and AgentTokens are the agent's figures over all routers, from
	// its last heartbeat or reply, received at AgentLoadAt.
	AgentInFlight int
	AgentTokens   Tokens
	AgentLoadAt   Instant `json:"AgentHeard" msgpack:"AgentHeard"`
	// ReportTokens is the pending work in the engine's own load report, and
	// ReportAge the age of that report when it was received.
	ReportTokens Tokens
	ReportAge    time.Duration

	// FirstTokenTime and TokenTime are moving averages of the time to the first
	// token and of the time per token that this router observed; 0 when unknown.
	// Only quick requests count for FirstTokenTime, so that long prompts do not
	// make an endpoint look slow. Samples counts the samples.
	FirstTokenTime time.Duration
	TokenTime      time.Duration
	Samples        int
	// AgentSamples is the agent's sample count when it last reported its averages.
	AgentSamples uint64 `json:"Observed" msgpack:"Observed"`
	// ConsecutiveFailures counts the failed attempts since the last successful one.
	ConsecutiveFailures int `json:"Failures" msgpack:"Failures"`
	// AwaitingFirstToken counts quick attempts without a first token.
	// AwaitingFirstTokenSince is when the oldest of them was sent, or when the
	// last first token arrived if that is later.
	AwaitingFirstToken      int     `json:"Waiting" msgpack:"Waiting"`
	AwaitingFirstTokenSince Instant `json:"WaitingSince" msgpack:"WaitingSince"`
	// HeldForRequest is a request that must run alone and waits for the endpoint
	// to become idle.
	HeldForRequest RequestID `json:"HeldFor" msgpack:"HeldFor"`

	Ejected bool
	// The next probe may be sent at ProbeAt, once the service's count of
	// dispatched requests reaches ProbeAfter.
	ProbeAt       Instant
	ProbeAfter    uint64
	ProbeInterval time.Duration
	Probing       bool
}
