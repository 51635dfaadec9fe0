// Package routing decides which endpoint runs each queued request, and when.
//
// It also keeps what this router knows at first hand about the endpoints: its
// own work there, and the times it observed.
package routing

import (
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// System names this system in explanations.
const System = "routing"

// Run learns from the events of this tick, then serves the queues.
func Run(w *world.World) {
	learn(w)
	release(w)
	hearAgents(w)
	refuseLate(w)
	for _, name := range w.Requests.WaitingServices() {
		serve(w, name)
	}
}

// serve places the queued requests of a service until none can be placed.
func serve(w *world.World, name table.ServiceName) {
	p := newPass(w, name)
	p.servePinned()
	if len(p.usable) == 0 {
		p.noEndpoint()
		return
	}
	p.serveAlone()
	p.serveAged()
	p.serveQueue(table.ClassQuick)
	p.serveQueue(table.ClassLong)
}
