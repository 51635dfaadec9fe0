package relay

import (
	"context"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/wire"
)

// progressInterval is the number of delivered tokens between two progress events.
const progressInterval = 32

// Payload is the content of a caller's request. Only the request's goroutine accesses it.
type Payload struct {
	Prompt string
	Body   []byte
}

// Writer sends the answer to the caller. Its methods run on the request's goroutine. An error
// means that the caller has disconnected.
type Writer interface {
	Started(id table.RequestID) error
	Chunk(position, tokens table.Tokens, text string) error
}

// Result is the outcome of a request. Checksum is the xxHash64 of the answer text.
type Result struct {
	Request  table.RequestID
	Outcome  table.Outcome
	Checksum uint64
	// Body is the response body of a plain service.
	Body []byte
}

// Relay serves callers' requests at a router.
type Relay struct {
	Directory *Directory
	// Post queues an event for the control thread.
	Post func(event.Event)
	// Send sends an attempt to an agent. An error means that there is no open session with
	// the agent and that nothing was sent.
	Send   func(to table.Holder, m *wire.Dispatch) error
	Tracer trace.Tracer
}

// request is the state of the goroutine that serves a request.
type request struct {
	relay   *Relay
	ctx     context.Context
	payload Payload
	writer  Writer
	// resumePosition is the number of tokens that the caller already has.
	resumePosition table.Tokens

	id table.RequestID
	progress
	disconnected bool
	result       *Result
	// awaitingHandover is true until the previous handler has handed over the request. Other
	// items are kept in deferred until then.
	awaitingHandover bool
	deferred         []queueItem
}

// progress is the current attempt of a request and the answer delivered so far.
type progress struct {
	attempt         uint32
	span            trace.Span
	text            *strings.Builder
	chunkStarts     []chunkStart
	deliveredTokens table.Tokens
	reportedTokens  table.Tokens
	responseBody    []byte
}

// chunkStart is the position of a chunk in tokens and in bytes of the text.
type chunkStart struct {
	position table.Tokens
	offset   int
}

// handoverState is passed to the new handler when a caller reconnects to a running request.
type handoverState struct {
	payload   Payload
	progress  progress
	remaining []queueItem
}

// Run posts the arrival of a request and forwards its answer. It returns when the control thread
// has set the outcome, even if the caller disconnects before that.
func (r *Relay) Run(ctx context.Context, a event.Arrival, p Payload, w Writer) Result {
	replyID, q := r.Directory.addHandler()
	a.ReplyID = replyID
	rq := &request{relay: r, ctx: ctx, payload: p, writer: w, resumePosition: a.ResumePosition, progress: progress{text: &strings.Builder{}}}
	defer func() { r.Directory.removeHandler(replyID, rq.id) }()
	r.Post(a)
	done := ctx.Done()
	for rq.result == nil {
		select {
		case <-q.ready:
			rq.handleAll(q.popAll())
		case <-done:
			done = nil
			rq.disconnect()
		}
	}
	return *rq.result
}

// handleAll processes items in order. While a handover from the previous handler is pending, all
// other items are deferred. Items queued after an order to hand over are passed to the new
// handler unprocessed.
func (rq *request) handleAll(items []queueItem) {
	for i, it := range items {
		switch {
		case it.handover != nil:
			rq.receiveHandover(it.handover, items[i+1:])
			return
		case rq.awaitingHandover:
			rq.deferred = append(rq.deferred, it)
		case it.handOverTo != nil:
			rq.sendHandover(it.handOverTo, items[i+1:])
			return
		default:
			rq.handle(it)
		}
	}
}

// sendHandover passes the request to another handler and ends this one, whose caller has
// disconnected.
func (rq *request) sendHandover(to *queue, remaining []queueItem) {
	to.push(queueItem{handover: &handoverState{payload: rq.payload, progress: rq.progress, remaining: remaining}})
	rq.progress.span = nil
	rq.result = &Result{Request: rq.id, Outcome: table.Outcome{
		Code: table.CodeCancelled, Reason: "the caller came back with another connection", Ran: table.RanUnknown,
	}}
}

// receiveHandover continues a request that another handler started. It first sends the text
// beyond the caller's resume position.
func (rq *request) receiveHandover(state *handoverState, newer []queueItem) {
	rq.awaitingHandover = false
	rq.payload, rq.progress = state.payload, state.progress
	if rq.deliveredTokens > rq.resumePosition && !rq.disconnected {
		start := rq.chunkStartAt(rq.resumePosition)
		rq.handleWriteError(rq.writer.Chunk(start.position, rq.deliveredTokens-start.position, rq.text.String()[start.offset:]))
	}
	items := slices.Concat(state.remaining, rq.deferred, newer)
	rq.deferred = nil
	rq.handleAll(items)
}

// chunkStartAt returns the start of the chunk that contains a position.
func (p *progress) chunkStartAt(position table.Tokens) chunkStart {
	for i := len(p.chunkStarts) - 1; i >= 0; i-- {
		if p.chunkStarts[i].position <= position {
			return p.chunkStarts[i]
		}
	}
	return chunkStart{}
}

func (rq *request) handle(it queueItem) {
	switch {
	case it.accept != nil:
		rq.accept(it.accept)
	case it.dispatch != nil:
		rq.dispatch(it.dispatch)
	case it.chunk != nil:
		rq.chunk(it.chunk)
	case it.end != nil:
		rq.end(it.end)
	case it.reply != nil:
		rq.finish(it.reply)
	}
}

// accept stores the request id. A caller that disconnected before it was known is reported now.
func (rq *request) accept(c *command.Accept) {
	rq.id = c.Request
	rq.awaitingHandover = c.Attach
	if rq.disconnected {
		rq.relay.Post(event.CallerDisconnect{Request: rq.id})
		return
	}
	rq.handleWriteError(rq.writer.Started(rq.id))
}

