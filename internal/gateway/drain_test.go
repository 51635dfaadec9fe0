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
