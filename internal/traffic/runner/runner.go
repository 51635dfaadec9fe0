package runner

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/engine"
	"laburnumroad.dev/laburnumroad/internal/traffic/wire"
)

// progressInterval is the number of output tokens between two progress events.
const progressInterval = 64

// healthInterval is the time between two load requests to an endpoint.
const healthInterval = time.Second

// healthTimeout is the time limit of a load request. An endpoint that exceeds it is reported as
// down.
const healthTimeout = 2 * time.Second

// dispatchKey identifies a dispatch that waits for the control thread's decision.
type dispatchKey struct {
	session uint64
	request table.RequestID
	attempt uint32
}

// pendingDispatch is a received dispatch and the session that its answer goes to.
type pendingDispatch struct {
	sender   Sender
	dispatch wire.Dispatch
}

// Runner executes the commands of an agent's control thread.
type Runner struct {
	// Post queues an event for the control thread.
	Post   func(event.Event)
	Tracer trace.Tracer
	// Engines are the clients of the agent's endpoints.
	Engines map[table.EndpointID]*engine.Client

	mu          sync.Mutex
	pending     map[dispatchKey]pendingDispatch
	answers     map[table.RequestID]*answer
	cancelFuncs map[table.RequestID]context.CancelFunc
}

// New returns a runner for the given endpoints.
func New(post func(event.Event), tracer trace.Tracer, engines map[table.EndpointID]*engine.Client) *Runner {
	return &Runner{
		Post: post, Tracer: tracer, Engines: engines,
		pending:     map[dispatchKey]pendingDispatch{},
		answers:     map[table.RequestID]*answer{},
		cancelFuncs: map[table.RequestID]context.CancelFunc{},
	}
}

// ReceiveDispatch stores a dispatch with its payload and posts it. The control thread replies with
// StartRun, Reject or Replay.
func (r *Runner) ReceiveDispatch(sessionID uint64, from table.Holder, sender Sender, d wire.Dispatch) {
	d.Session, d.Holder = sessionID, from
	r.mu.Lock()
	r.pending[dispatchKey{sessionID, d.Request, d.Attempt}] = pendingDispatch{sender: sender, dispatch: d}
	r.mu.Unlock()
	r.Post(d.Dispatch)
}

// takePending removes and returns a dispatch that waits for a decision.
func (r *Runner) takePending(session uint64, id table.RequestID, attempt uint32) (pendingDispatch, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := dispatchKey{session, id, attempt}
	p, ok := r.pending[key]
	delete(r.pending, key)
	return p, ok
}

// StartRun starts the run of a pending dispatch. If the dispatch is gone because its session was
// closed, it posts a RunEnd with status RunNotRun instead.
func (r *Runner) StartRun(c command.Run) {
	p, ok := r.takePending(c.Session, c.Request, c.Attempt)
	if !ok {
		r.Post(event.RunEnd{Request: c.Request, Attempt: c.Attempt, Status: event.RunNotRun, Code: table.CodeEndpointFailed})
		return
	}
	a := newAnswer(c.Request, p.dispatch.Prefix, p.dispatch.StartPosition)
	a.subscribe(subscriber{sender: p.sender, attempt: c.Attempt}, p.dispatch.StartPosition)
	parent := propagation.TraceContext{}.Extract(context.Background(), propagation.MapCarrier{"traceparent": p.dispatch.TraceParent})
	ctx, cancel := context.WithCancel(parent)
	r.mu.Lock()
	r.answers[c.Request] = a
	r.cancelFuncs[c.Request] = cancel
	r.mu.Unlock()
	go r.run(ctx, cancel, c, p.dispatch, a)
}

// Reject ends a pending dispatch without running it.
func (r *Runner) Reject(c command.Reject) {
	p, ok := r.takePending(c.Session, c.Request, c.Attempt)
	if !ok {
		return
	}
	subscriber{sender: p.sender, attempt: c.Attempt}.finish(wire.End{
		Request: c.Request, Status: event.AttemptRejected, Code: c.Code, Reason: c.Reason, Ran: c.Ran, InFlight: c.InFlight,
	})
}

