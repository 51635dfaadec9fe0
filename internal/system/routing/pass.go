package routing

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// noEndpointTimeout is how long a request waits while its service has no usable
	// endpoint. It is long enough for an agent to re-establish its session.
	noEndpointTimeout = 2 * time.Second
	// noEndpointPollInterval is how often the waiting requests are checked
	// meanwhile.
	noEndpointPollInterval = 250 * time.Millisecond
	// agingThreshold is the wait after which a long request may take a slot before
	// quick ones, up to a bounded number per endpoint.
	agingThreshold = 5 * time.Second
)

// schedulingPass is one scan of the queues of a service.
type schedulingPass struct {
	w       *world.World
	service table.ServiceName
	// usable holds the endpoints that may get new work, whether full or not.
	usable []*table.Endpoint
	// allEjected is true if every usable endpoint is ejected.
	allEjected bool
}

func newSchedulingPass(w *world.World, name table.ServiceName) *schedulingPass {
	p := &schedulingPass{w: w, service: name, allEjected: true}
	w.Endpoints.Each(func(_ table.EndpointID, e *table.Endpoint) {
		if e.Service != name || !usable(w, e) {
			return
		}
		p.usable = append(p.usable, e)
		p.allEjected = p.allEjected && e.Ejected
		releaseHold(w, e)
	})
	return p
}

// classOrder is the order in which the queues of the classes are served.
var classOrder = []table.Class{table.ClassQuick, table.ClassLong}

// usable reports whether an endpoint may get new work: as far as this router knows,
// the endpoint and its agent are live.
func usable(w *world.World, e *table.Endpoint) bool {
	if e.State != table.EndpointLive {
		return false
	}
	return agentUsable(w.Processes.Get(e.Agent))
}

func agentUsable(a *table.Process) bool {
	return a != nil && a.Connected && a.State == table.ProcessLive
}

func (p *schedulingPass) queueKey(c table.Class) table.QueueKey {
	return table.QueueKey{Service: p.service, Class: c}
}

// serveQueue dispatches requests in fair order until no slot is left for the class.
func (p *schedulingPass) serveQueue(c table.Class) {
	for {
		r := p.w.Requests.NextFair(p.queueKey(c))
		if r == nil || !p.tryDispatch(r) {
			return
		}
	}
}

// serveAged dispatches the oldest long requests before quick ones, so that a steady
// load of quick requests cannot starve them.
func (p *schedulingPass) serveAged() {
	for {
		r := p.w.Requests.NextByPriority(p.queueKey(table.ClassLong))
		if r == nil {
			return
		}
		if agesAt := r.ArrivedAt.Add(agingThreshold); agesAt > p.w.Now {
			p.w.WakeAt(agesAt)
			return
		}
		if !p.tryDispatchAged(r) {
			return
		}
	}
}

// tryDispatch sends a request to an endpoint with a free slot. It returns false if
// there is none.
func (p *schedulingPass) tryDispatch(r *table.Request) bool {
	return p.dispatchOrRefuse(r, func(e *table.Endpoint) bool { return hasSlot(p.w, e, r) })
}

// tryDispatchAged is tryDispatch for long requests past agingThreshold, which may
// also use slots reserved for quick requests.
func (p *schedulingPass) tryDispatchAged(r *table.Request) bool {
	return p.dispatchOrRefuse(r, func(e *table.Endpoint) bool { return hasSlotForAged(p.w, e, r) })
}

// dispatchOrRefuse dispatches a request, or refuses it if its grant has expired or
// its deadline cannot be met. It returns false, and leaves the request queued, if
// no endpoint is available.
func (p *schedulingPass) dispatchOrRefuse(r *table.Request, available func(*table.Endpoint) bool) bool {
	if !r.ReplayOnly && grantExpired(p.w, r) {
		refuse(p.w, r, table.CodeBudgetUnreachable, "the grant expired while the request was queued", noEndpointTimeout)
		return true
	}
	if missesDeadline(p.w, r, shortestFirstToken(p.usable)) {
		refuseForDeadline(p.w, r)
		return true
	}
	e, sampled := p.chooseEndpoint(r, available)
	if e == nil {
		return false
	}
	dispatch(p.w, r, e, sampled)
	return true
}

// refuseUnserved refuses the requests that have waited too long without a usable
// endpoint.
func (p *schedulingPass) refuseUnserved() {
	for _, c := range classOrder {
		for _, id := range p.w.Requests.Restricted(p.queueKey(c)) {
			p.refuseIfUnserved(p.w.Requests.Get(id))
		}
		for r := p.w.Requests.NextByPriority(p.queueKey(c)); r != nil && p.refuseIfUnserved(r); {
			r = p.w.Requests.NextByPriority(p.queueKey(c))
		}
	}
}

// refuseIfUnserved refuses a request that has waited for noEndpointTimeout, and
// reports whether it did.
func (p *schedulingPass) refuseIfUnserved(r *table.Request) bool {
	waitingSince := max(r.ArrivedAt, r.DispatchedAt, r.NextAttemptAt)
	if p.w.Now.Sub(waitingSince) < noEndpointTimeout {
		p.w.WakeAt(p.w.Now.Add(noEndpointPollInterval))
		return false
	}
	refuse(p.w, r, table.CodeNoEndpoint, "no endpoint of the service can take work", noEndpointTimeout)
	return true
}
