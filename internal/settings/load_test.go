package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/finding"
	"laburnumroad.dev/laburnumroad/internal/keyhash"
)

const commonSettings = `id: p1
region: accra
domain: accra-a
peer:
  listen: 127.0.0.1:7000
  advertise: 127.0.0.1:7000
platform_url: http://127.0.0.1:9000/
plaintext: true
`

var routerSettings = "role: router\n" + commonSettings + `caller_listen: 127.0.0.1:8000
operator_listen: 127.0.0.1:8001
operator_keys: ["` + keyhash.Of("op").String() + `"]
`

const agentSettings = "role: agent\n" + commonSettings + `endpoints:
  - id: e1
    service: tutor
    kind: model
    url: http://127.0.0.1:9100
    slots: 8
    checks_fencing: true
`

// Guards against values that are stored in the wrong field and against defaults that
// differ from the documented ones.
func TestValidSettingsAreRead(t *testing.T) {
	s, findings := Load("r.yaml", routerSettings)
	require.NoError(t, findings.Err())
	require.Equal(t, RoleRouter, s.Role)
	require.Equal(t, "http://127.0.0.1:9000", s.PlatformURL)
	require.True(t, s.OperatorKeys[0].Equal(keyhash.Of("op")))
	require.Equal(t, Trace{Kind: TraceNone}, s.Trace)
	require.Equal(t, 60*time.Second, s.DrainTimeout)
	require.Equal(t, 10*time.Minute, s.AnswerRetention)
	require.Equal(t, 10*time.Second, s.DetachGrace)
	require.Equal(t, 30*time.Minute, s.GrantLifetime)
	require.Equal(t, 64, s.LedgerShards)
	require.EqualValues(t, 1_000_000, s.MaxPromptBytes)

	s, findings = Load("a.yaml", agentSettings)
	require.NoError(t, findings.Err())
	want := Endpoint{ID: "e1", Service: "tutor", Kind: EndpointModel, URL: "http://127.0.0.1:9100", Slots: 8, ChecksFencing: true}
	require.Equal(t, []Endpoint{want}, s.Endpoints)
}

// Guards against a daemon that starts with invalid settings, and against findings
// without the position of the error.
func TestInvalidSettingsAreReportedWithPosition(t *testing.T) {
	cases := []struct{ text, want string }{
		{"", "f:1:1: is empty"},
		{strings.Replace(routerSettings, "router", "proxy", 1), "f:1:7: role: must be router or agent"},
		{strings.Replace(routerSettings, "id: p1\n", "", 1), "id is missing"},
		{strings.Replace(routerSettings, "advertise: 127.0.0.1:7000", "advertise: 0.0.0.0:7000", 1), "f:7:14: peer.advertise: must be the IP address of one host"},
		{strings.Replace(routerSettings, "advertise: 127.0.0.1:7000", "advertise: 127.0.0.1:0", 1), "peer.advertise: must be"},
		{strings.Replace(routerSettings, "listen: 127.0.0.1:7000", "listen: localhost", 1), "peer.listen: must be an IP address and a port"},
		{strings.Replace(routerSettings, "127.0.0.1:8000", "127.0.0.1:99999", 1), "caller_listen: must be"},
		{strings.Replace(routerSettings, "http://127", "ftp://127", 1), "platform_url: must be an http or https URL"},
		{strings.Replace(routerSettings, "plaintext: true\n", "", 1), "either tls or plaintext: true is required"},
		{strings.Replace(routerSettings, "plaintext: true", "plaintext: false", 1), "either tls or plaintext: true is required"},
		{routerSettings + "tls: {cert_file: a, key_file: b, ca_file: c}\n", "plaintext: cannot be combined with tls"},
		{strings.Replace(routerSettings, "plaintext: true", "tls: {cert_file: a, key_file: b}", 1), "tls: ca_file is missing"},
		{routerSettings + "trace: stdut\n", "trace: must be none, stdout, a file path"},
		{routerSettings + "drain_timeout: 60\n", "drain_timeout: must be a duration"},
		{routerSettings + "ledger_shards: 0\n", "ledger_shards: must be from 1 to 65536"},
		{routerSettings + "max_body_bytes: 1048576\n", "max_body_bytes: must be from 1024 to 1000000"},
		{routerSettings + "memory_mb: 16\n", "memory_mb: must be from 64 to 1048576"},
		{routerSettings + "max_descriptors: 0\n", "max_descriptors: must be from 256 to 1048576"},
		{routerSettings + "max_prompt_bytes: 1000000000\n", "max_prompt_bytes: must be from"},
		{routerSettings + "endpoints: []\n", "endpoints: a router has no endpoints"},
		{routerSettings + "drain: 1s\n", "drain: is not a known field"},
		{routerSettings + "seeds: [node1:7000]\n", "seeds[0]: must be the IP address"},
		{strings.Replace(routerSettings, "sha256:", "sha1:", 1), "operator_keys[0]: must be sha256:"},
		{agentSettings + "caller_listen: 127.0.0.1:1\n", "caller_listen: an agent has no caller_listen"},
		{strings.Replace(agentSettings, "slots: 8", "slots: 0", 1), "endpoints[0].slots: must be from 1 to"},
		{agentSettings + "  - {id: e1, service: x, kind: plain, url: 'http://127.0.0.1:1', slots: 1}\n", "endpoints[1].id: the endpoint e1 is defined twice"},
		{"role: agent\n" + commonSettings + "endpoints: []\n", "an agent needs at least one endpoint"},
	}
	for _, c := range cases {
		s, findings := Load("f", c.text)
		require.Nil(t, s, c.text)
		require.Contains(t, findings.Error(), c.want, c.text)
	}
}

