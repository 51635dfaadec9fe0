package quarantine

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// proofLifetime is how long after its last answer a part is less suspect than one without
	// any.
	proofLifetime = 10 * time.Minute
	// clearedMemory is how long after an answer lists and messages that name the part are
	// disregarded: they may be older.
	clearedMemory = time.Minute
	// maxSoundParts bounds the table of sound parts.
	maxSoundParts = 20_000
	// objectionCount is the number of crashes from which a router tells the others that an
	// answer in progress shows a part to be sound. With the first crash, each router with an
	// answer to a common part would send a message.
	objectionCount = 2
)

// isAnswered reports whether the end of an attempt shows that the endpoint can answer its
// prompt.
func isAnswered(e *event.DirectAttemptEnd) bool {
	return e.Status == event.DirectAnswered && e.HTTPStatus/100 == 2 && !e.Undelimited
}

// proveSound records that an endpoint answered a prompt. Parts that were blamed until now
// are added to own.
func proveSound(w *world.World, x *table.Exchange, own *event.PartReport) {
	for _, f := range sharedParts(x.PromptParts) {
		if isSuspect(w, f) {
			own.Cleared = addUnique(own.Cleared, f)
		}
		markSound(w, f)
	}
}

func markSound(w *world.World, f table.Fingerprint) {
	isNew := w.SoundParts.Get(f) == nil
	if isNew && w.SoundParts.Len() >= maxSoundParts {
		w.SoundParts.DeleteIf(func(_ table.Fingerprint, at *table.Instant) bool { return w.Now.Sub(*at) > proofLifetime/2 })
	}
	if !isNew || w.SoundParts.Len() < maxSoundParts {
		w.SoundParts.Put(f, w.Now)
	}
}

// wasSound reports whether a request with a part was answered within a period.
func wasSound(w *world.World, f table.Fingerprint, within time.Duration) bool {
	at := w.SoundParts.Get(f)
	return at != nil && w.Now.Sub(*at) <= within
}

// withoutProof returns the parts that no request was answered with, or all if there are
// none. Of the parts of a prompt that crashed an endpoint, those are suspect first.
func withoutProof(w *world.World, parts []table.Fingerprint) []table.Fingerprint {
	var unproven []table.Fingerprint
	for _, f := range parts {
		if !wasSound(w, f, proofLifetime) {
			unproven = append(unproven, f)
		}
	}
	if len(unproven) == 0 {
		return parts
	}
	return unproven
}

// answeringParts returns the parts of the requests whose answers have gone on beyond their
// beginning. It scans all exchanges; crashes are rare.
func answeringParts(w *world.World) map[table.Fingerprint]bool {
	sound := make(map[table.Fingerprint]bool)
	w.Exchanges.Each(func(_ table.ExchangeID, x *table.Exchange) {
		if x.State != table.ExchangeRunning || !x.AnswerContinued {
			return
		}
		for _, f := range sharedParts(x.PromptParts) {
			sound[f] = true
		}
	})
	return sound
}

// objectToSuspicion clears the parts that a report blames although requests with them are
// being answered at this router, and adds them to own.
func objectToSuspicion(w *world.World, r, own *event.PartReport) {
	var disputed []table.Fingerprint
	for i := range r.Crashes {
		for _, p := range r.Crashes[i].Parts {
			if countCrashes(w, p.Part) >= objectionCount {
				disputed = append(disputed, p.Part)
			}
		}
	}
	for _, e := range r.Quarantined {
		disputed = append(disputed, partsOf(e)...)
	}
	if len(disputed) == 0 {
		return
	}
	sound := answeringParts(w)
	for _, f := range disputed {
		if sound[f] {
			clearPart(w, f)
			own.Cleared = addUnique(own.Cleared, f)
		}
	}
}

// clearPart removes a part that proved sound from the crashes and the quarantines.
func clearPart(w *world.World, f table.Fingerprint) {
	markSound(w, f)
	clearFromCrashes(w, f)
	clearFromQuarantines(w, f)
}
