package crowd

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
	"laburnumroad.dev/laburnumroad/gen/laburnumroad/v1/laburnumroadv1connect"
	"laburnumroad.dev/laburnumroad/internal/fake"
	"laburnumroad.dev/laburnumroad/internal/gateway"
	"laburnumroad.dev/laburnumroad/internal/testproc"
	"laburnumroad.dev/laburnumroad/platform"
)

const (
	// memoryMB and maxDescriptors are the limits of the host of each process. The platform
	// reserves fileDescriptors of the descriptors for files.
	memoryMB        = 144
	maxDescriptors  = 600
	fileDescriptors = 200
	// maxBodyBytes and maxHeadBytes are the limits that the operator sets for requests to
	// the gateway.
	maxBodyBytes = 1 << 20
	maxHeadBytes = 60 << 10
	// callerBodyBytes and callerHeadBytes are the sizes of legal requests to a router: a call
	// whose body has the default limit as base64, and what the HTTP server takes.
	callerBodyBytes = 1_300_000
	callerHeadBytes = 15 << 10
	// largeAnswerBytes is the size of the answers that slow readers ask for.
	largeAnswerBytes = 1 << 20

	host        = "127.0.0.99"
	requestID   = "request-id"
	hostname    = "shop.example"
	callerKey   = "caller-key"
	operatorKey = "operator-key"
	// waitTimeout bounds each wait for a condition. A passing run does not depend on it.
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

// door is an address at which a process accepts connections, with one kind of request that
// clients may send there.
type door struct {
	name    string
	address string
	// method, path and fields are those of a request that is served, apart from its length.
	// The fields end with a line break.
	method, path, fields string
	// largePath is the path of requests with large answers; empty means path.
	largePath           string
	bodyBytes, headSize int
	// callers is true if it serves the callers' API, ids if requests have ids.
	callers, ids bool
	// peers is true if it speaks the protocol between processes, not HTTP.
	peers bool
}

// target is a process under test with what it needs around it.
type target struct {
	*testproc.Process
	// door is the one under test; doors are all by name.
	door  door
	doors map[string]door
	// serve sends one ordinary request through the whole path and reports whether it was
	// served.
	serve func() bool
	// ask sends one ordinary request to the door.
	ask func() bool
}

// fixture starts the processes of one test.
type fixture struct {
	t        *testing.T
	binary   string
	platform *fake.Platform
	storeURL string
}

func newFixture(t *testing.T, binary string) *fixture {
	f := &fixture{t: t, binary: binary, platform: fake.NewPlatform(fake.PlatformConfig{})}
	f.storeURL = f.serveHTTP(f.platform)
	t.Cleanup(f.platform.Close)
	return f
}

func (f *fixture) serveHTTP(h http.Handler) string {
	s := httptest.NewServer(h)
	f.t.Cleanup(s.Close)
	return s.URL
}

// start starts a process that ends with the test.
func (f *fixture) start(args []string, env ...string) *testproc.Process {
	p := &testproc.Process{Binary: f.binary, Args: args, Env: env}
	p.Start(f.t)
	f.t.Cleanup(func() {
		p.Kill()
		if f.t.Failed() {
			f.t.Logf("output of %v, shortened:\n%s", args, lastBytes(p.Output.Text(), 4<<10))
		}
	})
	return p
}

func lastBytes(text []byte, n int) []byte { return text[max(0, len(text)-n):] }

func (f *fixture) writeFile(name string, data []byte) string {
	path := filepath.Join(f.t.TempDir(), name)
	require.NoError(f.t, os.WriteFile(path, data, 0o600))
	return path
}

// gatewayDoors are the doors of a gateway by name.
var gatewayDoors = []string{"routed", "unrouted", "ready", "metrics", "operators", "peers"}

// newGateway starts a gateway with one endpoint behind it.
func (f *fixture) newGateway(doorName string) *target {
	ports := testproc.FreePorts(f.t, host, 3)
	address := func(port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }
	settings, err := json.Marshal(map[string]any{
		"node_name": "edge", "ip": host, "zone": "a", "region": "r",
		"listen": map[string]any{"front": address(ports[0]), "readiness": address(ports[1])}, "port_range": []int{ports[2], ports[2]},
		"limits":   map[string]any{"memory_mb": memoryMB, "max_fds": maxDescriptors},
		"bounds":   map[string]any{"grace_s": 8, "retry_ratio": 0.2, "retry_allowance": 50},
		"platform": map[string]any{"address": strings.TrimPrefix(f.storeURL, "http://")},
	})
	require.NoError(f.t, err)
	large := bytes.Repeat([]byte("large"), largeAnswerBytes/5)
	endpoint := f.serveHTTP(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Server-Seal", "seal")
		_, _ = io.Copy(io.Discard, r.Body)
		if strings.HasSuffix(r.URL.Path, "/large") {
			_, _ = w.Write(large)
			return
		}
		_, _ = io.WriteString(w, "booked")
	}))
	store := platform.New(f.storeURL, platform.Options{})
	for _, object := range []struct{ kind, name, value string }{
		{"servers", "i-desk", fmt.Sprintf(`{"backend":"desk","address":%q,"zone":"a","version":"v1","capacity":64,"state":"ready","cold_left_ms":0,"sequence":1,"born":1}`,
			strings.TrimPrefix(endpoint, "http://"))},
		{"config", "main", fmt.Sprintf(`{"version":1,"backends":[{"name":"desk"}],"limits":{"max_header_bytes":%d,"max_body_bytes":%d},
			"routes":[{"name":"lookup","hostname":%q,"path_prefix":"/lookup/","route_type":"safe","timeout_ms":60000,"slo_ms":800,"backend":"desk","max_attempts":2}]}`,
			maxHeadBytes, maxBodyBytes, hostname)},
	} {
		_, err := store.Create(f.t.Context(), object.kind, object.name, []byte(object.value))
		require.NoError(f.t, err)
	}
	p := f.start([]string{"gateway"}, platform.SettingsEnvVar+"="+f.writeFile("edge.json", settings))
	clientFields := "Host: " + hostname + "\r\nAttempt-Id: " + requestID + "\r\nDeadline-Ms: 60000\r\n"
	plainFields := "Host: " + hostname + "\r\n"
	metrics := address(gateway.MetricsPort)
	doors := map[string]door{
		"routed":    {address: address(ports[0]), method: "POST", path: "/lookup/1", largePath: "/lookup/large", fields: clientFields, ids: true},
		"unrouted":  {address: address(ports[0]), method: "POST", path: "/nowhere/1", fields: clientFields, ids: true},
		"ready":     {address: address(ports[1]), method: "GET", path: "/api/readyz", fields: plainFields},
		"metrics":   {address: metrics, method: "GET", path: gateway.MetricsPath, fields: plainFields},
		"operators": {address: metrics, method: "POST", path: "/where", fields: plainFields},
		"peers":     {address: address(ports[2]), peers: true},
	}
	for name, d := range doors {
		d.name, d.bodyBytes, d.headSize = name, maxBodyBytes, maxHeadBytes
		doors[name] = d
	}
	d, lookup := doors[doorName], doors["routed"]
	tg := &target{Process: p, door: d, doors: doors, serve: func() bool { return sendPlain(lookup) == http.StatusOK }}
	tg.ask = d.answers
	ready := doors["ready"]
	require.Eventually(f.t, func() bool { return sendPlain(ready) == http.StatusOK && tg.serve() }, waitTimeout, pollInterval)
	return tg
}

