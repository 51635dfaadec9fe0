package dedup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// bookingID returns the id of a call with a key that its caller chose.
func bookingID(i int) table.RequestID {
	return table.MakeRequestID(customer, fmt.Sprintf("booking-%d", i))
}

// issueKey returns the request id of a newly issued key.
func (f *fleet) issueKey() table.RequestID {
	f.tick(f.routers[0], event.KeyIssueRequest{KeyHash: table.KeyHash{1}, Service: testService})
	return table.MakeRequestID(customer, f.issuedKeys[len(f.issuedKeys)-1])
}

func requireOutcome(t *testing.T, c *clientRequest, code table.Code, ran table.Ran) {
	t.Helper()
	require.True(t, c.answered)
	require.Equal(t, code, c.outcome.Code, c.outcome.Reason)
	require.Equal(t, ran, c.outcome.Ran, c.outcome.Reason)
}

// Guards against an increase in platform calls per booking, which determine how many
// bookings the platform can handle.
func TestPlatformCallsPerBooking(t *testing.T) {
	const bookings = 1000
	f := newFleet(t, 3, 2)
	for i := range bookings {
		c := f.sendRequest(f.routers[i%3], bookingID(i), 1, false)
		f.runUntilIdle()
		require.True(t, c.outcome.OK, c.outcome.Reason)
	}
	t.Logf("claim: %d calls, %d of them writes, for %d bookings", f.platform.calls, f.platform.writes, bookings)
	require.Equal(t, 2*bookings, f.platform.calls)
	require.Equal(t, 2*bookings, f.platform.writes)

	f.platform.calls, f.platform.writes = 0, 0
	for i := range bookings {
		c := f.sendRequest(f.routers[(i+1)%3], bookingID(i), 1, true)
		f.runUntilIdle()
		require.True(t, c.outcome.OK && c.outcome.Replayed, c.outcome.Reason)
	}
	t.Logf("retry of a claimed booking: %d calls, %d of them writes, for %d retries", f.platform.calls, f.platform.writes, bookings)
	require.Equal(t, bookings, f.platform.calls)
	require.Zero(t, f.platform.writes)

	f.platform.calls = 0
	for i := range bookings {
		id := f.issueKey()
		for retry, router := range []*node{f.routers[i%3], f.routers[(i+1)%3]} {
			c := f.sendRequest(router, id, 1, retry > 0)
			f.runUntilIdle()
			require.True(t, c.outcome.OK, c.outcome.Reason)
			require.Equal(t, retry > 0, c.outcome.Replayed)
		}
	}
	t.Logf("issued key: %d calls for %d bookings with a retry each", f.platform.calls, bookings)
	require.Zero(t, f.platform.calls)
}

// Guards against bookings that wait for the platform during an outage or are refused
// without need, and against NotRun for a booking that may have run.
func TestBookingsDuringPlatformOutage(t *testing.T) {
	f := newFleet(t, 2, 1)
	issued := f.issueKey()
	f.platform.mode = platformDown
	c := f.sendRequest(f.routers[0], bookingID(1), 1, false)
	f.runUntilIdle()
	requireOutcome(t, c, table.CodeClaimUnavailable, table.NotRun)
	c = f.sendRequest(f.routers[0], bookingID(1), 1, true)
	f.runUntilIdle()
	requireOutcome(t, c, table.CodeClaimUnavailable, table.RanUnknown)
	c = f.sendRequest(f.routers[0], issued, 1, false)
	f.runUntilIdle()
	require.True(t, c.outcome.OK, c.outcome.Reason)

	f.platform.mode = platformLosesAnswers
	c = f.sendRequest(f.routers[0], bookingID(2), 1, false)
	f.runUntilIdle()
	requireOutcome(t, c, table.CodeClaimUnavailable, table.RanUnknown)
	f.platform.mode = platformUp
	c = f.sendRequest(f.routers[1], bookingID(2), 1, true)
	f.runUntilIdle()
	require.True(t, c.outcome.OK, "the retry takes over the claim that was never used: %s", c.outcome.Reason)
}

// Guards against a booking that fails because the answer to its create was lost.
func TestLostCreateAnswerIsReadBack(t *testing.T) {
	for _, mode := range []platformMode{platformLosesAnswers, platformDelaysWrites} {
		f := newFleet(t, 1, 1)
		c := f.sendRequest(f.routers[0], bookingID(1), 1, false)
		f.platform.mode = mode
		f.deliver(0)
		f.platform.mode = platformUp
		f.runUntilIdle()
		require.True(t, c.outcome.OK, c.outcome.Reason)
		require.Len(t, f.runs, 1)
	}
}

// Guards against a second run when a router is paused between claim and dispatch, and
// resumes after another router took over its claim.
func TestClaimIsTakenOverFromPausedRouter(t *testing.T) {
	f := newFleet(t, 2, 2)
	first := f.sendRequest(f.routers[0], bookingID(1), 1, false)
	f.deliver(0)
	f.routers[0].paused = true
	f.runUntilIdle()
	require.Empty(t, f.runs, "the create's answer waits in the paused router")
	second := f.sendRequest(f.routers[1], bookingID(1), 1, true)
	f.runUntilIdle()
	require.True(t, second.outcome.OK, second.outcome.Reason)
	f.resume(f.routers[0])
	f.runUntilIdle()
	require.Len(t, f.runs, 1)
	requireOutcome(t, first, table.CodeKeyInUse, table.RanUnknown)
}

