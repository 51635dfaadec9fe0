// Package settings parses and validates the settings file of one daemon.
package settings

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/keyhash"
)

// Defaults of optional settings.
const (
	DefaultDrainTimeout    = 60 * time.Second
	DefaultAnswerRetention = 10 * time.Minute
	DefaultDetachGrace     = 10 * time.Second
	DefaultGrantLifetime   = 30 * time.Minute
	DefaultLedgerShards    = 64
	DefaultMaxPromptBytes  = 1_000_000 // bytes
	DefaultMaxBodyBytes    = 1_000_000 // bytes
)

// Role is the function of a daemon in the fleet.
type Role string

// Roles of a daemon.
const (
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
)

// Settings holds the validated settings of one daemon.
type Settings struct {
	Role Role
	// ID identifies the daemon across restarts.
	ID string
	// Region and Domain are the region and the failure domain (zone) of the host. A
	// region has several failure domains.
	Region, Domain string
	Peer           Peer
	// CallerListen is the listen address of the caller API; routers only.
	CallerListen string
	// OperatorListen is the listen address of the operator API; routers only.
	OperatorListen string
	// DebugListen is the listen address of the expvar metrics; empty disables them.
	DebugListen string
	// PlatformURL is the base URL of the platform's object API.
	PlatformURL string
	// Seeds are peer addresses used at the start if the platform is unavailable.
	Seeds []string
	// OperatorKeys are the hashes of the operator API keys; routers only.
	OperatorKeys []keyhash.Hash
	TLS          TLS
	Trace        Trace

	// DrainTimeout is how long a shutdown waits for requests in progress.
	DrainTimeout time.Duration
	// AnswerRetention is how long an agent keeps a finished answer for replays.
	AnswerRetention time.Duration
	// DetachGrace is how long a request continues after its caller disconnected.
	DetachGrace time.Duration
	// GrantLifetime is the time after which a grant expires unless it is renewed.
	GrantLifetime time.Duration
	// LedgerShards is the number of ledger shards. It must be equal in all daemons
	// because it determines the shard of each budget.
	LedgerShards int
	// MaxPromptBytes is the maximum size of a prompt.
	MaxPromptBytes int64
	// MaxBodyBytes is the maximum size of the body of a plain service call.
	MaxBodyBytes int64

	// MemoryBytes is the memory that the daemon may use, and MaxDescriptors the number of
	// descriptors that it may have open; 0 means what the operating system says.
	MemoryBytes    int64
	MaxDescriptors int

	// Endpoints are the endpoints that the agent serves; agents only.
	Endpoints []Endpoint
}

// Peer holds the addresses of the port for peer sessions, as host:port.
type Peer struct {
	Listen string
	// Advertise is the address that is announced to other processes.
	Advertise string
}

// TLS configures mutual TLS on the peer port. Either Plaintext is true or all three
// files are set.
type TLS struct {
	Plaintext                 bool
	CertFile, KeyFile, CAFile string
}

// TraceKind is the type of the trace output.
type TraceKind string

// Kinds of trace output.
const (
	TraceNone   TraceKind = "none"
	TraceStdout TraceKind = "stdout"
	TraceFile   TraceKind = "file"
	TraceOTLP   TraceKind = "otlp"
)

// Trace is the destination of traces.
type Trace struct {
	Kind TraceKind
	// Target is the path of a file or the URL of an OTLP receiver.
	Target string
}

// EndpointKind distinguishes model engines from plain services.
type EndpointKind string

// Kinds of endpoints.
const (
	EndpointModel EndpointKind = "model"
	EndpointPlain EndpointKind = "plain"
)

// Endpoint is a model engine or plain service instance that an agent serves.
type Endpoint struct {
	ID      string
	Service string
	Kind    EndpointKind
	// URL is the base URL of the endpoint.
	URL string
	// Slots is the number of requests that the endpoint can run concurrently.
	Slots int
	// ChecksFencing is true if the engine rejects requests with an outdated fencing
	// token.
	ChecksFencing bool
}
