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
	// maxLater bounds the changes that are kept until the one before them arrives,
	// behindAfter the time that it may be on its way between two routers.
	maxLater    = 16
	behindAfter = 50 * time.Millisecond
)

// written tells the other routers what a write changed, so that their copies stay
// the same as the ledger. Nothing else was written on the revision that it was on
// condition of, so the known content is still the one before it.
func written(w *world.World, e *event.LimitLedgerAnswer) {
	s := &w.LimitShare
	s.WrittenAt, s.Conflicts = s.CalledAt, 0
	endRequests(w)
	if s.CalledRevision == 0 || s.Revision != s.CalledRevision || e.Revision <= s.Revision {
		return
	}
	step := s.Content.StepTo(&e.Content)
	step.Previous, step.Revision = s.CalledRevision, e.Revision
	for _, h := range step.Removed {
		explainClosed(w, s.Content.Find(h))
	}
	w.Out.LedgerChanges = append(w.Out.LedgerChanges, command.SendLedgerChange{Change: event.LedgerChange{LedgerStep: step}})
}

// explainClosed tells what a router left behind that did not close its entry: what
// it had not recorded as spent may be lost to its customers.
func explainClosed(w *world.World, h *table.LimitHolder) {
	if h.Holder == w.Self() {
		return
	}
	for c, e := range h.Entries {
		w.Change("limit", string(c), amount(e.Limit), "closed", "left by "+string(h.Process)+", which had recorded "+amount(e.Spent)+" as spent")
	}
}

// onChange follows a write of another router if it is the one that comes next.
// One that does not follow on the known revision is kept: changes of two writers
// may arrive in the wrong order.
func onChange(w *world.World, e *event.LedgerChange) {
	s := &w.LimitShare
	if !s.Known || e.Revision <= e.Previous || e.Revision <= s.Revision {
		return
	}
	if len(s.Later) == 0 {
		s.LaterSince = w.Now
	}
	s.Later = append(s.Later, e.LedgerStep)
	follow(w)
	if len(s.Later) > maxLater {
		s.Later = s.Later[1:]
	}
}

// follow applies the changes that come next, and forgets those that are known.
func follow(w *world.World) {
	s := &w.LimitShare
	for {
		i := slices.IndexFunc(s.Later, func(l table.LedgerStep) bool { return l.Previous == s.Revision })
		if i < 0 {
			break
		}
		apply(w, &s.Later[i])
	}
	s.Later = slices.DeleteFunc(s.Later, func(l table.LedgerStep) bool { return l.Revision <= s.Revision })
}

// apply takes over a change that follows on the known revision. A write of this
// router that is still open was on condition of that revision or an earlier one,
// so it can no longer take effect.
func apply(w *world.World, l *table.LedgerStep) {
	s := &w.LimitShare
	s.Content = s.Content.Apply(l)
	s.Revision, s.Confirmed, s.LaterSince = l.Revision, w.Now, w.Now
	written := slices.ContainsFunc(l.Holders, func(h table.LimitHolder) bool { return h.Holder == w.Self() })
	if written {
		s.Requested = false
		w.Count("allowance.requests_granted")
	}
	if written || slices.Contains(l.Removed, w.Self()) {
		s.Unsure = false
		takeOver(w)
	}
}

// behind reports whether a change of the ledger was missed: only a call shows it.
func behind(w *world.World) bool {
	s := &w.LimitShare
	return len(s.Later) > 0 && dueAt(w, s.LaterSince.Add(behindAfter))
}
