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
	if w.Requests.Count(table.RequestReserving) == 0 {
		return
	}
	for _, id := range w.Requests.In(table.RequestReserving) {
		reserve(w, w.Requests.Get(id))
	}
	for _, id := range w.ShortBudgets.Keys() {
		askLedger(w, w.Budgets.Get(id))
	}
}

// resetShort forgets who waited for what; reserveAll finds it anew.
func resetShort(w *world.World) {
	if w.ShortBudgets.Len() == 0 {
		return
	}
	for _, id := range w.ShortBudgets.Keys() {
		b := w.Budgets.Get(id)
		b.Short, b.Need, b.Waiting = false, 0, 0
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
	b := row(w, r.Budget)
	if r.ReserveSince == 0 {
		r.ReserveSince = w.Now
		noteReservation(b, r.Reserve)
	}
	b.UsedAt = w.Now
	if r.Reserve <= b.Own() && w.Now < b.Expires {
		reserveOwn(w, b, r)
		return
	}
	if refused(w, b, r) {
		return
	}
	wait(w, b, r)
}

func reserveOwn(w *world.World, b *table.Budget, r *table.Request) {
	b.Reserved += r.Reserve
	r.Reserved = r.Reserve
	r.Grant, r.GrantExpires = w.Self(), b.Expires
	b.Release = false
	w.Requests.Move(r, table.RequestQueued)
	refillEarly(w, b)
}

// refillEarly asks for more before requests have to wait.
func refillEarly(w *world.World, b *table.Budget) {
	setTarget(w, b)
	b.Low = b.Own() < b.Target/lowShare
	if !b.Low || b.LowAt.Add(lowInterval) > w.Now {
		return
	}
	b.LowAt = w.Now
	ledger.MarkDirty(w, b)
	ledger.Touch(w, b.Shard, w.Now)
}

// wait notes that a request waits for more of its budget.
func wait(w *world.World, b *table.Budget, r *table.Request) {
	need := max(0, r.Reserve-b.Own())
	if !b.Short || need < b.Need {
		b.Need = need
	}
	b.Short = true
	b.Waiting += r.Reserve
	b.NeedSince = max(b.NeedSince, r.ReserveSince)
	w.ShortBudgets.Add(b.ID)
	w.BudgetTimers.Set(b.ID, giveUpAt(r))
}

func giveUpAt(r *table.Request) table.Instant {
	return min(r.ReserveSince.Add(reserveTimeout), r.Deadline)
}

// askLedger asks for a larger grant of a short budget.
func askLedger(w *world.World, b *table.Budget) {
	setTarget(w, b)
	b.Release = false
	ledger.MarkDirty(w, b)
	ledger.Touch(w, b.Shard, w.Now)
}
