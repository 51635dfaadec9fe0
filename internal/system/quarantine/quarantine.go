// Package quarantine prevents a request that crashes endpoints from crashing
// all of them.
//
// Each crash adds 1/n to the weight of each of the n requests that were
// running. Suspects run alone, so that one that did not cause the crash is
// cleared when it finishes. A suspect that reaches the crash limit is
// quarantined in the whole fleet.
package quarantine

import (
	"math"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// quarantineDuration is how long a quarantine lasts.
	quarantineDuration = time.Hour
	// defaultCrashLimit applies until the first configuration is applied.
	defaultCrashLimit = 2.0
	// fullWeightTime is how long after the last crash a weight counts in full. If
	// it decayed from the start, two crashes would stay just below a limit of 2.
	fullWeightTime = 10 * time.Minute
	// weightHalfLife is the half-life of a weight after that. Retries of one
	// caller follow within minutes, so they reach the limit, while a popular
	// request that occasionally runs on a crashing endpoint stays below it.
	weightHalfLife = 10 * time.Minute
	// roundingTolerance allows for rounding errors in sums such as 1/3 + 1/3 +
	// 1/3.
	roundingTolerance = 1e-9
	// minWeight is the weight below which a suspect's record is deleted.
	minWeight = 0.02
	// crashReportLifetime is how long reports are remembered to detect
	// duplicates.
	crashReportLifetime = time.Hour
	// brokenRunWindow is how long after its stream broke a run still counts as
	// running when its endpoint goes down: health checks lag by seconds.
	brokenRunWindow = 5 * time.Second
	// readInterval is the interval between reads of the stored list. With 30
	// routers and 300 agents, that is 11 reads per second in all.
	readInterval = 30 * time.Second
	// writeStagger is the delay per rank of the routers that may write an entry,
	// so that usually only one of them writes it.
	writeStagger = 2 * time.Second
	// writeRetryInterval is the delay before an entry is written again.
	writeRetryInterval = 5 * time.Second
)

// Run counts crashes and refuses requests that caused too many.
func Run(w *world.World) {
	readList(w)
	applyLists(w)
	if w.Params.Self.Role == table.RoleAgent {
		detectCrashes(w)
	} else {
		applyCrashes(w)
		applyAttemptEnds(w)
		checkAdmitted(w)
		writeList(w)
	}
	removeExpired(w)
}

// decayedWeight returns the current weight of a suspect.
func decayedWeight(s *table.CrashSuspect, now table.Instant) float64 {
	age := now.Sub(s.LastCrashAt) - fullWeightTime
	return s.CrashWeight * math.Exp2(-float64(max(age, 0))/float64(weightHalfLife))
}

func applyCrashes(w *world.World) {
	for _, c := range w.In.Crashes {
		if isDuplicate(w, c.ID) || len(c.Fingerprints) == 0 {
			continue
		}
		if c.Cleared {
			for _, f := range c.Fingerprints {
				clearSuspect(w, f)
			}
			continue
		}
		share, limit := 1/float64(len(c.Fingerprints)), crashLimit(w, c.Endpoint)
		for _, f := range c.Fingerprints {
			addWeight(w, f, share, limit)
		}
		recheckRequests(w)
		w.Count("quarantine.crashes")
	}
}

// isDuplicate reports whether a crash report was already counted, and records
// it.
func isDuplicate(w *world.World, id table.CrashID) bool {
	if w.CountedCrashes.Get(id) != nil {
		return true
	}
	until := w.Now.Add(crashReportLifetime)
	w.CountedCrashes.Put(id, until)
	w.CountedCrashTimers.Schedule(id, until)
	return false
}

// addWeight adds a crash's share to the weight of a suspect, and quarantines
// the suspect at the limit.
func addWeight(w *world.World, f table.Fingerprint, share, limit float64) {
	s := w.CrashSuspects.Get(f)
	if s == nil {
		s = w.CrashSuspects.Put(f, table.CrashSuspect{})
	}
	s.CrashWeight = decayedWeight(s, w.Now) + share
	s.LastCrashAt = w.Now
	if s.CrashWeight >= limit-roundingTolerance && !s.Quarantined {
		addQuarantine(w, f, w.Now.Add(quarantineDuration))
		w.StoreQuarantineTimers.Schedule(f, w.Now.Add(time.Duration(writerRank(w, f))*writeStagger))
		w.Count("quarantine.started")
	}
	w.SuspectTimers.Schedule(f, suspectExpiry(s))
}

// crashLimit returns the crash limit of the endpoint's service.
func crashLimit(w *world.World, id table.EndpointID) float64 {
	defaults := w.Config.Defaults
	if e := w.Endpoints.Get(id); e != nil {
		defaults = w.Config.DefaultsFor(e.Service)
	}
	if defaults.CrashLimit > 0 {
		return defaults.CrashLimit
	}
	return defaultCrashLimit
}

func addQuarantine(w *world.World, f table.Fingerprint, until table.Instant) {
	s := w.CrashSuspects.Get(f)
	if s == nil {
		s = w.CrashSuspects.Put(f, table.CrashSuspect{})
	}
	s.Quarantined = true
	s.QuarantinedUntil = max(s.QuarantinedUntil, until)
	w.Quarantined.Add(f)
	w.SuspectTimers.Schedule(f, suspectExpiry(s))
}

