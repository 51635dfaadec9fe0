package routing_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// Guards against a request that is lost or billed wrongly when its first attempt
// succeeds.
func TestCompleteAnswerEndsRequest(t *testing.T) {
	h := newHarness(2, 4)
	h.tick(ms(1), h.arrival(0, 100, 50))
	sent := h.takeDispatched()
	require.Len(t, sent, 1)
	require.Equal(t, table.Tokens(150), sent[0].ChargeLimit)
	h.tick(ms(2), event.FirstToken{Request: sent[0].Request, Attempt: 1})
	done := attemptEnd(sent[0], event.AttemptDone, table.DidRun)
	done.PromptTokens, done.DeliveredTokens = 90, 40
	h.tick(ms(3), done)
	require.Equal(t, table.Outcome{OK: true, Ran: table.DidRun, PromptTokens: 90, OutputTokens: 40}, h.replies["c0/k1"])
	requireNoLoad(t, h)
}

// Guards against a second run of a call that must run at most once.
func TestLostCallIsNotRepeated(t *testing.T) {
	h := newHarness(2, 4)
	h.tick(ms(1), h.call(0, "book"))
	sent := h.takeDispatched()
	h.tick(ms(2), event.SessionClosed{Peer: sent[0].To})
	require.Empty(t, h.takeDispatched())
	require.Equal(t, table.RanUnknown, h.replies["c0/k1"].Ran)
	requireNoLoad(t, h)
}

// Guards against a continuation that bills the prompt twice or requests output that
// the caller already has.
func TestBrokenStreamContinuesElsewhere(t *testing.T) {
	h := newHarness(2, 4)
	h.tick(ms(1), h.arrival(0, 100, 50))
	first := h.takeDispatched()[0]
	broken := attemptEnd(first, event.AttemptBroken, table.DidRun)
	broken.PromptTokens, broken.DeliveredTokens = 90, 20
	h.tick(ms(2), broken)
	h.tick(ms(100))
	second := h.takeDispatched()[0]
	require.NotEqual(t, first.Endpoint, second.Endpoint)
	require.Equal(t, table.Tokens(30), second.MaxOutput)
	done := attemptEnd(second, event.AttemptDone, table.DidRun)
	done.PromptTokens, done.DeliveredTokens = 110, 45
	h.tick(ms(200), done)
	require.Equal(t, table.Outcome{OK: true, Ran: table.DidRun, PromptTokens: 90, OutputTokens: 45}, h.replies["c0/k1"])
	requireNoLoad(t, h)
}

// Guards against a delayed event of an earlier attempt that ends the current one.
func TestEndOfStaleAttemptIsIgnored(t *testing.T) {
	h := newHarness(2, 4)
	h.tick(ms(1), h.arrival(0, 100, 50))
	first := h.takeDispatched()[0]
	h.tick(ms(2), busyRejection(first))
	second := h.takeDispatched()[0]
	require.Equal(t, uint32(2), second.Attempt)
	h.tick(ms(3), attemptEnd(first, event.AttemptDone, table.DidRun))
	require.Empty(t, h.replies)
	h.tick(ms(4), attemptEnd(second, event.AttemptDone, table.DidRun))
	require.True(t, h.replies["c0/k1"].OK)
	requireNoLoad(t, h)
}

// requireNoLoad checks that the in-flight counters of all endpoints are zero.
func requireNoLoad(t require.TestingT, h *harness) {
	h.w.Endpoints.Each(func(id table.EndpointID, e *table.Endpoint) {
		require.Zero(t, e.InFlight, id)
		require.Zero(t, e.InFlightQuick, id)
		require.Zero(t, e.InFlightTokens, id)
	})
}
