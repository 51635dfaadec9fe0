package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

var (
	self        = table.Holder{Process: "a1", Incarnation: 7}
	router      = table.Holder{Process: "r1", Incarnation: 1}
	otherRouter = table.Holder{Process: "r2", Incarnation: 2}
)

// testAgent is an agent with one endpoint that has two slots.
type testAgent struct {
	t *testing.T
	w *world.World
}

func newAgent(t *testing.T) *testAgent {
	w := world.New(world.Params{
		Self: table.Process{Holder: self, Role: table.RoleAgent}, AnswerRetention: 10 * time.Minute,
	}, 1)
	w.Endpoints.Put("e1", table.Endpoint{ID: "e1", Agent: "a1", Service: "svc", Slots: 2})
	return &testAgent{t: t, w: w}
}

func newReadyAgent(t *testing.T) *testAgent {
	a := newAgent(t)
	a.tick(event.Registered{})
	a.tick(event.FenceList{Status: event.CallOK})
	return a
}

func (a *testAgent) tick(events ...event.Event) command.Outbox {
	return a.tickAt(a.w.Now+1, events...)
}

func (a *testAgent) tickAt(now table.Instant, events ...event.Event) command.Outbox {
	for _, e := range events {
		e.AddTo(&a.w.In)
	}
	a.w.Tick(now, []world.System{world.SystemFunc(Run)})
	out := a.w.Out
	a.w.ClearOutbox()
	return out
}

func (a *testAgent) dispatch(id table.RequestID) event.Dispatch {
	return event.Dispatch{
		Session: 1, Holder: router, Agent: self, Request: id, Attempt: 1, Endpoint: "e1", Service: "svc",
		Kind: table.ServicePlain, Budget: "c/b", Fingerprint: 5, ChargeLimit: 10, Nonce: 11,
		GrantExpiresAt: a.w.Now.Add(time.Minute),
	}
}

func (a *testAgent) requireReject(out command.Outbox, code table.Code, ran table.Ran) {
	a.t.Helper()
	require.Empty(a.t, out.Runs)
	require.Len(a.t, out.Rejects, 1)
	require.Equal(a.t, code, out.Rejects[0].Code)
	require.Equal(a.t, ran, out.Rejects[0].Ran)
}

// Guards against accepting work of a fenced router between the start of the agent
// and its first successful read of the fence list.
func TestNoRunBeforeFencesAreRead(t *testing.T) {
	a := newAgent(t)
	a.requireReject(a.tick(a.dispatch("c/k1")), table.CodeNotReady, table.NotRun)
	out := a.tick(event.FenceList{Status: event.CallOK}, event.Registered{})
	require.Len(t, out.ReadFenceLists, 1)
	a.requireReject(a.tick(a.dispatch("c/k2")), table.CodeNotReady, table.NotRun)
	a.requireReject(a.tick(event.FenceList{Status: event.CallNotApplied}, a.dispatch("c/k3")), table.CodeNotReady, table.NotRun)
	require.Len(t, a.tickAt(a.w.Now.Add(fenceReadInterval)).ReadFenceLists, 1)
	out = a.tick(event.FenceList{Status: event.CallOK, Holders: []table.Holder{otherRouter}}, a.dispatch("c/k4"))
	require.Len(t, out.Runs, 1)
	d := a.dispatch("c/k5")
	d.Holder = otherRouter
	a.requireReject(a.tick(d), table.CodeFenced, table.NotRun)
}

