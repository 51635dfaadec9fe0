// Package reply gives each ended request its final answer, once, and removes
// the request.
package reply

import (
	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Run answers the requests in RequestEnded. A request that ended after the
// budget system ran still holds its reservation and waits for the next tick. A
// claimed call waits for its claim, because the claim decides what is known.
func Run(w *world.World) {
	for _, id := range w.Requests.In(table.RequestEnded) {
		r := w.Requests.Get(id)
		if r.Reserved > 0 {
			w.WakeAt(w.Now)
			continue
		}
		if r.ClaimVersion != 0 {
			continue
		}
		answer(w, r)
	}
}

func answer(w *world.World, r *table.Request) {
	count(w, r.Outcome)
	if handler := w.Replies.Get(r.ID); handler != nil {
		w.Out.Replies = append(w.Out.Replies, command.Reply{Reply: *handler, Request: r.ID, Outcome: r.Outcome})
		w.Replies.Delete(r.ID)
	}
	w.Requests.Remove(r.ID)
}

func count(w *world.World, o table.Outcome) {
	switch {
	case o.OK && o.Replayed:
		w.Count("requests.replayed")
	case o.OK:
		w.Count("requests.ok")
	default:
		w.Count("requests.refused." + string(o.Code))
	}
}
