package ctl

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
	"laburnumroad.dev/laburnumroad/gen/laburnumroad/v1/laburnumroadv1connect"
	"laburnumroad.dev/laburnumroad/internal/fleetconfig"
)

const (
	operatorKey = "op-key"
	callerKey   = "caller-key"
)

// fleet is a server with both APIs and one configuration.
type fleet struct {
	laburnumroadv1connect.UnimplementedOperatorServiceHandler
	laburnumroadv1connect.UnimplementedCallerServiceHandler

	generation int64
	yaml       string
	// loseAnswer stores a change and then breaks the connection.
	loseAnswer bool
	topUps     []*v1.TopUpRequest
	// topUpErr is returned by TopUp.
	topUpErr error
	// stream is what Generate sends before it returns streamErr.
	stream    []*v1.GenerateResponse
	streamErr error
	callErr   error
	drained   *v1.DrainRequest
}

func withDetail(code connect.Code, detail proto.Message) error {
	err := connect.NewError(code, errors.New("refused"))
	d, _ := connect.NewErrorDetail(detail)
	err.AddDetail(d)
	return err
}

func (f *fleet) GetConfig(context.Context, *connect.Request[v1.GetConfigRequest]) (*connect.Response[v1.GetConfigResponse], error) {
	return connect.NewResponse(&v1.GetConfigResponse{Generation: f.generation, Yaml: f.yaml}), nil
}

func (f *fleet) ApplyConfig(_ context.Context, r *connect.Request[v1.ApplyConfigRequest]) (*connect.Response[v1.ApplyConfigResponse], error) {
	if r.Msg.GetExpectedGeneration() != f.generation {
		diff := fleetconfig.Diff(r.Msg.GetYaml(), f.yaml)
		return nil, withDetail(connect.CodeAborted, &v1.Conflict{CurrentGeneration: f.generation, Diff: diff})
	}
	f.generation++
	f.yaml = r.Msg.GetYaml()
	if f.loseAnswer {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("connection lost"))
	}
	return connect.NewResponse(&v1.ApplyConfigResponse{Generation: f.generation}), nil
}

func (f *fleet) TopUp(_ context.Context, r *connect.Request[v1.TopUpRequest]) (*connect.Response[v1.TopUpResponse], error) {
	f.topUps = append(f.topUps, r.Msg)
	if f.topUpErr != nil {
		return nil, f.topUpErr
	}
	return connect.NewResponse(&v1.TopUpResponse{Id: r.Msg.GetId(), Deposited: r.Msg.GetAmount()}), nil
}

func (f *fleet) ListBudgets(_ context.Context, r *connect.Request[v1.ListBudgetsRequest]) (*connect.Response[v1.ListBudgetsResponse], error) {
	b := &v1.Budget{Id: r.Msg.GetCustomer() + "/default", Deposited: 100, Settled: 20, Withheld: 5, Granted: 30}
	return connect.NewResponse(&v1.ListBudgetsResponse{Budgets: []*v1.Budget{b}}), nil
}

func (f *fleet) Status(context.Context, *connect.Request[v1.StatusRequest]) (*connect.Response[v1.StatusResponse], error) {
	return connect.NewResponse(&v1.StatusResponse{
		AnsweredBy: "r1", Generation: f.generation, PlatformReachable: false, PlatformSinceSeconds: 90,
		Processes: []*v1.Process{{Id: "r1", Role: "router", State: "live"}},
		Endpoints: []*v1.Endpoint{{Id: "e1", State: "ejected", Reason: "slow"}},
	}), nil
}

func (f *fleet) Explain(_ context.Context, r *connect.Request[v1.ExplainRequest]) (*connect.Response[v1.ExplainResponse], error) {
	if r.Msg.GetRequestId() != "small/k1" {
		return connect.NewResponse(&v1.ExplainResponse{RequestId: r.Msg.GetRequestId()}), nil
	}
	step := &v1.Step{System: "admission", Decision: "accepted", Inputs: map[string]string{"b": "2", "a": "1"}}
	return connect.NewResponse(&v1.ExplainResponse{Found: true, Steps: []*v1.Step{step}}), nil
}

func (f *fleet) Drain(_ context.Context, r *connect.Request[v1.DrainRequest]) (*connect.Response[v1.DrainResponse], error) {
	f.drained = r.Msg
	return connect.NewResponse(&v1.DrainResponse{}), nil
}

func (f *fleet) Generate(_ context.Context, _ *connect.Request[v1.GenerateRequest], s *connect.ServerStream[v1.GenerateResponse]) error {
	for _, m := range f.stream {
		if err := s.Send(m); err != nil {
			return err
		}
	}
	return f.streamErr
}

func (f *fleet) Call(_ context.Context, r *connect.Request[v1.CallRequest]) (*connect.Response[v1.CallResponse], error) {
	if f.callErr != nil {
		return nil, f.callErr
	}
	return connect.NewResponse(&v1.CallResponse{Body: r.Msg.GetBody(), IdempotencyKey: r.Msg.GetIdempotencyKey()}), nil
}

func (f *fleet) IssueKey(context.Context, *connect.Request[v1.IssueKeyRequest]) (*connect.Response[v1.IssueKeyResponse], error) {
	return connect.NewResponse(&v1.IssueKeyResponse{IdempotencyKey: "issued", ValidSeconds: 600}), nil
}

// requireKey refuses requests without the key of the API.
func requireKey(key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer "+key {
			http.Error(w, "wrong key", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (f *fleet) start(t *testing.T) *httptest.Server {
	mux := http.NewServeMux()
	path, handler := laburnumroadv1connect.NewOperatorServiceHandler(f)
	mux.Handle(path, requireKey(operatorKey, handler))
	path, handler = laburnumroadv1connect.NewCallerServiceHandler(f)
	mux.Handle(path, requireKey(callerKey, handler))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server
}

// result is what one run of the tool printed.
type result struct {
	code     ExitCode
	out, err string
}

// run starts the tool against a fleet.
func (f *fleet) run(t *testing.T, args ...string) result {
	url := f.start(t).URL
	return runWith(map[string]string{
		envOperator: url, envCaller: url, envOperatorKey: operatorKey, envCallerKey: callerKey,
	}, args...)
}

func runWith(env map[string]string, args ...string) result {
	var out, err bytes.Buffer
	s := Streams{Out: &out, Err: &err, Getenv: func(name string) string { return env[name] }}
	code := Main(context.Background(), args, s)
	return result{code, out.String(), err.String()}
}

func writeFile(t *testing.T, text string) string {
	name := filepath.Join(t.TempDir(), "fleet.yaml")
	require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}
