package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/fake"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/testproc"
	"laburnumroad.dev/laburnumroad/platform"
)

// testCluster is a fake platform with gateways and endpoints on loopback.
type testCluster struct {
	t           *testing.T
	store       *fake.Platform
	storeURL    string
	storeClient *platform.Client
	// traceOutput is the file to which the gateways write spans.
	traceOutput string
	// evacuationBound is 0 in a deployment that evacuates no failure domains.
	evacuationBound time.Duration
}

func newTestCluster(t *testing.T) *testCluster {
	return newTestClusterWith(t, func(store http.Handler) http.Handler { return store })
}

// newTestClusterWith returns a cluster whose store answers through wrap.
func newTestClusterWith(t *testing.T, wrap func(http.Handler) http.Handler) *testCluster {
	store := fake.NewPlatform(fake.PlatformConfig{})
	server := httptest.NewServer(wrap(store))
	t.Cleanup(func() {
		store.Close()
		server.Close()
	})
	return &testCluster{t: t, store: store, storeURL: server.URL, storeClient: platform.New(server.URL, platform.Options{})}
}

// putObject creates or replaces an object of the operator or of an endpoint.
func (c *testCluster) putObject(kind, name, value string) {
	o, err := c.storeClient.Get(c.t.Context(), kind, name)
	if err != nil {
		_, err = c.storeClient.Create(c.t.Context(), kind, name, []byte(value))
	} else {
		_, err = c.storeClient.Update(c.t.Context(), kind, name, o.Version, []byte(value))
	}
	require.NoError(c.t, err)
}

// putConfig stores a configuration in which total is the customer's token limit.
func (c *testCluster) putConfig(version, total int) {
	c.putObject("config", "main", fmt.Sprintf(`{"version":%d,"routes":[
		{"name":"review","hostname":"shop.example","path_prefix":"/review/","route_type":"streaming","timeout_ms":5000,"slo_ms":800,"backend":"model","max_attempts":1},
		{"name":"booking","hostname":"shop.example","path_prefix":"/booking/","route_type":"unsafe","timeout_ms":5000,"slo_ms":800,"backend":"desk","max_attempts":1}],
		"backends":[{"name":"model","runtime":{"stride":5}},{"name":"desk"}],
		"limits":{"max_body_bytes":100000},
		"tenants":[{"name":"workshop","api_keys":["key-1"],"reserved":%d}]}`, version, total))
}

// startEndpoint starts an endpoint that answers with h and registers it in the
// store.
func (c *testCluster) startEndpoint(id, service string, h http.HandlerFunc) {
	c.startEndpointIn("a", id, service, h)
}

func (c *testCluster) startEndpointIn(domain, id, service string, h http.HandlerFunc) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Server-Seal", "seal-"+id)
		h(w, r)
	}))
	c.t.Cleanup(server.Close)
	c.putObject("servers", id, fmt.Sprintf(`{"backend":%q,"address":%q,"zone":%q,"version":"v1","capacity":8,"state":"ready","cold_left_ms":0,"sequence":1,"born":1}`,
		service, server.Listener.Addr().String(), domain))
}

// testGateway is a running gateway with its log output.
type testGateway struct {
	*Gateway
	t      *testing.T
	logs   *logCapture
	exited chan error
}

// logCapture collects the log output of a gateway.
type logCapture struct {
	mu  sync.Mutex
	buf bytes.Buffer
	// drained is closed when the control thread has ordered the process to exit.
	drained chan struct{}
}

func (l *logCapture) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if bytes.Contains(p, []byte(`"message":"drained"`)) {
		close(l.drained)
	}
	return l.buf.Write(p)
}

// text returns the output so far.
func (l *logCapture) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// linesFor returns the decoded log lines about a request, in order.
func (l *logCapture) linesFor(request string) []map[string]any {
	var lines []map[string]any
	for _, text := range strings.Split(l.text(), "\n") {
		var line map[string]any
		if json.Unmarshal([]byte(text), &line) == nil && line["request"] == request {
			lines = append(lines, line)
		}
	}
	return lines
}

func (c *testCluster) startGateway(name string) *testGateway {
	return c.startGatewayWithGrace(name, 4*time.Second)
}

