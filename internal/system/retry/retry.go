// Package retry decides what follows the end of an attempt.
//
// A whole answer ends the request. Work that certainly did not run, and work
// that may be repeated, goes to another endpoint as long as the retry budget of
// the service allows it. Everything else ends with what is known of it.
package retry

import (
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// System names this system in explanations.
const System = "retry"

// Run handles the attempts that moved on or ended in this tick, and queues the
// requests whose delay is over.
func Run(w *world.World) {
	refill(w)
	for _, e := range w.In.FirstTokens {
		firstToken(w, e)
	}
	for _, e := range w.In.Progresses {
		progress(w, e)
	}
	for i := range w.In.AttemptEnds {
		attemptEnd(w, &w.In.AttemptEnds[i])
	}
	for _, e := range w.In.SessionDowns {
		sessionDown(w, e)
	}
	queueDue(w)
}

// running returns the request of an event if its attempt is the current one.
func running(w *world.World, id table.RequestID, attempt uint32) *table.Request {
	r := w.Requests.Get(id)
	if r == nil || r.State() != table.RequestRunning || r.Attempt != attempt {
		w.Count("retry.stale_event")
		return nil
	}
	return r
}

func firstToken(w *world.World, e event.FirstToken) {
	if r := running(w, e.Request, e.Attempt); r != nil && r.FirstToken == 0 {
		r.FirstToken = w.Now
	}
}

func progress(w *world.World, e event.Progress) {
	if r := running(w, e.Request, e.Attempt); r != nil {
		r.Delivered = max(r.Delivered, e.Delivered)
	}
}

func attemptEnd(w *world.World, e *event.AttemptEnd) {
	r := running(w, e.Request, e.Attempt)
	if r == nil {
		return
	}
	account(r, e)
	switch e.Status {
	case event.AttemptDone:
		done(w, r, e)
	case event.AttemptRejected:
		rejected(w, r, e)
	default:
		broken(w, r, e)
	}
}

// account adds what the attempt is known to have produced. The prompt is billed
// once, so only the first count is kept; a later one may include delivered text.
func account(r *table.Request, e *event.AttemptEnd) {
	r.Delivered = max(r.Delivered, e.Delivered)
	if r.PromptRun == 0 {
		r.PromptRun = min(e.Prompt, r.PromptTokens)
	}
	switch {
	case e.Ran == table.DidRun:
		r.Ran = table.DidRun
	case e.Ran != table.NotRun && r.Ran == 0:
		r.Ran = table.RanUnknown
	}
}

func done(w *world.World, r *table.Request, e *event.AttemptEnd) {
	w.Count("retry.done")
	w.Explain(r.ID, System, "answer is whole")
	w.Requests.End(r, table.Outcome{
		OK: true, Ran: table.DidRun,
		Prompt: r.BilledPrompt(), Output: r.Delivered,
		Replayed: e.Replayed,
	})
}

// sessionDown ends the attempts at an agent whose session is lost. It visits
// all running requests, which is acceptable for a rare event.
func sessionDown(w *world.World, down event.SessionDown) {
	for _, id := range w.Requests.In(table.RequestRunning) {
		r := w.Requests.Get(id)
		if r.Agent != down.Peer || r.Session != down.Session {
			continue
		}
		lost := event.AttemptEnd{
			Request: id, Attempt: r.Attempt, Status: event.AttemptLost,
			Code: table.CodeEndpointFailed, Reason: "the session to the agent ended",
			Ran: table.RanUnknown, Delivered: r.Delivered,
		}
		attemptEnd(w, &lost)
	}
}
