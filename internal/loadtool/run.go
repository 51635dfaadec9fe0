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

// Run sends the plan's requests and returns what it measured. It ends after the
// plan's duration and the timeout of the last requests.
func Run(ctx context.Context, p *Plan) (*Result, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	s := newState(p)
	t := newTraffic(p)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !s.done() {
		select {
		case <-ctx.Done():
			return &s.result, ctx.Err()
		case e := <-t.ends:
			s.inbox = append(s.inbox, e)
			t.drain(s)
		case <-timer.C:
		}
		s.tick(time.Since(t.start))
		for _, c := range s.outbox {
			go t.send(ctx, c)
		}
		s.outbox = s.outbox[:0]
		timer.Reset(s.wait())
	}
	return &s.result, nil
}

// traffic carries out requests. Each request has a goroutine, which ends within
// the plan's timeout.
type traffic struct {
	plan    *Plan
	start   time.Time
	prompt  string
	clients map[string]laburnumroadv1connect.CallerServiceClient
	ends    chan ended
}

func newTraffic(p *Plan) *traffic {
	transport := &http.Transport{MaxIdleConnsPerHost: p.MaxOpen}
	t := &traffic{
		plan: p, start: time.Now(), prompt: strings.Repeat("prompt ", p.PromptBytes/7+1)[:p.PromptBytes],
		clients: map[string]laburnumroadv1connect.CallerServiceClient{}, ends: make(chan ended, p.MaxOpen),
	}
	for _, url := range p.Callers {
		t.clients[url] = laburnumroadv1connect.NewCallerServiceClient(&http.Client{Transport: transport}, url)
	}
	return t
}

// drain moves all waiting events to the inbox.
func (t *traffic) drain(s *state) {
	for {
		select {
		case e := <-t.ends:
			s.inbox = append(s.inbox, e)
		default:
			return
		}
	}
}

func (t *traffic) send(ctx context.Context, c call) {
	ctx, cancel := context.WithTimeout(ctx, t.plan.Timeout)
	defer cancel()
	e := ended{call: c.id}
	var err error
	if c.plain {
		err = t.call(ctx, c)
	} else {
		err = t.generate(ctx, c, &e)
	}
	e.took = time.Since(t.start) - c.due
	if err != nil {
		e.code = codeOf(err)
	}
	// The channel holds an event of each open request.
	t.ends <- e
}

func (t *traffic) call(ctx context.Context, c call) error {
	_, err := t.clients[c.caller].Call(ctx, withKey(t.plan.Key, &pb.CallRequest{
		Service: c.service, Budget: c.budget, Operation: t.plan.Operation, Body: []byte(`{"class":"load"}`),
	}))
	return err
}

func (t *traffic) generate(ctx context.Context, c call, e *ended) error {
	stream, err := t.clients[c.caller].Generate(ctx, withKey(t.plan.Key, &pb.GenerateRequest{
		Service: c.service, Budget: c.budget, Prompt: t.prompt, MaxOutputTokens: t.plan.OutputTokens,
	}))
	if err != nil {
		return err
	}
	defer stream.Close()
	whole := false
	last := time.Duration(0)
	for stream.Receive() {
		switch m := stream.Msg().Event.(type) {
		case *pb.GenerateResponse_Chunk:
			now := time.Since(t.start)
			e.token(c, now, last, m.Chunk.Tokens)
			last = now
		case *pb.GenerateResponse_Finished:
			whole = true
		}
	}
	if stream.Err() == nil && !whole {
		return errTruncated
	}
	return stream.Err()
}

// token notes the arrival of a chunk.
func (e *ended) token(c call, now, last time.Duration, tokens int64) {
	e.tokens += tokens
	if last == 0 {
		e.firstToken = now - c.due
		return
	}
	e.gaps = append(e.gaps, now-last)
}

// errTruncated is the end of a stream without its end marker.
var errTruncated = errors.New("the stream has no end marker")

// codeOf returns the refusal's code, or that of the transport.
func codeOf(err error) string {
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

func withKey[T any](key string, m *T) *connect.Request[T] {
	r := connect.NewRequest(m)
	r.Header().Set("Authorization", "Bearer "+key)
	return r
}
