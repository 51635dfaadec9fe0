package allowance

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// priorityTimeConstant is the time constant of DemandByPriority. The shares of the
// priorities change less than the demand of a single customer.
const priorityTimeConstant = 30 * time.Second

// refuseIfLessUrgent refuses a request if what crashed routers left of the total is
// needed for more urgent ones, and reports whether it did.
//
// The tokens that a crashed router held without having recorded them as spent count
// as spent, so the total runs out earlier than its customer expects. Without an order,
// all kinds of requests would fail from then on; with it, the less urgent ones bear
// the loss.
func refuseIfLessUrgent(w *world.World, x *table.Exchange, a *table.Account, cost table.Tokens) bool {
	kept := urgentReserve(w, x)
	if kept == 0 {
		return false
	}
	remaining := maxRemaining(w, a)
	if remaining-cost >= kept {
		return false
	}
	refuse(w, x, a, table.Outcome{
		Code: table.CodeBudgetReserved, Reason: "the rest of the budget is kept for more urgent requests",
		Ran: table.NotRun, RetryAfter: exhaustedRetryAfter,
	}, remaining)
	return true
}

// urgentReserve returns the part of a customer's total that requests like x leave to
// more urgent ones: their share of the demand, but no more than crashes took.
func urgentReserve(w *world.World, x *table.Exchange) table.Tokens {
	lost := w.LimitLedgerView.Content.LostTokens[x.Customer]
	p := w.PrepaidCustomers.Get(x.Customer)
	if lost == 0 || p == nil {
		return 0
	}
	var urgent, all float64
	w.DemandByPriority.Each(func(priority int, rate *table.DecayingRate) {
		rate.Add(w.Now, 0, priorityTimeConstant)
		all += rate.PerSecond
		if priority < x.RoutePriority {
			urgent += rate.PerSecond
		}
	})
	if urgent == 0 {
		return 0
	}
	return min(lost, table.Tokens(urgent/all*float64(p.Total)))
}

// addPriorityDemand adds a request to the demand of its priority.
func addPriorityDemand(w *world.World, priority int, cost table.Tokens) {
	rate := w.DemandByPriority.Get(priority)
	if rate == nil {
		rate = w.DemandByPriority.Put(priority, table.DecayingRate{UpdatedAt: w.Now})
	}
	rate.Add(w.Now, float64(cost), priorityTimeConstant)
}
