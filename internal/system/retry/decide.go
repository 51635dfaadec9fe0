package retry

import (
	"strconv"
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// firstDelay and longestDelay bound the delay before another attempt, which
	// doubles with each one. The first is short because a caller waits for the
	// rest of a broken stream.
	firstDelay   = 10 * time.Millisecond
	longestDelay = 2 * time.Second
	// firstBusyDelay and longestBusyDelay bound the delay after a busy agent. A
	// busy endpoint frees a slot within the time of a short request.
	firstBusyDelay   = 2 * time.Millisecond
	longestBusyDelay = 100 * time.Millisecond
	// maxAttempts bounds the attempts of one request, so that a request that
	// breaks each endpoint cannot use up the service's retry budget.
	maxAttempts = 5
	// exhaustedRetry is how soon a caller may try again when the retry budget is
	// used up; new requests refill it by then.
	exhaustedRetry = time.Second
)

// rejected handles an attempt that the agent refused. What the agent says of the
// key covers earlier attempts too, which matter only to work that must not repeat.
func rejected(w *world.World, r *table.Request, e *event.AttemptEnd) {
	w.Count("retry.rejected." + string(e.Code))
	switch {
	case r.Cancelled:
		end(w, r, table.CodeCancelled, "the request was cancelled", 0)
	case !r.Idempotent && e.Ran != table.NotRun:
		end(w, r, e.Code, e.Reason, 0)
	case e.Code == table.CodeBusy:
		busy(w, r)
	case final(e.Code):
		end(w, r, e.Code, e.Reason, 0)
	default:
		again(w, r, e)
	}
}

// final tells refusals that another endpoint would repeat.
func final(c table.Code) bool {
	switch c {
	case table.CodeFenced, table.CodeQuarantined, table.CodeBadRequest, table.CodePromptTooLong,
		table.CodeKeyMismatch, table.CodeKeyLost, table.CodeKeyInUse, table.CodeForbidden:
		return true
	}
	return false
}

// busy queues the request again: its work was not run and no retry is counted.
// The endpoint is held back by routing, so the first refusal costs no delay.
func busy(w *world.World, r *table.Request) {
	r.Rejections++
	if r.Rejections == 1 {
		w.Explain(r.ID, System, "the agent is busy; queued again")
		w.Requests.Move(r, table.RequestQueued)
		return
	}
	delay := backoff(w, firstBusyDelay, longestBusyDelay, r.Rejections-2)
	wait(w, r, delay, "the agent is busy")
}

// broken handles an attempt that ended early.
func broken(w *world.World, r *table.Request, e *event.AttemptEnd) {
	switch {
	case r.Cancelled || e.Status == event.AttemptCancelled:
		end(w, r, table.CodeCancelled, "the request was cancelled", 0)
	case !r.Idempotent && e.Ran != table.NotRun:
		w.Count("retry.not_repeated")
		end(w, r, failureCode(e), "the call may have run and must not run twice", 0)
	case r.ReplayOnly:
		end(w, r, failureCode(e), "the kept answer was cut off", exhaustedRetry)
	default:
		again(w, r, e)
	}
}

func failureCode(e *event.AttemptEnd) table.Code {
	if e.Code == "" {
		return table.CodeEndpointFailed
	}
	return e.Code
}

// again plans another attempt if the limits allow it.
func again(w *world.World, r *table.Request, e *event.AttemptEnd) {
	r.Tried = append(r.Tried, r.Endpoint)
	switch {
	case r.Kind == table.ServiceModel && r.Delivered >= r.MaxOutput:
		end(w, r, failureCode(e), "the answer was cut off before its end marker", 0)
	case r.Attempts >= maxAttempts:
		end(w, r, failureCode(e), "no attempt succeeded: "+e.Reason, exhaustedRetry)
	case !take(w, r.Service):
		w.Count("retry.budget_used_up")
		end(w, r, failureCode(e), "the retry budget of the service is used up: "+e.Reason, exhaustedRetry)
	default:
		w.Count("retry.planned")
		wait(w, r, backoff(w, firstDelay, longestDelay, r.Attempts-1), "attempt failed: "+e.Reason)
	}
}

// backoff returns a delay that doubles with n, of which half is random so that
// requests that failed together do not return together.
func backoff(w *world.World, first, longest time.Duration, n int) time.Duration {
	const maxDoublings = 16
	delay := min(longest, first<<min(max(n, 0), maxDoublings))
	return delay/2 + time.Duration(w.Rand.Int64N(int64(delay/2)+1))
}

func wait(w *world.World, r *table.Request, delay time.Duration, reason string) {
	r.NotBefore = w.Now.Add(delay)
	w.Requests.Move(r, table.RequestBackoff)
	w.Explain(r.ID, System, reason,
		table.Input{Name: "delay", Value: delay.String()},
		table.Input{Name: "delivered", Value: strconv.FormatInt(int64(r.Delivered), 10)})
}

// queueDue queues the requests whose delay is over.
func queueDue(w *world.World) {
	if w.Requests.Count(table.RequestBackoff) == 0 {
		return
	}
	for _, id := range w.Requests.In(table.RequestBackoff) {
		r := w.Requests.Get(id)
		if r.NotBefore > w.Now {
			w.WakeAt(r.NotBefore)
			continue
		}
		w.Requests.Move(r, table.RequestQueued)
	}
}

func end(w *world.World, r *table.Request, code table.Code, reason string, retryAfter time.Duration) {
	w.Requests.Move(r, table.RequestEnded)
	o := r.Failure(code, reason)
	o.RetryAfter = retryAfter
	w.Count("retry.ended." + string(code))
	w.Explain(r.ID, System, "ended: "+reason)
	w.Requests.End(r, o)
}
