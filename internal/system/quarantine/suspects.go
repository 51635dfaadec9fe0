package quarantine

import (
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// urgentCrashes is the number of crashes from which a part is quarantined although
	// several of them may have a common cause: the users' bound counts from the fifth. They
	// must come at minUrgentIncidents moments at least.
	urgentCrashes      = 5
	minUrgentIncidents = 2
	// overlapTime is how long after the start of a quarantine requests with its parts may still
	// end endpoints: those that were sent before, or by routers which learn of it late.
	overlapTime = 3 * time.Second
	// overlapCrashes is the number of crashes that must come in this time to count against
	// parts which share crashes with the quarantined ones, unless there are urgentCrashes in
	// all.
	overlapCrashes = 2
	// nearlyMost sets which part of the crashes may have other causes: one in nearlyMost.
	nearlyMost = 4
	// maxCombinations bounds the combinations of parts that are considered.
	maxCombinations = 16
)

// suspect is a part that may explain crashes.
type suspect struct {
	part    table.Fingerprint
	crashes []*table.EndpointCrash
	// incidents counts the crashes without those that may have the cause of the one before.
	incidents int
}

// explainCrashes quarantines what may have caused crashes that no quarantine explains,
// until nothing explains enough of them.
//
// A crash shows that one of the prompts that the endpoint had not answered beyond the
// beginning has a part at fault, or that something else ended it. Which part of a prompt it
// is shows only when requests differ: parts that came together at each crash are quarantined
// together, so that requests which lack one of them go on and prove the others sound.
func explainCrashes(w *world.World) {
	enlargeCombinations(w)
	crashes := crashesInOrder(w)
	for began := true; began; {
		began = false
		combinations := explanations(w, crashes)
		for _, parts := range combinations {
			if w.PartQuarantines.Get(combinationKey(parts)) == nil {
				beginQuarantine(w, parts, crashes, len(combinations) > 1)
				began = true
			}
		}
	}
}

// explanations returns the combinations of parts that explain the same crashes, some of
// which nothing explains yet: the largest ones that are in a prompt at each of these crashes.
func explanations(w *world.World, crashes []*table.EndpointCrash) [][]table.Fingerprint {
	suspects := convictable(w, crashes)
	if len(suspects) == 0 {
		return nil
	}
	if common := commonParts(w, suspects); len(common) > 0 {
		return common
	}
	// Parts that more requests have are at more crashes by coincidence, so that of the suspects
	// with nearly the most crashes the one with the fewest counts. Beside a part that no request
	// was answered with, those that some were are left out.
	most := len(slices.MaxFunc(suspects, byCrashes).crashes)
	isRare := func(s suspect) bool { return nearlyMost*len(s.crashes) < (nearlyMost-1)*most }
	rarest := slices.MinFunc(slices.DeleteFunc(suspects, isRare), byCrashes)
	isProven := func(f table.Fingerprint) bool { return wasSound(w, f, proofLifetime) }
	combinations := combinationsAt(w, rarest.crashes, func(f table.Fingerprint) bool { return isProven(f) && !isProven(rarest.part) })
	// Another part explains these crashes alike only if it is at all of them already.
	return slices.DeleteFunc(combinations, func(parts []table.Fingerprint) bool {
		isAbsent := func(c *table.EndpointCrash) bool { return !mayExplain(parts, c) }
		return !slices.Contains(parts, rarest.part) && slices.ContainsFunc(rarest.crashes, isAbsent)
	})
}

func byCrashes(a, b suspect) int { return len(a.crashes) - len(b.crashes) }

