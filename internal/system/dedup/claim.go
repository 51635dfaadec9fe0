package dedup

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// claimLifetime is how long a call may be dispatched under its claim. Until
	// then the agent remembers the key, run or refused; see gate.
	claimLifetime = time.Hour
	// maxRounds bounds the platform calls of one request, for routers that keep
	// racing for one key and for a platform that loses answer after answer.
	maxRounds = 10
)

// startClaim begins with a create, which is the only call in the usual case. A
// retry reads first, because the claim is probably there.
func startClaim(w *world.World, r *table.Request) {
	s := open(w, r)
	if r.Retry {
		readClaim(w, r, s)
		return
	}
	createClaim(w, r, s)
}

// call sends a claim call and reports false if the request used up its calls.
func call(w *world.World, r *table.Request, s *table.Search, step table.SearchStep, c command.ClaimCall) bool {
	s.Rounds++
	if s.Rounds > maxRounds {
		return false
	}
	s.Step, s.Waiting = step, nil
	s.Due = table.Never
	c.Claim.Request = r.ID
	w.Out.ClaimCalls = append(w.Out.ClaimCalls, c)
	w.Count("dedup.claim_calls")
	return true
}

func readClaim(w *world.World, r *table.Request, s *table.Search) {
	if !call(w, r, s, table.ClaimRead, command.ClaimCall{Read: true}) {
		refuse(w, r, table.CodeClaimUnavailable, table.RanUnknown, "the claim of the key changed too often")
	}
}

// held is the claim of this call for its chosen agent.
func held(r *table.Request, s *table.Search, state event.ClaimState) event.Claim {
	return event.Claim{
		Request: r.ID, State: state, Nonce: r.Nonce, Agent: s.Agent, Until: s.Until, Fingerprint: r.Fingerprint,
	}
}

// choose sets the agent of a new claim. It reports false, and refuses the
// request, if there is none.
func choose(w *world.World, r *table.Request, s *table.Search, ran table.Ran) bool {
	p := chooseAgent(w, r.Service)
	if p == nil {
		refuse(w, r, table.CodeNoEndpoint, ran, "no agent of the service is live")
		return false
	}
	s.Agent, s.Until = p.Holder, clockOf(w, p).Add(claimLifetime)
	return true
}

func createClaim(w *world.World, r *table.Request, s *table.Search) {
	// A repeated create is the same as the first one, which may still take effect.
	if !s.Unsure && !choose(w, r, s, startRan(r)) {
		return
	}
	if !call(w, r, s, table.ClaimCreate, command.ClaimCall{Claim: held(r, s, event.ClaimHeld)}) {
		refuse(w, r, table.CodeClaimUnavailable, table.RanUnknown, "the platform does not confirm the claim")
	}
}

// startRan is what is known before any claim call. An earlier call of the caller
// may have run.
func startRan(r *table.Request) table.Ran {
	if r.Retry {
		return table.RanUnknown
	}
	return table.NotRun
}

// moveClaim gives a claim whose call can no longer run to this call.
func moveClaim(w *world.World, r *table.Request, s *table.Search) {
	if !choose(w, r, s, table.RanUnknown) {
		return
	}
	c := command.ClaimCall{Version: s.Version, Claim: held(r, s, event.ClaimHeld)}
	if !call(w, r, s, table.ClaimMove, c) {
		refuse(w, r, table.CodeClaimUnavailable, table.RanUnknown, "the claim of the key changed too often")
	}
}

func applyClaimResults(w *world.World) {
	for i := range w.In.ClaimResults {
		e := &w.In.ClaimResults[i]
		s, r := openSearch(w, e.Request)
		if s == nil || !expected(r, s, e) {
			continue
		}
		switch s.Step {
		case table.ClaimCreate:
			created(w, r, s, e)
		case table.ClaimRead:
			claimRead(w, r, s, e)
		case table.ClaimMove:
			moved(w, r, s, e)
		case table.ClaimCancel:
			cancelled(w, r, s, e)
		case table.ClaimCancelRead:
			cancelRead(w, r, s, e)
		}
	}
}

// expected tells the answer to the open call from a late answer to an earlier
// one, possibly of an earlier request with this key.
func expected(r *table.Request, s *table.Search, e *event.ClaimResult) bool {
	switch s.Step {
	case table.ClaimRead, table.ClaimCancelRead:
		return e.Read
	case table.ClaimCreate, table.ClaimMove:
		return !e.Read && e.Claim.Nonce == r.Nonce && e.Claim.State == event.ClaimHeld
	case table.ClaimCancel:
		return !e.Read && e.Claim.Nonce == r.Nonce && e.Claim.State == event.ClaimCancelled
	}
	return false
}

