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

// action is a step of a generated run: an event of normal operation or a fault. It draws
// its choices from rapid.
type action func(f *fleet)

func drawElement[T any](f *fleet, name string, from []T) T {
	return from[rapid.IntRange(0, len(from)-1).Draw(f.rapidT, name)]
}

func deliverRandom(f *fleet) {
	if len(f.messages) > 0 {
		f.deliver(rapid.IntRange(0, len(f.messages)-1).Draw(f.rapidT, "message"))
	}
}

func deliverOldest(f *fleet) {
	for i := rapid.IntRange(1, 6).Draw(f.rapidT, "messages"); i > 0 && len(f.messages) > 0; i-- {
		f.deliver(0)
	}
}

func duplicateMessage(f *fleet) {
	if len(f.messages) > 0 {
		if m := drawElement(f, "duplicate", f.messages); m.sentByNetwork() {
			f.messages = append(f.messages, m)
		}
	}
}

func dropMessage(f *fleet) {
	if len(f.messages) > 0 {
		i := rapid.IntRange(0, len(f.messages)-1).Draw(f.rapidT, "drop")
		if f.messages[i].sentByNetwork() {
			f.messages = slices.Delete(f.messages, i, i+1)
		}
	}
}

func breakSession(f *fleet) {
	f.endSession(drawElement(f, "router", f.routers), drawElement(f, "agent", f.agents).holder())
}

func killRouter(f *fleet) {
	r := drawElement(f, "router", f.routers)
	f.kill(r)
	if rapid.Bool().Draw(f.rapidT, "fence") {
		f.platform.fences = append(f.platform.fences, r.holder())
		for _, a := range f.agents {
			f.send(f.routers[0], a.holder().Process, table.Holder{}, event.Fence{From: f.routers[0].holder(), Holder: r.holder()})
		}
	}
}

func killAgent(f *fleet) { f.kill(drawElement(f, "agent", f.agents)) }

func toggleRouterPause(f *fleet) {
	r := drawElement(f, "router", f.routers)
	if r.paused {
		f.resume(r)
		return
	}
	r.paused = true
}

func syncRandomRouterMembership(f *fleet) { f.syncMembership(drawElement(f, "router", f.routers)) }

func changePlatformMode(f *fleet) {
	f.platform.mode = platformMode(rapid.IntRange(0, int(platformModeCount)-1).Draw(f.rapidT, "platform"))
}

func advanceRandomTime(f *fleet) {
	f.advanceTime(drawElement(f, "time", []time.Duration{
		time.Millisecond, 200 * time.Millisecond, time.Second, 11 * time.Minute, 40 * time.Minute, 2 * time.Hour,
	}))
}

func endRandomRun(f *fleet) {
	running := slices.DeleteFunc(slices.Clone(f.runs), func(x *execution) bool { return x.ended })
	if len(running) == 0 {
		return
	}
	x := drawElement(f, "run", running)
	f.endRun(x, drawElement(f, "status", []event.RunStatus{event.RunDone, event.RunDone, event.RunBroken}))
}

func issueKeyAtRandomRouter(f *fleet) {
	f.tick(drawElement(f, "router", f.routers), event.KeyIssueRequest{KeyHash: table.KeyHash{1}, Service: testService})
}

// sendRequestWithSharedKey sends a request with one of a few keys, so that requests share
// keys. Most of them also share their content.
func sendRequestWithSharedKey(f *fleet) {
	keys := append([]string{"k1", "k2"}, f.issuedKeys[max(0, len(f.issuedKeys)-2):]...)
	fingerprint := table.Fingerprint(rapid.IntRange(1, 8).Draw(f.rapidT, "content"))
	if fingerprint > 2 {
		fingerprint = 1
	}
	id := table.MakeRequestID(customer, drawElement(f, "key", keys))
	f.sendRequest(drawElement(f, "router", f.routers), id, fingerprint, rapid.Bool().Draw(f.rapidT, "retry"))
}

// retryRandomRequest sends a request again to any router, regardless of its outcome.
func retryRandomRequest(f *fleet) {
	if len(f.requests) > 0 {
		c := drawElement(f, "call", f.requests)
		f.sendRequest(drawElement(f, "router", f.routers), c.id, c.fingerprint, true)
	}
}

