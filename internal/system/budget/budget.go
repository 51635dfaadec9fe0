// Package budget decides which requests may spend, how much of each budget this router
// should hold, and what each completed request is charged.
//
// A request spends only tokens that the router holds: its maximum cost is reserved before
// it is queued, and its actual cost is settled exactly once after it has ended.
package budget

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/system/ledger"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// reservationTimeout limits how long a request waits for a grant or a slice. It covers
	// two ledger reads, which are at least one second apart, and one round of slice requests.
	reservationTimeout = 3 * time.Second
	// refusalRetryAfter is the retry delay sent with a refusal if more of the budget may
	// become available.
	refusalRetryAfter = time.Second
	// idleLifetimeDivisor determines the idle timeout of a budget: the grant lifetime divided
	// by this value. After that, its grant is returned to the ledger.
	idleLifetimeDivisor = 2
)

// New returns the budget system.
func New() world.System { return &system{} }

type system struct {
	// grantsReleased is true once the grants have been released at the start of a drain.
	grantsReleased bool
}

// Run implements world.System.
func (s *system) Run(w *world.World) {
	handleMessages(w)
	settleEnded(w)
	runDueTimers(w)
	reserveWaitingRequests(w)
	if w.Draining && !s.grantsReleased {
		s.grantsReleased = true
		releaseAllGrants(w)
	}
	w.WakeAt(w.BudgetTimers.NextDue())
	w.WakeAt(w.ReceivedSliceTimers.NextDue())
	w.WakeAt(w.GrantedSliceTimers.NextDue())
}

func handleMessages(w *world.World) {
	for _, e := range w.In.SliceGrants {
		onSliceGrant(w, e)
	}
	for _, e := range w.In.SliceReports {
		onSliceReport(w, e)
	}
	for _, e := range w.In.SliceRequests {
		onSliceRequest(w, e)
	}
	for _, e := range w.In.SessionsOpened {
		resendReports(w, e.Process.Holder)
	}
}

// runDueTimers must run before reserveWaitingRequests, which resets the timers of waiting
// requests.
func runDueTimers(w *world.World) {
	for {
		key, ok := w.ReceivedSliceTimers.PopDue(w.Now)
		if !ok {
			break
		}
		checkReceivedSlice(w, key)
	}
	for {
		key, ok := w.GrantedSliceTimers.PopDue(w.Now)
		if !ok {
			break
		}
		checkGrantedSlice(w, key)
	}
	for {
		id, ok := w.BudgetTimers.PopDue(w.Now)
		if !ok {
			return
		}
		if b := w.Budgets.Get(id); b != nil {
			checkIdle(w, b)
		}
	}
}

// ensureBudget returns the row of a budget and creates it if absent.
func ensureBudget(w *world.World, id table.BudgetID) *table.Budget {
	if b := w.Budgets.Get(id); b != nil {
		return b
	}
	b := w.Budgets.Put(id, table.Budget{ID: id, Shard: ledger.ShardOf(w, id), LastUsedAt: w.Now, SpendRate: table.DecayingRate{UpdatedAt: w.Now}})
	w.BudgetTimers.Schedule(id, idleDeadline(w, b))
	return b
}

func idleDeadline(w *world.World, b *table.Budget) table.Instant {
	return b.LastUsedAt.Add(w.Params.GrantLifetime / idleLifetimeDivisor)
}

// checkIdle releases the grant of an idle budget, and deletes its row once nothing refers
// to it.
func checkIdle(w *world.World, b *table.Budget) {
	deadline := idleDeadline(w, b)
	if deadline > w.Now || b.Short || b.Reserved > 0 {
		w.BudgetTimers.Schedule(b.ID, max(deadline, w.Now.Add(reservationTimeout)))
		return
	}
	if ledger.HasPendingWrite(w, b) {
		w.BudgetTimers.Schedule(b.ID, w.Now.Add(reservationTimeout))
		return
	}
	if unreferenced(w, b) {
		w.SliceRequestRounds.Delete(b.ID)
		w.ReceivedSlicesByBudget.Delete(b.ID)
		w.Budgets.Delete(b.ID)
		return
	}
	releaseGrant(w, b)
}

// unreferenced reports whether nothing refers to the row. A row with settled spend is
// kept, because the ledger records the settled total of each holder's incarnation.
func unreferenced(w *world.World, b *table.Budget) bool {
	return b.Granted == 0 && b.Settled == 0 && receivedSlices(w, b.ID).Len() == 0
}

// releaseGrant marks the unused part of the grant for return with the next ledger write.
func releaseGrant(w *world.World, b *table.Budget) {
	if b.Granted == 0 {
		return
	}
	b.ReleaseUnused = true
	ledger.MarkDirty(w, b)
}

// releaseAllGrants returns the unused parts of all grants and slices. It runs once, at the
// start of a drain.
func releaseAllGrants(w *world.World) {
	w.Budgets.Each(func(_ table.BudgetID, b *table.Budget) {
		if b.Granted == 0 {
			return
		}
		releaseGrant(w, b)
		ledger.ForceWrite(w, b)
	})
	for i := range w.ReceivedSlices.Len() {
		key, s := w.ReceivedSlices.At(i)
		if s.Reserved == 0 {
			closeSlice(w, ensureBudget(w, s.Budget), key, s)
		}
	}
}
