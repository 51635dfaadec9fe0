package gate

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// paceShare is the share of a new sample in an endpoint's moving averages.
const paceShare = 0.2

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
			e.FirstTokenTime = average(e.FirstTokenTime, p.FirstToken)
			e.Observed++
		}
	}
	if p.Token > 0 {
		e.TokenTime = average(e.TokenTime, p.Token)
		e.Observed++
	}
}

func average(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(paceShare*float64(sample-old))
}