func created(w *world.World, r *table.Request, s *table.Search, e *event.ClaimResult) {
	switch e.Status {
	case event.CallOK:
		own(w, r, s, e.Version)
	case event.CallNotApplied:
		ran := startRan(r)
		if s.Unsure {
			ran = table.RanUnknown
		}
		refuse(w, r, table.CodeClaimUnavailable, ran, "the platform cannot be reached to claim the key")
	case event.CallConflict:
		readClaim(w, r, s)
	default:
		s.Unsure = true
		readClaim(w, r, s)
	}
}

// own dispatches the request under its confirmed claim.
func own(w *world.World, r *table.Request, s *table.Search, version uint64) {
	r.Pinned, r.KeyUntil, r.ClaimVersion = s.Agent, s.Until, version
	proceed(w, r, "the key is claimed for an agent")
}

// claimRead decides on a claim that was read.
func claimRead(w *world.World, r *table.Request, s *table.Search, e *event.ClaimResult) {
	if e.Status != event.CallOK {
		refuse(w, r, table.CodeClaimUnavailable, table.RanUnknown, "the platform cannot be reached to read the claim of the key")
		return
	}
	if e.Version == 0 {
		createClaim(w, r, s)
		return
	}
	c := &e.Claim
	s.Version = e.Version
	switch {
	case c.Nonce == r.Nonce && c.State == event.ClaimHeld:
		s.Agent, s.Until = c.Agent, c.Until
		own(w, r, s, e.Version)
	case c.Fingerprint != r.Fingerprint:
		refuse(w, r, table.CodeKeyMismatch, table.NotRun, "the key was used for another request")
	case c.State == event.ClaimCancelled:
		moveClaim(w, r, s)
	default:
		askClaimed(w, r, s, c)
	}
}

// askClaimed asks the agent that a claim names. The agent refuses the key for
// all calls but this one if it did not run it.
func askClaimed(w *world.World, r *table.Request, s *table.Search, c *event.Claim) {
	switch reachOf(w, c.Agent) {
	case gone:
		ran := table.RanUnknown
		if c.State == event.ClaimDone {
			ran = table.DidRun
		}
		refuse(w, r, table.CodeKeyLost, ran, "the agent that the key was claimed for is gone or has restarted")
		return
	case silent:
		refuse(w, r, table.CodeKeyInUse, table.RanUnknown, "the agent that the key was claimed for cannot be reached")
		return
	}
	restart(w, s, table.ClaimAsk)
	s.Agent, s.Until = c.Agent, c.Until
	lookup(w, s, c.Agent.Process, event.Lookup{
		Request: r.ID, Refuse: c.State == event.ClaimHeld, Nonce: r.Nonce, KeyUntil: c.Until,
	})
	wait(w, r.ID, s, agentTimeout)
}

func claimedAgentAnswer(w *world.World, r *table.Request, s *table.Search, e *event.LookupResult) {
	switch {
	case e.Agent != s.Agent:
		refuse(w, r, table.CodeKeyLost, table.RanUnknown, "the agent that the key was claimed for has restarted")
	case e.Found && e.Fingerprint != r.Fingerprint:
		refuse(w, r, table.CodeKeyMismatch, table.NotRun, "the key was used for another request")
	case e.Found && (e.State == table.RunRunning || e.State == table.RunDone):
		attach(w, r, e.Agent)
	case e.Found:
		refuse(w, r, table.CodeEndpointFailed, table.RanUnknown, "the call ended early and must not run twice")
	case e.Forgotten || e.State != table.RunRefused:
		refuse(w, r, table.CodeKeyLost, table.RanUnknown, "the agent no longer knows the key")
	default:
		moveClaim(w, r, s)
	}
}

func moved(w *world.World, r *table.Request, s *table.Search, e *event.ClaimResult) {
	switch e.Status {
	case event.CallOK:
		own(w, r, s, e.Version)
	case event.CallNotApplied:
		refuse(w, r, table.CodeClaimUnavailable, table.RanUnknown, "the platform cannot be reached to claim the key")
	default:
		readClaim(w, r, s)
	}
}
