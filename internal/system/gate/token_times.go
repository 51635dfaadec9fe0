package gate

import (
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// updateTokenTimes updates the moving averages that heartbeats report to routers.
// The first-token time is sampled once per run and only for quick runs, because a
// long prompt takes longer on a healthy endpoint, too.
func updateTokenTimes(w *world.World, row *table.Run, p event.RunLatency) {
	e := w.Endpoints.Get(row.Endpoint)
	if e == nil {
		return
	}
	if p.FirstTokenTime > 0 && !row.FirstTokenSampled {
		row.FirstTokenSampled = true
		if row.Class == table.ClassQuick {
			e.FirstTokenTime = table.UpdateMovingAverage(e.FirstTokenTime, p.FirstTokenTime)
			e.AgentSamples++
		}
	}
	if p.TokenTime > 0 {
		e.TokenTime = table.UpdateMovingAverage(e.TokenTime, p.TokenTime)
		e.AgentSamples++
	}
}
