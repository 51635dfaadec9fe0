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

// Valid ranges of the settings.
const (
	maxNameLength    = 63   // characters
	maxAddressLength = 300  // characters
	maxPathLength    = 1000 // characters
	maxSeeds         = 100
	maxOperatorKeys  = 100
	maxEndpoints     = 64
	maxSlots         = 10_000
	maxLedgerShards  = 1 << 16
	minTime          = time.Millisecond
	maxTime          = 24 * time.Hour
	minSizeLimit     = 1024 // bytes
	// A prompt or body travels in one frame between processes, which holds at
	// most 1 MiB together with the other fields of the message.
	maxSizeLimit = 1_000_000 // bytes
)

// Load reads and checks the settings of one daemon. It returns every finding
// at once; the settings are nil if there are findings.
func Load(file, text string) (*Settings, finding.List) {
	doc, root := yamlread.Parse(file, text)
	if len(doc.Findings()) > 0 {
		return nil, doc.Findings()
	}
	s := &Settings{}
	s.load(root)
	if found := doc.Findings(); len(found) > 0 {
		return nil, found
	}
	return s, nil
}

func (s *Settings) load(root yamlread.Value) {
	if !root.Present() {
		root.Fail("is empty")
		return
	}
	o := root.Object()
	roles := []string{string(RoleRouter), string(RoleAgent)}
	s.Role = Role(o.Required("role").Choice(roles, ""))
	s.ID = o.Required("id").Name(maxNameLength)
	s.Region = o.Required("region").Name(maxNameLength)
	s.Domain = o.Required("domain").Name(maxNameLength)
	s.loadPeer(o.Required("peer"))
	s.DebugListen = listenAddress(o.Optional("debug_listen"))
	s.PlatformURL = baseURL(o.Required("platform_url"))
	s.loadSeeds(o.Optional("seeds"))
	s.loadTLS(o)
	s.Trace = loadTrace(o.Optional("trace"))
	s.loadTimes(o)
	s.loadSizes(o)
	s.loadRole(o)
	o.Close()
}

func (s *Settings) loadPeer(v yamlread.Value) {
	o := v.Object()
	s.Peer.Listen = listenAddress(o.Required("listen"))
	s.Peer.Advertise = dialAddress(o.Required("advertise"))
	o.Close()
}

func (s *Settings) loadSeeds(v yamlread.Value) {
	for _, entry := range v.List(maxSeeds) {
		s.Seeds = append(s.Seeds, dialAddress(entry))
	}
}