// runActions runs a random sequence of actions and calls check after each.
func (f *fleet) runActions(actions []action, check func()) {
	for range rapid.IntRange(20, 200).Draw(f.rapidT, "steps") {
		drawElement(f, "fault", actions)(f)
		check()
	}
}

// checkRunOnce fails if a key ran twice, or if a call ran although its caller was told
// NotRun.
func (f *fleet) checkRunOnce() {
	ran := map[table.RequestID]int{}
	for _, x := range f.runs {
		ran[x.id]++
		require.LessOrEqual(f.t, ran[x.id], 1, "key %s ran twice", x.id)
	}
	f.checkNotRun()
}

// checkNotRun fails if a call ran although its caller was told NotRun.
func (f *fleet) checkNotRun() {
	for _, c := range f.requests {
		if !c.answered || c.outcome.OK || c.outcome.Ran != table.NotRun || c.nonce == 0 {
			continue
		}
		for _, x := range f.runs {
			require.False(f.t, x.holder == c.router.holder() && x.nonce == c.nonce,
				"call of %s was told NotRun (%s) and ran", c.id, c.outcome.Code)
		}
	}
}

// checkAllAnswered fails if a caller of a live router still waits for a reply after all
// faults ended.
func (f *fleet) checkAllAnswered() {
	for _, r := range f.routers {
		var pending []string
		r.w.Requests.Each(func(id table.RequestID, row *table.Request) {
			pending = append(pending, fmt.Sprintf("%s state %d agent %v search %+v", id, row.State(), row.Agent, r.w.KeySearches.Get(id)))
		})
		require.Empty(f.t, r.pendingReplies, "callers still wait for a reply: %v", pending)
		require.Zero(f.t, r.w.Requests.Len())
		require.Zero(f.t, r.w.KeySearches.Len())
	}
}

// Guards against calls that run twice and against a false NotRun, with claims and with
// issued keys, under message, router, agent and platform faults.
func TestCallRunsAtMostOnceUnderFaults(t *testing.T) {
	actions := []action{
		deliverRandom, deliverRandom, deliverRandom, deliverOldest, deliverOldest, deliverOldest, deliverOldest,
		sendRequestWithSharedKey, sendRequestWithSharedKey, retryRandomRequest, retryRandomRequest, issueKeyAtRandomRouter, endRandomRun, endRandomRun, duplicateMessage, dropMessage, breakSession,
		killRouter, killAgent, toggleRouterPause, syncRandomRouterMembership, syncRandomRouterMembership, changePlatformMode, advanceRandomTime,
	}
	rapid.Check(t, func(t *rapid.T) {
		f := newRapidFleet(t, 3, 2)
		f.useOneSlot()
		f.runActions(actions, f.checkRunOnce)
		f.endFaults()
		f.checkRunOnce()
		f.checkAllAnswered()
	})
}

// useOneSlot sets one slot per endpoint, so that agents often reject work as busy.
func (f *fleet) useOneSlot() {
	f.slots = 1
	for _, a := range f.agents {
		a.w.Endpoints.Get(endpointOf(a.holder().Process)).Slots = 1
	}
}

// Guards against running or billing a model request twice after its router failed, and
// against a model request that retries never complete.
func TestModelRequestCompletesOnce(t *testing.T) {
	actions := []action{
		deliverOldest, deliverOldest, deliverOldest, deliverOldest, retryFailedRequest, retryFailedRequest, retryFailedRequest,
		sendRequestWithNewKey, retryRandomRequest, endRandomRun, endRandomRun, duplicateMessage, killRouter, syncRandomRouterMembership, syncRandomRouterMembership,
	}
	rapid.Check(t, func(t *rapid.T) {
		f := newRapidFleet(t, 3, 3)
		f.modelRequests = true
		f.runActions(actions, f.checkBilledOnce)
		f.endFaults()
		f.checkBilledOnce()
		f.checkAllAnswered()
		f.checkRetriesSucceed()
	})
}

