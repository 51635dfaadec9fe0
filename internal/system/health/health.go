// Package health tracks the load of direct endpoints and decides which of them
// are suspect.
//
// It relies on the router's own attempts. The endpoints' health checks are not
// used: they may pass while requests fail.
package health

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/catalog"
	"laburnumroad.dev/laburnumroad/internal/system/load"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// failureWeight is the weight of the latest attempt in FailureRate. With 0.1,
	// about the last ten attempts determine the rate.
	failureWeight = 0.1
	// minSuspectTime is how long an endpoint is suspect after it declined an
	// attempt, or after an attempt could not be sent or brought no complete answer.
	// In the latter two cases, the time doubles with each consecutive failure up to
	// maxSuspectTime; a crashed endpoint is back after some seconds.
	minSuspectTime = 250 * time.Millisecond
	maxSuspectTime = 4 * time.Second
	// cachedPartLifetime is how long a prompt part is assumed to be cached after
	// its last use. Engines evict the least recently used parts first.
	cachedPartLifetime = 60 * time.Second
	// maxCachedParts is the number of rows above which expired ones are deleted, and
	// mostCachedParts the number above which there are no new ones: clients choose the ids.
	maxCachedParts  = 20_000
	mostCachedParts = 5 * maxCachedParts
)

// Run applies the answers that started and the attempts that ended in this tick.
func Run(w *world.World) {
	for i := range w.In.DirectAnswersStarted {
		onAnswerStarted(w, &w.In.DirectAnswersStarted[i])
	}
	for i := range w.In.DirectAttemptEnds {
		onAttemptEnd(w, &w.In.DirectAttemptEnds[i])
	}
}

// currentAttempt returns the exchange of an event and its endpoint, which may
// be nil. The exchange is nil if the attempt is no longer open.
func currentAttempt(w *world.World, id table.ExchangeID, attempt int) (*table.Exchange, *table.DirectEndpoint) {
	x := w.Exchanges.Get(id)
	if x == nil || x.Attempt != attempt || x.State != table.ExchangeRunning && x.State != table.ExchangeStopping {
		return nil, nil
	}
	return x, w.DirectEndpoints.Get(x.Endpoint)
}

func onAnswerStarted(w *world.World, e *event.DirectAnswerStarted) {
	x, row := currentAttempt(w, e.Exchange, e.Attempt)
	if x == nil {
		return
	}
	recordAnswerStart(w, x, row)
	load.Record(w, row, e.Report)
}

// recordAnswerStart records that the answer of an attempt has begun, and removes
// the attempt from those that wait for their first event.
func recordAnswerStart(w *world.World, x *table.Exchange, row *table.DirectEndpoint) {
	if x.AnswerStarted {
		return
	}
	x.AnswerStarted, x.AnswerStartedAt = true, w.Now
	if x.FirstEventAt == 0 {
		x.FirstEventAt = w.Now
	}
	if row == nil {
		return
	}
	row.AwaitingFirstEvent = max(0, row.AwaitingFirstEvent-1)
	row.PrefillTokens = max(0, row.PrefillTokens-x.PrefillTokens)
	recordCachedParts(w, x, row.ID)
}

// recordCachedParts records that the endpoint has the prompt of an exchange in
// its cache.
func recordCachedParts(w *world.World, x *table.Exchange, id table.EndpointID) {
	if w.CachedParts.Len() > maxCachedParts {
		w.CachedParts.DeleteIf(func(_ table.CachedPart, lastUsed *table.Instant) bool {
			return w.Now.Sub(*lastUsed) > cachedPartLifetime
		})
	}
	for _, p := range x.PromptParts {
		key := table.CachedPart{Endpoint: id, Part: p.ID}
		if w.CachedParts.Len() < mostCachedParts || w.CachedParts.Get(key) != nil {
			w.CachedParts.Put(key, w.Now)
		}
	}
}

func onAttemptEnd(w *world.World, e *event.DirectAttemptEnd) {
	x, row := currentAttempt(w, e.Exchange, e.Attempt)
	if x == nil || row == nil {
		return
	}
	row.InFlight = max(0, row.InFlight-1)
	load.CountChange(w, row, -1)
	if !x.AnswerStarted {
		row.AwaitingFirstEvent = max(0, row.AwaitingFirstEvent-1)
		row.PrefillTokens = max(0, row.PrefillTokens-x.PrefillTokens)
	}
	if x.State == table.ExchangeStopping || e.ClientLost {
		// The router or the client ended the attempt, which says nothing about the
		// endpoint.
		return
	}
	load.Record(w, row, e.Report)
	load.Learn(w, x, row, e)
	recordResult(w, row, e)
}

// recordResult updates FailureRate and SuspectUntil of an endpoint after an
// attempt.
func recordResult(w *world.World, row *table.DirectEndpoint, e *event.DirectAttemptEnd) {
	switch {
	case e.Misdirected:
		w.RecordStateChange("endpoint", string(row.ID), "live", "leaving", "another endpoint answers at its address")
		catalog.SetLeaving(w, row, true)
	case e.Status == event.DirectNotSent && row.Withdrawn:
		// The attempt was withdrawn, which says nothing about the endpoint.
	case !e.Failed():
		row.FailureRate -= failureWeight * row.FailureRate
		if row.ConsecutiveFailures > 0 {
			w.RecordStateChange("endpoint", string(row.ID), "suspect", "live", "an attempt succeeded")
		}
		row.ConsecutiveFailures, row.SuspectUntil = 0, 0
	case e.Status == event.DirectAnswered:
		// An answer that reports a failure concerns one request, so the endpoint
		// does not become suspect. Its failure rate rises because endpoints that
		// fail often are worth avoiding.
		row.FailureRate += failureWeight * (1 - row.FailureRate)
	case e.Status == event.DirectDeclined:
		markSuspect(w, row, e.Reason, minSuspectTime)
	default:
		row.FailureRate += failureWeight * (1 - row.FailureRate)
		row.ConsecutiveFailures++
		markSuspect(w, row, e.Reason, min(maxSuspectTime, minSuspectTime<<min(row.ConsecutiveFailures-1, 8)))
	}
}

func markSuspect(w *world.World, row *table.DirectEndpoint, reason string, duration time.Duration) {
	if row.SuspectUntil <= w.Now {
		w.RecordStateChange("endpoint", string(row.ID), "live", "suspect", reason)
	}
	row.SuspectUntil = max(row.SuspectUntil, w.Now.Add(duration))
	w.WakeAt(row.SuspectUntil)
}
