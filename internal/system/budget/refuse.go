package budget

import (
	"laburnumroad.dev/laburnumroad/internal/system/ledger"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// refused ends a request that cannot get its budget. Before it is told that the
// budget is exhausted, the ledger was read after the request arrived, and no
// holder has enough.
func refused(w *world.World, b *table.Budget, r *table.Request) bool {
	if w.Now >= giveUpAt(r) {
		refuse(w, r, table.CodeBudgetUnreachable, "no more of the budget could be reached in time")
		return true
	}
	s := ledger.Shard(w, b.Shard)
	fresh := s.Known && s.ReadAt >= r.ReserveSince && s.Pending == nil
	need := r.Reserve - b.Own()
	var free, elsewhere table.Tokens
	if known := s.Content.Find(b.ID); known != nil {
		free, elsewhere = known.Free(), others(w, known)+b.SliceOut+b.SliceIn
	}
	if fresh && need > free+elsewhere {
		refuse(w, r, table.CodeBudgetExhausted, "the rest of the budget is smaller than the reservation")
		return true
	}
	ask := w.SliceAsks.Get(b.ID)
	if ask == nil || !ask.Done || ask.Stage != table.SliceHolders || ask.SentAt < r.ReserveSince {
		return false
	}
	if fresh && need <= free+ask.Released || b.AtHome {
		return false
	}
	if fresh && !ask.Unreached {
		refuse(w, r, table.CodeBudgetExhausted, "no holder has enough of the budget")
		return true
	}
	refuse(w, r, table.CodeBudgetUnreachable, "the rest of the budget is out of reach")
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
