package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

var crashedAttempt = event.DirectAttemptEnd{Status: event.DirectOutcomeUnknown, ConnectionLost: true, EndpointGone: true, Reason: "cut off"}

// newPrompt returns a request whose prompt has the given parts and one of its own.
func (h *harness) newPrompt(path string, parts ...string) event.HTTPArrival {
	a := h.newArrival(path)
	for _, p := range append(parts, a.Request) {
		a.PromptParts = append(a.PromptParts, table.PromptPart{ID: p, Tokens: 100})
	}
	return a
}

// sendPrompt injects such a request and returns its first call to an endpoint.
func (h *harness) sendPrompt(path string, parts ...string) command.CallEndpoint {
	h.t.Helper()
	h.step(h.newPrompt(path, parts...))
	calls := h.callsFor(h.lastExchange)
	require.Len(h.t, calls, 1, "the request must be sent at once")
	return calls[0]
}

// refusePrompt injects such a request and requires that it is refused at once.
func (h *harness) refusePrompt(path string, parts ...string) table.Outcome {
	h.t.Helper()
	h.step(h.newPrompt(path, parts...))
	require.Empty(h.t, h.callsFor(h.lastExchange))
	o := h.finishOf(h.lastExchange).Outcome
	require.Equal(h.t, table.CodeQuarantined, o.Code)
	require.Equal(h.t, table.NotRun, o.Ran)
	require.Positive(h.t, o.RetryAfter)
	return o
}

// crash sends a request and lets its endpoint crash.
func (h *harness) crash(path string, parts ...string) {
	h.t.Helper()
	h.endAttempt(h.sendPrompt(path, parts...), crashedAttempt)
	h.advance(time.Second)
}

// partReports returns the reports about parts that were sent.
func (h *harness) partReports() []command.SendCrash {
	var reports []command.SendCrash
	for _, c := range h.crashReports {
		if c.Crash.Parts != nil {
			reports = append(reports, c)
		}
	}
	return reports
}

// Guards against requests with one part in their prompts, no two alike, that crash one
// endpoint after another, and against sound requests that are refused with them.
func TestPartThatCrashesEndpointsIsQuarantined(t *testing.T) {
	h := newServingHarness(t)
	for range 3 {
		h.crash("/feedback/1", "class", "tainted")
		h.endAttempt(h.sendPrompt("/feedback/2", "class", "sound"), answeredAttempt)
	}
	h.refusePrompt("/feedback/1", "class", "tainted")
	h.refusePrompt("/review/1", "other class", "tainted", "more")
	for range 3 {
		h.endAttempt(h.sendPrompt("/feedback/2", "class", "sound"), answeredAttempt)
	}
}

// Guards against requests that wait or run when their part is quarantined and still reach
// or crash an endpoint, and against running answers that are cut with them.
func TestQuarantineEndsRequestsInProgress(t *testing.T) {
	h := newServingHarness(t)
	h.crash("/feedback/1", "class", "tainted")
	h.crash("/feedback/1", "class", "tainted")
	third := h.sendPrompt("/lookup/deep/1", "class", "tainted")
	running := h.sendPrompt("/feedback/1", "class", "tainted")
	answering := h.sendPrompt("/feedback/2", "class", "tainted")
	h.step(event.DirectAnswerStarted{Exchange: answering.Exchange, Attempt: 1})
	for _, id := range []string{"d1", "d2"} {
		leaving := endpointEntry(id, "desk")
		leaving.Leaving = true
		h.step(event.EndpointChanges{Present: []event.EndpointEntry{leaving}})
	}
	waiting := h.newPrompt("/lookup/1", "class", "tainted")
	h.step(waiting)
	require.Empty(t, h.callsFor(waiting.Exchange))
	h.endAttempt(third, crashedAttempt)
	require.Equal(t, table.CodeQuarantined, h.finishOf(waiting.Exchange).Outcome.Code)
	require.Equal(t, table.NotRun, h.finishOf(waiting.Exchange).Outcome.Ran)
	require.Len(t, h.callsFor(third.Exchange), 1, "a repeatable request must not be sent again")
	require.Equal(t, table.RanUnknown, h.finishOf(third.Exchange).Outcome.Ran)
	require.Equal(t, table.CodeQuarantined, h.finishOf(running.Exchange).Outcome.Code)
	require.Contains(t, h.stopped, command.StopAttempt{Exchange: running.Exchange, Attempt: 1})
	require.NotContains(t, h.stopped, command.StopAttempt{Exchange: answering.Exchange, Attempt: 1})
	h.endAttempt(answering, answeredAttempt)
	require.True(t, h.finishOf(answering.Exchange).Deliver)
}

