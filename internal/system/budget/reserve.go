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
	if w.Requests.Count(table.RequestReserving) > 0 {
		for _, id := range w.Requests.In(table.RequestReserving) {
			reserveRequest(w, w.Requests.Get(id))
		}
	}
	serveSliceWaits(w)
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
		b.Short, b.Need, b.Waiting, b.WaitSince = false, 0, 0, 0
		w.ShortBudgets.Remove(id)
	}
}

func reserveRequest(w *world.World, r *table.Request) {
	if r.Reserve <= 0 {
		w.Requests.Move(r, table.RequestQueued)
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
	if r.ReserveSince == 0 {
		r.ReserveSince = w.Now
		recordReservation(b, r.Reserve)
		updateTarget(w, b)
	}
	b.UsedAt = w.Now
	w.BudgetTimers.Set(b.ID, idleDeadline(w, b))
	if reserveFromGrant(w, b, r) || reserveFromSlice(w, b, r) {
		b.Release = false
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
	r.ReserveSince = 0
}

func reserveFromGrant(w *world.World, b *table.Budget, r *table.Request) bool {
	if r.Reserve > b.Own() || b.Expires <= w.Now {
		return false
	}
	explainReservation(w, r, "own grant", b.Own())
	b.Reserved += r.Reserve
	r.Reserved = r.Reserve
	r.Grant, r.GrantExpires, r.Slice = w.Self(), b.Expires, table.SliceKey{}
	w.Requests.Move(r, table.RequestQueued)
	return true
}

// waitForBudget records that a request waits for more of its budget.
func waitForBudget(w *world.World, b *table.Budget, r *table.Request) {
	if b.WaitSince == 0 || r.ReserveSince < b.WaitSince {
		b.WaitSince = r.ReserveSince
	}
	recordNeed(w, b, r.Reserve, r.Reserve, r.ReserveSince)
	w.BudgetTimers.Set(b.ID, reservationDeadline(r))
}

// recordNeed records that a request or another router needs at least need tokens and
// prefers want tokens.
func recordNeed(w *world.World, b *table.Budget, need, want table.Tokens, since table.Instant) {
	shortfall := max(0, need-b.Own())
	if !b.Short || shortfall < b.Need {
		b.Need = shortfall
	}
	b.Short = true
	b.Waiting += want
	b.NeedSince = max(b.NeedSince, since)
	w.ShortBudgets.Add(b.ID)
}

func reservationDeadline(r *table.Request) table.Instant {
	return min(r.ReserveSince.Add(reservationTimeout), r.Deadline)
}
