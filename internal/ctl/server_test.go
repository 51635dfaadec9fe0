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

// fakeServer serves both APIs and holds one configuration.
type fakeServer struct {
	laburnumroadv1connect.UnimplementedOperatorServiceHandler
	laburnumroadv1connect.UnimplementedCallerServiceHandler

	generation int64
	yaml       string
	// dropResponse makes ApplyConfig store the configuration but return an error, as
	// if the connection was lost.
	dropResponse bool
	topUps       []*v1.TopUpRequest
	// topUpErr is the error that TopUp returns.
	topUpErr error
	// stream holds the messages that Generate sends before it returns streamErr.
	stream       []*v1.GenerateResponse
	streamErr    error
	callErr      error
	drainRequest *v1.DrainRequest
}

// errorWithDetail returns an API error with an error detail.
func errorWithDetail(code connect.Code, detail proto.Message) error {
	err := connect.NewError(code, errors.New("refused"))
	d, _ := connect.NewErrorDetail(detail)
	err.AddDetail(d)
	return err
}

func (s *fakeServer) GetConfig(context.Context, *connect.Request[v1.GetConfigRequest]) (*connect.Response[v1.GetConfigResponse], error) {
	return connect.NewResponse(&v1.GetConfigResponse{Generation: s.generation, Yaml: s.yaml}), nil
}

func (s *fakeServer) ApplyConfig(_ context.Context, r *connect.Request[v1.ApplyConfigRequest]) (*connect.Response[v1.ApplyConfigResponse], error) {
	if r.Msg.GetExpectedGeneration() != s.generation {
		diff := fleetconfig.Diff(r.Msg.GetYaml(), s.yaml)
		return nil, errorWithDetail(connect.CodeAborted, &v1.Conflict{CurrentGeneration: s.generation, Diff: diff})
	}
	s.generation++
	s.yaml = r.Msg.GetYaml()
	if s.dropResponse {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("connection lost"))
	}
	return connect.NewResponse(&v1.ApplyConfigResponse{Generation: s.generation}), nil
}

func (s *fakeServer) TopUp(_ context.Context, r *connect.Request[v1.TopUpRequest]) (*connect.Response[v1.TopUpResponse], error) {
	s.topUps = append(s.topUps, r.Msg)
	if s.topUpErr != nil {
		return nil, s.topUpErr
	}
	return connect.NewResponse(&v1.TopUpResponse{Id: r.Msg.GetId(), Deposited: r.Msg.GetAmount()}), nil
}

func (s *fakeServer) ListBudgets(_ context.Context, r *connect.Request[v1.ListBudgetsRequest]) (*connect.Response[v1.ListBudgetsResponse], error) {
	b := &v1.Budget{Id: r.Msg.GetCustomer() + "/default", Deposited: 100, Settled: 20, Withheld: 5, Granted: 30}
	return connect.NewResponse(&v1.ListBudgetsResponse{Budgets: []*v1.Budget{b}}), nil
}

func (s *fakeServer) Status(context.Context, *connect.Request[v1.StatusRequest]) (*connect.Response[v1.StatusResponse], error) {
	return connect.NewResponse(&v1.StatusResponse{
		AnsweredBy: "r1", Generation: s.generation, PlatformReachable: false, PlatformSinceSeconds: 90,
		Processes: []*v1.Process{{Id: "r1", Role: "router", State: "live"}},
		Endpoints: []*v1.Endpoint{{Id: "e1", State: "ejected", Reason: "slow"}},
	}), nil
}

func (s *fakeServer) Explain(_ context.Context, r *connect.Request[v1.ExplainRequest]) (*connect.Response[v1.ExplainResponse], error) {
	if r.Msg.GetRequestId() != "small/k1" {
		return connect.NewResponse(&v1.ExplainResponse{RequestId: r.Msg.GetRequestId()}), nil
	}
	step := &v1.Step{System: "admission", Decision: "accepted", Inputs: map[string]string{"b": "2", "a": "1"}}
	return connect.NewResponse(&v1.ExplainResponse{Found: true, Steps: []*v1.Step{step}}), nil
}

func (s *fakeServer) Drain(_ context.Context, r *connect.Request[v1.DrainRequest]) (*connect.Response[v1.DrainResponse], error) {
	s.drainRequest = r.Msg
	return connect.NewResponse(&v1.DrainResponse{}), nil
}

func (s *fakeServer) Generate(_ context.Context, _ *connect.Request[v1.GenerateRequest], stream *connect.ServerStream[v1.GenerateResponse]) error {
	for _, m := range s.stream {
		if err := stream.Send(m); err != nil {
			return err
		}
	}
	return s.streamErr
}

func (s *fakeServer) Call(_ context.Context, r *connect.Request[v1.CallRequest]) (*connect.Response[v1.CallResponse], error) {
	if s.callErr != nil {
		return nil, s.callErr
	}
	return connect.NewResponse(&v1.CallResponse{Body: r.Msg.GetBody(), IdempotencyKey: r.Msg.GetIdempotencyKey()}), nil
}

func (s *fakeServer) IssueKey(context.Context, *connect.Request[v1.IssueKeyRequest]) (*connect.Response[v1.IssueKeyResponse], error) {
	return connect.NewResponse(&v1.IssueKeyResponse{IdempotencyKey: "issued", ValidSeconds: 600}), nil
}

// requireBearerKey rejects requests without the API key.
func requireBearerKey(key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer "+key {
			http.Error(w, "wrong key", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *fakeServer) start(t *testing.T) *httptest.Server {
	mux := http.NewServeMux()
	path, handler := laburnumroadv1connect.NewOperatorServiceHandler(s)
	mux.Handle(path, requireBearerKey(operatorKey, handler))
	path, handler = laburnumroadv1connect.NewCallerServiceHandler(s)
	mux.Handle(path, requireBearerKey(callerKey, handler))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server
}

// result holds the exit code and the output of one run of the tool.
type result struct {
	code           ExitCode
	stdout, stderr string
}

// run runs the tool against the server.
func (s *fakeServer) run(t *testing.T, args ...string) result {
	url := s.start(t).URL
	return runWithEnv(map[string]string{
		envOperator: url, envCaller: url, envOperatorKey: operatorKey, envCallerKey: callerKey,
	}, args...)
}

// runWithEnv runs the tool with environment variables.
func runWithEnv(vars map[string]string, args ...string) result {
	var stdout, stderr bytes.Buffer
	env := Environment{Out: &stdout, Err: &stderr, Getenv: func(name string) string { return vars[name] }}
	code := Main(context.Background(), args, env)
	return result{code, stdout.String(), stderr.String()}
}

func writeFile(t *testing.T, text string) string {
	name := filepath.Join(t.TempDir(), "fleet.yaml")
	require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}
