package budget

import (
	"laburnumroad.dev/laburnumroad/internal/system/ledger"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// refuseIfUnavailable refuses a request whose budget cannot be obtained, and reports
// whether it did. It reports the budget as exhausted only if the ledger was read after the
// request arrived and no holder has enough.
func refuseIfUnavailable(w *world.World, b *table.Budget, r *table.Request) bool {
	if w.Now >= reservationDeadline(r) {
		refuseRequest(w, r, table.CodeBudgetUnreachable, "no more of the budget could be reached in time")
		return true
	}
	s := ledger.Shard(w, b.Shard)
	ledgerFresh := s.ContentKnown && s.ReadAt >= r.BudgetWaitSince && s.PendingWrite == nil
	need := r.WantedReservation - b.AvailableFromGrant()
	var ungranted, heldElsewhere table.Tokens
	if ledgerRow := s.Content.Find(b.ID); ledgerRow != nil {
		ungranted, heldElsewhere = ledgerRow.Ungranted(), heldByOthers(w, ledgerRow)+b.GrantedSliceTokens+b.ReceivedSliceTokens
	}
	if ledgerFresh && need > ungranted+heldElsewhere {
		refuseRequest(w, r, table.CodeBudgetExhausted, "the rest of the budget is smaller than the reservation")
		return true
	}
	round := w.SliceRequestRounds.Get(b.ID)
	if round == nil || !round.Done || round.Stage != table.SliceFromHolders || round.CallSentAt < r.BudgetWaitSince {
		return false
	}
	if ledgerFresh && need <= ungranted+round.Released || b.HomeSliceFirst {
		return false
	}
	if ledgerFresh && !round.SomeUnreached {
		refuseRequest(w, r, table.CodeBudgetExhausted, "no holder has enough of the budget")
		return true
	}
	refuseRequest(w, r, table.CodeBudgetUnreachable, "the rest of the budget is out of reach")
	return true
}

// heldByOthers returns the sum of the grants of all other holders.
func heldByOthers(w *world.World, ledgerRow *table.LedgerBudget) table.Tokens {
	var sum table.Tokens
	for _, g := range ledgerRow.Grants {
		if g.Holder != w.Self() {
			sum += g.Amount
		}
	}
	return sum
}

func refuseRequest(w *world.World, r *table.Request, code table.Code, reason string) {
	w.Count("budget.refused." + string(code))
	w.RecordDecision(r.ID, "budget", reason)
	retryAfter := refusalRetryAfter
	if code == table.CodeBudgetExhausted {
		retryAfter = 0
	}
	w.Refuse(r, code, reason, retryAfter)
}
