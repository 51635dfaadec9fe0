package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/notice"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// Guards against requests to an endpoint that says in an answer that it leaves, while its
// entry still says that it is ready.
func TestEndpointThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	c := newTestCluster(t)
	c.startEndpoint("i-leaving", "desk", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Server-Leaving", "1")
		_, _ = io.WriteString(w, "leaving")
	})
	c.startEndpoint("i-staying", "desk", respondBooked)
	c.putConfig(1, 100_000)
	gw := c.startGateway("edge-1")
	gw.waitReady()
	told := 0
	for i := range 100 {
		status, body, err := gw.postRequest("/booking/1", fmt.Sprintf("r-%d", i), "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		if body == "leaving" {
			told++
		}
	}
	require.LessOrEqual(t, told, 1)
}

// Guards against requests to an endpoint in the time for which it asked not to get any.
func TestEndpointThatAsksForPauseGetsIt(t *testing.T) {
	const pause = 30 * time.Second
	c := newTestCluster(t)
	var refused atomic.Int64
	c.startEndpoint("i-busy", "desk", func(w http.ResponseWriter, _ *http.Request) {
		refused.Add(1)
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Retry-After", fmt.Sprint(pause.Seconds()))
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	c.startEndpoint("i-free", "desk", respondBooked)
	c.putConfig(1, 100_000)
	gw := c.startGateway("edge-1")
	gw.waitReady()
	var refusedAt time.Time
	for i := range 100 {
		_, _, err := gw.postRequest("/booking/1", fmt.Sprintf("r-%d", i), "")
		require.NoError(t, err)
		if refused.Load() > 0 && refusedAt.IsZero() {
			refusedAt = time.Now()
		}
		if !refusedAt.IsZero() && time.Since(refusedAt) > pause {
			break
		}
		// Suspicion alone, which a declined attempt causes, ends sooner.
		time.Sleep(5 * time.Millisecond)
	}
	require.LessOrEqual(t, refused.Load(), int64(1))
}

// usesEndpoint reports whether any of some requests goes to an endpoint of "desk".
func (h *harness) usesEndpoint(id table.EndpointID) bool {
	used := false
	for range 12 {
		h.step(h.newArrival("/booking/1"))
		call := h.calls[len(h.calls)-1]
		used = used || call.Endpoint == id
		h.step(event.DirectAttemptEnd{Exchange: call.Exchange, Attempt: call.Attempt, Status: event.DirectAnswered, HTTPStatus: http.StatusOK})
	}
	return used
}

// answerOf sends a request and returns the end of its attempt with what the endpoint says.
func (h *harness) answerOf(n event.EndpointNotice, status event.DirectStatus) (command.CallEndpoint, event.DirectAttemptEnd) {
	h.step(h.newArrival("/booking/1"))
	call := h.calls[len(h.calls)-1]
	n.Present = true
	return call, event.DirectAttemptEnd{Exchange: call.Exchange, Attempt: call.Attempt, Status: status, HTTPStatus: http.StatusOK, Notice: n}
}

// Guards against an endpoint that said it leaves and is used again: because its entry still
// says that it is ready, because the entry lapsed and is back, or because another router
// has not heard it. Only a new process of the endpoint takes it back.
func TestWordOfLeavingEndpointStands(t *testing.T) {
	h, other := newServingHarness(t), newNamedHarness(t, "edge-2").serve()
	call, end := h.answerOf(event.EndpointNotice{Leaving: true}, event.DirectAnswered)
	h.step(end)
	id := call.Endpoint
	require.False(t, h.usesEndpoint(id))
	ready := event.EndpointChanges{Present: []event.EndpointEntry{endpointEntry(string(id), "desk")}}
	h.step(ready)
	require.False(t, h.usesEndpoint(id), "the entry says ready")
	h.step(event.EndpointChanges{Removed: []table.EndpointID{id}})
	h.advance(5 * time.Second)
	require.Nil(t, h.world.DirectEndpoints.Get(id))
	h.step(ready)
	require.False(t, h.usesEndpoint(id), "the entry is back")

	require.True(t, other.usesEndpoint(id))
	report := event.RouterReport{Notices: []event.ReportedNotice{{Endpoint: id, StartedUnixMilli: 1, Leaving: true}}}
	other.step(report)
	require.False(t, other.usesEndpoint(id), "another router reported it")

	restarted := ready
	restarted.Present[0].StartedUnixMilli = 2
	h.step(restarted)
	other.step(restarted)
	require.True(t, h.usesEndpoint(id), "a new process")
	other.step(report)
	require.True(t, other.usesEndpoint(id), "a late word of the process before")
}

// Guards against reports that keep what an endpoint said from other routers.
func TestWordOfLeavingEndpointIsReported(t *testing.T) {
	h := newServingHarness(t)
	call, end := h.answerOf(event.EndpointNotice{Leaving: true}, event.DirectAnswered)
	h.step(end)
	reported := func() bool {
		for _, n := range notice.Report(h.world) {
			if n.Endpoint == call.Endpoint && n.Leaving && n.StartedUnixMilli == 1 {
				return true
			}
		}
		return false
	}
	require.True(t, notice.HasNews(h.world))
	require.True(t, reported())
	require.False(t, notice.HasNews(h.world))
	h.advance(30 * time.Second)
	require.True(t, reported(), "a router that starts later hears it too")
}

// Guards against a pause that is forgotten because the endpoint's entry was gone for a
// moment.
func TestPauseOutlastsRemovalOfEntry(t *testing.T) {
	h := newServingHarness(t)
	c, end := h.answerOf(event.EndpointNotice{Pause: 20 * time.Second}, event.DirectDeclined)
	h.endAttempt(c, end)
	h.step(event.EndpointChanges{Removed: []table.EndpointID{c.Endpoint}})
	h.advance(time.Second)
	require.Nil(t, h.world.DirectEndpoints.Get(c.Endpoint))
	h.step(event.EndpointChanges{Present: []event.EndpointEntry{endpointEntry(string(c.Endpoint), "desk")}})
	h.advance(time.Second)
	require.False(t, h.usesEndpoint(c.Endpoint))
	h.advance(20 * time.Second)
	require.True(t, h.usesEndpoint(c.Endpoint))
	h.step(event.EndpointChanges{Removed: []table.EndpointID{c.Endpoint}})
	h.advance(time.Minute)
	require.Nil(t, h.world.EndpointNotices.Get(c.Endpoint))
}

// Guards against requests within a pause that endpoints asked for, against pauses that
// hold requests until their deadline, and against one without end.
func TestPausesOfEndpointsAreKept(t *testing.T) {
	h := newServingHarness(t)
	first, end := h.answerOf(event.EndpointNotice{Pause: 2 * time.Second}, event.DirectDeclined)
	h.step(end)
	second, end := h.answerOf(event.EndpointNotice{Pause: 24 * time.Hour}, event.DirectDeclined)
	h.step(end)
	require.NotEqual(t, first.Endpoint, second.Endpoint)
	sent := len(h.calls)
	a := h.newArrival("/booking/1")
	h.step(a)
	last := h.finished[len(h.finished)-1]
	require.Equal(t, a.Exchange, last.Exchange, "refused in the tick of its arrival")
	require.Equal(t, table.NotRun, last.Outcome.Ran)
	require.GreaterOrEqual(t, last.Outcome.RetryAfter, 1900*time.Millisecond)
	require.Len(t, h.calls, sent)
	h.advance(2 * time.Second)
	require.True(t, h.usesEndpoint(first.Endpoint))
	require.False(t, h.usesEndpoint(second.Endpoint))
	h.advance(11 * time.Minute)
	require.True(t, h.usesEndpoint(second.Endpoint), "a pause is bounded")
}
