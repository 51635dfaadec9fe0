package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// Guards against routers that go on sending to an endpoint which names how many requests
// a second it takes from all of them. The bound grows with the time that the test takes.
func TestEndpointGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	const limit = 1.2
	c := newTestCluster(t)
	c.startEndpoint("i-limited", "desk", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Server-Limit", fmt.Sprint(limit))
		_, _ = io.WriteString(w, "limited")
	})
	c.startEndpoint("i-free", "desk", respondBooked)
	c.putConfig(1, 100_000)
	var gateways []*testGateway
	for i := range 3 {
		gateways = append(gateways, c.startGateway(fmt.Sprintf("edge-%d", i+1)))
	}
	for _, gw := range gateways {
		gw.waitReady()
	}
	var firstToldAt time.Time
	told, counted := make([]bool, len(gateways)), 0
	for i := range 180 {
		n := i % len(gateways)
		status, body, err := gateways[n].postRequest("/booking/1", fmt.Sprintf("r-%d", i), "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, "another endpoint has no limit")
		if body != "limited" {
			continue
		}
		if firstToldAt.IsZero() {
			firstToldAt = time.Now()
		}
		if told[n] {
			counted++
		}
		told[n] = true
	}
	require.LessOrEqual(t, float64(counted), 1.5*limit*time.Since(firstToldAt).Seconds()+5)
}

// Guards against requests that wait for an endpoint although the limits which the
// endpoints named leave no room, and against clients that are all told the same time.
func TestRequestBeyondLimitsIsRefusedAtOnce(t *testing.T) {
	h := newServingHarness(t)
	for range 2 {
		a := h.newArrival("/booking/1")
		h.step(a)
		call := h.calls[len(h.calls)-1]
		h.step(event.DirectAttemptEnd{
			Exchange: a.Exchange, Attempt: call.Attempt, Status: event.DirectAnswered, HTTPStatus: http.StatusOK,
			Notice: event.EndpointNotice{Present: true, RateLimited: true, RateLimit: 0.5},
		})
		h.world.DirectEndpoints.Get(call.Endpoint).InFlight += 100
	}
	sent, times := len(h.calls), make(map[time.Duration]bool)
	for range 5 {
		a := h.newArrival("/booking/1")
		h.step(a)
		last := h.finished[len(h.finished)-1]
		require.Equal(t, a.Exchange, last.Exchange, "answered in the tick of its arrival")
		require.Equal(t, table.NotRun, last.Outcome.Ran)
		require.Positive(t, last.Outcome.RetryAfter)
		times[last.Outcome.RetryAfter] = true
	}
	require.Len(t, h.calls, sent)
	require.Len(t, times, 5)
	h.advance(5 * time.Second)
	a := h.newArrival("/booking/1")
	h.step(a)
	require.Len(t, h.calls, sent+1, "the limits leave room again")
}
