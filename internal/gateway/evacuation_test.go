package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// newEvacuatingHarness returns a serving harness of a deployment that evacuates failure
// domains. Each service has endpoints in the domains "a" and "b".
func newEvacuatingHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.world.Params.Front.EvacuationBound = 5 * time.Second
	h.evacuate()
	h.serve()
	h.step(event.EndpointChanges{Present: []event.EndpointEntry{entryIn("b", "m3", "model"), entryIn("b", "d2", "desk")}})
	return h
}

func entryIn(domain, id, service string) event.EndpointEntry {
	e := endpointEntry(id, service)
	e.Domain = domain
	return e
}

// evacuate makes the given failure domains the evacuated ones.
func (h *harness) evacuate(domains ...string) {
	h.evacuationRevision++
	h.step(event.EvacuationChanges{Full: true, Covered: h.evacuationRevision, Present: domains})
}

// Guards against requests, also repeated ones and continued streams, that are sent to an
// evacuated failure domain, and against a domain that stays out of use after that.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	h := newEvacuatingHarness(t)
	h.evacuate("a")
	stream := h.sendRequest("/review/1")
	cut := unknownOutcomeAttempt
	cut.HeaderDelivered, cut.DeliveredEvents = true, 2
	h.endAttempt(stream, cut)
	require.Len(t, h.callsFor(stream.Exchange), 2)
	for _, c := range h.callsFor(stream.Exchange) {
		require.Equal(t, table.EndpointID("m3"), c.Endpoint, "there is no other outside the domain")
	}
	for range 20 {
		c := h.sendRequest("/lookup/1")
		require.Equal(t, table.EndpointID("d2"), c.Endpoint)
		h.endAttempt(c, declinedAttempt)
		for _, c := range h.callsFor(c.Exchange) {
			require.Equal(t, table.EndpointID("d2"), c.Endpoint)
		}
	}
	h.evacuate()
	h.advance(5 * time.Second)
	require.True(t, h.usesEndpoint("d1"))
}

// Guards against attempts that are stopped by an evacuation although they run.
func TestEvacuationLetsRunningRequestsEnd(t *testing.T) {
	h := newEvacuatingHarness(t)
	c := h.sendRequest("/review/1")
	h.evacuate("a", "b")
	h.advance(time.Second)
	require.Empty(t, h.stopped)
	h.endAttempt(c, answeredAttempt)
	require.True(t, h.finishOf(c.Exchange).Deliver)
}

// Guards against requests that wait for a service whose endpoints are all evacuated, against
// a refusal that hides the reason, and against clients that come back together.
func TestRequestsAreRefusedAtOnceIfAllDomainsAreEvacuated(t *testing.T) {
	h := newEvacuatingHarness(t)
	h.evacuate("a", "b", "unknown")
	delays := make(map[time.Duration]bool)
	for range 20 {
		h.step(h.newArrival("/lookup/1"))
		o := h.finishOf(h.lastExchange).Outcome
		require.Equal(t, table.CodeNoEndpoint, o.Code)
		require.Equal(t, table.NotRun, o.Ran)
		require.Contains(t, o.Reason, "evacuated")
		require.GreaterOrEqual(t, o.RetryAfter, 2*time.Second)
		delays[o.RetryAfter] = true
	}
	require.Greater(t, len(delays), 15)
	require.Empty(t, h.calls)
	require.True(t, slices.ContainsFunc(h.decisions, func(d table.Decision) bool {
		return slices.Contains(d.Inputs, table.Input{Name: "endpoints", Value: "2 evacuated"})
	}), "the record of a refusal names the reason")
}

// Guards against an attempt that is sent after it was withdrawn, against orders that repeat
// the one before, and against an endpoint that leaves and that the end of an evacuation puts
// to use again.
func TestUseOfEndpointFollowsEvacuationAndDeparture(t *testing.T) {
	h := newEvacuatingHarness(t)
	expectUses := func(why string, expected ...command.SetEndpointUse) {
		t.Helper()
		require.ElementsMatch(t, expected, h.uses, why)
		h.uses = nil
	}
	h.uses = nil
	h.evacuate("b")
	expectUses("evacuated", command.SetEndpointUse{Endpoint: "m3"}, command.SetEndpointUse{Endpoint: "d2"})
	h.step(event.EndpointChanges{Present: []event.EndpointEntry{entryIn("b", "d3", "desk")}})
	expectUses("listed in an evacuated domain", command.SetEndpointUse{Endpoint: "d3"})
	leaving := entryIn("b", "d2", "desk")
	leaving.Leaving = true
	h.step(event.EndpointChanges{Present: []event.EndpointEntry{leaving, entryIn("b", "m3", "model")}})
	expectUses("leaves, or is listed again, in an evacuated domain")
	h.evacuate()
	expectUses("no longer evacuated", command.SetEndpointUse{Endpoint: "m3", Allowed: true}, command.SetEndpointUse{Endpoint: "d3", Allowed: true})
}

