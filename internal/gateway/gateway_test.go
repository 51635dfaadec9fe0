package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/fake"
	"laburnumroad.dev/laburnumroad/platform"
)

// fleet is the stand-in of the platform with gateways on loopback.
type fleet struct {
	t     *testing.T
	store *fake.Platform
	url   string
	api   *platform.Client
	// trace is where the gateways write spans.
	trace string
}

func newTestFleet(t *testing.T) *fleet {
	store := fake.NewPlatform(fake.PlatformConfig{})
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		store.Close()
		server.Close()
	})
	return &fleet{t: t, store: store, url: server.URL, api: platform.New(server.URL, platform.Options{})}
}

// put creates or replaces an object of the operator or of an endpoint.
func (f *fleet) put(kind, name, value string) {
	o, err := f.api.Get(f.t.Context(), kind, name)
	if err != nil {
		_, err = f.api.Create(f.t.Context(), kind, name, []byte(value))
	} else {
		_, err = f.api.Update(f.t.Context(), kind, name, o.Version, []byte(value))
	}
	require.NoError(f.t, err)
}

// manifest stores a configuration with a total for the customer.
func (f *fleet) manifest(version, total int) {
	f.put("config", "main", fmt.Sprintf(`{"version":%d,"routes":[
		{"name":"review","hostname":"shop.example","path_prefix":"/review/","route_type":"streaming","timeout_ms":5000,"slo_ms":800,"backend":"model","max_attempts":1},
		{"name":"booking","hostname":"shop.example","path_prefix":"/booking/","route_type":"unsafe","timeout_ms":5000,"slo_ms":800,"backend":"desk","max_attempts":1}],
		"backends":[{"name":"model","runtime":{"stride":5}},{"name":"desk"}],
		"limits":{"max_body_bytes":100000},
		"tenants":[{"name":"workshop","api_keys":["key-1"],"reserved":%d}]}`, version, total))
}

func (f *fleet) endpoint(id, service string, h http.HandlerFunc) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Server-Seal", "seal-"+id)
		h(w, r)
	}))
	f.t.Cleanup(server.Close)
	f.put("servers", id, fmt.Sprintf(`{"backend":%q,"address":%q,"zone":"a","capacity":8,"state":"ready","born":1}`,
		service, server.Listener.Addr().String()))
}

// process is one gateway with what it logged.
type process struct {
	*Gateway
	t    *testing.T
	log  *logBook
	done chan error
}

// logBook keeps the lines of a process.
type logBook struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBook) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// of returns the lines about a request, in order.
func (l *logBook) of(request string) []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var lines []map[string]any
	for _, text := range strings.Split(l.b.String(), "\n") {
		var line map[string]any
		if json.Unmarshal([]byte(text), &line) == nil && line["request"] == request {
			lines = append(lines, line)
		}
	}
	return lines
}

func freePort(t *testing.T) int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func (f *fleet) start(name string) *process {
	port := freePort(f.t)
	s := &platform.Settings{
		Name: name, Host: "127.0.0.1", Domain: "a", Region: "r", Grace: 4 * time.Second, RetryShare: 0.2, RetryBurst: 10,
		ClientAddress: fmt.Sprintf("127.0.0.1:%d", freePort(f.t)), ReadyAddress: fmt.Sprintf("127.0.0.1:%d", freePort(f.t)),
		FirstPort: port, LastPort: port, StoreAddress: strings.TrimPrefix(f.url, "http://"),
	}
	book := &logBook{}
	g, err := New(s, zerolog.New(book), f.trace)
	require.NoError(f.t, err)
	p := &process{Gateway: g, t: f.t, log: book, done: make(chan error, 1)}
	go func() { p.done <- g.Run() }()
	f.t.Cleanup(g.finish)
	return p
}

// startOne starts a gateway with one endpoint of a service and a customer's total.
func startOne(t *testing.T, service string, h http.HandlerFunc, total int) *process {
	f := newTestFleet(t)
	f.endpoint("i-"+service, service, h)
	f.manifest(1, total)
	p := f.start("edge-1")
	p.awaitReady()
	return p
}