func (c *testCluster) startGatewayWithGrace(name string, grace time.Duration) *testGateway {
	ports := testproc.FreePorts(c.t, "127.0.0.1", 3)
	s := &platform.Settings{
		Name: name, IP: "127.0.0.1", Domain: "a", Region: "r", ShutdownGrace: grace, RetryRatio: 0.2, RetryBurst: 10,
		ClientAddress: fmt.Sprintf("127.0.0.1:%d", ports[0]), ReadinessAddress: fmt.Sprintf("127.0.0.1:%d", ports[1]),
		FirstPeerPort: ports[2], LastPeerPort: ports[2], StoreAddress: strings.TrimPrefix(c.storeURL, "http://"),
		EvacuationBound: c.evacuationBound,
	}
	capture := &logCapture{drained: make(chan struct{})}
	g, err := New(s, zerolog.New(capture), c.traceOutput)
	require.NoError(c.t, err)
	gw := &testGateway{Gateway: g, t: c.t, logs: capture, exited: make(chan error, 1)}
	go func() { gw.exited <- g.Run() }()
	c.t.Cleanup(func() { g.requestExit(0) })
	return gw
}

// startSingleGateway starts a gateway with one endpoint of a service and the given
// token limit for the customer.
func startSingleGateway(t *testing.T, service string, h http.HandlerFunc, total int) *testGateway {
	c := newTestCluster(t)
	c.startEndpoint("i-"+service, service, h)
	c.putConfig(1, total)
	gw := c.startGateway("edge-1")
	gw.waitReady()
	return gw
}

// waitReady waits until the readiness check of the load balancer succeeds.
func (gw *testGateway) waitReady() {
	require.Eventually(gw.t, func() bool {
		resp, err := http.Get("http://" + gw.settings.ReadinessAddress + "/api/readyz")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, time.Minute, 5*time.Millisecond)
}

// shutdownAndWait stops the gateway. Only then is its log complete: the gateway
// writes the lines about a request after it has sent the response, so that logging
// does not delay the response.
func (gw *testGateway) shutdownAndWait() {
	gw.Shutdown()
	require.NoError(gw.t, <-gw.exited)
}

func (gw *testGateway) postRequest(path, id, tokens string) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+gw.settings.ClientAddress+path, strings.NewReader("body"))
	require.NoError(gw.t, err)
	req.Host = "shop.example"
	for name, value := range map[string]string{"Attempt-Id": id, "Key": "key-1", "Deadline-Ms": "60000", "Token-Count": tokens} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

func respondBooked(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "booked") }

func streamEvents(events int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for n := range events {
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", n+1)
		}
		_ = http.NewResponseController(w).Flush()
	}
}

func abortStream(w http.ResponseWriter, r *http.Request) {
	streamEvents(3)(w, r)
	panic(http.ErrAbortHandler)
}

// findInputs returns the inputs of the first line whose message starts with the
// given text.
func findInputs(t *testing.T, lines []map[string]any, message string) map[string]any {
	for _, line := range lines {
		if text, _ := line["message"].(string); strings.HasPrefix(text, message) {
			inputs, _ := line["inputs"].(map[string]any)
			return inputs
		}
	}
	require.Failf(t, "log line not found", "%s in %v", message, lines)
	return nil
}

// Guards against components that work separately but not together: a request must
// be admitted against the limit, routed, answered and charged, and the charge must
// be stored when the process exits.
func TestRequestIsServedAndChargedEndToEnd(t *testing.T) {
	c := newTestCluster(t)
	c.startEndpoint("i-model", "model", streamEvents(4))
	c.startEndpoint("i-desk", "desk", respondBooked)
	c.putConfig(1, 100_000)
	gw := c.startGateway("edge-1")
	gw.waitReady()
	status, body, err := gw.postRequest("/booking/1", "r-booking", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "booked", body)
	status, body, err = gw.postRequest("/review/1", "r-review", "1000,100")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, 4, strings.Count(body, "data: x"))
	require.Eventually(t, func() bool { return len(gw.logs.linesFor("r-review")) == 4 }, time.Minute, time.Millisecond)
	require.Equal(t, "1020", findInputs(t, gw.logs.linesFor("r-review"), "charged")["cost"])

	gw.Shutdown()
	require.NoError(t, <-gw.exited)
	o, err := c.storeClient.Get(t.Context(), "laburnumroad-ledgers", "limits")
	require.NoError(t, err)
	require.JSONEq(t, `{"closed":{"workshop":1020},"deaths":0,"routers":null}`, string(o.Value))
}

