package settings

import (
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"laburnumroad.dev/laburnumroad/internal/finding"
	"laburnumroad.dev/laburnumroad/internal/keyhash"
	"laburnumroad.dev/laburnumroad/internal/yamlread"
)

// Limits of the settings.
const (
	maxNameLength    = 63   // characters
	maxAddressLength = 300  // characters
	maxPathLength    = 1000 // characters
	maxSeeds         = 100
	maxOperatorKeys  = 100
	maxEndpoints     = 64
	maxSlots         = 10_000
	maxLedgerShards  = 1 << 16
	minDuration      = time.Millisecond
	maxDuration      = 24 * time.Hour
	minPayloadLimit  = 1024 // bytes
	// A prompt or body is sent between processes in one frame, which has room for
	// 1 MiB of it beside the other fields of the message (wire.MaxFrame).
	maxPayloadLimit = 1_000_000 // bytes
	// Two calls of the largest size fit into the share of the smallest memory that callers
	// may take.
	minMemoryMB    = 64
	maxMemoryMB    = 1 << 20
	minDescriptors = 256
	maxDescriptors = 1 << 20
)

// Load parses and validates the settings of one daemon. It reports all findings
// together; the settings are nil if there are any.
func Load(file, text string) (*Settings, finding.List) {
	doc, root := yamlread.Parse(file, text)
	if len(doc.Findings()) > 0 {
		return nil, doc.Findings()
	}
	s := &Settings{}
	s.load(root)
	if findings := doc.Findings(); len(findings) > 0 {
		return nil, findings
	}
	return s, nil
}

func (s *Settings) load(root yamlread.Value) {
	if !root.Present() {
		root.Errorf("is empty")
		return
	}
	o := root.Object()
	roles := []string{string(RoleRouter), string(RoleAgent)}
	s.Role = Role(o.Required("role").Choice(roles, ""))
	s.ID = o.Required("id").Name(maxNameLength)
	s.Region = o.Required("region").Name(maxNameLength)
	s.Domain = o.Required("domain").Name(maxNameLength)
	s.loadPeer(o.Required("peer"))
	s.DebugListen = parseListenAddress(o.Optional("debug_listen"))
	s.PlatformURL = parseBaseURL(o.Required("platform_url"))
	s.loadSeeds(o.Optional("seeds"))
	s.loadTLS(o)
	s.Trace = parseTrace(o.Optional("trace"))
	s.loadDurations(o)
	s.loadSizeLimits(o)
	s.loadRoleFields(o)
	o.Close()
}

func (s *Settings) loadPeer(v yamlread.Value) {
	o := v.Object()
	s.Peer.Listen = parseListenAddress(o.Required("listen"))
	s.Peer.Advertise = parseDialAddress(o.Required("advertise"))
	o.Close()
}

func (s *Settings) loadSeeds(v yamlread.Value) {
	for _, entry := range v.List(maxSeeds) {
		s.Seeds = append(s.Seeds, parseDialAddress(entry))
	}
}

// loadTLS requires an explicit choice between TLS and plaintext, so that a missing
// section does not open the peer port in plaintext.
func (s *Settings) loadTLS(o *yamlread.Object) {
	plaintext, tls := o.Optional("plaintext"), o.Optional("tls")
	s.TLS.Plaintext = plaintext.Bool(false)
	switch {
	case tls.Present() && s.TLS.Plaintext:
		plaintext.Errorf("cannot be combined with tls")
	case !tls.Present() && !s.TLS.Plaintext:
		o.Value().Errorf("either tls or plaintext: true is required")
	}
	if tls.Present() {
		s.loadTLSFiles(tls)
	}
}

func (s *Settings) loadTLSFiles(v yamlread.Value) {
	o := v.Object()
	s.TLS.CertFile = o.Required("cert_file").Text(maxPathLength, "")
	s.TLS.KeyFile = o.Required("key_file").Text(maxPathLength, "")
	s.TLS.CAFile = o.Required("ca_file").Text(maxPathLength, "")
	o.Close()
}

// parseTrace accepts none, stdout, a file path or the URL of an OTLP receiver. A path
// must contain a slash, so that a misspelled keyword is not used as a file name.
func parseTrace(v yamlread.Value) Trace {
	text := v.Text(maxPathLength, string(TraceNone))
	switch {
	case text == string(TraceNone) || text == string(TraceStdout):
		return Trace{Kind: TraceKind(text)}
	case strings.HasPrefix(text, "http://") || strings.HasPrefix(text, "https://"):
		return Trace{Kind: TraceOTLP, Target: parseBaseURL(v)}
	case strings.Contains(text, "/"):
		return Trace{Kind: TraceFile, Target: text}
	}
	v.Errorf("must be none, stdout, a file path with a slash, or an http(s) URL")
	return Trace{Kind: TraceNone}
}

func (s *Settings) loadDurations(o *yamlread.Object) {
	s.DrainTimeout = o.Optional("drain_timeout").Duration(0, maxDuration, DefaultDrainTimeout)
	s.AnswerRetention = o.Optional("answer_retention").Duration(minDuration, maxDuration, DefaultAnswerRetention)
	s.DetachGrace = o.Optional("detach_grace").Duration(0, maxDuration, DefaultDetachGrace)
	s.GrantLifetime = o.Optional("grant_lifetime").Duration(minDuration, maxDuration, DefaultGrantLifetime)
}

