package quarantine

import (
	"cmp"
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// crashLifetime is how long a crash counts.
	crashLifetime = 20 * time.Minute
	// maxCrashes and maxCrashedPrompts bound the memory for crashes.
	maxCrashes        = 256
	maxCrashedPrompts = 64
	// reportTime is how long reports of a crash may come after the first one. Until then it is
	// not known what the crash does not show.
	reportTime = 100 * time.Millisecond
	// sameCrashWindow is how long reports about an endpoint concern the same crash.
	sameCrashWindow = time.Second
	// minCrashGap is the least time between two crashes that count for a part if requests with
	// it that the second cut off were sent before the first. Endpoints that a common cause
	// ends at once would otherwise count several times.
	minCrashGap = 200 * time.Millisecond
)

// recordCrash records a report of a crash, as a new crash or with the reports of the same
// one before.
func recordCrash(w *world.World, reported *event.EndpointCrash) {
	prompts := promptsOf(reported)
	if len(prompts) == 0 {
		return
	}
	number := sameCrash(w, reported)
	if number == 0 {
		number = addCrashRow(w, reported)
	}
	c := w.EndpointCrashes.Get(number)
	known := len(c.Prompts)
	for i := range reported.Parts {
		p := &reported.Parts[i]
		sent := table.SentPeriod{First: w.Now.Add(-max(p.SinceSent, p.SinceFirstSent)), Last: w.Now.Add(-p.SinceSent)}
		if other := c.Sent.Get(p.Part); other != nil {
			sent = table.SentPeriod{First: min(sent.First, other.First), Last: max(sent.Last, other.Last)}
		}
		c.Sent.Put(p.Part, sent)
	}
	for _, prompt := range prompts {
		if !hasPrompt(c.Prompts, prompt) && len(c.Prompts) < maxCrashedPrompts {
			c.Prompts = append(c.Prompts, prompt)
		}
	}
	if len(c.Prompts) > known {
		w.WeighAt = w.Now
	}
	if reported.Age == 0 {
		renewQuarantines(w, c, known)
	}
}

// isComplete reports whether all reports of a crash should have come.
func isComplete(w *world.World, c *table.EndpointCrash) bool { return w.Now.Sub(c.At) >= reportTime }

// hasPrompt reports whether a list has a prompt, whose parts are in ascending order.
func hasPrompt(prompts [][]table.Fingerprint, prompt []table.Fingerprint) bool {
	return slices.ContainsFunc(prompts, func(other []table.Fingerprint) bool { return slices.Equal(other, prompt) })
}

// promptsOf returns the prompts of a report.
func promptsOf(reported *event.EndpointCrash) [][]table.Fingerprint {
	indexes := reported.Prompts
	if len(indexes) == 0 {
		all := make([]int, len(reported.Parts))
		for i := range all {
			all[i] = i
		}
		indexes = [][]int{all}
	}
	var prompts [][]table.Fingerprint
	for _, of := range indexes {
		var prompt []table.Fingerprint
		for _, i := range of {
			if i >= 0 && i < len(reported.Parts) {
				prompt = addUnique(prompt, reported.Parts[i].Part)
			}
		}
		if len(prompt) > 0 {
			slices.Sort(prompt)
			prompts = append(prompts, prompt)
		}
	}
	return prompts
}

// addCrashRow adds a crash, and removes the first ones if there are too many.
func addCrashRow(w *world.World, reported *event.EndpointCrash) table.CrashNumber {
	w.LastCrash++
	at, stoppedAt := w.Now.Add(-reported.Age), w.StoppedAttempts.Get(reported.Endpoint)
	w.EndpointCrashes.Put(w.LastCrash, table.EndpointCrash{
		Endpoint: reported.Endpoint, At: at, Explained: stoppedAt != nil && at.Sub(*stoppedAt).Abs() < sameCrashWindow,
	})
	w.Count("quarantine.endpoint_crashes")
	oldest := w.LastCrash - maxCrashes
	w.EndpointCrashes.DeleteIf(func(n table.CrashNumber, _ *table.EndpointCrash) bool { return w.LastCrash > maxCrashes && n <= oldest })
	return w.LastCrash
}

