package dedup_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// faults are the steps of a generated run. Each takes its choices from rapid.
type fault func(f *fleet)

func pick[T any](f *fleet, name string, from []T) T {
	return from[rapid.IntRange(0, len(from)-1).Draw(f.draw, name)]
}

func deliverAny(f *fleet) {
	if len(f.net) > 0 {
		f.deliver(rapid.IntRange(0, len(f.net)-1).Draw(f.draw, "message"))
	}
}

func deliverOldest(f *fleet) {
	for i := rapid.IntRange(1, 6).Draw(f.draw, "messages"); i > 0 && len(f.net) > 0; i-- {
		f.deliver(0)
	}
}

func duplicate(f *fleet) {
	if len(f.net) > 0 {
		if m := pick(f, "duplicate", f.net); m.onWire() {
			f.net = append(f.net, m)
		}
	}
}

func drop(f *fleet) {
	if len(f.net) > 0 {
		i := rapid.IntRange(0, len(f.net)-1).Draw(f.draw, "drop")
		if f.net[i].onWire() {
			f.net = slices.Delete(f.net, i, i+1)
		}
	}
}

func breakSession(f *fleet) {
	f.lose(pick(f, "router", f.routers), pick(f, "agent", f.agents).holder())
}

func killRouter(f *fleet) {
	r := pick(f, "router", f.routers)
	f.kill(r)
	if rapid.Bool().Draw(f.draw, "fence") {
		f.platform.fences = append(f.platform.fences, r.holder())
		for _, a := range f.agents {
			f.send(f.routers[0], a.holder().Process, table.Holder{}, event.Fence{From: f.routers[0].holder(), Holder: r.holder()})
		}
	}
}

func killAgent(f *fleet) { f.kill(pick(f, "agent", f.agents)) }

func pauseOrResume(f *fleet) {
	r := pick(f, "router", f.routers)
	if r.paused {
		f.resume(r)
		return
	}
	r.paused = true
}

func syncOne(f *fleet) { f.sync(pick(f, "router", f.routers)) }

func changePlatform(f *fleet) {
	f.platform.mode = platformMode(rapid.IntRange(0, int(platformModes)-1).Draw(f.draw, "platform"))
}

func passTime(f *fleet) {
	f.advance(pick(f, "time", []time.Duration{
		time.Millisecond, 200 * time.Millisecond, time.Second, 11 * time.Minute, 40 * time.Minute, 2 * time.Hour,
	}))
}

func endRun(f *fleet) {
	open := slices.DeleteFunc(slices.Clone(f.runs), func(x *execution) bool { return x.ended })
	if len(open) == 0 {
		return
	}
	x := pick(f, "run", open)
	f.end(x, pick(f, "status", []event.RunStatus{event.RunDone, event.RunDone, event.RunBroken}))
}

func issueKey(f *fleet) {
	f.tick(pick(f, "router", f.routers), event.KeyIssue{KeyHash: table.KeyHash{1}, Service: testService})
}

// callAny makes a call with one of a few keys, so that calls meet.
func callAny(f *fleet) {
	keys := append([]string{"k1", "k2"}, f.issued[max(0, len(f.issued)-2):]...)
	print := table.Fingerprint(rapid.IntRange(1, 8).Draw(f.draw, "content"))
	if print > 2 {
		print = 1
	}
	id := table.MakeRequestID(customer, pick(f, "key", keys))
	f.call(pick(f, "router", f.routers), id, print, rapid.Bool().Draw(f.draw, "retry"))
}

// retryAny sends a call again, to any router, whatever became of it.
func retryAny(f *fleet) {
	if len(f.calls) > 0 {
		c := pick(f, "call", f.calls)
		f.call(pick(f, "router", f.routers), c.id, c.print, true)
	}
}

func (f *fleet) steps(faults []fault, check func()) {
	for range rapid.IntRange(20, 200).Draw(f.draw, "steps") {
		pick(f, "fault", faults)(f)
		check()
	}
}

// checkOnce fails if a key that must not repeat ran twice, or if a call ran that
// its caller was told did not.
func (f *fleet) checkOnce() {
	ran := map[table.RequestID]int{}
	for _, x := range f.runs {
		ran[x.id]++
		require.LessOrEqual(f.t, ran[x.id], 1, "key %s ran twice", x.id)
	}
	f.checkNotRun()
}

func (f *fleet) checkNotRun() {
	for _, c := range f.calls {
		if !c.answered || c.outcome.OK || c.outcome.Ran != table.NotRun || c.nonce == 0 {
			continue
		}
		for _, x := range f.runs {
			require.False(f.t, x.holder == c.router.holder() && x.nonce == c.nonce,
				"call of %s was told NotRun (%s) and ran", c.id, c.outcome.Code)
		}
	}
}

// checkAnswered fails if a caller of a live router still waits after all faults
// ended.
func (f *fleet) checkAnswered() {
	for _, r := range f.routers {
		var open []string
		r.w.Requests.Each(func(id table.RequestID, row *table.Request) {
			open = append(open, fmt.Sprintf("%s state %d agent %v search %+v", id, row.State(), row.Agent, r.w.Searches.Get(id)))
		})
		require.Empty(f.t, r.unanswered, "a caller waits for ever: %v", open)
		require.Zero(f.t, r.w.Requests.Len())
		require.Zero(f.t, r.w.Searches.Len())
	}
}

