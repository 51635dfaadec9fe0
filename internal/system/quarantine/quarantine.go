// Package quarantine keeps a request that crashes endpoints from crashing all
// of them.
//
// Each crash adds 1/(number running) to the weight of every request that was
// running. Suspects run alone, so that an innocent one clears itself by
// finishing; at the crash limit a suspect is quarantined in the whole fleet.
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
	// duration of a quarantine.
	duration = time.Hour
	// defaultLimit applies until a configuration is in force.
	defaultLimit = 2.0
	// fullFor is how long after the last crash a weight counts in full. A decay
	// from the start would leave two crashes just below a limit of 2.
	fullFor = 10 * time.Minute
	// halfLife of a weight after that. Retries of one caller come within minutes,
	// while a popular request that shared crashing endpoints now and then stays
	// below the limit.
	halfLife = 10 * time.Minute
	// tolerance absorbs the rounding of sums such as 1/3 + 1/3 + 1/3.
	tolerance = 1e-9
	// leastWeight is the weight below which a suspect is forgotten.
	leastWeight = 0.02
	// crashMemory is how long a report is remembered to find its duplicates.
	crashMemory = time.Hour
	// brokenWindow is how long after its stream ended a run still counts as
	// running when the endpoint is found dead: health checks lag by seconds.
	brokenWindow = 5 * time.Second
	// readInterval is the pause between reads of the stored list: one read per
	// second for 30 routers, and 10 for 300 agents.
	readInterval = 30 * time.Second
	// writeStep staggers the routers that may write an entry by their rank, so
	// that usually one of them writes.
	writeStep = 2 * time.Second
	// writeRetry is the pause before an entry is written again.
	writeRetry = 5 * time.Second
)

// Run counts crashes and refuses requests that caused too many.
func Run(w *world.World) {
	readList(w)
	applyLists(w)
	if w.Params.Self.Role == table.RoleAgent {
		watchEndpoints(w)
	} else {
		applyCrashes(w)
		applyEnds(w)
		checkAdmitted(w)
		writeList(w)
	}
	expire(w)
}

// decayed returns the weight of a suspect now.
func decayed(s *table.Suspect, now table.Instant) float64 {
	age := now.Sub(s.LastCrash) - fullFor
	return s.Weight * math.Exp2(-float64(max(age, 0))/float64(halfLife))
}

func applyCrashes(w *world.World) {
	for _, c := range w.In.Crashes {
		if seen(w, c.ID) || len(c.Fingerprints) == 0 {
			continue
		}
		if c.Cleared {
			for _, f := range c.Fingerprints {
				clearSuspect(w, f)
			}
			continue
		}
		share, limit := 1/float64(len(c.Fingerprints)), limitOf(w, c.Endpoint)
		for _, f := range c.Fingerprints {
			blame(w, f, share, limit)
		}
		isolateRequests(w)
		w.Count("quarantine.crashes")
	}
}

// seen reports whether a report was counted before, and remembers it.
func seen(w *world.World, id table.CrashID) bool {
	if w.CrashesSeen.Get(id) != nil {
		return true
	}
	until := w.Now.Add(crashMemory)
	w.CrashesSeen.Put(id, until)
	w.CrashTimers.Set(id, until)
	return false
}

func blame(w *world.World, f table.Fingerprint, share, limit float64) {
	s := w.Suspects.Get(f)
	if s == nil {
		s = w.Suspects.Put(f, table.Suspect{})
	}
	s.Weight = decayed(s, w.Now) + share
	s.LastCrash = w.Now
	if s.Weight >= limit-tolerance && !s.Quarantined {
		quarantine(w, f, w.Now.Add(duration))
		w.Unstored.Set(f, w.Now.Add(time.Duration(rank(w, f))*writeStep))
		w.Count("quarantine.started")
	}
	w.SuspectTimers.Set(f, forgetAt(s))
}

// limitOf returns the crash limit of the service that the endpoint belongs to.
func limitOf(w *world.World, id table.EndpointID) float64 {
	d := w.Fleet.Defaults
	if e := w.Endpoints.Get(id); e != nil {
		d = w.Fleet.For(e.Service)
	}
	if d.CrashLimit > 0 {
		return d.CrashLimit
	}
	return defaultLimit
}

