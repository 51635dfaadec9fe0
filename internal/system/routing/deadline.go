package routing

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// deadlineRetry is how soon a request that was refused for its deadline may be
// sent again. A surge lasts for seconds.
const deadlineRetry = time.Second

// refuseLate refuses queued requests whose deadline has come.
func refuseLate(w *world.World) {
	for r := w.Requests.NextDeadline(); r != nil; r = w.Requests.NextDeadline() {
		if r.Deadline > w.Now {
			w.WakeAt(r.Deadline)
			return
		}
		w.Requests.DropDeadline()
		if late(w, r, 0) {
			refuseDeadline(w, r)
		}
	}
}

// late reports whether a request cannot have its first token in time. Work that
// may have run here is carried on: its tokens are paid for.
func late(w *world.World, r *table.Request, firstToken time.Duration) bool {
	if r.Deadline == table.Never || r.RanHere() {
		return false
	}
	return w.Now.Add(firstToken) >= r.Deadline
}

func refuseDeadline(w *world.World, r *table.Request) {
	refuse(w, r, table.CodeDeadline, "the first token cannot come in time", deadlineRetry)
}

// refuse ends a queued request with what is known of its attempts. Budget has
// run in this tick, so the request is settled in the next one.
func refuse(w *world.World, r *table.Request, code table.Code, reason string, retryAfter time.Duration) {
	o := r.Failure(code, reason)
	o.RetryAfter = retryAfter
	w.Requests.End(r, o)
	w.Count("routing.refused." + string(code))
	w.Explain(r.ID, System, "refused: "+reason)
	w.WakeAt(w.Now)
}
