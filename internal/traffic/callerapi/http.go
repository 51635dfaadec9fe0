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
	// messageOverhead is what a request may have beside its prompt or body;
	// JSON and base64 need up to twice the content.
	messageOverhead = 64 << 10
)

type bodyReadKey struct{}

// Handler returns the HTTP handler of the caller API.
func (s *Server) Handler() http.Handler {
	limit := 2*max(s.MaxPromptBytes, s.MaxBodyBytes) + messageOverhead
	mux := http.NewServeMux()
	mux.Handle(laburnumroadv1connect.NewCallerServiceHandler(s, connect.WithReadMaxBytes(limit)))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctl := http.NewResponseController(w)
		// The deadline covers the body only; answers may take much longer.
		_ = ctl.SetReadDeadline(time.Now().Add(bodyTimeout))
		clear := func() { _ = ctl.SetReadDeadline(time.Time{}) }
		mux.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), bodyReadKey{}, clear)))
	})
}

// bodyRead ends the deadline for the request body.
func bodyRead(ctx context.Context) {
	if clear, ok := ctx.Value(bodyReadKey{}).(func()); ok {
		clear()
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