func (s *Settings) loadSizeLimits(o *yamlread.Object) {
	s.LedgerShards = int(o.Optional("ledger_shards").Int(1, maxLedgerShards, DefaultLedgerShards))
	s.MaxPromptBytes = o.Optional("max_prompt_bytes").Int(minPayloadLimit, maxPayloadLimit, DefaultMaxPromptBytes)
	s.MaxBodyBytes = o.Optional("max_body_bytes").Int(minPayloadLimit, maxPayloadLimit, DefaultMaxBodyBytes)
	s.MemoryBytes = o.Optional("memory_mb").Int(minMemoryMB, maxMemoryMB, 0) << 20
	s.MaxDescriptors = int(o.Optional("max_descriptors").Int(minDescriptors, maxDescriptors, 0))
}

// loadRoleFields reads the fields of the daemon's role and rejects those of the other
// role.
func (s *Settings) loadRoleFields(o *yamlread.Object) {
	switch s.Role {
	case RoleRouter:
		s.CallerListen = parseListenAddress(o.Required("caller_listen"))
		s.OperatorListen = parseListenAddress(o.Required("operator_listen"))
		s.loadOperatorKeys(o.Required("operator_keys"))
		rejectFields(o, "a router has no", "endpoints")
	case RoleAgent:
		s.loadEndpoints(o.Required("endpoints"))
		rejectFields(o, "an agent has no", "caller_listen", "operator_listen", "operator_keys")
	}
}

func rejectFields(o *yamlread.Object, prefix string, names ...string) {
	for _, name := range names {
		if v := o.Optional(name); v.Present() {
			v.Errorf("%s %s", prefix, name)
		}
	}
}

func (s *Settings) loadOperatorKeys(v yamlread.Value) {
	entries := v.List(maxOperatorKeys)
	if v.Present() && len(entries) == 0 {
		v.Errorf("must contain at least one key; the operator API accepts no request without one")
	}
	for _, entry := range entries {
		text := entry.Text(maxPathLength, "")
		if text == "" {
			continue
		}
		hash, err := keyhash.Parse(text)
		if err != nil {
			entry.Errorf("%s", err)
			continue
		}
		s.OperatorKeys = append(s.OperatorKeys, hash)
	}
}

func (s *Settings) loadEndpoints(v yamlread.Value) {
	entries := v.List(maxEndpoints)
	if v.Present() && len(entries) == 0 {
		v.Errorf("an agent needs at least one endpoint")
	}
	for _, entry := range entries {
		s.loadEndpoint(entry)
	}
}

func (s *Settings) loadEndpoint(v yamlread.Value) {
	o := v.Object()
	idValue := o.Required("id")
	kinds := []string{string(EndpointModel), string(EndpointPlain)}
	endpoint := Endpoint{
		ID:            idValue.Name(maxNameLength),
		Service:       o.Required("service").Name(maxNameLength),
		Kind:          EndpointKind(o.Required("kind").Choice(kinds, "")),
		URL:           parseBaseURL(o.Required("url")),
		Slots:         int(o.Required("slots").Int(1, maxSlots, 1)),
		ChecksFencing: o.Optional("checks_fencing").Bool(false),
	}
	o.Close()
	if endpoint.ID != "" && s.hasEndpoint(endpoint.ID) {
		idValue.Errorf("the endpoint %s is defined twice", endpoint.ID)
	}
	s.Endpoints = append(s.Endpoints, endpoint)
}

func (s *Settings) hasEndpoint(id string) bool {
	for i := range s.Endpoints {
		if s.Endpoints[i].ID == id {
			return true
		}
	}
	return false
}

// parseListenAddress reads host:port. The host may be empty, and port 0 lets the
// operating system choose a port.
func parseListenAddress(v yamlread.Value) string {
	text := v.Text(maxAddressLength, "")
	if text == "" {
		return ""
	}
	host, _, ok := splitHostPort(text)
	if !ok || (host != "" && net.ParseIP(host) == nil) {
		v.Errorf("must be an IP address and a port, such as 127.0.0.1:7000")
		return ""
	}
	return text
}

// parseDialAddress reads an address that other processes can dial: the IP address of
// a single host and a port other than 0.
func parseDialAddress(v yamlread.Value) string {
	text := v.Text(maxAddressLength, "")
	if text == "" {
		return ""
	}
	host, port, ok := splitHostPort(text)
	ip := net.ParseIP(host)
	if !ok || ip == nil || ip.IsUnspecified() || port == 0 {
		v.Errorf("must be the IP address of one host and a port other than 0, such as 10.0.0.5:7000")
		return ""
	}
	return text
}

func splitHostPort(text string) (host string, port uint64, ok bool) {
	host, portText, err := net.SplitHostPort(text)
	if err != nil {
		return "", 0, false
	}
	port, err = strconv.ParseUint(portText, 10, 16)
	return host, port, err == nil
}

// parseBaseURL reads an http or https URL without a query or fragment. Trailing
// slashes are removed.
func parseBaseURL(v yamlread.Value) string {
	text := v.Text(maxAddressLength, "")
	if text == "" {
		return ""
	}
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
		v.Errorf("must be an http or https URL without a query or fragment, such as http://10.0.0.9:8080")
		return ""
	}
	return strings.TrimRight(text, "/")
}
