package gate

import (
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// learnPace keeps the moving averages that heartbeats tell the routers. The
// first-token time is taken once per run, and of quick runs only: long prompts
// take longer on a healthy endpoint, too.
func learnPace(w *world.World, row *table.Run, p event.Pace) {
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
