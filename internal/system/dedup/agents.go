package dedup

import (
	"slices"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// reach is whether an agent can be asked about a key.
type reach uint8

const (
	reachable reach = iota
	// silent agents may still run the key, but cannot be asked.
	silent
	// gone incarnations never answer again.
	gone
)

func reachOf(w *world.World, h table.Holder) reach {
	p := w.Processes.Get(h.Process)
	switch {
	case p == nil || p.Incarnation != h.Incarnation || p.State == table.ProcessGone:
		return gone
	case p.Connected:
		return reachable
	}
	return silent
}

// agentsOf returns the connected agents of a service, by endpoint row order.
func agentsOf(w *world.World, service table.ServiceName) []*table.Process {
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

// chooseAgent picks an agent that may get new work for the service: the one with
// less work of two random ones.
func chooseAgent(w *world.World, service table.ServiceName) *table.Process {
	var live []*table.Endpoint
	w.Endpoints.Each(func(_ table.EndpointID, e *table.Endpoint) {
		p := w.Processes.Get(e.Agent)
		if e.Service == service && e.State == table.EndpointLive && p != nil && mayTake(p) {
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

// mayTake reports whether an agent may get a new key. Its clock must be known,
// because keys have deadlines in it.
func mayTake(p *table.Process) bool {
	return p.State == table.ProcessLive && p.Connected && p.PeerClock != 0
}

// clockOf returns a reading of the agent's clock that is never ahead of it.
func clockOf(w *world.World, p *table.Process) table.Instant {
	return p.PeerClock.Add(w.Now.Sub(p.PeerClockAt))
}

func lookup(w *world.World, s *table.Search, to table.ProcessID, l event.Lookup) {
	l.From, l.Call = w.Self(), s.Call
	s.Waiting = append(s.Waiting, to)
	w.Out.Lookups = append(w.Out.Lookups, command.SendLookup{To: to, Lookup: l})
}

// answered takes a process off the list of those that have not answered.
func answered(s *table.Search, from table.ProcessID) {
	s.Waiting = slices.DeleteFunc(s.Waiting, func(p table.ProcessID) bool { return p == from })
}

func restart(w *world.World, s *table.Search, step table.SearchStep) {
	w.KeyCalls++
	s.Step, s.Call, s.Waiting = step, w.KeyCalls, nil
}

// askAgent asks the agent that the index or an issued key named.
func askAgent(w *world.World, r *table.Request, s *table.Search, agent table.Holder) {
	switch reachOf(w, agent) {
	case silent:
		// Work that may repeat goes on once neither the agent nor the router that
		// started the run is live.
		if r.Idempotent && s.Owner == (table.Holder{}) && !isLive(w, agent) {
			notAtAgent(w, r, s)
			return
		}
		refuse(w, r, table.CodeKeyInUse, table.RanUnknown, "the agent that runs the key cannot be reached")
		return
	case gone:
		notAtAgent(w, r, s)
		return
	}
	restart(w, s, table.SearchAgent)
	s.Agent = agent
	lookup(w, s, agent.Process, event.Lookup{Request: r.ID})
	wait(w, r.ID, s, agentTimeout)
}

// askAll asks all agents of the service. For work that may repeat they keep the
// key for this call, so that a late dispatch of an earlier one cannot run too.
func askAll(w *world.World, r *table.Request, s *table.Search) {
	agents := agentsOf(w, r.Service)
	restart(w, s, table.SearchAll)
	for _, p := range agents {
		lookup(w, s, p.Process, event.Lookup{Request: r.ID, Refuse: r.Idempotent, Nonce: r.Nonce})
	}
	wait(w, r.ID, s, agentTimeout)
	if len(agents) == 0 {
		foundNowhere(w, r)
	}
}

func applyLookupResults(w *world.World) {
	for i := range w.In.LookupResults {
		e := &w.In.LookupResults[i]
		s, r := openSearch(w, e.Request)
		if s == nil || s.Call != e.Call || !slices.Contains(s.Waiting, e.Agent.Process) {
			continue
		}
		answered(s, e.Agent.Process)
		agentAnswer(w, r, s, e)
	}
}

func agentAnswer(w *world.World, r *table.Request, s *table.Search, e *event.LookupResult) {
	if s.Step == table.ClaimAsk {
		claimedAgentAnswer(w, r, s, e)
		return
	}
	if e.Found && e.Fingerprint != r.Fingerprint {
		refuse(w, r, table.CodeKeyMismatch, table.NotRun, "the key was used for another request")
		return
	}
	if e.Found && (e.State == table.RunRunning || e.State == table.RunDone) {
		if s.Step == table.SearchAll && indexed(r) {
			record(w, event.KeyRecord{From: w.Self(), Request: r.ID, Agent: e.Agent, Nonce: r.Nonce})
		}
		attach(w, r, e.Agent)
		return
	}
	if e.Found && !r.Idempotent {
		refuse(w, r, table.CodeEndpointFailed, table.RanUnknown, "the call ended early and must not run twice")
		return
	}
	if len(s.Waiting) > 0 {
		return
	}
	if s.Step == table.SearchAgent {
		notAtAgent(w, r, s)
		return
	}
	foundNowhere(w, r)
}

// notAtAgent goes on after the named agent does not have the key.
func notAtAgent(w *world.World, r *table.Request, s *table.Search) {
	switch {
	case r.Pinned != (table.Holder{}):
		proceed(w, r, "the issued key was not used yet")
	case s.Owner != (table.Holder{}):
		refuse(w, r, table.CodeKeyInUse, table.RanUnknown, "another router has a request with this key in progress")
	case r.Retry:
		askAll(w, r, s)
	default:
		proceed(w, r, "the earlier run of the key is gone")
	}
}

// foundNowhere ends a search in which all agents that could be asked answered.
func foundNowhere(w *world.World, r *table.Request) {
	if r.Idempotent {
		proceed(w, r, "no agent knows the key")
		return
	}
	refuse(w, r, table.CodeKeyLost, table.RanUnknown, "no agent knows the generated key, which may have run and been forgotten")
}
