package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const crashing, unrelated = table.Fingerprint(1), table.Fingerprint(2)

var agent = table.Holder{Process: "a1", Incarnation: 1}

func newRouter(id table.ProcessID) *world.World {
	return world.New(world.Params{Self: table.Process{Holder: table.Holder{Process: id, Incarnation: 1}, Role: table.RoleRouter}}, 1)
}

func tick(w *world.World, now table.Instant, events ...event.Event) command.Outbox {
	for _, e := range events {
		e.AddTo(&w.In)
	}
	w.Tick(now, []world.System{world.SystemFunc(Run)})
	out := w.Out
	w.ClearOutbox()
	return out
}

func crashReport(sequence uint64, fingerprints ...table.Fingerprint) event.Crash {
	return event.Crash{ID: table.CrashID{Agent: agent, Sequence: sequence}, Endpoint: "e1", Fingerprints: fingerprints}
}

func addAdmitted(w *world.World, id table.RequestID, f table.Fingerprint) *table.Request {
	return w.Requests.Insert(table.Request{ID: id, Fingerprint: f}, table.RequestAdmitted)
}

// Guards against a request that crashes one endpoint after another under new
// keys.
func TestCrashingRequestIsQuarantinedAtLimit(t *testing.T) {
	w := newRouter("r1")
	tick(w, 1, crashReport(1, crashing))
	addAdmitted(w, "c/k1", crashing)
	tick(w, 2)
	require.True(t, w.Requests.Get("c/k1").MustRunAlone, "a suspect runs alone")
	require.Equal(t, table.RequestAdmitted, w.Requests.Get("c/k1").State())

	out := tick(w, 3, crashReport(2, crashing))
	require.Len(t, out.WriteQuarantineLists, 1)
	require.Equal(t, crashing, out.WriteQuarantineLists[0].Entries[0].Fingerprint)
	r := w.Requests.Get("c/k1")
	require.Equal(t, table.RequestEnded, r.State())
	require.Equal(t, table.CodeQuarantined, r.Outcome.Code)
	require.Equal(t, table.NotRun, r.Outcome.Ran)

	addAdmitted(w, "c/k2", crashing).CallerRetry = true
	tick(w, 4)
	require.Equal(t, table.RanUnknown, w.Requests.Get("c/k2").Outcome.Ran, "an earlier call may have run")

	end := table.Instant(3).Add(quarantineDuration)
	addAdmitted(w, "c/k3", crashing)
	tick(w, end-1)
	require.Equal(t, table.RequestEnded, w.Requests.Get("c/k3").State())
	addAdmitted(w, "c/k4", crashing)
	tick(w, end)
	require.Equal(t, table.RequestAdmitted, w.Requests.Get("c/k4").State())
}

// Guards against duplicates of one report that add up to a quarantine.
func TestDuplicateReportsCountOnce(t *testing.T) {
	w := newRouter("r1")
	for now := range table.Instant(5) {
		tick(w, now+1, crashReport(1, crashing), crashReport(1, crashing))
	}
	require.InDelta(t, 1.0, w.CrashSuspects.Get(crashing).CrashWeight, 1e-6)
	require.False(t, w.CrashSuspects.Get(crashing).Quarantined)
}

// Guards against a request that stays under suspicion because another one
// crashed the endpoint that it ran on.
func TestSuspectIsClearedByFinishing(t *testing.T) {
	w := newRouter("r1")
	tick(w, 1, crashReport(1, crashing, unrelated))
	r := addAdmitted(w, "c/k", unrelated)
	tick(w, 2)
	require.True(t, r.MustRunAlone)
	r.Attempt = 1
	w.Requests.SetState(r, table.RequestRunning)
	tick(w, 3, event.AttemptEnd{Request: "c/k", Attempt: 1, Status: event.AttemptDone})
	require.Nil(t, w.CrashSuspects.Get(unrelated))
	require.NotNil(t, w.CrashSuspects.Get(crashing))

	tick(w, 4, crashReport(2, crashing, unrelated))
	tick(w, 5, event.Crash{ID: table.CrashID{Agent: agent, Sequence: 3}, Fingerprints: []table.Fingerprint{unrelated}, Cleared: true})
	require.Nil(t, w.CrashSuspects.Get(unrelated), "cleared by the agent's report")
}