func quarantine(w *world.World, f table.Fingerprint, until table.Instant) {
	s := w.Suspects.Get(f)
	if s == nil {
		s = w.Suspects.Put(f, table.Suspect{})
	}
	s.Quarantined = true
	s.Until = max(s.Until, until)
	w.Quarantined.Add(f)
	w.SuspectTimers.Set(f, forgetAt(s))
}

// forgetAt returns when a suspect is no longer one.
func forgetAt(s *table.Suspect) table.Instant {
	if s.Quarantined {
		return s.Until
	}
	halves := math.Log2(max(s.Weight, leastWeight) / leastWeight)
	return s.LastCrash.Add(fullFor + time.Duration(halves*float64(halfLife)))
}

// clearSuspect forgets a suspect that finished. A quarantine stays in force.
func clearSuspect(w *world.World, f table.Fingerprint) {
	if s := w.Suspects.Get(f); s != nil && !s.Quarantined {
		w.Suspects.Delete(f)
		w.Count("quarantine.cleared")
	}
}

// applyEnds clears suspects that finished and stops quarantined requests before
// retry sends them to the next endpoint.
func applyEnds(w *world.World) {
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
			r.Delivered = max(r.Delivered, e.Delivered)
			r.PromptRun = max(r.PromptRun, e.Prompt)
			judge(w, r)
		}
	}
}

// isolateRequests applies new suspicions to the requests in progress. It looks
// at all requests; crashes are rare.
func isolateRequests(w *world.World) {
	for _, state := range []table.RequestState{table.RequestReserving, table.RequestQueued, table.RequestBackoff, table.RequestRunning} {
		for _, id := range w.Requests.In(state) {
			r := w.Requests.Get(id)
			if state == table.RequestRunning {
				r.Alone = r.Alone || w.Suspects.Get(r.Fingerprint) != nil
				continue
			}
			judge(w, r)
		}
	}
}

func checkAdmitted(w *world.World) {
	for _, id := range w.Requests.In(table.RequestAdmitted) {
		judge(w, w.Requests.Get(id))
	}
}

// judge ends a quarantined request and isolates a suspect.
func judge(w *world.World, r *table.Request) {
	s := w.Suspects.Get(r.Fingerprint)
	if s == nil {
		return
	}
	if s.Quarantined && w.Now < s.Until {
		refuse(w, r, s)
		return
	}
	if r.Alone {
		return
	}
	r.Alone = true
	w.Explain(r.ID, "quarantine", "runs alone because it was running when an endpoint died")
	if r.State() == table.RequestQueued {
		// Queues keep requests that need a certain endpoint apart.
		w.Requests.Move(r, table.RequestQueued)
	}
}

// refuse ends a quarantined request. A retry may have run for its earlier call.
func refuse(w *world.World, r *table.Request, s *table.Suspect) {
	ran := table.NotRun
	if r.Attempts > 0 || r.Retry {
		ran = table.RanUnknown
	}
	if r.Delivered > 0 || r.PromptRun > 0 {
		ran = table.DidRun
	}
	w.Requests.End(r, table.Outcome{
		Code: table.CodeQuarantined, Reason: "endpoints died while they ran this request", Ran: ran,
		RetryAfter: s.Until.Sub(w.Now), Prompt: r.PromptRun, Output: r.Delivered,
	})
	w.Explain(r.ID, "quarantine", "refused")
}

// expire forgets suspects and reports whose time has come.
func expire(w *world.World) {
	for f, due := w.SuspectTimers.Pop(w.Now); due; f, due = w.SuspectTimers.Pop(w.Now) {
		s := w.Suspects.Get(f)
		if s == nil {
			continue
		}
		if at := forgetAt(s); at > w.Now {
			w.SuspectTimers.Set(f, at)
			continue
		}
		w.Suspects.Delete(f)
		w.Quarantined.Remove(f)
	}
	for id, due := w.CrashTimers.Pop(w.Now); due; id, due = w.CrashTimers.Pop(w.Now) {
		w.CrashesSeen.Delete(id)
	}
	w.WakeAt(w.SuspectTimers.Next())
	w.WakeAt(w.CrashTimers.Next())
}

func reportCrash(w *world.World, c event.Crash) {
	w.CrashSequence++
	c.ID = table.CrashID{Agent: w.Self(), Sequence: w.CrashSequence}
	w.Out.Crashes = append(w.Out.Crashes, command.SendCrash{Crash: c})
}