// commonParts returns the combinations of the parts with the most crashes, once the users'
// bound counts: smaller ones would take a further crash for each part that changes. It
// returns none if one part alone has the most, as it may be in all requests.
func commonParts(w *world.World, suspects []suspect) [][]table.Fingerprint {
	worst := slices.MaxFunc(suspects, byCrashes)
	if len(worst.crashes) < urgentCrashes {
		return nil
	}
	isAtAll := func(f table.Fingerprint) bool {
		return slices.ContainsFunc(suspects, func(s suspect) bool { return s.part == f && len(s.crashes) == len(worst.crashes) })
	}
	common := combinationsAt(w, worst.crashes, func(f table.Fingerprint) bool { return !isAtAll(f) })
	if slices.ContainsFunc(common, func(parts []table.Fingerprint) bool { return len(parts) == 1 }) {
		return nil
	}
	return common
}

// combinationsAt returns the largest combinations of parts that are in a prompt at each of
// some crashes, without those to be left out. A crash whose reports may not have come all is
// no reason to leave out a part if there are others.
func combinationsAt(w *world.World, crashes []*table.EndpointCrash, leaveOut func(table.Fingerprint) bool) [][]table.Fingerprint {
	if complete := onlyComplete(w, crashes); len(complete) > 0 {
		crashes = complete
	}
	var combinations [][]table.Fingerprint
	for i, c := range crashes {
		prompts := make([][]table.Fingerprint, 0, len(c.Prompts))
		for _, prompt := range c.Prompts {
			prompts = append(prompts, slices.DeleteFunc(slices.Clone(prompt), leaveOut))
		}
		if i == 0 {
			combinations = prompts
		}
		combinations = intersections(combinations, prompts)
	}
	return combinations
}

func onlyComplete(w *world.World, crashes []*table.EndpointCrash) []*table.EndpointCrash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c *table.EndpointCrash) bool { return !isComplete(w, c) })
}

// enlargeCombinations adds the parts to a quarantine that were in the same prompts at all of
// its crashes. The report that shows them may come after the others about a crash.
func enlargeCombinations(w *world.World) {
	crashes := crashesInOrder(w)
	isProven := func(f table.Fingerprint) bool { return wasSound(w, f, proofLifetime) }
	larger := make(map[table.Fingerprint][]table.Fingerprint)
	w.PartQuarantines.Each(func(key table.Fingerprint, q *table.PartQuarantine) {
		if w.Now.Sub(q.BeganAt) > 2*reportTime {
			return
		}
		own := slices.DeleteFunc(slices.Clone(crashes), func(c *table.EndpointCrash) bool { return !mayExplain(q.Parts, c) })
		if len(onlyComplete(w, own)) < len(own) {
			return
		}
		for _, parts := range combinationsAt(w, own, isProven) {
			if len(parts) > len(q.Parts) && containsAll(parts, q.Parts) {
				larger[key] = parts
			}
		}
	})
	var keys []table.Fingerprint
	w.PartQuarantines.Each(func(key table.Fingerprint, _ *table.PartQuarantine) {
		if larger[key] != nil {
			keys = append(keys, key)
		}
	})
	for _, key := range keys {
		changeParts(w, key, larger[key], "at each crash there were more parts")
	}
}

// intersections returns the largest combinations that are in one of the given ones and in
// one of the prompts.
func intersections(combinations, prompts [][]table.Fingerprint) [][]table.Fingerprint {
	var found [][]table.Fingerprint
	for _, combination := range combinations {
		for _, prompt := range prompts {
			found = addLargest(found, intersection(combination, prompt))
		}
	}
	return found
}

func intersection(combination, prompt []table.Fingerprint) []table.Fingerprint {
	var common []table.Fingerprint
	for _, f := range combination {
		if slices.Contains(prompt, f) {
			common = append(common, f)
		}
	}
	return common
}

// addLargest adds a combination unless another contains it, and removes those that it
// contains.
func addLargest(list [][]table.Fingerprint, parts []table.Fingerprint) [][]table.Fingerprint {
	contains := func(other []table.Fingerprint) bool { return containsAll(other, parts) }
	if len(parts) == 0 || slices.ContainsFunc(list, contains) {
		return list
	}
	list = slices.DeleteFunc(list, func(other []table.Fingerprint) bool { return containsAll(parts, other) })
	if len(list) == maxCombinations {
		return list
	}
	return append(list, parts)
}

