// Package dedup finds out whether a request was seen before and binds keys that
// must not run twice to one agent.
//
// Invariants: a call with a caller's key is dispatched only under a claim that
// the platform confirmed, or to the agent that its issued key names; and a
// claimed call is answered with NotRun only after its claim was cancelled.
package dedup

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// indexTimeout bounds the wait for index routers, which may be in another
	// region; it is above the round trip between regions.
	indexTimeout = 150 * time.Millisecond
	// agentTimeout bounds the wait for agents that should know a key.
	agentTimeout = 500 * time.Millisecond
	// retryAfter is when a caller may ask again: by then a silent peer is suspect
	// or has answered.
	retryAfter = time.Second
	// attemptShift leaves 31 random bits of a nonce as the start of a request's
	// attempt numbers.
	attemptShift = 33
	// system names this system in explanations.
	system = "dedup"
)

// Run moves the requests in RequestAdmitted and RequestClaiming on. Finish does
// the rest of the work, after routing.
func Run(w *world.World) {
	serveIndex(w)
	issueKeys(w)
	applyClaimResults(w)
	applyKeyResults(w)
	applyLookupResults(w)
	checkDue(w)
	for _, id := range w.Requests.In(table.RequestAdmitted) {
		admit(w, w.Requests.Get(id))
	}
	w.WakeAt(w.SearchTimers.Next())
	w.WakeAt(w.KeyExpiry.Next())
}

// admit chooses the way in which a request's key is checked.
func admit(w *world.World, r *table.Request) {
	r.Nonce = w.Rand.Uint64()
	// Attempts of two requests with one key must differ, because messages of an
	// earlier request's attempt may arrive late and are matched by the attempt.
	r.Attempt = uint32(r.Nonce >> attemptShift)
	key, issued := table.ParseIssuedKey(r.ID.Key())
	switch {
	case issued:
		useIssuedKey(w, r, key)
	case !r.CallerKey:
		w.Requests.Move(r, table.RequestReserving)
	case r.Idempotent:
		askIndex(w, r)
	case table.IsGeneratedKey(r.ID.Key()):
		askAll(w, r, open(w, r))
	default:
		startClaim(w, r)
	}
}

// open starts or restarts the search of a request.
func open(w *world.World, r *table.Request) *table.Search {
	if r.State() != table.RequestClaiming {
		w.Requests.Move(r, table.RequestClaiming)
	}
	return w.Searches.Put(r.ID, table.Search{})
}

// openSearch returns the search of a request and the request, if both are there.
func openSearch(w *world.World, id table.RequestID) (*table.Search, *table.Request) {
	s, r := w.Searches.Get(id), w.Requests.Get(id)
	if s == nil {
		return nil, nil
	}
	if r == nil || (r.State() != table.RequestClaiming && r.ClaimVersion == 0) {
		w.Searches.Delete(id)
		return nil, nil
	}
	return s, r
}

// proceed sends a request that did not run before to the budget system.
func proceed(w *world.World, r *table.Request, why string) {
	w.Searches.Delete(r.ID)
	w.Explain(r.ID, system, why)
	w.Requests.Move(r, table.RequestReserving)
}

// attach asks the agent that runs or ran the key for its answer.
func attach(w *world.World, r *table.Request, agent table.Holder) {
	w.Searches.Delete(r.ID)
	r.Pinned, r.ReplayOnly = agent, true
	w.Count("dedup.attached")
	w.Explain(r.ID, system, "attached to an earlier run", table.Input{Name: "agent", Value: string(agent.Process)})
	w.Requests.Move(r, table.RequestQueued)
}

func refuse(w *world.World, r *table.Request, code table.Code, ran table.Ran, reason string) {
	w.Searches.Delete(r.ID)
	w.Explain(r.ID, system, "refused: "+reason)
	o := table.Outcome{Code: code, Reason: reason, Ran: ran}
	if code == table.CodeKeyInUse || code == table.CodeClaimUnavailable || code == table.CodeNoEndpoint {
		o.RetryAfter = retryAfter
	}
	w.Requests.End(r, o)
}

// wait sets the deadline of a search.
func wait(w *world.World, id table.RequestID, s *table.Search, d time.Duration) {
	s.Due = w.Now.Add(d)
	w.SearchTimers.Set(id, s.Due)
}

// checkDue ends the searches whose peers did not answer in time.
func checkDue(w *world.World) {
	for id, due := w.SearchTimers.Pop(w.Now); due; id, due = w.SearchTimers.Pop(w.Now) {
		s, r := openSearch(w, id)
		switch {
		case s == nil || s.Due == table.Never:
		case s.Due > w.Now:
			w.SearchTimers.Set(id, s.Due)
		default:
			timeout(w, r, s)
		}
	}
}

func timeout(w *world.World, r *table.Request, s *table.Search) {
	w.Count("dedup.timeout")
	switch s.Step {
	case table.SearchIndex:
		afterIndex(w, r, s)
	case table.SearchAgent, table.SearchAll, table.ClaimAsk:
		refuse(w, r, table.CodeKeyInUse, table.RanUnknown, "an agent that may have run the key does not answer")
	}
}
