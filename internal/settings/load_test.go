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

const common = `id: p1
region: accra
domain: accra-a
peer:
  listen: 127.0.0.1:7000
  advertise: 127.0.0.1:7000
platform_url: http://127.0.0.1:9000/
plaintext: true
`

var router = "role: router\n" + common + `caller_listen: 127.0.0.1:8000
operator_listen: 127.0.0.1:8001
operator_keys: ["` + keyhash.Of("op").String() + `"]
`

const agent = "role: agent\n" + common + `endpoints:
  - id: e1
    service: tutor
    kind: model
    url: http://127.0.0.1:9100
    slots: 8
    checks_fencing: true
`

// Guards against values that are read into the wrong place, and against
// defaults other than the documented ones.
func TestValidSettingsAreRead(t *testing.T) {
	s, found := Load("r.yaml", router)
	require.NoError(t, found.Err())
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

	s, found = Load("a.yaml", agent)
	require.NoError(t, found.Err())
	want := Endpoint{ID: "e1", Service: "tutor", Kind: EndpointModel, URL: "http://127.0.0.1:9100", Slots: 8, ChecksFencing: true}
	require.Equal(t, []Endpoint{want}, s.Endpoints)
}

// Guards against faults that start a daemon with settings it cannot work with.
func TestEachFaultIsReportedWithItsPlace(t *testing.T) {
	cases := []struct{ text, want string }{
		{"", "f:1:1: is empty"},
		{strings.Replace(router, "router", "proxy", 1), "f:1:7: role: must be router or agent"},
		{strings.Replace(router, "id: p1\n", "", 1), "id is missing"},
		{strings.Replace(router, "advertise: 127.0.0.1:7000", "advertise: 0.0.0.0:7000", 1), "f:7:14: peer.advertise: must be the IP address of one host"},
		{strings.Replace(router, "advertise: 127.0.0.1:7000", "advertise: 127.0.0.1:0", 1), "peer.advertise: must be"},
		{strings.Replace(router, "listen: 127.0.0.1:7000", "listen: localhost", 1), "peer.listen: must be an IP address and a port"},
		{strings.Replace(router, "127.0.0.1:8000", "127.0.0.1:99999", 1), "caller_listen: must be"},
		{strings.Replace(router, "http://127", "ftp://127", 1), "platform_url: must be an http or https URL"},
		{strings.Replace(router, "plaintext: true\n", "", 1), "give either tls or plaintext: true"},
		{strings.Replace(router, "plaintext: true", "plaintext: false", 1), "give either tls or plaintext: true"},
		{router + "tls: {cert_file: a, key_file: b, ca_file: c}\n", "plaintext: excludes tls"},
		{strings.Replace(router, "plaintext: true", "tls: {cert_file: a, key_file: b}", 1), "tls: ca_file is missing"},
		{router + "trace: stdut\n", "trace: must be none, stdout, a file path"},
		{router + "drain_timeout: 60\n", "drain_timeout: must be a duration"},
		{router + "ledger_shards: 0\n", "ledger_shards: must be from 1 to 65536"},
		{router + "max_body_bytes: 1048576\n", "max_body_bytes: must be from 1024 to 1000000"},
		{router + "max_prompt_bytes: 1000000000\n", "max_prompt_bytes: must be from"},
		{router + "endpoints: []\n", "endpoints: a router has no endpoints"},
		{router + "drain: 1s\n", "drain: is not a known field"},
		{router + "seeds: [node1:7000]\n", "seeds[0]: must be the IP address"},
		{strings.Replace(router, "sha256:", "sha1:", 1), "operator_keys[0]: must be sha256:"},
		{agent + "caller_listen: 127.0.0.1:1\n", "caller_listen: an agent has no caller_listen"},
		{strings.Replace(agent, "slots: 8", "slots: 0", 1), "endpoints[0].slots: must be from 1 to"},
		{agent + "  - {id: e1, service: x, kind: plain, url: 'http://127.0.0.1:1', slots: 1}\n", "endpoints[1].id: the endpoint e1 is defined twice"},
		{"role: agent\n" + common + "endpoints: []\n", "an agent needs at least one endpoint"},
	}
	for _, c := range cases {
		s, found := Load("f", c.text)
		require.Nil(t, s, c.text)
		require.Contains(t, found.Error(), c.want, c.text)
	}
}

// Guards against trace output that goes somewhere else than the settings say.
func TestTraceOutputs(t *testing.T) {
	cases := map[string]Trace{
		"none":                         {Kind: TraceNone},
		"stdout":                       {Kind: TraceStdout},
		"./trace.json":                 {Kind: TraceFile, Target: "./trace.json"},
		"http://127.0.0.1:4318/v1/tr/": {Kind: TraceOTLP, Target: "http://127.0.0.1:4318/v1/tr"},
	}
	for text, want := range cases {
		s, found := Load("f", router+"trace: "+text+"\n")
		require.NoError(t, found.Err())
		require.Equal(t, want, s.Trace)
	}
}

// Guards against places outside the text, and against settings that are
// returned together with findings.
func TestFindingPlacesAreInsideTheText(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lines := strings.Split(rapid.SampledFrom([]string{router, agent}).Draw(rt, "text"), "\n")
		for range rapid.IntRange(1, 4).Draw(rt, "changes") {
			i := rapid.IntRange(0, len(lines)-1).Draw(rt, "line")
			lines[i] = rapid.SampledFrom([]string{"", " ", "- ", "x: "}).Draw(rt, "prefix") + lines[rapid.IntRange(0, len(lines)-1).Draw(rt, "from")]
		}
		text := strings.Join(lines, "\n")
		s, found := Load("f", text)
		checkResult(rt, text, s, found)
	})
}

func checkResult(t require.TestingT, text string, s *Settings, found finding.List) {
	require.Equal(t, s == nil, len(found) > 0)
	lines := 1 + strings.Count(text, "\n")
	for _, f := range found {
		require.GreaterOrEqual(t, f.Line, 1)
		require.LessOrEqual(t, f.Line, lines)
		require.GreaterOrEqual(t, f.Column, 1)
	}
}

// FuzzLoad guards against a panic and against places outside the text.
func FuzzLoad(f *testing.F) {
	for _, seed := range []string{"", router, agent, "peer: []", "trace: {}", "endpoints:\n - - a"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, found := Load("f", text)
		checkResult(t, text, s, found)
	})
}