// suspectExpiry returns when a suspect is removed.
func suspectExpiry(s *table.CrashSuspect) table.Instant {
	if s.Quarantined {
		return s.QuarantinedUntil
	}
	halfLives := math.Log2(max(s.CrashWeight, minWeight) / minWeight)
	return s.LastCrashAt.Add(fullWeightTime + time.Duration(halfLives*float64(weightHalfLife)))
}

// clearSuspect removes a suspect that finished, unless it is quarantined.
func clearSuspect(w *world.World, f table.Fingerprint) {
	if s := w.CrashSuspects.Get(f); s != nil && !s.Quarantined {
		w.CrashSuspects.Delete(f)
		w.Count("quarantine.cleared")
	}
}

// applyAttemptEnds clears suspects that finished, and ends quarantined
// requests before retry sends them to another endpoint.
func applyAttemptEnds(w *world.World) {
	for _, e := range w.In.AttemptEnds {
		r := w.Requests.Get(e.Request)
		if r == nil || r.State() != table.RequestRunning || r.Attempt != e.Attempt {
			continue
		}
		switch e.Status {
		case event.AttemptDone:
			if !e.Replayed {
				clearSuspect(w, r.Fingerprint)
			}
		case event.AttemptBroken, event.AttemptLost:
			r.DeliveredTokens = max(r.DeliveredTokens, e.DeliveredTokens)
			r.RanPromptTokens = max(r.RanPromptTokens, e.PromptTokens)
			refuseOrIsolate(w, r)
		}
	}
}

// recheckRequests isolates or refuses requests in progress after the suspects
// changed. It scans all requests; crashes are rare.
func recheckRequests(w *world.World) {
	for _, state := range []table.RequestState{table.RequestReserving, table.RequestQueued, table.RequestBackoff, table.RequestRunning} {
		for _, id := range w.Requests.InState(state) {
			r := w.Requests.Get(id)
			if state == table.RequestRunning {
				r.MustRunAlone = r.MustRunAlone || w.CrashSuspects.Get(r.Fingerprint) != nil
				continue
			}
			refuseOrIsolate(w, r)
		}
	}
}

func checkAdmitted(w *world.World) {
	for _, id := range w.Requests.InState(table.RequestAdmitted) {
		refuseOrIsolate(w, w.Requests.Get(id))
	}
}

// refuseOrIsolate ends the request if it is quarantined, and runs it alone if
// it is a suspect.
func refuseOrIsolate(w *world.World, r *table.Request) {
	s := w.CrashSuspects.Get(r.Fingerprint)
	if s == nil {
		return
	}
	if s.Quarantined && w.Now < s.QuarantinedUntil {
		refuseQuarantined(w, r, s)
		return
	}
	if r.MustRunAlone {
		return
	}
	r.MustRunAlone = true
	w.RecordDecision(r.ID, "quarantine", "runs alone because it was running when an endpoint died")
	if r.State() == table.RequestQueued {
		// Moving the request requeues it: queues keep a separate list of requests
		// that only some endpoints may run.
		w.Requests.SetState(r, table.RequestQueued)
	}
}

// refuseQuarantined ends a quarantined request. The earlier call of a retry
// may have run.
func refuseQuarantined(w *world.World, r *table.Request, s *table.CrashSuspect) {
	ran := table.NotRun
	if r.Attempts > 0 || r.CallerRetry {
		ran = table.RanUnknown
	}
	if r.DeliveredTokens > 0 || r.RanPromptTokens > 0 {
		ran = table.DidRun
	}
	w.Requests.End(r, table.Outcome{
		Code: table.CodeQuarantined, Reason: "endpoints died while they ran this request", Ran: ran,
		RetryAfter: s.QuarantinedUntil.Sub(w.Now), PromptTokens: r.RanPromptTokens, OutputTokens: r.DeliveredTokens,
	})
	w.RecordDecision(r.ID, "quarantine", "refused")
}

// removeExpired removes expired suspects and crash reports.
func removeExpired(w *world.World) {
	for f, due := w.SuspectTimers.PopDue(w.Now); due; f, due = w.SuspectTimers.PopDue(w.Now) {
		s := w.CrashSuspects.Get(f)
		if s == nil {
			continue
		}
		if expiry := suspectExpiry(s); expiry > w.Now {
			w.SuspectTimers.Schedule(f, expiry)
			continue
		}
		w.CrashSuspects.Delete(f)
		w.Quarantined.Remove(f)
	}
	for id, due := w.CountedCrashTimers.PopDue(w.Now); due; id, due = w.CountedCrashTimers.PopDue(w.Now) {
		w.CountedCrashes.Delete(id)
	}
	w.WakeAt(w.SuspectTimers.NextDue())
	w.WakeAt(w.CountedCrashTimers.NextDue())
}

func reportCrash(w *world.World, c event.Crash) {
	w.CrashSequence++
	c.ID = table.CrashID{Agent: w.Self(), Sequence: w.CrashSequence}
	w.Out.Crashes = append(w.Out.Crashes, command.SendCrash{Crash: c})
}
