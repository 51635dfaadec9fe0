// Package front is the HTTP front end of the gateway: it serves clients and forwards
// their requests to endpoints as the control thread commands.
//
// One goroutine serves each request. It reads the request, posts its arrival to the
// control thread, executes the commands for it, and reports how each attempt ended.
package front

import (
	"context"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/guard"
	"laburnumroad.dev/laburnumroad/internal/traffic/upstream"
)

const (
	// commandBuffer is the number of commands that the control thread can send to an
	// exchange before its goroutine receives one. It has room for the calls of several
	// attempts and the finish.
	commandBuffer = 16
	// bodyReadTimeout limits how long a slow client can occupy a connection while it
	// sends a body. Clients wait a few seconds for the complete response.
	bodyReadTimeout = 15 * time.Second
	// defaultBodyLimit applies until the first configuration is loaded.
	defaultBodyLimit = 4 << 20
)

// Server is the HTTP handler for clients. Its fields must be set before the first
// request, except BodyLimit and CloseConnections, which may change at any time.
type Server struct {
	// Post sends an event to the control thread.
	Post  func(event.Event)
	Codec Codec
	Pool  *upstream.Pool
	Log   zerolog.Logger
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	// Guard bounds what clients make the process hold.
	Guard *guard.Guard
	// Tracer creates a span for each request and each attempt.
	Tracer trace.Tracer

	// BodyLimit is the maximum size of a request body in bytes; 0 means
	// defaultBodyLimit.
	BodyLimit atomic.Int64
	// CloseConnections makes responses ask clients to close their connections, while
	// the router drains or its link is congested.
	CloseConnections atomic.Bool

	mu             sync.Mutex
	lastExchangeID table.ExchangeID
	exchanges      map[table.ExchangeID]*exchange
	// withdrawn are the endpoints that get no more requests.
	withdrawn map[table.EndpointID]bool
	// bodyReads are the requests whose body is being read, and bodyReadsEnd is when
	// they are refused; zero means not before bodyReadTimeout.
	bodyReads    map[*http.ResponseController]struct{}
	bodyReadsEnd time.Time
}

// exchangeCommand is a command for an exchange. Exactly one field is set.
type exchangeCommand struct {
	call   *command.CallEndpoint
	finish *command.FinishExchange
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	holding, err := s.Guard.Begin(r)
	defer holding.End()
	request := s.Codec.ParseRequest(r.Header)
	if request.ID == "" {
		http.Error(w, "the request has no id", http.StatusBadRequest)
		return
	}
	if err == nil {
		// Each attempt has a copy of the head.
		err = holding.CopyHead()
	}
	if err != nil {
		s.refuse(w, request.ID, http.StatusServiceUnavailable)
		return
	}
	body, status := s.readBody(w, r, holding)
	if status != 0 {
		s.refuse(w, request.ID, status)
		return
	}
	x := s.addExchange(w, r, request, body, holding)
	defer s.removeExchange(x)
	var span trace.Span
	// The context outlives the client's connection: attempts end only when the
	// control thread stops them.
	x.traceCtx, span = s.Tracer.Start(context.WithoutCancel(r.Context()), "gateway.request", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("request", request.ID)))
	defer span.End()
	defer context.AfterFunc(r.Context(), func() { s.Post(event.ClientDisconnect{Exchange: x.id}) })()
	s.Post(x.arrivalEvent())
	x.serve()
}

// refuse answers a request of which not all was read, and closes its connection.
func (s *Server) refuse(w http.ResponseWriter, requestID string, status int) {
	if status == http.StatusServiceUnavailable {
		s.Codec.SetRefusalHeader(w.Header(), requestID, guard.RetryAfter)
	}
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
}

// readBody returns the complete request body, or the HTTP status to refuse the request
// with.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, holding *guard.Request) (body [][]byte, status int) {
	limit := s.BodyLimit.Load()
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	if r.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge
	}
	if r.Body == nil || r.ContentLength == 0 {
		return nil, 0
	}
	rc := http.NewResponseController(w)
	s.startBodyRead(rc)
	holding.Receive()
	body, err := holding.ReadAll(r.Body, limit)
	if ended := holding.Work(); ended != nil {
		err = ended
	}
	limited := s.endBodyRead(rc)
	if err == nil {
		// The deadline covers the body only: the HTTP server keeps reading the
		// connection to detect that the client disconnects.
		if err := rc.SetReadDeadline(time.Time{}); err != nil {
			s.Log.Warn().Err(err).Msg("clearing the read deadline of a connection failed")
		}
		return body, 0
	}
	s.Log.Info().Str("request", table.Shorten(s.Codec.ParseRequest(r.Header).ID)).Err(err).Msg("failed to read a request body")
	switch {
	case errors.Is(err, guard.ErrTooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case errors.Is(err, guard.ErrNoMemory), errors.Is(err, guard.ErrEnded), limited && errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusServiceUnavailable
	}
	return nil, http.StatusBadRequest
}

