// Package e2e tests whole requests over loopback: real daemons in one process
// against the stand-ins of the outside systems.
package e2e

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	pb "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
	"laburnumroad.dev/laburnumroad/gen/laburnumroad/v1/laburnumroadv1connect"
	"laburnumroad.dev/laburnumroad/internal/daemon"
	"laburnumroad.dev/laburnumroad/internal/fake"
	"laburnumroad.dev/laburnumroad/internal/table"
)

const (
	operatorKey = "operator-key"
	callerKey   = "caller-key"
	// patience bounds each wait for a condition. Tests wait for events; this is
	// only the point at which they give up.
	patience = 60 * time.Second
)

const fleetYAML = `services:
  - name: tutor-model
    kind: model
  - name: classroom-app
    kind: plain
    operations:
      - name: bookings
        idempotent: false
        cost_tokens: 5
      - name: progress
        idempotent: true
        cost_tokens: 1
customers:
  - id: college
    keys: ["sha256:%s"]
    services: [tutor-model, classroom-app]
`

// fleet is a small fleet on loopback.
type fleet struct {
	t        *testing.T
	platform *fake.Platform
	url      string
	engines  map[string]*fake.Engine
	service  *fake.Service
	routers  []*daemon.Daemon
	agents   []*daemon.Daemon
	done     sync.WaitGroup
}

// newFleet starts routers, and one agent with one engine each, plus one agent
// with a plain service.
func newFleet(t *testing.T, routers, engines int) *fleet {
	f := &fleet{t: t, platform: fake.NewPlatform(fake.PlatformConfig{}), engines: map[string]*fake.Engine{}}
	f.url = f.serve(f.platform)
	t.Cleanup(f.platform.Close)
	f.service = fake.NewService(fake.ServiceConfig{})
	t.Cleanup(f.service.Close)
	serviceURL := f.serve(f.service)
	for i := range engines {
		id := fmt.Sprintf("engine-%d", i)
		e := fake.NewEngine(fake.EngineConfig{Pace: time.Millisecond, Batch: 8, MaxActive: 64, CrashMarker: "CRASH"})
		t.Cleanup(e.Close)
		f.engines[id] = e
		f.startAgent(fmt.Sprintf("agent-%d", i), id, "tutor-model", f.serve(e))
	}
	f.startAgent("agent-service", "classroom-0", "classroom-app", serviceURL)
	for i := range routers {
		f.startRouter(fmt.Sprintf("router-%d", i))
	}
	f.apply(fmt.Sprintf(fleetYAML, hash(callerKey)), 0)
	f.topUp("college", 100_000, "first")
	f.waitReady()
	t.Cleanup(f.stop)
	return f
}

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func (f *fleet) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	f.t.Cleanup(s.Close)
	return s.URL
}

func (f *fleet) options(role table.Role, id string) daemon.Options {
	return daemon.Options{
		Role: role, ID: table.ProcessID(id), Region: "accra", Domain: "a",
		PeerListen: "127.0.0.1:0", CallerListen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0", DebugListen: "127.0.0.1:0",
		PlatformURL: f.url, OperatorKeys: []table.KeyHash{sha256.Sum256([]byte(operatorKey))},
		DrainTimeout: patience, AnswerRetention: 10 * time.Minute, DetachGrace: 10 * time.Second,
		GrantLifetime: 30 * time.Minute, SettleInterval: 2 * time.Second, LedgerShards: 4,
		MaxPromptBytes: 256 << 10, MaxBodyBytes: 256 << 10,
	}
}

func (f *fleet) start(o daemon.Options) *daemon.Daemon {
	d, err := daemon.New(o, zerolog.New(zerolog.NewTestWriter(f.t)))
	require.NoError(f.t, err)
	f.done.Add(1)
	go func() {
		defer f.done.Done()
		if err := d.Run(); err != nil {
			f.t.Error(err)
		}
	}()
	return d
}

func (f *fleet) startAgent(id, endpoint, service, url string) *daemon.Daemon {
	o := f.options(table.RoleAgent, id)
	o.Endpoints = []daemon.EndpointOptions{{
		ID: table.EndpointID(endpoint), Service: table.ServiceName(service), URL: url, Slots: 64,
	}}
	d := f.start(o)
	f.agents = append(f.agents, d)
	return d
}

func (f *fleet) startRouter(id string) *daemon.Daemon {
	d := f.start(f.options(table.RoleRouter, id))
	f.routers = append(f.routers, d)
	return d
}

