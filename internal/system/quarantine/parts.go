package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// System is the name of this system in recorded decisions.
const System = "quarantine"

const (
	// minPartQuarantine is how long the first quarantine of a part lasts. Each further
	// one lasts twice as long, up to quarantineDuration: a part may be quarantined by
	// coincidence, and only a request that is sent can show that it is sound.
	minPartQuarantine = 10 * time.Minute
	maxDoublings      = 10
	// releaseStagger is the delay per rank with which the routers admit a part again, so
	// that one of them tries it first.
	releaseStagger = 2 * time.Second
	// sameCrashWindow is how long reports about an endpoint concern the same crash.
	sameCrashWindow = time.Second
	// minCrashGap is the least time between two crashes that count for a part if the
	// requests with it were sent before the first. Endpoints that a common cause ends at
	// once would otherwise count several times.
	minCrashGap = 200 * time.Millisecond
	// soundAnswerAge is how long an answer must have gone on to show that its prompt is
	// sound, and minSoundEvents the number of events of an answer that was cut off. An
	// endpoint crashes as it begins to answer.
	soundAnswerAge = 200 * time.Millisecond
	minSoundEvents = 2
	// objectionCount is the number of crashes from which a router tells the others that
	// an answer in progress shows the part to be sound. With the first crash, each router
	// with an answer to a common part would send a message.
	objectionCount = 2
	// minLoggedCrashes is the number of crashes from which changes of a part are logged.
	// Each crash has many parts that are cleared soon.
	minLoggedCrashes = 2
	// clearedMemory is how long after the proof lists and messages that still name the
	// part are disregarded.
	clearedMemory = time.Minute
	// trialRetryAfter is the retry delay sent to clients while another request shows
	// whether a part is sound.
	trialRetryAfter = time.Second
)

// PartReason is the reason of refusals because of a part of the prompt.
const PartReason = "endpoints died while they ran requests with a part of this prompt"

// partFingerprint identifies a prompt part.
func partFingerprint(id string) table.Fingerprint {
	return table.Fingerprint(xxhash.Sum64String(id))
}

// sharedParts returns the fingerprints of the parts that other requests may share: all
// but the last.
func sharedParts(parts []table.PromptPart) []table.Fingerprint {
	var shared []table.Fingerprint
	for i := 0; i < len(parts)-1; i++ {
		shared = append(shared, partFingerprint(parts[i].ID))
	}
	return shared
}

// sharedPartIDs returns the ids of the same parts, for decisions.
func sharedPartIDs(parts []table.PromptPart) string {
	var ids []string
	for i := 0; i < len(parts)-1; i++ {
		ids = append(ids, parts[i].ID)
	}
	return strings.Join(ids, ",")
}

// recordLostConnection tells an endpoint that ended from one that lost an answer.
func recordLostConnection(w *world.World, x *table.Exchange, e *event.DirectAttemptEnd) {
	if !e.EndpointGone {
		w.Count("quarantine.attempts_lost")
		return
	}
	w.Count("quarantine.attempts_crashed")
	w.RecordAttemptDecision(x, System, "the endpoint ended before the answer began", table.Input{Name: "parts", Value: sharedPartIDs(x.PromptParts)})
}

// runParts counts crashes by prompt part, with the reports of all routers, and refuses
// requests with a part under which too many endpoints crashed.
func runParts(w *world.World) {
	own := observeParts(w)
	quarantined := false
	for _, r := range takeReports(w) {
		quarantined = applyReport(w, r, own) || quarantined
	}
	quarantined = applyReport(w, own, own) || quarantined
	quarantined = runPartList(w, own) || quarantined
	if quarantined {
		endExchanges(w)
	}
	if !isEmpty(own) {
		w.Out.Crashes = append(w.Out.Crashes, command.SendCrash{Crash: event.Crash{Parts: own}})
	}
	greetRouters(w)
	removeExpiredParts(w)
}

func isEmpty(r *event.PartReport) bool {
	return len(r.Crashes) == 0 && len(r.Cleared) == 0 && len(r.Quarantined) == 0 && r.StoredVersion == 0
}

// takeReports removes the reports about parts from the crashes of this tick.
func takeReports(w *world.World) []*event.PartReport {
	var reports []*event.PartReport
	w.In.Crashes = slices.DeleteFunc(w.In.Crashes, func(c event.Crash) bool {
		if c.Parts != nil {
			reports = append(reports, c.Parts)
		}
		return c.Parts != nil
	})
	return reports
}