// awaitReady waits until the balancer would send clients here.
func (p *process) awaitReady() {
	require.Eventually(p.t, func() bool {
		resp, err := http.Get("http://" + p.settings.ReadyAddress + "/api/readyz")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, time.Minute, 5*time.Millisecond)
}

// end stops the process. Its log is whole only then: a request's lines are written
// after its answer is handed over, so that the log does not delay the answer.
func (p *process) end() {
	p.Shutdown()
	require.NoError(p.t, <-p.done)
}

func (p *process) post(path, id, tokens string) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.settings.ClientAddress+path, strings.NewReader("body"))
	require.NoError(p.t, err)
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

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "booked") }

func streamed(events int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for n := range events {
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", n+1)
		}
		_ = http.NewResponseController(w).Flush()
	}
}

func cutStream(w http.ResponseWriter, r *http.Request) {
	streamed(3)(w, r)
	panic(http.ErrAbortHandler)
}

// find returns the input of the first line about a request with a message that
// begins so.
func find(t *testing.T, lines []map[string]any, message string) map[string]any {
	for _, line := range lines {
		if text, _ := line["message"].(string); strings.HasPrefix(text, message) {
			inputs, _ := line["inputs"].(map[string]any)
			return inputs
		}
	}
	require.Failf(t, "no such line", "%s in %v", message, lines)
	return nil
}

// Guards against parts that work alone but not together: a client's request is
// paid for, placed, answered and charged, and the charge outlives the process.
func TestWholePathOnThePlatform(t *testing.T) {
	f := newTestFleet(t)
	f.endpoint("i-model", "model", streamed(4))
	f.endpoint("i-desk", "desk", ok)
	f.manifest(1, 100_000)
	p := f.start("edge-1")
	p.awaitReady()
	status, body, err := p.post("/booking/1", "r-booking", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "booked", body)
	status, body, err = p.post("/review/1", "r-review", "1000,100")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, 4, strings.Count(body, "data: x"))
	require.Eventually(t, func() bool { return len(p.log.of("r-review")) == 4 }, time.Minute, time.Millisecond)
	require.Equal(t, "1020", find(t, p.log.of("r-review"), "charged")["cost"])

	p.Shutdown()
	require.NoError(t, <-p.done)
	o, err := f.api.Get(t.Context(), "laburnumroad-ledgers", "limits")
	require.NoError(t, err)
	require.JSONEq(t, `{"closed":{"workshop":1020},"deaths":0,"routers":null}`, string(o.Value))
}

// Guards against requests that a graceful end cuts off.
func TestShutdownEndsStreamsFirst(t *testing.T) {
	f := newTestFleet(t)
	started, release := make(chan struct{}), make(chan struct{})
	f.endpoint("i-model", "model", func(w http.ResponseWriter, r *http.Request) {
		streamed(1)(w, r)
		close(started)
		<-release
		_, _ = io.WriteString(w, "id: 2\ndata: x\n\n")
	})
	f.manifest(1, 100_000)
	p := f.start("edge-1")
	p.awaitReady()
	result := make(chan error, 1)
	go func() {
		_, body, err := p.post("/review/1", "r-1", "1000,100")
		if err == nil && strings.Count(body, "data: x") != 2 {
			err = fmt.Errorf("body %q", body)
		}
		result <- err
	}()
	<-started
	p.Shutdown()
	require.Eventually(t, func() bool { return !p.ready.Load() }, time.Minute, time.Millisecond)
	close(release)
	require.NoError(t, <-result)
	require.NoError(t, <-p.done)
}

