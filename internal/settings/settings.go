// Package settings reads and checks the settings of one daemon.
package settings

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/keyhash"
)

// Defaults of settings that are left out.
const (
	DefaultDrainTimeout    = 60 * time.Second
	DefaultAnswerRetention = 10 * time.Minute
	DefaultDetachGrace     = 10 * time.Second
	DefaultGrantLifetime   = 30 * time.Minute
	DefaultLedgerShards    = 64
	DefaultMaxPromptBytes  = 1_000_000 // bytes
	DefaultMaxBodyBytes    = 1_000_000 // bytes
)

// Role says what a daemon does.
type Role string

// Roles of a daemon.
const (
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
)

// Settings are the checked settings of one daemon.
type Settings struct {
	Role Role
	// ID names the daemon and stays the same over restarts.
	ID string
	// Region and Domain say where the host is; a region has several failure domains.
	Region, Domain string
	Peer           Peer
	// CallerListen is the address of the caller API; routers only.
	CallerListen string
	// OperatorListen is the address of the operator API; routers only.
	OperatorListen string
	// DebugListen is the address of expvar; empty if it is off.
	DebugListen string
	// PlatformURL is the base URL of the object API.
	PlatformURL string
	// Seeds are peer addresses for a start while the platform is down.
	Seeds []string
	// OperatorKeys are the hashes of the operators' keys; routers only.
	OperatorKeys []keyhash.Hash
	TLS          TLS
	Trace        Trace

	// DrainTimeout is the time that a shutdown waits for requests in progress.
	DrainTimeout time.Duration
	// AnswerRetention is the time that an agent keeps a finished answer.
	AnswerRetention time.Duration
	// DetachGrace is the time that a disconnected caller has to come back.
	DetachGrace time.Duration
	// GrantLifetime is the time after which an unrenewed grant expires.
	GrantLifetime time.Duration
	// LedgerShards is the number of ledger shards. It must be the same in all
	// daemons, since a budget's shard depends on it.
	LedgerShards int
	// MaxPromptBytes bounds the prompt of a request, in bytes.
	MaxPromptBytes int64
	// MaxBodyBytes bounds the body of a plain call, in bytes.
	MaxBodyBytes int64

	// Endpoints are the endpoints beside an agent; agents only.
	Endpoints []Endpoint
}

// Peer holds the addresses of the peer port, as host:port.
type Peer struct {
	Listen string
	// Advertise is the address that other processes dial.
	Advertise string
}

// TLS is the mutual TLS of the peer port. Exactly one of Plaintext and the
// files is set.
type TLS struct {
	Plaintext                 bool
	CertFile, KeyFile, CAFile string
}

// TraceKind says where traces go.
type TraceKind string

// Kinds of trace output.
const (
	TraceNone   TraceKind = "none"
	TraceStdout TraceKind = "stdout"
	TraceFile   TraceKind = "file"
	TraceOTLP   TraceKind = "otlp"
)

// Trace is the trace output.
type Trace struct {
	Kind TraceKind
	// Target is the path of a file or the URL of an OTLP receiver.
	Target string
}

// EndpointKind tells model engines from plain services.
type EndpointKind string

// Kinds of endpoints.
const (
	EndpointModel EndpointKind = "model"
	EndpointPlain EndpointKind = "plain"
)

// Endpoint is one model engine or plain service instance beside an agent.
type Endpoint struct {
	ID      string
	Service string
	Kind    EndpointKind
	// URL is the base URL of the endpoint.
	URL string
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// ChecksFencing is true if the engine refuses orders with old fencing numbers.
	ChecksFencing bool
}