// disconnect records and reports that the caller has disconnected.
func (rq *request) disconnect() {
	if rq.disconnected {
		return
	}
	rq.disconnected = true
	if rq.id != "" {
		rq.relay.Post(event.CallerDisconnect{Request: rq.id})
	}
}

func (rq *request) handleWriteError(err error) {
	if err != nil {
		rq.disconnect()
	}
}

// dispatch starts an attempt: it adds the payload and sends it to the agent.
func (rq *request) dispatch(c *command.Dispatch) {
	rq.endSpan("")
	rq.attempt = c.Attempt
	ctx, span := rq.relay.Tracer.Start(rq.ctx, "router.attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(
			attribute.String("endpoint", string(c.Endpoint)),
			attribute.String("agent", string(c.To.Process)),
			attribute.Int("attempt", int(c.Attempt)),
		))
	rq.span = span
	m := rq.dispatchMessage(c)
	m.TraceParent = traceParent(ctx)
	if err := rq.relay.Send(c.To, m); err != nil {
		rq.reportEnd(event.AttemptEnd{Status: event.AttemptRejected, Code: table.CodeNoEndpoint,
			Reason: "no session with the agent", Ran: table.NotRun})
	}
}

// dispatchMessage builds the message of an attempt that continues after the delivered text. The
// prompt is left out if the agent only has to replay a kept answer.
func (rq *request) dispatchMessage(c *command.Dispatch) *wire.Dispatch {
	m := &wire.Dispatch{Dispatch: c.Dispatch}
	m.StartPosition = rq.deliveredTokens
	m.Prefix = rq.text.String()
	if !c.ReplayOnly {
		m.Prompt, m.Body = rq.payload.Prompt, rq.payload.Body
	}
	return m
}

// traceParent returns the W3C traceparent value of the span in ctx.
func traceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier["traceparent"]
}

// chunk forwards text that continues the answer. Chunks of other attempts and text that was
// delivered before are dropped; a gap ends the attempt as broken.
func (rq *request) chunk(c *wire.Chunk) {
	if c.Attempt != rq.attempt || c.Position+c.Tokens <= rq.deliveredTokens {
		return
	}
	if c.Position != rq.deliveredTokens {
		rq.failAttempt("chunk does not continue the answer")
		return
	}
	first := rq.deliveredTokens == 0
	rq.chunkStarts = append(rq.chunkStarts, chunkStart{position: c.Position, offset: rq.text.Len()})
	rq.text.WriteString(c.Text)
	rq.deliveredTokens += c.Tokens
	if rq.deliveredTokens > rq.resumePosition && !rq.disconnected {
		rq.handleWriteError(rq.writer.Chunk(c.Position, c.Tokens, c.Text))
	}
	if first {
		rq.relay.Post(event.FirstToken{Request: rq.id, Attempt: rq.attempt})
	}
	if rq.deliveredTokens-rq.reportedTokens >= progressInterval {
		rq.reportedTokens = rq.deliveredTokens
		rq.relay.Post(event.AttemptProgress{Request: rq.id, Attempt: rq.attempt, DeliveredTokens: rq.deliveredTokens})
	}
}

// end reports the end of the current attempt. A successful attempt whose length or checksum
// doesn't match the delivered answer is reported as broken.
func (rq *request) end(e *wire.End) {
	if e.Attempt != rq.attempt {
		return
	}
	if e.Status == event.AttemptDone && !rq.isComplete(e) {
		rq.failAttempt("answer does not match its length and checksum")
		return
	}
	if e.Status == event.AttemptDone {
		rq.responseBody = e.Body
	}
	rq.reportEnd(event.AttemptEnd{
		Status: e.Status, Code: e.Code, Reason: e.Reason, Ran: e.Ran, PromptTokens: e.PromptTokens,
		Replayed: e.Replayed, Cost: e.Cost, AgentInFlight: e.InFlight,
	})
}

// isComplete reports whether the delivered answer has the length and checksum stated by e.
func (rq *request) isComplete(e *wire.End) bool {
	if e.Body != nil {
		return xxhash.Sum64(e.Body) == e.Checksum
	}
	return e.Position == rq.deliveredTokens && e.Checksum == xxhash.Sum64String(rq.text.String())
}

// failAttempt reports the current attempt as broken.
func (rq *request) failAttempt(reason string) {
	rq.reportEnd(event.AttemptEnd{Status: event.AttemptBroken, Code: table.CodeEndpointFailed, Reason: reason, Ran: table.DidRun})
}

// reportEnd posts the end of the current attempt. Messages of it that arrive later are dropped.
func (rq *request) reportEnd(e event.AttemptEnd) {
	e.Request, e.Attempt, e.DeliveredTokens = rq.id, rq.attempt, rq.deliveredTokens
	rq.attempt = 0
	rq.endSpan(e.Reason)
	rq.relay.Post(e)
}

// endSpan ends the span of the current attempt, as failed if reason is not empty.
func (rq *request) endSpan(reason string) {
	if rq.span == nil {
		return
	}
	if reason != "" {
		rq.span.SetStatus(codes.Error, reason)
	}
	rq.span.SetAttributes(attribute.Int64("delivered", int64(rq.deliveredTokens)))
	rq.span.End()
	rq.span = nil
}

// finish sets the result, which ends Run.
func (rq *request) finish(c *command.Reply) {
	rq.endSpan("")
	rq.result = &Result{
		Request: c.Request, Outcome: c.Outcome, Checksum: xxhash.Sum64String(rq.text.String()), Body: rq.responseBody,
	}
}
