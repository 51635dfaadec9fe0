package quarantine

import (
	"slices"
	"strings"
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// PartReason is the reason of refusals because of parts of the prompt.
const PartReason = "endpoints died while they ran requests with a part of this prompt"

// trialRetryAfter is the retry delay sent to clients while another request shows whether a
// combination is sound.
const trialRetryAfter = time.Second

// RefusePart reports whether a new request is refused because of parts of its prompt, which
// ones, and for how long. What was quarantined before is admitted for one request at a time.
// It changes nothing.
func RefusePart(w *world.World, parts []table.PromptPart) (retryAfter time.Duration, ids string, refused bool) {
	if w.PartQuarantines.Len() == 0 {
		return 0, "", false
	}
	eachQuarantine(w, parts, func(q *table.PartQuarantine) {
		isTurn, wait := isOwnTurn(w, q)
		inTrial := w.Exchanges.Get(q.Trial) != nil
		if (!isTurn || inTrial) && wait > retryAfter {
			retryAfter, ids, refused = wait, idsOf(parts, q), true
		}
	})
	return retryAfter, ids, refused
}

// eachQuarantine calls fn for the quarantines that concern a prompt.
func eachQuarantine(w *world.World, parts []table.PromptPart, fn func(*table.PartQuarantine)) {
	if w.PartQuarantines.Len() == 0 || len(parts) < 2 {
		return
	}
	prompt := sharedParts(parts)
	w.PartQuarantines.Each(func(_ table.Fingerprint, q *table.PartQuarantine) {
		if containsAll(prompt, q.Parts) {
			fn(q)
		}
	})
}

// idsOf returns the ids of a quarantine's parts in a prompt.
func idsOf(parts []table.PromptPart, q *table.PartQuarantine) string {
	var ids []string
	for _, p := range parts {
		if containsAll(q.Parts, []table.Fingerprint{partFingerprint(p.ID)}) {
			ids = append(ids, p.ID)
		}
	}
	return strings.Join(ids, ",")
}

// BeginTrials makes an admitted request the trial of what was quarantined before.
func BeginTrials(w *world.World, parts []table.PromptPart, exchange table.ExchangeID) {
	eachQuarantine(w, parts, func(q *table.PartQuarantine) { q.Trial = exchange })
}

// HasQuarantinedPart reports whether parts of the prompt of an exchange are in quarantine,
// so that it must not be sent again.
func HasQuarantinedPart(w *world.World, x *table.Exchange) bool {
	quarantined := false
	eachQuarantine(w, x.PromptParts, func(q *table.PartQuarantine) {
		quarantined = quarantined || w.Now < q.Until || q.Trial != x.ID
	})
	return quarantined
}

// endExchanges ends the requests that wait, or whose answer has not begun, and that a
// quarantine concerns which has just begun or changed. Those at an endpoint go on while it is
// doubtful which combination is at fault: their answers may show it. It scans all exchanges;
// quarantines are rare.
func endExchanges(w *world.World) {
	changed := false
	w.PartQuarantines.Each(func(_ table.Fingerprint, q *table.PartQuarantine) { changed = changed || q.ChangedAt == w.Now })
	if !changed {
		return
	}
	var ended []*table.Exchange
	w.Exchanges.Each(func(_ table.ExchangeID, x *table.Exchange) {
		if mustEnd(w, x) {
			ended = append(ended, x)
		}
	})
	for _, x := range ended {
		outcome := table.Outcome{Code: table.CodeQuarantined, Reason: PartReason, Ran: table.RanUnknown}
		if x.State != table.ExchangeRunning && !x.MayHaveRun {
			outcome.Ran, outcome.RetryAfter = table.NotRun, trialRetryAfter
			if wait, _, refused := RefusePart(w, x.PromptParts); refused {
				outcome.RetryAfter = wait
			}
		}
		hasEnded := slices.ContainsFunc(w.In.DirectAttemptEnds, func(e event.DirectAttemptEnd) bool { return e.Exchange == x.ID && e.Attempt == x.Attempt })
		if x.State == table.ExchangeRunning && !hasEnded {
			// The endpoint may have begun to work on it.
			w.StoppedAttempts.Put(x.Endpoint, w.Now)
			eachQuarantine(w, x.PromptParts, func(q *table.PartQuarantine) { q.Stopped = min(q.Stopped+1, maxStopped) })
		}
		w.Count("quarantine.exchanges_ended")
		w.RecordAttemptDecision(x, System, "ended: "+PartReason, table.Input{Name: "parts", Value: sharedPartIDs(x.PromptParts)})
		w.FinishExchange(x, false, outcome)
	}
}

// mustEnd reports whether endExchanges ends an exchange.
func mustEnd(w *world.World, x *table.Exchange) bool {
	waits := x.State == table.ExchangeReserving || x.State == table.ExchangePlacing
	runs := x.State == table.ExchangeRunning && !x.AnswerStarted
	end := false
	eachQuarantine(w, x.PromptParts, func(q *table.PartQuarantine) {
		end = end || q.Trial != x.ID && (waits || runs && !q.Doubtful)
	})
	return end
}