// Guards against dispatches that run although one of the checks must reject them.
func TestRejections(t *testing.T) {
	cases := map[string]struct {
		change func(a *testAgent, d *event.Dispatch)
		code   table.Code
		ran    table.Ran
	}{
		"other incarnation": {func(_ *testAgent, d *event.Dispatch) { d.Agent.Incarnation++ }, table.CodeNotReady, table.NotRun},
		"expired grant":     {func(a *testAgent, d *event.Dispatch) { d.GrantExpiresAt = a.w.Now }, table.CodeExpired, table.NotRun},
		"leaving endpoint": {func(a *testAgent, _ *event.Dispatch) { a.w.Endpoints.Get("e1").State = table.EndpointLeaving },
			table.CodeDraining, table.NotRun},
		"draining agent": {func(a *testAgent, _ *event.Dispatch) { a.w.Draining = true }, table.CodeDraining, table.NotRun},
		"down endpoint": {func(a *testAgent, _ *event.Dispatch) { a.tick(event.EngineReport{Endpoint: "e1"}) },
			table.CodeEndpointFailed, table.NotRun},
		"unknown endpoint": {func(_ *testAgent, d *event.Dispatch) { d.Endpoint = "e9" }, table.CodeNoEndpoint, table.NotRun},
		"quarantined": {func(a *testAgent, _ *event.Dispatch) {
			a.w.CrashSuspects.Put(5, table.CrashSuspect{Quarantined: true, QuarantinedUntil: a.w.Now.Add(time.Minute)})
		}, table.CodeQuarantined, table.NotRun},
		"replay of unknown key": {func(_ *testAgent, d *event.Dispatch) { d.ReplayOnly = true }, table.CodeKeyLost, table.RanUnknown},
		"claim past its deadline": {func(a *testAgent, d *event.Dispatch) {
			a.tickAt(a.w.Now.Add(time.Second))
			d.KeyDeadline = a.w.Now.Add(-time.Millisecond)
		}, table.CodeKeyLost, table.RanUnknown},
		"issued key of an earlier incarnation": {func(a *testAgent, d *event.Dispatch) {
			key := table.IssuedKey{Agent: table.Holder{Process: "a1", Incarnation: 6}, ExpiresAt: a.w.Now.Add(time.Hour)}
			d.Request = table.MakeRequestID("c", key.String())
		}, table.CodeKeyLost, table.RanUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := newReadyAgent(t)
			d := a.dispatch("c/k")
			c.change(a, &d)
			a.requireReject(a.tick(d), c.code, c.ran)
		})
	}
}

// Guards against more runs than an endpoint has slots, and against runs in parallel
// with a request that must run alone.
func TestSlotLimitAndExclusiveRuns(t *testing.T) {
	a := newReadyAgent(t)
	require.Len(t, a.tick(a.dispatch("c/k1"), a.dispatch("c/k2")).Runs, 2)
	out := a.tick(a.dispatch("c/k3"))
	a.requireReject(out, table.CodeBusy, table.NotRun)
	require.Equal(t, 2, out.Rejects[0].InFlight)
	a.tick(event.RunEnd{Request: "c/k1", Attempt: 1, Status: event.RunDone})
	alone := a.dispatch("c/k4")
	alone.MustRunAlone = true
	a.requireReject(a.tick(alone), table.CodeBusy, table.NotRun)
	a.tick(event.RunEnd{Request: "c/k2", Attempt: 1, Status: event.RunDone})
	alone.Attempt = 2
	require.Len(t, a.tick(alone).Runs, 1)
	a.requireReject(a.tick(a.dispatch("c/k5")), table.CodeBusy, table.NotRun)
}

// Guards against a second run of a non-idempotent call.
func TestCallRunsOnce(t *testing.T) {
	a := newReadyAgent(t)
	require.Len(t, a.tick(a.dispatch("c/k")).Runs, 1)
	require.Empty(t, a.tick(a.dispatch("c/k")).Runs, "duplicate of the running attempt")
	retry := a.dispatch("c/k")
	retry.Holder, retry.Session = otherRouter, 2
	require.Len(t, a.tick(retry).Replays, 1)
	a.tick(event.RunEnd{Request: "c/k", Attempt: 1, Status: event.RunBroken})
	retry.Attempt = 2
	a.requireReject(a.tick(retry), table.CodeEndpointFailed, table.RanUnknown)
}