// Guards against a graceful shutdown that aborts streams in progress.
func TestShutdownWaitsForOpenStreams(t *testing.T) {
	c := newTestCluster(t)
	started, release := make(chan struct{}), make(chan struct{})
	c.startEndpoint("i-model", "model", func(w http.ResponseWriter, r *http.Request) {
		streamEvents(1)(w, r)
		close(started)
		<-release
		_, _ = io.WriteString(w, "id: 2\ndata: x\n\n")
	})
	c.putConfig(1, 100_000)
	gw := c.startGateway("edge-1")
	gw.waitReady()
	result := make(chan error, 1)
	go func() {
		_, body, err := gw.postRequest("/review/1", "r-1", "1000,100")
		if err == nil && strings.Count(body, "data: x") != 2 {
			err = fmt.Errorf("unexpected body %q", body)
		}
		result <- err
	}()
	<-started
	gw.Shutdown()
	require.Eventually(t, func() bool { return !gw.ready.Load() }, time.Minute, time.Millisecond)
	close(release)
	require.NoError(t, <-result)
	require.NoError(t, <-gw.exited)
}

// Guards against two routers that each spend the customer's whole limit, and
// against a router that refuses requests while the other holds unused limit.
func TestRoutersShareCustomerLimit(t *testing.T) {
	c := newTestCluster(t)
	c.startEndpoint("i-model", "model", streamEvents(0))
	c.putConfig(1, 10_000)
	a, b := c.startGateway("edge-1"), c.startGateway("edge-2")
	a.waitReady()
	b.waitReady()
	served := 0
	for i := range 30 {
		gw := []*testGateway{a, b}[i%2]
		status, _, err := gw.postRequest("/review/1", fmt.Sprintf("r-%d", i), "1000,0")
		require.NoError(t, err)
		if status == http.StatusOK {
			served++
			continue
		}
		require.Contains(t, []int{http.StatusPaymentRequired, http.StatusTooManyRequests}, status)
	}
	require.LessOrEqual(t, served, 10)
	require.GreaterOrEqual(t, served, 9)
}

// Guards against configuration changes that take effect late and against requests
// to a draining endpoint, while watches of other kinds are waiting.
func TestConfigAndEndpointChangesTakeEffect(t *testing.T) {
	c := newTestCluster(t)
	c.startEndpoint("i-old", "desk", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "old") })
	c.putConfig(1, 100_000)
	gw := c.startGateway("edge-1")
	gw.waitReady()
	c.startEndpoint("i-new", "desk", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "new") })
	o, err := c.storeClient.Get(t.Context(), "servers", "i-old")
	require.NoError(t, err)
	c.putObject("servers", "i-old", strings.Replace(string(o.Value), "ready", "draining", 1))
	require.Eventually(t, func() bool {
		_, body, err := gw.postRequest("/booking/1", "r-1", "")
		return err == nil && body == "new"
	}, time.Minute, time.Millisecond)
	c.putObject("config", "main", `{"version":2,"routes":[],"tenants":[]}`)
	require.Eventually(t, func() bool {
		status, _, err := gw.postRequest("/booking/1", "r-1", "")
		return err == nil && status == http.StatusNotFound
	}, time.Minute, time.Millisecond)
}

// The following tests repeat the diagnosis steps of docs/OPERATIONS.md, which lead
// from the id of a failed request to its cause with the log as the only source.

// Guards against a refusal for lack of budget whose log line does not show the
// remaining budget.
func TestLogExplainsBudgetRefusal(t *testing.T) {
	gw := startSingleGateway(t, "model", streamEvents(0), 5000)
	status, _, err := gw.postRequest("/review/1", "r-large", "9000,1000")
	require.NoError(t, err)
	require.Equal(t, http.StatusPaymentRequired, status)
	gw.shutdownAndWait()
	inputs := findInputs(t, gw.logs.linesFor("r-large"), "refused: the rest of the budget does not cover")
	require.Equal(t, "10000", inputs["cost"])
	require.Equal(t, "5000", inputs["remaining_at_most"])
	require.NotEmpty(t, inputs["ledger_age"])
}

// Guards against a truncated stream without a log line that names the endpoint and
// the failure.
func TestLogExplainsTruncatedStream(t *testing.T) {
	gw := startSingleGateway(t, "model", abortStream, 100_000)
	_, _, err := gw.postRequest("/review/1", "r-cut", "1000,100")
	require.Error(t, err)
	require.Eventually(t, func() bool { return len(gw.logs.linesFor("r-cut")) == 4 }, time.Minute, time.Millisecond)
	inputs := findInputs(t, gw.logs.linesFor("r-cut"), "attempt ended: broken")
	require.Equal(t, "i-model", inputs["endpoint"])
	require.Equal(t, "3", inputs["events"])
	require.Contains(t, inputs["reason"], "stream cut off")
}

