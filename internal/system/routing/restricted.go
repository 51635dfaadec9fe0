package routing

import (
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// servePinned dispatches the requests whose key is bound to one agent. They may run
// at no other agent.
func (p *schedulingPass) servePinned() {
	for _, c := range classOrder {
		for _, id := range p.w.Requests.Restricted(p.queueKey(c)) {
			if r := p.w.Requests.Get(id); r.PinnedAgent != (table.Holder{}) {
				p.dispatchPinned(r)
			}
		}
	}
}

// dispatchPinned sends a pinned request to its agent. It refuses the request if the
// agent has restarted, because the new incarnation does not know the key.
func (p *schedulingPass) dispatchPinned(r *table.Request) {
	agent := p.w.Processes.Get(r.PinnedAgent.Process)
	switch {
	case agent == nil || agent.Holder != r.PinnedAgent:
		refuse(p.w, r, table.CodeKeyLost, "the agent that knows the key is gone", 0)
	case r.ReplayOnly && agent.Connected:
		dispatchReplay(p.w, r, agent)
	case !agentUsable(agent):
		p.refuseIfUnserved(r)
	default:
		p.dispatchOrRefuse(r, func(e *table.Endpoint) bool {
			return e.Agent == agent.Process && hasSlot(p.w, e, r) && (!r.MustRunAlone || p.canRunAlone(e, r))
		})
	}
}

// serveAlone sends requests suspected of crashing endpoints to endpoints without
// other work.
func (p *schedulingPass) serveAlone() {
	for _, c := range classOrder {
		for _, id := range p.w.Requests.Restricted(p.queueKey(c)) {
			r := p.w.Requests.Get(id)
			if r.PinnedAgent != (table.Holder{}) {
				continue
			}
			if !p.dispatchOrRefuse(r, func(e *table.Endpoint) bool { return hasSlot(p.w, e, r) && p.canRunAlone(e, r) }) {
				p.holdEndpoint(r)
			}
		}
	}
}

// holdEndpoint holds the least loaded endpoint that is not ejected for a request
// that must run alone: the endpoint gets no other work until the request has run.
// At most one endpoint of a service is held at a time.
func (p *schedulingPass) holdEndpoint(r *table.Request) {
	var least *table.Endpoint
	for _, e := range p.usable {
		if e.HeldForRequest != "" {
			return
		}
		if !e.Ejected && (least == nil || e.InFlight+e.OthersInFlight < least.InFlight+least.OthersInFlight) {
			least = e
		}
	}
	if least != nil {
		least.HeldForRequest = r.ID
		p.w.RecordDecision(r.ID, System, "holds "+string(least.ID)+" until it is idle")
	}
}

// releaseHold clears HeldForRequest when that request is neither queued nor running
// at the endpoint.
func releaseHold(w *world.World, e *table.Endpoint) {
	if e.HeldForRequest == "" {
		return
	}
	r := w.Requests.Get(e.HeldForRequest)
	if r != nil && r.State() == table.RequestQueued || r != nil && r.State() == table.RequestRunning && r.Endpoint == e.ID {
		return
	}
	e.HeldForRequest = ""
}

// canRunAlone reports whether a request that must run alone may be sent to an
// endpoint. The count of other routers' work dates from the last heartbeat and may
// stay above zero, so after agingThreshold the request is sent anyway: the agent
// rejects it while it has other work.
func (p *schedulingPass) canRunAlone(e *table.Endpoint, r *table.Request) bool {
	if e.InFlight > 0 {
		return false
	}
	return e.OthersInFlight == 0 || p.w.Now.Sub(r.ArrivedAt) >= agingThreshold
}
