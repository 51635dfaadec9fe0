package admission

import (
	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// repeat handles an arrival with the id of a request in progress. A caller that
// came back within the detach grace takes over its own request.
func repeat(w *world.World, a *event.Arrival, r *table.Request) {
	reply := table.Outcome{Code: table.CodeKeyInUse, Reason: "a request with this key is in progress", Ran: table.RanUnknown}
	switch {
	case a.Fingerprint != r.Fingerprint:
		reply.Code, reply.Reason = table.CodeKeyMismatch, "another request with this key is in progress"
	case r.Disconnected != 0 && !r.Cancelled && r.State() != table.RequestEnded:
		attach(w, a, r)
		return
	default:
		reply.RetryAfter = concurrencyRetry
	}
	w.Count("admission.refused." + string(reply.Code))
	w.Out.Replies = append(w.Out.Replies, command.Reply{Reply: a.Reply, Outcome: reply})
}

func attach(w *world.World, a *event.Arrival, r *table.Request) {
	r.Disconnected = 0
	w.Requests.Detached.Remove(r.ID)
	w.Replies.Put(r.ID, a.Reply)
	w.Out.Accepts = append(w.Out.Accepts, command.Accept{
		Reply: a.Reply, Request: r.ID, Attach: true, Position: a.Position,
	})
	w.Count("admission.attached")
	w.Explain(r.ID, System, "the caller came back")
}

func cancel(w *world.World, e event.Cancel) {
	var r *table.Request
	if c := w.CustomerOfKey(e.KeyHash); c != nil {
		r = w.Requests.Get(table.MakeRequestID(c.ID, e.Key))
	}
	w.Out.CancelDone = append(w.Out.CancelDone, command.CancelDone{Reply: e.Reply, Found: r != nil})
	if r != nil {
		w.Count("admission.cancelled")
		stop(w, r, "the caller cancelled the request")
	}
}

func disconnect(w *world.World, id table.RequestID) {
	r := w.Requests.Get(id)
	if r == nil || r.Disconnected != 0 || r.State() == table.RequestEnded {
		return
	}
	r.Disconnected = w.Now
	w.Requests.Detached.Add(id)
	w.Count("admission.detached")
	w.Explain(id, System, "the caller went away")
}

// endDetached stops requests whose caller did not come back in time. The list
// is in the order of disconnection.
func endDetached(w *world.World) {
	if w.Requests.Detached.Len() == 0 {
		return
	}
	for _, id := range w.Requests.Detached.Keys() {
		r := w.Requests.Get(id)
		due := r.Disconnected.Add(w.Params.DetachGrace)
		if due > w.Now {
			w.WakeAt(due)
			return
		}
		w.Requests.Detached.Remove(id)
		stopDetached(w, r)
	}
}

// stopDetached leaves a plain call that runs alone: it has its effect anyhow,
// and the agent keeps its answer for a retry.
func stopDetached(w *world.World, r *table.Request) {
	if r.State() == table.RequestRunning && r.Kind == table.ServicePlain {
		w.Explain(r.ID, System, "the caller did not come back; the call is left to finish")
		return
	}
	stop(w, r, "the caller went away and did not come back")
}

// stop ends a request, or orders its attempt to end, which then gives the true
// token count.
func stop(w *world.World, r *table.Request, reason string) {
	w.Explain(r.ID, System, "cancelled: "+reason)
	switch {
	case r.State() == table.RequestEnded || r.Cancelled:
	case r.State() == table.RequestRunning:
		r.Cancelled = true
		w.Out.CancelRuns = append(w.Out.CancelRuns, command.CancelRun{To: r.Agent, Request: r.ID, Attempt: r.Attempt})
	default:
		w.Requests.End(r, r.Failure(table.CodeCancelled, reason))
	}
}
