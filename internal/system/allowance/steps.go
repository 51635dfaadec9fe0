package allowance

import (
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// maxOutOfOrderSteps bounds the steps that are kept until a preceding one
	// arrives. missingStepTimeout is how long the preceding step may take to
	// arrive from another router.
	maxOutOfOrderSteps = 16
	missingStepTimeout = 50 * time.Millisecond
)

// onWriteApplied handles a successful write and sends its step to the other
// routers, which keeps their copies of the ledger current. The step is the
// difference from Content, which is still at the revision that the write was
// conditional on.
func onWriteApplied(w *world.World, e *event.LimitLedgerResult) {
	s := &w.LimitLedgerView
	s.WrittenAt, s.ConsecutiveConflicts = s.CallSentAt, 0
	removeWrittenRequests(w)
	if s.CallRestores {
		sendStep(w, e.Content.Whole(e.Revision))
		return
	}
	if s.CallRevision == 0 || s.Revision != s.CallRevision || e.Revision <= s.Revision {
		return
	}
	step := s.Content.Diff(&e.Content)
	step.Previous, step.Revision = s.CallRevision, e.Revision
	for _, h := range step.Removed {
		logClosedEntry(w, s.Content.Find(h))
	}
	sendStep(w, step)
}

func sendStep(w *world.World, step table.LedgerStep) {
	w.Out.LedgerChanges = append(w.Out.LedgerChanges, command.SendLedgerChange{
		Change: event.LedgerChange{InEra: w.InEra(), LedgerStep: step},
	})
}

// logClosedEntry logs the limits that a write closed for a router that exited
// without closing its entry: tokens that it had not recorded as spent may be
// lost to the customers.
func logClosedEntry(w *world.World, h *table.LimitHolder) {
	if h.Holder == w.Self() {
		return
	}
	for c, e := range h.Entries {
		w.RecordStateChange("limit", string(c), formatTokens(e.Limit), "closed", "left by "+string(h.Process)+", which had recorded "+formatTokens(e.Spent)+" as spent")
	}
}

// onLedgerChange queues the step of another router's write and applies the
// queued steps that are next in order. Steps of two writers may arrive out of
// order.
func onLedgerChange(w *world.World, e *event.LedgerChange) {
	s := &w.LimitLedgerView
	if e.Full && e.Revision == 0 {
		onEarlierLedger(w, &e.LedgerStep)
		return
	}
	if !s.ContentKnown || e.Revision <= e.Previous || e.Revision <= s.Revision {
		return
	}
	if e.Full {
		onWholeLedger(w, &e.LedgerStep)
		return
	}
	if len(s.OutOfOrderSteps) == 0 {
		s.OutOfOrderSince = w.Now
	}
	s.OutOfOrderSteps = append(s.OutOfOrderSteps, e.LedgerStep)
	applyFollowingSteps(w)
	if len(s.OutOfOrderSteps) > maxOutOfOrderSteps {
		s.OutOfOrderSteps = s.OutOfOrderSteps[1:]
	}
}

// applyFollowingSteps applies the queued steps that follow the known revision,
// and drops those that the known revision includes.
func applyFollowingSteps(w *world.World) {
	s := &w.LimitLedgerView
	// A content that the store does not have is no base for a step.
	for !s.RestoreDue {
		i := slices.IndexFunc(s.OutOfOrderSteps, func(step table.LedgerStep) bool { return step.Previous == s.Revision })
		if i < 0 {
			break
		}
		applyStep(w, &s.OutOfOrderSteps[i])
	}
	s.OutOfOrderSteps = slices.DeleteFunc(s.OutOfOrderSteps, func(step table.LedgerStep) bool { return step.Revision <= s.Revision })
}

// applyStep applies a step that follows the known revision. An open write of
// this router was conditional on that revision or an earlier one, so it can no
// longer take effect.
func applyStep(w *world.World, step *table.LedgerStep) {
	s := &w.LimitLedgerView
	content := s.Content.Apply(step)
	setContent(w, step.Revision, &content)
	s.ConfirmedAt, s.OutOfOrderSince = w.Now, w.Now
	updated := slices.ContainsFunc(step.Holders, func(h table.LimitHolder) bool { return h.Holder == w.Self() })
	if updated {
		s.LimitRequestOpen = false
		w.Count("allowance.requests_granted")
	}
	if updated || slices.Contains(step.Removed, w.Self()) {
		// The step's revision is above any that a write of this router was conditional on.
		s.WriteOutcomeUnknown = false
		adoptRecordedLimits(w)
	}
}

// stepMissing reports whether a preceding step has not arrived in time.
// Only a call to the store can then bring the copy of the ledger up to date.
func stepMissing(w *world.World) bool {
	s := &w.LimitLedgerView
	return len(s.OutOfOrderSteps) > 0 && w.DueOrWake(s.OutOfOrderSince.Add(missingStepTimeout))
}