// Guards against two routers that both spend the whole total, and against one
// that refuses what the other holds.
func TestRoutersShareOneTotal(t *testing.T) {
	f := newTestFleet(t)
	f.endpoint("i-model", "model", streamed(0))
	f.manifest(1, 10_000)
	a, b := f.start("edge-1"), f.start("edge-2")
	a.awaitReady()
	b.awaitReady()
	served := 0
	for i := range 30 {
		p := []*process{a, b}[i%2]
		status, _, err := p.post("/review/1", fmt.Sprintf("r-%d", i), "1000,0")
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

// Guards against a configuration that is in force late, or a leaving endpoint
// that still gets work, while other watches hold on.
func TestChangesAreFollowed(t *testing.T) {
	f := newTestFleet(t)
	f.endpoint("i-old", "desk", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "old") })
	f.manifest(1, 100_000)
	p := f.start("edge-1")
	p.awaitReady()
	f.endpoint("i-new", "desk", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "new") })
	o, err := f.api.Get(t.Context(), "servers", "i-old")
	require.NoError(t, err)
	f.put("servers", "i-old", strings.Replace(string(o.Value), "ready", "draining", 1))
	require.Eventually(t, func() bool {
		_, body, err := p.post("/booking/1", "r-1", "")
		return err == nil && body == "new"
	}, time.Minute, time.Millisecond)
	f.put("config", "main", `{"version":2,"routes":[],"tenants":[]}`)
	require.Eventually(t, func() bool {
		status, _, err := p.post("/booking/1", "r-1", "")
		return err == nil && status == http.StatusNotFound
	}, time.Minute, time.Millisecond)
}

// The following tests go the ways of docs/OPERATIONS.md from the id of a failed
// request to its cause, from the log alone.

// Guards against a refusal for budget whose log does not show what was left.
func TestLogExplainsRefusalForBudget(t *testing.T) {
	p := startOne(t, "model", streamed(0), 5000)
	status, _, err := p.post("/review/1", "r-large", "9000,1000")
	require.NoError(t, err)
	require.Equal(t, http.StatusPaymentRequired, status)
	p.end()
	inputs := find(t, p.log.of("r-large"), "refused: the rest of the budget does not cover")
	require.Equal(t, "10000", inputs["cost"])
	require.Equal(t, "5000", inputs["remaining_at_most"])
	require.NotEmpty(t, inputs["ledger_age"])
}

// Guards against a stream that ended early without a line that names the endpoint
// and what happened there.
func TestLogExplainsStreamThatEndedEarly(t *testing.T) {
	p := startOne(t, "model", cutStream, 100_000)
	_, _, err := p.post("/review/1", "r-cut", "1000,100")
	require.Error(t, err)
	require.Eventually(t, func() bool { return len(p.log.of("r-cut")) == 4 }, time.Minute, time.Millisecond)
	inputs := find(t, p.log.of("r-cut"), "attempt ended: broken")
	require.Equal(t, "i-model", inputs["endpoint"])
	require.Equal(t, "3", inputs["events"])
	require.Contains(t, inputs["reason"], "stream cut off")
}

// Guards against a booking with an unknown outcome whose log does not tell that
// it was sent, where to, and that it was not sent again.
func TestLogExplainsBookingWithUnknownOutcome(t *testing.T) {
	p := startOne(t, "desk", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 100_000)
	status, _, err := p.post("/booking/1", "r-booking", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, status)
	p.end()
	lines := p.log.of("r-booking")
	require.Equal(t, "i-desk", find(t, lines, "sent")["endpoint"])
	require.Contains(t, find(t, lines, "attempt ended: broken")["reason"], "read answer")
	for _, line := range lines {
		require.NotEqual(t, "sent again", line["message"])
	}
}

// Guards against a log that carries a key, or a body.
func TestLogCarriesNoSecrets(t *testing.T) {
	p := startOne(t, "desk", ok, 100_000)
	_, _, err := p.post("/booking/1", "r-1", "")
	require.NoError(t, err)
	p.end()
	require.NotEmpty(t, p.log.of("r-1"))
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	require.NotContains(t, p.log.b.String(), "key-1")
	require.NotContains(t, p.log.b.String(), "booked")
}

// Guards against a log that blocks the process when nobody reads it.
func TestLogNeverBlocks(t *testing.T) {
	r, w := io.Pipe()
	log, flush := NewLog(w)
	for range 3 * logBuffer {
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

// Guards against a trace that does not lead from a request to its attempts.
func TestSpansOfARequestAndItsAttempts(t *testing.T) {
	f := newTestFleet(t)
	f.trace = filepath.Join(t.TempDir(), "spans.json")
	f.endpoint("i-desk", "desk", ok)
	f.manifest(1, 100_000)
	p := f.start("edge-1")
	p.awaitReady()
	_, _, err := p.post("/booking/1", "r-1", "")
	require.NoError(t, err)
	p.end()
	text, err := os.ReadFile(f.trace)
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
