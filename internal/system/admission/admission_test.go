package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/admission"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const model = table.ServiceName("kintsugi-llm")

var customerKey = table.KeyHash{7}

func newWorld() *world.World {
	w := world.New(world.Params{DetachGrace: 10 * time.Second}, 20261204)
	w.Config.Generation = 1
	w.Services.Put(model, table.Service{Name: model, Kind: table.ServiceModel, MeanOutputTokens: 100})
	w.Services.Put("guild-desk", table.Service{Name: "guild-desk", Kind: table.ServicePlain,
		Operations: map[string]table.Operation{"kiln": {Cost: 30}}})
	w.Services.Put("other", table.Service{Name: "other", Kind: table.ServiceModel})
	w.Customers.Put("guild", table.Customer{ID: "guild", KeyHashes: []table.KeyHash{{1}, customerKey},
		Services: []table.ServiceName{model, "guild-desk"}})
	for _, s := range []table.ServiceName{model, "guild-desk"} {
		w.Limits.Put(table.LimitsKey{Customer: "guild", Service: s}, table.Limits{
			MaxOutput: 1000, QuickTokens: 300, Priority: 4, FirstTokenDeadline: time.Second,
			Exceptions: []table.AppliedException{{Setting: "priority", Reason: "kiln season"}},
		})
	}
	return w
}

func validArrival() event.Arrival {
	return event.Arrival{Key: "k", KeyHash: customerKey, ReplyID: 9, Service: model, Kind: table.ServiceModel,
		PromptTokens: 50, MaxOutput: 200, Fingerprint: 11}
}

// runTick processes the events in one tick at the given time and returns its
// commands.
func runTick(w *world.World, now table.Instant, events ...event.Event) command.Outbox {
	for _, e := range events {
		e.AddTo(&w.In)
	}
	w.Tick(now, []world.System{world.SystemFunc(admission.Run)})
	out := w.Out
	w.ClearOutbox()
	return out
}

// Guards against a request row with wrong values for budget, dedup or routing.
func TestAdmittedRequestRow(t *testing.T) {
	w := newWorld()
	out := runTick(w, 1, validArrival())
	require.Equal(t, []command.Accept{{ReplyID: 9, Request: "guild/k"}}, out.Accepts)
	r := w.Requests.Get("guild/k")
	require.Equal(t, table.RequestAdmitted, r.State())
	require.Equal(t, table.Tokens(250), r.WantedReservation)
	require.Equal(t, table.BudgetID("guild/default"), r.Budget)
	require.Equal(t, table.ClassQuick, r.Class)
	require.Equal(t, 4, r.Priority)
	require.Equal(t, table.Instant(1).Add(time.Second), r.FirstTokenDeadline)
	require.True(t, r.Idempotent)
}

// Guards against long requests that are classified as quick and delay quick ones.
func TestClassFollowsExpectedTokens(t *testing.T) {
	w := newWorld()
	long := validArrival()
	long.PromptTokens = 250
	runTick(w, 1, long)
	require.Equal(t, table.ClassLong, w.Requests.Get("guild/k").Class)
}

// Guards against a plain call that reserves nothing or may run twice.
func TestCallReservesItsCost(t *testing.T) {
	w := newWorld()
	call := validArrival()
	call.Service, call.Kind, call.Operation, call.MaxOutput = "guild-desk", table.ServicePlain, "kiln", 0
	runTick(w, 1, call)
	r := w.Requests.Get("guild/k")
	require.Equal(t, table.Tokens(30), r.WantedReservation)
	require.False(t, r.Idempotent)
	require.Equal(t, table.ClassQuick, r.Class)
}

// Guards against admitting a request that breaks a rule, and against a refusal with
// the wrong code or without the guarantee that nothing ran.
func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		change func(w *world.World, a *event.Arrival)
		code   table.Code
	}{
		"unknown key":       {func(_ *world.World, a *event.Arrival) { a.KeyHash[31] = 1 }, table.CodeUnauthenticated},
		"unknown service":   {func(_ *world.World, a *event.Arrival) { a.Service = "no" }, table.CodeUnknownService},
		"service of others": {func(_ *world.World, a *event.Arrival) { a.Service = "other" }, table.CodeForbidden},
		"wrong kind":        {func(_ *world.World, a *event.Arrival) { a.Kind = table.ServicePlain }, table.CodeBadRequest},
		"negative tokens":   {func(_ *world.World, a *event.Arrival) { a.PromptTokens = -1 }, table.CodeBadRequest},
		"priority":          {func(_ *world.World, a *event.Arrival) { a.Priority = 10 }, table.CodeBadRequest},
		"no key":            {func(_ *world.World, a *event.Arrival) { a.Key = "" }, table.CodeBadRequest},
		"draining":          {func(w *world.World, _ *event.Arrival) { w.Draining = true }, table.CodeDraining},
		"no configuration":  {func(w *world.World, _ *event.Arrival) { w.Config.Generation = 0 }, table.CodeNotReady},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w, a := newWorld(), validArrival()
			c.change(w, &a)
			out := runTick(w, 1, a)
			require.Len(t, out.Replies, 1)
			require.Equal(t, uint64(9), out.Replies[0].ReplyID)
			require.Empty(t, out.Replies[0].Request)
			require.Equal(t, c.code, out.Replies[0].Outcome.Code)
			require.Equal(t, table.NotRun, out.Replies[0].Outcome.Ran)
			require.Zero(t, w.Requests.Len())
		})
	}
}