func (s *Server) startBodyRead(rc *http.ResponseController) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bodyReads == nil {
		s.bodyReads = make(map[*http.ResponseController]struct{})
	}
	s.bodyReads[rc] = struct{}{}
	deadline := time.Now().Add(bodyReadTimeout)
	if !s.bodyReadsEnd.IsZero() && s.bodyReadsEnd.Before(deadline) {
		deadline = s.bodyReadsEnd
	}
	s.setBodyDeadline(rc, deadline)
}

// endBodyRead reports whether LimitBodyReads applies to the body.
func (s *Server) endBodyRead(rc *http.ResponseController) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.bodyReads, rc)
	return !s.bodyReadsEnd.IsZero()
}

// LimitBodyReads refuses requests whose body is not complete in time.
func (s *Server) LimitBodyReads(c command.LimitBodyReads) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bodyReadsEnd = time.Now().Add(c.Within)
	for rc := range s.bodyReads {
		s.setBodyDeadline(rc, s.bodyReadsEnd)
	}
}

func (s *Server) setBodyDeadline(rc *http.ResponseController, deadline time.Time) {
	if err := rc.SetReadDeadline(deadline); err != nil {
		s.Log.Warn().Err(err).Msg("setting the read deadline for a request body failed")
	}
}

func (s *Server) addExchange(w http.ResponseWriter, r *http.Request, request Request, body [][]byte, holding *guard.Request) *exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastExchangeID++
	x := &exchange{
		server: s, id: s.lastExchangeID, w: w, r: r, request: request, body: body, holding: holding, lastEventID: request.LastEventID,
		commands: make(chan exchangeCommand, commandBuffer),
	}
	if s.exchanges == nil {
		s.exchanges = make(map[table.ExchangeID]*exchange)
	}
	s.exchanges[x.id] = x
	return x
}

func (s *Server) removeExchange(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.exchanges, x.id)
}

// lookup returns the exchange, or nil if it has ended.
func (s *Server) lookup(id table.ExchangeID) *exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exchanges[id]
}

// CallEndpoint starts an attempt. It does nothing if the exchange has ended.
func (s *Server) CallEndpoint(c command.CallEndpoint) {
	if x := s.lookup(c.Exchange); x != nil {
		x.commands <- exchangeCommand{call: &c}
	}
}

func (s *Server) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}

// SetEndpointUse sets whether requests may still be sent to an endpoint. It also
// applies to attempts whose connection is not open yet.
func (s *Server) SetEndpointUse(c command.SetEndpointUse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Allowed {
		delete(s.withdrawn, c.Endpoint)
		return
	}
	if s.withdrawn == nil {
		s.withdrawn = make(map[table.EndpointID]bool)
	}
	s.withdrawn[c.Endpoint] = true
}

func (s *Server) isWithdrawn(id table.EndpointID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.withdrawn[id]
}

// StopAttempt cancels an attempt. It does nothing if the exchange has ended.
func (s *Server) StopAttempt(c command.StopAttempt) {
	if x := s.lookup(c.Exchange); x != nil {
		x.stopAttempt(c.Attempt)
	}
}

// FinishExchange completes the response to a client. It does nothing if the
// exchange has ended.
func (s *Server) FinishExchange(c command.FinishExchange) {
	if x := s.lookup(c.Exchange); x != nil {
		x.commands <- exchangeCommand{finish: &c}
	}
}

// fingerprint hashes the customer's key and the request's method, host, target and
// body. Requests with equal fingerprints ask for the same work.
func fingerprint(r *http.Request, key table.KeyHash, body [][]byte) table.Fingerprint {
	digest := xxhash.New()
	// Writing to a digest does not fail.
	_, _ = digest.Write(key[:])
	_, _ = digest.WriteString(r.Method + " " + r.Host + r.RequestURI + "\n")
	for _, block := range body {
		_, _ = digest.Write(block)
	}
	return table.Fingerprint(digest.Sum64())
}

// requestHost returns the host of the request in lower case, without the port.
func requestHost(r *http.Request) string {
	host, _, _ := strings.Cut(r.Host, ":")
	return strings.ToLower(host)
}

// requestPath returns the path of the request as sent, without the query.
func requestPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}
