package dedup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

func booking(i int) table.RequestID {
	return table.MakeRequestID(customer, fmt.Sprintf("booking-%d", i))
}

// issueKey returns the id of a new issued key.
func (f *fleet) issueKey() table.RequestID {
	f.tick(f.routers[0], event.KeyIssue{KeyHash: table.KeyHash{1}, Service: testService})
	return table.MakeRequestID(customer, f.issued[len(f.issued)-1])
}

func requireOutcome(t *testing.T, c *call, code table.Code, ran table.Ran) {
	t.Helper()
	require.True(t, c.answered)
	require.Equal(t, code, c.outcome.Code, c.outcome.Reason)
	require.Equal(t, ran, c.outcome.Ran, c.outcome.Reason)
}

// Guards against growth of the platform calls per booking, which bound how many
// bookings the platform can take.
func TestPlatformCallsPerBooking(t *testing.T) {
	const bookings = 1000
	f := newFleet(t, 3, 2)
	for i := range bookings {
		c := f.call(f.routers[i%3], booking(i), 1, false)
		f.settle()
		require.True(t, c.outcome.OK, c.outcome.Reason)
	}
	t.Logf("claim: %d calls, %d of them writes, for %d bookings", f.platform.calls, f.platform.writes, bookings)
	require.Equal(t, 2*bookings, f.platform.calls)
	require.Equal(t, 2*bookings, f.platform.writes)

	f.platform.calls, f.platform.writes = 0, 0
	for i := range bookings {
		c := f.call(f.routers[(i+1)%3], booking(i), 1, true)
		f.settle()
		require.True(t, c.outcome.OK && c.outcome.Replayed, c.outcome.Reason)
	}
	t.Logf("retry of a claimed booking: %d calls, %d of them writes, for %d retries", f.platform.calls, f.platform.writes, bookings)
	require.Equal(t, bookings, f.platform.calls)
	require.Zero(t, f.platform.writes)

	f.platform.calls = 0
	for i := range bookings {
		id := f.issueKey()
		for retry, router := range []*node{f.routers[i%3], f.routers[(i+1)%3]} {
			c := f.call(router, id, 1, retry > 0)
			f.settle()
			require.True(t, c.outcome.OK, c.outcome.Reason)
			require.Equal(t, retry > 0, c.outcome.Replayed)
		}
	}
	t.Logf("issued key: %d calls for %d bookings with a retry each", f.platform.calls, bookings)
	require.Zero(t, f.platform.calls)
}

// Guards against bookings that wait for the platform or are refused falsely in
// an outage, and against a NotRun that is a guess.
func TestBookingsInAnOutage(t *testing.T) {
	f := newFleet(t, 2, 1)
	issued := f.issueKey()
	f.platform.mode = platformDown
	c := f.call(f.routers[0], booking(1), 1, false)
	f.settle()
	requireOutcome(t, c, table.CodeClaimUnavailable, table.NotRun)
	c = f.call(f.routers[0], booking(1), 1, true)
	f.settle()
	requireOutcome(t, c, table.CodeClaimUnavailable, table.RanUnknown)
	c = f.call(f.routers[0], issued, 1, false)
	f.settle()
	require.True(t, c.outcome.OK, c.outcome.Reason)

	f.platform.mode = platformLosesAnswers
	c = f.call(f.routers[0], booking(2), 1, false)
	f.settle()
	requireOutcome(t, c, table.CodeClaimUnavailable, table.RanUnknown)
	f.platform.mode = platformUp
	c = f.call(f.routers[1], booking(2), 1, true)
	f.settle()
	require.True(t, c.outcome.OK, "the claim that was never used passes to the retry: %s", c.outcome.Reason)
}

// Guards against a lost answer to a create that costs the booking.
func TestLostCreateAnswerIsReadBack(t *testing.T) {
	for _, mode := range []platformMode{platformLosesAnswers, platformLate} {
		f := newFleet(t, 1, 1)
		c := f.call(f.routers[0], booking(1), 1, false)
		f.platform.mode = mode
		f.deliver(0)
		f.platform.mode = platformUp
		f.settle()
		require.True(t, c.outcome.OK, c.outcome.Reason)
		require.Len(t, f.runs, 1)
	}
}

// Guards against a second run when a router died between claim and dispatch, or
// resumes after its claim has passed to another router.
func TestClaimPassesFromPausedRouter(t *testing.T) {
	f := newFleet(t, 2, 2)
	first := f.call(f.routers[0], booking(1), 1, false)
	f.deliver(0)
	f.routers[0].paused = true
	f.settle()
	require.Empty(t, f.runs, "the create's answer waits in the paused router")
	second := f.call(f.routers[1], booking(1), 1, true)
	f.settle()
	require.True(t, second.outcome.OK, second.outcome.Reason)
	f.resume(f.routers[0])
	f.settle()
	require.Len(t, f.runs, 1)
	requireOutcome(t, first, table.CodeKeyInUse, table.RanUnknown)
}

