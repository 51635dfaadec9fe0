package budget

import (
	"laburnumroad.dev/laburnumroad/internal/system/ledger"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// reserveAll serves the requests that wait for budget, oldest first. A request
// that does not fit does not hold up a smaller one behind it.
func reserveAll(w *world.World) {
	resetShort(w)
	if w.Requests.Count(table.RequestReserving) > 0 {
		for _, id := range w.Requests.In(table.RequestReserving) {
			reserve(w, w.Requests.Get(id))
		}
	}
	serveSliceWaits(w)
	for _, id := range w.ShortBudgets.Keys() {
		pursue(w, w.Budgets.Get(id))
	}
}

// resetShort forgets who waited for what; reserveAll finds it anew.
func resetShort(w *world.World) {
	if w.ShortBudgets.Len() == 0 {
		return
	}
	for _, id := range w.ShortBudgets.Keys() {
		b := w.Budgets.Get(id)
		b.Short, b.Need, b.Waiting, b.WaitSince = false, 0, 0, 0
		w.ShortBudgets.Remove(id)
	}
}

func reserve(w *world.World, r *table.Request) {
	if r.Reserve <= 0 {
		w.Requests.Move(r, table.RequestQueued)
		return
	}
	if ledger.Fenced(w) {
		w.Refuse(r, table.CodeBudgetUnreachable, "this router was fenced", retryAfter)
		return
	}
	if r.Reserved > 0 {
		unreserve(w, r)
	}
	b := row(w, r.Budget)
	if r.ReserveSince == 0 {
		r.ReserveSince = w.Now
		noteReservation(b, r.Reserve)
		setTarget(w, b)
	}
	b.UsedAt = w.Now
	w.BudgetTimers.Set(b.ID, idleAt(w, b))
	if reserveOwn(w, b, r) || reserveSlice(w, b, r) {
		b.Release = false
		refillEarly(w, b)
		return
	}
	if refused(w, b, r) {
		return
	}
	wait(w, b, r)
}

// unreserve frees the reservation of a request that was rejected before it ran,
// for example because the grant that pays for it was fenced.
func unreserve(w *world.World, r *table.Request) {
	free(w, r, 0)
	r.ReserveSince = 0
}

func reserveOwn(w *world.World, b *table.Budget, r *table.Request) bool {
	if r.Reserve > b.Own() || b.Expires <= w.Now {
		return false
	}
	explainReserve(w, r, "own grant", b.Own())
	b.Reserved += r.Reserve
	r.Reserved = r.Reserve
	r.Grant, r.GrantExpires, r.Slice = w.Self(), b.Expires, table.SliceKey{}
	w.Requests.Move(r, table.RequestQueued)
	return true
}

// wait notes that a request waits for more of its budget.
func wait(w *world.World, b *table.Budget, r *table.Request) {
	if b.WaitSince == 0 || r.ReserveSince < b.WaitSince {
		b.WaitSince = r.ReserveSince
	}
	needMore(w, b, r.Reserve, r.Reserve, r.ReserveSince)
	w.BudgetTimers.Set(b.ID, giveUpAt(r))
}

// needMore notes that somebody waits for at least need, and best for want.
func needMore(w *world.World, b *table.Budget, need, want table.Tokens, since table.Instant) {
	missing := max(0, need-b.Own())
	if !b.Short || missing < b.Need {
		b.Need = missing
	}
	b.Short = true
	b.Waiting += want
	b.NeedSince = max(b.NeedSince, since)
	w.ShortBudgets.Add(b.ID)
}

func giveUpAt(r *table.Request) table.Instant {
	return min(r.ReserveSince.Add(reserveTimeout), r.Deadline)
}
