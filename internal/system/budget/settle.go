package budget

import (
	"laburnumroad.dev/laburnumroad/internal/system/ledger"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// settleEnded charges each ended request once: a settled request has nothing
// reserved any more.
func settleEnded(w *world.World) {
	if w.Requests.Count(table.RequestEnded) == 0 {
		return
	}
	for _, id := range w.Requests.In(table.RequestEnded) {
		r := w.Requests.Get(id)
		if r.Reserved > 0 {
			settle(w, r)
		}
	}
}

func settle(w *world.World, r *table.Request) {
	charge := min(max(0, trueCost(w, r)), r.Reserved)
	explainCharge(w, r, charge)
	addDemand(w, row(w, r.Budget), charge)
	free(w, r, charge)
	r.Outcome.Charged = charge
}

// free ends a reservation of which a charge was spent.
func free(w *world.World, r *table.Request, charge table.Tokens) {
	b := row(w, r.Budget)
	b.UsedAt = w.Now
	setTarget(w, b)
	if r.Slice == (table.SliceKey{}) {
		settleOwn(w, b, r, charge)
	} else {
		settleSlice(w, b, r, charge)
	}
	r.Reserved = 0
}

func settleOwn(w *world.World, b *table.Budget, r *table.Request, charge table.Tokens) {
	b.Reserved -= r.Reserved
	b.Spent += charge
	if w.Draining {
		release(w, b)
		ledger.Force(w, b)
	}
	if charge > 0 {
		ledger.MarkDirty(w, b)
	}
}

// trueCost returns what a request cost over all its attempts. A plain call that
// may have run is charged, because its agent may have counted it.
func trueCost(w *world.World, r *table.Request) table.Tokens {
	if r.Outcome.Replayed {
		return 0
	}
	if r.Kind == table.ServiceModel {
		return r.Outcome.Prompt + r.Outcome.Output
	}
	if !r.Outcome.OK && r.Outcome.Ran == table.NotRun {
		return 0
	}
	return callCost(w, r)
}

// callCost returns the cost of a plain call. Without its service in the
// configuration any more, the reservation is the cost that admission found.
func callCost(w *world.World, r *table.Request) table.Tokens {
	if s := w.Services.Get(r.Service); s != nil {
		if op, ok := s.Operations[r.Operation]; ok {
			return op.Cost
		}
	}
	return r.Reserved
}
