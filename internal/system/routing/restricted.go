package routing

import (
	"laburnumroad.dev/laburnumroad/internal/table"
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
			return e.Agent == agent.Process && hasSlot(p.w, e, r) && (!r.Alone || idle(e))
		})
	}
}

// serveAlone sends crash suspects to endpoints without other work.
func (p *pass) serveAlone() {
	for _, c := range classes {
		for _, id := range p.w.Requests.Restricted(p.key(c)) {
			if r := p.w.Requests.Get(id); r.Pinned == (table.Holder{}) {
				p.send(r, func(e *table.Endpoint) bool { return hasSlot(p.w, e, r) && idle(e) })
			}
		}
	}
}

// idle reports whether an endpoint has no work, as far as this router knows.
func idle(e *table.Endpoint) bool { return e.InFlight == 0 && e.OthersInFlight == 0 }
