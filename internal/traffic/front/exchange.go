package front

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/guard"
	"laburnumroad.dev/laburnumroad/internal/traffic/tcp"
	"laburnumroad.dev/laburnumroad/internal/traffic/upstream"
)

const (
	// maxResponseBytes is the largest response body that is buffered before it is
	// sent to the client.
	maxResponseBytes = 8 << 20
	// clientWriteTimeout ends an exchange whose client does not read. For a body, a
	// client has longer by its length at minClientPace, in bytes a second.
	clientWriteTimeout = 5 * time.Second
	minClientPace      = 64 << 10
)

// exchange is the processing of one client request. Only its own goroutine uses
// it, except for commands, stopAttempt and the fields below mu.
type exchange struct {
	server  *Server
	id      table.ExchangeID
	w       http.ResponseWriter
	r       *http.Request
	request Request
	body    [][]byte
	// holding is what the exchange has charged to its client, and responseBytes the part of
	// it for the last response.
	holding       *guard.Request
	responseBytes int64
	commands      chan exchangeCommand
	// traceCtx carries the request's span. It is not cancelled when the client
	// disconnects.
	traceCtx context.Context

	// sentTo are the addresses that the request was sent to.
	sentTo map[string]bool
	// buffered is the last complete response that was not streamed to the client.
	buffered *bufferedResponse
	// headReadAt is when the head of the last response was read.
	headReadAt time.Time
	// headerSent is true once a response's status and headers were sent to the client.
	headerSent bool
	// contentType is the media type of the response that was sent.
	contentType string
	// eventsSent counts the stream events sent to the client; lastEventID is the id
	// of the last one, initially the one that the client sent.
	eventsSent  int64
	lastEventID string
	// attemptEvents counts the events with an id of the current attempt.
	attemptEvents int

	mu             sync.Mutex
	currentAttempt int
	cancelAttempt  context.CancelFunc
	// stoppedAttempt is the last attempt that was stopped. It may not have started.
	stoppedAttempt int
}

type bufferedResponse struct {
	status int
	header http.Header
	body   [][]byte
}

func (x *exchange) arrivalEvent() event.HTTPArrival {
	return event.HTTPArrival{
		Exchange: x.id, Request: x.request.ID, Host: requestHost(x.r), Path: requestPath(x.r),
		HasKey: x.request.HasKey, KeyHash: x.request.KeyHash, ClientTimeout: x.request.Timeout, BodyBytes: guard.Len(x.body),
		PromptTokens: x.request.PromptTokens, MaxOutput: x.request.MaxOutput, PromptParts: x.request.PromptParts,
		Fingerprint: fingerprint(x.r, x.request.KeyHash, x.body),
	}
}

// serve executes commands until the exchange is finished.
func (x *exchange) serve() {
	for cmd := range x.commands {
		if cmd.finish != nil {
			trace.SpanFromContext(x.traceCtx).SetAttributes(
				attribute.String("code", string(cmd.finish.Outcome.Code)), attribute.String("reason", cmd.finish.Outcome.Reason))
			x.finish(cmd.finish)
			return
		}
		end := x.runAttempt(cmd.call)
		end.Exchange, end.Attempt = x.id, cmd.call.Attempt
		end.DeliveredEvents, end.HeaderDelivered = x.eventsSent, x.headerSent
		x.server.Post(end)
	}
}

// stopAttempt cancels an attempt. An attempt that has not started yet is cancelled
// as soon as it starts.
func (x *exchange) stopAttempt(attempt int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stoppedAttempt = attempt
	if x.currentAttempt == attempt && x.cancelAttempt != nil {
		x.cancelAttempt()
	}
}

// attemptContext returns the context of an attempt, which stopAttempt cancels.
func (x *exchange) attemptContext(attempt int) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(x.traceCtx)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.currentAttempt, x.cancelAttempt = attempt, cancel
	if x.stoppedAttempt >= attempt {
		cancel()
	}
	return ctx, cancel
}

