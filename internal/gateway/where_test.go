package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/ctl"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/where"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/whereapi"
)

// whereQuery returns the query that describes an arrival.
func whereQuery(a *event.HTTPArrival) event.WhereQuery {
	return event.WhereQuery{
		Host: a.Host, Path: a.Path, HasKey: a.HasKey, KeyHash: a.KeyHash, BodyBytes: a.BodyBytes,
		PromptTokens: a.PromptTokens, MaxOutput: a.MaxOutput, PromptParts: a.PromptParts,
	}
}

// where returns the answer to a query, and fails if that changes the world or its random
// state. Only the count of queries changes.
func (h *harness) where(t require.TestingT, q event.WhereQuery) command.WhereReply {
	source := rand.NewPCG(5, uint64(h.now))
	h.world.Rand = rand.New(source)
	h.world.Count("where.queries")
	h.world.In.WhereQueries = []event.WhereQuery{q}
	before, counters := worldText(h), countersText(h)
	where.Run(h.world)
	require.Len(t, h.world.Out.WhereReplies, 1)
	reply := h.world.Out.WhereReplies[0]
	h.world.In.Reset()
	h.world.ClearOutbox()
	require.Equal(t, before, worldText(h), "a query changes nothing")
	*h.world.Counters.Get("where.queries")--
	require.Equal(t, counters, countersText(h))
	unused, err := rand.NewPCG(5, uint64(h.now)).MarshalBinary()
	require.NoError(t, err)
	state, err := source.MarshalBinary()
	require.NoError(t, err)
	require.Equal(t, unused, state, "a query draws no random number")
	return reply
}

// worldText returns all tables of a world as text, and what else it holds but counters,
// events, commands and random numbers.
func worldText(h *harness) string {
	w := *h.world
	w.In, w.Out, w.Rand = event.Inbox{}, command.Outbox{}, nil
	w.Counters = table.Table[string, int64]{}
	return fmt.Sprintf("%+v", w)
}

func countersText(h *harness) string { return fmt.Sprintf("%+v", h.world.Counters) }

// arrive lets a request arrive at the time of the last tick and returns what the tick did.
func (h *harness) arrive(a event.HTTPArrival) command.Outbox {
	a.AddTo(&h.world.In)
	h.world.Tick(h.now, h.systems)
	return h.world.Out
}

// drawTrouble puts endpoints, the budget and the router itself in a state of trouble.
func drawTrouble(rt *rapid.T, h *harness) {
	w := h.world
	for i, id := range []table.EndpointID{"m1", "m2", "m3", "d1", "d2"} {
		e := w.DirectEndpoints.Get(id)
		soon := w.Now.Add(time.Duration(rapid.IntRange(1, 400).Draw(rt, "soon")) * time.Millisecond)
		e.InFlight = rapid.SampledFrom([]int{0, 0, 3, 40}).Draw(rt, "in flight")
		e.OthersInFlight, e.OthersAt = float64(rapid.IntRange(0, 20).Draw(rt, "others")), w.Now
		e.Credit = rapid.SampledFrom([]float64{0.25, 0.5, -0.75}).Draw(rt, "credit") + float64(i)/100
		if rapid.Bool().Draw(rt, "reported") {
			e.ReportedAt, e.ReportedWaiting, e.ReportedSlowdown = w.Now.Add(-80*time.Millisecond), rapid.IntRange(0, 20).Draw(rt, "queue"), 1.5
		}
		switch rapid.IntRange(0, 7).Draw(rt, "trouble") {
		case 0:
			e.Leaving = true
		case 1:
			w.EndpointNotices.Put(id, table.EndpointNotice{StartedUnixMilli: 1, SaidAt: w.Now, PausedUntil: soon})
		case 2:
			w.ColdEndpoints.Put(id, table.ColdEndpoint{EntryUntil: w.Now.Add(time.Minute)})
		case 3:
			e.Domain = "b"
			w.Evacuations.Put("b", table.Evacuation{Since: w.Now})
		case 4:
			e.SuspectUntil = soon
		case 5:
			w.EndpointNotices.Put(id, table.EndpointNotice{StartedUnixMilli: 1, SaidAt: w.Now, FilledAt: w.Now, RateLimited: true, RateLimit: 2})
		}
	}
	if a := w.Accounts.Get("workshop"); a != nil {
		a.Limit = table.Tokens(rapid.SampledFrom([]int{0, 900, 5000, 300_000, 300_000}).Draw(rt, "limit"))
	}
	w.PrepaidCustomers.Get("workshop").Total = table.Tokens(rapid.SampledFrom([]int{500, 1_000_000, 1_000_000}).Draw(rt, "total"))
	w.LimitLedgerView.Content.LostTokens = map[table.CustomerID]table.Tokens{"workshop": table.Tokens(rapid.SampledFrom([]int{0, 0, 900_000}).Draw(rt, "lost"))}
	w.DemandByPriority.Put(0, table.DecayingRate{PerSecond: 1000, UpdatedAt: w.Now.Add(-time.Second)})
	w.Params.Front.LinkBytesPerSecond = rapid.SampledFrom([]float64{0, 0, 1e6}).Draw(rt, "link")
	w.Link.QueuedBytes, w.Link.QueuedAt = rapid.SampledFrom([]float64{0, 90e3, 300e3}).Draw(rt, "queue of the link"), w.Now
	switch rapid.IntRange(0, 9).Draw(rt, "state of the router") {
	case 0:
		w.PlatformReachable = false
	case 1:
		w.Draining, w.DrainStartedAt = true, w.Now.Add(-6*time.Second)
	}
}