// observeParts returns what the attempts that ended in this tick show about parts.
func observeParts(w *world.World) *event.PartReport {
	own := &event.PartReport{}
	for i := range w.In.DirectAttemptEnds {
		e := &w.In.DirectAttemptEnds[i]
		x := w.Exchanges.Get(e.Exchange)
		if x == nil || x.Attempt != e.Attempt || x.State != table.ExchangeRunning || len(x.PromptParts) < 2 {
			continue
		}
		switch {
		case e.EndpointGone:
			// An endpoint that leaves ends as planned.
			if row := w.DirectEndpoints.Get(x.Endpoint); row != nil && !row.Leaving {
				addCrash(own, x, w.Now)
			}
		case showsSound(x, e) && w.PartSuspects.Len() > 0:
			for _, f := range sharedParts(x.PromptParts) {
				if s := w.PartSuspects.Get(f); s != nil && isSuspect(s) {
					own.Cleared = addUnique(own.Cleared, f)
				}
			}
		}
	}
	if len(own.Crashes) == 0 {
		return own
	}
	sound := answeringParts(w, func(table.Fingerprint) bool { return true })
	for i := range own.Crashes {
		c := &own.Crashes[i]
		c.Parts = slices.DeleteFunc(c.Parts, func(p event.CrashedPart) bool { return sound[p.Part] })
	}
	own.Crashes = slices.DeleteFunc(own.Crashes, func(c event.EndpointCrash) bool { return len(c.Parts) == 0 })
	return own
}

func addUnique(list []table.Fingerprint, f table.Fingerprint) []table.Fingerprint {
	if slices.Contains(list, f) {
		return list
	}
	return append(list, f)
}

// showsSound reports whether an attempt shows that an endpoint can answer its prompt.
// Events of earlier attempts say nothing about this one.
func showsSound(x *table.Exchange, e *event.DirectAttemptEnd) bool {
	return e.Status == event.DirectAnswered && e.HTTPStatus/100 == 2 || e.DeliveredEvents-x.DeliveredEvents >= minSoundEvents
}

// addCrash adds the parts of an attempt to the crash of its endpoint.
func addCrash(r *event.PartReport, x *table.Exchange, now table.Instant) {
	i := slices.IndexFunc(r.Crashes, func(c event.EndpointCrash) bool { return c.Endpoint == x.Endpoint })
	if i < 0 {
		i = len(r.Crashes)
		r.Crashes = append(r.Crashes, event.EndpointCrash{Endpoint: x.Endpoint})
	}
	c, sinceSent := &r.Crashes[i], now.Sub(x.AttemptSentAt)
	for position, f := range sharedParts(x.PromptParts) {
		j := slices.IndexFunc(c.Parts, func(p event.CrashedPart) bool { return p.Part == f })
		if j < 0 {
			c.Parts = append(c.Parts, event.CrashedPart{Part: f, Position: position, SinceSent: sinceSent})
			continue
		}
		c.Parts[j].SinceSent = min(c.Parts[j].SinceSent, sinceSent)
	}
}

// answeringParts returns the wanted parts of the requests that endpoints have been
// answering for a while. It scans all exchanges; crashes are rare.
func answeringParts(w *world.World, wanted func(table.Fingerprint) bool) map[table.Fingerprint]bool {
	sound := make(map[table.Fingerprint]bool)
	w.Exchanges.Each(func(_ table.ExchangeID, x *table.Exchange) {
		if x.State != table.ExchangeRunning || !x.AnswerStarted || w.Now.Sub(x.AnswerStartedAt) < soundAnswerAge {
			return
		}
		for _, f := range sharedParts(x.PromptParts) {
			if wanted(f) {
				sound[f] = true
			}
		}
	})
	return sound
}

// applyReport applies a report of this or another router, and reports whether a part was
// quarantined. What the others have to know is added to own.
func applyReport(w *world.World, r, own *event.PartReport) bool {
	quarantined := false
	for i := range r.Crashes {
		suspects := countCrash(w, &r.Crashes[i])
		objectToSuspicion(w, suspects, own)
		if entry := quarantineSuspect(w, suspects); entry != nil {
			quarantined = true
			if r == own {
				own.Quarantined = append(own.Quarantined, *entry)
			}
		}
	}
	for _, f := range r.Cleared {
		clearPart(w, f, "a request with it was answered")
	}
	quarantined = applyEntries(w, r.Quarantined, "another router quarantined it") || quarantined
	if l := &w.PartList; r.StoredVersion > l.Version {
		setStored(l, r.StoredVersion, r.Stored)
	}
	return quarantined
}