// Guards against two runs for two requests that share a key but are not marked as
// retries, which a caller's own load balancer may send.
func TestConcurrentCallersShareOneRun(t *testing.T) {
	actions := []action{deliverOldest, deliverOldest, deliverOldest, sendRequestWithNewKey, resendWithoutRetryFlag, resendWithoutRetryFlag, endRandomRun, duplicateIndexMessage}
	rapid.Check(t, func(t *rapid.T) {
		f := newRapidFleet(t, 3, 3)
		f.modelRequests = true
		f.runActions(actions, f.checkBilledOnce)
		f.endFaults()
		f.checkBilledOnce()
		f.checkAllAnswered()
		f.checkRetriesSucceed()
	})
}

// resendWithoutRetryFlag sends a request again to a random router, not marked as a retry,
// while the first may be in progress.
func resendWithoutRetryFlag(f *fleet) {
	if len(f.requests) > 0 {
		c := drawElement(f, "call", f.requests)
		f.sendRequest(drawElement(f, "router", f.routers), c.id, c.fingerprint, false)
	}
}

// duplicateIndexMessage duplicates a key query between routers or its answer. Key records
// are not duplicated: a session is one TCP connection, which delivers them once and in
// order, and an old record that replaces a newer one would hide the newer run.
func duplicateIndexMessage(f *fleet) {
	for _, m := range f.messages {
		switch m.event.(type) {
		case event.KeyQuery, event.KeyResult:
			f.messages = append(f.messages, m)
			return
		}
	}
}

// sendRequestWithNewKey sends a request with a new key.
func sendRequestWithNewKey(f *fleet) {
	id := table.MakeRequestID(customer, "g"+string(rune('a'+len(f.requests)%26))+string(rune('a'+len(f.requests)/26)))
	f.sendRequest(drawElement(f, "router", f.routers), id, 1, false)
}

// retryFailedRequest retries the latest request that failed or was lost with its router.
func retryFailedRequest(f *fleet) {
	for i := len(f.requests) - 1; i >= 0; i-- {
		c := f.requests[i]
		if isLatestForKey(f, c) && !c.outcome.OK && (c.answered || c.router.dead) {
			f.sendRequest(drawElement(f, "router", f.routers), c.id, c.fingerprint, true)
			return
		}
	}
}

// isLatestForKey reports whether c is the last request that was sent with its key.
func isLatestForKey(f *fleet, c *clientRequest) bool {
	for _, other := range slices.Backward(f.requests) {
		if other.id == c.id {
			return other == c
		}
	}
	return false
}

// checkBilledOnce fails if a request id completed twice, or if the routers billed it
// twice or billed it for the run of another call.
func (f *fleet) checkBilledOnce() {
	completed := map[table.RequestID]*execution{}
	for _, x := range f.runs {
		if x.completed {
			require.Nil(f.t, completed[x.id], "%s completed twice", x.id)
			completed[x.id] = x
		}
	}
	billed := map[table.RequestID]bool{}
	for _, c := range f.requests {
		if !c.answered || !c.outcome.OK || c.outcome.Replayed {
			continue
		}
		require.False(f.t, billed[c.id], "%s was billed twice", c.id)
		billed[c.id] = true
		x := completed[c.id]
		require.NotNil(f.t, x)
		require.True(f.t, x.holder == c.router.holder() && x.nonce == c.nonce, "%s was billed for a run of another call", c.id)
	}
}

// checkRetriesSucceed fails if a request has no successful answer in a healthy fleet
// although its caller retries for as long as the index may reserve a key.
func (f *fleet) checkRetriesSucceed() {
	for _, c := range slices.Clone(f.requests) {
		if !isLatestForKey(f, c) || c.outcome.OK {
			continue
		}
		for until := f.now.Add(31 * time.Second); !c.outcome.OK && f.now < until; f.advanceTime(time.Second) {
			c = f.sendRequest(f.routers[0], c.id, c.fingerprint, true)
			f.runUntilIdle()
			if !c.outcome.OK {
				require.NotZero(f.t, c.outcome.RetryAfter, "%s: %s", c.outcome.Code, c.outcome.Reason)
			}
		}
		require.True(f.t, c.outcome.OK, "%s: %s", c.outcome.Code, c.outcome.Reason)
	}
	f.checkBilledOnce()
}