// Guards against a NOT_RUN for a retry whose first attempt ran at another router.
func TestRefusedRetryMayHaveRun(t *testing.T) {
	w, a := newWorld(), validArrival()
	w.Draining, a.CallerRetry = true, true
	out := runTick(w, 1, a)
	require.Equal(t, table.RanUnknown, out.Replies[0].Outcome.Ran)
}

// Guards against exceeding the rate limit over any period from the start.
func TestRateLimitIsEnforced(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld()
		l := w.Limits.Get(table.LimitsKey{Customer: "guild", Service: model})
		l.RequestsPerSecond, l.Burst = rapid.Float64Range(0.5, 50).Draw(rt, "rate"), rapid.IntRange(1, 10).Draw(rt, "burst")
		now, admitted := table.Instant(1), 0
		for i := range rapid.IntRange(1, 100).Draw(rt, "arrivals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(rt, "ms")) * time.Millisecond)
			a := validArrival()
			a.Key = string(rune('a' + i))
			out := runTick(w, now, a)
			admitted += len(out.Accepts)
			for _, r := range out.Replies {
				require.Equal(rt, table.CodeRateLimited, r.Outcome.Code)
				require.Positive(rt, r.Outcome.RetryAfter)
			}
			const rounding = 1e-6
			limit := float64(l.Burst) + l.RequestsPerSecond*now.Sub(1).Seconds() + rounding
			require.LessOrEqual(rt, float64(admitted), limit)
		}
	})
}

// Guards against a concurrency limit that counts requests that have ended.
func TestConcurrencyCountsRequestsInProgress(t *testing.T) {
	w := newWorld()
	w.Limits.Get(table.LimitsKey{Customer: "guild", Service: model}).Concurrency = 1
	runTick(w, 1, validArrival())
	second := validArrival()
	second.Key = "k2"
	out := runTick(w, 2, second)
	require.Equal(t, table.CodeConcurrency, out.Replies[0].Outcome.Code)
	w.Requests.Remove("guild/k")
	require.Len(t, runTick(w, 3, second).Accepts, 1)
}

// Guards against two runs under one key, and against a caller that takes over a
// request whose caller is still connected or whose content differs.
func TestDuplicateOfRequestInProgress(t *testing.T) {
	w := newWorld()
	runTick(w, 1, validArrival())
	duplicate := validArrival()
	duplicate.ReplyID = 10
	out := runTick(w, 2, duplicate)
	require.Equal(t, table.CodeKeyInUse, out.Replies[0].Outcome.Code)
	require.Equal(t, table.RanUnknown, out.Replies[0].Outcome.Ran)

	mismatched := duplicate
	mismatched.Fingerprint = 12
	out = runTick(w, 3, event.CallerDisconnect{Request: "guild/k"})
	require.Empty(t, out.Replies)
	out = runTick(w, 4, mismatched)
	require.Equal(t, table.CodeKeyMismatch, out.Replies[0].Outcome.Code)

	duplicate.ResumePosition = 5
	out = runTick(w, 5, duplicate)
	require.Equal(t, []command.Accept{{ReplyID: 10, Request: "guild/k", Attach: true, ResumePosition: 5}}, out.Accepts)
	require.Equal(t, uint64(10), *w.ReplyIDs.Get("guild/k"))
	require.Equal(t, 1, w.Requests.Len())
	runTick(w, table.Instant(time.Minute))
	require.Equal(t, table.RequestAdmitted, w.Requests.Get("guild/k").State())
}

// Guards against a request that keeps running for a caller that does not reconnect.
func TestDetachedRequestEndsAfterGrace(t *testing.T) {
	w := newWorld()
	runTick(w, 1, validArrival())
	r := w.Requests.Get("guild/k")
	r.Attempt, r.Agent = 3, table.Holder{Process: "a1"}
	w.Requests.SetState(r, table.RequestRunning)
	runTick(w, 2, event.CallerDisconnect{Request: "guild/k"})
	due := table.Instant(2).Add(10 * time.Second)
	require.Equal(t, due, w.NextWake())
	require.Empty(t, runTick(w, due-1).CancelRuns)
	out := runTick(w, due)
	require.Equal(t, []command.CancelRun{{To: r.Agent, Request: "guild/k", Attempt: 3}}, out.CancelRuns)
	require.Equal(t, table.RequestRunning, r.State(), "the end of the attempt reports the true token count")
}

// Guards against a cancellation by another customer, and against one that gets no
// reply.
func TestCancel(t *testing.T) {
	w := newWorld()
	runTick(w, 1, validArrival())
	out := runTick(w, 2, event.Cancel{ReplyID: 3, KeyHash: table.KeyHash{9}, Key: "k"})
	require.Equal(t, []command.CancelReply{{ReplyID: 3}}, out.CancelReplies)
	out = runTick(w, 3, event.Cancel{ReplyID: 4, KeyHash: customerKey, Key: "k"})
	require.Equal(t, []command.CancelReply{{ReplyID: 4, Found: true}}, out.CancelReplies)
	o := w.Requests.Get("guild/k").Outcome
	require.Equal(t, table.CodeCancelled, o.Code)
	require.Equal(t, table.NotRun, o.Ran)
}
