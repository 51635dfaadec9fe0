// Package e2e contains end-to-end tests over loopback: real daemons run in one process
// against fakes of the external systems.
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
	// waitTimeout bounds each wait for a condition. A passing test does not depend on
	// it.
	waitTimeout = 60 * time.Second
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

// fleet is a small fleet of daemons with fakes on loopback.
type fleet struct {
	t           *testing.T
	platform    *fake.Platform
	platformURL string
	engines     map[string]*fake.Engine
	service     *fake.Service
	routers     []*daemon.Daemon
	agents      []*daemon.Daemon
	daemons     sync.WaitGroup
}

// newFleet starts the given numbers of routers and engines, one agent per engine, and
// one agent with a plain service, and waits until the fleet is ready.
func newFleet(t *testing.T, routers, engines int) *fleet {
	f := &fleet{t: t, platform: fake.NewPlatform(fake.PlatformConfig{}), engines: map[string]*fake.Engine{}}
	f.platformURL = f.serveHTTP(f.platform)
	t.Cleanup(f.platform.Close)
	f.service = fake.NewService(fake.ServiceConfig{})
	t.Cleanup(f.service.Close)
	serviceURL := f.serveHTTP(f.service)
	for i := range engines {
		id := fmt.Sprintf("engine-%d", i)
		e := fake.NewEngine(fake.EngineConfig{TokenTime: time.Millisecond, BatchSize: 8, MaxActiveStreams: 64, CrashMarker: "CRASH"})
		t.Cleanup(e.Close)
		f.engines[id] = e
		f.startAgent(fmt.Sprintf("agent-%d", i), id, "tutor-model", f.serveHTTP(e))
	}
	f.startAgent("agent-service", "classroom-0", "classroom-app", serviceURL)
	for i := range routers {
		f.startRouter(fmt.Sprintf("router-%d", i))
	}
	f.applyConfig(fmt.Sprintf(fleetYAML, hashKey(callerKey)), 0)
	f.topUp("college", 100_000, "first")
	f.waitUntilReady()
	t.Cleanup(f.killDaemons)
	return f
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func (f *fleet) serveHTTP(h http.Handler) string {
	s := httptest.NewServer(h)
	f.t.Cleanup(s.Close)
	return s.URL
}

func (f *fleet) daemonOptions(role table.Role, id string) daemon.Options {
	return daemon.Options{
		Role: role, ID: table.ProcessID(id), Region: "accra", Domain: "a",
		PeerListen: "127.0.0.1:0", CallerListen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0", DebugListen: "127.0.0.1:0",
		PlatformURL: f.platformURL, OperatorKeys: []table.KeyHash{sha256.Sum256([]byte(operatorKey))},
		DrainTimeout: waitTimeout, AnswerRetention: 10 * time.Minute, DetachGrace: 10 * time.Second,
		GrantLifetime: 30 * time.Minute, SettleInterval: 2 * time.Second, LedgerShards: 4,
		MaxPromptBytes: 256 << 10, MaxBodyBytes: 256 << 10,
	}
}

func (f *fleet) startDaemon(o daemon.Options) *daemon.Daemon {
	d, err := daemon.New(o, zerolog.New(zerolog.NewTestWriter(f.t)))
	require.NoError(f.t, err)
	f.daemons.Add(1)
	go func() {
		defer f.daemons.Done()
		if err := d.Run(); err != nil {
			f.t.Error(err)
		}
	}()
	return d
}

func (f *fleet) startAgent(id, endpoint, service, url string) *daemon.Daemon {
	o := f.daemonOptions(table.RoleAgent, id)
	o.Endpoints = []daemon.EndpointOptions{{
		ID: table.EndpointID(endpoint), Service: table.ServiceName(service), URL: url, Slots: 64,
	}}
	d := f.startDaemon(o)
	f.agents = append(f.agents, d)
	return d
}

func (f *fleet) startRouter(id string) *daemon.Daemon {
	d := f.startDaemon(f.daemonOptions(table.RoleRouter, id))
	f.routers = append(f.routers, d)
	return d
}

func (f *fleet) killDaemons() {
	for _, d := range f.routers {
		d.Kill()
	}
	for _, d := range f.agents {
		d.Kill()
	}
	f.daemons.Wait()
}

// waitFor polls a condition until it is true.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", description)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func newRequest[T any](apiKey string, message *T) *connect.Request[T] {
	r := connect.NewRequest(message)
	r.Header().Set("Authorization", "Bearer "+apiKey)
	return r
}