// Guards against a late duplicate of a rejected attempt that runs when a slot is free,
// after its caller was told that it did not run.
func TestRejectedAttemptNeverRunsLater(t *testing.T) {
	a := newReadyAgent(t)
	a.tick(a.dispatch("c/k1"), a.dispatch("c/k2"))
	late := a.dispatch("c/k3")
	a.requireReject(a.tick(late), table.CodeBusy, table.NotRun)
	a.tick(event.RunEnd{Request: "c/k1", Attempt: 1, Status: event.RunDone})
	a.requireReject(a.tick(late), table.CodeExpired, table.NotRun)
	late.Attempt = 2
	require.Len(t, a.tick(late).Runs, 1)
}

// Guards against replaying an answer to a request with other content.
func TestKeyOfAnotherRequestIsRejected(t *testing.T) {
	a := newReadyAgent(t)
	a.tick(a.dispatch("c/k"))
	d := a.dispatch("c/k")
	d.Fingerprint, d.Nonce = 6, 12
	out := a.tick(d)
	a.requireReject(out, table.CodeKeyMismatch, table.NotRun)
	require.Empty(t, out.Replays)
}

// Guards against running a late dispatch of a key after a lookup reported that the
// key never ran and reserved it for another call.
func TestLookupReservesUnknownKey(t *testing.T) {
	a := newReadyAgent(t)
	out := a.tick(event.Lookup{From: otherRouter, Request: "c/k", Refuse: true, Nonce: 99})
	require.False(t, out.LookupResults[0].Result.Found)
	a.requireReject(a.tick(a.dispatch("c/k")), table.CodeKeyInUse, table.NotRun)
	reserving := a.dispatch("c/k")
	reserving.Holder, reserving.Nonce = otherRouter, 99
	require.Len(t, a.tick(reserving).Runs, 1)
	out = a.tick(event.Lookup{From: router, Request: "c/k", Refuse: true})
	require.True(t, out.LookupResults[0].Result.Found)
}

// Guards against reporting a key as never run when its record was deleted after its
// deadline.
func TestExpiredKeyIsReportedAsForgotten(t *testing.T) {
	a := newReadyAgent(t)
	d := a.dispatch("c/k")
	d.KeyDeadline = a.w.Now.Add(time.Hour)
	a.tick(d)
	a.tick(event.RunEnd{Request: "c/k", Attempt: 1, Status: event.RunDone})
	out := a.tickAt(d.KeyDeadline.Add(-time.Second))
	require.NotNil(t, a.w.Runs.Get("c/k"), "kept until the claim's deadline")
	require.Len(t, out.FreeAnswers, 1, "the text is freed once, at the end of its retention")
	repeated := d
	repeated.Holder, repeated.Nonce, repeated.ReplayOnly = otherRouter, 7, true
	a.requireReject(a.tick(repeated), table.CodeKeyLost, table.DidRun)
	out = a.tickAt(d.KeyDeadline.Add(time.Second), event.Lookup{From: otherRouter, Request: "c/k", Refuse: true, KeyDeadline: d.KeyDeadline})
	require.True(t, out.LookupResults[0].Result.Found, "not expired before the lookup in the same tick")
	require.Empty(t, out.FreeAnswers)
	require.Nil(t, a.w.Runs.Get("c/k"))
	out = a.tick(event.Lookup{From: otherRouter, Request: "c/k", Refuse: true, KeyDeadline: d.KeyDeadline})
	require.True(t, out.LookupResults[0].Result.Forgotten)
	a.requireReject(a.tick(d), table.CodeKeyLost, table.RanUnknown)
}

// Guards against a failed model request that cannot resume with a new attempt, and
// against running a late duplicate of the failed attempt.
func TestFailedModelRequestRunsAgainWithHigherAttempt(t *testing.T) {
	a := newReadyAgent(t)
	d := a.dispatch("c/k")
	d.Kind = table.ServiceModel
	a.tick(d)
	a.tick(event.RunEnd{Request: "c/k", Attempt: 1, Status: event.RunBroken, PromptTokens: 3, OutputTokens: 2})
	a.requireReject(a.tick(d), table.CodeEndpointFailed, table.DidRun)
	d.Attempt, d.StartPosition = 2, 2
	out := a.tick(d)
	require.Len(t, out.Runs, 1)
	require.EqualValues(t, 2, out.Runs[0].StartPosition)
}