// Guards against bookings that run twice and against a false NotRun, with claims
// and issued keys, whatever messages, routers, agents and the platform do.
func TestCallRunsAtMostOnceUnderFaults(t *testing.T) {
	faults := []fault{
		deliverAny, deliverAny, deliverAny, deliverOldest, deliverOldest, deliverOldest, deliverOldest,
		callAny, callAny, retryAny, retryAny, issueKey, endRun, endRun, duplicate, drop, breakSession,
		killRouter, killAgent, pauseOrResume, syncOne, syncOne, changePlatform, passTime,
	}
	rapid.Check(t, func(t *rapid.T) {
		f := drawnFleet(t, 3, 2)
		f.useOneSlot()
		f.steps(faults, f.checkOnce)
		f.heal()
		f.checkOnce()
		f.checkAnswered()
	})
}

// useOneSlot makes agents refuse work as busy often.
func (f *fleet) useOneSlot() {
	f.slots = 1
	for _, a := range f.agents {
		a.w.Endpoints.Get(endpointOf(a.holder().Process)).Slots = 1
	}
}

// Guards against a second run or a second bill of a model request whose router
// died, and against one that is never answered again.
func TestGenerateRunsToTheEndOnce(t *testing.T) {
	faults := []fault{
		deliverOldest, deliverOldest, deliverOldest, deliverOldest, retryDead, retryDead, retryDead,
		callNew, retryAny, endRun, endRun, duplicate, killRouter, syncOne, syncOne,
	}
	rapid.Check(t, func(t *rapid.T) {
		f := drawnFleet(t, 3, 3)
		f.model = true
		f.steps(faults, f.checkBilledOnce)
		f.heal()
		f.checkBilledOnce()
		f.checkAnswered()
		f.checkRetriesFinish()
	})
}

// Guards against two runs for two callers with one key who do not say that they
// retry, as a caller's own load balancer may cause.
func TestConcurrentCallersShareOneRun(t *testing.T) {
	faults := []fault{deliverOldest, deliverOldest, deliverOldest, callNew, callAgain, callAgain, endRun, duplicateQuery}
	rapid.Check(t, func(t *rapid.T) {
		f := drawnFleet(t, 3, 3)
		f.model = true
		f.steps(faults, f.checkBilledOnce)
		f.heal()
		f.checkBilledOnce()
		f.checkAnswered()
		f.checkRetriesFinish()
	})
}

// callAgain sends a call to another router while the first may be in progress.
func callAgain(f *fleet) {
	if len(f.calls) > 0 {
		c := pick(f, "call", f.calls)
		f.call(pick(f, "router", f.routers), c.id, c.print, false)
	}
}

// duplicateQuery repeats a question between routers or its answer. Records are
// not repeated: a session is one TCP connection, which delivers them once and in
// order, and an old record in place of a newer one would hide the newer run.
func duplicateQuery(f *fleet) {
	for _, m := range f.net {
		switch m.event.(type) {
		case event.KeyQuery, event.KeyResult:
			f.net = append(f.net, m)
			return
		}
	}
}

// callNew makes a call with a key of its own.
func callNew(f *fleet) {
	id := table.MakeRequestID(customer, "g"+string(rune('a'+len(f.calls)%26))+string(rune('a'+len(f.calls)/26)))
	f.call(pick(f, "router", f.routers), id, 1, false)
}

// retryDead sends again what was lost with its router, or refused as in use.
func retryDead(f *fleet) {
	for i := len(f.calls) - 1; i >= 0; i-- {
		c := f.calls[i]
		if latest(f, c) && !c.outcome.OK && (c.answered || c.router.dead) {
			f.call(pick(f, "router", f.routers), c.id, c.print, true)
			return
		}
	}
}

func latest(f *fleet, c *call) bool {
	for _, other := range slices.Backward(f.calls) {
		if other.id == c.id {
			return other == c
		}
	}
	return false
}

// checkBilledOnce fails if an id ran to its end twice, or if the routers billed
// it twice or billed a run of another call.
func (f *fleet) checkBilledOnce() {
	whole := map[table.RequestID]*execution{}
	for _, x := range f.runs {
		if x.whole {
			require.Nil(f.t, whole[x.id], "%s ran to the end twice", x.id)
			whole[x.id] = x
		}
	}
	billed := map[table.RequestID]bool{}
	for _, c := range f.calls {
		if !c.answered || !c.outcome.OK || c.outcome.Replayed {
			continue
		}
		require.False(f.t, billed[c.id], "%s was billed twice", c.id)
		billed[c.id] = true
		x := whole[c.id]
		require.NotNil(f.t, x)
		require.True(f.t, x.holder == c.router.holder() && x.nonce == c.nonce, "%s was billed for a run of another call", c.id)
	}
}

// checkRetriesFinish fails if a request has no answer in a healthy fleet though
// its caller retries as it is told. The time is that of the longest reservation
// of a key at the index.
func (f *fleet) checkRetriesFinish() {
	for _, c := range slices.Clone(f.calls) {
		if !latest(f, c) || c.outcome.OK {
			continue
		}
		for until := f.now.Add(31 * time.Second); !c.outcome.OK && f.now < until; f.advance(time.Second) {
			c = f.call(f.routers[0], c.id, c.print, true)
			f.settle()
			if !c.outcome.OK {
				require.NotZero(f.t, c.outcome.RetryAfter, "%s: %s", c.outcome.Code, c.outcome.Reason)
			}
		}
		require.True(f.t, c.outcome.OK, "%s: %s", c.outcome.Code, c.outcome.Reason)
	}
	f.checkBilledOnce()
}
