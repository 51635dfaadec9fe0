package gateway

import (
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

// keepOpen starts a request that does not end: a router without work would exit.
func (h *harness) keepOpen(path string) {
	h.step(h.patientArrival(path))
	require.Len(h.t, h.callsFor(h.lastExchange), 1)
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
}

// Guards against a shutdown that aborts requests taken late in it: under load they take several times their typical duration.
func TestRequestsTakenLateInDrainEndInTime(t *testing.T) {
	h := newPatientHarness(t)
	h.completeStreams(3, 4*time.Second)
	h.keepOpen("/review/1")
	h.step(event.Shutdown{})
	h.advance(5 * time.Second)
	h.step(h.patientArrival("/review/1"))
	require.Equal(t, table.CodeDraining, h.finishOf(h.lastExchange).Outcome.Code, "4 s don't fit into the 3 s that are left")
	h.step(h.patientArrival("/lookup/1"))
	require.Len(t, h.callsFor(h.lastExchange), 1, "calls of another service are as quick as usual")
}

// Guards against a shutdown that knows a slowdown only once the first slow request has ended.
func TestRequestInProgressShowsSlowdownDuringDrain(t *testing.T) {
	h := newPatientHarness(t)
	h.keepOpen("/review/1")
	h.step(event.Shutdown{})
	h.advance(5 * time.Second)
	h.step(h.patientArrival("/review/1"))
	require.Equal(t, table.CodeDraining, h.finishOf(h.lastExchange).Outcome.Code)
}

// Guards against a slowdown that is remembered for so long that a router without load takes nothing while it drains.
func TestSlowdownIsForgotten(t *testing.T) {
	h := newPatientHarness(t)
	h.completeStreams(1, 4*time.Second)
	h.advance(time.Minute)
	h.keepOpen("/lookup/1")
	h.step(event.Shutdown{})
	h.advance(5 * time.Second)
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
