package routing

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// meanOutputWeight is the weight of a new sample in MeanOutputTokens. It is low
// because output lengths vary more between requests than over time.
const meanOutputWeight = 0.02

// observe updates the latency averages from the events of this tick.
func observe(w *world.World) {
	for _, e := range w.In.FirstTokens {
		if r := requestOfAttempt(w, e.Request, e.Attempt); r != nil {
			observeFirstToken(w, r)
		}
	}
	for _, e := range w.In.AttemptProgress {
		if r := requestOfAttempt(w, e.Request, e.Attempt); r != nil {
			observeTokenTime(w, r, e.DeliveredTokens)
		}
	}
	for i := range w.In.AttemptEnds {
		e := &w.In.AttemptEnds[i]
		if r := requestOfAttempt(w, e.Request, e.Attempt); r != nil {
			observeEnd(w, r, e)
		}
	}
}

// requestOfAttempt returns the request if the given attempt is the one that is
// counted at its endpoint, and nil otherwise.
func requestOfAttempt(w *world.World, id table.RequestID, attempt uint32) *table.Request {
	r := w.Requests.Get(id)
	if r == nil || r.Load.Attempt != attempt {
		return nil
	}
	return r
}

func observeFirstToken(w *world.World, r *table.Request) {
	if r.Load.ProgressAt != 0 {
		return
	}
	r.Load.ProgressAt = w.Now
	r.Load.ProgressTokens = r.DeliveredTokens
	e := w.Endpoints.Get(r.Load.Endpoint)
	if e == nil || r.Load.Class != table.ClassQuick {
		return
	}
	e.AwaitingFirstToken = max(0, e.AwaitingFirstToken-1)
	e.AwaitingFirstTokenSince = w.Now
	e.FirstTokenTime = table.UpdateMovingAverage(e.FirstTokenTime, w.Now.Sub(r.DispatchedAt))
	e.Samples++
	ejectIfOutlier(w, e)
}

func observeTokenTime(w *world.World, r *table.Request, delivered table.Tokens) {
	if r.Load.ProgressAt == 0 || delivered <= r.Load.ProgressTokens || w.Now <= r.Load.ProgressAt {
		return
	}
	perToken := w.Now.Sub(r.Load.ProgressAt) / time.Duration(delivered-r.Load.ProgressTokens)
	r.Load.ProgressAt, r.Load.ProgressTokens = w.Now, delivered
	if e := w.Endpoints.Get(r.Load.Endpoint); e != nil {
		e.TokenTime = table.UpdateMovingAverage(e.TokenTime, perToken)
		ejectIfOutlier(w, e)
	}
}

func observeEnd(w *world.World, r *table.Request, e *event.AttemptEnd) {
	if e.Status == event.AttemptBroken || e.Status == event.AttemptLost {
		observeFailure(w, r)
	}
	if e.Status != event.AttemptDone || e.Replayed {
		return
	}
	if endpoint := w.Endpoints.Get(r.Load.Endpoint); endpoint != nil {
		endpoint.ConsecutiveFailures = 0
	}
	if r.Kind == table.ServicePlain {
		observePlainCall(w, r)
		return
	}
	observeTokenTime(w, r, e.DeliveredTokens)
	if s := w.Services.Get(r.Service); s != nil {
		if s.MeanOutputTokens == 0 {
			s.MeanOutputTokens = float64(e.DeliveredTokens)
		}
		s.MeanOutputTokens += meanOutputWeight * (float64(e.DeliveredTokens) - s.MeanOutputTokens)
	}
}

// observePlainCall uses the duration of a plain call both as its first-token time
// and as the time of its single token.
func observePlainCall(w *world.World, r *table.Request) {
	if e := w.Endpoints.Get(r.Load.Endpoint); e != nil {
		e.FirstTokenTime = table.UpdateMovingAverage(e.FirstTokenTime, w.Now.Sub(r.DispatchedAt))
		e.TokenTime = e.FirstTokenTime
		e.Samples++
		ejectIfOutlier(w, e)
	}
}

// observeFailure counts a failed attempt. An endpoint that fails every attempt
// immediately would otherwise look like the fastest one.
func observeFailure(w *world.World, r *table.Request) {
	if e := w.Endpoints.Get(r.Load.Endpoint); e != nil {
		e.ConsecutiveFailures++
		ejectIfOutlier(w, e)
	}
}

// shortestFirstToken returns the shortest observed first-token time, or 0 if there
// is none.
func shortestFirstToken(endpoints []*table.Endpoint) time.Duration {
	shortest := time.Duration(0)
	for _, e := range endpoints {
		if e.Samples > 0 && (shortest == 0 || e.FirstTokenTime < shortest) {
			shortest = e.FirstTokenTime
		}
	}
	return shortest
}