// Guards against NotRun for a key whose agent restarted and lost its records.
func TestKeyOfRestartedAgentIsUnknown(t *testing.T) {
	f := newFleet(t, 2, 1)
	issued := f.issueKey()
	c := f.sendRequest(f.routers[0], bookingID(1), 1, false)
	f.deliver(0)
	f.deliver(0)
	f.kill(f.routers[0])
	f.kill(f.agents[0])
	f.syncAllMembership()
	f.runUntilIdle()
	require.False(t, c.answered)
	for _, id := range []table.RequestID{issued, bookingID(1)} {
		c = f.sendRequest(f.routers[1], id, 1, true)
		f.runUntilIdle()
		requireOutcome(t, c, table.CodeKeyLost, table.RanUnknown)
	}
}

// Guards against answering a request with the answer of another request that used the
// same key.
func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	f := newFleet(t, 2, 1)
	for _, id := range []table.RequestID{bookingID(1), f.issueKey()} {
		f.sendRequest(f.routers[0], id, 1, false)
		f.runUntilIdle()
		c := f.sendRequest(f.routers[1], id, 2, false)
		f.runUntilIdle()
		requireOutcome(t, c, table.CodeKeyMismatch, table.NotRun)
	}
}

// Guards against requests that wait too long for index routers that do not answer.
func TestUnresponsiveIndexRouterDelaysBriefly(t *testing.T) {
	f := newFleet(t, 3, 1)
	f.modelRequests = true
	f.routers[1].paused, f.routers[2].paused = true, true
	for i := range 20 {
		c := f.sendRequest(f.routers[0], bookingID(i), 1, false)
		f.runUntilIdle()
		f.advanceTime(150 * time.Millisecond)
		f.runUntilIdle()
		require.True(t, c.outcome.OK, c.outcome.Reason)
	}
}

// Guards against a second run of a key that a router generated and the caller sends
// again.
func TestGeneratedKeyIsNotRunAgain(t *testing.T) {
	f := newFleet(t, 2, 1)
	id := table.MakeRequestID(customer, table.GeneratedKey("x"))
	c := f.sendRequest(f.routers[0], id, 1, true)
	f.runUntilIdle()
	requireOutcome(t, c, table.CodeKeyLost, table.RanUnknown)
	require.Empty(t, f.runs)
}

// Guards against issuing keys to unknown callers or for services that the customer may
// not use.
func TestKeyIssueIsAuthorized(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.tick(f.routers[0],
		event.KeyIssueRequest{KeyHash: table.KeyHash{2}, Service: testService},
		event.KeyIssueRequest{KeyHash: table.KeyHash{1}, Service: "other"})
	require.Empty(t, f.issuedKeys)
}

// Guards against taking the late end of an earlier call for the answer to a later call
// with the same key at the same router.
func TestLateEndOfEarlierCallIsDropped(t *testing.T) {
	f := newFleet(t, 1, 1)
	id := f.issueKey()
	f.sendRequest(f.routers[0], id, 1, false)
	for len(f.runs) == 0 {
		f.deliver(0)
	}
	late := f.currentAttempt(id)
	f.endSession(f.routers[0], f.agents[0].holder())
	second := f.sendRequest(f.routers[0], id, 2, false)
	f.tick(f.routers[0], event.AttemptEnd{Request: id, Attempt: late, Status: event.AttemptDone, Ran: table.DidRun})
	require.False(t, second.answered)
	f.runUntilIdle()
	requireOutcome(t, second, table.CodeKeyMismatch, table.NotRun)
}

func (f *fleet) currentAttempt(id table.RequestID) uint32 {
	return f.routers[0].w.Requests.Get(id).Attempt
}

// Guards against running a dispatch that was in transit when its router failed, in
// addition to the retry at another router.
func TestLateDispatchOfDeadRouterDoesNotRun(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.modelRequests = true
	f.sendRequest(f.routers[0], bookingID(1), 1, false)
	var late []message
	for late == nil {
		if _, ok := f.messages[0].event.(event.Dispatch); ok {
			late = append(late, f.messages[0])
		}
		if late == nil {
			f.deliver(0)
		}
	}
	f.messages = nil
	f.kill(f.routers[0])
	f.syncAllMembership()
	retried := f.sendRequest(f.routers[1], bookingID(1), 1, true)
	f.runUntilIdle()
	f.messages = late
	f.runUntilIdle()
	require.True(t, retried.outcome.OK, retried.outcome.Reason)
	require.Len(t, f.runs, 1)
}

// Guards against a router that runs a failed key again after the agent reserved it for
// a retry at another router.
func TestFailedKeyIsReservedForRetry(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.modelRequests = true
	id := bookingID(1)
	f.sendRequest(f.routers[0], id, 1, false)
	for len(f.runs) == 0 {
		f.deliver(0)
	}
	f.endRun(f.runs[0], event.RunBroken)
	f.messages = nil
	first := f.routers[0].w.Requests.Get(id)
	lookup := event.Lookup{From: f.routers[1].holder(), Request: id, Refuse: true, Nonce: first.Nonce + 1}
	f.tick(f.agents[0], lookup)
	f.tick(f.routers[0], event.AttemptEnd{Request: id, Attempt: first.Attempt, Status: event.AttemptBroken, Ran: table.DidRun})
	f.runUntilIdle()
	require.Len(t, f.runs, 1)
	requireOutcome(t, f.requests[0], table.CodeKeyInUse, table.RanUnknown)
}
