package allowance

import (
	"slices"
	"strconv"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// lowShare is the part of the wanted margin below which more is asked for
	// although no request waits, if the ledger can add gainShare of it.
	lowShare  = 2
	gainShare = 4
	// lowInterval and spentInterval bound the writes of one router for low margins,
	// and those that only tell the other routers what was spent, in a fleet of
	// fleetUnit routers. In a larger one they grow with it, so that the calls to
	// the store do not.
	lowInterval   = 300 * time.Millisecond
	spentInterval = 2 * time.Second
	fleetUnit     = 4
	// conflictStep spreads the writers that lost against another one, by the
	// number of routers: a write takes some milliseconds.
	conflictStep = 4 * time.Millisecond
	// staleAfter is the age from which the known ledger may have changed enough
	// to try a write for a waiting request although it showed nothing left.
	staleAfter = time.Second
	// firstBackoff and longestBackoff bound the delay after a failed call.
	firstBackoff   = 30 * time.Millisecond
	longestBackoff = 500 * time.Millisecond
	// maxLater bounds the changes that are kept until the one before them arrives,
	// behindAfter the time that it may be on its way between two routers.
	maxLater    = 16
	behindAfter = 50 * time.Millisecond
)

// onAnswer takes over what a call says of the ledger. After an answer that was
// lost, the limits stay at the lower of the old and the proposed ones until a
// later call shows which of them is recorded.
func onAnswer(w *world.World, e *event.LimitLedgerAnswer) {
	s := &w.LimitShare
	s.Calling = false
	switch e.Status {
	case event.CallOK, event.CallConflict:
		if e.Status == event.CallOK {
			written(w, e)
		}
		if !s.Known {
			w.Change("ledger", "limits", "unknown", "known", "revision "+strconv.FormatUint(e.Revision, 10))
		}
		s.Known, s.Unsure, s.Confirmed, s.Backoff = true, false, s.CalledAt, 0
		// What was asked for may be recorded by now; if not, it is asked for again.
		s.Requested = false
		if e.Revision >= s.Revision {
			s.Revision, s.Content = e.Revision, e.Content
		}
		follow(w)
		takeOver(w)
		if e.Status == event.CallConflict {
			conflict(w)
		}
	case event.CallNotApplied:
		dropRequests(w)
		w.Count("allowance.calls_refused")
		if !s.Unsure {
			takeOver(w)
		}
		delay(w)
	default:
		s.Unsure = true
		dropRequests(w)
		w.Count("allowance.calls_unanswered")
		delay(w)
	}
}

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

