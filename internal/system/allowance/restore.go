package allowance

import (
	"fmt"
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/delegate"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// After the store has returned from an older copy, the ledger lacks what was written since the
// copy was made: limits that routers have may look unallocated. Nobody but the routers can
// write that again. Each of them knows the whole last ledger. The first to write in the new
// era records what it knew in place of the copy, and each router states its own entry, which
// it alone knows for certain. Until all have done so, no limit is raised; what routers have,
// they go on spending.

const (
	// minRestatementTime is how long routers always have to state their entries after the
	// ledger was first read in a new era. One that started just before is in no ledger that
	// another router knows, and takes connectTime to connect.
	minRestatementTime = connectTime + 400*time.Millisecond
	// restatementTimeout is how long routers may take to state their entries after the ledger
	// was first read in a new era. Then those that did not are taken to have what the others
	// know of them: they have ended, or reach neither the store nor another router.
	restatementTimeout = 5 * time.Second
	// restorePollInterval is how often a process that knows no ledger but the copy looks
	// whether another router has restored it.
	restorePollInterval = 200 * time.Millisecond
)

// beginEra keeps what is known of the ledger apart from what the store shows from now on. A
// write without an answer leaves each limit at the lower of its values, which holds in any
// case.
func beginEra(w *world.World) {
	s := &w.LimitLedgerView
	if s.Complete && (!s.EarlierKnown || s.Earlier.Version.Before(s.Content.Version)) {
		s.EarlierKnown, s.Earlier = true, s.Content
		if s.RestoreDue {
			// The content is that of a write which was not made in time.
			s.Earlier.Version.Writes++
		}
	}
	s.Revision, s.UnansweredRevision, s.WriteOutcomeUnknown, s.RestoreDue, s.ReadInEraAt = 0, 0, false, false, 0
	s.OutOfOrderSteps, s.LimitRequestOpen, s.ConsecutiveConflicts, s.RetryAt, s.Backoff = nil, false, 0, 0, 0
	dropAllRequests(w)
	w.Accounts.Each(func(_ table.CustomerID, a *table.Account) { a.RecordedLimit = a.Limit - a.ClosedLimit })
}

// receiveContent takes over a content of the ledger that the store has at a revision.
func receiveContent(w *world.World, revision uint64, stored *table.LimitLedger) {
	s := &w.LimitLedgerView
	if s.ReadInEraAt == 0 {
		s.ReadInEraAt = max(w.Now, 1)
	}
	current := w.StoreEra.Number
	content := *stored
	isCopy := stored.Version.Era != 0 && stored.Version.Era < current
	if isCopy && s.Complete && !s.EarlierKnown {
		// A write from before the return was carried out after it.
		s.EarlierKnown, s.Earlier = true, s.Content
	}
	s.RestoreDue = false
	switch {
	case isCopy && !s.EarlierKnown:
		// Only another router knows what the copy lacks.
		s.Complete = false
	case isCopy:
		if !s.Earlier.Version.Before(stored.Version) {
			content = s.Earlier
		}
		content.RestoredFrom = content.Version
		s.RestoreDue = true
	case s.EarlierKnown && stored.Version.Era == current && stored.RestoredFrom.Before(s.Earlier.Version):
		content = stored.Merge(&s.Earlier, current)
		s.RestoreDue = true
	default:
		s.Complete, s.EarlierKnown, s.Earlier = true, false, table.LimitLedger{}
	}
	if s.RestoreDue {
		w.Count("allowance.restorations")
		w.RecordStateChange("ledger", "limits", versionText(stored.Version), versionText(content.RestoredFrom),
			fmt.Sprintf("the store has less than this router knows; %d entries are written again", len(content.Holders)))
	}
	setContent(w, revision, &content)
}

func versionText(v table.LedgerVersion) string {
	return fmt.Sprintf("write %d of era %d", v.Writes, v.Era)
}

// onWholeLedger takes over the content that another router has written.
func onWholeLedger(w *world.World, step *table.LedgerStep) {
	s := &w.LimitLedgerView
	receiveContent(w, step.Revision, step.Content())
	s.ConfirmedAt, s.OutOfOrderSince = w.Now, w.Now
	applyFollowingSteps(w)
	if own := s.Content.Find(w.Self()); own != nil && isRecorded(w, own) {
		s.LimitRequestOpen = false
		adoptRecordedLimits(w)
	}
}

// WantsLedgerOf returns the router to ask for the ledger if this one only knows the copy that
// the store returned from: one that does not reach the store cannot write what it knows.
func WantsLedgerOf(w *world.World) table.Holder {
	s := &w.LimitLedgerView
	if !s.ContentKnown || s.Complete {
		return table.Holder{}
	}
	var connected []table.Holder
	w.RouterPeers.Each(func(_ table.ProcessID, p *table.RouterPeer) {
		if p.Connected {
			connected = append(connected, p.Holder)
		}
	})
	if len(connected) == 0 {
		return table.Holder{}
	}
	return connected[w.Rand.IntN(len(connected))]
}

// tellLedger sends another router the ledger as this one knows it, if the store lacks some of
// that.
func tellLedger(w *world.World, to table.Holder) {
	s := &w.LimitLedgerView
	if !s.EarlierKnown {
		return
	}
	w.Out.LedgerChanges = append(w.Out.LedgerChanges, command.SendLedgerChange{
		To: to, Change: event.LedgerChange{InEra: w.InEra(), LedgerStep: s.Earlier.Whole(0)},
	})
	w.Count("allowance.ledgers_told")
}

// onEarlierLedger takes what another router knows of the ledger before the store returned, if
// that is later than what this one knows, and lets the next write include it.
func onEarlierLedger(w *world.World, step *table.LedgerStep) {
	s := &w.LimitLedgerView
	known := s.Content.RestoredFrom
	switch {
	case s.EarlierKnown:
		known = s.Earlier.Version
	case !s.Complete:
		known = table.LedgerVersion{}
	}
	if known.Before(step.Version) {
		s.EarlierKnown, s.Earlier = true, *step.Content()
		s.Complete, s.RestoreDue, s.Revision = true, true, 0
	}
}

// needsStatement reports whether the ledger of this era lacks this router's own statement of
// its entry.
func needsStatement(w *world.World) bool {
	return w.StoreEra.Number != 0 && w.LimitLedgerView.StatedEra != w.StoreEra.Number
}

// isRecorded reports whether the ledger's word on this router's entry counts, own being nil if
// there is none. After a return of the store, it does once the router has stated its entry.
func isRecorded(w *world.World, own *table.LimitHolder) bool {
	s := &w.LimitLedgerView
	if s.RestoreDue || !s.Complete && s.StatedEra != 0 {
		return false
	}
	return !needsStatement(w) || own != nil && (own.StatedEra == 0 || own.StatedEra == w.StoreEra.Number)
}

// mayRaise reports whether tokens that the ledger does not allocate may be given out.
func mayRaise(w *world.World) bool {
	s := &w.LimitLedgerView
	current, history := w.StoreEra.Number, &s.Content.LedgerHistory
	if current == 0 || history.Version.Era == 0 || history.SettledEra == current {
		return true
	}
	if s.RestoreDue || !s.Complete || history.Version.Era != current || needsStatement(w) {
		return false
	}
	return allStated(w) && hasReadFor(w, minRestatementTime) || hasReadFor(w, restatementTimeout)
}

// hasReadFor reports whether this router first received a content in this era at least a time
// ago.
func hasReadFor(w *world.World, d time.Duration) bool {
	at := w.LimitLedgerView.ReadInEraAt
	return at != 0 && w.DueOrWake(at.Add(d))
}

// allStated reports whether the holders in the ledger, and the routers that are connected, have
// stated their entries in this era. What was restored may be older than a router's entry.
func allStated(w *world.World) bool {
	s := &w.LimitLedgerView
	if slices.ContainsFunc(s.Content.Holders, func(h table.LimitHolder) bool { return h.StatedEra != 0 && h.StatedEra != w.StoreEra.Number }) {
		return false
	}
	missing := false
	w.RouterPeers.Each(func(_ table.ProcessID, p *table.RouterPeer) {
		missing = missing || p.Connected && !s.Registered[p.Holder]
	})
	return !missing
}

// advanceHistory sets the version of a content that is about to be written.
func advanceHistory(w *world.World, proposal *table.LimitLedger, raise bool) {
	current := w.StoreEra.Number
	if current == 0 {
		return
	}
	if raise {
		proposal.SettledEra = current
	}
	proposal.Version = table.LedgerVersion{Era: current, Writes: proposal.Version.Writes + 1}
}

// awaitRestoration reports whether this process, which knows no ledger but the copy that the
// store returned from, has to wait for a router that knows more, and looks for it now and then.
func awaitRestoration(w *world.World) bool {
	s := &w.LimitLedgerView
	if !s.ContentKnown || s.Complete {
		return false
	}
	if w.Closing {
		s.EntryClosed = true
		return true
	}
	if !hasOtherRouters(w) || hasReadFor(w, restatementTimeout) {
		s.Complete, s.RestoreDue, s.Content.RestoredFrom = true, true, s.Content.Version
		w.Count("allowance.copies_accepted")
		w.RecordStateChange("ledger", "limits", versionText(s.Content.Version), "in use", "no router knows a later content")
		return false
	}
	if w.DueOrWake(max(s.RetryAt, s.CallSentAt.Add(restorePollInterval))) {
		// The ledger exists, so that the call only returns its content.
		sendWrite(w, 0, s.Content)
	}
	return true
}

// hasOtherRouters reports whether the ledger has entries of other processes than this one.
func hasOtherRouters(w *world.World) bool {
	return slices.ContainsFunc(w.LimitLedgerView.Content.Holders, func(h table.LimitHolder) bool { return h.Process != w.Self().Process })
}

// heldEntries returns the limits that this router has and what it has spent, if it has to
// state them.
func heldEntries(w *world.World) map[table.CustomerID]table.LimitEntry {
	if !needsStatement(w) {
		return nil
	}
	held := make(map[table.CustomerID]table.LimitEntry)
	w.Accounts.Each(func(c table.CustomerID, a *table.Account) {
		e := table.LimitEntry{Limit: a.RecordedLimit, Spent: a.NetSpent()}
		if e.Limit != 0 || e.Spent != 0 && delegate.For(w, string(c)).IncludesSelf {
			held[c] = e
		}
	})
	return held
}