// Guards against a router that counts only what it sees itself, and against one crash
// that counts several times because several routers report it.
func TestCrashesSeenByOtherRoutersCountOnce(t *testing.T) {
	h := newServingHarness(t)
	h.crash("/feedback/1", "class", "tainted")
	reported := h.partReports()[0].Crash
	require.Len(t, reported.Parts.Crashes, 1)
	parts := reported.Parts.Crashes[0].Parts
	for i := range 2 {
		for range 5 {
			h.step(event.Crash{Parts: &event.PartReport{Crashes: []event.EndpointCrash{{Endpoint: table.EndpointID(fmt.Sprint("x", i)), Parts: parts}}}})
		}
		if i == 0 {
			h.endAttempt(h.sendPrompt("/feedback/1", "elsewhere", "tainted"), declinedAttempt)
		}
		h.advance(time.Second)
	}
	h.refusePrompt("/feedback/1", "class", "tainted")
}

// Guards against messages that grow with the number of requests at an endpoint that
// crashes.
func TestOneReportPerCrash(t *testing.T) {
	h := newServingHarness(t)
	var ends []event.Event
	for range 30 {
		c := h.sendPrompt("/feedback/1", "class", "tainted")
		if c.Endpoint != h.calls[0].Endpoint {
			continue
		}
		end := crashedAttempt
		end.Exchange, end.Attempt = c.Exchange, c.Attempt
		ends = append(ends, end)
	}
	require.Greater(t, len(ends), 5)
	h.step(ends...)
	require.Len(t, h.partReports(), 1)
	crashes := h.partReports()[0].Crash.Parts.Crashes
	require.Len(t, crashes, 1)
	require.Len(t, crashes[0].Parts, 2, "each part once")
}

