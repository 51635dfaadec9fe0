package quarantine

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// System is the name of this system in recorded decisions.
const System = "quarantine"

// partFingerprint identifies a prompt part.
func partFingerprint(id string) table.Fingerprint {
	return table.Fingerprint(xxhash.Sum64String(id))
}

// partName is the name of a part in logs.
func partName(f table.Fingerprint) string { return fmt.Sprintf("%016x", uint64(f)) }

// partNames is the name of a combination of parts in logs.
func partNames(parts []table.Fingerprint) string {
	names := make([]string, 0, len(parts))
	for _, f := range parts {
		names = append(names, partName(f))
	}
	return strings.Join(names, "+")
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

// containsAll reports whether a prompt has all parts of a combination.
func containsAll(prompt, parts []table.Fingerprint) bool {
	return !slices.ContainsFunc(parts, func(f table.Fingerprint) bool { return !slices.Contains(prompt, f) })
}

func addUnique(list []table.Fingerprint, f table.Fingerprint) []table.Fingerprint {
	if slices.Contains(list, f) {
		return list
	}
	return append(list, f)
}

// recordLostConnection tells an endpoint that ended from one that lost an answer.
func recordLostConnection(w *world.World, x *table.Exchange, e *event.DirectAttemptEnd) {
	if !e.EndpointGone {
		w.Count("quarantine.attempts_lost")
		return
	}
	w.Count("quarantine.attempts_crashed")
	w.RecordAttemptDecision(x, System, "the endpoint ended as the answer began",
		table.Input{Name: "answer_started", Value: strconv.FormatBool(x.AnswerStarted)},
		table.Input{Name: "parts", Value: sharedPartIDs(x.PromptParts)})
}

// runParts records which crashes of endpoints prompt parts may explain, from what this
// router observed in the tick and from the reports of the others, and quarantines what
// explains too many. It also keeps the list in the store, tells the other routers, and
// removes what has expired.
func runParts(w *world.World, reports []receivedReport) {
	own := observeParts(w)
	for _, r := range reports {
		applyReport(w, r.report, own)
		tellSender(w, r)
	}
	applyReport(w, own, own)
	weighCrashes(w, own)
	runPartList(w, own)
	endExchanges(w)
	if len(own.Crashes) > 0 {
		own.Quarantined = changedEntries(w)
	}
	if !isEmpty(own) {
		report := event.Crash{ID: table.CrashID{Agent: w.Self()}, Parts: own}
		w.Out.Crashes = append(w.Out.Crashes, command.SendCrash{Crash: report})
	}
	greetRouters(w)
	removeExpiredParts(w)
}

// weighCrashes decides what is in quarantine because of the crashes, after these have changed
// or all reports of one should have come.
func weighCrashes(w *world.World, own *event.PartReport) {
	if w.EndpointCrashes.Len() == 0 && w.PartQuarantines.Len() == 0 || !w.DueOrWake(w.WeighAt) {
		return
	}
	explainCrashes(w)
	withdrawRedundant(w, own)
	w.WeighAt = table.Never
	w.EndpointCrashes.Each(func(_ table.CrashNumber, c *table.EndpointCrash) {
		if !isComplete(w, c) {
			w.WeighAt = min(w.WeighAt, c.At.Add(reportTime))
		}
	})
	w.PartQuarantines.Each(func(_ table.Fingerprint, q *table.PartQuarantine) {
		if !isSettled(w, q) {
			w.WeighAt = min(w.WeighAt, q.BeganAt.Add(reportTime))
		}
	})
	w.WakeAt(w.WeighAt)
}

// applyReport applies a report of this or another router. What the others have to know is
// added to own.
func applyReport(w *world.World, r, own *event.PartReport) {
	for i := range r.Crashes {
		recordCrash(w, &r.Crashes[i])
	}
	for _, f := range r.Cleared {
		clearPart(w, f)
	}
	objectToSuspicion(w, r, own)
	for _, e := range r.Quarantined {
		applyEntry(w, e, "another router quarantined it")
	}
	for _, key := range r.Withdrawn {
		if q := w.PartQuarantines.Get(key); q != nil {
			endQuarantine(w, key, "another router found that others explain the crashes")
		}
	}
	if l := &w.PartList; r.StoredVersion > l.Version {
		setStored(l, r.StoredVersion, r.Stored)
	}
}