// answers reports whether the process answers at the door: an HTTP request, which may be
// refused, or a new connection of another process with its first message.
func (d door) answers() bool {
	if !d.peers {
		return sendPlain(d) > 0
	}
	conn, err := net.DialTimeout("tcp", d.address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(time.Second)) != nil {
		return false
	}
	_, err = conn.Read(make([]byte, 1))
	return err == nil
}

// sendPlain sends one short request on a new connection and returns the status of the
// answer, or 0 if there is none within a second.
func sendPlain(d door) int {
	conn, err := net.DialTimeout("tcp", d.address, time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(time.Second)) != nil {
		return 0
	}
	request, err := http.NewRequest(d.method, "http://"+d.address+d.path, nil)
	if err != nil {
		return 0
	}
	for line := range strings.Lines(d.fields) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name == "Host" {
			request.Host = value
		}
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil }, DisableKeepAlives: true}
	resp, err := transport.RoundTrip(request)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// routerDoors and agentDoors are the doors of a router and of an agent by name.
var (
	routerDoors = []string{"callers", "unrouted", "operators", "ready", "metrics", "peers"}
	agentDoors  = []string{"ready", "metrics", "peers"}
)

const fleetYAML = `services:
  - name: classroom-app
    kind: plain
    operations:
      - name: bookings
        idempotent: false
        cost_tokens: 5
customers:
  - id: college
    keys: ["sha256:%s"]
    services: [classroom-app]
`

const routerYAML = `caller_listen: %[1]s
operator_listen: %[2]s
operator_keys: ["sha256:%[3]s"]
`

