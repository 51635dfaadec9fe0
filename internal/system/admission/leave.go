package admission

import (
	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// handleDuplicate handles an arrival with the id of a request in progress. A caller
// that reconnects within the detach grace period is attached to its request again.
func handleDuplicate(w *world.World, a *event.Arrival, r *table.Request) {
	outcome := table.Outcome{Code: table.CodeKeyInUse, Reason: "a request with this key is in progress", Ran: table.RanUnknown}
	switch {
	case a.Fingerprint != r.Fingerprint:
		outcome.Code, outcome.Reason = table.CodeKeyMismatch, "another request with this key is in progress"
	case r.DisconnectedAt != 0 && !r.AttemptCancelled && r.State() != table.RequestEnded:
		reattach(w, a, r)
		return
	default:
		outcome.RetryAfter = concurrencyRetryAfter
	}
	w.Count("admission.refused." + string(outcome.Code))
	w.Out.Replies = append(w.Out.Replies, command.Reply{ReplyID: a.ReplyID, Outcome: outcome})
}

// reattach makes the arrival's connection the receiver of the request's answer.
func reattach(w *world.World, a *event.Arrival, r *table.Request) {
	r.DisconnectedAt = 0
	w.Requests.Detached.Remove(r.ID)
	w.ReplyIDs.Put(r.ID, a.ReplyID)
	w.Out.Accepts = append(w.Out.Accepts, command.Accept{
		ReplyID: a.ReplyID, Request: r.ID, Attach: true, ResumePosition: a.ResumePosition,
	})
	w.Count("admission.attached")
	w.RecordDecision(r.ID, System, "the caller came back")
}

func handleCancel(w *world.World, e event.Cancel) {
	var r *table.Request
	if c := w.CustomerByKeyHash(e.KeyHash); c != nil {
		r = w.Requests.Get(table.MakeRequestID(c.ID, e.Key))
	}
	w.Out.CancelReplies = append(w.Out.CancelReplies, command.CancelReply{ReplyID: e.ReplyID, Found: r != nil})
	if r != nil {
		w.Count("admission.cancelled")
		cancelRequest(w, r, "the caller cancelled the request")
	}
}

// detach marks a request whose caller disconnected. cancelExpiredDetached ends it
// unless the caller reconnects in time.
func detach(w *world.World, id table.RequestID) {
	r := w.Requests.Get(id)
	if r == nil || r.DisconnectedAt != 0 || r.State() == table.RequestEnded {
		return
	}
	r.DisconnectedAt = w.Now
	w.Requests.Detached.Add(id)
	w.Count("admission.detached")
	w.RecordDecision(id, System, "the caller went away")
}

// cancelExpiredDetached cancels requests whose caller did not reconnect within the
// grace period. The list is ordered by time of disconnection.
func cancelExpiredDetached(w *world.World) {
	if w.Requests.Detached.Len() == 0 {
		return
	}
	for _, id := range w.Requests.Detached.Keys() {
		r := w.Requests.Get(id)
		due := r.DisconnectedAt.Add(w.Params.DetachGrace)
		if due > w.Now {
			w.WakeAt(due)
			return
		}
		w.Requests.Detached.Remove(id)
		cancelDetached(w, r)
	}
}

// cancelDetached cancels a request unless it is a running plain call: the call
// takes effect anyway, and the agent keeps its answer for a retry.
func cancelDetached(w *world.World, r *table.Request) {
	if r.State() == table.RequestRunning && r.Kind == table.ServicePlain {
		w.RecordDecision(r.ID, System, "the caller did not come back; the call is left to finish")
		return
	}
	cancelRequest(w, r, "the caller went away and did not come back")
}

// cancelRequest ends a request that is not running. If it is running, it cancels
// the attempt instead, whose end reports the true token count.
func cancelRequest(w *world.World, r *table.Request, reason string) {
	w.RecordDecision(r.ID, System, "cancelled: "+reason)
	switch {
	case r.State() == table.RequestEnded || r.AttemptCancelled:
	case r.State() == table.RequestRunning:
		r.AttemptCancelled = true
		w.Out.CancelRuns = append(w.Out.CancelRuns, command.CancelRun{To: r.Agent, Request: r.ID, Attempt: r.Attempt})
	default:
		w.Requests.End(r, r.FailureOutcome(table.CodeCancelled, reason))
	}
}