// Guards against a suspicion that persists long after a single crash.
func TestCrashWeightDecays(t *testing.T) {
	w := newRouter("r1")
	tick(w, 1, crashReport(1, unrelated))
	tick(w, table.Instant(1).Add(fullWeightTime+weightHalfLife), crashReport(2, unrelated))
	require.InDelta(t, 1.5, w.CrashSuspects.Get(unrelated).CrashWeight, 1e-6)
	tick(w, table.Instant(1).Add(12*weightHalfLife))
	require.Nil(t, w.CrashSuspects.Get(unrelated))
}

// Guards against a router that retries a quarantined request once more because
// the attempt's end arrives in the same tick as the crash report, or after it.
func TestQuarantineStopsRetry(t *testing.T) {
	w := newRouter("r1")
	tick(w, 1, crashReport(1, crashing))
	r := addAdmitted(w, "c/k", crashing)
	r.Attempt, r.Attempts = 1, 1
	w.Requests.SetState(r, table.RequestRunning)
	tick(w, 2, crashReport(2, crashing))
	require.Equal(t, table.RequestRunning, r.State())
	tick(w, 3, event.AttemptEnd{Request: "c/k", Attempt: 1, Status: event.AttemptBroken, PromptTokens: 4, DeliveredTokens: 2})
	require.Equal(t, table.RequestEnded, r.State())
	require.Equal(t, table.Outcome{
		Code: table.CodeQuarantined, Reason: r.Outcome.Reason, Ran: table.DidRun,
		RetryAfter: r.Outcome.RetryAfter, PromptTokens: 4, OutputTokens: 2,
	}, r.Outcome)
}

// Guards against a quarantine that only routers with direct crash reports
// know, and against entries lost when two routers write the list at once.
func TestQuarantineSpreadsThroughList(t *testing.T) {
	w := newRouter("r1")
	tick(w, 1, crashReport(1, crashing), crashReport(2, crashing))
	out := tick(w, 2, event.QuarantineList{Status: event.CallConflict})
	require.Len(t, out.ReadQuarantineLists, 0, "the list is read in the next tick")
	require.Len(t, tick(w, 3).ReadQuarantineLists, 1)
	list := event.QuarantineList{Status: event.CallOK, Version: 8, Entries: []event.QuarantineEntry{{Fingerprint: 9, Remaining: time.Minute}}}
	tick(w, 4, list)
	out = tick(w, table.Instant(4).Add(writeRetryInterval))
	require.Len(t, out.WriteQuarantineLists, 1)
	require.EqualValues(t, 8, out.WriteQuarantineLists[0].Version)
	require.Len(t, out.WriteQuarantineLists[0].Entries, 2)

	addAdmitted(w, "c/k", 9)
	tick(w, table.Instant(5).Add(writeRetryInterval))
	require.Equal(t, table.CodeQuarantined, w.Requests.Get("c/k").Outcome.Code)
}

// Guards against missed crashes when an endpoint is found down only after the
// streams of its runs broke, and against suspicion of runs that broke long
// before.
func TestAgentReportsRunningAndRecentlyBrokenRuns(t *testing.T) {
	w := world.New(world.Params{Self: table.Process{Holder: agent, Role: table.RoleAgent}}, 1)
	w.Endpoints.Put("e1", table.Endpoint{ID: "e1", Agent: "a1"})
	w.EndpointRuns.Put("e1", table.EndpointRuns{Running: []table.RequestID{"c/a", "c/b"}})
	for id, f := range map[table.RequestID]table.Fingerprint{"c/a": 1, "c/b": 2} {
		w.Runs.Put(id, table.Run{ID: id, Endpoint: "e1", Fingerprint: f})
	}
	tick(w, 1, event.RunEnd{Request: "c/a", Status: event.RunBroken})
	w.Runs.Get("c/a").State = table.RunFailed
	w.EndpointRuns.Get("e1").Running = []table.RequestID{"c/b"}
	out := tick(w, 2, event.EngineReport{Endpoint: "e1"})
	require.Len(t, out.Crashes, 1)
	require.ElementsMatch(t, []table.Fingerprint{1, 2}, out.Crashes[0].Crash.Fingerprints)

	w.Endpoints.Get("e1").State = table.EndpointDown
	require.Empty(t, tick(w, 3, event.EngineReport{Endpoint: "e1"}).Crashes, "one crash is reported once")
	w.Endpoints.Get("e1").State = table.EndpointLive
	tick(w, 4, event.RunEnd{Request: "c/b", Status: event.RunBroken})
	w.EndpointRuns.Get("e1").Running = nil
	require.Empty(t, tick(w, table.Instant(5).Add(brokenRunWindow), event.EngineReport{Endpoint: "e1"}).Crashes)
}
