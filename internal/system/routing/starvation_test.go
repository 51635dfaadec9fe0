package routing_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// runningAttempt is a dispatched attempt and the time at which it ends.
type runningAttempt struct {
	endsAt   table.Instant
	dispatch command.Dispatch
}

// overload sends quick requests of customer 0 continuously until the target request
// is dispatched or the limit is reached. It returns how long the target waited and
// whether it was dispatched. The quick requests have a deadline, because an
// unbounded queue would delay the target under any scheduling order.
func overload(h *harness, target event.Arrival, limit time.Duration) (time.Duration, bool) {
	const step = 10 * time.Millisecond
	var running []runningAttempt
	start := ms(1)
	for now := start; now.Sub(start) < limit; now = now.Add(step) {
		events := []event.Event{}
		for range 4 {
			a := h.arrival(0, 50, 50)
			a.Priority, a.FirstTokenDeadline = 9, 500*time.Millisecond
			events = append(events, a)
		}
		if now == start.Add(time.Second) {
			events = append(events, target)
		}
		for len(running) > 0 && running[0].endsAt <= now {
			e := attemptEnd(running[0].dispatch, event.AttemptDone, table.DidRun)
			e.DeliveredTokens = 50
			events, running = append(events, e), running[1:]
		}
		h.tick(now, events...)
		for _, d := range h.takeDispatched() {
			if d.Request.Key() == target.Key {
				return now.Sub(start) - time.Second, true
			}
			running = append(running, runningAttempt{now.Add(100 * time.Millisecond), d})
		}
	}
	return 0, false
}

// Guards against a long, low-priority or low-weight request that never gets a slot
// while another customer's quick requests keep the queue full.
func TestNothingStarvesUnderOverload(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(rapid.IntRange(1, 3).Draw(rt, "endpoints"), rapid.IntRange(1, 8).Draw(rt, "slots"))
		customer := rapid.IntRange(0, 2).Draw(rt, "customer")
		h.w.Customers.Get(table.CustomerID([]string{"c0", "c1", "c2"}[customer])).Weight = rapid.SampledFrom(
			[]float64{0.1, 1, 10}).Draw(rt, "weight")
		target := h.arrival(customer, 50, 50)
		if rapid.Bool().Draw(rt, "long") {
			target = h.arrival(customer, 3000, 1000)
		}
		target.Key = "target"
		waited, served := overload(h, target, 60*time.Second)
		require.True(rt, served, "the request was never served")
		rt.Logf("waited %s", waited)
	})
}

// Guards against quick requests that wait behind long ones: the slots reserved for
// quick requests stay free however many long ones are queued.
func TestLongRequestsLeaveSlotsForQuickRequests(t *testing.T) {
	h := newHarness(2, 4)
	for range 20 {
		h.tick(ms(1), h.arrival(0, 3000, 1000))
	}
	require.Len(t, h.takeDispatched(), 6)
	h.tick(ms(2), h.arrival(1, 50, 50), h.arrival(1, 50, 50))
	require.Len(t, h.takeDispatched(), 2)
}

// Guards against a customer that gets more slots than its weight allows.
func TestSlotSharesFollowCustomerWeights(t *testing.T) {
	h := newHarness(1, 4)
	h.w.Customers.Get("c1").Weight = 3
	for range 400 {
		h.tick(ms(1), h.arrival(0, 50, 50), h.arrival(1, 50, 50))
	}
	served := map[table.CustomerID]int{}
	running := h.takeDispatched()
	for i := range 400 {
		d := running[0]
		served[d.Request.Customer()]++
		h.tick(ms(2+i), attemptEnd(d, event.AttemptDone, table.DidRun))
		running = append(running[1:], h.takeDispatched()...)
	}
	require.InDelta(t, 300, served["c1"], 15)
	require.InDelta(t, 100, served["c0"], 15)
}

// Guards against routers that together fill the slots that each of them reserves
// for quick requests.
func TestLongRequestsCountOtherRoutersLoad(t *testing.T) {
	h := newHarness(1, 4)
	heartbeat := event.Heartbeat{Endpoints: []event.EndpointLoad{{Endpoint: "tutor-model-0", InFlight: 3}}}
	h.tick(ms(1), heartbeat)
	h.tick(ms(2), h.arrival(0, 3000, 1000), h.arrival(0, 50, 50))
	sent := h.takeDispatched()
	require.Len(t, sent, 1)
	require.Equal(t, table.ClassQuick, sent[0].Class)
	heartbeat.Endpoints[0].InFlight = 1
	h.tick(ms(3), heartbeat)
	require.Len(t, h.takeDispatched(), 1)
}
