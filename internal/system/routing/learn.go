package routing

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// outputShare is the share of a new sample in a service's mean output, which
// varies more from request to request than with time.
const outputShare = 0.02

// learn updates the observed times from the events of this tick.
func learn(w *world.World) {
	for _, e := range w.In.FirstTokens {
		if r := attemptOf(w, e.Request, e.Attempt); r != nil {
			learnFirstToken(w, r)
		}
	}
	for _, e := range w.In.Progresses {
		if r := attemptOf(w, e.Request, e.Attempt); r != nil {
			learnTokenTime(w, r, e.Delivered)
		}
	}
	for i := range w.In.AttemptEnds {
		e := &w.In.AttemptEnds[i]
		if r := attemptOf(w, e.Request, e.Attempt); r != nil {
			learnEnd(w, r, e)
		}
	}
}

// attemptOf returns the request if its accounted work is that of the attempt.
func attemptOf(w *world.World, id table.RequestID, attempt uint32) *table.Request {
	r := w.Requests.Get(id)
	if r == nil || r.Work.Attempt != attempt {
		return nil
	}
	return r
}

func learnFirstToken(w *world.World, r *table.Request) {
	if r.Work.MarkAt != 0 {
		return
	}
	r.Work.MarkAt = w.Now
	r.Work.MarkTokens = r.Delivered
	e := w.Endpoints.Get(r.Work.Endpoint)
	if e == nil || r.Work.Class != table.ClassQuick {
		return
	}
	e.Waiting = max(0, e.Waiting-1)
	e.WaitingSince = w.Now
	e.FirstTokenTime = table.AverageTime(e.FirstTokenTime, w.Now.Sub(r.Dispatched))
	e.Samples++
	judge(w, e)
}

func learnTokenTime(w *world.World, r *table.Request, delivered table.Tokens) {
	if r.Work.MarkAt == 0 || delivered <= r.Work.MarkTokens || w.Now <= r.Work.MarkAt {
		return
	}
	perToken := w.Now.Sub(r.Work.MarkAt) / time.Duration(delivered-r.Work.MarkTokens)
	r.Work.MarkAt, r.Work.MarkTokens = w.Now, delivered
	if e := w.Endpoints.Get(r.Work.Endpoint); e != nil {
		e.TokenTime = table.AverageTime(e.TokenTime, perToken)
		judge(w, e)
	}
}

func learnEnd(w *world.World, r *table.Request, e *event.AttemptEnd) {
	if e.Status == event.AttemptBroken || e.Status == event.AttemptLost {
		learnFailure(w, r)
	}
	if e.Status != event.AttemptDone || e.Replayed {
		return
	}
	if endpoint := w.Endpoints.Get(r.Work.Endpoint); endpoint != nil {
		endpoint.Failures = 0
	}
	if r.Kind == table.ServicePlain {
		learnCall(w, r)
		return
	}
	learnTokenTime(w, r, e.Delivered)
	if s := w.Services.Get(r.Service); s != nil {
		if s.MeanOutput == 0 {
			s.MeanOutput = float64(e.Delivered)
		}
		s.MeanOutput += outputShare * (float64(e.Delivered) - s.MeanOutput)
	}
}

// learnCall takes the whole time of a plain call as its first-token time and as
// the time of its one token of work.
func learnCall(w *world.World, r *table.Request) {
	if e := w.Endpoints.Get(r.Work.Endpoint); e != nil {
		e.FirstTokenTime = table.AverageTime(e.FirstTokenTime, w.Now.Sub(r.Dispatched))
		e.TokenTime = e.FirstTokenTime
		e.Samples++
		judge(w, e)
	}
}

// learnFailure counts a broken attempt. An endpoint that breaks each attempt at
// once would otherwise look like the fastest.
func learnFailure(w *world.World, r *table.Request) {
	if e := w.Endpoints.Get(r.Work.Endpoint); e != nil {
		e.Failures++
		judge(w, e)
	}
}

// bestFirstToken returns the shortest observed first-token time, 0 if unknown.
func bestFirstToken(list []*table.Endpoint) time.Duration {
	best := time.Duration(0)
	for _, e := range list {
		if e.Samples > 0 && (best == 0 || e.FirstTokenTime < best) {
			best = e.FirstTokenTime
		}
	}
	return best
}