func (f *fleet) operatorClient(router int) laburnumroadv1connect.OperatorServiceClient {
	return laburnumroadv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+f.routers[router].OperatorAddress)
}

func (f *fleet) callerClient(router int) laburnumroadv1connect.CallerServiceClient {
	return laburnumroadv1connect.NewCallerServiceClient(http.DefaultClient, "http://"+f.routers[router].CallerAddress)
}

func (f *fleet) applyConfig(yaml string, expectedGeneration int64) {
	f.t.Helper()
	_, err := f.operatorClient(0).ApplyConfig(context.Background(), newRequest(operatorKey, &pb.ApplyConfigRequest{
		Yaml: yaml, ExpectedGeneration: expectedGeneration, File: "fleet.yaml",
	}))
	require.NoError(f.t, err)
}

func (f *fleet) topUp(customer string, amount int64, id string) {
	f.t.Helper()
	_, err := f.operatorClient(0).TopUp(context.Background(), newRequest(operatorKey, &pb.TopUpRequest{
		Customer: customer, Amount: amount, Id: id,
	}))
	require.NoError(f.t, err)
}

func (f *fleet) status(router int) *pb.StatusResponse {
	resp, err := f.operatorClient(router).Status(context.Background(), newRequest(operatorKey, &pb.StatusRequest{}))
	require.NoError(f.t, err)
	return resp.Msg
}

// waitUntilReady waits until each router has a configuration and live sessions with
// all agents.
func (f *fleet) waitUntilReady() {
	f.t.Helper()
	waitFor(f.t, "all routers to be ready", func() bool {
		for i := range f.routers {
			if !f.isReady(i) {
				return false
			}
		}
		return true
	})
}

func (f *fleet) isReady(router int) bool {
	s := f.status(router)
	live := 0
	for _, p := range s.Processes {
		if p.Role == "agent" && p.State == "live" {
			live++
		}
	}
	return s.Generation > 0 && live == len(f.agents)
}

// collegeBudget returns the budget of the customer "college" as recorded in the ledger.
func (f *fleet) collegeBudget(router int) *pb.Budget {
	resp, err := f.operatorClient(router).ListBudgets(context.Background(), newRequest(operatorKey, &pb.ListBudgetsRequest{Customer: "college"}))
	require.NoError(f.t, err)
	for _, budget := range resp.Msg.Budgets {
		if budget.Id == "college/default" {
			return budget
		}
	}
	return &pb.Budget{}
}

// generateResult is the part of an answer that a caller has received.
type generateResult struct {
	idempotencyKey string
	text           string
	position       int64
	finished       *pb.Finished
	err            error
}

// isComplete reports whether the answer ended with the matching token count and
// checksum.
func (r *generateResult) isComplete() bool {
	return r.finished != nil && r.finished.OutputTokens == r.position &&
		r.finished.Checksum == fmt.Sprintf("%016x", xxhash.Sum64String(r.text))
}

// generate sends a request and reads the answer to its end. If onChunk is not nil, it
// is called after each chunk.
func (f *fleet) generate(ctx context.Context, router int, req *pb.GenerateRequest, onChunk func(*generateResult)) *generateResult {
	result := &generateResult{}
	stream, err := f.callerClient(router).Generate(ctx, newRequest(callerKey, req))
	if err != nil {
		result.err = err
		return result
	}
	defer stream.Close()
	for stream.Receive() {
		switch event := stream.Msg().Event.(type) {
		case *pb.GenerateResponse_Started:
			result.idempotencyKey = event.Started.IdempotencyKey
		case *pb.GenerateResponse_Chunk:
			result.text += event.Chunk.Text
			result.position += event.Chunk.Tokens
			if onChunk != nil {
				onChunk(result)
			}
		case *pb.GenerateResponse_Finished:
			result.finished = event.Finished
		}
	}
	result.err = stream.Err()
	return result
}

// refusalDetail returns the Refusal in the details of a Connect error.
func refusalDetail(t *testing.T, err error) *pb.Refusal {
	t.Helper()
	var connectErr *connect.Error
	require.ErrorAs(t, err, &connectErr)
	for _, detail := range connectErr.Details() {
		value, err := detail.Value()
		require.NoError(t, err)
		if refusal, ok := value.(*pb.Refusal); ok {
			return refusal
		}
	}
	t.Fatalf("error has no Refusal detail: %v", err)
	return nil
}
