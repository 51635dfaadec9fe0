package quarantine

import (
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// RunFront counts the crashes of direct endpoints that this router saw or was
// told of. Each attempt that was cut off counts as one: how many requests an
// endpoint ran is known to no single router. A request that ends well is cleared.
func RunFront(w *world.World) {
	for i := range w.In.DirectEnds {
		directEnd(w, &w.In.DirectEnds[i])
	}
	applyCrashes(w)
	expire(w)
}

func directEnd(w *world.World, e *event.DirectEnd) {
	x := w.Exchanges.Get(e.Exchange)
	if x == nil || x.Attempt != e.Attempt || x.State != table.ExchangeRunning || x.Fingerprint == 0 {
		return
	}
	crash := event.Crash{Endpoint: x.Endpoint, Fingerprints: []table.Fingerprint{x.Fingerprint}}
	switch {
	case e.CutOff:
	case e.Status == event.DirectAnswered && w.Suspects.Get(x.Fingerprint) != nil:
		crash.Cleared = true
	default:
		return
	}
	reportCrash(w, crash)
	w.In.Crashes = append(w.In.Crashes, w.Out.Crashes[len(w.Out.Crashes)-1].Crash)
}

// Refused reports whether a fingerprint is in quarantine, and until when.
func Refused(w *world.World, f table.Fingerprint) (table.Instant, bool) {
	s := w.Suspects.Get(f)
	if s == nil || !s.Quarantined || w.Now >= s.Until {
		return 0, false
	}
	return s.Until, true
}
