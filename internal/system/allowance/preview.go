package allowance

import (
	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Preview returns what the customer's budget lets a new request do. It changes w, which must
// be a preview, and the request as a reservation does.
func Preview(w *world.World, x *table.Exchange) command.WhereBudget {
	if x.State != table.ExchangeReserving {
		return command.WhereBudget{Verdict: command.WhereSent}
	}
	a := ensureAccount(w, x.Customer)
	s := &w.LimitLedgerView
	b := command.WhereBudget{
		Limited: true, Cost: x.MaxCost(), Available: a.Available(), RemainingAtMost: maxRemaining(w, a), LedgerKnown: s.ContentKnown,
		Verdict: command.WhereSent,
	}
	if s.ContentKnown {
		b.LedgerAge = w.Now.Sub(s.ConfirmedAt)
	}
	reserve(w, x)
	switch {
	case x.State == table.ExchangeReserving:
		b.Verdict, b.Wait = command.WhereWaits, waitEndOf(x).Sub(w.Now)
		now := w.Now
		w.Now = waitEndOf(x)
		reserve(w, x)
		w.Now = now
	case x.State != table.ExchangePlacing:
		b.Verdict = command.WhereRefused
	}
	if n := len(w.Out.FinishExchanges); n > 0 {
		b.Outcome = w.Out.FinishExchanges[n-1].Outcome
	}
	return b
}
