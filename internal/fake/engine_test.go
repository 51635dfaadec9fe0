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
	url := serveHTTP(t, e, e.Close)
	return engine.New(url, engine.Options{}), e, url
}

// streamResult is the content of a stream up to its end or first error.
type streamResult struct {
	text         string
	tokens       int64
	promptTokens int64
	err          error
}

func newRequest(prompt string) engine.GenerateRequest {
	return engine.GenerateRequest{Prompt: prompt, MaxTotalTokens: 1 << 20, MaxOutputTokens: 1 << 20}
}

func readStream(s *engine.Stream) streamResult {
	var result streamResult
	for {
		delta, err := s.Next()
		if err != nil {
			result.err = err
			return result
		}
		result.text += delta.Text
		result.tokens += delta.Tokens
		if delta.Done {
			result.promptTokens = delta.PromptTokens
			return result
		}
	}
}

func generate(t require.TestingT, c *engine.Client, req engine.GenerateRequest) streamResult {
	s, err := c.Generate(context.Background(), req)
	require.NoError(t, err)
	defer s.Close()
	return readStream(s)
}

func startStream(t *testing.T, c *engine.Client, req engine.GenerateRequest) *engine.Stream {
	s, err := c.Generate(t.Context(), req)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

// Guards against altered or repeated text when another engine continues an answer,
// and against a run that exceeds its token limits.
func TestContinuationYieldsSameAnswerWithinLimits(t *testing.T) {
	first, _, _ := startEngine(t, fake.EngineConfig{})
	second, _, _ := startEngine(t, fake.EngineConfig{})
	rapid.Check(t, func(rt *rapid.T) {
		length := rapid.Int64Range(0, 30).Draw(rt, "length")
		req := newRequest(fmt.Sprintf("review clip tokens=%d", length))
		req.MaxTotalTokens = rapid.Int64Range(3, 40).Draw(rt, "total")
		req.MaxOutputTokens = rapid.Int64Range(0, 40).Draw(rt, "output")
		want := min(length, req.MaxOutputTokens, req.MaxTotalTokens-3)

		full := generate(rt, first, req)
		require.NoError(rt, full.err)
		require.Equal(rt, want, full.tokens)
		require.EqualValues(rt, 3, full.promptTokens)
		require.Equal(rt, fake.Answer(req.Prompt, want), full.text)

		delivered := rapid.Int64Range(0, want).Draw(rt, "delivered")
		req.Prefix = fake.Answer(req.Prompt, delivered)
		rest := generate(rt, second, req)
		require.NoError(rt, rest.err)
		require.Equal(rt, full.text, req.Prefix+rest.text)
		require.Equal(rt, want-delivered, rest.tokens)
	})
}

// Guards against running a prompt that exceeds the token limit.
func TestPromptOverLimitIsRejected(t *testing.T) {
	c, _, _ := startEngine(t, fake.EngineConfig{})
	req := newRequest("one two three")
	req.MaxTotalTokens = 2
	_, err := c.Generate(t.Context(), req)
	require.ErrorIs(t, err, engine.ErrPromptTooLong)
	req.MaxTotalTokens, req.Prefix = 4, "four five"
	_, err = c.Generate(t.Context(), req)
	require.ErrorIs(t, err, engine.ErrPromptTooLong)
}

// Guards against a client that treats a truncated answer as complete.
func TestTruncatedAnswerIsIncomplete(t *testing.T) {
	c, e, _ := startEngine(t, fake.EngineConfig{})
	e.SetFaults(fake.EngineFaults{TruncateAfter: 3})
	got := generate(t, c, newRequest("tokens=5"))
	require.ErrorIs(t, got.err, engine.ErrTruncated)
	require.Equal(t, fake.Answer("tokens=5", 3), got.text)
	got = generate(t, c, newRequest("tokens=3"))
	require.ErrorIs(t, got.err, engine.ErrTruncated)
}

// Guards against a time per token that does not depend on the number of active
// streams or the slow factor, and against a prefill that ignores the prompt's length.
func TestTokenRateDropsWithActiveStreams(t *testing.T) {
	clock := fake.NewManualClock()
	cfg := fake.EngineConfig{TokenTime: 10 * time.Millisecond, PrefillTokenTime: time.Millisecond, BatchSize: 2, MaxActiveStreams: 8, Clock: clock}
	c, e, _ := startEngine(t, cfg)
	requirePending := func(want int64) {
		load, err := c.Load(t.Context())
		require.NoError(t, err)
		require.Equal(t, want, load.PendingTokens)
	}
	startStream(t, c, newRequest("tokens=100"))
	clock.Advance(11 * time.Millisecond)
	requirePending(99)
	clock.Advance(100 * time.Millisecond)
	requirePending(89)
	for range 3 {
		startStream(t, c, newRequest("tokens=100"))
	}
	// The first stream's next token is still due 10 ms after the last one. The new
	// streams need 1 ms for the prompt and 15 or 20 ms for the first token.
	clock.Advance(10 * time.Millisecond)
	requirePending(388)
	clock.Advance(20 * time.Millisecond)
	requirePending(384)
	clock.Advance(200 * time.Millisecond)
	requirePending(344)
	e.SetFaults(fake.EngineFaults{SlowFactor: 5})
	clock.Advance(20 * time.Millisecond)
	requirePending(340)
	clock.Advance(80 * time.Millisecond)
	requirePending(340)
	clock.Advance(20 * time.Millisecond)
	requirePending(336)
}

// Guards against a queue that ignores priorities and against a cancelled run that
// still occupies its slot.
func TestQueuePriorityAndCancellation(t *testing.T) {
	clock := fake.NewManualClock()
	c, _, _ := startEngine(t, fake.EngineConfig{TokenTime: time.Millisecond, MaxActiveStreams: 1, Clock: clock})
	running := startStream(t, c, newRequest("tokens=1000"))
	lowStream := startStream(t, c, newRequest("low tokens=1"))
	high := newRequest("high tokens=1")
	high.Priority = 1
	highStream := startStream(t, c, high)
	running.Close()
	waitForLoad(t, c, 1, 1)
	clock.Advance(time.Millisecond)
	require.NoError(t, readStream(highStream).err)
	clock.Advance(time.Millisecond)
	require.NoError(t, readStream(lowStream).err)
}

// maxPolls and pollInterval bound the wait for a state that can only be polled.
const (
	maxPolls     = 10_000
	pollInterval = 2 * time.Millisecond
)

// waitForLoad polls load reports until one shows the given load. It takes the engine
// some time to detect a closed connection.
func waitForLoad(t *testing.T, c *engine.Client, active, queued int) {
	for range maxPolls {
		time.Sleep(pollInterval)
		load, err := c.Load(t.Context())
		require.NoError(t, err)
		if load.Active == active && load.Queued == queued {
			return
		}
	}
	t.Fatalf("the load did not reach %d active and %d queued streams", active, queued)
}

// Guards against load reports without lag: routers must be tested with outdated
// reports.
func TestLoadReportIsDelayed(t *testing.T) {
	clock := fake.NewManualClock()
	cfg := fake.EngineConfig{TokenTime: time.Hour, MaxActiveStreams: 1, LoadLag: 2 * time.Second, Clock: clock}
	c, _, _ := startEngine(t, cfg)
	load := func() engine.Load {
		l, err := c.Load(t.Context())
		require.NoError(t, err)
		return l
	}
	startStream(t, c, newRequest("tokens=5"))
	clock.Advance(time.Second)
	startStream(t, c, newRequest("tokens=7"))
	require.Equal(t, engine.Load{Age: 2 * time.Second}, load())
	clock.Advance(time.Second)
	require.Equal(t, engine.Load{Active: 1, PendingTokens: 5, Age: 2 * time.Second}, load())
	clock.Advance(time.Second)
	require.Equal(t, engine.Load{Active: 1, Queued: 1, PendingTokens: 12, Age: 2 * time.Second}, load())
}

// Guards against a crash that does not abort the other streams, that looks like the
// end of a complete answer, or that the engine does not recover from.
func TestCrashMarkerCrashesEngine(t *testing.T) {
	clock := fake.NewManualClock()
	cfg := fake.EngineConfig{
		TokenTime: time.Millisecond, MaxActiveStreams: 2, CrashMarker: "poison", RestartDelay: time.Second, Clock: clock,
	}
	c, e, _ := startEngine(t, cfg)
	other := startStream(t, c, newRequest("tokens=100"))
	clock.Advance(2 * time.Millisecond)
	crashing := startStream(t, c, newRequest("some poison here"))
	for _, s := range []*engine.Stream{other, crashing} {
		got := readStream(s)
		require.ErrorIs(t, got.err, engine.ErrTruncated)
		require.ErrorIs(t, got.err, engine.ErrUnavailable)
	}
	_, err := c.Generate(t.Context(), newRequest("hello"))
	require.ErrorIs(t, err, engine.ErrUnavailable)
	_, err = c.Load(t.Context())
	require.ErrorIs(t, err, engine.ErrUnavailable)

	clock.Advance(time.Second)
	require.NoError(t, e.WaitForState(t.Context(), false))
	s := startStream(t, c, newRequest("tokens=1"))
	clock.Advance(time.Millisecond)
	require.NoError(t, readStream(s).err)
}

// Guards against running requests of a fenced router, and against rejecting them
// when the check is disabled.
func TestOutdatedFencingTokenIsRejected(t *testing.T) {
	for _, checked := range []bool{true, false} {
		c, _, _ := startEngine(t, fake.EngineConfig{CheckFencingToken: checked})
		req := newRequest("tokens=1")
		req.FencingToken = 7
		require.NoError(t, generate(t, c, req).err)
		require.NoError(t, generate(t, c, req).err)
		req.FencingToken = 6
		s, err := c.Generate(t.Context(), req)
		if checked {
			require.ErrorIs(t, err, engine.ErrNotRun)
			continue
		}
		require.NoError(t, err)
		s.Close()
	}
}

// Guards against admin endpoints without effect.
func TestEngineAdminEndpoints(t *testing.T) {
	c, e, url := startEngine(t, fake.EngineConfig{})
	postAdmin(t, url+"/admin/crash", "")
	require.NoError(t, e.WaitForState(t.Context(), true))
	_, err := c.Generate(t.Context(), newRequest("tokens=2"))
	require.ErrorIs(t, err, engine.ErrUnavailable)
	postAdmin(t, url+"/admin/revive", "")
	postAdmin(t, url+"/admin/faults", `{"truncate_after":1}`)
	require.ErrorIs(t, generate(t, c, newRequest("tokens=2")).err, engine.ErrTruncated)
}

// Guards against malformed requests that are run or crash the engine.
func TestMalformedRequestIsRejected(t *testing.T) {
	_, _, url := startEngine(t, fake.EngineConfig{})
	for _, body := range []string{"", "[", `{"max_total_tokens":"x"}`, strings.Repeat("a", 3<<20)} {
		resp, err := http.Post(url+"/v1/generate", "application/json", strings.NewReader(body))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, "not_run", resp.Header.Get("Refusal"))
	}
}
