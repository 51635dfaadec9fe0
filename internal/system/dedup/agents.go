package dedup

import (
	"slices"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// reachability tells whether an agent can be queried about a key.
type reachability uint8

const (
	agentReachable reachability = iota
	// agentUnreachable means that the agent may still run the key, but is not
	// connected to this router.
	agentUnreachable
	// agentGone means that the incarnation has ended and never answers again.
	agentGone
)

func agentReachability(w *world.World, h table.Holder) reachability {
	p := w.Processes.Get(h.Process)
	switch {
	case p == nil || p.Incarnation != h.Incarnation || p.State == table.ProcessGone:
		return agentGone
	case p.Connected:
		return agentReachable
	}
	return agentUnreachable
}

// connectedAgents returns the connected agents of a service, in the order of their
// first endpoints in the endpoint table.
func connectedAgents(w *world.World, service table.ServiceName) []*table.Process {
	var agents []*table.Process
	w.Endpoints.Each(func(_ table.EndpointID, e *table.Endpoint) {
		if e.Service != service {
			return
		}
		p := w.Processes.Get(e.Agent)
		if p != nil && p.Connected && !slices.Contains(agents, p) {
			agents = append(agents, p)
		}
	})
	return agents
}

// chooseAgent selects an agent for new work of the service: of two random live
// endpoints, the agent of the one with fewer requests in flight. It returns nil if
// there is none.
func chooseAgent(w *world.World, service table.ServiceName) *table.Process {
	var live []*table.Endpoint
	w.Endpoints.Each(func(_ table.EndpointID, e *table.Endpoint) {
		p := w.Processes.Get(e.Agent)
		if e.Service == service && e.State == table.EndpointLive && p != nil && acceptsNewKeys(p) {
			live = append(live, e)
		}
	})
	if len(live) == 0 {
		return nil
	}
	a, b := live[w.Rand.IntN(len(live))], live[w.Rand.IntN(len(live))]
	if b.InFlight < a.InFlight {
		a = b
	}
	return w.Processes.Get(a.Agent)
}

// acceptsNewKeys reports whether an agent may be assigned a new key. Its clock must be
// known, because the deadline of a key is a time of the agent's clock.
func acceptsNewKeys(p *table.Process) bool {
	return p.State == table.ProcessLive && p.Connected && p.PeerClock != 0
}

// estimateAgentClock returns an estimate of the agent's clock that is never ahead of it.
func estimateAgentClock(w *world.World, p *table.Process) table.Instant {
	return p.PeerClock.Add(w.Now.Sub(p.PeerClockAt))
}

func sendLookup(w *world.World, s *table.KeySearch, to table.ProcessID, l event.Lookup) {
	l.From, l.Call = w.Self(), s.Call
	s.Unanswered = append(s.Unanswered, to)
	w.Out.Lookups = append(w.Out.Lookups, command.SendLookup{To: to, Lookup: l})
}

// markAnswered removes a process from the processes whose answer is awaited.
func markAnswered(s *table.KeySearch, from table.ProcessID) {
	s.Unanswered = slices.DeleteFunc(s.Unanswered, func(p table.ProcessID) bool { return p == from })
}

// startStep moves the search to a step with a new call number, so that answers to
// earlier steps are recognized as stale.
func startStep(w *world.World, s *table.KeySearch, step table.KeySearchStep) {
	w.LastKeyCall++
	s.Step, s.Call, s.Unanswered = step, w.LastKeyCall, nil
}

// queryAgent looks up the key at the agent that the index or an issued key names.
func queryAgent(w *world.World, r *table.Request, s *table.KeySearch, agent table.Holder) {
	switch agentReachability(w, agent) {
	case agentUnreachable:
		// Idempotent work may run again once neither the agent nor the router that
		// started the run is live.
		if r.Idempotent && s.OwnerRouter == (table.Holder{}) && !isLive(w, agent) {
			handleKeyNotAtAgent(w, r, s)
			return
		}
		refuse(w, r, table.CodeKeyInUse, table.RanUnknown, "the agent that runs the key cannot be reached")
		return
	case agentGone:
		handleKeyNotAtAgent(w, r, s)
		return
	}
	startStep(w, s, table.SearchNamedAgent)
	s.ClaimAgent = agent
	sendLookup(w, s, agent.Process, event.Lookup{Request: r.ID})
	setStepDeadline(w, r.ID, s, agentTimeout)
}

// queryAllAgents looks up the key at all connected agents of the service. For
// idempotent work the agents also reserve the key for this call, so that a late
// dispatch of an earlier call cannot run in addition.
func queryAllAgents(w *world.World, r *table.Request, s *table.KeySearch) {
	agents := connectedAgents(w, r.Service)
	startStep(w, s, table.SearchAllAgents)
	for _, p := range agents {
		sendLookup(w, s, p.Process, event.Lookup{Request: r.ID, Refuse: r.Idempotent, Nonce: r.Nonce})
	}
	setStepDeadline(w, r.ID, s, agentTimeout)
	if len(agents) == 0 {
		handleKeyNotFound(w, r)
	}
}

func applyLookupResults(w *world.World) {
	for i := range w.In.LookupResults {
		e := &w.In.LookupResults[i]
		s, r := activeSearch(w, e.Request)
		if s == nil || s.Call != e.Call || !slices.Contains(s.Unanswered, e.Agent.Process) {
			continue
		}
		markAnswered(s, e.Agent.Process)
		handleLookupResult(w, r, s, e)
	}
}

// handleLookupResult attaches the request to the run that an agent found, refuses it,
// or continues the search when all agents have answered.
func handleLookupResult(w *world.World, r *table.Request, s *table.KeySearch, e *event.LookupResult) {
	if s.Step == table.ClaimQueryAgent {
		handleClaimedAgentResult(w, r, s, e)
		return
	}
	if e.Found && e.Fingerprint != r.Fingerprint {
		refuse(w, r, table.CodeKeyMismatch, table.NotRun, "the key was used for another request")
		return
	}
	if e.Found && (e.State == table.RunRunning || e.State == table.RunDone) {
		if s.Step == table.SearchAllAgents && isIndexed(r) {
			recordKey(w, event.KeyRecord{From: w.Self(), Request: r.ID, Agent: e.Agent, Nonce: r.Nonce})
		}
		attach(w, r, e.Agent)
		return
	}
	if e.Found && !r.Idempotent {
		refuse(w, r, table.CodeEndpointFailed, table.RanUnknown, "the call ended early and must not run twice")
		return
	}
	if len(s.Unanswered) > 0 {
		return
	}
	if s.Step == table.SearchNamedAgent {
		handleKeyNotAtAgent(w, r, s)
		return
	}
	handleKeyNotFound(w, r)
}

// handleKeyNotAtAgent continues a search when the named agent does not have the key or
// will never answer.
func handleKeyNotAtAgent(w *world.World, r *table.Request, s *table.KeySearch) {
	switch {
	case r.PinnedAgent != (table.Holder{}):
		proceed(w, r, "the issued key was not used yet")
	case s.OwnerRouter != (table.Holder{}):
		refuse(w, r, table.CodeKeyInUse, table.RanUnknown, "another router has a request with this key in progress")
	case r.CallerRetry:
		queryAllAgents(w, r, s)
	default:
		proceed(w, r, "the earlier run of the key is gone")
	}
}

// handleKeyNotFound ends a search in which no agent that could be queried has the key.
func handleKeyNotFound(w *world.World, r *table.Request) {
	if r.Idempotent {
		proceed(w, r, "no agent knows the key")
		return
	}
	refuse(w, r, table.CodeKeyLost, table.RanUnknown, "no agent knows the generated key, which may have run and been forgotten")
}
