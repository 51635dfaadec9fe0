package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"laburnumroad.dev/laburnumroad/gen/laburnumroad/v1/laburnumroadv1connect"
	"laburnumroad.dev/laburnumroad/internal/yamlread"
)

const (
	// callTimeout bounds a call to the APIs, except Generate.
	callTimeout = 60 * time.Second
	// maxMessageBytes bounds the size of a message from a server.
	maxMessageBytes = 32 << 20
	// randomTokenBytes is the length of generated keys and top-up ids before encoding.
	randomTokenBytes = 24
)

// invocation holds the options, environment and clock of one command invocation.
type invocation struct {
	opts *globalOptions
	env  Environment
	now  func() time.Time
}

func newInvocation(opts *globalOptions, env Environment) *invocation {
	return &invocation{opts: opts, env: env, now: time.Now}
}

func (inv *invocation) operatorClient() (laburnumroadv1connect.OperatorServiceClient, error) {
	if inv.opts.operatorURL == "" {
		return nil, errors.Errorf("the URL of the operator API is not set; use -operator or %s", envOperator)
	}
	return laburnumroadv1connect.NewOperatorServiceClient(
		http.DefaultClient, strings.TrimRight(inv.opts.operatorURL, "/"), clientOptions(inv.opts.operatorKey)...), nil
}

func (inv *invocation) callerClient() (laburnumroadv1connect.CallerServiceClient, error) {
	if inv.opts.callerURL == "" {
		return nil, errors.Errorf("the URL of the caller API is not set; use -caller or %s", envCaller)
	}
	return laburnumroadv1connect.NewCallerServiceClient(
		http.DefaultClient, strings.TrimRight(inv.opts.callerURL, "/"), clientOptions(inv.opts.callerKey)...), nil
}

func clientOptions(key string) []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithInterceptors(bearerAuth(key)),
		connect.WithReadMaxBytes(maxMessageBytes),
	}
}

// bearerAuth is an interceptor that adds the Authorization header.
type bearerAuth string

func (b bearerAuth) setHeader(h http.Header) {
	if b != "" {
		h.Set("Authorization", "Bearer "+string(b))
	}
}

// WrapUnary implements connect.Interceptor.
func (b bearerAuth) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		b.setHeader(r.Header())
		return next(ctx, r)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (b bearerAuth) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		b.setHeader(conn.RequestHeader())
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (b bearerAuth) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

// callUnary makes a unary call with a timeout and returns the response message.
func callUnary[Req, Res any](ctx context.Context, method func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error), request *Req) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := method(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// readFile reads a text file, at most one byte more than the size limit.
func readFile(name string) (string, error) {
	f, err := os.Open(name)
	if err != nil {
		return "", errors.WithStack(err)
	}
	defer f.Close()
	// The extra byte makes the configuration reader report an oversized file.
	data, err := io.ReadAll(io.LimitReader(f, yamlread.MaxBytes+1))
	return string(data), errors.WithStack(err)
}

// randomToken returns an unpredictable string for keys and ids.
func randomToken() string {
	b := make([]byte, randomTokenBytes)
	// Read never fails; see crypto/rand.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
