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
		} else {
			conflict(w)
		}
		if !s.Known {
			w.Change("ledger", "limits", "unknown", "known", "revision "+strconv.FormatUint(e.Revision, 10))
		}
		s.Known, s.Unsure, s.Confirmed, s.Backoff = true, false, s.CalledAt, 0
		if e.Revision >= s.Revision {
			s.Revision, s.Content = e.Revision, e.Content
		}
		takeOver(w)
	case event.CallNotApplied:
		w.Count("allowance.calls_refused")
		if !s.Unsure {
			takeOver(w)
		}
		delay(w)
	default:
		s.Unsure = true
		w.Count("allowance.calls_unanswered")
		delay(w)
	}
}

// written tells the other routers of a write that changed only this router's
// entry, so that their copies stay the same as the ledger.
func written(w *world.World, e *event.LimitLedgerAnswer) {
	s := &w.LimitShare
	s.WrittenAt, s.Conflicts = s.CalledAt, 0
	own := e.Content.Find(w.Self())
	if !s.OnlyOwn || own == nil || s.CalledRevision == 0 {
		return
	}
	w.Out.LedgerChanges = append(w.Out.LedgerChanges, command.SendLedgerChange{
		Change: event.LedgerChange{Previous: s.CalledRevision, Revision: e.Revision, Holder: *own},
	})
}

// conflict delays the next write if this router lost more than once in a row.
func conflict(w *world.World) {
	s := &w.LimitShare
	w.Count("allowance.conflicts")
	s.Conflicts++
	if s.Conflicts > 1 {
		longest := int64(conflictStep) * int64(max(1, w.LimitShare.Routers))
		s.NextTry = w.Now.Add(time.Duration(w.Rand.Int64N(longest)))
	}
}

// onChange follows a write of another router if it is the one that comes next.
// Otherwise this router's copy is old, and its next write will conflict.
func onChange(w *world.World, e *event.LedgerChange) {
	s := &w.LimitShare
	if !s.Known || s.Revision != e.Previous || e.Revision <= e.Previous || e.Holder.Holder == w.Self() {
		return
	}
	content := s.Content.Clone()
	content.Holders = slices.DeleteFunc(content.Holders, func(h table.LimitHolder) bool { return h.Holder == e.Holder.Holder })
	content.Holders = append(content.Holders, e.Holder)
	s.Revision, s.Content, s.Confirmed = e.Revision, content, w.Now
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

// planWrite sends the next write of the ledger if one is due.
func planWrite(w *world.World) {
	s := &w.LimitShare
	if s.Calling || s.Closed || w.Manifest.Version == 0 {
		return
	}
	if s.NextTry > w.Now {
		w.WakeAt(s.NextTry)
		return
	}
	if !due(w) {
		return
	}
	content := propose(w)
	lower(w, &content)
	s.Calling, s.CalledAt, s.CalledRevision = true, w.Now, s.Revision
	w.Out.LimitWrites = append(w.Out.LimitWrites, command.WriteLimits{Revision: s.Revision, Content: content})
	w.Count("allowance.writes")
}

// due reports whether a write is worth its call now.
func due(w *world.World) bool {
	s := &w.LimitShare
	if !s.Known {
		return true
	}
	own := s.Content.Find(w.Self())
	if w.Closing {
		return w.Exchanges.Len() == 0 || own != nil && surplus(w) && dueAt(w, s.WrittenAt.Add(scaled(w, lowInterval)))
	}
	if own == nil {
		return true
	}
	now, low, spent := false, false, false
	w.Prepaids.Each(func(c table.CustomerID, p *table.Prepaid) {
		if !p.Limited {
			return
		}
		a := account(w, c)
		left := p.Total - s.Content.Allocated(c)
		if left < 0 && a.Recorded > 0 {
			low = true
		}
		if a.Missing > 0 && !asking(w, a) && (left >= a.Missing || s.Confirmed.Add(staleAfter) <= w.Now) {
			now = true
		}
		if want := wanted(w, a, p); a.Free() < want/lowShare {
			gain := limit(w, a, p, &s.Content, table.Tokens(max(1, w.LimitShare.Routers))) - a.Recorded
			low = low || gain > want/gainShare
		}
		spent = spent || a.Net() != own.Entries[c].Spent
	})
	switch {
	case now:
		return true
	case low:
		return dueAt(w, s.WrittenAt.Add(scaled(w, lowInterval)))
	case spent:
		return dueAt(w, s.WrittenAt.Add(scaled(w, spentInterval)))
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