// Guards against parts of many requests that are convicted when several endpoints end at
// once, lose answers, or leave as planned.
func TestPartsAreNotConvictedByOtherFailures(t *testing.T) {
	for name, fail := range map[string]func(h *harness, calls []command.CallEndpoint){
		"common cause": func(h *harness, calls []command.CallEndpoint) {
			for _, c := range calls {
				h.endAttempt(c, crashedAttempt)
			}
		},
		"lost answers": func(h *harness, calls []command.CallEndpoint) {
			for _, c := range calls {
				h.endAttempt(c, unknownOutcomeAttempt)
				h.advance(time.Second)
			}
		},
		"planned end": func(h *harness, calls []command.CallEndpoint) {
			var leaving []event.EndpointEntry
			for _, id := range []string{"m1", "m2", "m3"} {
				e := endpointEntry(id, "model")
				e.Leaving = true
				leaving = append(leaving, e)
			}
			h.step(event.EndpointChanges{Present: leaving})
			for _, c := range calls {
				h.endAttempt(c, crashedAttempt)
				h.advance(time.Second)
			}
			h.step(event.EndpointChanges{Present: []event.EndpointEntry{endpointEntry("m4", "model")}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newServingHarness(t)
			var calls []command.CallEndpoint
			for range 12 {
				calls = append(calls, h.sendPrompt("/feedback/1", "class", "popular"))
			}
			fail(h, calls)
			h.advance(5 * time.Second)
			h.sendPrompt("/feedback/1", "class", "popular")
		})
	}
}

// Guards against a sound part that is convicted because it was in a prompt at each of
// several crashes, although requests with it were answered here or at another router.
func TestAnswersClearSuspectParts(t *testing.T) {
	cutAfterEvents := unknownOutcomeAttempt
	cutAfterEvents.DeliveredEvents, cutAfterEvents.HeaderDelivered = event.ContinuedEvents, true
	for name, prove := range map[string]func(h *harness, c command.CallEndpoint){
		"whole answer": func(h *harness, c command.CallEndpoint) { h.endAttempt(c, answeredAttempt) },
		"cut off answer": func(h *harness, c command.CallEndpoint) {
			h.step(event.DirectAnswerContinued{Exchange: c.Exchange, Attempt: 1})
			h.endAttempt(c, cutAfterEvents)
		},
		"answer in progress": func(h *harness, c command.CallEndpoint) {
			h.step(event.DirectAnswerStarted{Exchange: c.Exchange, Attempt: 1})
			h.advance(300 * time.Millisecond)
			h.step(event.DirectAnswerContinued{Exchange: c.Exchange, Attempt: 1})
		},
		"answer elsewhere": func(h *harness, _ command.CallEndpoint) {
			cleared := h.partReports()[len(h.partReports())-1].Crash.Parts.Crashes
			if len(cleared) == 0 {
				return
			}
			var parts []table.Fingerprint
			for _, p := range cleared[0].Parts {
				parts = append(parts, p.Part)
			}
			h.step(event.Crash{Parts: &event.PartReport{Cleared: parts}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newServingHarness(t)
			for range 6 {
				c := h.sendPrompt("/feedback/1", "class", "popular")
				h.crash("/feedback/1", "class", "popular")
				prove(h, c)
			}
			h.sendPrompt("/feedback/1", "class", "popular")
			if name == "whole answer" {
				cleared := 0
				for _, r := range h.partReports() {
					cleared += len(r.Crash.Parts.Cleared)
				}
				require.Equal(t, 2*6, cleared, "each part must be told to the others once after each crash")
			}
		})
	}
}

// Guards against a part that is refused although a router with an answer in progress
// knows that it is sound.
func TestAnswerInProgressEndsSuspicionAtOtherRouters(t *testing.T) {
	observer, answering := newServingHarness(t), newServingHarness(t)
	c := answering.sendPrompt("/feedback/1", "class", "popular")
	answering.step(event.DirectAnswerStarted{Exchange: c.Exchange, Attempt: 1})
	answering.advance(time.Second)
	answering.step(event.DirectAnswerContinued{Exchange: c.Exchange, Attempt: 1})
	for range 6 {
		observer.crash("/feedback/1", "class", "popular")
		for _, pair := range [][2]*harness{{observer, answering}, {answering, observer}} {
			for _, r := range pair[0].partReports() {
				pair[1].step(r.Crash)
			}
			pair[0].crashReports = nil
		}
	}
	observer.sendPrompt("/feedback/1", "class", "popular")
}

// Guards against a router that learned of a quarantine from another one and does not tell
// that a request with the part was answered after all.
func TestAnswerEndsQuarantineThatAnotherRouterBegan(t *testing.T) {
	h := newServingHarness(t)
	c := h.sendPrompt("/feedback/1", "class", "popular")
	h.step(event.DirectAnswerStarted{Exchange: c.Exchange, Attempt: 1})
	h.step(event.Crash{Parts: &event.PartReport{Quarantined: []event.QuarantineEntry{{Fingerprint: table.Fingerprint(xxhash.Sum64String("popular")), Remaining: time.Hour}}}})
	h.refusePrompt("/feedback/1", "class", "popular")
	h.endAttempt(c, answeredAttempt)
	require.Len(t, h.partReports(), 1)
	require.Len(t, h.partReports()[0].Crash.Parts.Cleared, 1)
	h.sendPrompt("/feedback/1", "class", "popular")

	// A list that was written before the answer must not start the quarantine again.
	h.step(event.QuarantineList{Status: event.CallOK, Version: 3, Entries: []event.QuarantineEntry{{Fingerprint: table.Fingerprint(xxhash.Sum64String("popular")), Remaining: time.Hour}}})
	h.sendPrompt("/feedback/1", "class", "popular")
	require.Len(t, h.partStoreCalls, 1)
	require.Empty(t, h.partStoreCalls[0].Entries, "the part must be removed from the list")
}

// Guards against a conviction of the parts before the one that crashes endpoints, which
// sound requests may share.
func TestOnlyOneOfSeveralSuspectPartsIsConvicted(t *testing.T) {
	h := newServingHarness(t)
	for range 3 {
		h.crash("/feedback/1", "class", "subject", "tainted")
	}
	h.refusePrompt("/feedback/1", "class", "subject", "tainted")
	h.endAttempt(h.sendPrompt("/feedback/1", "class", "subject", "sound"), answeredAttempt)

	// "first" is convicted in place of "tainted". A request with it that is still at an
	// endpoint could be the cause of a crash a moment later, so that "tainted" takes a second
	// one then, and a single one afterwards: at most five crashes in all.
	convictFirst := func() {
		h = newServingHarness(t)
		for range 3 {
			h.crash("/feedback/1", "class", "tainted", "first")
			h.endAttempt(h.sendPrompt("/feedback/1", "class", "sound"), answeredAttempt)
		}
		h.refusePrompt("/feedback/1", "class", "tainted", "first")
	}
	convictFirst()
	h.crash("/feedback/1", "class", "tainted", "second")
	h.crash("/feedback/1", "class", "tainted", "third")
	h.refusePrompt("/feedback/1", "class", "tainted", "fourth")
	h.endAttempt(h.sendPrompt("/feedback/1", "class", "sound"), answeredAttempt)

	convictFirst()
	h.advance(3 * time.Second)
	h.crash("/feedback/1", "class", "tainted", "second")
	h.refusePrompt("/feedback/1", "class", "tainted", "third")
	h.endAttempt(h.sendPrompt("/feedback/1", "class", "sound"), answeredAttempt)
}

// Guards against a quarantine that never ends, and against many crashes when it ends and
// the part still crashes endpoints.
func TestQuarantineOfPartEndsWithOneTrial(t *testing.T) {
	h := newServingHarness(t)
	convict := func() {
		for range 3 {
			h.crash("/feedback/1", "class", "tainted")
			h.endAttempt(h.sendPrompt("/feedback/2", "class", "sound"), answeredAttempt)
		}
	}
	convict()
	for range 3 {
		wait := h.refusePrompt("/feedback/1", "class", "tainted").RetryAfter
		h.advance(wait)
		trial := h.sendPrompt("/feedback/1", "class", "tainted")
		h.refusePrompt("/feedback/1", "class", "tainted")
		h.endAttempt(trial, crashedAttempt)
		next := h.refusePrompt("/feedback/1", "class", "tainted").RetryAfter
		require.Greater(t, next, min(3*wait/2, 59*time.Minute))
		require.LessOrEqual(t, next, time.Hour)
	}
	h.advance(h.refusePrompt("/feedback/1", "class", "tainted").RetryAfter)
	h.endAttempt(h.sendPrompt("/feedback/1", "class", "tainted"), answeredAttempt)
	for range 5 {
		h.sendPrompt("/feedback/1", "class", "tainted")
	}
}

// Guards against a router that starts after all routers ended, or connects later, and
// does not know the quarantine, and against a store call for each crash.
func TestQuarantinedPartsReachRoutersThatStartLater(t *testing.T) {
	h := newServingHarness(t)
	h.step(event.QuarantineList{Status: event.CallOK})
	h.partStoreCalls = nil
	for range 3 {
		h.crash("/feedback/1", "class", "tainted")
		h.endAttempt(h.sendPrompt("/feedback/2", "class", "sound"), answeredAttempt)
	}
	require.Len(t, h.partStoreCalls, 1)
	stored := h.partStoreCalls[0].Entries
	require.Len(t, stored, 1)
	h.step(event.QuarantineList{Status: event.CallOK, Version: 4, Entries: stored})
	h.advance(time.Minute)
	require.Len(t, h.partStoreCalls, 1)

	peer := table.Process{Holder: table.Holder{Process: "edge-2", Incarnation: 3}, Domain: "b"}
	h.step(event.SessionOpened{Session: 1, Process: peer})
	sent := h.partReports()[len(h.partReports())-1]
	require.Equal(t, []table.Holder{peer.Holder}, sent.To)
	for name, e := range map[string]event.Event{
		"list":    event.QuarantineList{Status: event.CallOK, Version: 4, Entries: stored},
		"message": event.Crash{Parts: sent.Crash.Parts},
	} {
		t.Run(name, func(t *testing.T) {
			later := newServingHarness(t)
			waiting := later.sendPrompt("/feedback/1", "class", "tainted")
			later.step(e)
			later.refusePrompt("/feedback/1", "class", "tainted")
			require.Equal(t, table.CodeQuarantined, later.finishOf(waiting.Exchange).Outcome.Code)
			later.sendPrompt("/feedback/1", "class", "sound")
		})
	}
}

// Guards against a conviction that is lost because the store was down or another router
// wrote first.
func TestListOfPartsIsWrittenAfterConflictsAndOutages(t *testing.T) {
	h := newServingHarness(t)
	h.step(event.QuarantineList{Status: event.CallOK})
	for range 3 {
		h.crash("/feedback/1", "class", "tainted")
		h.endAttempt(h.sendPrompt("/feedback/2", "class", "sound"), answeredAttempt)
	}
	own := h.partStoreCalls[0].Entries[0].Fingerprint
	other := event.QuarantineEntry{Fingerprint: own + 1, Remaining: time.Minute}
	h.step(event.QuarantineList{Status: event.CallConflict, Version: 6, Entries: []event.QuarantineEntry{other}})
	require.Len(t, h.partStoreCalls, 2)
	require.Equal(t, uint64(6), h.partStoreCalls[1].Version)
	require.Len(t, h.partStoreCalls[1].Entries, 2)
	reads := h.partStoreReads
	h.step(event.QuarantineList{Status: event.CallOutcomeUnknown})
	h.advance(3 * time.Second)
	require.Equal(t, reads+1, h.partStoreReads, "after an unknown outcome the list must be read first")
	h.step(event.QuarantineList{Status: event.CallOK, Version: 6, Entries: []event.QuarantineEntry{other}})
	require.Len(t, h.partStoreCalls, 3)
}

// Guards against a router that is ready before it has tried to read the list of
// quarantined parts, and against one that is never ready because the store is down.
func TestRouterIsReadyAfterReadingListOfParts(t *testing.T) {
	for _, status := range []event.CallStatus{event.CallOK, event.CallNotApplied} {
		h := newServingHarness(t)
		require.Equal(t, 1, h.partStoreReads)
		require.False(t, isReady(h.world))
		h.step(event.QuarantineList{Status: status})
		require.True(t, isReady(h.world))
	}
}

// partFleet is a number of connected routers whose reports about parts arrive at once.
type partFleet struct {
	routers []*harness
	// messages counts the reports that were sent to all routers, and writes the writes of
	// the list.
	messages, writes int
}

func newPartFleet(t *testing.T, size int) *partFleet {
	f := &partFleet{}
	for i := range size {
		f.routers = append(f.routers, newNamedHarness(t, table.ProcessID(fmt.Sprint("edge-", i))).serve())
	}
	for i, h := range f.routers {
		h.step(event.QuarantineList{Status: event.CallOK})
		for j, peer := range f.routers {
			if i != j {
				event.SessionOpened{Session: uint64(j + 1), Process: peer.world.Params.Self}.AddTo(&h.world.In)
			}
		}
		h.step()
		h.crashReports, h.partStoreCalls = nil, nil
	}
	return f
}

// settle delivers reports and completes writes of the list until there are no more.
func (f *partFleet) settle() {
	for again := true; again; {
		again = false
		for i, h := range f.routers {
			reports, writes := h.partReports(), h.partStoreCalls
			h.crashReports, h.partStoreCalls = nil, nil
			for _, r := range reports {
				again = true
				f.messages++
				for j, peer := range f.routers {
					if i != j {
						peer.step(r.Crash)
					}
				}
			}
			for _, c := range writes {
				again = true
				f.writes++
				h.step(event.QuarantineList{Status: event.CallOK, Version: uint64(f.writes), Entries: c.Entries})
			}
		}
	}
}

// Guards against crashes, messages or store calls that grow with the number of routers.
func TestFleetQuarantinesPartAlike(t *testing.T) {
	const rounds = 12
	for _, size := range []int{3, 103} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newPartFleet(t, size)
			crashes := 0
			for round := range rounds {
				// The requests with the part come at another router each time.
				h := f.routers[(round*7)%size]
				a := h.newPrompt("/feedback/1", "class", "tainted")
				h.step(a)
				for _, c := range h.callsFor(a.Exchange) {
					crashes++
					h.endAttempt(c, crashedAttempt)
				}
				f.settle()
				for _, sound := range []*harness{h, f.routers[(round*5+1)%size]} {
					sound.endAttempt(sound.sendPrompt("/feedback/1", "class", "sound"), answeredAttempt)
					f.settle()
				}
				for _, h := range f.routers {
					h.advance(1100 * time.Millisecond)
				}
				f.settle()
			}
			require.Equal(t, 3, crashes)
			require.LessOrEqual(t, f.messages, 2*crashes+1, "a report and a clearance for each crash, and one that the list is written")
			require.Equal(t, 1, f.writes)
			for _, h := range f.routers {
				h.refusePrompt("/feedback/1", "class", "tainted")
			}
		})
	}
}

