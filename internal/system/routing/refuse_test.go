package routing_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// Guards against work that is run although its first token comes too late.
func TestQueuedPastDeadlineIsRefused(t *testing.T) {
	h := newHarness(1, 1)
	h.tick(ms(1), h.arrival(0, 50, 50))
	first := h.takeSent()[0]
	late := h.arrival(0, 50, 50)
	late.Deadline = 100 * time.Millisecond
	h.tick(ms(2), late)
	require.Equal(t, ms(102), h.w.NextWake())
	h.tick(ms(102))
	o := h.replies["c0/k2"]
	require.Equal(t, table.CodeDeadline, o.Code)
	require.Equal(t, table.NotRun, o.Ran)
	require.NotZero(t, o.RetryAfter)
	h.tick(ms(103), end(first, event.AttemptDone, table.DidRun))
	require.Empty(t, h.takeSent())
}

// Guards against a caller that waits for ever when no endpoint can take work.
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

// Guards against a key that is bound to one agent being run by another, or by a
// new incarnation that does not know it.
func TestPinnedGoesOnlyToItsAgent(t *testing.T) {
	h := newHarness(3, 4)
	agent := h.w.Processes.Get("agent-classroom-app-1")
	pin := func() {
		h.tick(ms(1))
		a := h.call(0, "book")
		a.AddTo(&h.w.In)
		h.w.Tick(ms(1), h.systems[:1])
		r := h.w.Requests.Get(table.MakeRequestID("c0", a.Key))
		r.Pinned = agent.Holder
		h.w.Clear()
		h.tick(ms(1))
	}
	for range 4 {
		pin()
	}
	for _, d := range h.takeSent() {
		require.Equal(t, agent.Holder, d.To)
	}
	pin()
	require.Empty(t, h.takeSent())
	agent.Incarnation = 2
	h.tick(ms(2))
	require.Equal(t, table.CodeKeyLost, h.replies["c0/k5"].Code)
	require.Equal(t, table.RanUnknown, h.replies["c0/k5"].Ran)
}

// Guards against a crash suspect that shares an endpoint with other work, and one
// that waits for ever because the endpoint never becomes idle.
func TestSuspectRunsAlone(t *testing.T) {
	h := newHarness(1, 4)
	h.tick(ms(1), h.arrival(0, 50, 50))
	other := h.takeSent()[0]
	suspect := h.arrival(0, 50, 50)
	suspect.AddTo(&h.w.In)
	h.w.Tick(ms(2), h.systems[:1])
	h.w.Requests.Get("c0/k2").Alone = true
	h.w.Clear()
	h.tick(ms(2))
	h.tick(ms(3), h.arrival(0, 50, 50))
	require.Empty(t, h.takeSent(), "the endpoint is held for the suspect")
	h.tick(ms(4), end(other, event.AttemptDone, table.DidRun))
	sent := h.takeSent()
	require.Len(t, sent, 1)
	require.True(t, sent[0].Alone)
	h.tick(ms(5), end(sent[0], event.AttemptDone, table.DidRun))
	require.Len(t, h.takeSent(), 1)
}

// Guards against spending from a grant whose deadline has passed, by a deadline
// that is later in the agent's clock than in the router's.
func TestExpiryIsInAgentsClock(t *testing.T) {
	h := newHarness(1, 4)
	h.w.Budgets.Get("c0/default").Expires = ms(10_000)
	a := h.w.Processes.Get("agent-tutor-model-0")
	a.PeerClock, a.PeerClockAt = ms(70_000), ms(1000)
	h.tick(ms(2000), h.arrival(0, 50, 50))
	require.Equal(t, ms(79_000), h.takeSent()[0].Expires)
	h.tick(ms(10_000), h.arrival(0, 50, 50))
	require.Empty(t, h.takeSent())
	require.Equal(t, table.CodeBudgetUnreachable, h.replies["c0/k2"].Code)
}

// Guards against a retry that waits for ever behind its deadline, and against a
// NOT_RUN for it: its first sending may have run at another router.
func TestRetryPastDeadlineIsRefused(t *testing.T) {
	h := newHarness(1, 1)
	h.tick(ms(1), h.arrival(0, 50, 50))
	late := h.arrival(0, 50, 50)
	late.Deadline, late.Retry = 100*time.Millisecond, true
	h.tick(ms(2), late)
	h.tick(ms(102))
	require.Equal(t, table.CodeDeadline, h.replies["c0/k2"].Code)
	require.Equal(t, table.RanUnknown, h.replies["c0/k2"].Ran)
}

// Guards against the end of a continued answer when a busy agent says that it ran
// an earlier attempt of the request.
func TestBusyAgentThatRanItBefore(t *testing.T) {
	h := newHarness(1, 4)
	h.tick(ms(1), h.arrival(0, 50, 50))
	broken := end(h.takeSent()[0], event.AttemptBroken, table.DidRun)
	broken.Prompt, broken.Delivered = 50, 5
	h.tick(ms(2), broken)
	h.tick(ms(100))
	refused := busy(h.takeSent()[0])
	refused.Ran = table.DidRun
	h.tick(ms(101), refused)
	h.tick(ms(300))
	require.Len(t, h.takeSent(), 1)
	require.Empty(t, h.replies)
}