// sameCrash returns the recorded crash that a report concerns, or 0. A report may be late:
// an attempt that was sent before a crash of its endpoint was cut off by that one.
func sameCrash(w *world.World, reported *event.EndpointCrash) table.CrashNumber {
	lastSent, at := table.Instant(0), w.Now.Add(-reported.Age)
	for i := range reported.Parts {
		lastSent = max(lastSent, w.Now.Add(-reported.Parts[i].SinceSent))
	}
	same := table.CrashNumber(0)
	w.EndpointCrashes.Each(func(n table.CrashNumber, c *table.EndpointCrash) {
		if c.Endpoint == reported.Endpoint && (at.Sub(c.At).Abs() < sameCrashWindow || lastSent <= c.At && at >= c.At) {
			same = max(same, n)
		}
	})
	return same
}

// crashesInOrder returns the recorded crashes, oldest first, without those that a stopped
// attempt may have caused.
func crashesInOrder(w *world.World) []*table.EndpointCrash {
	crashes := make([]*table.EndpointCrash, 0, w.EndpointCrashes.Len())
	w.EndpointCrashes.Each(func(_ table.CrashNumber, c *table.EndpointCrash) {
		if !c.Explained {
			crashes = append(crashes, c)
		}
	})
	slices.SortStableFunc(crashes, func(a, b *table.EndpointCrash) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return crashes
}

// mayExplain reports whether a combination of parts may have caused a crash: one of the
// prompts has all of them.
func mayExplain(parts []table.Fingerprint, c *table.EndpointCrash) bool {
	return isInAny(c.Prompts, parts)
}

// isInAny reports whether one of some prompts has all parts of a combination.
func isInAny(prompts [][]table.Fingerprint, parts []table.Fingerprint) bool {
	return slices.ContainsFunc(prompts, func(prompt []table.Fingerprint) bool { return containsAll(prompt, parts) })
}

// isExplained reports whether a crash is due to what is in quarantine already.
func isExplained(w *world.World, c *table.EndpointCrash) bool {
	explained := false
	w.PartQuarantines.Each(func(_ table.Fingerprint, q *table.PartQuarantine) {
		explained = explained || mayExplain(q.Parts, c)
	})
	return explained
}

// countCrashes returns the number of recorded crashes that a part may have caused.
func countCrashes(w *world.World, f table.Fingerprint) int {
	n := 0
	w.EndpointCrashes.Each(func(_ table.CrashNumber, c *table.EndpointCrash) {
		if mayExplain([]table.Fingerprint{f}, c) {
			n++
		}
	})
	return n
}

// isSuspect reports whether a part is in a recorded crash or in quarantine.
func isSuspect(w *world.World, f table.Fingerprint) bool {
	suspect := countCrashes(w, f) > 0
	w.PartQuarantines.Each(func(_ table.Fingerprint, q *table.PartQuarantine) {
		suspect = suspect || slices.Contains(q.Parts, f)
	})
	return suspect
}

// clearFromCrashes removes a part from all crashes, and the crashes that nothing else may
// explain.
func clearFromCrashes(w *world.World, f table.Fingerprint) {
	w.EndpointCrashes.DeleteIf(func(_ table.CrashNumber, c *table.EndpointCrash) bool {
		var prompts [][]table.Fingerprint
		for _, prompt := range c.Prompts {
			prompt = slices.DeleteFunc(prompt, func(other table.Fingerprint) bool { return other == f })
			if len(prompt) > 0 && !hasPrompt(prompts, prompt) {
				prompts = append(prompts, prompt)
			}
		}
		c.Prompts = prompts
		return len(prompts) == 0
	})
	if w.PartQuarantines.Len() > 0 {
		w.WeighAt = w.Now
	}
}

func removeExpiredCrashes(w *world.World) {
	next := table.Never
	w.EndpointCrashes.DeleteIf(func(_ table.CrashNumber, c *table.EndpointCrash) bool {
		expiry := c.At.Add(crashLifetime)
		if expiry > w.Now {
			next = min(next, expiry)
		}
		return expiry <= w.Now
	})
	w.WakeAt(next)
	w.StoppedAttempts.DeleteIf(func(_ table.EndpointID, at *table.Instant) bool { return w.Now.Sub(*at) >= sameCrashWindow })
}
