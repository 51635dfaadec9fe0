package quarantine

import (
	"fmt"
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// earlyQuarantine is how long the first quarantine lasts while fewer than urgentCrashes
	// are counted, firstQuarantine how long from then on. Each further one lasts twice as
	// long, up to quarantineDuration: parts may be quarantined by coincidence, and only a
	// request that is sent can show that they are sound.
	earlyQuarantine = 2 * time.Minute
	firstQuarantine = 10 * time.Minute
	maxDoublings    = 10
	// settledRounds and settledCrashes are the round and the number of crashes from which a
	// quarantine lasts longestQuarantine: the users' bound allows three requests after the
	// fifth crash. Of the attempts that the quarantine stopped, maxStopped count as crashes.
	settledRounds     = 5
	settledCrashes    = urgentCrashes + 2
	maxStopped        = 3
	longestQuarantine = 24 * time.Hour
	// lastDoubtfulCrash is the number of crashes from which doubt is no reason for trials.
	lastDoubtfulCrash = urgentCrashes + 2
	// trialTurn is how long each router may begin a trial before it is the next one's turn. It
	// is enough for an endpoint to begin its answer.
	trialTurn = 5 * time.Second
	// minRemaining is how long a quarantine that has ended lasts at routers of earlier releases
	// which connect.
	minRemaining = time.Second
)

// combinationKey returns the key of a combination, given in ascending order: the part
// itself, or a hash of several.
func combinationKey(parts []table.Fingerprint) table.Fingerprint {
	if len(parts) == 1 {
		return parts[0]
	}
	return partFingerprint(partNames(parts))
}

// partsOf returns the parts that an entry names.
func partsOf(e event.QuarantineEntry) []table.Fingerprint {
	if len(e.Parts) > 0 {
		return e.Parts
	}
	return []table.Fingerprint{e.Fingerprint}
}

// newEntry returns the entry of a quarantine.
func newEntry(w *world.World, key table.Fingerprint, q *table.PartQuarantine) event.QuarantineEntry {
	e := event.QuarantineEntry{Fingerprint: key, Remaining: q.Until.Sub(w.Now), Rounds: q.Rounds, Crashes: q.Crashes}
	if e.Remaining <= 0 {
		e.Remaining, e.SinceEnd = minRemaining, w.Now.Sub(q.Until)
	}
	if len(q.Parts) > 1 {
		e.Parts = slices.Clone(q.Parts)
	}
	return e
}

// beginQuarantine quarantines a combination because of the crashes that it explains. While
// it is doubtful, one request at a time is admitted from the start, which decides.
func beginQuarantine(w *world.World, parts []table.Fingerprint, crashes []*table.EndpointCrash, doubtful bool) {
	q := table.PartQuarantine{Parts: parts, BeganAt: w.Now, Rounds: 1}
	for _, c := range crashes {
		if mayExplain(parts, c) {
			q.Crashes++
		}
	}
	q.Doubtful = doubtful && q.Crashes < lastDoubtfulCrash
	duration := quarantineTime(&q)
	if q.Doubtful {
		duration = 0
	}
	putQuarantine(w, q, w.Now.Add(duration), fmt.Sprintf("%d endpoints crashed with it", q.Crashes))
}

// quarantineTime returns how long a quarantine lasts from now on.
func quarantineTime(q *table.PartQuarantine) time.Duration {
	first := earlyQuarantine
	switch {
	case q.Rounds >= settledRounds || q.Crashes+q.Stopped >= settledCrashes:
		return longestQuarantine
	case q.Crashes >= urgentCrashes:
		first = firstQuarantine
	}
	return min(first<<min(q.Rounds-1, maxDoublings), quarantineDuration)
}

// putQuarantine adds a quarantine, or extends the one of the same parts.
func putQuarantine(w *world.World, q table.PartQuarantine, until table.Instant, reason string) {
	key := combinationKey(q.Parts)
	row := w.PartQuarantines.Get(key)
	if row == nil {
		row = w.PartQuarantines.Put(key, q)
		w.Count("quarantine.parts_quarantined")
		w.RecordStateChange("prompt_part", partNames(q.Parts), "", "quarantined", reason)
	}
	row.Doubtful = row.Doubtful && q.Doubtful
	row.Rounds, row.Crashes = max(row.Rounds, q.Rounds), max(row.Crashes, q.Crashes)
	extend(w, key, row, until)
}

// extend sets the end of a quarantine, if it is later.
func extend(w *world.World, key table.Fingerprint, q *table.PartQuarantine, until table.Instant) {
	q.Until, q.ChangedAt = max(q.Until, until), w.Now
	w.PartQuarantineTimers.Schedule(key, quarantineExpiry(q))
	scheduleListCheck(w, key)
}

// quarantineExpiry returns when a quarantine is forgotten that nothing ended.
func quarantineExpiry(q *table.PartQuarantine) table.Instant { return q.Until.Add(quarantineDuration) }

// isOwnTurn reports whether this router may begin a trial now, or how long it is until it or
// another one may. The routers take turns, so that requests which come at several of them at
// once are no more than one trial.
func isOwnTurn(w *world.World, q *table.PartQuarantine) (isTurn bool, wait time.Duration) {
	if w.Now < q.Until {
		return false, q.Until.Sub(w.Now)
	}
	routers := 1
	w.RouterPeers.Each(func(_ table.ProcessID, p *table.RouterPeer) {
		if p.Connected {
			routers++
		}
	})
	turn := int(w.Now.Sub(q.Until)/trialTurn) % routers
	return turn == partRank(w, combinationKey(q.Parts)), trialRetryAfter
}

