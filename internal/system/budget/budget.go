// Package budget decides which requests may spend, how much this router wants
// to hold of each budget, and what each ended request is charged.
//
// A request spends only from what the router holds: an amount is reserved
// before the request is queued and settled once when it has ended.
package budget

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/system/ledger"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// reserveTimeout bounds the wait for a grant or a slice: two ledger reads,
	// which are at least one second apart, and a round of slice requests.
	reserveTimeout = 3 * time.Second
	// retryAfter is what a refused caller is told when more may come.
	retryAfter = time.Second
	// idleShare is the part of the grant lifetime after which the grant of an
	// unused budget goes back to the ledger.
	idleShare = 2
)

// New returns the budget system.
func New() world.System { return &system{} }

type system struct {
	// draining is true once the grants were released for a shutdown.
	draining bool
}

// Run implements world.System.
func (s *system) Run(w *world.World) {
	takeMessages(w)
	settleEnded(w)
	checkDue(w)
	reserveAll(w)
	if w.Draining && !s.draining {
		s.draining = true
		releaseAll(w)
	}
	w.WakeAt(w.BudgetTimers.Next())
	w.WakeAt(w.SliceInTimers.Next())
	w.WakeAt(w.SliceOutTimers.Next())
}

func takeMessages(w *world.World) {
	for _, e := range w.In.SliceGrants {
		onSliceGrant(w, e)
	}
	for _, e := range w.In.SliceReports {
		onSliceReport(w, e)
	}
	for _, e := range w.In.SliceRequests {
		onSliceRequest(w, e)
	}
	for _, e := range w.In.SessionUps {
		repeatReports(w, e.Process.Holder)
	}
}

// checkDue runs before reserveAll, which sets the timers of waiting requests again.
func checkDue(w *world.World) {
	for {
		key, ok := w.SliceInTimers.Pop(w.Now)
		if !ok {
			break
		}
		checkSliceIn(w, key)
	}
	for {
		key, ok := w.SliceOutTimers.Pop(w.Now)
		if !ok {
			break
		}
		checkSliceOut(w, key)
	}
	for {
		id, ok := w.BudgetTimers.Pop(w.Now)
		if !ok {
			return
		}
		if b := w.Budgets.Get(id); b != nil {
			checkIdle(w, b)
		}
	}
}

// row returns the row of a budget, which it adds if absent.
func row(w *world.World, id table.BudgetID) *table.Budget {
	if b := w.Budgets.Get(id); b != nil {
		return b
	}
	b := w.Budgets.Put(id, table.Budget{ID: id, Shard: ledger.ShardOf(w, id), UsedAt: w.Now, Demand: table.DecayingRate{At: w.Now}})
	w.BudgetTimers.Set(id, idleAt(w, b))
	return b
}

func idleAt(w *world.World, b *table.Budget) table.Instant {
	return b.UsedAt.Add(w.Params.GrantLifetime / idleShare)
}

// checkIdle returns the grant of an unused budget, and drops its row once
// nothing refers to it any more.
func checkIdle(w *world.World, b *table.Budget) {
	at := idleAt(w, b)
	if at > w.Now || b.Short || b.Reserved > 0 {
		w.BudgetTimers.Set(b.ID, max(at, w.Now.Add(reserveTimeout)))
		return
	}
	if ledger.HasPending(w, b) {
		w.BudgetTimers.Set(b.ID, w.Now.Add(reserveTimeout))
		return
	}
	if unused(w, b) {
		w.SliceAsks.Delete(b.ID)
		w.BudgetSlices.Delete(b.ID)
		w.Budgets.Delete(b.ID)
		return
	}
	release(w, b)
}

// unused reports whether nothing refers to the row. What this incarnation has
// settled must stay known, because the ledger counts it per holder.
func unused(w *world.World, b *table.Budget) bool {
	return b.Granted == 0 && b.Settled == 0 && slicesOf(w, b.ID).Len() == 0
}

// release asks the ledger to take back what is not in use.
func release(w *world.World, b *table.Budget) {
	if b.Granted == 0 {
		return
	}
	b.Release = true
	ledger.MarkDirty(w, b)
}

// releaseAll returns all unused grants; it runs once, at the start of a drain.
func releaseAll(w *world.World) {
	w.Budgets.Each(func(_ table.BudgetID, b *table.Budget) {
		if b.Granted == 0 {
			return
		}
		release(w, b)
		ledger.Force(w, b)
	})
	for i := range w.SlicesIn.Len() {
		key, s := w.SlicesIn.At(i)
		if s.Reserved == 0 {
			closeSlice(w, row(w, s.Budget), key, s)
		}
	}
}
