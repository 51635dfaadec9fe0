package quarantine

import (
	"slices"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// withdrawRedundant ends the quarantines whose crashes others explain better, and tells the
// other routers if this one reports crashes or proofs.
func withdrawRedundant(w *world.World, own *event.PartReport) {
	if w.PartQuarantines.Len() == 0 {
		return
	}
	crashes := onlyComplete(w, crashesInOrder(w))
	var redundant []table.Fingerprint
	w.PartQuarantines.Each(func(key table.Fingerprint, q *table.PartQuarantine) {
		w.PartQuarantines.Each(func(otherKey table.Fingerprint, other *table.PartQuarantine) {
			if key != otherKey && isSettled(w, q) && !slices.Contains(redundant, key) && explainsBetter(other, q, crashes) {
				redundant = append(redundant, key)
			}
		})
	})
	for _, key := range redundant {
		endQuarantine(w, key, "others explain the crashes")
		if len(own.Crashes) > 0 || len(own.Cleared) > 0 {
			own.Withdrawn = append(own.Withdrawn, key)
		}
	}
	settleDoubt(w, crashes)
}

// isSettled reports whether all reports that a quarantine is based on should have come.
func isSettled(w *world.World, q *table.PartQuarantine) bool {
	return w.Now.Sub(q.BeganAt) >= reportTime
}

// explainsBetter reports whether a quarantine explains all crashes of another one and more
// of them, or the same ones with fewer requests.
func explainsBetter(other, q *table.PartQuarantine, crashes []*table.EndpointCrash) bool {
	own, others := 0, 0
	for _, c := range crashes {
		if mayExplain(other.Parts, c) {
			others++
		} else if mayExplain(q.Parts, c) {
			return false
		}
		if mayExplain(q.Parts, c) {
			own++
		}
	}
	if own == 0 {
		// Another router has counted the crashes. What includes the requests of the
		// quarantine makes it superfluous.
		return others > 0 && containsAll(q.Parts, other.Parts)
	}
	return others > own || len(other.Parts) > len(q.Parts) && containsAll(other.Parts, q.Parts)
}

// settleDoubt makes the doubtful quarantines that are the only ones to explain their crashes
// usual ones.
func settleDoubt(w *world.World, crashes []*table.EndpointCrash) {
	w.PartQuarantines.Each(func(key table.Fingerprint, q *table.PartQuarantine) {
		if !q.Doubtful {
			return
		}
		rival := false
		w.PartQuarantines.Each(func(otherKey table.Fingerprint, other *table.PartQuarantine) {
			rival = rival || otherKey != key && slices.ContainsFunc(crashes, func(c *table.EndpointCrash) bool {
				return mayExplain(q.Parts, c) && mayExplain(other.Parts, c)
			})
		})
		if !rival {
			q.Doubtful = false
			extend(w, key, q, w.Now.Add(quarantineTime(q)))
		}
	})
}
