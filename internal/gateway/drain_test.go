package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// newPatientHarness is a serving harness whose clients and routes wait a minute.
func newPatientHarness(t *testing.T) *harness {
	h := newServingHarness(t)
	m := testManifest(2)
	for i := range m.Routes {
		m.Routes[i].Timeout = time.Minute
	}
	h.step(event.ManifestReceived{Manifest: m})
	return h
}

func (h *harness) patientArrival(path string) event.HTTPArrival {
	a := h.newArrival(path)
	a.ClientTimeout = time.Minute
	return a
}

// completeStreams serves n streams that take d each.
func (h *harness) completeStreams(n int, d time.Duration) {
	for range n {
		h.step(h.patientArrival("/review/1"))
		c := h.callsFor(h.lastExchange)[0]
		h.advance(d)
		h.endAttempt(c, answeredAttempt)
	}
}

// keepOpen starts a request that does not end.
func (h *harness) keepOpen(path string) {
	h.step(h.patientArrival(path))
	require.Len(h.t, h.callsFor(h.lastExchange), 1)
}

// drainFor starts a shutdown and advances the clock. An open request keeps the router
// from exiting.
func (h *harness) drainFor(openPath string, d time.Duration) {
	h.keepOpen(openPath)
	h.step(event.Shutdown{})
	h.advance(d)
}

// requireDraining sends a request that must be refused because of the drain.
func (h *harness) requireDraining(path, why string) {
	h.t.Helper()
	h.step(h.patientArrival(path))
	require.Empty(h.t, h.callsFor(h.lastExchange), why)
	require.Equal(h.t, table.CodeDraining, h.finishOf(h.lastExchange).Outcome.Code)
}

// Guards against a shutdown that aborts requests without a line that names them.
func TestRequestsAbortedByShutdownAreRecorded(t *testing.T) {
	h := newPatientHarness(t)
	h.step(event.Shutdown{})
	h.advance(time.Second)
	arrival := h.patientArrival("/review/1")
	h.step(arrival)
	h.advance(h.world.Params.DrainTimeout)
	var aborted []table.Decision
	h.world.DecisionHistory.Each(func(d *table.Decision) {
		if strings.HasPrefix(d.Decision, "aborted") {
			aborted = append(aborted, *d)
		}
	})
	require.Len(t, aborted, 1)
	require.EqualValues(t, arrival.Request, aborted[0].Request)
	require.Contains(t, aborted[0].Inputs, table.Input{Name: "accepted_after", Value: "1s"})
	require.Contains(t, aborted[0].Inputs, table.Input{Name: "answer_started", Value: "false"})
}

// Guards against connections that end without an answer at the end of a drain.
func TestRequestsInProgressAtEndOfDrainAreAnswered(t *testing.T) {
	h := newPatientHarness(t)
	h.keepOpen("/booking/1")
	running := h.lastExchange
	h.step(event.EndpointChanges{Full: true})
	h.advance(100 * time.Millisecond)
	h.step(event.Shutdown{})
	h.advance(h.world.Params.DrainTimeout - 10*time.Millisecond)
	waiting := h.newArrival("/booking/1")
	h.world.Closing = false
	h.step(waiting)
	h.advance(10 * time.Millisecond)
	require.Equal(t, table.RanUnknown, h.finishOf(running).Outcome.Ran)
	require.False(t, h.finishOf(running).Deliver)
	require.Equal(t, table.NotRun, h.finishOf(waiting.Exchange).Outcome.Ran)
	require.NotZero(t, h.finishOf(waiting.Exchange).Outcome.RetryAfter)
}

// Guards against a request that is sent again so late in a drain that its answer is cut off.
func TestRequestIsNotSentAgainLateInDrain(t *testing.T) {
	h := newPatientHarness(t)
	h.keepOpen("/lookup/1")
	c := h.callsFor(h.lastExchange)[0]
	h.step(event.Shutdown{})
	h.advance(7 * time.Second)
	h.endAttempt(c, declinedAttempt)
	require.Len(t, h.callsFor(c.Exchange), 1)
	require.Equal(t, table.NotRun, h.finishOf(c.Exchange).Outcome.Ran)
}

// Guards against a stream that is given up during a drain although another endpoint may continue it in time.
func TestBrokenStreamIsResumedLateInDrain(t *testing.T) {
	h := newPatientHarness(t)
	h.keepOpen("/review/1")
	c := h.callsFor(h.lastExchange)[0]
	h.step(event.Shutdown{})
	h.advance(7 * time.Second)
	broken := unknownOutcomeAttempt
	broken.HeaderDelivered, broken.DeliveredEvents = true, 3
	h.endAttempt(c, broken)
	require.Len(t, h.callsFor(c.Exchange), 2)
}

// Guards against a shutdown that aborts requests taken late in it: under load they take several times their typical duration.
func TestRequestsTakenLateInDrainEndInTime(t *testing.T) {
	h := newPatientHarness(t)
	h.completeStreams(3, 4*time.Second)
	h.drainFor("/review/1", 5*time.Second)
	h.requireDraining("/review/1", "4 s don't fit into the 3 s that are left")
	h.step(h.patientArrival("/lookup/1"))
	require.Len(t, h.callsFor(h.lastExchange), 1, "calls of another service are as quick as usual")
}

// Guards against a shutdown that knows a slowdown only once the first slow request has ended.
func TestRequestInProgressShowsSlowdownDuringDrain(t *testing.T) {
	h := newPatientHarness(t)
	h.drainFor("/review/1", 5*time.Second)
	h.requireDraining("/review/1", "the slowdown is known")
}