// Guards against an at-most-once request with an unknown outcome whose log does not
// show that it was sent, to which endpoint, and that it was not retried.
func TestLogExplainsUnknownOutcome(t *testing.T) {
	gw := startSingleGateway(t, "desk", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 100_000)
	status, _, err := gw.postRequest("/booking/1", "r-booking", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, status)
	gw.shutdownAndWait()
	lines := gw.logs.linesFor("r-booking")
	require.Equal(t, "i-desk", findInputs(t, lines, "sent")["endpoint"])
	require.Contains(t, findInputs(t, lines, "attempt ended: broken")["reason"], "read answer")
	for _, line := range lines {
		require.NotEqual(t, "sent again", line["message"])
	}
}

// Guards against a log that contains API keys or request or response bodies.
func TestLogContainsNoSecrets(t *testing.T) {
	gw := startSingleGateway(t, "desk", respondBooked, 100_000)
	_, _, err := gw.postRequest("/booking/1", "r-1", "")
	require.NoError(t, err)
	gw.shutdownAndWait()
	require.NotEmpty(t, gw.logs.linesFor("r-1"))
	require.NotContains(t, gw.logs.text(), "key-1")
	require.NotContains(t, gw.logs.text(), "booked")
}

// Guards against a log that blocks the process when its output is not read.
func TestLogNeverBlocks(t *testing.T) {
	r, w := io.Pipe()
	log, flush := NewLog(w)
	for range 3 * logBufferLines {
		log.Info().Msg("line")
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		_, _ = io.Copy(io.Discard, r)
		cancel()
	}()
	require.NoError(t, flush())
	require.NoError(t, w.Close())
	<-ctx.Done()
}

// Guards against attempt spans that are not children of the request's span.
func TestAttemptSpansAreChildrenOfRequestSpan(t *testing.T) {
	c := newTestCluster(t)
	c.traceOutput = filepath.Join(t.TempDir(), "spans.json")
	c.startEndpoint("i-desk", "desk", respondBooked)
	c.putConfig(1, 100_000)
	gw := c.startGateway("edge-1")
	gw.waitReady()
	_, _, err := gw.postRequest("/booking/1", "r-1", "")
	require.NoError(t, err)
	gw.shutdownAndWait()
	text, err := os.ReadFile(c.traceOutput)
	require.NoError(t, err)
	type span struct {
		Name        string
		SpanContext struct{ SpanID, TraceID string }
		Parent      struct{ SpanID, TraceID string }
	}
	spans := map[string]span{}
	for d := json.NewDecoder(bytes.NewReader(text)); d.More(); {
		var s span
		require.NoError(t, d.Decode(&s))
		spans[s.Name] = s
	}
	require.Equal(t, spans["gateway.request"].SpanContext, spans["gateway.attempt"].Parent)
	require.Contains(t, string(text), "i-desk")
	require.NotContains(t, string(text), "key-1")
}

// Guards against a router that does not apply the stored list of quarantined parts, so
// that endpoints crash again after a power loss of the fleet.
func TestStartedRouterKnowsQuarantinedParts(t *testing.T) {
	c := newTestCluster(t)
	c.startEndpoint("i-model", "model", streamEvents(3))
	c.putConfig(1, 10_000)
	entries := []event.QuarantineEntry{{Fingerprint: table.Fingerprint(xxhash.Sum64String("tainted")), Remaining: time.Hour}}
	require.Equal(t, event.CallOK, c.storeClient.WriteQuarantinedParts(t.Context(), 0, entries).Status)
	gw := c.startGateway("edge-1")
	gw.waitReady()
	for i, test := range []struct {
		parts  string
		status int
	}{{"class:5,tainted:5,own:5", http.StatusServiceUnavailable}, {"class:5,sound:5,tainted:5", http.StatusOK}} {
		req, err := http.NewRequest(http.MethodPost, "http://"+gw.settings.ClientAddress+"/review/1", nil)
		require.NoError(t, err)
		req.Host = "shop.example"
		for name, value := range map[string]string{"Attempt-Id": fmt.Sprint("r", i), "Key": "key-1", "Token-Count": "15,20", "Prefix-Hash": test.parts} {
			req.Header.Set(name, value)
		}
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, test.status, resp.StatusCode, test.parts)
	}
	gw.shutdownAndWait()
	require.Equal(t, "tainted", findInputs(t, gw.logs.linesFor("r0"), "refused: endpoints died")["part"])
}
