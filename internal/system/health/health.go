// Package health keeps account of the work at direct endpoints and decides which
// of them are suspect.
//
// It judges by the router's own attempts. The endpoints' health checks are not
// asked: they may be good while requests fail.
package health

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// failureShare is the weight of the latest attempt in FailureRate: about the
	// last ten attempts count.
	failureShare = 0.1
	// firstSuspicion is how long an endpoint that could not be reached, or that
	// broke an answer off, gets no new work. It doubles up to longestSuspicion
	// while attempts fail; a crashed endpoint is back after some seconds.
	firstSuspicion   = 250 * time.Millisecond
	longestSuspicion = 4 * time.Second
	// cacheMemory is how long a prompt part is believed to be cached after its
	// last use. Engines drop the least recently used parts first.
	cacheMemory = 60 * time.Second
	// cacheLimit bounds the rows of believed cache contents.
	cacheLimit = 20000
)

// Run accounts for the attempts that moved on or ended in this tick.
func Run(w *world.World) {
	for i := range w.In.AttemptsStarted {
		started(w, &w.In.AttemptsStarted[i])
	}
	for i := range w.In.DirectEnds {
		ended(w, &w.In.DirectEnds[i])
	}
}

// current returns the exchange of an event and its endpoint, which may be nil,
// if the attempt is the open one.
func current(w *world.World, id table.ExchangeID, attempt int) (*table.Exchange, *table.DirectEndpoint) {
	x := w.Exchanges.Get(id)
	if x == nil || x.Attempt != attempt || x.State != table.ExchangeRunning && x.State != table.ExchangeStopping {
		return nil, nil
	}
	return x, w.DirectEndpoints.Get(x.Endpoint)
}

func started(w *world.World, e *event.AttemptStarted) {
	x, row := current(w, e.Exchange, e.Attempt)
	if x == nil {
		return
	}
	begin(w, x, row)
	report(w, row, e.Report)
}

// begin moves an attempt from the unstarted to the started ones.
func begin(w *world.World, x *table.Exchange, row *table.DirectEndpoint) {
	if x.Started {
		return
	}
	x.Started = true
	if x.FirstEventAt == 0 {
		x.FirstEventAt = w.Now
	}
	if row == nil {
		return
	}
	row.Unstarted = max(0, row.Unstarted-1)
	row.PrefillTokens = max(0, row.PrefillTokens-x.Prefill)
	remember(w, x, row.ID)
}

// remember notes that the endpoint has the prompt of an exchange in its cache.
func remember(w *world.World, x *table.Exchange, id table.EndpointID) {
	if w.CachedParts.Len() > cacheLimit {
		w.CachedParts.DeleteIf(func(_ table.CachedPart, at *table.Instant) bool { return w.Now.Sub(*at) > cacheMemory })
	}
	for _, p := range x.Parts {
		w.CachedParts.Put(table.CachedPart{Endpoint: id, Part: p.ID}, w.Now)
	}
}

func report(w *world.World, row *table.DirectEndpoint, r event.EndpointReport) {
	if row == nil || !r.Known {
		return
	}
	row.Running, row.Waiting, row.Slowdown, row.ReportedAt = r.Running, r.Waiting, r.Slowdown, w.Now
}

func ended(w *world.World, e *event.DirectEnd) {
	x, row := current(w, e.Exchange, e.Attempt)
	if x == nil || row == nil {
		return
	}
	row.InFlight = max(0, row.InFlight-1)
	if !x.Started {
		row.Unstarted = max(0, row.Unstarted-1)
		row.PrefillTokens = max(0, row.PrefillTokens-x.Prefill)
	}
	if x.State == table.ExchangeStopping {
		// The router or the client ended the attempt; it tells nothing of the endpoint.
		return
	}
	report(w, row, e.Report)
	judge(w, row, e)
}

func judge(w *world.World, row *table.DirectEndpoint, e *event.DirectEnd) {
	switch {
	case e.Misdirected:
		w.Change("endpoint", string(row.ID), "live", "leaving", "another endpoint answers at its address")
		row.Leaving = true
	case !e.Failed():
		row.FailureRate -= failureShare * row.FailureRate
		if row.Failures > 0 {
			w.Change("endpoint", string(row.ID), "suspect", "live", "an attempt succeeded")
		}
		row.Failures, row.SuspectUntil = 0, 0
	case e.Status == event.DirectAnswered:
		// A failure of its own tells of a request that failed, not of an endpoint
		// that is gone, but endpoints that fail often are worth avoiding.
		row.FailureRate += failureShare * (1 - row.FailureRate)
	case e.Status == event.DirectDeclined:
		suspect(w, row, e.Reason, firstSuspicion)
	default:
		row.FailureRate += failureShare * (1 - row.FailureRate)
		row.Failures++
		suspect(w, row, e.Reason, min(longestSuspicion, firstSuspicion<<min(row.Failures-1, 8)))
	}
}

func suspect(w *world.World, row *table.DirectEndpoint, reason string, d time.Duration) {
	if row.SuspectUntil <= w.Now {
		w.Change("endpoint", string(row.ID), "live", "suspect", reason)
	}
	row.SuspectUntil = max(row.SuspectUntil, w.Now.Add(d))
	w.WakeAt(row.SuspectUntil)
}