const agentYAML = `endpoints:
  - id: classroom-0
    service: classroom-app
    kind: plain
    url: %s
    slots: 64
`

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// startDaemon starts a router or an agent and returns its peer and debug addresses.
func (f *fixture) startDaemon(role, roleYAML string) (p *testproc.Process, peer, debug string) {
	ports := testproc.FreePorts(f.t, host, 2)
	peer, debug = net.JoinHostPort(host, strconv.Itoa(ports[0])), net.JoinHostPort(host, strconv.Itoa(ports[1]))
	settings := fmt.Sprintf("role: %s\nid: %s-0\nregion: r\ndomain: a\npeer: {listen: %q, advertise: %q}\ndebug_listen: %q\nplatform_url: %s\nplaintext: true\n",
		role, role, peer, peer, debug, f.storeURL) + hostSettings + roleYAML
	return f.start([]string{"run", "-settings", f.writeFile(role+".yaml", []byte(settings))}), peer, debug
}

// newFleet starts a router and an agent with a plain service behind it. The target is the
// process of the given role.
func (f *fixture) newFleet(role, doorName string) *target {
	service := fake.NewService(fake.ServiceConfig{})
	f.t.Cleanup(service.Close)
	agent, agentPeer, agentDebug := f.startDaemon("agent", fmt.Sprintf(agentYAML, f.serveHTTP(service)))
	ports := testproc.FreePorts(f.t, host, 2)
	callers, operators := net.JoinHostPort(host, strconv.Itoa(ports[0])), net.JoinHostPort(host, strconv.Itoa(ports[1]))
	router, routerPeer, routerDebug := f.startDaemon("router", fmt.Sprintf(routerYAML, callers, operators, hashKey(operatorKey)))
	doors := map[string]door{
		"callers":   {address: callers, method: "POST", path: laburnumroadv1connect.CallerServiceCallProcedure, callers: true},
		"unrouted":  {address: callers, method: "POST", path: "/nowhere"},
		"operators": {address: operators, method: "POST", path: laburnumroadv1connect.OperatorServiceStatusProcedure},
		"ready":     {address: routerDebug, method: "GET", path: "/healthz"},
		"metrics":   {address: routerDebug, method: "GET", path: "/debug/vars"},
		"peers":     {address: routerPeer, peers: true},
	}
	tg := &target{Process: router, doors: doors}
	if role == "agent" {
		tg.Process = agent
		for name, address := range map[string]string{"ready": agentDebug, "metrics": agentDebug, "peers": agentPeer} {
			d := doors[name]
			d.address = address
			doors[name] = d
		}
	}
	for name, d := range doors {
		d.name, d.bodyBytes, d.headSize = name, callerBodyBytes, callerHeadBytes
		d.fields = "Host: " + hostname + "\r\n"
		if d.method == "POST" {
			d.fields += "Content-Type: application/json\r\nAuthorization: Bearer " + callerKey + "\r\n"
		}
		doors[name] = d
	}
	d := doors[doorName]
	tg.door = d
	operator := laburnumroadv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+operators)
	caller := laburnumroadv1connect.NewCallerServiceClient(http.DefaultClient, "http://"+callers)
	calls := 0
	tg.serve = func() bool {
		calls++
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		request := connect.NewRequest(&pb.CallRequest{Service: "classroom-app", Operation: "bookings", Body: []byte("{}"), IdempotencyKey: fmt.Sprintf("call-%d", calls)})
		request.Header().Set("Authorization", "Bearer "+callerKey)
		_, err := caller.Call(ctx, request)
		return err == nil
	}
	tg.ask = d.answers
	apply := connect.NewRequest(&pb.ApplyConfigRequest{Yaml: fmt.Sprintf(fleetYAML, hashKey(callerKey)), File: "fleet.yaml"})
	topUp := connect.NewRequest(&pb.TopUpRequest{Customer: "college", Amount: 1_000_000, Id: "first"})
	apply.Header().Set("Authorization", "Bearer "+operatorKey)
	topUp.Header().Set("Authorization", "Bearer "+operatorKey)
	require.Eventually(f.t, func() bool { _, err := operator.ApplyConfig(f.t.Context(), apply); return err == nil }, waitTimeout, pollInterval)
	require.Eventually(f.t, func() bool { _, err := operator.TopUp(f.t.Context(), topUp); return err == nil }, waitTimeout, pollInterval)
	require.Eventually(f.t, tg.serve, waitTimeout, pollInterval)
	return tg
}

// hostSettings are the settings of routers and agents about their host.
var hostSettings = fmt.Sprintf("memory_mb: %d\nmax_descriptors: %d\n", memoryMB, maxDescriptors-fileDescriptors)

func newTarget(t *testing.T, binary, role, doorName string) *target {
	f := newFixture(t, binary)
	if role == "gateway" {
		return f.newGateway(doorName)
	}
	return f.newFleet(role, doorName)
}