// loadTLS requires an explicit choice, so that a forgotten section does not
// open a peer port in plaintext.
func (s *Settings) loadTLS(o *yamlread.Object) {
	plaintext, tls := o.Optional("plaintext"), o.Optional("tls")
	s.TLS.Plaintext = plaintext.Bool(false)
	switch {
	case tls.Present() && s.TLS.Plaintext:
		plaintext.Fail("excludes tls; give exactly one of both")
	case !tls.Present() && !s.TLS.Plaintext:
		o.Value().Fail("give either tls or plaintext: true")
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

// loadTrace reads none, stdout, a file path, or the URL of an OTLP receiver.
// A path contains a slash, so that a misspelt word is not taken as a file.
func loadTrace(v yamlread.Value) Trace {
	text := v.Text(maxPathLength, string(TraceNone))
	switch {
	case text == string(TraceNone) || text == string(TraceStdout):
		return Trace{Kind: TraceKind(text)}
	case strings.HasPrefix(text, "http://") || strings.HasPrefix(text, "https://"):
		return Trace{Kind: TraceOTLP, Target: baseURL(v)}
	case strings.Contains(text, "/"):
		return Trace{Kind: TraceFile, Target: text}
	}
	v.Fail("must be none, stdout, a file path with a slash, or an http(s) URL")
	return Trace{Kind: TraceNone}
}

func (s *Settings) loadTimes(o *yamlread.Object) {
	s.DrainTimeout = o.Optional("drain_timeout").Duration(0, maxTime, DefaultDrainTimeout)
	s.AnswerRetention = o.Optional("answer_retention").Duration(minTime, maxTime, DefaultAnswerRetention)
	s.DetachGrace = o.Optional("detach_grace").Duration(0, maxTime, DefaultDetachGrace)
	s.GrantLifetime = o.Optional("grant_lifetime").Duration(minTime, maxTime, DefaultGrantLifetime)
}

func (s *Settings) loadSizes(o *yamlread.Object) {
	s.LedgerShards = int(o.Optional("ledger_shards").Int(1, maxLedgerShards, DefaultLedgerShards))
	s.MaxPromptBytes = o.Optional("max_prompt_bytes").Int(minSizeLimit, maxSizeLimit, DefaultMaxPromptBytes)
	s.MaxBodyBytes = o.Optional("max_body_bytes").Int(minSizeLimit, maxSizeLimit, DefaultMaxBodyBytes)
}

// loadRole reads the fields that belong to one role. The fields of the other
// role are findings.
func (s *Settings) loadRole(o *yamlread.Object) {
	switch s.Role {
	case RoleRouter:
		s.CallerListen = listenAddress(o.Required("caller_listen"))
		s.OperatorListen = listenAddress(o.Required("operator_listen"))
		s.loadOperatorKeys(o.Required("operator_keys"))
		rejectFields(o, "a router has no", "endpoints")
	case RoleAgent:
		s.loadEndpoints(o.Required("endpoints"))
		rejectFields(o, "an agent has no", "caller_listen", "operator_listen", "operator_keys")
	}
}

func rejectFields(o *yamlread.Object, why string, names ...string) {
	for _, name := range names {
		if v := o.Optional(name); v.Present() {
			v.Fail("%s %s", why, name)
		}
	}
}

func (s *Settings) loadOperatorKeys(v yamlread.Value) {
	entries := v.List(maxOperatorKeys)
	if v.Present() && len(entries) == 0 {
		v.Fail("needs at least one key; without one nobody can operate the fleet")
	}
	for _, entry := range entries {
		text := entry.Text(maxPathLength, "")
		if text == "" {
			continue
		}
		hash, err := keyhash.Parse(text)
		if err != nil {
			entry.Fail("%s", err)
			continue
		}
		s.OperatorKeys = append(s.OperatorKeys, hash)
	}
}

func (s *Settings) loadEndpoints(v yamlread.Value) {
	entries := v.List(maxEndpoints)
	if v.Present() && len(entries) == 0 {
		v.Fail("an agent needs at least one endpoint")
	}
	for _, entry := range entries {
		s.loadEndpoint(entry)
	}
}

func (s *Settings) loadEndpoint(v yamlread.Value) {
	o := v.Object()
	id := o.Required("id")
	kinds := []string{string(EndpointModel), string(EndpointPlain)}
	e := Endpoint{
		ID:            id.Name(maxNameLength),
		Service:       o.Required("service").Name(maxNameLength),
		Kind:          EndpointKind(o.Required("kind").Choice(kinds, "")),
		URL:           baseURL(o.Required("url")),
		Slots:         int(o.Required("slots").Int(1, maxSlots, 1)),
		ChecksFencing: o.Optional("checks_fencing").Bool(false),
	}
	o.Close()
	if e.ID != "" && s.hasEndpoint(e.ID) {
		id.Fail("the endpoint %s is defined twice", e.ID)
	}
	s.Endpoints = append(s.Endpoints, e)
}

func (s *Settings) hasEndpoint(id string) bool {
	for i := range s.Endpoints {
		if s.Endpoints[i].ID == id {
			return true
		}
	}
	return false
}

// listenAddress reads host:port. The host may be empty and the port 0, which
// lets the system choose one.
func listenAddress(v yamlread.Value) string {
	text := v.Text(maxAddressLength, "")
	if text == "" {
		return ""
	}
	host, _, ok := splitAddress(text)
	if !ok || (host != "" && net.ParseIP(host) == nil) {
		v.Fail("must be an IP address and a port, such as 127.0.0.1:7000")
		return ""
	}
	return text
}

// dialAddress reads an address that other processes can dial: an IP address
// that names one host, and a port.
func dialAddress(v yamlread.Value) string {
	text := v.Text(maxAddressLength, "")
	if text == "" {
		return ""
	}
	host, port, ok := splitAddress(text)
	ip := net.ParseIP(host)
	if !ok || ip == nil || ip.IsUnspecified() || port == 0 {
		v.Fail("must be the IP address of one host and a port other than 0, such as 10.0.0.5:7000")
		return ""
	}
	return text
}

func splitAddress(text string) (host string, port uint64, ok bool) {
	host, digits, err := net.SplitHostPort(text)
	if err != nil {
		return "", 0, false
	}
	port, err = strconv.ParseUint(digits, 10, 16)
	return host, port, err == nil
}

// baseURL reads an http or https URL without query. A trailing slash is removed.
func baseURL(v yamlread.Value) string {
	text := v.Text(maxAddressLength, "")
	if text == "" {
		return ""
	}
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
		v.Fail("must be an http or https URL without query, such as http://10.0.0.9:8080")
		return ""
	}
	return strings.TrimRight(text, "/")
}