// runAttempt runs one attempt in a child span.
func (x *exchange) runAttempt(c *command.CallEndpoint) event.DirectAttemptEnd {
	ctx, cancel := x.attemptContext(c.Attempt)
	defer cancel()
	ctx, span := x.server.Tracer.Start(ctx, "gateway.attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("endpoint", string(c.Endpoint)), attribute.Int("attempt", c.Attempt)))
	defer span.End()
	x.attemptEvents = 0
	end := x.callEndpoint(ctx, c)
	mayBeCut := end.ConnectionLost || c.Stream && end.Undelimited
	if mayBeCut && x.attemptEvents < event.ContinuedEvents && ctx.Err() == nil {
		end.EndpointGone = x.server.Pool.IsGone(ctx, c.Address)
	}
	span.SetAttributes(attribute.String("status", end.Status.String()), attribute.String("reason", end.Reason))
	return end
}

// callEndpoint sends the request to the endpoint of one attempt and returns how
// the attempt ended.
func (x *exchange) callEndpoint(ctx context.Context, c *command.CallEndpoint) (end event.DirectAttemptEnd) {
	lastEventID := ""
	if x.headerSent {
		lastEventID = x.lastEventID
	}
	started := x.server.now()
	resp, err := x.server.Pool.Do(ctx, &upstream.Request{
		Address: c.Address, OnNewConnection: x.sentTo[c.Address], Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Body: x.body,
		Prepare: func() (http.Header, error) {
			if x.server.isWithdrawn(c.Endpoint) {
				return nil, errors.New("the endpoint left before the request was sent")
			}
			call := *c
			if call.TimeLeft -= x.server.now().Sub(started); call.TimeLeft <= 0 {
				return nil, errors.New("the time of the request passed before it was sent")
			}
			if x.sentTo == nil {
				x.sentTo = make(map[string]bool)
			}
			x.sentTo[c.Address] = true
			return x.server.Codec.AttemptHeader(x.r.Header, &call, lastEventID), nil
		},
		OnConnect: func(d time.Duration) { x.server.Post(event.ConnectTime{Duration: d}) },
		Matches:   func(h http.Header) bool { return x.server.Codec.BelongsTo(h, x.request.ID) },
	})
	if err != nil {
		return callFailure(err)
	}
	defer resp.Close()
	x.headReadAt = x.server.now()
	head := x.server.Codec.ParseResponseHead(resp.StatusCode, resp.Header)
	end = event.DirectAttemptEnd{HTTPStatus: resp.StatusCode, Misdirected: head.Misdirected, Report: head.Report, Notice: head.Notice}
	defer func() { x.setReportAge(&end) }()
	switch {
	case head.NotRun || head.Misdirected:
		end.Status, end.Reason = event.DirectDeclined, "declined with status "+strconv.Itoa(resp.StatusCode)
		resp.Discard()
	case impliesNotRun(resp.StatusCode):
		// Clients conclude from this status that the request did not run, but the
		// endpoint did not confirm that, so the status must not reach them.
		end.Status, end.Reason = event.DirectOutcomeUnknown, "status "+strconv.Itoa(resp.StatusCode)+" without the word that the request did not run"
	case !head.HasProof && resp.StatusCode < http.StatusMultipleChoices:
		end.Status, end.Reason = event.DirectOutcomeUnknown, "the answer carries no proof"
	case c.Stream && resp.StatusCode == http.StatusOK:
		x.relayStream(&end, c, resp)
	case x.headerSent:
		end.Status, end.Reason = event.DirectOutcomeUnknown, "the endpoint did not continue: status "+strconv.Itoa(resp.StatusCode)
	default:
		x.bufferResponse(&end, resp)
	}
	return end
}

// setReportAge sets how old what the endpoint said in the head of its answer is.
func (x *exchange) setReportAge(end *event.DirectAttemptEnd) {
	age := x.server.now().Sub(x.headReadAt)
	end.Report.Age, end.Notice.Age = age, age
}

// impliesNotRun reports whether clients conclude from a status that the request
// did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// callFailure returns the result of an attempt that received no response.
func callFailure(err error) event.DirectAttemptEnd {
	if errors.Is(err, upstream.ErrNotSent) {
		return event.DirectAttemptEnd{Status: event.DirectNotSent, Withheld: errors.Is(err, upstream.ErrWithheld), Reason: err.Error()}
	}
	return event.DirectAttemptEnd{Status: event.DirectOutcomeUnknown, ConnectionLost: true, Reason: err.Error()}
}

// bufferResponse reads a complete response.
func (x *exchange) bufferResponse(end *event.DirectAttemptEnd, resp *upstream.Response) {
	x.holding.Shrink(x.responseBytes)
	x.responseBytes, x.buffered = 0, nil
	before := x.holding.Taken()
	err := x.holding.Grow(guard.HeadBytes(resp.Header))
	var body [][]byte
	if err == nil {
		body, err = x.holding.ReadAll(resp.Body, maxResponseBytes)
	}
	x.responseBytes = x.holding.Taken() - before
	switch {
	case errors.Is(err, guard.ErrTooLarge), errors.Is(err, guard.ErrNoMemory):
		end.Status, end.Reason = event.DirectOutcomeUnknown, errors.Wrap(err, "read answer").Error()
		return
	case err != nil:
		end.Status, end.ConnectionLost, end.Reason = event.DirectOutcomeUnknown, true, errors.Wrap(err, "answer cut off").Error()
		return
	}
	x.buffered = &bufferedResponse{status: resp.StatusCode, header: resp.Header, body: body}
	end.Undelimited = resp.CloseDelimited()
	end.Status, end.Reason, end.AnswerBytes = event.DirectAnswered, "status "+strconv.Itoa(resp.StatusCode), int64(guard.Len(body))
}

// finish completes or aborts the response to the client.
func (x *exchange) finish(f *command.FinishExchange) {
	switch {
	case x.headerSent && f.Deliver:
		// The HTTP server ends the stream when the handler returns.
	case x.headerSent:
		x.abortResponse()
	case f.Deliver && x.buffered != nil:
		x.writeBuffered()
	case f.Outcome.Code == table.CodeCancelled:
		panic(http.ErrAbortHandler)
	default:
		x.writeRefusal(&f.Outcome)
	}
}

// abortResponse ends a response so that the client sees that it is incomplete. Chunks
// show it when the connection is closed; without them, only a reset does.
func (x *exchange) abortResponse() {
	if !x.r.ProtoAtLeast(1, 1) {
		if c, _, err := http.NewResponseController(x.w).Hijack(); err == nil {
			tcp.Reset(c)
		}
	}
	panic(http.ErrAbortHandler)
}

func (x *exchange) writeBuffered() {
	x.copyHeader(x.buffered.header)
	h := x.w.Header()
	if x.r.Method != http.MethodHead && x.buffered.status != http.StatusNoContent && x.buffered.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(guard.Len(x.buffered.body)))
	}
	x.w.WriteHeader(x.buffered.status)
	x.writeBody(x.buffered.body...)
}