// Guards against an endpoint that is suspect after an evacuation, because attempts on their
// way to it were withdrawn.
func TestWithdrawnAttemptIsNoFailureOfEndpoint(t *testing.T) {
	h := newEvacuatingHarness(t)
	c := h.sendRequest("/lookup/1")
	domain := h.world.DirectEndpoints.Get(c.Endpoint).Domain
	h.evacuate(domain)
	h.endAttempt(c, notSentAttempt)
	require.Len(t, h.callsFor(c.Exchange), 2, "the request goes to another domain")
	e := h.world.DirectEndpoints.Get(c.Endpoint)
	require.Zero(t, e.SuspectUntil)
	require.Zero(t, e.FailureRate)
}

// Guards against a router that has just started and sends to domains that may be evacuated,
// and against one that never serves because the store does not answer.
func TestStartedRouterRefusesUntilEvacuationsAreKnown(t *testing.T) {
	h := newHarness(t)
	h.world.Params.Front.EvacuationBound = 5 * time.Second
	h.serve()
	h.step(event.QuarantineList{Status: event.CallOK})
	h.step(h.newArrival("/lookup/1"))
	require.Equal(t, table.CodeNotReady, h.finishOf(h.lastExchange).Outcome.Code)
	require.False(t, isReady(h.world))
	h.advance(5 * time.Second)
	require.True(t, isReady(h.world))
	h.sendRequest("/lookup/1")
}

// startEvacuatingGateway starts a gateway with one endpoint of "desk" in each of the
// domains "a" and "b". They answer with their domain.
func startEvacuatingGateway(c *testCluster) *testGateway {
	for _, domain := range []string{"a", "b"} {
		c.startEndpointIn(domain, "i-"+domain, "desk", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(domain)) })
	}
	c.putConfig(1, 100_000)
	c.evacuationBound = 5 * time.Second
	gw := c.startGateway("edge-1")
	gw.waitReady()
	return gw
}

// Guards against an entry of the store that does not take a failure domain out of use,
// whatever its content is, or whose removal does not put it to use again.
func TestGatewayFollowsEvacuations(t *testing.T) {
	c := newTestCluster(t)
	gw := startEvacuatingGateway(c)
	sent := 0
	send := func() (int, string) {
		sent++
		status, body, err := gw.postRequest("/booking/1", fmt.Sprint("r-", sent), "")
		require.NoError(t, err)
		return status, body
	}
	stable := func(body string) bool {
		for range 20 {
			if _, got := send(); got != body {
				return false
			}
		}
		return true
	}
	require.Eventually(t, func() bool { _, body := send(); return body == "a" }, time.Minute, time.Millisecond)
	c.putObject("evacuations", "a", `{}`)
	c.putObject("evacuations", "nowhere", `"no object"`)
	require.Eventually(t, func() bool { return stable("b") }, time.Minute, 50*time.Millisecond)
	c.putObject("evacuations", "b", `[1]`)
	require.Eventually(t, func() bool { status, _ := send(); return status == http.StatusServiceUnavailable }, time.Minute, 50*time.Millisecond)
	for _, domain := range []string{"a", "b"} {
		o, err := c.storeClient.Get(t.Context(), "evacuations", domain)
		require.NoError(t, err)
		require.NoError(t, c.storeClient.Delete(t.Context(), "evacuations", domain, o.Version))
	}
	require.Eventually(t, func() bool { _, body := send(); return body == "a" }, time.Minute, time.Millisecond)
	gw.shutdownAndWait()
	require.Equal(t, 3, strings.Count(gw.logs.text(), `"to":"evacuated"`))
	require.Contains(t, gw.logs.text(), "no endpoint is listed there")
	require.Contains(t, gw.logs.text(), "no endpoint is left elsewhere")
}

// Guards against calls for evacuations in a deployment that has none.
func TestGatewayWithoutEvacuationBoundAsksForNone(t *testing.T) {
	c := newTestCluster(t)
	c.startEndpoint("i-1", "desk", respondBooked)
	c.putConfig(1, 100_000)
	c.putObject("evacuations", "a", `{}`)
	gw := c.startGateway("edge-1")
	gw.waitReady()
	status, _, err := gw.postRequest("/booking/1", "r-1", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	gw.shutdownAndWait()
	require.NotContains(t, gw.logs.text(), "evacuat")
}
