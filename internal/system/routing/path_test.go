package routing_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// Guards against a request that is lost or wrongly billed on the usual path.
func TestWholeAnswerEndsRequest(t *testing.T) {
	h := newHarness(2, 4)
	h.tick(ms(1), h.arrival(0, 100, 50))
	sent := h.takeSent()
	require.Len(t, sent, 1)
	require.Equal(t, table.Tokens(150), sent[0].Limit)
	h.tick(ms(2), event.FirstToken{Request: sent[0].Request, Attempt: 1})
	done := end(sent[0], event.AttemptDone, table.DidRun)
	done.Prompt, done.Delivered = 90, 40
	h.tick(ms(3), done)
	require.Equal(t, table.Outcome{OK: true, Ran: table.DidRun, Prompt: 90, Output: 40}, h.replies["c0/k1"])
	requireIdle(t, h)
}

// Guards against a second run of work that must run at most once.
func TestLostCallIsNotRepeated(t *testing.T) {
	h := newHarness(2, 4)
	h.tick(ms(1), h.call(0, "book"))
	sent := h.takeSent()
	h.tick(ms(2), event.SessionDown{Peer: sent[0].To})
	require.Empty(t, h.takeSent())
	require.Equal(t, table.RanUnknown, h.replies["c0/k1"].Ran)
	requireIdle(t, h)
}

// Guards against a continuation that bills the prompt twice or asks again for
// output that the caller already has.
func TestBrokenStreamContinuesElsewhere(t *testing.T) {
	h := newHarness(2, 4)
	h.tick(ms(1), h.arrival(0, 100, 50))
	first := h.takeSent()[0]
	broken := end(first, event.AttemptBroken, table.DidRun)
	broken.Prompt, broken.Delivered = 90, 20
	h.tick(ms(2), broken)
	h.tick(ms(100))
	second := h.takeSent()[0]
	require.NotEqual(t, first.Endpoint, second.Endpoint)
	require.Equal(t, table.Tokens(30), second.MaxOutput)
	done := end(second, event.AttemptDone, table.DidRun)
	done.Prompt, done.Delivered = 110, 45
	h.tick(ms(200), done)
	require.Equal(t, table.Outcome{OK: true, Ran: table.DidRun, Prompt: 90, Output: 45}, h.replies["c0/k1"])
	requireIdle(t, h)
}

// Guards against a late event of an earlier attempt that ends the current one.
func TestOldAttemptIsIgnored(t *testing.T) {
	h := newHarness(2, 4)
	h.tick(ms(1), h.arrival(0, 100, 50))
	first := h.takeSent()[0]
	h.tick(ms(2), busy(first))
	second := h.takeSent()[0]
	require.Equal(t, uint32(2), second.Attempt)
	h.tick(ms(3), end(first, event.AttemptDone, table.DidRun))
	require.Empty(t, h.replies)
	h.tick(ms(4), end(second, event.AttemptDone, table.DidRun))
	require.True(t, h.replies["c0/k1"].OK)
	requireIdle(t, h)
}

// requireIdle checks that no work stays accounted to an endpoint.
func requireIdle(t require.TestingT, h *harness) {
	h.w.Endpoints.Each(func(id table.EndpointID, e *table.Endpoint) {
		require.Zero(t, e.InFlight, id)
		require.Zero(t, e.InFlightQuick, id)
		require.Zero(t, e.InFlightTokens, id)
	})
}
