package dedup

import (
	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Finish records the keys of this tick's dispatches and settles the claims of
// ended requests. It runs after routing and drain and before reply.
func Finish(w *world.World) {
	for i := range w.Out.Dispatches {
		recordDispatch(w, &w.Out.Dispatches[i])
	}
	for _, id := range w.Requests.In(table.RequestEnded) {
		finish(w, w.Requests.Get(id))
	}
}

// recordDispatch tells the index routers where a key runs. Keys that a router
// drew are not recorded: a retry of such a key asks the agents, which saves the
// messages for most requests.
func recordDispatch(w *world.World, d *command.Dispatch) {
	r := w.Requests.Get(d.Request)
	if r == nil || d.ReplayOnly || !indexed(r) {
		return
	}
	record(w, event.KeyRecord{From: w.Self(), Request: r.ID, Agent: d.To, Nonce: r.Nonce})
}

func indexed(r *table.Request) bool {
	_, issued := table.ParseIssuedKey(r.ID.Key())
	return r.CallerKey && r.Idempotent && !issued
}

func record(w *world.World, e event.KeyRecord) {
	for _, p := range indexOf(w, e.Request) {
		if p == w.Self().Process {
			store(w, e)
			continue
		}
		w.Out.KeyRecords = append(w.Out.KeyRecords, command.SendKeyRecord{To: p, Record: e})
	}
}

func finish(w *world.World, r *table.Request) {
	if indexed(r) && !r.Outcome.OK && r.Nonce != 0 {
		record(w, event.KeyRecord{From: w.Self(), Request: r.ID, Nonce: r.Nonce})
		return
	}
	if r.ClaimVersion != 0 && w.Searches.Get(r.ID) == nil {
		settleClaim(w, r)
	}
}

// settleClaim records the outcome of a claimed call. A call that may have run
// keeps its claim, so that a retry asks the agent.
func settleClaim(w *world.World, r *table.Request) {
	if r.Attempts == 0 && r.Outcome.Ran == table.RanUnknown {
		r.Outcome.Ran = table.NotRun
	}
	switch r.Outcome.Ran {
	case table.DidRun:
		c := claimOf(r, event.ClaimDone)
		w.Out.ClaimCalls = append(w.Out.ClaimCalls, command.ClaimCall{Version: r.ClaimVersion, Claim: c})
		w.Count("dedup.claim_calls")
		r.ClaimVersion = 0
	case table.NotRun:
		cancelClaim(w, r, w.Searches.Put(r.ID, table.Search{Version: r.ClaimVersion}))
	default:
		r.ClaimVersion = 0
	}
}

func claimOf(r *table.Request, state event.ClaimState) event.Claim {
	return event.Claim{
		Request: r.ID, State: state, Nonce: r.Nonce, Agent: r.Pinned, Until: r.KeyUntil, Fingerprint: r.Fingerprint,
	}
}

// cancelClaim makes sure that NotRun stays true for the key: nobody else had the
// claim since it was made, and the reply waits for the change.
func cancelClaim(w *world.World, r *table.Request, s *table.Search) {
	c := command.ClaimCall{Version: s.Version, Claim: claimOf(r, event.ClaimCancelled)}
	if !call(w, r, s, table.ClaimCancel, c) {
		release(w, r, table.RanUnknown)
	}
}

// release lets the reply go.
func release(w *world.World, r *table.Request, ran table.Ran) {
	w.Searches.Delete(r.ID)
	r.Outcome.Ran = ran
	r.ClaimVersion = 0
}

func cancelled(w *world.World, r *table.Request, s *table.Search, e *event.ClaimResult) {
	switch e.Status {
	case event.CallOK:
		release(w, r, table.NotRun)
	case event.CallUnknown:
		if !call(w, r, s, table.ClaimCancelRead, command.ClaimCall{Read: true}) {
			release(w, r, table.RanUnknown)
		}
	default:
		release(w, r, table.RanUnknown)
	}
}

func cancelRead(w *world.World, r *table.Request, s *table.Search, e *event.ClaimResult) {
	mine := e.Status == event.CallOK && e.Claim.Nonce == r.Nonce
	switch {
	case mine && e.Claim.State == event.ClaimCancelled:
		release(w, r, table.NotRun)
	case mine && e.Claim.State == event.ClaimHeld:
		s.Version = e.Version
		cancelClaim(w, r, s)
	default:
		release(w, r, table.RanUnknown)
	}
}
