// Package allowance decides which HTTP requests may spend their customer's
// prepaid total, and how much of each total this router may spend.
//
// One ledger object records for each router the most that it may spend. A router
// spends only below a limit that is known to be recorded, so the limits of all
// routers, alive or not, never add up to more than the total. Limits of routers
// that died without closing their entry count as spent.
package allowance

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// System names this system in explanations.
const System = "allowance"

const (
	// demandTime is the time constant of the moving average of demand.
	demandTime = 5 * time.Second
	// meanShare is the weight of the latest reservation in their mean size.
	meanShare = 0.1
	// patienceShare is the part of a request's objective for which it may wait
	// for budget; patienceLeast covers a call to the ledger for short objectives.
	patienceShare = 8
	patienceLeast = 40 * time.Millisecond
	// unreachableRetry is what a client is told when budget remains elsewhere: a
	// partition from the store lasts for seconds. exhaustedRetry is for a total
	// that is spent, because a top-up may come.
	unreachableRetry = 3 * time.Second
	exhaustedRetry   = 5 * time.Second
)

// Run takes the ledger's answers and serves the requests that wait for budget.
func Run(w *world.World) {
	for i := range w.In.LimitAnswers {
		onAnswer(w, &w.In.LimitAnswers[i])
	}
	for i := range w.In.LimitRequests {
		onRequest(w, &w.In.LimitRequests[i])
	}
	for i := range w.In.LedgerChanges {
		onChange(w, &w.In.LedgerChanges[i])
	}
	w.Accounts.Each(func(_ table.CustomerID, a *table.Account) { a.Missing, a.Waiting = 0, 0 })
	for _, id := range w.ExchangesWaiting.Keys() {
		if x := w.Exchanges.Get(id); x.State == table.ExchangeReserving {
			reserve(w, x)
		}
	}
	w.Accounts.Each(func(c table.CustomerID, a *table.Account) {
		if a.Missing > 0 {
			ask(w, a)
		}
	})
}

// account returns the row of a customer, which it adds if absent.
func account(w *world.World, c table.CustomerID) *table.Account {
	if a := w.Accounts.Get(c); a != nil {
		return a
	}
	return w.Accounts.Put(c, table.Account{Customer: c, Demand: table.DecayingRate{At: w.Now}})
}

func reserve(w *world.World, x *table.Exchange) {
	cost := x.MaxCost()
	a := account(w, x.Customer)
	if x.Reserved == 0 && w.Now == x.Arrived {
		noteDemand(w, a, cost)
	}
	if a.Free() >= cost {
		a.Reserved += cost
		x.Reserved = cost
		x.State = table.ExchangePlacing
		return
	}
	if refused(w, x, a, cost) {
		return
	}
	a.Waiting += cost
	if missing := cost - a.Free(); a.Missing == 0 || missing < a.Missing {
		a.Missing = missing
	}
}

func noteDemand(w *world.World, a *table.Account, cost table.Tokens) {
	a.Demand.Add(w.Now, float64(cost), demandTime)
	if a.Mean == 0 {
		a.Mean = float64(cost)
	}
	a.Mean += meanShare * (float64(cost) - a.Mean)
}

// refused ends a request that cannot be paid for. It waits for a call to the
// ledger first, unless the total is known to be spent.
func refused(w *world.World, x *table.Exchange, a *table.Account, cost table.Tokens) bool {
	left := remaining(w, a)
	if w.LimitShare.Known && left < cost {
		refuse(w, x, a, table.Outcome{
			Code: table.CodeBudgetExhausted, Reason: "the rest of the budget does not cover the request at its maximum",
			Ran: table.NotRun, RetryAfter: exhaustedRetry,
		}, left)
		return true
	}
	due := x.Arrived.Add(max(patienceLeast, x.Objective/patienceShare))
	if w.Now < due {
		w.WakeAt(due)
		return false
	}
	refuse(w, x, a, table.Outcome{
		Code: table.CodeBudgetUnreachable, Reason: "the rest of the budget is held by other routers or out of reach",
		Ran: table.NotRun, RetryAfter: unreachableRetry,
	}, left)
	return true
}

// remaining returns the most that may be left of a customer's total: what no
// router is known to have spent.
func remaining(w *world.World, a *table.Account) table.Tokens {
	p := w.Prepaids.Get(a.Customer)
	if p == nil {
		return 0
	}
	spent := w.LimitShare.Content.KnownSpent(a.Customer)
	if h := w.LimitShare.Content.Find(w.Self()); h != nil {
		spent -= h.Entries[a.Customer].Spent
	}
	return p.Total - spent - a.Net()
}

func refuse(w *world.World, x *table.Exchange, a *table.Account, o table.Outcome, left table.Tokens) {
	w.Count("allowance.refused." + string(o.Code))
	w.Explain(x.Request, System, "refused: "+o.Reason,
		tokens("cost", x.MaxCost()), tokens("free", a.Free()), tokens("limit", a.Limit),
		tokens("spent", a.Spent), tokens("reserved", a.Reserved), tokens("remaining_at_most", left),
		table.Input{Name: "ledger_age", Value: w.Now.Sub(w.LimitShare.Confirmed).Round(time.Millisecond).String()})
	w.FinishExchange(x, false, o)
}
