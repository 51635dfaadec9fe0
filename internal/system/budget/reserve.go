package budget

import (
	"laburnumroad.dev/laburnumroad/internal/system/ledger"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// reserveWaitingRequests reserves for the requests that wait for budget, oldest first. A
// request that does not fit does not block smaller requests behind it.
func reserveWaitingRequests(w *world.World) {
	resetShortBudgets(w)
	if w.Requests.CountInState(table.RequestReserving) > 0 {
		for _, id := range w.Requests.InState(table.RequestReserving) {
			reserveRequest(w, w.Requests.Get(id))
		}
	}
	serveWaitingSliceRequests(w)
	for _, id := range w.ShortBudgets.Keys() {
		requestMore(w, w.Budgets.Get(id))
	}
}

// resetShortBudgets clears the recorded needs; reserveWaitingRequests records them again.
func resetShortBudgets(w *world.World) {
	if w.ShortBudgets.Len() == 0 {
		return
	}
	for _, id := range w.ShortBudgets.Keys() {
		b := w.Budgets.Get(id)
		b.Short, b.SmallestShortfall, b.WaitingTokens, b.OldestWaitSince = false, 0, 0, 0
		w.ShortBudgets.Remove(id)
	}
}

func reserveRequest(w *world.World, r *table.Request) {
	if r.WantedReservation <= 0 {
		w.Requests.SetState(r, table.RequestQueued)
		return
	}
	if ledger.SelfFenced(w) {
		w.Refuse(r, table.CodeBudgetUnreachable, "this router was fenced", refusalRetryAfter)
		return
	}
	if r.Reserved > 0 {
		cancelReservation(w, r)
	}
	b := ensureBudget(w, r.Budget)
	if r.BudgetWaitSince == 0 {
		r.BudgetWaitSince = w.Now
		recordReservation(b, r.WantedReservation)
		updateTarget(w, b)
	}
	b.LastUsedAt = w.Now
	w.BudgetTimers.Schedule(b.ID, idleDeadline(w, b))
	if reserveFromGrant(w, b, r) || reserveFromSlice(w, b, r) {
		b.ReleaseUnused = false
		refillIfLow(w, b)
		return
	}
	if refuseIfUnavailable(w, b, r) {
		return
	}
	waitForBudget(w, b, r)
}

// cancelReservation releases the reservation of a request that was rejected before it ran,
// for example because the holder of the grant that pays for it was fenced.
func cancelReservation(w *world.World, r *table.Request) {
	releaseReservation(w, r, 0)
	r.BudgetWaitSince = 0
}

func reserveFromGrant(w *world.World, b *table.Budget, r *table.Request) bool {
	if r.WantedReservation > b.AvailableFromGrant() || b.GrantExpiresAt <= w.Now {
		return false
	}
	explainReservation(w, r, "own grant", b.AvailableFromGrant())
	b.Reserved += r.WantedReservation
	r.Reserved = r.WantedReservation
	r.GrantHolder, r.GrantExpiresAt, r.Slice = w.Self(), b.GrantExpiresAt, table.SliceKey{}
	w.Requests.SetState(r, table.RequestQueued)
	return true
}

// waitForBudget records that a request waits for more of its budget.
func waitForBudget(w *world.World, b *table.Budget, r *table.Request) {
	if b.OldestWaitSince == 0 || r.BudgetWaitSince < b.OldestWaitSince {
		b.OldestWaitSince = r.BudgetWaitSince
	}
	recordNeed(w, b, r.WantedReservation, r.WantedReservation, r.BudgetWaitSince)
	w.BudgetTimers.Schedule(b.ID, reservationDeadline(r))
}

// recordNeed records that a request or another router needs at least need tokens and
// prefers want tokens.
func recordNeed(w *world.World, b *table.Budget, need, want table.Tokens, since table.Instant) {
	shortfall := max(0, need-b.AvailableFromGrant())
	if !b.Short || shortfall < b.SmallestShortfall {
		b.SmallestShortfall = shortfall
	}
	b.Short = true
	b.WaitingTokens += want
	b.NewestWaitSince = max(b.NewestWaitSince, since)
	w.ShortBudgets.Add(b.ID)
}

func reservationDeadline(r *table.Request) table.Instant {
	return min(r.BudgetWaitSince.Add(reservationTimeout), r.FirstTokenDeadline)
}