// Guards against an answer that differs from what a request then meets, and against a query
// that spends credits, permits, slots, budget or random numbers.
func TestWhereAgreesWithRequestAndChangesNothing(t *testing.T) {
	seen := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		h := newServingHarness(t)
		m := testManifest(2)
		m.Services[0].ColdTime, m.Services[0].ColdRate = time.Minute, 2
		m.Routes[1].Priority = 1
		h.step(event.ManifestReceived{Manifest: m})
		h.advance(200 * time.Millisecond)
		drawTrouble(rt, h)
		a := h.newArrival(rapid.SampledFrom([]string{"/review/1", "/feedback/1", "/booking/1", "/status/1", "/nowhere"}).Draw(rt, "path"))
		a.BodyBytes = rapid.SampledFrom([]int{0, 80_000}).Draw(rt, "body")
		if rapid.Bool().Draw(rt, "parts") {
			a.PromptParts = []table.PromptPart{{ID: "a", Tokens: 700}, {ID: "b", Tokens: 300}}
		}
		if rapid.IntRange(0, 9).Draw(rt, "key") == 0 {
			a.KeyHash = table.KeyHash{9}
		}
		h.world.Tick(h.now, h.systems)
		h.world.ClearOutbox()
		reply := h.where(rt, whereQuery(&a))
		out := h.arrive(a)
		requireAgreement(rt, &reply, &out)
		seen[string(reply.Problem)+string(reply.Verdict)+" "+string(reply.Outcome.Code)]++
	})
	t.Log(seen)
	for _, kind := range []string{"sent ", "unknown ", "refused BUDGET_EXHAUSTED", "refused LINK_CONGESTED", "waits BUDGET_UNREACHABLE", "waits NO_ENDPOINT"} {
		require.Positive(t, seen[kind], "the cases cover %q: %v", kind, seen)
	}
}

// requireAgreement fails unless a tick did what the reply to a query said.
func requireAgreement(t require.TestingT, reply *command.WhereReply, out *command.Outbox) {
	if reply.Problem == command.WhereUnknown {
		require.Len(t, out.FinishExchanges, 1)
		require.Equal(t, reply.ProblemReason, out.FinishExchanges[0].Outcome.Reason)
		return
	}
	require.Equal(t, command.WhereAnswered, reply.Problem, reply.ProblemReason)
	switch reply.Verdict {
	case command.WhereSent:
		require.Len(t, out.EndpointCalls, 1)
		require.Equal(t, reply.Service, out.EndpointCalls[0].Service)
		for _, c := range reply.Candidates {
			require.Equal(t, c.Endpoint == out.EndpointCalls[0].Endpoint, c.Chosen, "%+v", c)
			require.False(t, c.Chosen && c.Excluded != "")
		}
	case command.WhereRefused:
		require.Len(t, out.FinishExchanges, 1)
		o := out.FinishExchanges[0].Outcome
		require.Equal(t, reply.Outcome.Code, o.Code)
		require.Equal(t, reply.Outcome.Reason, o.Reason)
		// A part of the delay is random.
		require.InDelta(t, reply.Outcome.RetryAfter.Seconds(), o.RetryAfter.Seconds(), 2)
	default:
		require.Equal(t, command.WhereWaits, reply.Verdict)
		require.Empty(t, out.EndpointCalls)
		require.Empty(t, out.FinishExchanges)
		require.Positive(t, reply.Wait)
	}
}

