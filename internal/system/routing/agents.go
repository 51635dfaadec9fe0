package routing

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// minBusyBackoff and maxBusyBackoff bound how long an endpoint gets no work of
	// a class after its agent rejected an attempt as busy. The delay doubles with
	// each rejection and is reset when another attempt of this router ends at the
	// endpoint.
	minBusyBackoff = 4 * time.Millisecond
	maxBusyBackoff = 64 * time.Millisecond
)

// applyAgentReports updates endpoints from the load reports in heartbeats and from
// the ends of attempts.
func applyAgentReports(w *world.World) {
	for i := range w.In.Heartbeats {
		for _, load := range w.In.Heartbeats[i].Endpoints {
			applyLoadReport(w, load)
		}
	}
	for i := range w.In.AttemptEnds {
		updateBusyBackoff(w, &w.In.AttemptEnds[i])
	}
}

// applyLoadReport computes the load of other routers as the agent's count minus
// this router's own. Messages in transit make the difference inexact until the next
// heartbeat.
func applyLoadReport(w *world.World, load event.EndpointLoad) {
	e := w.Endpoints.Get(load.Endpoint)
	if e == nil {
		return
	}
	longInFlight := load.InFlight - load.InFlightQuick
	e.OthersInFlight = max(0, load.InFlight-e.InFlight)
	e.OthersInFlightLong = max(0, longInFlight-(e.InFlight-e.InFlightQuick))
	e.OthersTokens = max(0, load.InFlightTokens-e.InFlightTokens)
	if load.Samples != e.AgentSamples {
		applyReportedLatencies(w, e, load)
	}
}

// applyReportedLatencies adopts the agent's latency averages, which cover the runs
// of all routers. A single router sees too few runs of one endpoint to detect
// a slowdown in time.
func applyReportedLatencies(w *world.World, e *table.Endpoint, load event.EndpointLoad) {
	e.AgentSamples = load.Samples
	if load.FirstTokenTime > 0 {
		e.FirstTokenTime = load.FirstTokenTime
		e.Samples = max(e.Samples, minSamples)
	}
	if load.TokenTime > 0 {
		e.TokenTime = load.TokenTime
	}
	if e.Ejected {
		reevaluateEjected(w, e)
		return
	}
	ejectIfOutlier(w, e)
}

// updateBusyBackoff extends the backoff of an endpoint whose agent rejected
// an attempt as busy. Any other end of an attempt frees a slot and resets the backoff.
func updateBusyBackoff(w *world.World, end *event.AttemptEnd) {
	r := w.Requests.Get(end.Request)
	if r == nil || r.Attempt != end.Attempt {
		return
	}
	e := w.Endpoints.Get(r.Endpoint)
	if e == nil {
		return
	}
	if end.Status == event.AttemptRejected && end.Code == table.CodeBusy {
		e.OthersInFlight = max(0, end.AgentInFlight-e.InFlight)
		backOff(w, e, r.Class)
		return
	}
	e.BusyUntil = [2]table.Instant{}
	e.BusyBackoff = [2]time.Duration{}
}

// backOff stops sending work of a class to an endpoint for a randomized delay. An
// agent that has no slot for quick work has none for long work either.
func backOff(w *world.World, e *table.Endpoint, c table.Class) {
	e.BusyBackoff[c] = min(maxBusyBackoff, max(minBusyBackoff, 2*e.BusyBackoff[c]))
	jitter := time.Duration(w.Rand.Int64N(int64(e.BusyBackoff[c])))
	e.BusyUntil[c] = w.Now.Add(e.BusyBackoff[c]/2 + jitter)
	if c == table.ClassQuick {
		e.BusyUntil[table.ClassLong] = max(e.BusyUntil[table.ClassLong], e.BusyUntil[c])
	}
}
