// Package reply sends the final outcome of each ended request to its handler, exactly
// once, and removes the request.
package reply

import (
	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Run replies to the requests in RequestEnded. A request that ended after the budget
// system ran still holds its reservation and is answered in the next tick. A call with
// a claim waits until the claim is settled, because that determines whether NotRun may
// be reported.
func Run(w *world.World) {
	for _, id := range w.Requests.InState(table.RequestEnded) {
		r := w.Requests.Get(id)
		if r.Reserved > 0 {
			w.WakeAt(w.Now)
			continue
		}
		if r.ClaimVersion != 0 {
			continue
		}
		sendReply(w, r)
	}
}

// sendReply sends the outcome to the request's handler, if there still is one.
func sendReply(w *world.World, r *table.Request) {
	countOutcome(w, r.Outcome)
	if replyID := w.ReplyIDs.Get(r.ID); replyID != nil {
		w.Out.Replies = append(w.Out.Replies, command.Reply{ReplyID: *replyID, Request: r.ID, Outcome: r.Outcome})
		w.ReplyIDs.Delete(r.ID)
	}
	w.Requests.Remove(r.ID)
}

func countOutcome(w *world.World, o table.Outcome) {
	switch {
	case o.OK && o.Replayed:
		w.Count("requests.replayed")
	case o.OK:
		w.Count("requests.ok")
	default:
		w.Count("requests.refused." + string(o.Code))
	}
}
