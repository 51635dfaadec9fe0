package budget

import (
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/ledger"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// firstReportDelay and maxReportDelay bound the delay before a report that
	// was not acknowledged is repeated.
	firstReportDelay = time.Second
	maxReportDelay   = 30 * time.Second
)

func onSliceGrant(w *world.World, e event.SliceGrant) {
	if w.Fences.Get(e.From) != nil {
		// Recovery counts the grant at the agents. An answer could return a slice
		// that was used and then forgotten.
		return
	}
	key := table.SliceKey{Peer: e.From, Slice: e.Slice}
	if e.Reported {
		forgetSlice(w, key)
		return
	}
	if s := w.SlicesIn.Get(key); s != nil {
		repeatReport(w, key, s)
		return
	}
	if accept(w, key, e) || e.Amount == 0 {
		return
	}
	// The answer came too late or twice. A slice that was never taken over goes
	// back unused; the grantor ignores the report if it was reported before.
	sendReport(w, key, e.Budget, 0, e.Amount)
}

// accept takes the answer to the open call of the budget, once per holder.
func accept(w *world.World, key table.SliceKey, e event.SliceGrant) bool {
	ask := w.SliceAsks.Get(e.Budget)
	if ask == nil || ask.Call != e.Call || slices.Contains(ask.Answered, e.From) {
		return false
	}
	ask.Answered = append(ask.Answered, e.From)
	ask.Open = slices.DeleteFunc(ask.Open, func(p table.ProcessID) bool { return p == e.From.Process })
	ask.Done = ask.Done || len(ask.Open) == 0
	ask.Released += e.Released
	expires := ask.SentAt.Add(e.Lifetime)
	if e.Amount <= 0 || expires <= w.Now {
		return false
	}
	b := row(w, e.Budget)
	b.SliceIn += e.Amount
	w.SlicesIn.Put(key, table.SliceIn{Budget: e.Budget, Amount: e.Amount, Expires: expires})
	slicesOf(w, e.Budget).Add(key)
	w.SliceInTimers.Set(key, expires)
	w.Count("budget.slices_in")
	return true
}

func slicesOf(w *world.World, id table.BudgetID) *table.Set[table.SliceKey] {
	if s := w.BudgetSlices.Get(id); s != nil {
		return s
	}
	return w.BudgetSlices.Put(id, table.Set[table.SliceKey]{})
}

// reserveSlice reserves from one slice; a reservation never spans two grants,
// because an agent counts a request under one grant.
func reserveSlice(w *world.World, b *table.Budget, r *table.Request) bool {
	if b.SliceIn < r.Reserve {
		return false
	}
	for _, key := range slicesOf(w, b.ID).Keys() {
		s := w.SlicesIn.Get(key)
		if s.Left() < r.Reserve || s.Expires <= w.Now || w.Fences.Get(key.Peer) != nil {
			continue
		}
		explainReserve(w, r, "slice of "+string(key.Peer.Process), s.Left())
		s.Reserved += r.Reserve
		b.SliceIn -= r.Reserve
		r.Reserved = r.Reserve
		r.Grant, r.GrantExpires, r.Slice = key.Peer, s.Expires, key
		w.Requests.Move(r, table.RequestQueued)
		return true
	}
	return false
}

func settleSlice(w *world.World, b *table.Budget, r *table.Request, charge table.Tokens) {
	s := w.SlicesIn.Get(r.Slice)
	s.Reserved -= r.Reserved
	s.Spent += charge
	if !s.Closed {
		b.SliceIn += r.Reserved - charge
	}
	closeIfUsedUp(w, b, r.Slice, s)
}

// closeIfUsedUp ends a slice that has too little left for a usual reservation.
func closeIfUsedUp(w *world.World, b *table.Budget, key table.SliceKey, s *table.SliceIn) {
	if s.Reserved > 0 {
		return
	}
	if s.Closed || w.Draining || s.Left() < b.Reservation {
		closeSlice(w, b, key, s)
	}
}

// closeSlice stops reservations from a slice and reports it once no request
// holds a part of it.
func closeSlice(w *world.World, b *table.Budget, key table.SliceKey, s *table.SliceIn) {
	if !s.Closed {
		b.SliceIn -= s.Left()
		s.Closed = true
	}
	slicesOf(w, b.ID).Remove(key)
	if s.Reserved == 0 && s.Reports == 0 {
		report(w, key, s)
	}
}

func report(w *world.World, key table.SliceKey, s *table.SliceIn) {
	delay := min(firstReportDelay<<min(s.Reports, 5), maxReportDelay)
	s.Reports++
	s.NextReport = w.Now.Add(delay)
	w.SliceInTimers.Set(key, s.NextReport)
	sendReport(w, key, s.Budget, s.Spent, s.Amount-s.Spent)
}

func sendReport(w *world.World, key table.SliceKey, id table.BudgetID, spent, returned table.Tokens) {
	w.Out.SliceReports = append(w.Out.SliceReports, command.SendSliceReport{
		To: key.Peer,
		Report: event.SliceReport{
			From: w.Self(), Slice: key.Slice, Budget: id, Spent: spent, Returned: returned,
		},
	})
}

// repeatReport answers a reminder of the grantor.
func repeatReport(w *world.World, key table.SliceKey, s *table.SliceIn) {
	if s.Reports > 0 {
		report(w, key, s)
	}
}

// repeatReports sends the reports again that a router may have missed.
func repeatReports(w *world.World, peer table.Holder) {
	w.SlicesIn.Each(func(key table.SliceKey, s *table.SliceIn) {
		if key.Peer == peer {
			repeatReport(w, key, s)
		}
	})
}

// checkSliceIn runs when a slice expires or its report is due again.
func checkSliceIn(w *world.World, key table.SliceKey) {
	s := w.SlicesIn.Get(key)
	if s == nil {
		return
	}
	if w.Fences.Get(key.Peer) != nil && s.Reserved == 0 && s.Reports > 0 {
		// A grantor that only seems gone still needs the report: it would take the
		// answer to its reminder, that the slice is unknown here, for unused.
		forgetSlice(w, key)
		return
	}
	switch {
	case s.Reports > 0 && s.NextReport <= w.Now:
		report(w, key, s)
	case s.Reports > 0:
		w.SliceInTimers.Set(key, s.NextReport)
	case s.Expires <= w.Now:
		closeSlice(w, row(w, s.Budget), key, s)
	default:
		w.SliceInTimers.Set(key, s.Expires)
	}
}

// superseded reports whether a holder was fenced, so that recovery counts its
// grant at the agents and no report of its slices is of use.
func superseded(w *world.World, h table.Holder) bool {
	return w.Fences.Get(h) != nil || ledger.Gone(w, h)
}

func forgetSlice(w *world.World, key table.SliceKey) {
	s := w.SlicesIn.Get(key)
	if s == nil || s.Reports == 0 {
		return
	}
	w.SlicesIn.Delete(key)
}
