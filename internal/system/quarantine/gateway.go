package quarantine

import (
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// RunGateway counts the crashes of direct endpoints that this router observed
// or received reports of. Each attempt that was cut off counts as a crash with
// one running request, because no single router knows how many requests an
// endpoint ran. A suspect request that is answered is cleared.
func RunGateway(w *world.World) {
	for i := range w.In.DirectAttemptEnds {
		onDirectAttemptEnd(w, &w.In.DirectAttemptEnds[i])
	}
	runParts(w)
	applyCrashes(w)
	removeExpired(w)
}

func onDirectAttemptEnd(w *world.World, e *event.DirectAttemptEnd) {
	x := w.Exchanges.Get(e.Exchange)
	if x == nil || x.Attempt != e.Attempt || x.State != table.ExchangeRunning || x.Fingerprint == 0 {
		return
	}
	crash := event.Crash{Endpoint: x.Endpoint, Fingerprints: []table.Fingerprint{x.Fingerprint}}
	switch {
	case e.ConnectionLost:
		recordLostConnection(w, x, e)
	case e.Status == event.DirectAnswered && w.CrashSuspects.Get(x.Fingerprint) != nil:
		crash.Cleared = true
	default:
		return
	}
	reportCrash(w, crash)
	w.In.Crashes = append(w.In.Crashes, w.Out.Crashes[len(w.Out.Crashes)-1].Crash)
}

// Active reports whether a fingerprint is in quarantine, and until when.
func Active(w *world.World, f table.Fingerprint) (table.Instant, bool) {
	s := w.CrashSuspects.Get(f)
	if s == nil || !s.Quarantined || w.Now >= s.QuarantinedUntil {
		return 0, false
	}
	return s.QuarantinedUntil, true
}
