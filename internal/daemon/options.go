// Package daemon assembles a process from its control loop, its systems and
// its traffic.
package daemon

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
)

// Options are the checked settings of a daemon.
type Options struct {
	Role   table.Role
	ID     table.ProcessID
	Region string
	Domain string

	// PeerListen is where the daemon listens for peers, PeerAddress what it
	// tells them; an empty PeerAddress means the address listened on.
	PeerListen     string
	PeerAddress    string
	CallerListen   string
	OperatorListen string
	DebugListen    string

	PlatformURL  string
	Seeds        []string
	OperatorKeys []table.KeyHash
	// TLS is nil for plaintext.
	TLS *TLSFiles
	// Trace is "none", "stdout", a file path or an OTLP URL.
	Trace string

	DrainTimeout    time.Duration
	AnswerRetention time.Duration
	DetachGrace     time.Duration
	GrantLifetime   time.Duration
	SettleInterval  time.Duration
	LedgerShards    uint32
	MaxPromptBytes  int
	MaxBodyBytes    int

	// Endpoints are those of an agent.
	Endpoints []EndpointOptions
}

// EndpointOptions is one endpoint of an agent.
type EndpointOptions struct {
	ID            table.EndpointID
	Service       table.ServiceName
	URL           string
	Slots         int
	ChecksFencing bool
}

const (
	heartbeatInterval = time.Second
	// manyShards is the number of ledger shards above which cold budgets are
	// spent through their home router, so that one write covers many of them.
	manyShards = 256
	// explainLimit bounds the memory of explain: a decision takes some 500 bytes.
	explainLimit = 16384
)

func (o *Options) endpoints() []table.Endpoint {
	var out []table.Endpoint
	for _, e := range o.Endpoints {
		out = append(out, table.Endpoint{
			ID: e.ID, Agent: o.ID, Service: e.Service, Slots: e.Slots, ChecksFencing: e.ChecksFencing,
			Region: o.Region, Domain: o.Domain,
		})
	}
	return out
}
