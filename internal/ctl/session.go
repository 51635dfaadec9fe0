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
	// callTimeout bounds one call of the APIs, except Generate.
	callTimeout = 60 * time.Second
	// maxMessageBytes bounds one message from a server.
	maxMessageBytes = 32 << 20
	// randomBytes is the length of new keys and top-up ids before encoding.
	randomBytes = 24
)

// session holds what the commands use to reach the outside.
type session struct {
	opts    *options
	streams Streams
	now     func() time.Time
}

func newSession(o *options, s Streams) *session {
	return &session{opts: o, streams: s, now: time.Now}
}

func (s *session) operator() (laburnumroadv1connect.OperatorServiceClient, error) {
	if s.opts.operatorURL == "" {
		return nil, errors.Errorf("no operator API is given; set -operator or %s", envOperator)
	}
	return laburnumroadv1connect.NewOperatorServiceClient(
		http.DefaultClient, strings.TrimRight(s.opts.operatorURL, "/"), clientOptions(s.opts.operatorKey)...), nil
}

func (s *session) caller() (laburnumroadv1connect.CallerServiceClient, error) {
	if s.opts.callerURL == "" {
		return nil, errors.Errorf("no caller API is given; set -caller or %s", envCaller)
	}
	return laburnumroadv1connect.NewCallerServiceClient(
		http.DefaultClient, strings.TrimRight(s.opts.callerURL, "/"), clientOptions(s.opts.callerKey)...), nil
}

func clientOptions(key string) []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithInterceptors(bearer(key)),
		connect.WithReadMaxBytes(maxMessageBytes),
	}
}

// bearer is an interceptor that adds the Authorization header.
type bearer string

func (b bearer) set(h http.Header) {
	if b != "" {
		h.Set("Authorization", "Bearer "+string(b))
	}
}

// WrapUnary implements connect.Interceptor.
func (b bearer) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		b.set(r.Header())
		return next(ctx, r)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (b bearer) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		b.set(conn.RequestHeader())
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (b bearer) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

// call runs one unary call with a time limit and returns the bare message.
func call[Req, Res any](ctx context.Context, method func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error), m *Req) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := method(ctx, connect.NewRequest(m))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// readFile reads a text of a bounded size.
func readFile(name string) (string, error) {
	f, err := os.Open(name)
	if err != nil {
		return "", errors.WithStack(err)
	}
	defer f.Close()
	// One byte more than allowed lets the configuration reader report the size.
	data, err := io.ReadAll(io.LimitReader(f, yamlread.MaxBytes+1))
	return string(data), errors.WithStack(err)
}

// randomText returns unpredictable text for keys and ids.
func randomText() string {
	b := make([]byte, randomBytes)
	// Read never fails; see crypto/rand.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
