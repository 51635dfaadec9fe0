package retry

import (
	"strconv"
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// initialBackoff and maxBackoff bound the delay before another attempt, which
	// doubles with each attempt. The initial delay is short because a caller may be
	// waiting for the rest of an interrupted stream.
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// initialBusyBackoff and maxBusyBackoff bound the delay after a BUSY rejection.
	// They are shorter because a busy endpoint usually frees a slot within the
	// duration of a short request.
	initialBusyBackoff = 2 * time.Millisecond
	maxBusyBackoff     = 100 * time.Millisecond
	// maxAttempts limits the attempts of one request, so that a request that fails
	// on every endpoint cannot use up the service's retry budget.
	maxAttempts = 5
	// failureRetryAfter is the RetryAfter of requests that failed but may be sent
	// again. If the retry budget was used up, new requests refill it by then.
	failureRetryAfter = time.Second
)

// handleRejected handles an attempt that the agent rejected. The agent's Ran status
// covers earlier attempts of the key too, which matters only to non-idempotent work.
func handleRejected(w *world.World, r *table.Request, e *event.AttemptEnd) {
	w.Count("retry.rejected." + string(e.Code))
	switch {
	case r.AttemptCancelled:
		endRequest(w, r, table.CodeCancelled, "the request was cancelled", 0)
	case !r.Idempotent && e.Ran != table.NotRun:
		endRequest(w, r, e.Code, e.Reason, 0)
	case e.Code == table.CodeBusy:
		handleBusy(w, r)
	case isFinal(e.Code):
		endRequest(w, r, e.Code, e.Reason, 0)
	default:
		scheduleRetry(w, r, e)
	}
}

// isFinal reports whether every other endpoint would reject the request with the same
// code.
func isFinal(c table.Code) bool {
	switch c {
	case table.CodeFenced, table.CodeQuarantined, table.CodeBadRequest, table.CodePromptTooLong,
		table.CodeKeyMismatch, table.CodeKeyLost, table.CodeKeyInUse, table.CodeForbidden:
		return true
	}
	return false
}

// handleBusy queues the request again. No retry is counted, because no work was run.
// The first rejection causes no delay, because routing already avoids the endpoint.
func handleBusy(w *world.World, r *table.Request) {
	r.BusyRejections++
	if r.BusyRejections == 1 {
		w.RecordDecision(r.ID, System, "the agent is busy; queued again")
		w.Requests.SetState(r, table.RequestQueued)
		return
	}
	delay := backoffDelay(w, initialBusyBackoff, maxBusyBackoff, r.BusyRejections-2)
	startBackoff(w, r, delay, "the agent is busy")
}

// handleFailed handles an attempt that ended without a complete answer.
func handleFailed(w *world.World, r *table.Request, e *event.AttemptEnd) {
	switch {
	case r.AttemptCancelled || e.Status == event.AttemptCancelled:
		endRequest(w, r, table.CodeCancelled, "the request was cancelled", 0)
	case !r.Idempotent && e.Ran != table.NotRun:
		w.Count("retry.not_repeated")
		endRequest(w, r, failureCode(e), "the call may have run and must not run twice", 0)
	case r.ReplayOnly:
		endRequest(w, r, failureCode(e), "the kept answer was cut off", failureRetryAfter)
	default:
		scheduleRetry(w, r, e)
	}
}

// failureCode returns the code of a failed attempt, or CodeEndpointFailed if it has
// none.
func failureCode(e *event.AttemptEnd) table.Code {
	if e.Code == "" {
		return table.CodeEndpointFailed
	}
	return e.Code
}

// scheduleRetry schedules another attempt, or ends the request if the answer is
// already at its maximum length, or the attempt limit or the retry budget is reached.
func scheduleRetry(w *world.World, r *table.Request, e *event.AttemptEnd) {
	r.TriedEndpoints = append(r.TriedEndpoints, r.Endpoint)
	switch {
	case r.Kind == table.ServiceModel && r.DeliveredTokens >= r.MaxOutput:
		endRequest(w, r, failureCode(e), "the answer was cut off before its end marker", 0)
	case r.Attempts >= maxAttempts:
		endRequest(w, r, failureCode(e), "no attempt succeeded: "+e.Reason, failureRetryAfter)
	case !takeRetry(w, r.Service):
		w.Count("retry.budget_used_up")
		endRequest(w, r, failureCode(e), "the retry budget of the service is used up: "+e.Reason, failureRetryAfter)
	default:
		w.Count("retry.planned")
		startBackoff(w, r, backoffDelay(w, initialBackoff, maxBackoff, r.Attempts-1), "attempt failed: "+e.Reason)
	}
}

// backoffDelay returns an exponential backoff delay, up to limit. Half of the delay is
// random jitter, so that requests that failed at the same time are not retried at the
// same time.
func backoffDelay(w *world.World, initial, limit time.Duration, doublings int) time.Duration {
	const maxDoublings = 16
	delay := min(limit, initial<<min(max(doublings, 0), maxDoublings))
	return delay/2 + time.Duration(w.Rand.Int64N(int64(delay/2)+1))
}

// startBackoff holds the request back for the delay.
func startBackoff(w *world.World, r *table.Request, delay time.Duration, reason string) {
	r.NextAttemptAt = w.Now.Add(delay)
	w.Requests.SetState(r, table.RequestBackoff)
	w.RecordDecision(r.ID, System, reason,
		table.Input{Name: "delay", Value: delay.String()},
		table.Input{Name: "delivered", Value: strconv.FormatInt(int64(r.DeliveredTokens), 10)})
}

// requeueDue queues the requests whose backoff delay has ended.
func requeueDue(w *world.World) {
	if w.Requests.CountInState(table.RequestBackoff) == 0 {
		return
	}
	for _, id := range w.Requests.InState(table.RequestBackoff) {
		r := w.Requests.Get(id)
		if r.NextAttemptAt > w.Now {
			w.WakeAt(r.NextAttemptAt)
			continue
		}
		w.Requests.SetState(r, table.RequestQueued)
	}
}

// endRequest ends the request with a failure.
func endRequest(w *world.World, r *table.Request, code table.Code, reason string, retryAfter time.Duration) {
	w.Requests.SetState(r, table.RequestEnded)
	outcome := r.FailureOutcome(code, reason)
	outcome.RetryAfter = retryAfter
	w.Count("retry.ended." + string(code))
	w.RecordDecision(r.ID, System, "ended: "+reason)
	w.Requests.End(r, outcome)
}
