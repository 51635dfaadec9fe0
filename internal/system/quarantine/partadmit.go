package quarantine

import (
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// PartReason is the reason of refusals because of a part of the prompt.
const PartReason = "endpoints died while they ran requests with a part of this prompt"

// RefusePart reports whether a new request is refused because of a part of its prompt,
// and for how long. A part that was quarantined before is admitted for one request at a
// time. It changes nothing.
func RefusePart(w *world.World, parts []table.PromptPart) (retryAfter time.Duration, part string, refused bool) {
	if w.PartSuspects.Len() == 0 {
		return 0, "", false
	}
	for i, f := range sharedParts(parts) {
		s := w.PartSuspects.Get(f)
		switch {
		case s == nil:
		case s.QuarantinedUntil != 0:
			return s.ReleaseAt.Sub(w.Now), parts[i].ID, true
		case s.Quarantines > 0 && w.Exchanges.Get(s.Trial) != nil:
			return trialRetryAfter, parts[i].ID, true
		}
	}
	return 0, "", false
}

// BeginTrials makes an admitted request the trial of the parts of its prompt that were
// quarantined before.
func BeginTrials(w *world.World, parts []table.PromptPart, exchange table.ExchangeID) {
	if w.PartSuspects.Len() == 0 {
		return
	}
	for _, f := range sharedParts(parts) {
		if s := w.PartSuspects.Get(f); s != nil && s.QuarantinedUntil == 0 && s.Quarantines > 0 {
			s.Trial = exchange
		}
	}
}

// HasQuarantinedPart reports whether a part of a prompt is in quarantine.
func HasQuarantinedPart(w *world.World, parts []table.PromptPart) bool {
	if w.PartSuspects.Len() == 0 {
		return false
	}
	return slices.ContainsFunc(sharedParts(parts), func(f table.Fingerprint) bool { return isPartQuarantined(w, f) })
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