// renewQuarantines counts a crash for the quarantines that explain it with the prompts that
// came after the first known ones, and extends them: each crash makes it less likely that
// they are due to coincidence. For one that had ended, the trial failed.
func renewQuarantines(w *world.World, c *table.EndpointCrash, known int) {
	w.PartQuarantines.Each(func(key table.Fingerprint, q *table.PartQuarantine) {
		if isInAny(c.Prompts[:known], q.Parts) || !isInAny(c.Prompts[known:], q.Parts) {
			return
		}
		q.Crashes++
		if q.Doubtful = q.Doubtful && q.Crashes < lastDoubtfulCrash; q.Doubtful {
			return
		}
		hadEnded := w.Now >= q.Until
		if hadEnded {
			q.Rounds++
			q.Trial = 0
		}
		extend(w, key, q, w.Now.Add(quarantineTime(q)))
		if !hadEnded {
			return
		}
		w.RecordStateChange("prompt_part", partNames(q.Parts), "trial", "quarantined", "endpoint "+string(c.Endpoint)+" crashed with it")
	})
}

// applyEntry quarantines what another router or the store names.
func applyEntry(w *world.World, e event.QuarantineEntry, reason string) {
	parts := slices.Clone(withoutProof(w, partsOf(e)))
	if e.Remaining <= 0 || slices.ContainsFunc(parts, func(f table.Fingerprint) bool { return wasSound(w, f, clearedMemory) }) {
		return
	}
	slices.Sort(parts)
	q := table.PartQuarantine{Parts: slices.Compact(parts), BeganAt: w.Now, Rounds: max(1, e.Rounds), Crashes: e.Crashes}
	until := w.Now.Add(min(e.Remaining, longestQuarantine))
	if e.SinceEnd > 0 {
		until = w.Now.Add(-e.SinceEnd)
	}
	putQuarantine(w, q, until, reason)
}

// clearFromQuarantines removes a part that proved sound. A quarantine of several parts goes
// on with the others.
func clearFromQuarantines(w *world.World, f table.Fingerprint) {
	var keys []table.Fingerprint
	w.PartQuarantines.Each(func(key table.Fingerprint, q *table.PartQuarantine) {
		if slices.Contains(q.Parts, f) {
			keys = append(keys, key)
		}
	})
	for _, key := range keys {
		w.Count("quarantine.parts_cleared")
		rest := slices.DeleteFunc(slices.Clone(w.PartQuarantines.Get(key).Parts), func(other table.Fingerprint) bool { return other == f })
		changeParts(w, key, rest, "a request with "+partName(f)+" was answered")
	}
}

// changeParts lets a quarantine go on with other parts, or ends it if there are none.
func changeParts(w *world.World, key table.Fingerprint, parts []table.Fingerprint, reason string) {
	q := *w.PartQuarantines.Get(key)
	endQuarantine(w, key, reason)
	if q.Parts = parts; len(parts) > 0 {
		putQuarantine(w, q, q.Until, reason)
	}
}

func endQuarantine(w *world.World, key table.Fingerprint, reason string) {
	w.RecordStateChange("prompt_part", partNames(w.PartQuarantines.Get(key).Parts), "quarantined", "", reason)
	w.PartQuarantines.Delete(key)
	scheduleListCheck(w, key)
}

// partRank returns how many connected routers precede this one in a duty for a combination.
func partRank(w *world.World, key table.Fingerprint) int {
	ownHash := rendezvousHash(w.Self().Process, key)
	rank := 0
	w.RouterPeers.Each(func(id table.ProcessID, p *table.RouterPeer) {
		if p.Connected && rendezvousHash(id, key) > ownHash {
			rank++
		}
	})
	return rank
}

// quarantinedEntries returns the quarantines of parts and requests that have not ended.
func quarantinedEntries(w *world.World) []event.QuarantineEntry {
	var entries []event.QuarantineEntry
	w.PartQuarantines.Each(func(key table.Fingerprint, q *table.PartQuarantine) {
		if q.Until > w.Now {
			entries = append(entries, newEntry(w, key, q))
		}
	})
	for _, f := range w.Quarantined.Keys() {
		if until, quarantined := Active(w, f); quarantined {
			entries = append(entries, event.QuarantineEntry{Fingerprint: f, Remaining: until.Sub(w.Now), IsRequest: true})
		}
	}
	return entries
}

// changedEntries returns the quarantines that began or were extended in this tick, for the
// other routers.
func changedEntries(w *world.World) []event.QuarantineEntry {
	var entries []event.QuarantineEntry
	w.PartQuarantines.Each(func(key table.Fingerprint, q *table.PartQuarantine) {
		if q.ChangedAt == w.Now && !q.Doubtful {
			entries = append(entries, newEntry(w, key, q))
		}
	})
	return entries
}

// removeExpiredParts forgets old crashes and quarantines. What was quarantined once is
// admitted one request at a time until then.
func removeExpiredParts(w *world.World) {
	for key, due := w.PartQuarantineTimers.PopDue(w.Now); due; key, due = w.PartQuarantineTimers.PopDue(w.Now) {
		q := w.PartQuarantines.Get(key)
		if q == nil {
			continue
		}
		if expiry := quarantineExpiry(q); expiry > w.Now {
			w.PartQuarantineTimers.Schedule(key, expiry)
			continue
		}
		endQuarantine(w, key, "no request came after it")
	}
	w.WakeAt(w.PartQuarantineTimers.NextDue())
	removeExpiredCrashes(w)
}