// countCrash counts a crash for its parts, and returns those of them that it is further
// evidence against.
func countCrash(w *world.World, c *event.EndpointCrash) []event.CrashedPart {
	if isExplained(w, c) {
		return nil
	}
	var suspects []event.CrashedPart
	for _, p := range c.Parts {
		if countPartCrash(w, c.Endpoint, p) {
			suspects = append(suspects, p)
		}
	}
	return suspects
}

// isExplained reports whether a quarantined part ended the endpoint of a crash. The other
// requests there say nothing about their parts, also those that other routers report.
func isExplained(w *world.World, c *event.EndpointCrash) bool {
	w.ExplainedCrashes.DeleteIf(func(_ table.EndpointID, at *table.Instant) bool { return w.Now.Sub(*at) >= sameCrashWindow })
	if slices.ContainsFunc(c.Parts, func(p event.CrashedPart) bool {
		s := w.PartSuspects.Get(p.Part)
		return s != nil && s.QuarantinedUntil != 0
	}) {
		w.ExplainedCrashes.Put(c.Endpoint, w.Now)
	}
	return w.ExplainedCrashes.Get(c.Endpoint) != nil
}

// objectToSuspicion clears the suspects that endpoints are answering requests with at
// this moment.
func objectToSuspicion(w *world.World, suspects []event.CrashedPart, own *event.PartReport) {
	disputed := make(map[table.Fingerprint]bool)
	for _, p := range suspects {
		if s := w.PartSuspects.Get(p.Part); s != nil && len(s.Crashes) >= objectionCount {
			disputed[p.Part] = true
		}
	}
	if len(disputed) == 0 {
		return
	}
	sound := answeringParts(w, func(f table.Fingerprint) bool { return disputed[f] })
	for _, p := range suspects {
		if sound[p.Part] {
			clearPart(w, p.Part, "a request with it is being answered")
			own.Cleared = addUnique(own.Cleared, p.Part)
		}
	}
}

// quarantineSuspect quarantines the suspect with the most crashes if these reach the
// limit. Of several that crashed alike, it is the one furthest back in the prompt: the
// parts before it may be in more requests. If the choice is wrong, the next crash counts
// for one of the others only.
func quarantineSuspect(w *world.World, suspects []event.CrashedPart) *event.QuarantineEntry {
	var worst *table.PartSuspect
	var chosen event.CrashedPart
	for _, p := range suspects {
		s := w.PartSuspects.Get(p.Part)
		if s == nil || float64(len(s.Crashes)) < w.Config.Defaults.CrashLimit {
			continue
		}
		if worst == nil || cmp.Or(cmp.Compare(len(s.Crashes), len(worst.Crashes)), cmp.Compare(p.Position, chosen.Position)) > 0 {
			worst, chosen = s, p
		}
	}
	if worst == nil {
		return nil
	}
	duration := min(minPartQuarantine<<min(worst.Quarantines, maxDoublings), quarantineDuration)
	quarantinePart(w, chosen.Part, w.Now.Add(duration), fmt.Sprintf("%d endpoints crashed with it", len(worst.Crashes)))
	return &event.QuarantineEntry{Fingerprint: chosen.Part, Remaining: duration}
}

// countPartCrash counts a crash for a part. It returns false if the crash was counted
// before or is no further evidence.
func countPartCrash(w *world.World, endpoint table.EndpointID, p event.CrashedPart) bool {
	s := w.PartSuspects.Get(p.Part)
	if s == nil {
		s = w.PartSuspects.Put(p.Part, table.PartSuspect{})
	}
	if s.QuarantinedUntil != 0 {
		return false
	}
	for _, c := range s.Crashes {
		if c.Endpoint == endpoint && (w.Now.Sub(c.At) < sameCrashWindow || w.Now.Add(-p.SinceSent) <= c.At) {
			return false
		}
	}
	if n := len(s.Crashes); n > 0 {
		last := s.Crashes[n-1].At
		if w.Now.Sub(last) < minCrashGap && w.Now.Add(-p.SinceSent) <= last {
			return false
		}
	}
	s.Crashes = append(s.Crashes, table.PartCrash{Endpoint: endpoint, At: w.Now})
	w.PartSuspectTimers.Schedule(p.Part, partExpiry(s))
	w.Count("quarantine.part_crashes")
	if n := len(s.Crashes); n >= minLoggedCrashes {
		w.RecordStateChange("prompt_part", partName(p.Part), "", "suspect", fmt.Sprintf("crash %d, of endpoint %s", n, endpoint))
	}
	return true
}

