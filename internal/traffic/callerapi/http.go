package callerapi

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"laburnumroad.dev/laburnumroad/gen/laburnumroad/v1/laburnumroadv1connect"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/guard"
)

// Limits for slow callers and large requests.
const (
	readHeaderTimeout = 5 * time.Second
	readBodyTimeout   = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	// writeTimeout ends a response whose caller does not read, which would otherwise
	// hold memory and block a drain forever. It applies to each message, not to the
	// complete response.
	writeTimeout = 30 * time.Second
	// messageOverhead is the size of a request message beyond its prompt or body. The
	// content itself can double in size as JSON or base64.
	messageOverhead = 64 << 10
	// receiveBufferBytes is what callers may send ahead on an HTTP/2 connection.
	receiveBufferBytes = 128 << 10
	// BodyFactor is how many bytes a message takes for each byte of it that arrives: the
	// buffer and the one that it grew from, the decoded message, and the order to an agent.
	BodyFactor = 4
)

// encodingHeaders name the encoding of a message in the protocols that the API speaks.
var encodingHeaders = []string{"Content-Encoding", "Connect-Content-Encoding", "Grpc-Encoding"}

// connControl lets handlers set the deadlines of their connection.
type connControl struct{ ctl *http.ResponseController }

// connControlKey is the context key of the connControl.
type connControlKey struct{}

// Handler returns the HTTP handler of the caller API.
func (s *Server) Handler() http.Handler {
	maxRequestBytes := 2*max(s.MaxPromptBytes, s.MaxBodyBytes) + messageOverhead
	mux := http.NewServeMux()
	mux.Handle(laburnumroadv1connect.NewCallerServiceHandler(s, connect.WithReadMaxBytes(maxRequestBytes)))
	refuse := noRoomHandler()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isCompressed(r) && guard.RequestOf(r.Context()).Grow(int64(BodyFactor*maxRequestBytes)) != nil {
			// Its length does not show what it takes.
			refuse.ServeHTTP(w, r)
			return
		}
		ctl := http.NewResponseController(w)
		// The deadline covers the body only; responses may take much longer.
		_ = ctl.SetReadDeadline(time.Now().Add(readBodyTimeout))
		conn := connControl{ctl: ctl}
		mux.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), connControlKey{}, conn)))
	})
	return s.Guard.Handler(handler, guard.HandlerOptions{BodyFactor: BodyFactor, Refuse: refuse, BodyError: noRoomError})
}

func isCompressed(r *http.Request) bool {
	for _, name := range encodingHeaders {
		if encoding := r.Header.Get(name); encoding != "" && encoding != "identity" {
			return true
		}
	}
	return false
}

// noRoomError is what a caller gets whose request found no room.
func noRoomError(err error) error {
	return refusalError("", table.Outcome{Code: table.CodeBusy, Reason: err.Error(), Ran: table.NotRun, RetryAfter: guard.RetryAfter})
}

// noRoomHandler refuses requests for which there is no room, in the protocol of the caller.
func noRoomHandler() http.Handler {
	writer := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A write fails only if the caller disconnected.
		_ = writer.Write(w, r, noRoomError(guard.ErrNoMemory))
	})
}

// clearReadDeadline removes the deadline for the request body. Handlers call it once
// they have the message.
func clearReadDeadline(ctx context.Context) {
	if c, ok := ctx.Value(connControlKey{}).(connControl); ok {
		_ = c.ctl.SetReadDeadline(time.Time{})
	}
}

// setWriteDeadline sets the deadline for the next message to the caller.
func setWriteDeadline(ctx context.Context) {
	if c, ok := ctx.Value(connControlKey{}).(connControl); ok {
		_ = c.ctl.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
}

// NewHTTPServer returns an HTTP server that limits slow callers and large headers, and
// serves HTTP/1.1 and HTTP/2, also without TLS.
func NewHTTPServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxReceiveBufferPerConnection: receiveBufferBytes, MaxReceiveBufferPerStream: receiveBufferBytes},
	}
}
