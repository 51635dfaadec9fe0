// Package load estimates how busy endpoints are.
package load

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// maxReportAge is how long an endpoint's load report is used. An endpoint's load changes
// within some hundred milliseconds.
const maxReportAge = time.Second

// Estimate is the load of an endpoint, as far as this router knows it.
type Estimate struct {
	// Running and Waiting count the requests that run and wait at the endpoint.
	Running float64
	Waiting float64
	// Slowdown is how long work takes there, in units of the usual time; at least 1.
	Slowdown float64
}

// Of returns the estimated load of an endpoint.
func Of(w *world.World, e *table.DirectEndpoint) Estimate {
	l := Estimate{Running: float64(e.InFlight), Slowdown: 1}
	if w.Now.Sub(e.ReportedAt) < maxReportAge {
		l.Running = max(l.Running, float64(e.ReportedRunning))
		l.Waiting = float64(e.ReportedWaiting)
		l.Slowdown = max(1, e.ReportedSlowdown)
	}
	return l
}
