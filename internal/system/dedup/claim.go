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
	// then the agent keeps a record of the key, whether it ran or was refused; see
	// package gate.
	claimLifetime = time.Hour
	// maxClaimCalls limits the platform calls of one request, in case several routers
	// keep changing the claim of one key or the platform keeps losing answers.
	maxClaimCalls = 10
)

// startClaim starts the claim of a key. Usually a single create is enough. A retry
// reads first, because the claim probably exists.
func startClaim(w *world.World, r *table.Request) {
	s := startSearch(w, r)
	if r.CallerRetry {
		readClaim(w, r, s)
		return
	}
	createClaim(w, r, s)
}

// sendClaimCall sends a claim call to the platform. It returns false if the request has
// used up its calls.
func sendClaimCall(w *world.World, r *table.Request, s *table.KeySearch, step table.KeySearchStep, c command.ClaimCall) bool {
	s.PlatformCalls++
	if s.PlatformCalls > maxClaimCalls {
		return false
	}
	s.Step, s.Unanswered = step, nil
	s.StepDeadline = table.Never
	c.Claim.Request = r.ID
	w.Out.ClaimCalls = append(w.Out.ClaimCalls, c)
	w.Count("dedup.claim_calls")
	return true
}

// readClaim reads the claim of the request's key.
func readClaim(w *world.World, r *table.Request, s *table.KeySearch) {
	if !sendClaimCall(w, r, s, table.ClaimRead, command.ClaimCall{Read: true}) {
		refuse(w, r, table.CodeClaimUnavailable, table.RanUnknown, "the claim of the key changed too often")
	}
}

// newClaim returns the claim of this call for the assigned agent.
func newClaim(r *table.Request, s *table.KeySearch, state event.ClaimState) event.Claim {
	return event.Claim{
		Request: r.ID, State: state, Nonce: r.Nonce, Agent: s.ClaimAgent, Until: s.ClaimUntil, Fingerprint: r.Fingerprint,
	}
}

// assignAgent sets the agent and the deadline of a new claim. If no agent is available,
// it refuses the request and returns false.
func assignAgent(w *world.World, r *table.Request, s *table.KeySearch, ran table.Ran) bool {
	p := chooseAgent(w, r.Service)
	if p == nil {
		refuse(w, r, table.CodeNoEndpoint, ran, "no agent of the service is live")
		return false
	}
	s.ClaimAgent, s.ClaimUntil = p.Holder, estimateAgentClock(w, p).Add(claimLifetime)
	return true
}

// createClaim creates the claim of the request's key.
func createClaim(w *world.World, r *table.Request, s *table.KeySearch) {
	// After a create with an unknown outcome, the repeated create keeps its agent and
	// deadline, because the first one may still take effect.
	if !s.CreateOutcomeUnknown && !assignAgent(w, r, s, initialRan(r)) {
		return
	}
	if !sendClaimCall(w, r, s, table.ClaimCreate, command.ClaimCall{Claim: newClaim(r, s, event.ClaimHeld)}) {
		refuse(w, r, table.CodeClaimUnavailable, table.RanUnknown, "the platform does not confirm the claim")
	}
}

// initialRan returns what is known about the key before any claim call. If the caller
// retries, its earlier call may have run.
func initialRan(r *table.Request) table.Ran {
	if r.CallerRetry {
		return table.RanUnknown
	}
	return table.NotRun
}

// takeOverClaim changes the claim of a call that can no longer run to a claim of this call.
func takeOverClaim(w *world.World, r *table.Request, s *table.KeySearch) {
	if !assignAgent(w, r, s, table.RanUnknown) {
		return
	}
	c := command.ClaimCall{Version: s.ClaimVersion, Claim: newClaim(r, s, event.ClaimHeld)}
	if !sendClaimCall(w, r, s, table.ClaimTakeOver, c) {
		refuse(w, r, table.CodeClaimUnavailable, table.RanUnknown, "the claim of the key changed too often")
	}
}

func applyClaimResults(w *world.World) {
	for i := range w.In.ClaimResults {
		e := &w.In.ClaimResults[i]
		s, r := activeSearch(w, e.Request)
		if s == nil || !matchesCurrentCall(r, s, e) {
			continue
		}
		switch s.Step {
		case table.ClaimCreate:
			handleClaimCreated(w, r, s, e)
		case table.ClaimRead:
			handleClaimRead(w, r, s, e)
		case table.ClaimTakeOver:
			handleClaimTakenOver(w, r, s, e)
		case table.ClaimCancel:
			handleClaimCancelled(w, r, s, e)
		case table.ClaimCancelReadBack:
			handleCancelReadBack(w, r, s, e)
		}
	}
}