// Guards against a quarantine that the store lost by its return from a copy and that is not
// written again, so that a router which starts sends what crashes endpoints, and against
// versions of the list that are compared across the return.
func TestListOfPartsIsWrittenAgainAfterReturn(t *testing.T) {
	h := newServingHarness(t)
	h.step(event.QuarantineList{InEra: event.InEra{Era: 1}, Status: event.CallOK})
	for range 3 {
		h.crash("/feedback/1", "class", "tainted")
		h.endAttempt(h.sendPrompt("/feedback/2", "class", "sound"), answeredAttempt)
	}
	require.Len(t, h.partStoreCalls, 1)
	stored := h.partStoreCalls[0].Entries
	h.step(event.QuarantineList{InEra: event.InEra{Era: 1}, Status: event.CallOK, Version: 90, Entries: stored})
	reads := h.partStoreReads
	h.step(event.WatchResult{InEra: event.InEra{Era: 2}, Kind: table.WatchConfig, Status: event.WatchFailed})
	h.advance(3 * time.Second)
	require.Equal(t, reads+1, h.partStoreReads)
	h.step(event.QuarantineList{InEra: event.InEra{Era: 2}, Status: event.CallOK, Version: 7})
	require.Len(t, h.partStoreCalls, 2)
	require.Equal(t, uint64(7), h.partStoreCalls[1].Version)
	require.Equal(t, stored[0].Fingerprint, h.partStoreCalls[1].Entries[0].Fingerprint)
	h.step(event.Crash{Parts: &event.PartReport{StoredEra: 1, StoredVersion: 95}})
	require.Equal(t, uint64(7), h.world.PartList.Version)
	h.step(event.Crash{Parts: &event.PartReport{StoredEra: 2, StoredVersion: 9}})
	require.Equal(t, uint64(9), h.world.PartList.Version)
}
