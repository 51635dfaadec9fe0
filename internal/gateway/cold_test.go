package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// Guards against requests that overrun a service whose endpoints are all cold, that wait for
// them in vain, or that take the place of more urgent ones, and against clients that all come
// back at once.
func TestRequestsBeyondColdRatesAreRefusedByPriority(t *testing.T) {
	h := newServingHarness(t)
	h.world.Params.Front.ColdOvershoot, h.world.Params.Front.ColdAllowance = 1.5, 5
	m := testManifest(2)
	m.Services[0].ColdTime, m.Services[0].ColdRate = time.Minute, 2
	m.Routes[1].Priority = 3
	m.Customers[0].Limited = false
	h.step(event.ManifestReceived{Manifest: m})
	h.step(h.newArrival("/feedback/0"))
	h.advance(10 * time.Second)
	var cold event.EndpointChanges
	for _, id := range []string{"m1", "m2", "m3"} {
		e := endpointEntry(id, "model")
		e.ColdKnown, e.ColdLeft, e.StartedUnixMilli = true, time.Minute, 2
		cold.Present = append(cold.Present, e)
	}
	h.step(cold)
	h.advance(2 * time.Second)
	sent := len(h.calls)
	var arrivals []event.Event
	for i := range 24 {
		path := "/feedback/1"
		if i >= 18 {
			path = "/review/1"
		}
		arrivals = append(arrivals, h.newArrival(path))
	}
	h.step(arrivals...)
	require.LessOrEqual(t, len(h.calls)-sent, 3*3)
	urgent := 0
	for _, c := range h.calls[sent:] {
		if c.Exchange > arrivals[17].(event.HTTPArrival).Exchange {
			urgent++
		}
	}
	require.Equal(t, 6, urgent)
	times := make(map[time.Duration]bool)
	for _, f := range h.finished {
		if f.Exchange >= arrivals[0].(event.HTTPArrival).Exchange {
			require.Equal(t, table.NotRun, f.Outcome.Ran)
			require.Positive(t, f.Outcome.RetryAfter)
			times[f.Outcome.RetryAfter] = true
		}
	}
	require.Len(t, times, 24-(len(h.calls)-sent), "refused at once, each with a time of its own")
}

// Guards against an order by priority where no endpoint limits what it gets, and against
// arrivals that are served in the order in which they come where one does.
func TestRequestsAreOrderedByPriorityOnlyIfEndpointsLimitThem(t *testing.T) {
	for _, limited := range []bool{false, true} {
		h := newServingHarness(t)
		m := testManifest(2)
		m.Routes[1].Priority = 3
		m.Customers[0].Limited = false
		h.step(event.ManifestReceived{Manifest: m})
		if limited {
			h.endAttempt(h.answerOf(event.EndpointNotice{Present: true, RateLimited: true, RateLimit: 50}, event.DirectAnswered))
		}
		sent := len(h.calls)
		lessUrgent, urgent := h.newArrival("/feedback/1"), h.newArrival("/review/1")
		h.step(lessUrgent, urgent)
		require.Len(t, h.calls, sent+2)
		first := lessUrgent.Exchange
		if limited {
			first = urgent.Exchange
		}
		require.Equal(t, first, h.calls[sent].Exchange, "limited: %v", limited)
	}
}