func (f *fleet) stop() {
	for _, d := range f.routers {
		d.Kill()
	}
	for _, d := range f.agents {
		d.Kill()
	}
	f.done.Wait()
}

// waitFor retries a condition until it holds.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("gave up waiting for %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func withKey[T any](key string, m *T) *connect.Request[T] {
	r := connect.NewRequest(m)
	r.Header().Set("Authorization", "Bearer "+key)
	return r
}

func (f *fleet) operator(router int) laburnumroadv1connect.OperatorServiceClient {
	return laburnumroadv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+f.routers[router].OperatorAddress)
}

func (f *fleet) caller(router int) laburnumroadv1connect.CallerServiceClient {
	return laburnumroadv1connect.NewCallerServiceClient(http.DefaultClient, "http://"+f.routers[router].CallerAddress)
}

func (f *fleet) apply(yaml string, expected int64) {
	f.t.Helper()
	_, err := f.operator(0).ApplyConfig(context.Background(), withKey(operatorKey, &pb.ApplyConfigRequest{
		Yaml: yaml, ExpectedGeneration: expected, File: "fleet.yaml",
	}))
	require.NoError(f.t, err)
}

func (f *fleet) topUp(customer string, amount int64, id string) {
	f.t.Helper()
	_, err := f.operator(0).TopUp(context.Background(), withKey(operatorKey, &pb.TopUpRequest{
		Customer: customer, Amount: amount, Id: id,
	}))
	require.NoError(f.t, err)
}

func (f *fleet) status(router int) *pb.StatusResponse {
	s, err := f.operator(router).Status(context.Background(), withKey(operatorKey, &pb.StatusRequest{}))
	require.NoError(f.t, err)
	return s.Msg
}

// waitReady waits until each router enforces a configuration and has live
// sessions with all agents.
func (f *fleet) waitReady() {
	f.t.Helper()
	waitFor(f.t, "all routers to be ready", func() bool {
		for i := range f.routers {
			if !f.ready(i) {
				return false
			}
		}
		return true
	})
}

func (f *fleet) ready(router int) bool {
	s := f.status(router)
	live := 0
	for _, p := range s.Processes {
		if p.Role == "agent" && p.State == "live" {
			live++
		}
	}
	return s.Generation > 0 && live == len(f.agents)
}

// budget returns the college's budget as the ledger has it.
func (f *fleet) budget(router int) *pb.Budget {
	b, err := f.operator(router).ListBudgets(context.Background(), withKey(operatorKey, &pb.ListBudgetsRequest{Customer: "college"}))
	require.NoError(f.t, err)
	for _, x := range b.Msg.Budgets {
		if x.Id == "college/default" {
			return x
		}
	}
	return &pb.Budget{}
}

// answer is what a caller got.
type answer struct {
	key      string
	text     string
	position int64
	finished *pb.Finished
	err      error
}

// whole reports whether the answer ended with a matching count and checksum.
func (a *answer) whole() bool {
	return a.finished != nil && a.finished.OutputTokens == a.position &&
		a.finished.Checksum == fmt.Sprintf("%016x", xxhash.Sum64String(a.text))
}

// generate reads one answer to its end. onChunk may be nil.
func (f *fleet) generate(ctx context.Context, router int, m *pb.GenerateRequest, onChunk func(*answer)) *answer {
	a := &answer{}
	stream, err := f.caller(router).Generate(ctx, withKey(callerKey, m))
	if err != nil {
		a.err = err
		return a
	}
	defer stream.Close()
	for stream.Receive() {
		switch e := stream.Msg().Event.(type) {
		case *pb.GenerateResponse_Started:
			a.key = e.Started.IdempotencyKey
		case *pb.GenerateResponse_Chunk:
			a.text += e.Chunk.Text
			a.position += e.Chunk.Tokens
			if onChunk != nil {
				onChunk(a)
			}
		case *pb.GenerateResponse_Finished:
			a.finished = e.Finished
		}
	}
	a.err = stream.Err()
	return a
}

// refusalOf returns the typed detail of an error.
func refusalOf(t *testing.T, err error) *pb.Refusal {
	t.Helper()
	var ce *connect.Error
	require.ErrorAs(t, err, &ce)
	for _, d := range ce.Details() {
		v, err := d.Value()
		require.NoError(t, err)
		if r, ok := v.(*pb.Refusal); ok {
			return r
		}
	}
	t.Fatalf("error has no refusal: %v", err)
	return nil
}
