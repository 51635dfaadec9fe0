package budget

import (
	"laburnumroad.dev/laburnumroad/internal/system/ledger"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// refused ends a request that cannot get its budget. Before that, the ledger
// must have been read after the request arrived, or the wait timed out.
func refused(w *world.World, b *table.Budget, r *table.Request) bool {
	if w.Now >= giveUpAt(r) {
		refuse(w, r, table.CodeBudgetUnreachable, "no more of the budget could be reached in time")
		return true
	}
	s := ledger.Shard(w, b.Shard)
	if !s.Known || s.ReadAt < r.ReserveSince || s.Pending != nil {
		return false
	}
	ledgerRow := s.Content.Find(b.ID)
	if ledgerRow == nil {
		refuse(w, r, table.CodeBudgetExhausted, "the budget does not exist")
		return true
	}
	free := ledgerRow.Free()
	need := r.Reserve - b.Own()
	if need <= free {
		return false
	}
	if need > free+others(w, ledgerRow) {
		refuse(w, r, table.CodeBudgetExhausted, "the rest of the budget is smaller than the reservation")
		return true
	}
	refuse(w, r, table.CodeBudgetUnreachable, "the rest of the budget is held by other routers")
	return true
}

// others returns what other holders have of a budget.
func others(w *world.World, row *table.LedgerBudget) table.Tokens {
	var sum table.Tokens
	for _, g := range row.Grants {
		if g.Holder != w.Self() {
			sum += g.Amount
		}
	}
	return sum
}

func refuse(w *world.World, r *table.Request, code table.Code, reason string) {
	w.Count("budget.refused." + string(code))
	w.Explain(r.ID, "budget", reason)
	after := retryAfter
	if code == table.CodeBudgetExhausted {
		after = 0
	}
	w.Refuse(r, code, reason, after)
}