// Guards against trace output that goes to a destination other than the configured
// one.
func TestTraceOutputsAreParsed(t *testing.T) {
	cases := map[string]Trace{
		"none":                         {Kind: TraceNone},
		"stdout":                       {Kind: TraceStdout},
		"./trace.json":                 {Kind: TraceFile, Target: "./trace.json"},
		"http://127.0.0.1:4318/v1/tr/": {Kind: TraceOTLP, Target: "http://127.0.0.1:4318/v1/tr"},
	}
	for text, want := range cases {
		s, findings := Load("f", routerSettings+"trace: "+text+"\n")
		require.NoError(t, findings.Err())
		require.Equal(t, want, s.Trace)
	}
}

// Guards against findings whose position is outside the text, and against settings
// that are returned together with findings.
func TestFindingPositionsAreInsideTheText(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lines := strings.Split(rapid.SampledFrom([]string{routerSettings, agentSettings}).Draw(rt, "text"), "\n")
		for range rapid.IntRange(1, 4).Draw(rt, "changes") {
			i := rapid.IntRange(0, len(lines)-1).Draw(rt, "line")
			lines[i] = rapid.SampledFrom([]string{"", " ", "- ", "x: "}).Draw(rt, "prefix") + lines[rapid.IntRange(0, len(lines)-1).Draw(rt, "from")]
		}
		text := strings.Join(lines, "\n")
		s, findings := Load("f", text)
		checkResult(rt, text, s, findings)
	})
}

func checkResult(t require.TestingT, text string, s *Settings, findings finding.List) {
	require.Equal(t, s == nil, len(findings) > 0)
	lines := 1 + strings.Count(text, "\n")
	for _, finding := range findings {
		require.GreaterOrEqual(t, finding.Line, 1)
		require.LessOrEqual(t, finding.Line, lines)
		require.GreaterOrEqual(t, finding.Column, 1)
	}
}

// FuzzLoad guards against panics and against positions outside the text.
func FuzzLoad(f *testing.F) {
	for _, seed := range []string{"", routerSettings, agentSettings, "peer: []", "trace: {}", "endpoints:\n - - a"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, findings := Load("f", text)
		checkResult(t, text, s, findings)
	})
}
