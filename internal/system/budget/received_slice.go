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
	if w.FencedHolders.Get(e.From) != nil {
		// Recovery takes the spend under a fenced holder's grant from the agents. A report sent
		// now could return as unused a slice that was used and whose row was already deleted.
		return
	}
	key := table.SliceKey{Peer: e.From, Number: e.Slice}
	if e.Reported {
		deleteReportedSlice(w, key)
		return
	}
	if s := w.ReceivedSlices.Get(key); s != nil {
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
	round := w.SliceRequestRounds.Get(e.Budget)
	if round == nil || round.Call != e.Call || slices.Contains(round.Answered, e.From) {
		return false
	}
	round.Answered = append(round.Answered, e.From)
	round.Unanswered = slices.DeleteFunc(round.Unanswered, func(p table.ProcessID) bool { return p == e.From.Process })
	round.Done = round.Done || len(round.Unanswered) == 0
	round.Released += e.Released
	expires := round.CallSentAt.Add(e.Lifetime)
	if e.Amount <= 0 || expires <= w.Now {
		return false
	}
	b := ensureBudget(w, e.Budget)
	b.ReceivedSliceTokens += e.Amount
	w.ReceivedSlices.Put(key, table.ReceivedSlice{Budget: e.Budget, Amount: e.Amount, ExpiresAt: expires})
	receivedSlices(w, e.Budget).Add(key)
	w.ReceivedSliceTimers.Schedule(key, expires)
	w.Count("budget.slices_in")
	return true
}

func receivedSlices(w *world.World, id table.BudgetID) *table.Set[table.SliceKey] {
	if s := w.ReceivedSlicesByBudget.Get(id); s != nil {
		return s
	}
	return w.ReceivedSlicesByBudget.Put(id, table.Set[table.SliceKey]{})
}

// reserveFromSlice reserves from a single slice. A reservation never spans two grants,
// because an agent charges a request to one grant.
func reserveFromSlice(w *world.World, b *table.Budget, r *table.Request) bool {
	if b.ReceivedSliceTokens < r.WantedReservation {
		return false
	}
	for _, key := range receivedSlices(w, b.ID).Keys() {
		s := w.ReceivedSlices.Get(key)
		if s.Available() < r.WantedReservation || s.ExpiresAt <= w.Now || w.FencedHolders.Get(key.Peer) != nil {
			continue
		}
		explainReservation(w, r, "slice of "+string(key.Peer.Process), s.Available())
		s.Reserved += r.WantedReservation
		b.ReceivedSliceTokens -= r.WantedReservation
		r.Reserved = r.WantedReservation
		r.GrantHolder, r.GrantExpiresAt, r.Slice = key.Peer, s.ExpiresAt, key
		w.Requests.SetState(r, table.RequestQueued)
		return true
	}
	return false
}

func settleToSlice(w *world.World, b *table.Budget, r *table.Request, charge table.Tokens) {
	s := w.ReceivedSlices.Get(r.Slice)
	s.Reserved -= r.Reserved
	s.Spent += charge
	if !s.Closed {
		b.ReceivedSliceTokens += r.Reserved - charge
	}
	closeIfExhausted(w, b, r.Slice, s)
}

// closeIfExhausted closes a slice that has too little left for a typical reservation.
func closeIfExhausted(w *world.World, b *table.Budget, key table.SliceKey, s *table.ReceivedSlice) {
	if s.Reserved > 0 {
		return
	}
	if s.Closed || w.Draining || s.Available() < b.RecentLargeReservation {
		closeSlice(w, b, key, s)
	}
}

// closeSlice stops new reservations from a slice. It reports the slice once no request has
// a reservation from it.
func closeSlice(w *world.World, b *table.Budget, key table.SliceKey, s *table.ReceivedSlice) {
	if !s.Closed {
		b.ReceivedSliceTokens -= s.Available()
		s.Closed = true
	}
	receivedSlices(w, b.ID).Remove(key)
	if s.Reserved == 0 && s.FinalReports == 0 {
		reportSlice(w, key, s)
	}
}

func reportSlice(w *world.World, key table.SliceKey, s *table.ReceivedSlice) {
	delay := min(initialReportDelay<<min(s.FinalReports, 5), maxReportDelay)
	s.FinalReports++
	s.NextReportAt = w.Now.Add(delay)
	w.ReceivedSliceTimers.Schedule(key, s.NextReportAt)
	sendSliceReport(w, key, s.Budget, s.Spent, s.Amount-s.Spent)
}

func sendSliceReport(w *world.World, key table.SliceKey, id table.BudgetID, spent, returned table.Tokens) {
	w.Out.SliceReports = append(w.Out.SliceReports, command.SendSliceReport{
		To: key.Peer,
		Report: event.SliceReport{
			From: w.Self(), Slice: key.Number, Budget: id, Spent: spent, Returned: returned,
		},
	})
}

// resendReport answers a reminder from the grantor.
func resendReport(w *world.World, key table.SliceKey, s *table.ReceivedSlice) {
	if s.FinalReports > 0 {
		reportSlice(w, key, s)
	}
}

// resendReports resends the reports that a router may have missed.
func resendReports(w *world.World, peer table.Holder) {
	w.ReceivedSlices.Each(func(key table.SliceKey, s *table.ReceivedSlice) {
		if key.Peer == peer {
			resendReport(w, key, s)
		}
	})
}

// checkReceivedSlice runs when a slice expires or when its report is due again.
func checkReceivedSlice(w *world.World, key table.SliceKey) {
	s := w.ReceivedSlices.Get(key)
	if s == nil {
		return
	}
	if w.FencedHolders.Get(key.Peer) != nil && s.Reserved == 0 && s.FinalReports > 0 {
		// The row is deleted only once the grantor is fenced. A grantor that only appears to be
		// gone still needs the report: without the row, its reminder would be answered with a
		// report that returns the whole slice as unused.
		deleteReportedSlice(w, key)
		return
	}
	switch {
	case s.FinalReports > 0 && s.NextReportAt <= w.Now:
		reportSlice(w, key, s)
	case s.FinalReports > 0:
		w.ReceivedSliceTimers.Schedule(key, s.NextReportAt)
	case s.ExpiresAt <= w.Now:
		closeSlice(w, ensureBudget(w, s.Budget), key, s)
	default:
		w.ReceivedSliceTimers.Schedule(key, s.ExpiresAt)
	}
}

// fencedOrGone reports whether a holder was fenced or is gone. Recovery then takes the
// spend under its grant from the agents, so reports of its slices are no longer needed.
func fencedOrGone(w *world.World, h table.Holder) bool {
	return w.FencedHolders.Get(h) != nil || ledger.HolderGone(w, h)
}

func deleteReportedSlice(w *world.World, key table.SliceKey) {
	s := w.ReceivedSlices.Get(key)
	if s == nil || s.FinalReports == 0 {
		return
	}
	w.ReceivedSlices.Delete(key)
}