// conflict spreads the next writes of the routers that lost against another one.
// The first conflict of a router in a small fleet costs no delay: few others are
// likely to try again at the same time.
func conflict(w *world.World) {
	s := &w.LimitShare
	w.Count("allowance.conflicts")
	s.Conflicts++
	if s.Conflicts > 1 || s.Routers > fleetUnit {
		longest := int64(conflictStep) * int64(max(1, s.Routers))
		s.NextTry = w.Now.Add(time.Duration(w.Rand.Int64N(longest)))
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

func delay(w *world.World) {
	s := &w.LimitShare
	s.Backoff = min(max(2*s.Backoff, firstBackoff), longestBackoff)
	half := s.Backoff / 2
	s.NextTry = w.Now.Add(half + time.Duration(w.Rand.Int64N(int64(half)+1)))
	w.WakeAt(s.NextTry)
}

// takeOver sets the limits to what the ledger records.
func takeOver(w *world.World) {
	own := w.LimitShare.Content.Find(w.Self())
	w.LimitShare.Routers = routers(&w.LimitShare.Content)
	if own == nil && w.LimitShare.Closing {
		// The closing write took effect, perhaps although its answer was lost.
		w.LimitShare.Closed = true
		return
	}
	if own == nil {
		// The entry was closed by a later process of this name: its limits count as
		// spent in the ledger, and this router may still spend them.
		w.Accounts.Each(func(_ table.CustomerID, a *table.Account) {
			a.Base, a.Recorded = a.Base+a.Recorded, 0
			a.Limit = a.Base
		})
		return
	}
	for c, entry := range own.Entries {
		a := account(w, c)
		if a.Recorded != entry.Limit {
			w.Change("limit", string(c), amount(a.Recorded), amount(entry.Limit), "spent "+amount(a.Spent)+", reserved "+amount(a.Reserved))
		}
		a.Recorded = entry.Limit
	}
	w.Accounts.Each(func(_ table.CustomerID, a *table.Account) { a.Limit = a.Base + a.Recorded })
}

func amount(n table.Tokens) string { return strconv.FormatInt(int64(n), 10) }

// routers counts the names of processes in the ledger.
func routers(l *table.LimitLedger) int {
	names := make(map[table.ProcessID]bool, len(l.Holders))
	for i := range l.Holders {
		names[l.Holders[i].Process] = true
	}
	return len(names)
}

// planWrite sends the next write of the ledger, or asks another router for it, if
// one is due.
func planWrite(w *world.World) {
	s := &w.LimitShare
	if s.Calling || s.Closed || w.Manifest.Version == 0 || !due(w) {
		return
	}
	if s.NextTry > w.Now {
		w.WakeAt(s.NextTry)
		return
	}
	content := propose(w)
	lower(w, &content)
	s.Calling, s.CalledAt, s.CalledRevision = true, w.Now, s.Revision
	w.Out.LimitWrites = append(w.Out.LimitWrites, command.WriteLimits{Revision: s.Revision, Content: content})
	w.Count("allowance.writes")
}

// due reports whether a write of this router is worth its call now.
func due(w *world.World) bool {
	s := &w.LimitShare
	if !s.Known {
		return true
	}
	own := s.Content.Find(w.Self())
	if w.Closing {
		return w.Exchanges.Len() == 0 || own != nil && surplus(w) && dueAt(w, s.WrittenAt.Add(scaled(w, lowInterval)))
	}
	n := needOf(w, own)
	if n.lowers && dueAt(w, s.WrittenAt.Add(scaled(w, spentInterval))) || own != nil && requested(w) {
		return true
	}
	if behind(w) {
		// The call conflicts, and its answer has the whole ledger.
		return dueAt(w, s.WrittenAt.Add(lowInterval))
	}
	if writer := chooseWriter(w, own != nil); writer != nil {
		return !request(w, writer, own, n)
	}
	return dueFor(w, n.urgency, s.WrittenAt, scaled(w, lowInterval), scaled(w, spentInterval))
}

// urgency says how soon the ledger must change for a router.
type urgency int

const (
	urgencyNone urgency = iota
	// urgencySpent only tells the others what was spent.
	urgencySpent
	// urgencyLow fills margins up.
	urgencyLow
	// urgencyWaiting serves a request that waits.
	urgencyWaiting
)

// need is what a router wants from a change of the ledger.
type need struct {
	urgency urgency
	// lowers is true if it would give back a part of its limits.
	lowers bool
}

func needOf(w *world.World, own *table.LimitHolder) need {
	s := &w.LimitShare
	if own == nil {
		// Without an entry nothing can be spent.
		return need{urgency: urgencyWaiting}
	}
	n := need{urgency: urgencyNone}
	count := table.Tokens(max(1, s.Routers))
	w.Prepaids.Each(func(c table.CustomerID, p *table.Prepaid) {
		if !p.Limited {
			return
		}
		a := account(w, c)
		left := p.Total - s.Content.Allocated(c)
		target := limit(w, a, p, &s.Content, count)
		n.lowers = n.lowers || target < a.Recorded
		if left < 0 && a.Recorded > 0 {
			n.urgency = max(n.urgency, urgencyLow)
		}
		if a.Missing > 0 && !asking(w, a) && (left >= a.Missing || s.Confirmed.Add(scaled(w, staleAfter)) <= w.Now) {
			n.urgency = urgencyWaiting
		}
		if want := wanted(w, a, p); a.Free() < want/lowShare && target-a.Recorded > want/gainShare {
			n.urgency = max(n.urgency, urgencyLow)
		}
		if a.Net() != own.Entries[c].Spent {
			n.urgency = max(n.urgency, urgencySpent)
		}
	})
	return n
}

// dueFor reports whether a change of an urgency is due after one at last.
func dueFor(w *world.World, u urgency, last table.Instant, low, spent time.Duration) bool {
	switch u {
	case urgencyWaiting:
		return true
	case urgencyLow:
		return dueAt(w, last.Add(low))
	case urgencySpent:
		return dueAt(w, last.Add(spent))
	}
	return false
}

// surplus reports whether limits are recorded that a router which shuts down
// does not need.
func surplus(w *world.World) bool {
	more := false
	w.Accounts.Each(func(_ table.CustomerID, a *table.Account) {
		more = more || a.Recorded > a.Used()-a.Base
	})
	return more
}

// scaled returns an interval for the size of the fleet.
func scaled(w *world.World, d time.Duration) time.Duration {
	return max(d, d*time.Duration(w.LimitShare.Routers)/fleetUnit)
}

func dueAt(w *world.World, at table.Instant) bool {
	if at <= w.Now {
		return true
	}
	w.WakeAt(at)
	return false
}
