// Package dedup detects repeated requests by their idempotency keys and binds the key
// of a non-idempotent call to one agent.
//
// Invariants: a call with a caller's key is dispatched only under a claim that the
// platform confirmed, or to the agent that its issued key names; and a call with a
// claim is answered with NotRun only after its claim was cancelled.
package dedup

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// indexTimeout limits the wait for index routers. It exceeds the round-trip time
	// between regions, because an index router may be in another region.
	indexTimeout = 150 * time.Millisecond
	// agentTimeout limits the wait for lookup results of agents.
	agentTimeout = 500 * time.Millisecond
	// retryAfter is the RetryAfter of refusals that may be temporary. By then an
	// unresponsive peer has answered or is suspected to have failed.
	retryAfter = time.Second
	// attemptShift reduces a nonce to the 31 random bits from which a request's
	// attempt numbers start.
	attemptShift = 33
	// systemName is the name of this system in recorded decisions.
	systemName = "dedup"
)

// Run processes the requests in RequestAdmitted and RequestClaiming, and serves this
// router's part of the key index. Finish does the remaining work after routing.
func Run(w *world.World) {
	serveIndex(w)
	issueKeys(w)
	applyClaimResults(w)
	applyKeyResults(w)
	applyLookupResults(w)
	expireSearches(w)
	for _, id := range w.Requests.InState(table.RequestAdmitted) {
		startDedup(w, w.Requests.Get(id))
	}
	w.WakeAt(w.KeySearchTimers.NextDue())
	w.WakeAt(w.KeyIndexTimers.NextDue())
}

// startDedup starts the check that applies to the kind of a request's key.
func startDedup(w *world.World, r *table.Request) {
	r.Nonce = w.Rand.Uint64()
	// Two requests with the same key must have different attempt numbers, because
	// late messages of the earlier request are recognized by their attempt number.
	r.Attempt = uint32(r.Nonce >> attemptShift)
	key, issued := table.ParseIssuedKey(r.ID.Key())
	switch {
	case issued:
		useIssuedKey(w, r, key)
	case !r.CallerKey:
		w.Requests.SetState(r, table.RequestReserving)
	case r.Idempotent:
		queryIndex(w, r)
	case table.IsGeneratedKey(r.ID.Key()):
		queryAllAgents(w, r, startSearch(w, r))
	default:
		startClaim(w, r)
	}
}

// startSearch starts or restarts the search of a request.
func startSearch(w *world.World, r *table.Request) *table.KeySearch {
	if r.State() != table.RequestClaiming {
		w.Requests.SetState(r, table.RequestClaiming)
	}
	return w.KeySearches.Put(r.ID, table.KeySearch{})
}

// activeSearch returns the search of a request and the request, or nil for both if the
// search has ended. It deletes a search whose request no longer waits for it.
func activeSearch(w *world.World, id table.RequestID) (*table.KeySearch, *table.Request) {
	s, r := w.KeySearches.Get(id), w.Requests.Get(id)
	if s == nil {
		return nil, nil
	}
	if r == nil || (r.State() != table.RequestClaiming && r.ClaimVersion == 0) {
		w.KeySearches.Delete(id)
		return nil, nil
	}
	return s, r
}

// proceed ends the search and passes the request on to the budget system.
func proceed(w *world.World, r *table.Request, decision string) {
	w.KeySearches.Delete(r.ID)
	w.RecordDecision(r.ID, systemName, decision)
	w.Requests.SetState(r, table.RequestReserving)
}

// attach queues the request for a replay of the answer from the agent that runs or ran
// the key.
func attach(w *world.World, r *table.Request, agent table.Holder) {
	w.KeySearches.Delete(r.ID)
	r.PinnedAgent, r.ReplayOnly = agent, true
	w.Count("dedup.attached")
	w.RecordDecision(r.ID, systemName, "attached to an earlier run", table.Input{Name: "agent", Value: string(agent.Process)})
	w.Requests.SetState(r, table.RequestQueued)
}

// refuse ends the search and the request with a failure.
func refuse(w *world.World, r *table.Request, code table.Code, ran table.Ran, reason string) {
	w.KeySearches.Delete(r.ID)
	w.RecordDecision(r.ID, systemName, "refused: "+reason)
	outcome := table.Outcome{Code: code, Reason: reason, Ran: ran}
	if code == table.CodeKeyInUse || code == table.CodeClaimUnavailable || code == table.CodeNoEndpoint {
		outcome.RetryAfter = retryAfter
	}
	w.Requests.End(r, outcome)
}

// setStepDeadline sets the deadline of the current step to d from now.
func setStepDeadline(w *world.World, id table.RequestID, s *table.KeySearch, d time.Duration) {
	s.StepDeadline = w.Now.Add(d)
	w.KeySearchTimers.Schedule(id, s.StepDeadline)
}

// expireSearches handles the searches whose step deadline has passed.
func expireSearches(w *world.World) {
	for id, due := w.KeySearchTimers.PopDue(w.Now); due; id, due = w.KeySearchTimers.PopDue(w.Now) {
		s, r := activeSearch(w, id)
		switch {
		case s == nil || s.StepDeadline == table.Never:
		case s.StepDeadline > w.Now:
			w.KeySearchTimers.Schedule(id, s.StepDeadline)
		default:
			handleTimeout(w, r, s)
		}
	}
}

// handleTimeout continues without the index routers that did not answer, or refuses the
// request if an agent did not answer.
func handleTimeout(w *world.World, r *table.Request, s *table.KeySearch) {
	w.Count("dedup.timeout")
	switch s.Step {
	case table.SearchIndexRouters:
		handleKeyNotIndexed(w, r, s)
	case table.SearchNamedAgent, table.SearchAllAgents, table.ClaimQueryAgent:
		refuse(w, r, table.CodeKeyInUse, table.RanUnknown, "an agent that may have run the key does not answer")
	}
}