// writeBody sends a complete body to the client, in at most clientWriteTimeout and the
// time that the body takes at minClientPace: a client that reads a byte now and then
// would keep the memory of the body.
func (x *exchange) writeBody(body ...[]byte) {
	rc := http.NewResponseController(x.w)
	limit := clientWriteTimeout + time.Duration(guard.Len(body))*time.Second/minClientPace
	err := rc.SetWriteDeadline(time.Now().Add(limit))
	if x.r.Method == http.MethodHead {
		body = nil
	}
	for _, block := range body {
		if err == nil {
			_, err = x.w.Write(block)
		}
	}
	if err == nil {
		err = rc.Flush()
	}
	// The deadline must not apply to later responses on the connection.
	if clearErr := rc.SetWriteDeadline(time.Time{}); err == nil {
		err = clearErr
	}
	if err != nil {
		x.server.Log.Info().Str("request", table.Shorten(x.request.ID)).Err(err).Msg("failed to write the response to the client")
	}
}

// copyHeader copies the headers of an endpoint's response to the response to the
// client, without the hop-by-hop headers.
func (x *exchange) copyHeader(src http.Header) {
	dst := x.w.Header()
	for name, values := range src {
		if !isHopByHop(name) {
			dst[name] = values
		}
	}
	if src.Get("Content-Type") == "" {
		// A nil value keeps the HTTP server from detecting the type from the body.
		dst["Content-Type"] = nil
	}
	x.closeConnectionIfAsked()
}

func (x *exchange) closeConnectionIfAsked() {
	if x.server.CloseConnections.Load() {
		x.w.Header().Set("Connection", "close")
	}
}

// isHopByHop reports whether a header applies to a single connection only. It
// includes Content-Length, which is set again for the response to the client.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	}
	return false
}

func (x *exchange) writeRefusal(outcome *table.Outcome) {
	h := x.w.Header()
	x.server.Codec.SetRefusalHeader(h, x.request.ID, outcome.RetryAfter)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	x.closeConnectionIfAsked()
	body := string(outcome.Code) + ": " + outcome.Reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(refusalStatus(outcome))
	x.writeBody([]byte(body))
}

// refusalStatus returns the HTTP status of a refusal. 429 and 503 guarantee that the
// request did not run and never will.
func refusalStatus(outcome *table.Outcome) int {
	switch outcome.Code {
	case table.CodeUnauthenticated:
		return http.StatusUnauthorized
	case table.CodeUnknownRoute:
		return http.StatusNotFound
	case table.CodeBudgetExhausted, table.CodeBudgetReserved:
		return http.StatusPaymentRequired
	}
	switch {
	case outcome.Ran != table.NotRun && outcome.Code == table.CodeTimeout:
		return http.StatusGatewayTimeout
	case outcome.Ran != table.NotRun:
		return http.StatusBadGateway
	case outcome.Code == table.CodeBudgetUnreachable:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}