// Guards against a slowdown that is remembered for so long that a router without load takes nothing while it drains.
func TestSlowdownIsForgotten(t *testing.T) {
	h := newPatientHarness(t)
	h.completeStreams(1, 4*time.Second)
	h.advance(time.Minute)
	h.drainFor("/lookup/1", 4*time.Second)
	h.step(h.patientArrival("/review/1"))
	require.Len(t, h.callsFor(h.lastExchange), 1)
}

// Guards against a request that is taken just after SIGTERM although it can't end within the grace period.
func TestRequestThatOutlastsDrainIsRefusedAtOnce(t *testing.T) {
	h := newPatientHarness(t)
	h.step(event.Shutdown{})
	long := h.patientArrival("/feedback/1")
	long.MaxOutput = 4000
	h.step(long)
	require.Equal(t, table.CodeDraining, h.finishOf(h.lastExchange).Outcome.Code)
	long = h.newArrival("/feedback/1")
	long.MaxOutput = 4000
	h.step(long)
	require.Len(t, h.callsFor(h.lastExchange), 1, "its client waits for 5 s only")
}

// Guards against a router that refuses what usually ends in time while the load balancer still sends it clients.
func TestRequestIsTakenJustAfterShutdown(t *testing.T) {
	h := newPatientHarness(t)
	h.completeStreams(3, 12*time.Second)
	h.step(event.Shutdown{})
	long := h.patientArrival("/review/1")
	long.MaxOutput = 1500
	h.step(long)
	require.Len(t, h.callsFor(h.lastExchange), 1, "12.5 s at most, 6.3 s as a rule, and 8 s are left")
}

// Guards against a request that is slower than any before it: the drain must leave it a margin.
func TestDrainLeavesMarginForSlowerRequest(t *testing.T) {
	h := newPatientHarness(t)
	h.completeStreams(1, 2*time.Second)
	h.drainFor("/lookup/1", 5900*time.Millisecond)
	h.requireDraining("/review/1", "2 s times 1.3 don't fit into 2.1 s")
}

// Guards against a slowdown that is forgotten while slow requests still come now and then.
func TestSlowdownIsRememberedBetweenSlowRequests(t *testing.T) {
	h := newPatientHarness(t)
	h.completeStreams(1, 4*time.Second)
	h.advance(10 * time.Second)
	h.drainFor("/lookup/1", 5*time.Second)
	h.requireDraining("/review/1", "the slowdown is known")
}

// Guards against a slowdown that is unknown on a route with few requests, although those of its service are slow.
func TestSlowdownOfServiceAppliesToQuietRoute(t *testing.T) {
	h := newPatientHarness(t)
	h.completeStreams(3, 5*time.Second)
	h.drainFor("/lookup/1", 4500*time.Millisecond)
	h.requireDraining("/feedback/1", "6.5 s don't fit into 3.5 s")
}

// completePacedStreams serves short streams whose events come at a pace.
func (h *harness) completePacedStreams(n int, perEvent time.Duration) {
	for range n {
		short := h.patientArrival("/review/1")
		short.MaxOutput = 25
		h.step(short)
		c := h.callsFor(h.lastExchange)[0]
		h.advance(5 * time.Millisecond)
		h.step(event.DirectAnswerStarted{Exchange: c.Exchange, Attempt: c.Attempt})
		h.advance(4 * perEvent)
		whole := answeredAttempt
		whole.DeliveredEvents, whole.HeaderDelivered = 5, true
		h.endAttempt(c, whole)
	}
}

// Guards against a long stream that is taken in a drain and cut off, because the short ones before it hid in their fixed
// part how long the endpoints take for each token.
func TestPaceOfShortStreamsBoundsLongOneDuringDrain(t *testing.T) {
	for name, c := range map[string]struct {
		perEvent, after time.Duration
		events          int
		taken           bool
	}{
		"slow, late":          {100 * time.Millisecond, 4 * time.Second, 58, false},
		"slow, late, short":   {100 * time.Millisecond, 4 * time.Second, 5, true},
		"quick, late":         {30 * time.Millisecond, 4 * time.Second, 58, true},
		"slow, early":         {100 * time.Millisecond, time.Second, 120, false},
		"slow, early, medium": {100 * time.Millisecond, time.Second, 58, true},
		"quick, early":        {30 * time.Millisecond, time.Second, 120, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newPatientHarness(t)
			h.completePacedStreams(3, c.perEvent)
			h.drainFor("/lookup/1", c.after)
			a := h.patientArrival("/review/1")
			a.MaxOutput = table.Tokens(c.events) * 5
			h.step(a)
			if !c.taken {
				require.Empty(t, h.callsFor(h.lastExchange))
				require.Equal(t, table.CodeDraining, h.finishOf(h.lastExchange).Outcome.Code)
				return
			}
			require.Len(t, h.callsFor(h.lastExchange), 1, "it ends in time")
		})
	}
}

// Guards against rows of routes that configurations had once.
func TestSlowdownsOfFormerRoutesAreRemoved(t *testing.T) {
	h := newPatientHarness(t)
	for version := range uint64(20) {
		m := testManifest(version + 3)
		for i := range m.Routes {
			m.Routes[i].Name = fmt.Sprintf("%s-%d", m.Routes[i].Name, version)
		}
		h.step(event.ManifestReceived{Manifest: m})
		h.endAttempt(h.sendRequest("/lookup/1"), answeredAttempt)
	}
	require.LessOrEqual(t, h.world.RouteSlowdowns.Len(), len(h.world.Manifest.Routes))
}
