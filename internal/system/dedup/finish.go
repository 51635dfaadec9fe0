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
	for _, id := range w.Requests.InState(table.RequestEnded) {
		finishRequest(w, w.Requests.Get(id))
	}
}

// recordDispatch tells the index routers which agent runs a key. Keys that a router
// generated are not recorded, which saves these messages for most requests; a retry of
// such a key queries the agents instead.
func recordDispatch(w *world.World, d *command.Dispatch) {
	r := w.Requests.Get(d.Request)
	if r == nil || d.ReplayOnly || !isIndexed(r) {
		return
	}
	recordKey(w, event.KeyRecord{From: w.Self(), Request: r.ID, Agent: d.To, Nonce: r.Nonce})
}

// isIndexed reports whether the key index covers the request: an idempotent request
// with a key that the caller chose.
func isIndexed(r *table.Request) bool {
	_, issued := table.ParseIssuedKey(r.ID.Key())
	return r.CallerKey && r.Idempotent && !issued
}

// recordKey sends a record to the index routers of its key.
func recordKey(w *world.World, e event.KeyRecord) {
	for _, p := range indexRoutersFor(w, e.Request) {
		if p == w.Self().Process {
			storeKeyRecord(w, e)
			continue
		}
		w.Out.KeyRecords = append(w.Out.KeyRecords, command.SendKeyRecord{To: p, Record: e})
	}
}

// finishRequest removes the key of a failed request from the index, or settles the
// claim of a call.
func finishRequest(w *world.World, r *table.Request) {
	if isIndexed(r) && !r.Outcome.OK && r.Nonce != 0 {
		recordKey(w, event.KeyRecord{From: w.Self(), Request: r.ID, Nonce: r.Nonce})
		return
	}
	if r.ClaimVersion != 0 && w.KeySearches.Get(r.ID) == nil {
		settleClaim(w, r)
	}
}

// settleClaim records the outcome of a call in its claim. The claim of a call that may
// have run is left unchanged, so that a retry queries the agent.
func settleClaim(w *world.World, r *table.Request) {
	if r.Attempts == 0 && r.Outcome.Ran == table.RanUnknown {
		r.Outcome.Ran = table.NotRun
	}
	switch r.Outcome.Ran {
	case table.DidRun:
		c := claimWithState(r, event.ClaimDone)
		w.Out.ClaimCalls = append(w.Out.ClaimCalls, command.ClaimCall{Version: r.ClaimVersion, Claim: c})
		w.Count("dedup.claim_calls")
		r.ClaimVersion = 0
	case table.NotRun:
		cancelClaim(w, r, w.KeySearches.Put(r.ID, table.KeySearch{ClaimVersion: r.ClaimVersion}))
	default:
		r.ClaimVersion = 0
	}
}

// claimWithState returns the claim of an ended call with a new state.
func claimWithState(r *table.Request, state event.ClaimState) event.Claim {
	return event.Claim{
		Request: r.ID, State: state, Nonce: r.Nonce, Agent: r.PinnedAgent, Until: r.KeyDeadline, Fingerprint: r.Fingerprint,
	}
}

// cancelClaim cancels the claim of a call that did not run. The write succeeds only if
// no other call has changed the claim, and the reply waits for it, so that NotRun is
// reported only if it is true.
func cancelClaim(w *world.World, r *table.Request, s *table.KeySearch) {
	c := command.ClaimCall{Version: s.ClaimVersion, Claim: claimWithState(r, event.ClaimCancelled)}
	if !sendClaimCall(w, r, s, table.ClaimCancel, c) {
		releaseReply(w, r, table.RanUnknown)
	}
}

// releaseReply ends the settling of the claim, so that the reply can be sent.
func releaseReply(w *world.World, r *table.Request, ran table.Ran) {
	w.KeySearches.Delete(r.ID)
	r.Outcome.Ran = ran
	r.ClaimVersion = 0
}

// handleClaimCancelled handles the result of a cancel. If the outcome is unknown, it
// reads the claim back.
func handleClaimCancelled(w *world.World, r *table.Request, s *table.KeySearch, e *event.ClaimResult) {
	switch e.Status {
	case event.CallOK:
		releaseReply(w, r, table.NotRun)
	case event.CallOutcomeUnknown:
		if !sendClaimCall(w, r, s, table.ClaimCancelReadBack, command.ClaimCall{Read: true}) {
			releaseReply(w, r, table.RanUnknown)
		}
	default:
		releaseReply(w, r, table.RanUnknown)
	}
}

// handleCancelReadBack checks whether a cancel with an unknown outcome took effect, and
// repeats it if the claim is unchanged.
func handleCancelReadBack(w *world.World, r *table.Request, s *table.KeySearch, e *event.ClaimResult) {
	ownClaim := e.Status == event.CallOK && e.Claim.Nonce == r.Nonce
	switch {
	case ownClaim && e.Claim.State == event.ClaimCancelled:
		releaseReply(w, r, table.NotRun)
	case ownClaim && e.Claim.State == event.ClaimHeld:
		s.ClaimVersion = e.Version
		cancelClaim(w, r, s)
	default:
		releaseReply(w, r, table.RanUnknown)
	}
}
