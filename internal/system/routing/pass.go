package routing

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// noEndpointGrace is how long a request waits while no endpoint of its
	// service is usable. It covers the restart of an agent's session.
	noEndpointGrace = 2 * time.Second
	// noEndpointPoll is how often the waiting requests are looked at then.
	noEndpointPoll = 250 * time.Millisecond
	// agedAfter is the wait after which long work may take a slot before quick
	// work, up to a bounded number per endpoint.
	agedAfter = 5 * time.Second
)

// pass is one look at the queues of a service.
type pass struct {
	w       *world.World
	service table.ServiceName
	// usable are the endpoints that may get new work, full or not.
	usable []*table.Endpoint
	// allEjected is true if no usable endpoint is free of ejection.
	allEjected bool
}

func newPass(w *world.World, name table.ServiceName) *pass {
	p := &pass{w: w, service: name, allEjected: true}
	w.Endpoints.Each(func(_ table.EndpointID, e *table.Endpoint) {
		if e.Service != name || !usable(w, e) {
			return
		}
		p.usable = append(p.usable, e)
		p.allEjected = p.allEjected && e.Ejected
		endHold(w, e)
	})
	return p
}

// classes are the classes in the order in which their queues are served.
var classes = []table.Class{table.ClassQuick, table.ClassLong}

// usable reports whether an endpoint may get new work: it is live and so is its
// agent, as far as this router knows.
func usable(w *world.World, e *table.Endpoint) bool {
	if e.State != table.EndpointLive {
		return false
	}
	return agentUsable(w.Processes.Get(e.Agent))
}

func agentUsable(a *table.Process) bool {
	return a != nil && a.Connected && a.State == table.ProcessLive
}

func (p *pass) key(c table.Class) table.QueueKey {
	return table.QueueKey{Service: p.service, Class: c}
}

// serveQueue places requests in fair order until no slot is left for the class.
func (p *pass) serveQueue(c table.Class) {
	for {
		r := p.w.Requests.Next(p.key(c))
		if r == nil || !p.place(r) {
			return
		}
	}
}

// serveAged places the oldest long requests before quick work, so that steady
// quick work cannot starve them.
func (p *pass) serveAged() {
	for {
		r := p.w.Requests.Oldest(p.key(table.ClassLong))
		if r == nil {
			return
		}
		if aged := r.Arrived.Add(agedAfter); aged > p.w.Now {
			p.w.WakeAt(aged)
			return
		}
		if !p.placeAged(r) {
			return
		}
	}
}

// place sends a request to an endpoint. It returns false if none has a slot.
func (p *pass) place(r *table.Request) bool {
	return p.send(r, func(e *table.Endpoint) bool { return hasSlot(p.w, e, r) })
}

func (p *pass) placeAged(r *table.Request) bool {
	return p.send(r, func(e *table.Endpoint) bool { return hasAgedSlot(p.w, e, r) })
}

// send handles the request at the head of a queue: it leaves the queue in every
// case but that of no free slot.
func (p *pass) send(r *table.Request, free func(*table.Endpoint) bool) bool {
	if !r.ReplayOnly && grantExpired(p.w, r) {
		refuse(p.w, r, table.CodeBudgetUnreachable, "the grant expired while the request was queued", noEndpointGrace)
		return true
	}
	if late(p.w, r, bestFirstToken(p.usable)) {
		refuseDeadline(p.w, r)
		return true
	}
	e, considered := p.choose(r, free)
	if e == nil {
		return false
	}
	dispatch(p.w, r, e, considered)
	return true
}

// noEndpoint refuses requests that found no usable endpoint for some time.
func (p *pass) noEndpoint() {
	for _, c := range classes {
		for _, id := range p.w.Requests.Restricted(p.key(c)) {
			p.refuseUnserved(p.w.Requests.Get(id))
		}
		for r := p.w.Requests.Oldest(p.key(c)); r != nil && p.refuseUnserved(r); {
			r = p.w.Requests.Oldest(p.key(c))
		}
	}
}

// refuseUnserved ends a request that waited too long, and returns whether it did.
func (p *pass) refuseUnserved(r *table.Request) bool {
	waitingSince := max(r.Arrived, r.Dispatched, r.NotBefore)
	if p.w.Now.Sub(waitingSince) < noEndpointGrace {
		p.w.WakeAt(p.w.Now.Add(noEndpointPoll))
		return false
	}
	refuse(p.w, r, table.CodeNoEndpoint, "no endpoint of the service can take work", noEndpointGrace)
	return true
}
