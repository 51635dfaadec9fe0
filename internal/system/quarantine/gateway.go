package quarantine

import (
	"laburnumroad.dev/laburnumroad/internal/command"
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
	applyVerdicts(w)
	applyCrashes(w)
	tellVerdicts(w)
	removeExpired(w)
}

// applyVerdicts applies what other routers have in quarantine.
func applyVerdicts(w *world.World) {
	for i := range w.In.Crashes {
		for _, e := range w.In.Crashes[i].Quarantined {
			if e.Remaining > 0 {
				addQuarantine(w, e.Fingerprint, w.Now.Add(e.Remaining))
			}
		}
	}
}

// tellVerdicts tells the routers that connected in this tick which requests are in
// quarantine, and those that report a crash of such a request: a router that was restarted,
// or that missed reports, counts from the start and would let it crash more endpoints.
func tellVerdicts(w *world.World) {
	if to := newlyConnected(w); len(to) > 0 {
		tell(w, to, w.Quarantined.Keys())
	}
	for i := range w.In.Crashes {
		if c := &w.In.Crashes[i]; c.ID.Agent != w.Self() && !c.Cleared {
			tell(w, []table.Holder{c.ID.Agent}, c.Fingerprints)
		}
	}
}

// newlyConnected returns the routers that connected in this tick.
func newlyConnected(w *world.World) []table.Holder {
	var routers []table.Holder
	for i := range w.In.SessionsOpened {
		routers = append(routers, w.In.SessionsOpened[i].Process.Holder)
	}
	return routers
}

// tell sends those of the given requests that are in quarantine to other routers.
func tell(w *world.World, to []table.Holder, requests []table.Fingerprint) {
	var entries []event.QuarantineEntry
	for _, f := range requests {
		if until, quarantined := Active(w, f); quarantined {
			entries = append(entries, event.QuarantineEntry{Fingerprint: f, Remaining: until.Sub(w.Now)})
		}
	}
	if len(entries) > 0 {
		w.Out.Crashes = append(w.Out.Crashes, command.SendCrash{To: to, Crash: event.Crash{Quarantined: entries}})
	}
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
