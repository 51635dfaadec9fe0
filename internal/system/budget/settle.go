package budget

import (
	"laburnumroad.dev/laburnumroad/internal/system/ledger"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// settleEnded charges each ended request exactly once: settlement clears the reservation,
// and only requests with a reservation are settled.
func settleEnded(w *world.World) {
	if w.Requests.CountInState(table.RequestEnded) == 0 {
		return
	}
	for _, id := range w.Requests.InState(table.RequestEnded) {
		r := w.Requests.Get(id)
		if r.Reserved > 0 {
			settleRequest(w, r)
		}
	}
}

func settleRequest(w *world.World, r *table.Request) {
	charge := min(max(0, actualCost(w, r)), r.Reserved)
	explainCharge(w, r, charge)
	recordSpend(w, ensureBudget(w, r.Budget), charge)
	releaseReservation(w, r, charge)
	r.Outcome.Charged = charge
}

// releaseReservation ends a reservation and records the part of it that was spent.
func releaseReservation(w *world.World, r *table.Request, charge table.Tokens) {
	b := ensureBudget(w, r.Budget)
	b.LastUsedAt = w.Now
	updateTarget(w, b)
	if r.Slice == (table.SliceKey{}) {
		settleToGrant(w, b, r, charge)
	} else {
		settleToSlice(w, b, r, charge)
	}
	r.Reserved = 0
}

func settleToGrant(w *world.World, b *table.Budget, r *table.Request, charge table.Tokens) {
	b.Reserved -= r.Reserved
	b.Unsettled += charge
	if w.Draining {
		releaseGrant(w, b)
		ledger.ForceWrite(w, b)
	}
	if charge > 0 {
		ledger.MarkDirty(w, b)
	}
}

// actualCost returns the cost of a request over all its attempts. A plain call that may
// have run is charged, because its agent may have charged it.
func actualCost(w *world.World, r *table.Request) table.Tokens {
	if r.Outcome.Replayed {
		return 0
	}
	if r.Kind == table.ServiceModel {
		return r.Outcome.PromptTokens + r.Outcome.OutputTokens
	}
	if !r.Outcome.OK && r.Outcome.Ran == table.NotRun {
		return 0
	}
	return plainCallCost(w, r)
}

// plainCallCost returns the cost of a plain call. If the configuration no longer contains
// the service or operation, the reservation is the cost that admission determined.
func plainCallCost(w *world.World, r *table.Request) table.Tokens {
	if s := w.Services.Get(r.Service); s != nil {
		if op, ok := s.Operations[r.Operation]; ok {
			return op.Cost
		}
	}
	return r.Reserved
}
