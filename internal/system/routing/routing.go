// Package routing decides when and at which endpoint each queued request runs.
//
// It also maintains this router's own view of the endpoints: the load that it
// placed there and the latencies that it observed.
package routing

import (
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// System is the name of this system in recorded decisions.
const System = "routing"

// Run updates the endpoints from the events of this tick and then serves the
// queues.
func Run(w *world.World) {
	observe(w)
	releaseEndedAttempts(w)
	applyAgentReports(w)
	refuseExpired(w)
	for _, name := range w.Requests.ServicesWithQueued() {
		serveQueues(w, name)
	}
}

// serveQueues dispatches the queued requests of a service until none fits.
func serveQueues(w *world.World, name table.ServiceName) {
	p := newSchedulingPass(w, name)
	p.servePinned()
	if len(p.usable) == 0 {
		p.refuseUnserved()
		return
	}
	p.serveAlone()
	p.serveAged()
	p.serveQueue(table.ClassQuick)
	p.serveQueue(table.ClassLong)
}
