// Package retry decides how a request continues after an attempt ended.
//
// A complete answer ends the request. Work that certainly did not run, and
// idempotent work, is retried on another endpoint while the retry budget of the
// service lasts. Any other request ends with a failure that reports whether it ran.
package retry

import (
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// System is the name of this system in recorded decisions.
const System = "retry"

// Run processes the progress and the ends of attempts in this tick, and queues the
// requests whose backoff delay has ended.
func Run(w *world.World) {
	refillBudget(w)
	for _, e := range w.In.FirstTokens {
		handleFirstToken(w, e)
	}
	for _, e := range w.In.AttemptProgress {
		handleProgress(w, e)
	}
	for i := range w.In.AttemptEnds {
		handleAttemptEnd(w, &w.In.AttemptEnds[i])
	}
	for _, e := range w.In.SessionsClosed {
		handleSessionClosed(w, e)
	}
	requeueDue(w)
}

// runningRequest returns the running request with the given id if attempt is its
// current attempt, and nil otherwise.
func runningRequest(w *world.World, id table.RequestID, attempt uint32) *table.Request {
	r := w.Requests.Get(id)
	if r == nil || r.State() != table.RequestRunning || r.Attempt != attempt {
		w.Count("retry.stale_event")
		return nil
	}
	return r
}

func handleFirstToken(w *world.World, e event.FirstToken) {
	if r := runningRequest(w, e.Request, e.Attempt); r != nil && r.FirstTokenAt == 0 {
		r.FirstTokenAt = w.Now
	}
}

func handleProgress(w *world.World, e event.AttemptProgress) {
	if r := runningRequest(w, e.Request, e.Attempt); r != nil {
		r.DeliveredTokens = max(r.DeliveredTokens, e.DeliveredTokens)
	}
}

func handleAttemptEnd(w *world.World, e *event.AttemptEnd) {
	r := runningRequest(w, e.Request, e.Attempt)
	if r == nil {
		return
	}
	recordUsage(r, e)
	switch e.Status {
	case event.AttemptDone:
		handleDone(w, r, e)
	case event.AttemptRejected:
		handleRejected(w, r, e)
	default:
		handleFailed(w, r, e)
	}
}

// recordUsage records what the attempt is known to have produced. The prompt is billed
// once, so only the first prompt count is kept; the prompt of a later attempt may
// include output that was already delivered.
func recordUsage(r *table.Request, e *event.AttemptEnd) {
	r.DeliveredTokens = max(r.DeliveredTokens, e.DeliveredTokens)
	if r.RanPromptTokens == 0 {
		r.RanPromptTokens = min(e.PromptTokens, r.PromptTokens)
	}
	switch {
	case e.Ran == table.DidRun:
		r.Ran = table.DidRun
	case e.Ran != table.NotRun && r.Ran == 0:
		r.Ran = table.RanUnknown
	}
}

func handleDone(w *world.World, r *table.Request, e *event.AttemptEnd) {
	w.Count("retry.done")
	w.RecordDecision(r.ID, System, "answer is whole")
	w.Requests.End(r, table.Outcome{
		OK: true, Ran: table.DidRun,
		PromptTokens: r.BilledPrompt(), OutputTokens: r.DeliveredTokens,
		Replayed: e.Replayed,
	})
}

// handleSessionClosed ends the attempts that use a closed session to an agent. It iterates
// over all running requests, which is acceptable for a rare event.
func handleSessionClosed(w *world.World, closed event.SessionClosed) {
	for _, id := range w.Requests.InState(table.RequestRunning) {
		r := w.Requests.Get(id)
		if r.Agent != closed.Peer || r.Session != closed.Session {
			continue
		}
		lost := event.AttemptEnd{
			Request: id, Attempt: r.Attempt, Status: event.AttemptLost,
			Code: table.CodeEndpointFailed, Reason: "the session to the agent ended",
			Ran: table.RanUnknown, DeliveredTokens: r.DeliveredTokens,
		}
		handleAttemptEnd(w, &lost)
	}
}