// Guards against an answer that hides why an endpoint is passed over, or until when.
func TestWhereNamesWhatExcludesEndpoints(t *testing.T) {
	h := newServingHarness(t)
	h.sendRequest("/review/0")
	h.advance(time.Second)
	w := h.world
	w.DirectEndpoints.Get("m1").Leaving = true
	w.EndpointNotices.Put("m2", table.EndpointNotice{StartedUnixMilli: 1, SaidAt: w.Now, PausedUntil: w.Now.Add(300 * time.Millisecond)})
	a := h.newArrival("/review/1")
	reply := h.where(t, whereQuery(&a))
	require.Equal(t, command.WhereSent, reply.Verdict)
	require.Len(t, reply.Candidates, 3)
	require.Equal(t, table.EndpointID("m3"), reply.Candidates[0].Endpoint)
	require.InDelta(t, 1, reply.Candidates[0].Share, 1e-9)
	for _, c := range reply.Candidates[1:] {
		require.Equal(t, c.Endpoint == "m2", c.ExclusionEnds && c.ExcludedFor > 0, "%+v", c)
		require.NotEmpty(t, c.Excluded)
	}
	require.Equal(t, table.Tokens(1100), reply.Budget.Cost)
	q := whereQuery(&a)
	q.Customer, q.HasKey = "workshop", false
	require.Equal(t, reply.Budget, h.where(t, q).Budget, "a customer may be named instead of its key")
}

// Guards against absurd sizes that overflow, and unknown customers that look like a refusal
// for another reason.
func TestWhereRejectsWhatIsNoRequest(t *testing.T) {
	h := newServingHarness(t)
	a := h.newArrival("/review/1")
	for name, change := range map[string]func(q *event.WhereQuery){
		"invalid: negative": func(q *event.WhereQuery) { q.PromptTokens = -1 },
		"invalid: absurd":   func(q *event.WhereQuery) { q.MaxOutput = 1 << 62 },
		"invalid: body":     func(q *event.WhereQuery) { q.BodyBytes = -1 },
		"invalid: parts":    func(q *event.WhereQuery) { q.PromptParts = make([]table.PromptPart, where.MaxParts+1) },
		"invalid: tokens":   func(q *event.WhereQuery) { q.PromptParts = []table.PromptPart{{ID: "a", Tokens: 1 << 62}} },
		"unknown: customer": func(q *event.WhereQuery) { q.Customer = "nobody" },
		"unknown: key":      func(q *event.WhereQuery) { q.KeyHash = table.KeyHash{9} },
		"unknown: route":    func(q *event.WhereQuery) { q.Host = "other.example" },
	} {
		q := whereQuery(&a)
		change(&q)
		reply := h.where(t, q)
		require.True(t, strings.HasPrefix(name, string(reply.Problem)+":"), "%s: %+v", name, reply)
		require.NotEmpty(t, reply.ProblemReason)
	}
	h.world.Closing = true
	require.Equal(t, command.WhereShuttingDown, h.where(t, whereQuery(&a)).Problem)
}

// postWhere posts a body to a gateway's handler and returns status and answer.
func postWhere(t *testing.T, gw *testGateway, body string) (int, string) {
	r := httptest.NewRecorder()
	gw.where.ServeHTTP(r, httptest.NewRequestWithContext(t.Context(), http.MethodPost, whereapi.Path, strings.NewReader(body)))
	return r.Code, r.Body.String()
}

