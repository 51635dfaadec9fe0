package gate

import (
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// updateTokenTimes updates the moving averages that heartbeats report to routers.
// The first-token time is sampled once per run and only for quick runs, because a
// long prompt takes longer on a healthy endpoint, too.
func updateTokenTimes(w *world.World, row *table.Run, p event.Pace) {
	e := w.Endpoints.Get(row.Endpoint)
	if e == nil {
		return
	}
	if p.FirstToken > 0 && !row.PaceSeen {
		row.PaceSeen = true
		if row.Class == table.ClassQuick {
			e.FirstTokenTime = table.AverageTime(e.FirstTokenTime, p.FirstToken)
			e.Observed++
		}
	}
	if p.Token > 0 {
		e.TokenTime = table.AverageTime(e.TokenTime, p.Token)
		e.Observed++
	}
}