// isSuspect reports whether there is anything against a part. The record of one that was
// cleared is kept for a while.
func isSuspect(s *table.PartSuspect) bool { return len(s.Crashes) > 0 || s.QuarantinedUntil != 0 }

func partName(f table.Fingerprint) string { return fmt.Sprintf("%016x", uint64(f)) }

// clearPart forgets the crashes of a part that proved sound, and ends its quarantine.
func clearPart(w *world.World, f table.Fingerprint, reason string) {
	s := w.PartSuspects.Get(f)
	if s == nil || !isSuspect(s) {
		return
	}
	w.Count("quarantine.parts_cleared")
	if s.QuarantinedUntil == 0 && s.Quarantines == 0 {
		if len(s.Crashes) >= minLoggedCrashes {
			w.RecordStateChange("prompt_part", partName(f), "suspect", "", reason)
			*s = table.PartSuspect{ClearedAt: w.Now}
			w.PartSuspectTimers.Schedule(f, partExpiry(s))
			return
		}
		w.PartSuspects.Delete(f)
		return
	}
	*s = table.PartSuspect{ClearedAt: w.Now}
	w.PartSuspectTimers.Schedule(f, partExpiry(s))
	w.RecordStateChange("prompt_part", partName(f), "quarantined", "", reason)
	scheduleListCheck(w, f)
}

// quarantinePart starts or extends the quarantine of a part.
func quarantinePart(w *world.World, f table.Fingerprint, until table.Instant, reason string) {
	s, from := w.PartSuspects.Get(f), "suspect"
	if s == nil {
		s, from = w.PartSuspects.Put(f, table.PartSuspect{}), ""
	}
	if s.QuarantinedUntil == 0 {
		s.Quarantines++
		w.Count("quarantine.parts_quarantined")
		w.RecordStateChange("prompt_part", partName(f), from, "quarantined", reason)
	}
	rank := partRank(w, f)
	s.ClearedAt, s.QuarantinedUntil = 0, max(s.QuarantinedUntil, until)
	s.ReleaseAt = s.QuarantinedUntil.Add(time.Duration(rank) * releaseStagger)
	w.PartSuspectTimers.Schedule(f, partExpiry(s))
	scheduleListCheck(w, f)
}

// partRank returns how many connected routers precede this one in a duty for a part.
func partRank(w *world.World, f table.Fingerprint) int {
	ownHash := rendezvousHash(w.Self().Process, f)
	rank := 0
	w.RouterPeers.Each(func(id table.ProcessID, p *table.RouterPeer) {
		if p.Connected && rendezvousHash(id, f) > ownHash {
			rank++
		}
	})
	return rank
}

// applyEntries quarantines parts that another router or the store names, and reports
// whether one was not in quarantine before.
func applyEntries(w *world.World, entries []event.QuarantineEntry, reason string) bool {
	quarantined := false
	for _, e := range entries {
		s := w.PartSuspects.Get(e.Fingerprint)
		if s != nil && s.ClearedAt != 0 && w.Now.Sub(s.ClearedAt) < clearedMemory || e.Remaining <= 0 {
			continue
		}
		quarantined = quarantined || s == nil || s.QuarantinedUntil == 0
		quarantinePart(w, e.Fingerprint, w.Now.Add(min(e.Remaining, quarantineDuration)), reason)
	}
	return quarantined
}

// partExpiry returns when the record of a part changes or ends by itself.
func partExpiry(s *table.PartSuspect) table.Instant {
	switch {
	case s.QuarantinedUntil != 0:
		return s.ReleaseAt
	case s.ClearedAt != 0 && len(s.Crashes) == 0:
		return s.ClearedAt.Add(clearedMemory)
	case s.Quarantines > 0 && len(s.Crashes) > 0:
		return s.Crashes[len(s.Crashes)-1].At.Add(2 * quarantineDuration)
	case len(s.Crashes) > 0:
		return s.Crashes[len(s.Crashes)-1].At.Add(fullWeightTime)
	}
	return s.ReleaseAt.Add(quarantineDuration)
}

