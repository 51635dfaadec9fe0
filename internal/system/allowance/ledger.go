package allowance

import (
	"strconv"
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// conflictStep spreads the writers that lost against another one, by the
	// number of routers: a write takes some milliseconds.
	conflictStep = 4 * time.Millisecond
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