// convictable returns the parts that explain enough crashes, and enough of those that
// nothing explains yet.
func convictable(w *world.World, crashes []*table.EndpointCrash) []suspect {
	if float64(len(crashes)) < w.Config.Defaults.CrashLimit {
		return nil
	}
	var unexplained []*table.EndpointCrash
	for _, c := range crashes {
		if !isExplained(w, c) {
			unexplained = append(unexplained, c)
		}
	}
	var suspects []suspect
	seen := make(map[table.Fingerprint]bool)
	for _, c := range unexplained {
		for _, prompt := range c.Prompts {
			for _, f := range prompt {
				if seen[f] {
					continue
				}
				seen[f] = true
				if s := newSuspect(f, crashes); isConvictable(w, &s, unexplained) {
					suspects = append(suspects, s)
				}
			}
		}
	}
	isProven := func(s suspect) bool { return wasSound(w, s.part, proofLifetime) }
	if unproven := slices.DeleteFunc(slices.Clone(suspects), isProven); len(unproven) > 0 {
		return unproven
	}
	return suspects
}

// newSuspect returns which of some crashes a part may explain.
func newSuspect(f table.Fingerprint, crashes []*table.EndpointCrash) suspect {
	s := suspect{part: f}
	last := (*table.EndpointCrash)(nil)
	for _, c := range crashes {
		if !mayExplain([]table.Fingerprint{f}, c) {
			continue
		}
		s.crashes = append(s.crashes, c)
		if last == nil || !hasCommonCause(last, c, f) {
			s.incidents++
			last = c
		}
	}
	return s
}

// hasCommonCause reports whether a crash may have the cause of another one just before.
func hasCommonCause(last, c *table.EndpointCrash, f table.Fingerprint) bool {
	sent := c.Sent.Get(f)
	return c.At.Sub(last.At) < minCrashGap && (sent == nil || sent.First <= last.At)
}

// isConvictable reports whether there is enough evidence against a part. One that a request
// was answered with has to explain enough crashes that nothing else explains.
func isConvictable(w *world.World, s *suspect, unexplained []*table.EndpointCrash) bool {
	if wasSound(w, s.part, proofLifetime) {
		alone := newSuspect(s.part, unexplained)
		return reachesLimit(w, &alone)
	}
	if !reachesLimit(w, s) {
		return false
	}
	until, isUrgent := overlapEnd(w, s), len(s.crashes) >= urgentCrashes
	inOverlap := 0
	for _, c := range s.crashes {
		// A report that is still to come may name what is in quarantine.
		if !slices.Contains(unexplained, c) || until != 0 && !isUrgent && !isComplete(w, c) {
			continue
		}
		if inOverlap++; c.At >= until || inOverlap == overlapCrashes || isUrgent {
			return true
		}
	}
	return false
}

// reachesLimit reports whether a part may explain enough crashes.
func reachesLimit(w *world.World, s *suspect) bool {
	isUrgent := len(s.crashes) >= urgentCrashes && s.incidents >= minUrgentIncidents
	return float64(s.incidents) >= w.Config.Defaults.CrashLimit || isUrgent
}

// overlapEnd returns until when crashes may be due to quarantined parts although no report
// names these: requests with them may have ended an endpoint unseen.
func overlapEnd(w *world.World, s *suspect) table.Instant {
	until := table.Instant(0)
	w.PartQuarantines.Each(func(_ table.Fingerprint, q *table.PartQuarantine) {
		if slices.ContainsFunc(s.crashes, func(c *table.EndpointCrash) bool { return mayExplain(q.Parts, c) }) {
			until = max(until, q.BeganAt.Add(overlapTime))
		}
	})
	return until
}
