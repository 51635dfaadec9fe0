package routing

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// firstBusyDelay and longestBusyDelay bound how long an endpoint is held back
	// for a class after its agent refused work as busy. It doubles with each
	// refusal and starts again when an attempt of this router ends there.
	firstBusyDelay   = 4 * time.Millisecond
	longestBusyDelay = 64 * time.Millisecond
)

// hearAgents takes the agents' own counts from heartbeats and refusals.
func hearAgents(w *world.World) {
	for i := range w.In.Heartbeats {
		for _, load := range w.In.Heartbeats[i].Endpoints {
			hearLoad(w, load)
		}
	}
	for i := range w.In.AttemptEnds {
		hearEnd(w, &w.In.AttemptEnds[i])
	}
}

// hearLoad separates the other routers' work from this router's own. Messages on
// their way make the difference inexact, but not for longer than a heartbeat.
func hearLoad(w *world.World, load event.EndpointLoad) {
	e := w.Endpoints.Get(load.Endpoint)
	if e == nil {
		return
	}
	long := load.InFlight - load.InFlightQuick
	e.OthersInFlight = max(0, load.InFlight-e.InFlight)
	e.OthersLong = max(0, long-(e.InFlight-e.InFlightQuick))
	e.OthersTokens = max(0, load.InFlightTokens-e.InFlightTokens)
	if load.Observed != e.Observed {
		hearTimes(w, e, load)
	}
}

// hearTimes takes the agent's averages over the runs of all routers. One router
// alone sees too few runs of one endpoint to notice in time that it slowed down.
func hearTimes(w *world.World, e *table.Endpoint, load event.EndpointLoad) {
	e.Observed = load.Observed
	if load.FirstTokenTime > 0 {
		e.FirstTokenTime = load.FirstTokenTime
		e.Samples = max(e.Samples, minSamples)
	}
	if load.TokenTime > 0 {
		e.TokenTime = load.TokenTime
	}
	if e.Ejected {
		rejudge(w, e)
		return
	}
	judge(w, e)
}

// hearEnd holds an endpoint back after a refusal as busy, and opens it again
// when an attempt ended there, which freed a slot.
func hearEnd(w *world.World, end *event.AttemptEnd) {
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
		holdBack(w, e, r.Class)
		return
	}
	e.BusyUntil = [2]table.Instant{}
	e.BusyDelay = [2]time.Duration{}
}

// holdBack delays work of a class. An agent without a slot for quick work has
// none for long work either.
func holdBack(w *world.World, e *table.Endpoint, c table.Class) {
	e.BusyDelay[c] = min(longestBusyDelay, max(firstBusyDelay, 2*e.BusyDelay[c]))
	jitter := time.Duration(w.Rand.Int64N(int64(e.BusyDelay[c])))
	e.BusyUntil[c] = w.Now.Add(e.BusyDelay[c]/2 + jitter)
	if c == table.ClassQuick {
		e.BusyUntil[table.ClassLong] = max(e.BusyUntil[table.ClassLong], e.BusyUntil[c])
	}
}