// Replay subscribes a pending dispatch to a kept answer or to that of a run in progress.
func (r *Runner) Replay(c command.Replay) {
	p, ok := r.takePending(c.Session, c.Request, c.Attempt)
	if !ok {
		return
	}
	r.mu.Lock()
	a := r.answers[c.Request]
	r.mu.Unlock()
	if a == nil {
		subscriber{sender: p.sender, attempt: c.Attempt}.finish(wire.End{
			Request: c.Request, Status: event.AttemptRejected, Code: table.CodeKeyLost,
			Reason: "the answer is no longer kept", Ran: table.RanUnknown,
		})
		return
	}
	a.subscribe(subscriber{sender: p.sender, attempt: c.Attempt, replay: !c.SameCall}, c.FromPosition)
}

// StopRun cancels a run in progress.
func (r *Runner) StopRun(c command.StopRun) {
	r.mu.Lock()
	cancel := r.cancelFuncs[c.Request]
	r.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// FreeAnswer discards a kept answer.
func (r *Runner) FreeAnswer(c command.FreeAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.answers, c.Request)
}

// SessionClosed discards the pending dispatches of a closed session.
func (r *Runner) SessionClosed(session uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.pending {
		if k.session == session {
			delete(r.pending, k)
		}
	}
}

// run executes a request and reports its end.
func (r *Runner) run(ctx context.Context, cancel context.CancelFunc, c command.Run, d wire.Dispatch, a *answer) {
	ctx, span := r.Tracer.Start(ctx, "agent.run", trace.WithAttributes(
		attribute.String("endpoint", string(c.Endpoint)), attribute.Int("attempt", int(c.Attempt))))
	meter := newLatencyMeter()
	end, err := r.execute(ctx, c, d, a, meter)
	if errors.Is(err, engine.ErrUnavailable) {
		// Posted before RunEnd, so that the crash is counted against all runs that were in
		// progress, including this one.
		r.Post(event.EngineReport{Endpoint: c.Endpoint, Up: false})
	}
	r.mu.Lock()
	delete(r.cancelFuncs, c.Request)
	r.mu.Unlock()
	cancel()
	if end.Status != event.AttemptDone {
		span.SetStatus(codes.Error, end.Reason)
	}
	span.SetAttributes(attribute.Int64("output_tokens", int64(a.position-d.StartPosition)))
	span.End()
	r.Post(event.RunEnd{
		Request: c.Request, Attempt: c.Attempt, Status: runStatus(end), Code: end.Code,
		PromptTokens: end.PromptTokens, OutputTokens: a.position - d.StartPosition, Latency: meter.sample(a.position - d.StartPosition),
	})
	a.finish(end)
}

// execute runs the request and returns its end. The error is that of a failed run, for which the
// end is set as well.
func (r *Runner) execute(ctx context.Context, c command.Run, d wire.Dispatch, a *answer, meter *latencyMeter) (wire.End, error) {
	var end wire.End
	var err error
	if c.Kind == table.ServiceModel {
		end, err = r.generate(ctx, c, d, a, meter)
	} else {
		end, err = r.callService(ctx, c, d)
	}
	if err != nil {
		end = failedEnd(ctx, err, end.PromptTokens)
	}
	return end, err
}

// runStatus converts the status of an attempt to that of its run.
func runStatus(e wire.End) event.RunStatus {
	switch e.Status {
	case event.AttemptDone:
		return event.RunDone
	case event.AttemptRejected:
		return event.RunNotRun
	case event.AttemptCancelled:
		return event.RunCancelled
	default:
		return event.RunBroken
	}
}

