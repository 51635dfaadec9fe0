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

// serveRound sends as many quick requests as there are model endpoints, and
// answers each after the time that its endpoint takes.
func serveRound(h *harness, now *table.Instant, took func(table.EndpointID) time.Duration) {
	var arrivals []event.Event
	for range h.w.Endpoints.Len() / 2 {
		arrivals = append(arrivals, h.arrival(0, 50, 50))
	}
	h.tick(*now, arrivals...)
	var open []endsAt
	for _, d := range h.takeSent() {
		open = append(open, endsAt{now.Add(took(d.Endpoint)), d})
	}
	slices.SortFunc(open, func(a, b endsAt) int { return int(a.at - b.at) })
	for _, o := range open {
		*now = o.at
		done := end(o.dispatch, event.AttemptDone, table.DidRun)
		done.Delivered = 10
		h.tick(o.at, event.FirstToken{Request: o.dispatch.Request, Attempt: o.dispatch.Attempt}, done)
	}
}

func slowEndpoint(slow map[table.EndpointID]bool) func(table.EndpointID) time.Duration {
	return func(id table.EndpointID) time.Duration {
		if slow[id] {
			return 500 * time.Millisecond
		}
		return 100 * time.Millisecond
	}
}

// Guards against a slow endpoint that keeps its share of work, and one that never
// gets work again after it recovered.
func TestSlowEndpointIsEjectedAndReturns(t *testing.T) {
	h := newHarness(4, 4)
	now := ms(1)
	slow := map[table.EndpointID]bool{"tutor-model-1": true}
	bad := h.w.Endpoints.Get("tutor-model-1")
	for range 200 {
		serveRound(h, &now, slowEndpoint(slow))
	}
	require.True(t, bad.Ejected)
	require.NotEmpty(t, bad.Reason)
	require.Greater(t, bad.ProbeInterval, 2*time.Second)
	delete(slow, "tutor-model-1")
	for range 700 {
		serveRound(h, &now, slowEndpoint(slow))
	}
	require.False(t, bad.Ejected)
	requireIdle(t, h)
}

// Guards against an endpoint that breaks every attempt at once and, because it is
// always free, attracts the most work.
func TestBrokenEndpointIsEjected(t *testing.T) {
	h := newHarness(4, 4)
	h.w.Fleet.Defaults.RetryBurst = 100
	now := ms(1)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		h.tick(now, h.arrival(0, 50, 50))
		for _, d := range h.takeSent() {
			status := event.AttemptDone
			if d.Endpoint == "tutor-model-2" {
				status = event.AttemptBroken
			}
			h.tick(now, end(d, status, table.DidRun))
		}
	}
	require.True(t, h.w.Endpoints.Get("tutor-model-2").Ejected)
}

// Guards against ejections that leave too little capacity: however slow the
// endpoints are, at most a third of a service's endpoints is ejected.
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

// heartbeatOf returns a heartbeat with the times that an agent saw.
func heartbeatOf(id table.EndpointID, observed uint64, first time.Duration) event.Heartbeat {
	return event.Heartbeat{Endpoints: []event.EndpointLoad{{
		Endpoint: id, FirstTokenTime: first, TokenTime: first / 5, Observed: observed,
	}}}
}

// Guards against a router that finds out that an endpoint is slow only by its own
// requests, and one that needs a probe although the agent already saw it recover.
func TestAgentsTimesEjectAndRestore(t *testing.T) {
	h := newHarness(4, 4)
	const normal, slowed = 100 * time.Millisecond, 500 * time.Millisecond
	for _, id := range []table.EndpointID{"tutor-model-0", "tutor-model-1", "tutor-model-2"} {
		h.tick(ms(1), heartbeatOf(id, 5, normal))
	}
	bad := h.w.Endpoints.Get("tutor-model-3")
	h.tick(ms(2), heartbeatOf(bad.ID, 5, slowed))
	require.True(t, bad.Ejected)
	h.tick(ms(3), heartbeatOf(bad.ID, 5, normal))
	require.True(t, bad.Ejected, "a heartbeat without new samples is no evidence")
	h.tick(ms(4), heartbeatOf(bad.ID, 6, slowed))
	require.True(t, bad.Ejected)
	h.tick(ms(5), heartbeatOf(bad.ID, 7, normal))
	require.False(t, bad.Ejected)
}
