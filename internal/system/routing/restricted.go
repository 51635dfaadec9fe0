package routing

import (
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// servePinned sends requests whose key is bound to one agent there or nowhere.
func (p *pass) servePinned() {
	for _, c := range classes {
		for _, id := range p.w.Requests.Restricted(p.key(c)) {
			if r := p.w.Requests.Get(id); r.Pinned != (table.Holder{}) {
				p.sendPinned(r)
			}
		}
	}
}

// sendPinned refuses when the agent was replaced: its new incarnation knows
// nothing of the key.
func (p *pass) sendPinned(r *table.Request) {
	agent := p.w.Processes.Get(r.Pinned.Process)
	switch {
	case agent == nil || agent.Holder != r.Pinned:
		refuse(p.w, r, table.CodeKeyLost, "the agent that knows the key is gone", 0)
	case r.ReplayOnly && agent.Connected:
		dispatchReplay(p.w, r, agent)
	case !agentUsable(agent):
		p.refuseUnserved(r)
	default:
		p.send(r, func(e *table.Endpoint) bool {
			return e.Agent == agent.Process && hasSlot(p.w, e, r) && (!r.Alone || p.idleFor(e, r))
		})
	}
}

// serveAlone sends crash suspects to endpoints without other work.
func (p *pass) serveAlone() {
	for _, c := range classes {
		for _, id := range p.w.Requests.Restricted(p.key(c)) {
			r := p.w.Requests.Get(id)
			if r.Pinned != (table.Holder{}) {
				continue
			}
			if !p.send(r, func(e *table.Endpoint) bool { return hasSlot(p.w, e, r) && p.idleFor(e, r) }) {
				p.hold(r)
			}
		}
	}
}

// hold reserves an endpoint for a request that must run alone: it gets no other
// work until the request has run. Only one endpoint of a service is held.
func (p *pass) hold(r *table.Request) {
	var best *table.Endpoint
	for _, e := range p.usable {
		if e.HeldFor != "" {
			return
		}
		if !e.Ejected && (best == nil || e.InFlight+e.OthersInFlight < best.InFlight+best.OthersInFlight) {
			best = e
		}
	}
	if best != nil {
		best.HeldFor = r.ID
		p.w.Explain(r.ID, System, "holds "+string(best.ID)+" until it is idle")
	}
}

// endHold opens an endpoint again when its request neither waits nor runs there.
func endHold(w *world.World, e *table.Endpoint) {
	if e.HeldFor == "" {
		return
	}
	r := w.Requests.Get(e.HeldFor)
	if r != nil && r.State() == table.RequestQueued || r != nil && r.State() == table.RequestRunning && r.Endpoint == e.ID {
		return
	}
	e.HeldFor = ""
}

// idleFor reports whether a request that must run alone may go to an endpoint.
// The other routers' work is as of the last heartbeat; after a long wait the
// decision is left to the agent, which refuses while it has other work.
func (p *pass) idleFor(e *table.Endpoint, r *table.Request) bool {
	if e.InFlight > 0 {
		return false
	}
	return e.OthersInFlight == 0 || p.w.Now.Sub(r.Arrived) >= agedAfter
}
