package quarantine

import (
	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// maxCountedCrashes bounds the crashes that are remembered for a request.
const maxCountedCrashes = 8

// RunGateway counts the crashes of direct endpoints that this router observed
// or received reports of. A crash counts once for a request, however many
// attempts with its like it cut off, and as one with a single running request,
// because no single router knows how many requests an endpoint ran. A request
// that is answered is cleared, also while it is in quarantine.
func RunGateway(w *world.World) {
	for i := range w.In.DirectAttemptEnds {
		onDirectAttemptEnd(w, &w.In.DirectAttemptEnds[i])
	}
	reports := takeReports(w)
	applyVerdicts(w)
	countCrashesOfRequests(w)
	runParts(w, reports)
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

// countCrashesOfRequests counts the crashes of direct endpoints for the requests that they cut
// off, and clears those that were answered.
func countCrashesOfRequests(w *world.World) {
	for i := range w.In.Crashes {
		c := &w.In.Crashes[i]
		if len(c.Fingerprints) == 0 || isDuplicate(w, c.ID) {
			continue
		}
		for _, f := range c.Fingerprints {
			switch {
			case c.Cleared:
				endSuspicion(w, f)
			case isFurtherCrash(w, f, c):
				addWeight(w, f, 1/float64(len(c.Fingerprints)), crashLimit(w, c.Endpoint))
				s := w.CrashSuspects.Get(f)
				if s.Quarantined {
					scheduleListCheck(w, f)
				}
				s.Crashes = append(s.Crashes[max(0, len(s.Crashes)-maxCountedCrashes+1):], table.CountedCrash{Endpoint: c.Endpoint, At: w.Now})
			}
		}
		w.Count("quarantine.crashes")
	}
}

// isFurtherCrash reports whether a report is further evidence against a request: not of a
// crash that was counted before, and not of one that may have the cause of the last.
func isFurtherCrash(w *world.World, f table.Fingerprint, c *event.Crash) bool {
	s := w.CrashSuspects.Get(f)
	if s == nil || len(s.Crashes) == 0 {
		return true
	}
	sentAt := w.Now.Add(-c.SinceSent)
	for _, counted := range s.Crashes {
		if counted.Endpoint == c.Endpoint && sentAt <= counted.At {
			return false
		}
	}
	last := s.Crashes[len(s.Crashes)-1].At
	return w.Now.Sub(last) >= minCrashGap || sentAt > last
}

// endSuspicion forgets a request that was answered, and ends its quarantine.
func endSuspicion(w *world.World, f table.Fingerprint) {
	if w.CrashSuspects.Get(f) == nil {
		return
	}
	if w.CrashSuspects.Get(f).Quarantined {
		// The list in the store may be read before this router has written it.
		markSound(w, f)
		scheduleListCheck(w, f)
	}
	w.CrashSuspects.Delete(f)
	w.Quarantined.Remove(f)
	w.Count("quarantine.cleared")
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
	crash := event.Crash{Endpoint: x.Endpoint, Fingerprints: []table.Fingerprint{x.Fingerprint}, SinceSent: w.Now.Sub(x.AttemptSentAt)}
	switch {
	case e.ConnectionLost:
		recordLostConnection(w, x, e)
	case e.Status == event.DirectAnswered && !e.Undelimited && w.CrashSuspects.Get(x.Fingerprint) != nil:
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