// removeExpiredParts ends quarantines and forgets old crashes. After a quarantine a part
// stays suspect, so that a further crash starts the next one.
func removeExpiredParts(w *world.World) {
	for f, due := w.PartSuspectTimers.PopDue(w.Now); due; f, due = w.PartSuspectTimers.PopDue(w.Now) {
		s := w.PartSuspects.Get(f)
		if s == nil {
			continue
		}
		if expiry := partExpiry(s); expiry > w.Now {
			w.PartSuspectTimers.Schedule(f, expiry)
			continue
		}
		if s.QuarantinedUntil == 0 {
			w.PartSuspects.Delete(f)
			continue
		}
		limit := max(1, int(w.Config.Defaults.CrashLimit))
		s.QuarantinedUntil, s.Trial = 0, 0
		s.Crashes = slices.Repeat([]table.PartCrash{{At: w.Now}}, limit-1)
		w.PartSuspectTimers.Schedule(f, partExpiry(s))
		w.RecordStateChange("prompt_part", partName(f), "quarantined", "suspect", "its quarantine ended")
	}
	w.WakeAt(w.PartSuspectTimers.NextDue())
}

// RefusePart reports whether a new request is refused because of a part of its prompt,
// and for how long. A part that was quarantined before is admitted for one request at a
// time; the exchange then becomes its trial.
func RefusePart(w *world.World, parts []table.PromptPart, exchange table.ExchangeID) (retryAfter time.Duration, part string, refused bool) {
	if w.PartSuspects.Len() == 0 {
		return 0, "", false
	}
	var trials []*table.PartSuspect
	for i, f := range sharedParts(parts) {
		s := w.PartSuspects.Get(f)
		switch {
		case s == nil:
		case s.QuarantinedUntil != 0:
			return s.ReleaseAt.Sub(w.Now), parts[i].ID, true
		case s.Quarantines > 0:
			if w.Exchanges.Get(s.Trial) != nil {
				return trialRetryAfter, parts[i].ID, true
			}
			trials = append(trials, s)
		}
	}
	for _, s := range trials {
		s.Trial = exchange
	}
	return 0, "", false
}

// HasQuarantinedPart reports whether a part of a prompt is in quarantine.
func HasQuarantinedPart(w *world.World, parts []table.PromptPart) bool {
	if w.PartSuspects.Len() == 0 {
		return false
	}
	return slices.ContainsFunc(sharedParts(parts), func(f table.Fingerprint) bool {
		s := w.PartSuspects.Get(f)
		return s != nil && s.QuarantinedUntil != 0
	})
}

// endExchanges ends the requests with a quarantined part that wait or whose answer has
// not begun. It scans all exchanges; quarantines are rare.
func endExchanges(w *world.World) {
	var ended []*table.Exchange
	w.Exchanges.Each(func(_ table.ExchangeID, x *table.Exchange) {
		waits := x.State == table.ExchangeReserving || x.State == table.ExchangePlacing
		if !waits && (x.State != table.ExchangeRunning || x.AnswerStarted) || !HasQuarantinedPart(w, x.PromptParts) {
			return
		}
		ended = append(ended, x)
	})
	for _, x := range ended {
		outcome := table.Outcome{Code: table.CodeQuarantined, Reason: PartReason, Ran: table.RanUnknown}
		if x.State != table.ExchangeRunning && !x.MayHaveRun {
			outcome.Ran, outcome.RetryAfter = table.NotRun, minPartQuarantine
		}
		if x.State == table.ExchangeRunning {
			// The endpoint may have begun to work on it.
			w.ExplainedCrashes.Put(x.Endpoint, w.Now)
		}
		w.Count("quarantine.exchanges_ended")
		w.RecordAttemptDecision(x, System, "ended: "+PartReason, table.Input{Name: "parts", Value: sharedPartIDs(x.PromptParts)})
		w.FinishExchange(x, false, outcome)
	}
}

// greetRouters sends the quarantined parts to the routers that connected in this tick.
func greetRouters(w *world.World) {
	if len(w.In.SessionsOpened) == 0 {
		return
	}
	entries := quarantinedEntries(w)
	if len(entries) == 0 {
		return
	}
	var to []table.Holder
	for i := range w.In.SessionsOpened {
		to = append(to, w.In.SessionsOpened[i].Process.Holder)
	}
	w.Out.Crashes = append(w.Out.Crashes, command.SendCrash{To: to, Crash: event.Crash{Parts: &event.PartReport{Quarantined: entries}}})
}

func quarantinedEntries(w *world.World) []event.QuarantineEntry {
	var entries []event.QuarantineEntry
	w.PartSuspects.Each(func(f table.Fingerprint, s *table.PartSuspect) {
		if s.QuarantinedUntil > w.Now {
			entries = append(entries, event.QuarantineEntry{Fingerprint: f, Remaining: s.QuarantinedUntil.Sub(w.Now)})
		}
	})
	return entries
}
