package fake_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/fake"
	"laburnumroad.dev/laburnumroad/internal/traffic/engine"
)

func startEngine(t *testing.T, cfg fake.EngineConfig) (*engine.Client, *fake.Engine, string) {
	e := fake.NewEngine(cfg)
	url := serve(t, e, e.Close)
	return engine.New(url, engine.Options{}), e, url
}

// run is what a stream gave up to its end.
type run struct {
	text   string
	tokens int64
	prompt int64
	err    error
}

func request(prompt string) engine.GenerateRequest {
	return engine.GenerateRequest{Prompt: prompt, MaxTotalTokens: 1 << 20, MaxOutputTokens: 1 << 20}
}

func drain(s *engine.Stream) run {
	var r run
	for {
		d, err := s.Next()
		if err != nil {
			r.err = err
			return r
		}
		r.text += d.Text
		r.tokens += d.Tokens
		if d.Done {
			r.prompt = d.PromptTokens
			return r
		}
	}
}

func generate(t require.TestingT, c *engine.Client, req engine.GenerateRequest) run {
	s, err := c.Generate(context.Background(), req)
	require.NoError(t, err)
	defer s.Close()
	return drain(s)
}

func begin(t *testing.T, c *engine.Client, req engine.GenerateRequest) *engine.Stream {
	s, err := c.Generate(t.Context(), req)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

// Guards against an answer that changes or repeats text where another engine
// continues it, and against a run that exceeds its token limits.
func TestContinuationGivesTheSameAnswerWithinLimits(t *testing.T) {
	first, _, _ := startEngine(t, fake.EngineConfig{})
	second, _, _ := startEngine(t, fake.EngineConfig{})
	rapid.Check(t, func(rt *rapid.T) {
		length := rapid.Int64Range(0, 30).Draw(rt, "length")
		req := request(fmt.Sprintf("review clip tokens=%d", length))
		req.MaxTotalTokens = rapid.Int64Range(3, 40).Draw(rt, "total")
		req.MaxOutputTokens = rapid.Int64Range(0, 40).Draw(rt, "output")
		want := min(length, req.MaxOutputTokens, req.MaxTotalTokens-3)

		whole := generate(rt, first, req)
		require.NoError(rt, whole.err)
		require.Equal(rt, want, whole.tokens)
		require.EqualValues(rt, 3, whole.prompt)
		require.Equal(rt, fake.Answer(req.Prompt, want), whole.text)

		delivered := rapid.Int64Range(0, want).Draw(rt, "delivered")
		req.Prefix = fake.Answer(req.Prompt, delivered)
		rest := generate(rt, second, req)
		require.NoError(rt, rest.err)
		require.Equal(rt, whole.text, req.Prefix+rest.text)
		require.Equal(rt, want-delivered, rest.tokens)
	})
}

// Guards against a prompt over the limit that runs.
func TestPromptOverLimitIsRefused(t *testing.T) {
	c, _, _ := startEngine(t, fake.EngineConfig{})
	req := request("one two three")
	req.MaxTotalTokens = 2
	_, err := c.Generate(t.Context(), req)
	require.ErrorIs(t, err, engine.ErrPromptTooLong)
	req.MaxTotalTokens, req.Prefix = 4, "four five"
	_, err = c.Generate(t.Context(), req)
	require.ErrorIs(t, err, engine.ErrPromptTooLong)
}

// Guards against an engine that ends an answer early and a client that takes
// it for whole.
func TestTruncatedAnswerIsNotWhole(t *testing.T) {
	c, e, _ := startEngine(t, fake.EngineConfig{})
	e.SetFaults(fake.EngineFaults{TruncateAfter: 3})
	got := generate(t, c, request("tokens=5"))
	require.ErrorIs(t, got.err, engine.ErrTruncated)
	require.Equal(t, fake.Answer("tokens=5", 3), got.text)
	got = generate(t, c, request("tokens=3"))
	require.ErrorIs(t, got.err, engine.ErrTruncated)
}

// Guards against a token pace that ignores the number of active streams, the
// prompt or the slow-down factor.
func TestPaceFallsWithActiveStreams(t *testing.T) {
	clock := fake.NewManualClock()
	cfg := fake.EngineConfig{Pace: 10 * time.Millisecond, PrefillPace: time.Millisecond, Batch: 2, MaxActive: 8, Clock: clock}
	c, e, _ := startEngine(t, cfg)
	pending := func(want int64) {
		l, err := c.Load(t.Context())
		require.NoError(t, err)
		require.Equal(t, want, l.PendingTokens)
	}
	begin(t, c, request("tokens=100"))
	clock.Advance(11 * time.Millisecond)
	pending(99)
	clock.Advance(100 * time.Millisecond)
	pending(89)
	for range 3 {
		begin(t, c, request("tokens=100"))
	}
	// The first stream's next token keeps its time of 10 ms; the new streams
	// need 1 ms for the prompt and 15 or 20 ms for the first token.
	clock.Advance(10 * time.Millisecond)
	pending(388)
	clock.Advance(20 * time.Millisecond)
	pending(384)
	clock.Advance(200 * time.Millisecond)
	pending(344)
	e.SetFaults(fake.EngineFaults{SlowFactor: 5})
	clock.Advance(20 * time.Millisecond)
	pending(340)
	clock.Advance(80 * time.Millisecond)
	pending(340)
	clock.Advance(20 * time.Millisecond)
	pending(336)
}

// Guards against long work that a higher priority cannot overtake in the
// engine's queue, and against a cancelled run that keeps its place.
func TestPriorityAndCancelInQueue(t *testing.T) {
	clock := fake.NewManualClock()
	c, _, _ := startEngine(t, fake.EngineConfig{Pace: time.Millisecond, MaxActive: 1, Clock: clock})
	running := begin(t, c, request("tokens=1000"))
	low := begin(t, c, request("low tokens=1"))
	high := request("high tokens=1")
	high.Priority = 1
	first := begin(t, c, high)
	running.Close()
	awaitLoad(t, c, 1, 1)
	clock.Advance(time.Millisecond)
	require.NoError(t, drain(first).err)
	clock.Advance(time.Millisecond)
	require.NoError(t, drain(low).err)
}

// maxPolls and pollPause bound the wait for a state that no call can await.
const (
	maxPolls  = 10_000
	pollPause = 2 * time.Millisecond
)

// awaitLoad reads load reports until one shows the given load. The engine
// learns of a closed connection at a time of its own.
func awaitLoad(t *testing.T, c *engine.Client, active, queued int) {
	for range maxPolls {
		time.Sleep(pollPause)
		l, err := c.Load(t.Context())
		require.NoError(t, err)
		if l.Active == active && l.Queued == queued {
			return
		}
	}
	t.Fatalf("the load never was %d active and %d queued", active, queued)
}

// Guards against a load report without lag, which would hide what routers see.
func TestLoadReportLags(t *testing.T) {
	clock := fake.NewManualClock()
	cfg := fake.EngineConfig{Pace: time.Hour, MaxActive: 1, LoadLag: 2 * time.Second, Clock: clock}
	c, _, _ := startEngine(t, cfg)
	load := func() engine.Load {
		l, err := c.Load(t.Context())
		require.NoError(t, err)
		return l
	}
	begin(t, c, request("tokens=5"))
	clock.Advance(time.Second)
	begin(t, c, request("tokens=7"))
	require.Equal(t, engine.Load{Age: 2 * time.Second}, load())
	clock.Advance(time.Second)
	require.Equal(t, engine.Load{Active: 1, PendingTokens: 5, Age: 2 * time.Second}, load())
	clock.Advance(time.Second)
	require.Equal(t, engine.Load{Active: 1, Queued: 1, PendingTokens: 12, Age: 2 * time.Second}, load())
}

// Guards against a crash that spares other streams, that looks like the end of
// a whole answer, or that never ends.
func TestMarkedRequestCrashesEngine(t *testing.T) {
	clock := fake.NewManualClock()
	cfg := fake.EngineConfig{
		Pace: time.Millisecond, MaxActive: 2, CrashMarker: "poison", ReviveAfter: time.Second, Clock: clock,
	}
	c, e, _ := startEngine(t, cfg)
	bystander := begin(t, c, request("tokens=100"))
	clock.Advance(2 * time.Millisecond)
	marked := begin(t, c, request("some poison here"))
	for _, s := range []*engine.Stream{bystander, marked} {
		got := drain(s)
		require.ErrorIs(t, got.err, engine.ErrTruncated)
		require.ErrorIs(t, got.err, engine.ErrUnavailable)
	}
	_, err := c.Generate(t.Context(), request("hello"))
	require.ErrorIs(t, err, engine.ErrUnavailable)
	_, err = c.Load(t.Context())
	require.ErrorIs(t, err, engine.ErrUnavailable)

	clock.Advance(time.Second)
	require.NoError(t, e.AwaitDown(t.Context(), false))
	s := begin(t, c, request("tokens=1"))
	clock.Advance(time.Millisecond)
	require.NoError(t, drain(s).err)
}

// Guards against an engine that runs work of a fenced router, and against a
// check in deployments that have none.
func TestOldFencingNumberIsRefused(t *testing.T) {
	for _, check := range []bool{true, false} {
		c, _, _ := startEngine(t, fake.EngineConfig{CheckFence: check})
		req := request("tokens=1")
		req.FencingToken = 7
		require.NoError(t, generate(t, c, req).err)
		require.NoError(t, generate(t, c, req).err)
		req.FencingToken = 6
		s, err := c.Generate(t.Context(), req)
		if check {
			require.ErrorIs(t, err, engine.ErrNotRun)
			continue
		}
		require.NoError(t, err)
		s.Close()
	}
}

// Guards against admin endpoints that do nothing.
func TestEngineAdminEndpoints(t *testing.T) {
	c, e, url := startEngine(t, fake.EngineConfig{})
	post(t, url+"/admin/crash", "")
	require.NoError(t, e.AwaitDown(t.Context(), true))
	_, err := c.Generate(t.Context(), request("tokens=2"))
	require.ErrorIs(t, err, engine.ErrUnavailable)
	post(t, url+"/admin/revive", "")
	post(t, url+"/admin/faults", `{"truncate_after":1}`)
	require.ErrorIs(t, generate(t, c, request("tokens=2")).err, engine.ErrTruncated)
}

// Guards against malformed requests that run or crash the engine.
func TestMalformedRequestIsNotRun(t *testing.T) {
	_, _, url := startEngine(t, fake.EngineConfig{})
	for _, body := range []string{"", "[", `{"max_total_tokens":"x"}`, strings.Repeat("a", 3<<20)} {
		resp, err := http.Post(url+"/v1/generate", "application/json", strings.NewReader(body))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, "not_run", resp.Header.Get("Refusal"))
	}
}
