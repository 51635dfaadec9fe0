// Package daemon assembles a router or agent process from its control loop, its
// systems, its servers and its sessions with peers.
package daemon

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/guard"
)

// Options configures a Daemon. The values are expected to be validated.
type Options struct {
	Role   table.Role
	ID     table.ProcessID
	Region string
	Domain string

	// PeerListen is the listen address for peer sessions, PeerAddress the address
	// advertised to peers. An empty PeerAddress advertises the listen address.
	PeerListen     string
	PeerAddress    string
	CallerListen   string
	OperatorListen string
	DebugListen    string

	PlatformURL string
	// Seeds are peer addresses that a starting router dials until it knows other
	// processes.
	Seeds        []string
	OperatorKeys []table.KeyHash
	// TLS secures peer sessions; nil means plaintext.
	TLS *TLSFiles
	// Trace is the output of spans: "none", "stdout", a file path or an OTLP URL.
	Trace string

	DrainTimeout    time.Duration
	AnswerRetention time.Duration
	DetachGrace     time.Duration
	GrantLifetime   time.Duration
	SettleInterval  time.Duration
	LedgerShards    uint32
	MaxPromptBytes  int
	MaxBodyBytes    int
	// Host is what the process may use of its host.
	Host guard.Host

	// Endpoints are the endpoints that an agent serves; empty for a router.
	Endpoints []EndpointOptions
}

// EndpointOptions configures one endpoint of an agent.
type EndpointOptions struct {
	ID            table.EndpointID
	Service       table.ServiceName
	URL           string
	Slots         int
	ChecksFencing bool
}

const (
	heartbeatInterval = time.Second
	// homeRouterShardThreshold is the number of ledger shards above which
	// world.Params.ReduceLedgerLoad is set: budgets with little demand are then spent
	// through their home router, so that one ledger write covers many of them.
	homeRouterShardThreshold = 256
	// maxDecisions is the number of decisions kept for explain. It bounds their memory
	// use; each takes about 500 bytes.
	maxDecisions = 16384
)

func (o *Options) endpoints() []table.Endpoint {
	var endpoints []table.Endpoint
	for _, e := range o.Endpoints {
		endpoints = append(endpoints, table.Endpoint{
			ID: e.ID, Agent: o.ID, Service: e.Service, Slots: e.Slots, ChecksFencing: e.ChecksFencing,
			Region: o.Region, Domain: o.Domain,
		})
	}
	return endpoints
}
