package callerapi

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"laburnumroad.dev/laburnumroad/gen/laburnumroad/v1/laburnumroadv1connect"
)

// Limits on slow or large callers.
const (
	headerTimeout  = 5 * time.Second
	bodyTimeout    = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
	// writeTimeout ends an answer whose caller does not read, so that it cannot
	// hold memory and a drain for ever. It bounds each message, not the answer.
	writeTimeout = 30 * time.Second
	// messageOverhead is what a request may have beside its prompt or body;
	// JSON and base64 need up to twice the content.
	messageOverhead = 64 << 10
)

// callContext gives handlers the deadlines of their connection.
type callContext struct{ ctl *http.ResponseController }

type callContextKey struct{}

// Handler returns the HTTP handler of the caller API.
func (s *Server) Handler() http.Handler {
	limit := 2*max(s.MaxPromptBytes, s.MaxBodyBytes) + messageOverhead
	mux := http.NewServeMux()
	mux.Handle(laburnumroadv1connect.NewCallerServiceHandler(s, connect.WithReadMaxBytes(limit)))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctl := http.NewResponseController(w)
		// The deadline covers the body only; answers may take much longer.
		_ = ctl.SetReadDeadline(time.Now().Add(bodyTimeout))
		call := callContext{ctl: ctl}
		mux.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callContextKey{}, call)))
	})
}

// bodyRead ends the deadline for the request body.
func bodyRead(ctx context.Context) {
	if c, ok := ctx.Value(callContextKey{}).(callContext); ok {
		_ = c.ctl.SetReadDeadline(time.Time{})
	}
}

// beforeWrite starts the deadline of one message to the caller.
func beforeWrite(ctx context.Context) {
	if c, ok := ctx.Value(callContextKey{}).(callContext); ok {
		_ = c.ctl.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
}

// NewHTTPServer returns a server with limits on slow and large callers.
func NewHTTPServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
	}
}
