package routing_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// serveRound sends as many quick requests as there are model endpoints and answers
// each of them after the latency of its endpoint.
func serveRound(h *harness, now *table.Instant, latency func(table.EndpointID) time.Duration) {
	var arrivals []event.Event
	for range h.w.Endpoints.Len() / 2 {
		arrivals = append(arrivals, h.arrival(0, 50, 50))
	}
	h.tick(*now, arrivals...)
	var running []runningAttempt
	for _, d := range h.takeDispatched() {
		running = append(running, runningAttempt{now.Add(latency(d.Endpoint)), d})
	}
	slices.SortFunc(running, func(a, b runningAttempt) int { return int(a.endsAt - b.endsAt) })
	for _, r := range running {
		*now = r.endsAt
		done := attemptEnd(r.dispatch, event.AttemptDone, table.DidRun)
		done.DeliveredTokens = 10
		h.tick(r.endsAt, event.FirstToken{Request: r.dispatch.Request, Attempt: r.dispatch.Attempt}, done)
	}
}

// latencyWithSlow returns a latency function: 500 ms for the slow endpoints and 100
// ms for the others.
func latencyWithSlow(slow map[table.EndpointID]bool) func(table.EndpointID) time.Duration {
	return func(id table.EndpointID) time.Duration {
		if slow[id] {
			return 500 * time.Millisecond
		}
		return 100 * time.Millisecond
	}
}

// Guards against a slow endpoint that keeps its share of the load, and against one
// that gets no work after it has recovered.
func TestSlowEndpointIsEjectedAndRestored(t *testing.T) {
	h := newHarness(4, 4)
	now := ms(1)
	slow := map[table.EndpointID]bool{"tutor-model-1": true}
	slowEndpoint := h.w.Endpoints.Get("tutor-model-1")
	for range 200 {
		serveRound(h, &now, latencyWithSlow(slow))
	}
	require.True(t, slowEndpoint.Ejected)
	require.NotEmpty(t, slowEndpoint.Reason)
	require.Greater(t, slowEndpoint.ProbeInterval, 2*time.Second)
	delete(slow, "tutor-model-1")
	for range 700 {
		serveRound(h, &now, latencyWithSlow(slow))
	}
	require.False(t, slowEndpoint.Ejected)
	requireNoLoad(t, h)
}

// Guards against an endpoint that fails every attempt immediately and attracts
// most of the load because it is always free.
func TestFailingEndpointIsEjected(t *testing.T) {
	h := newHarness(4, 4)
	h.w.Config.Defaults.RetryBurst = 100
	now := ms(1)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		h.tick(now, h.arrival(0, 50, 50))
		for _, d := range h.takeDispatched() {
			status := event.AttemptDone
			if d.Endpoint == "tutor-model-2" {
				status = event.AttemptBroken
			}
			h.tick(now, attemptEnd(d, status, table.DidRun))
		}
	}
	require.True(t, h.w.Endpoints.Get("tutor-model-2").Ejected)
}

// Guards against ejections that leave too little capacity: at most a third of a
// service's endpoints may be ejected, however slow they are.
func TestEjectedShareIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(rt, "endpoints")
		h := newHarness(n, 4)
		now := ms(1)
		for range 60 {
			serveRound(h, &now, func(table.EndpointID) time.Duration {
				return time.Duration(rapid.IntRange(1, 1000).Draw(rt, "ms")) * time.Millisecond
			})
			ejected := 0
			h.w.Endpoints.Each(func(_ table.EndpointID, e *table.Endpoint) {
				if e.Ejected {
					ejected++
				}
			})
			require.LessOrEqual(rt, 3*ejected, n)
		}
	})
}

// heartbeatOf returns a heartbeat that reports an agent's latency averages.
func heartbeatOf(id table.EndpointID, samples uint64, first time.Duration) event.Heartbeat {
	return event.Heartbeat{Endpoints: []event.EndpointLoad{{
		Endpoint: id, FirstTokenTime: first, TokenTime: first / 5, Samples: samples,
	}}}
}

// Guards against a router that detects a slow endpoint only by its own requests,
// and against one that needs a probe although the agent has already reported the
// recovery.
func TestAgentReportedLatenciesEjectAndRestore(t *testing.T) {
	h := newHarness(4, 4)
	const normal, slow = 100 * time.Millisecond, 500 * time.Millisecond
	for _, id := range []table.EndpointID{"tutor-model-0", "tutor-model-1", "tutor-model-2"} {
		h.tick(ms(1), heartbeatOf(id, 5, normal))
	}
	slowEndpoint := h.w.Endpoints.Get("tutor-model-3")
	h.tick(ms(2), heartbeatOf(slowEndpoint.ID, 5, slow))
	require.True(t, slowEndpoint.Ejected)
	h.tick(ms(3), heartbeatOf(slowEndpoint.ID, 5, normal))
	require.True(t, slowEndpoint.Ejected, "a heartbeat without new samples is no evidence")
	h.tick(ms(4), heartbeatOf(slowEndpoint.ID, 6, slow))
	require.True(t, slowEndpoint.Ejected)
	h.tick(ms(5), heartbeatOf(slowEndpoint.ID, 7, normal))
	require.False(t, slowEndpoint.Ejected)
}
