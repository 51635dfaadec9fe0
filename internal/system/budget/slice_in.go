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
	// initialReportDelay and maxReportDelay bound the delay before an unacknowledged report is
	// sent again.
	initialReportDelay = time.Second
	maxReportDelay     = 30 * time.Second
)

func onSliceGrant(w *world.World, e event.SliceGrant) {
	if w.Fences.Get(e.From) != nil {
		// Recovery takes the spend under a fenced holder's grant from the agents. A report sent
		// now could return as unused a slice that was used and whose row was already deleted.
		return
	}
	key := table.SliceKey{Peer: e.From, Slice: e.Slice}
	if e.Reported {
		deleteReportedSlice(w, key)
		return
	}
	if s := w.SlicesIn.Get(key); s != nil {
		resendReport(w, key, s)
		return
	}
	if acceptSlice(w, key, e) || e.Amount == 0 {
		return
	}
	// The grant message arrived late or more than once. A slice that was never accepted is
	// returned unused; the grantor ignores the report if the slice was reported before.
	sendSliceReport(w, key, e.Budget, 0, e.Amount)
}

// acceptSlice processes an answer to the budget's open request round, once per holder, and
// reports whether it added a slice.
func acceptSlice(w *world.World, key table.SliceKey, e event.SliceGrant) bool {
	round := w.SliceAsks.Get(e.Budget)
	if round == nil || round.Call != e.Call || slices.Contains(round.Answered, e.From) {
		return false
	}
	round.Answered = append(round.Answered, e.From)
	round.Open = slices.DeleteFunc(round.Open, func(p table.ProcessID) bool { return p == e.From.Process })
	round.Done = round.Done || len(round.Open) == 0
	round.Released += e.Released
	expires := round.SentAt.Add(e.Lifetime)
	if e.Amount <= 0 || expires <= w.Now {
		return false
	}
	b := ensureBudget(w, e.Budget)
	b.SliceIn += e.Amount
	w.SlicesIn.Put(key, table.SliceIn{Budget: e.Budget, Amount: e.Amount, Expires: expires})
	receivedSlices(w, e.Budget).Add(key)
	w.SliceInTimers.Set(key, expires)
	w.Count("budget.slices_in")
	return true
}

func receivedSlices(w *world.World, id table.BudgetID) *table.Set[table.SliceKey] {
	if s := w.BudgetSlices.Get(id); s != nil {
		return s
	}
	return w.BudgetSlices.Put(id, table.Set[table.SliceKey]{})
}

// reserveFromSlice reserves from a single slice. A reservation never spans two grants,
// because an agent counts a request under one grant.
func reserveFromSlice(w *world.World, b *table.Budget, r *table.Request) bool {
	if b.SliceIn < r.Reserve {
		return false
	}
	for _, key := range receivedSlices(w, b.ID).Keys() {
		s := w.SlicesIn.Get(key)
		if s.Left() < r.Reserve || s.Expires <= w.Now || w.Fences.Get(key.Peer) != nil {
			continue
		}
		explainReservation(w, r, "slice of "+string(key.Peer.Process), s.Left())
		s.Reserved += r.Reserve
		b.SliceIn -= r.Reserve
		r.Reserved = r.Reserve
		r.Grant, r.GrantExpires, r.Slice = key.Peer, s.Expires, key
		w.Requests.Move(r, table.RequestQueued)
		return true
	}
	return false
}

func settleToSlice(w *world.World, b *table.Budget, r *table.Request, charge table.Tokens) {
	s := w.SlicesIn.Get(r.Slice)
	s.Reserved -= r.Reserved
	s.Spent += charge
	if !s.Closed {
		b.SliceIn += r.Reserved - charge
	}
	closeIfExhausted(w, b, r.Slice, s)
}

// closeIfExhausted closes a slice that has too little left for a typical reservation.
func closeIfExhausted(w *world.World, b *table.Budget, key table.SliceKey, s *table.SliceIn) {
	if s.Reserved > 0 {
		return
	}
	if s.Closed || w.Draining || s.Left() < b.Reservation {
		closeSlice(w, b, key, s)
	}
}

// closeSlice stops new reservations from a slice. It reports the slice once no request has
// a reservation from it.
func closeSlice(w *world.World, b *table.Budget, key table.SliceKey, s *table.SliceIn) {
	if !s.Closed {
		b.SliceIn -= s.Left()
		s.Closed = true
	}
	receivedSlices(w, b.ID).Remove(key)
	if s.Reserved == 0 && s.Reports == 0 {
		reportSlice(w, key, s)
	}
}

func reportSlice(w *world.World, key table.SliceKey, s *table.SliceIn) {
	delay := min(initialReportDelay<<min(s.Reports, 5), maxReportDelay)
	s.Reports++
	s.NextReport = w.Now.Add(delay)
	w.SliceInTimers.Set(key, s.NextReport)
	sendSliceReport(w, key, s.Budget, s.Spent, s.Amount-s.Spent)
}

func sendSliceReport(w *world.World, key table.SliceKey, id table.BudgetID, spent, returned table.Tokens) {
	w.Out.SliceReports = append(w.Out.SliceReports, command.SendSliceReport{
		To: key.Peer,
		Report: event.SliceReport{
			From: w.Self(), Slice: key.Slice, Budget: id, Spent: spent, Returned: returned,
		},
	})
}

// resendReport answers a reminder from the grantor.
func resendReport(w *world.World, key table.SliceKey, s *table.SliceIn) {
	if s.Reports > 0 {
		reportSlice(w, key, s)
	}
}

// resendReports resends the reports that a router may have missed.
func resendReports(w *world.World, peer table.Holder) {
	w.SlicesIn.Each(func(key table.SliceKey, s *table.SliceIn) {
		if key.Peer == peer {
			resendReport(w, key, s)
		}
	})
}

// checkSliceIn runs when a slice expires or when its report is due again.
func checkSliceIn(w *world.World, key table.SliceKey) {
	s := w.SlicesIn.Get(key)
	if s == nil {
		return
	}
	if w.Fences.Get(key.Peer) != nil && s.Reserved == 0 && s.Reports > 0 {
		// The row is deleted only once the grantor is fenced. A grantor that only appears to be
		// gone still needs the report: without the row, its reminder would be answered with a
		// report that returns the whole slice as unused.
		deleteReportedSlice(w, key)
		return
	}
	switch {
	case s.Reports > 0 && s.NextReport <= w.Now:
		reportSlice(w, key, s)
	case s.Reports > 0:
		w.SliceInTimers.Set(key, s.NextReport)
	case s.Expires <= w.Now:
		closeSlice(w, ensureBudget(w, s.Budget), key, s)
	default:
		w.SliceInTimers.Set(key, s.Expires)
	}
}

// fencedOrGone reports whether a holder was fenced or is gone. Recovery then takes the
// spend under its grant from the agents, so reports of its slices are no longer needed.
func fencedOrGone(w *world.World, h table.Holder) bool {
	return w.Fences.Get(h) != nil || ledger.HolderGone(w, h)
}

func deleteReportedSlice(w *world.World, key table.SliceKey) {
	s := w.SlicesIn.Get(key)
	if s == nil || s.Reports == 0 {
		return
	}
	w.SlicesIn.Delete(key)
}