// Guards against a command that shows or logs a key, or that ends well without an answer, and
// against a query that is sent to an endpoint.
func TestWhereCommandAsksGateway(t *testing.T) {
	c := newTestCluster(t)
	var sent atomic.Int64
	for _, id := range []string{"i-1", "i-2"} {
		c.startEndpoint(id, "model", func(w http.ResponseWriter, r *http.Request) {
			sent.Add(1)
			streamEvents(1)(w, r)
		})
	}
	c.startEndpoint("d-1", "desk", respondBooked)
	c.startEndpoint("d-2", "desk", respondBooked)
	c.putConfig(1, 100_000)
	gw := c.startGateway("edge-1")
	gw.waitReady()
	server := httptest.NewServer(gw.where)
	defer server.Close()
	keyFile := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(keyFile, []byte("key-1\n"), 0o600))
	run := func(env map[string]string, args ...string) (ctl.ExitCode, string) {
		var out bytes.Buffer
		args = append([]string{"where", "-gateway", server.Listener.Addr().String(), "-host", "shop.example", "-max-output", "100", "-prompt-tokens", "1000"}, args...)
		code := ctl.Main(t.Context(), args, ctl.Environment{Out: &out, Err: &out, Getenv: func(name string) string { return env[name] }})
		return code, out.String()
	}
	code, text := run(nil, "-path", "/review/1", "-key-file", keyFile)
	require.Equal(t, ctl.ExitOK, code, text)
	require.Contains(t, text, "decision  waits", "the gateway takes a margin with the first request")
	status, _, err := gw.postRequest("/review/1", "r-1", "1000,100")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool {
		code, text = run(nil, "-path", "/review/1", "-key-file", keyFile, "-part", "a:700", "-part", "b:300")
		return strings.Contains(text, "decision  sent to i-")
	}, time.Minute, 20*time.Millisecond)
	require.Equal(t, ctl.ExitOK, code, text)
	t.Log("\n" + text)
	require.Contains(t, text, "costs at most 1100")
	code, text = run(nil, "-path", "/booking/1", "-customer", "workshop", "-prompt-tokens", "0", "-max-output", "0")
	require.Equal(t, ctl.ExitOK, code, text)
	t.Log("\n" + text)
	require.Contains(t, text, "2 endpoints are equally good")
	code, jsonText := run(map[string]string{"LABURNUM_CALLER_KEY": "key-1"}, "-path", "/review/1", "-json")
	require.Equal(t, ctl.ExitOK, code, jsonText)
	var response whereapi.Response
	require.NoError(t, json.Unmarshal([]byte(jsonText), &response))
	require.Equal(t, "workshop", response.Customer)
	require.Len(t, response.Candidates, 2)
	for want, args := range map[string][]string{
		"no route for this host and path":  {"-path", "/other/", "-customer", "workshop"},
		"the key is not known":             {"-path", "/review/1"},
		"not in the configuration":         {"-path", "/review/1", "-customer", "nobody"},
		"must be 0 to":                     {"-path", "/review/1", "-customer", "workshop", "-max-output", "999999999999"},
		"takes no key on the command line": {"-path", "/review/1", "-caller-key", "key-1"},
		"exclude each other":               {"-path", "/review/1", "-customer", "workshop", "-key-file", keyFile},
		"must not be negative":             {"-path", "/review/1", "-customer", "workshop", "-max-output", "-1"},
	} {
		code, text := run(nil, args...)
		require.NotEqual(t, ctl.ExitOK, code, text)
		require.Contains(t, text, want)
	}
	gw.shutdownAndWait()
	require.EqualValues(t, 1, sent.Load(), "only the request itself is sent")
	for _, output := range []string{text, jsonText, gw.logs.text()} {
		require.NotContains(t, output, "key-1")
	}
}

// Guards against queries without a bound, and handlers that wait for a gateway that ended.
func TestWhereHandlerIsBounded(t *testing.T) {
	gw := startSingleGateway(t, "model", streamEvents(1), 100_000)
	for _, body := range []string{"", "{", `{"secret":1}`, `{"key_hash":"sha256:1"}`, `{"path":"` + strings.Repeat("x", 1<<17) + `"}`} {
		status, _ := postWhere(t, gw, body)
		require.Equal(t, http.StatusBadRequest, status)
	}
	status, text := postWhere(t, gw, `{"host":"shop.example","path":"/review/1","customer":"workshop","prompt_tokens":100}`)
	require.Equal(t, http.StatusOK, status, text)
	gw.shutdownAndWait()
	status, text = postWhere(t, gw, `{"host":"shop.example","path":"/review/1","customer":"workshop"}`)
	require.Equal(t, http.StatusServiceUnavailable, status, text)
}

// Guards against a query that uses up the one trial of a prompt part whose quarantine has
// ended.
func TestWhereLeavesTrialOfPartToRequests(t *testing.T) {
	h := newServingHarness(t)
	for range 3 {
		h.crash("/feedback/1", "class", "tainted")
		h.endAttempt(h.sendPrompt("/feedback/2", "class", "sound"), answeredAttempt)
	}
	a := h.newPrompt("/feedback/1", "class", "tainted")
	verdict := func() command.WhereVerdict {
		reply := h.where(t, whereQuery(&a))
		require.Equal(t, reply.Verdict == command.WhereRefused, reply.Outcome.Code == table.CodeQuarantined)
		return reply.Verdict
	}
	require.Equal(t, command.WhereRefused, verdict())
	h.advance(h.refusePrompt("/feedback/1", "class", "tainted").RetryAfter)
	require.Equal(t, command.WhereSent, verdict())
	require.Equal(t, command.WhereSent, verdict())
	h.sendPrompt("/feedback/1", "class", "tainted")
	require.Equal(t, command.WhereRefused, verdict(), "the trial is in progress")
}