// Guards against NotRun for a key whose agent restarted and lost its memory.
func TestKeyOfRestartedAgentIsUnknown(t *testing.T) {
	f := newFleet(t, 2, 1)
	issued := f.issueKey()
	c := f.call(f.routers[0], booking(1), 1, false)
	f.deliver(0)
	f.deliver(0)
	f.kill(f.routers[0])
	f.kill(f.agents[0])
	f.syncAll()
	f.settle()
	require.False(t, c.answered)
	for _, id := range []table.RequestID{issued, booking(1)} {
		c = f.call(f.routers[1], id, 1, true)
		f.settle()
		requireOutcome(t, c, table.CodeKeyLost, table.RanUnknown)
	}
}

// Guards against an answer for another request under a key that was used.
func TestKeyOfAnotherContentIsRefused(t *testing.T) {
	f := newFleet(t, 2, 1)
	for _, id := range []table.RequestID{booking(1), f.issueKey()} {
		f.call(f.routers[0], id, 1, false)
		f.settle()
		c := f.call(f.routers[1], id, 2, false)
		f.settle()
		requireOutcome(t, c, table.CodeKeyMismatch, table.NotRun)
	}
}

// Guards against requests that wait for an index router that does not answer.
func TestSilentIndexRouterDelaysShortly(t *testing.T) {
	f := newFleet(t, 3, 1)
	f.model = true
	f.routers[1].paused, f.routers[2].paused = true, true
	for i := range 20 {
		c := f.call(f.routers[0], booking(i), 1, false)
		f.settle()
		f.advance(150 * time.Millisecond)
		f.settle()
		require.True(t, c.outcome.OK, c.outcome.Reason)
	}
}

// Guards against a second run of a generated key that its caller sends again.
func TestGeneratedKeyIsNotRunAgain(t *testing.T) {
	f := newFleet(t, 2, 1)
	id := table.MakeRequestID(customer, table.GeneratedKey("x"))
	c := f.call(f.routers[0], id, 1, true)
	f.settle()
	requireOutcome(t, c, table.CodeKeyLost, table.RanUnknown)
	require.Empty(t, f.runs)
}

// Guards against keys for callers that are not known or may not use a service.
func TestKeyIssueIsAuthorised(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.tick(f.routers[0],
		event.KeyIssue{KeyHash: table.KeyHash{2}, Service: testService},
		event.KeyIssue{KeyHash: table.KeyHash{1}, Service: "other"})
	require.Empty(t, f.issued)
}

// Guards against the late end of an earlier call that is taken for the answer of
// a later one with the same key at the same router.
func TestLateEndOfEarlierCallIsDropped(t *testing.T) {
	f := newFleet(t, 1, 1)
	id := f.issueKey()
	f.call(f.routers[0], id, 1, false)
	for len(f.runs) == 0 {
		f.deliver(0)
	}
	late := f.seenAttempt(id)
	f.lose(f.routers[0], f.agents[0].holder())
	second := f.call(f.routers[0], id, 2, false)
	f.tick(f.routers[0], event.AttemptEnd{Request: id, Attempt: late, Status: event.AttemptDone, Ran: table.DidRun})
	require.False(t, second.answered)
	f.settle()
	requireOutcome(t, second, table.CodeKeyMismatch, table.NotRun)
}

func (f *fleet) seenAttempt(id table.RequestID) uint32 {
	return f.routers[0].w.Requests.Get(id).Attempt
}

// Guards against a dispatch that was on its way when its router died, and runs
// beside the retry at another router.
func TestLateDispatchOfDeadRouterDoesNotRun(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.model = true
	f.call(f.routers[0], booking(1), 1, false)
	var late []message
	for late == nil {
		if _, ok := f.net[0].event.(event.Dispatch); ok {
			late = append(late, f.net[0])
		}
		if late == nil {
			f.deliver(0)
		}
	}
	f.net = nil
	f.kill(f.routers[0])
	f.syncAll()
	again := f.call(f.routers[1], booking(1), 1, true)
	f.settle()
	f.net = late
	f.settle()
	require.True(t, again.outcome.OK, again.outcome.Reason)
	require.Len(t, f.runs, 1)
}

// Guards against a router that runs a failed key again although a retry at
// another router has it by then.
func TestFailedKeyBelongsToTheRetry(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.model = true
	id := booking(1)
	f.call(f.routers[0], id, 1, false)
	for len(f.runs) == 0 {
		f.deliver(0)
	}
	f.end(f.runs[0], event.RunBroken)
	f.net = nil
	first := f.routers[0].w.Requests.Get(id)
	lookup := event.Lookup{From: f.routers[1].holder(), Request: id, Refuse: true, Nonce: first.Nonce + 1}
	f.tick(f.agents[0], lookup)
	f.tick(f.routers[0], event.AttemptEnd{Request: id, Attempt: first.Attempt, Status: event.AttemptBroken, Ran: table.DidRun})
	f.settle()
	require.Len(t, f.runs, 1)
	requireOutcome(t, f.calls[0], table.CodeKeyInUse, table.RanUnknown)
}