// generate runs the request at a model engine.
func (r *Runner) generate(ctx context.Context, c command.Run, d wire.Dispatch, a *answer, meter *latencyMeter) (wire.End, error) {
	ctx, span := r.Tracer.Start(ctx, "engine.generate", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	stream, err := r.Engines[c.Endpoint].Generate(ctx, engine.GenerateRequest{
		RequestID: string(c.Request), Attempt: c.Attempt, Prompt: d.Prompt, Prefix: d.Prefix,
		MaxTotalTokens: int64(c.ChargeLimit), MaxOutputTokens: int64(c.StartPosition + c.MaxOutput), Priority: c.Priority, FencingToken: c.FencingToken,
	})
	if err != nil {
		return wire.End{}, err
	}
	defer stream.Close()
	return r.copyStream(c, a, stream, meter)
}

// copyStream appends the engine's output to the answer. With an error, only PromptTokens of the
// returned end is set.
func (r *Runner) copyStream(c command.Run, a *answer, stream *engine.Stream, meter *latencyMeter) (wire.End, error) {
	var promptTokens, reportedTokens table.Tokens
	startPosition := a.position
	for {
		delta, err := stream.Next()
		if err != nil {
			return wire.End{PromptTokens: promptTokens}, err
		}
		if delta.PromptTokens > 0 {
			promptTokens = table.Tokens(delta.PromptTokens)
		}
		if delta.Tokens > 0 {
			a.append(table.Tokens(delta.Tokens), delta.Text)
			meter.recordOutput(a.position - startPosition)
		}
		if delta.Done {
			return wire.End{Status: event.AttemptDone, Ran: table.DidRun, PromptTokens: promptTokens}, nil
		}
		if output := a.position - startPosition; output-reportedTokens >= progressInterval {
			reportedTokens = output
			r.Post(event.RunProgress{Request: c.Request, PromptTokens: promptTokens, OutputTokens: output, Latency: meter.sample(output)})
		}
	}
}

// callService runs the request at a plain service.
func (r *Runner) callService(ctx context.Context, c command.Run, d wire.Dispatch) (wire.End, error) {
	ctx, span := r.Tracer.Start(ctx, "service.call", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	response, err := r.Engines[c.Endpoint].Call(ctx, engine.CallRequest{Operation: c.Operation, Key: string(c.Request), Body: d.Body})
	if err != nil {
		return wire.End{}, err
	}
	body := response.Body
	if body == nil {
		body = []byte{}
	}
	return wire.End{Status: event.AttemptDone, Ran: table.DidRun, Cost: c.ChargeLimit, Body: body}, nil
}

// failedEnd returns the end of a failed run. Ran says whether the request certainly ran,
// certainly didn't run, or may have run.
func failedEnd(ctx context.Context, err error, promptTokens table.Tokens) wire.End {
	end := wire.End{Status: event.AttemptBroken, Code: table.CodeEndpointFailed, Reason: callerReason(err), Ran: table.RanUnknown, PromptTokens: promptTokens}
	switch {
	case errors.Is(err, engine.ErrPromptTooLong):
		end.Status, end.Code, end.Ran = event.AttemptRejected, table.CodePromptTooLong, table.NotRun
	case errors.Is(err, engine.ErrNotRun):
		end.Status, end.Ran = event.AttemptRejected, table.NotRun
	case ctx.Err() != nil:
		end.Status, end.Code, end.Ran = event.AttemptCancelled, table.CodeCancelled, table.DidRun
	case promptTokens > 0:
		end.Ran = table.DidRun
	}
	return end
}

// callerReason returns the reason that callers receive. It contains no address or payload, unlike
// the error.
func callerReason(err error) string {
	switch {
	case errors.Is(err, engine.ErrPromptTooLong):
		return "the prompt exceeds the reservation"
	case errors.Is(err, engine.ErrNotRun):
		return "the endpoint did not take the request"
	case errors.Is(err, engine.ErrTruncated):
		return "the endpoint's answer was truncated"
	default:
		return "the endpoint failed"
	}
}

// PollHealth requests and posts the load of an endpoint every healthInterval until ctx is done.
func (r *Runner) PollHealth(ctx context.Context, id table.EndpointID, c *engine.Client) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		r.postHealth(ctx, id, c)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// postHealth posts the load of an endpoint and whether it answered.
func (r *Runner) postHealth(ctx context.Context, id table.EndpointID, c *engine.Client) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	load, err := c.Load(ctx)
	r.Post(event.EngineReport{
		Endpoint: id, Up: err == nil, ReportTokens: table.Tokens(load.PendingTokens), ReportAge: load.Age,
	})
}
