package loadtool

import (
	"context"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	pb "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
	"laburnumroad.dev/laburnumroad/gen/laburnumroad/v1/laburnumroadv1connect"
)

// Run sends the requests of the plan and returns the measurements. It returns at the
// latest when the plan's duration and the timeout of the last requests have passed.
func Run(ctx context.Context, p *Plan) (*Result, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	st := newState(p)
	s := newSender(p)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !st.done() {
		select {
		case <-ctx.Done():
			return &st.result, ctx.Err()
		case e := <-s.completions:
			st.inbox = append(st.inbox, e)
			s.receivePending(st)
		case <-timer.C:
		}
		st.tick(time.Since(s.start))
		for _, req := range st.outbox {
			go s.send(ctx, req)
		}
		st.outbox = st.outbox[:0]
		timer.Reset(st.untilNextRequest())
	}
	return &st.result, nil
}

// sender sends requests. Each request runs on its own goroutine, which ends within the
// plan's timeout.
type sender struct {
	plan        *Plan
	start       time.Time
	prompt      string
	clients     map[string]laburnumroadv1connect.CallerServiceClient
	completions chan completion
}

func newSender(p *Plan) *sender {
	transport := &http.Transport{MaxIdleConnsPerHost: p.MaxOpen}
	s := &sender{
		plan: p, start: time.Now(), prompt: strings.Repeat("prompt ", p.PromptBytes/7+1)[:p.PromptBytes],
		clients: map[string]laburnumroadv1connect.CallerServiceClient{}, completions: make(chan completion, p.MaxOpen),
	}
	for _, url := range p.CallerURLs {
		s.clients[url] = laburnumroadv1connect.NewCallerServiceClient(&http.Client{Transport: transport}, url)
	}
	return s
}

// receivePending moves all buffered completions to the inbox without blocking.
func (s *sender) receivePending(st *state) {
	for {
		select {
		case e := <-s.completions:
			st.inbox = append(st.inbox, e)
		default:
			return
		}
	}
}

func (s *sender) send(ctx context.Context, req request) {
	ctx, cancel := context.WithTimeout(ctx, s.plan.Timeout)
	defer cancel()
	e := completion{request: req.id}
	var err error
	if req.isCall {
		err = s.call(ctx, req)
	} else {
		err = s.generate(ctx, req, &e)
	}
	e.latency = time.Since(s.start) - req.due
	if err != nil {
		e.code = errorCode(err)
	}
	// The send does not block: the buffer has room for MaxOpen completions.
	s.completions <- e
}

func (s *sender) call(ctx context.Context, req request) error {
	_, err := s.clients[req.callerURL].Call(ctx, withAPIKey(s.plan.APIKey, &pb.CallRequest{
		Service: req.service, Budget: req.budget, Operation: s.plan.Operation, Body: []byte(`{"class":"load"}`),
	}))
	return err
}

func (s *sender) generate(ctx context.Context, req request, e *completion) error {
	stream, err := s.clients[req.callerURL].Generate(ctx, withAPIKey(s.plan.APIKey, &pb.GenerateRequest{
		Service: req.service, Budget: req.budget, Prompt: s.prompt, MaxOutputTokens: s.plan.MaxOutputTokens,
	}))
	if err != nil {
		return err
	}
	defer stream.Close()
	finished := false
	previous := time.Duration(0)
	for stream.Receive() {
		switch m := stream.Msg().Event.(type) {
		case *pb.GenerateResponse_Chunk:
			now := time.Since(s.start)
			e.recordChunk(req, now, previous, m.Chunk.Tokens)
			previous = now
		case *pb.GenerateResponse_Finished:
			finished = true
		}
	}
	if stream.Err() == nil && !finished {
		return errTruncated
	}
	return stream.Err()
}

// recordChunk adds a received chunk to the token count and the latencies. previous is
// the arrival time of the previous chunk, or 0 for the first one.
func (e *completion) recordChunk(req request, now, previous time.Duration, tokens int64) {
	e.tokens += tokens
	if previous == 0 {
		e.firstTokenLatency = now - req.due
		return
	}
	e.tokenIntervals = append(e.tokenIntervals, now-previous)
}

// errTruncated reports a stream that ended without its end marker.
var errTruncated = errors.New("the stream ended without its end marker")

// errorCode returns the code of the refusal in the error's details, or else the Connect
// code. Errors without either are counted as TRUNCATED or TRANSPORT.
func errorCode(err error) string {
	if errors.Is(err, errTruncated) {
		return "TRUNCATED"
	}
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return "TRANSPORT"
	}
	for _, d := range ce.Details() {
		v, err := d.Value()
		if err != nil {
			continue
		}
		if r, ok := v.(*pb.Refusal); ok {
			return r.Code
		}
	}
	return ce.Code().String()
}

func withAPIKey[T any](key string, m *T) *connect.Request[T] {
	r := connect.NewRequest(m)
	r.Header().Set("Authorization", "Bearer "+key)
	return r
}
