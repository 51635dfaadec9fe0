package routing_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// Guards against running a request whose first token would come too late.
func TestQueuedPastDeadlineIsRefused(t *testing.T) {
	h := newHarness(1, 1)
	h.tick(ms(1), h.arrival(0, 50, 50))
	first := h.takeDispatched()[0]
	late := h.arrival(0, 50, 50)
	late.FirstTokenDeadline = 100 * time.Millisecond
	h.tick(ms(2), late)
	require.Equal(t, ms(102), h.w.NextWake())
	h.tick(ms(102))
	o := h.replies["c0/k2"]
	require.Equal(t, table.CodeDeadline, o.Code)
	require.Equal(t, table.NotRun, o.Ran)
	require.NotZero(t, o.RetryAfter)
	h.tick(ms(103), attemptEnd(first, event.AttemptDone, table.DidRun))
	require.Empty(t, h.takeDispatched())
}

// Guards against a caller that waits forever when no endpoint can take work.
func TestNoEndpointIsRefused(t *testing.T) {
	h := newHarness(1, 1)
	h.w.Endpoints.Get("tutor-model-0").State = table.EndpointDown
	h.tick(ms(1), h.arrival(0, 50, 50))
	require.Empty(t, h.replies)
	for h.w.NextWake() < ms(5000) {
		h.tick(h.w.NextWake())
	}
	require.Equal(t, table.CodeNoEndpoint, h.replies["c0/k1"].Code)
	require.Equal(t, table.NotRun, h.replies["c0/k1"].Ran)
}

// Guards against running a key that is bound to one agent at another agent, or at a
// new incarnation that does not know it.
func TestPinnedRequestRunsOnlyAtItsAgent(t *testing.T) {
	h := newHarness(3, 4)
	agent := h.w.Processes.Get("agent-classroom-app-1")
	sendPinned := func() {
		h.tick(ms(1))
		a := h.call(0, "book")
		a.AddTo(&h.w.In)
		h.w.Tick(ms(1), h.systems[:1])
		r := h.w.Requests.Get(table.MakeRequestID("c0", a.Key))
		r.PinnedAgent = agent.Holder
		h.w.ClearOutbox()
		h.tick(ms(1))
	}
	for range 4 {
		sendPinned()
	}
	for _, d := range h.takeDispatched() {
		require.Equal(t, agent.Holder, d.To)
	}
	sendPinned()
	require.Empty(t, h.takeDispatched())
	agent.Incarnation = 2
	h.tick(ms(2))
	require.Equal(t, table.CodeKeyLost, h.replies["c0/k5"].Code)
	require.Equal(t, table.RanUnknown, h.replies["c0/k5"].Ran)
}

// Guards against a crash suspect that shares an endpoint with other requests, and
// against one that waits forever because the endpoint never becomes idle.
func TestCrashSuspectRunsAlone(t *testing.T) {
	h := newHarness(1, 4)
	h.tick(ms(1), h.arrival(0, 50, 50))
	other := h.takeDispatched()[0]
	suspect := h.arrival(0, 50, 50)
	suspect.AddTo(&h.w.In)
	h.w.Tick(ms(2), h.systems[:1])
	h.w.Requests.Get("c0/k2").MustRunAlone = true
	h.w.ClearOutbox()
	h.tick(ms(2))
	h.tick(ms(3), h.arrival(0, 50, 50))
	require.Empty(t, h.takeDispatched(), "the endpoint is held for the crash suspect")
	h.tick(ms(4), attemptEnd(other, event.AttemptDone, table.DidRun))
	sent := h.takeDispatched()
	require.Len(t, sent, 1)
	require.True(t, sent[0].MustRunAlone)
	h.tick(ms(5), attemptEnd(sent[0], event.AttemptDone, table.DidRun))
	require.Len(t, h.takeDispatched(), 1)
}

// Guards against spending from an expired grant because its expiry is later in the
// agent's clock than in the router's.
func TestGrantExpiryUsesAgentClock(t *testing.T) {
	h := newHarness(1, 4)
	h.w.Budgets.Get("c0/default").GrantExpiresAt = ms(10_000)
	a := h.w.Processes.Get("agent-tutor-model-0")
	a.PeerClock, a.PeerClockAt = ms(70_000), ms(1000)
	h.tick(ms(2000), h.arrival(0, 50, 50))
	require.Equal(t, ms(79_000), h.takeDispatched()[0].GrantExpiresAt)
	h.tick(ms(10_000), h.arrival(0, 50, 50))
	require.Empty(t, h.takeDispatched())
	require.Equal(t, table.CodeBudgetUnreachable, h.replies["c0/k2"].Code)
}

// Guards against a retry that stays queued past its deadline, and against a NOT_RUN
// for it: its first attempt may have run at another router.
func TestRetryPastDeadlineIsRefused(t *testing.T) {
	h := newHarness(1, 1)
	h.tick(ms(1), h.arrival(0, 50, 50))
	late := h.arrival(0, 50, 50)
	late.FirstTokenDeadline, late.CallerRetry = 100*time.Millisecond, true
	h.tick(ms(2), late)
	h.tick(ms(102))
	require.Equal(t, table.CodeDeadline, h.replies["c0/k2"].Code)
	require.Equal(t, table.RanUnknown, h.replies["c0/k2"].Ran)
}

// Guards against ending a partly delivered answer when a busy agent reports that it
// ran an earlier attempt of the request.
func TestBusyRejectionAfterPartialRunIsRetried(t *testing.T) {
	h := newHarness(1, 4)
	h.tick(ms(1), h.arrival(0, 50, 50))
	broken := attemptEnd(h.takeDispatched()[0], event.AttemptBroken, table.DidRun)
	broken.PromptTokens, broken.DeliveredTokens = 50, 5
	h.tick(ms(2), broken)
	h.tick(ms(100))
	rejected := busyRejection(h.takeDispatched()[0])
	rejected.Ran = table.DidRun
	h.tick(ms(101), rejected)
	h.tick(ms(300))
	require.Len(t, h.takeDispatched(), 1)
	require.Empty(t, h.replies)
}
