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

// endsAt orders dispatched work by when it ends.
type endsAt struct {
	at       table.Instant
	dispatch command.Dispatch
}

// overload offers quick work of customer 0 without a pause until a victim was
// dispatched or the limit is reached. It returns how long the victim waited. The
// work has a deadline, as an endless queue would delay any order of service.
func overload(h *harness, victim event.Arrival, limit time.Duration) (time.Duration, bool) {
	const step = 10 * time.Millisecond
	var open []endsAt
	start := ms(1)
	for now := start; now.Sub(start) < limit; now = now.Add(step) {
		events := []event.Event{}
		for range 4 {
			a := h.arrival(0, 50, 50)
			a.Priority, a.Deadline = 9, 500*time.Millisecond
			events = append(events, a)
		}
		if now == start.Add(time.Second) {
			events = append(events, victim)
		}
		for len(open) > 0 && open[0].at <= now {
			e := end(open[0].dispatch, event.AttemptDone, table.DidRun)
			e.Delivered = 50
			events, open = append(events, e), open[1:]
		}
		h.tick(now, events...)
		for _, d := range h.takeSent() {
			if d.Request.Key() == victim.Key {
				return now.Sub(start) - time.Second, true
			}
			open = append(open, endsAt{now.Add(100 * time.Millisecond), d})
		}
	}
	return 0, false
}

// Guards against long work, a low priority or a customer with a small weight that
// never gets a slot while another customer's quick work keeps the queue full.
func TestNothingStarvesUnderOverload(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(rapid.IntRange(1, 3).Draw(rt, "endpoints"), rapid.IntRange(1, 8).Draw(rt, "slots"))
		customer := rapid.IntRange(0, 2).Draw(rt, "customer")
		h.w.Customers.Get(table.CustomerID([]string{"c0", "c1", "c2"}[customer])).Weight = rapid.SampledFrom(
			[]float64{0.1, 1, 10}).Draw(rt, "weight")
		victim := h.arrival(customer, 50, 50)
		if rapid.Bool().Draw(rt, "long") {
			victim = h.arrival(customer, 3000, 1000)
		}
		victim.Key = "victim"
		waited, served := overload(h, victim, 60*time.Second)
		require.True(rt, served, "the request was never served")
		rt.Logf("waited %s", waited)
	})
}

// Guards against quick work that waits behind long work: the slots kept for it
// stay free however much long work is queued.
func TestLongWorkLeavesSlotsForQuick(t *testing.T) {
	h := newHarness(2, 4)
	for range 20 {
		h.tick(ms(1), h.arrival(0, 3000, 1000))
	}
	require.Len(t, h.takeSent(), 6)
	h.tick(ms(2), h.arrival(1, 50, 50), h.arrival(1, 50, 50))
	require.Len(t, h.takeSent(), 2)
}

// Guards against a large customer that takes more than its share of the slots.
func TestSharesFollowWeights(t *testing.T) {
	h := newHarness(1, 4)
	h.w.Customers.Get("c1").Weight = 3
	for range 400 {
		h.tick(ms(1), h.arrival(0, 50, 50), h.arrival(1, 50, 50))
	}
	served := map[table.CustomerID]int{}
	open := h.takeSent()
	for i := range 400 {
		d := open[0]
		served[d.Request.Customer()]++
		h.tick(ms(2+i), end(d, event.AttemptDone, table.DidRun))
		open = append(open[1:], h.takeSent()...)
	}
	require.InDelta(t, 300, served["c1"], 15)
	require.InDelta(t, 100, served["c0"], 15)
}

// Guards against routers that together fill the slots that each of them leaves
// free for quick work.
func TestLongWorkCountsOtherRouters(t *testing.T) {
	h := newHarness(1, 4)
	beat := event.Heartbeat{Endpoints: []event.EndpointLoad{{Endpoint: "tutor-model-0", InFlight: 3}}}
	h.tick(ms(1), beat)
	h.tick(ms(2), h.arrival(0, 3000, 1000), h.arrival(0, 50, 50))
	sent := h.takeSent()
	require.Len(t, sent, 1)
	require.Equal(t, table.ClassQuick, sent[0].Class)
	beat.Endpoints[0].InFlight = 1
	h.tick(ms(3), beat)
	require.Len(t, h.takeSent(), 1)
}