// Guards against fence reports that omit the cost of runs that had failed or were
// still in progress when the router was fenced.
func TestFenceReportsAllCharges(t *testing.T) {
	a := newReadyAgent(t)
	first, second := a.dispatch("c/k1"), a.dispatch("c/k2")
	first.Kind, second.Kind = table.ServiceModel, table.ServiceModel
	a.tick(first, second)
	a.tick(event.RunEnd{Request: "c/k1", Attempt: 1, Status: event.RunBroken, PromptTokens: 3, OutputTokens: 2})
	out := a.tick(event.Fence{From: otherRouter, Call: 4, Holder: router})
	require.Equal(t, event.FenceResult{
		Agent: self, Call: 4, Holder: router, Running: true, Charges: []event.HolderCharge{{Budget: "c/b", Spent: 5}},
	}, out.FenceResults[0].Result)
	out = a.tick(event.RunEnd{Request: "c/k2", Attempt: 1, Status: event.RunDone, PromptTokens: 4, OutputTokens: 100})
	require.Equal(t, event.FenceResult{
		Agent: self, Call: 4, Holder: router, Charges: []event.HolderCharge{{Budget: "c/b", Spent: 15}},
	}, out.FenceResults[0].Result, "never more than the limit of 10")
	a.requireReject(a.tick(a.dispatch("c/k3")), table.CodeFenced, table.NotRun)
}

// Guards against missing the cost of a slice when the holder of its grant is
// recovered, and against running work under the slice after that.
func TestSliceIsChargedToItsGrant(t *testing.T) {
	a := newReadyAgent(t)
	d := a.dispatch("c/k1")
	d.GrantHolder = otherRouter
	a.tick(d)
	out := a.tick(event.Fence{From: router, Call: 1, Holder: otherRouter})
	require.True(t, out.FenceResults[0].Result.Running)
	out = a.tick(event.RunEnd{Request: "c/k1", Attempt: 1, Status: event.RunDone})
	require.Equal(t, []event.HolderCharge{{Budget: "c/b", Spent: 10}}, out.FenceResults[0].Result.Charges)
	d = a.dispatch("c/k2")
	d.GrantHolder = otherRouter
	a.requireReject(a.tick(d), table.CodeFenced, table.NotRun)
	require.Len(t, a.tick(a.dispatch("c/k3")).Runs, 1, "the router's own grant is not fenced")
}

// Guards against endpoint counts in heartbeats that differ from the runs in progress.
func TestEndpointCountsMatchRuns(t *testing.T) {
	a := newReadyAgent(t)
	quick, long := a.dispatch("c/k1"), a.dispatch("c/k2")
	long.Class = table.ClassLong
	a.tick(quick, long)
	ep := a.w.Endpoints.Get("e1")
	require.Equal(t, [3]int{2, 1, 20}, [3]int{ep.InFlight, ep.InFlightQuick, int(ep.InFlightTokens)})
	a.tick(event.RunEnd{Request: "c/k1", Attempt: 1, Status: event.RunBroken})
	require.Equal(t, [3]int{1, 0, 10}, [3]int{ep.InFlight, ep.InFlightQuick, int(ep.InFlightTokens)})
	a.tick(event.RunEnd{Request: "c/k2", Attempt: 1, Status: event.RunNotRun})
	a.tick(event.RunEnd{Request: "c/k2", Attempt: 1, Status: event.RunNotRun})
	require.Equal(t, [3]int{}, [3]int{ep.InFlight, ep.InFlightQuick, int(ep.InFlightTokens)})
}

// Guards against fencing tokens that do not increase with each start of the agent: an
// engine that checks them would refuse the running agent.
func TestRunCarriesAgentStartNumber(t *testing.T) {
	a := newReadyAgent(t)
	a.w.Params.Self.StartNumber = 9
	require.EqualValues(t, 9, a.tick(a.dispatch("c/k")).Runs[0].FencingToken)
}