// matchesCurrentCall reports whether a result answers the current call, and not an
// earlier call of this request or of an earlier request with the same key.
func matchesCurrentCall(r *table.Request, s *table.KeySearch, e *event.ClaimResult) bool {
	switch s.Step {
	case table.ClaimRead, table.ClaimCancelReadBack:
		return e.Read
	case table.ClaimCreate, table.ClaimTakeOver:
		return !e.Read && e.Claim.Nonce == r.Nonce && e.Claim.State == event.ClaimHeld
	case table.ClaimCancel:
		return !e.Read && e.Claim.Nonce == r.Nonce && e.Claim.State == event.ClaimCancelled
	}
	return false
}

// handleClaimCreated handles the result of a create. If the claim exists already or the
// outcome is unknown, it reads the claim.
func handleClaimCreated(w *world.World, r *table.Request, s *table.KeySearch, e *event.ClaimResult) {
	switch e.Status {
	case event.CallOK:
		proceedWithClaim(w, r, s, e.Version)
	case event.CallNotApplied:
		ran := initialRan(r)
		if s.CreateOutcomeUnknown {
			ran = table.RanUnknown
		}
		refuse(w, r, table.CodeClaimUnavailable, ran, "the platform cannot be reached to claim the key")
	case event.CallConflict:
		readClaim(w, r, s)
	default:
		s.CreateOutcomeUnknown = true
		readClaim(w, r, s)
	}
}

// proceedWithClaim pins the request to the agent of its confirmed claim.
func proceedWithClaim(w *world.World, r *table.Request, s *table.KeySearch, version uint64) {
	r.PinnedAgent, r.KeyDeadline, r.ClaimVersion = s.ClaimAgent, s.ClaimUntil, version
	proceed(w, r, "the key is claimed for an agent")
}

// handleClaimRead continues according to the claim that was read.
func handleClaimRead(w *world.World, r *table.Request, s *table.KeySearch, e *event.ClaimResult) {
	if e.Status != event.CallOK {
		refuse(w, r, table.CodeClaimUnavailable, table.RanUnknown, "the platform cannot be reached to read the claim of the key")
		return
	}
	if e.Version == 0 {
		createClaim(w, r, s)
		return
	}
	c := &e.Claim
	s.ClaimVersion = e.Version
	switch {
	case c.Nonce == r.Nonce && c.State == event.ClaimHeld:
		s.ClaimAgent, s.ClaimUntil = c.Agent, c.Until
		proceedWithClaim(w, r, s, e.Version)
	case c.Fingerprint != r.Fingerprint:
		refuse(w, r, table.CodeKeyMismatch, table.NotRun, "the key was used for another request")
	case c.State == event.ClaimCancelled:
		takeOverClaim(w, r, s)
	default:
		queryClaimedAgent(w, r, s, c)
	}
}

// queryClaimedAgent looks up the key at the agent that a claim names. If the agent did
// not run the key, it reserves the key for this call and refuses all others.
func queryClaimedAgent(w *world.World, r *table.Request, s *table.KeySearch, c *event.Claim) {
	switch agentReachability(w, c.Agent) {
	case agentGone:
		ran := table.RanUnknown
		if c.State == event.ClaimDone {
			ran = table.DidRun
		}
		refuse(w, r, table.CodeKeyLost, ran, "the agent that the key was claimed for is gone or has restarted")
		return
	case agentUnreachable:
		refuse(w, r, table.CodeKeyInUse, table.RanUnknown, "the agent that the key was claimed for cannot be reached")
		return
	}
	startStep(w, s, table.ClaimQueryAgent)
	s.ClaimAgent, s.ClaimUntil = c.Agent, c.Until
	sendLookup(w, s, c.Agent.Process, event.Lookup{
		Request: r.ID, Refuse: c.State == event.ClaimHeld, Nonce: r.Nonce, KeyDeadline: c.Until,
	})
	setStepDeadline(w, r.ID, s, agentTimeout)
}

// handleClaimedAgentResult attaches the request to the run at the claimed agent, refuses
// it, or takes over the claim if the key never ran.
func handleClaimedAgentResult(w *world.World, r *table.Request, s *table.KeySearch, e *event.LookupResult) {
	switch {
	case e.Agent != s.ClaimAgent:
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
		takeOverClaim(w, r, s)
	}
}

// handleClaimTakenOver handles the result of a takeover. If another router changed the
// claim or the outcome is unknown, it reads the claim again.
func handleClaimTakenOver(w *world.World, r *table.Request, s *table.KeySearch, e *event.ClaimResult) {
	switch e.Status {
	case event.CallOK:
		proceedWithClaim(w, r, s, e.Version)
	case event.CallNotApplied:
		refuse(w, r, table.CodeClaimUnavailable, table.RanUnknown, "the platform cannot be reached to claim the key")
	default:
		readClaim(w, r, s)
	}
}
