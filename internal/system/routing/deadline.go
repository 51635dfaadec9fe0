package routing

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// deadlineRetryAfter is the retry delay suggested for requests that were refused
// because of their deadline. Load peaks last for seconds.
const deadlineRetryAfter = time.Second

// refuseExpired refuses queued requests whose deadline has passed.
func refuseExpired(w *world.World) {
	for r := w.Requests.NextDeadline(); r != nil; r = w.Requests.NextDeadline() {
		if r.FirstTokenDeadline > w.Now {
			w.WakeAt(r.FirstTokenDeadline)
			return
		}
		w.Requests.PopDeadline()
		if missesDeadline(w, r, 0) {
			refuseForDeadline(w, r)
		}
	}
}

// missesDeadline reports whether a request cannot get its first token in time. A
// request that may already have run at this router continues, because its tokens
// are already charged.
func missesDeadline(w *world.World, r *table.Request, firstToken time.Duration) bool {
	if r.FirstTokenDeadline == table.Never || r.MayHaveRunHere() {
		return false
	}
	return w.Now.Add(firstToken) >= r.FirstTokenDeadline
}

func refuseForDeadline(w *world.World, r *table.Request) {
	refuse(w, r, table.CodeDeadline, "the first token cannot come in time", deadlineRetryAfter)
}

// refuse ends a queued request with the outcome of its earlier attempts. The budget
// system has already run in this tick, so the request is settled in the next one.
func refuse(w *world.World, r *table.Request, code table.Code, reason string, retryAfter time.Duration) {
	outcome := r.FailureOutcome(code, reason)
	outcome.RetryAfter = retryAfter
	w.Requests.End(r, outcome)
	w.Count("routing.refused." + string(code))
	w.RecordDecision(r.ID, System, "refused: "+reason)
	w.WakeAt(w.Now)
}
