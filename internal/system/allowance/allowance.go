// Package allowance enforces the customers' prepaid totals for the HTTP front.
// It decides which requests may spend and how much of each total this router
// may spend.
//
// One ledger object records for each router the most that it may spend. A
// router spends only below a limit that is known to be recorded, so the limits
// of all routers, running or not, never add up to more than the total. The
// limits of a router that exited without closing its entry count as spent.
package allowance

import (
	"strings"
	"time"

	"laburnumroad.dev/laburnumroad/internal/system/delegate"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// System is the name of this system in recorded decisions.
const System = "allowance"

const (
	// demandTimeConstant is the time constant of Account.DemandRate, to which each
	// request adds its maximum cost.
	demandTimeConstant = 5 * time.Second
	// meanReservationWeight is the weight of the latest request's maximum cost in
	// Account.MeanReservation.
	meanReservationWeight = 0.1
	// The longest time that a request waits for budget is its latency objective
	// divided by waitObjectiveDivisor, or minBudgetWait if that is longer.
	// minBudgetWait covers one call to the ledger.
	waitObjectiveDivisor = 8
	minBudgetWait        = 40 * time.Millisecond
	// unreachableRetryAfter is the retry delay sent to clients while other
	// routers still hold budget: a partition from the store lasts for seconds.
	// exhaustedRetryAfter is the delay for a total that is spent, which a top-up
	// may raise.
	unreachableRetryAfter = 3 * time.Second
	exhaustedRetryAfter   = 5 * time.Second
)

// Run applies the results of ledger calls and other routers' messages, and reserves
// budget for the waiting requests.
func Run(w *world.World) {
	if w.StoreEra.Returned {
		beginEra(w)
	}
	for i := range w.In.LimitLedgerResults {
		onLedgerResult(w, &w.In.LimitLedgerResults[i])
	}
	for _, closed := range w.In.SessionsClosed {
		onSessionClosed(w, closed.Peer.Process)
	}
	for i := range w.In.Transfers {
		onTransfer(w, &w.In.Transfers[i])
	}
	for i := range w.In.TransferRequests {
		onTransferRequest(w, &w.In.TransferRequests[i])
	}
	for i := range w.In.LimitRequests {
		onLimitRequest(w, &w.In.LimitRequests[i])
	}
	for i := range w.In.LedgerChanges {
		onLedgerChange(w, &w.In.LedgerChanges[i])
	}
	for i := range w.In.RouterReports {
		if r := &w.In.RouterReports[i]; r.WantsLedgerOf == w.Self() {
			tellLedger(w, r.From)
		}
	}
	w.Accounts.Each(func(_ table.CustomerID, a *table.Account) { a.SmallestShortfall, a.WaitingTokens = 0, 0 })
	servePendingTransfers(w)
	for _, id := range w.ExchangesWaiting.Keys() {
		if x := w.Exchanges.Get(id); x.State == table.ExchangeReserving {
			reserve(w, x)
		}
	}
	w.Accounts.Each(func(c table.CustomerID, a *table.Account) {
		if a.SmallestShortfall > 0 {
			requestTransfers(w, a)
		}
	})
}

// onSessionClosed drops what a router asked for that is no longer connected.
func onSessionClosed(w *world.World, id table.ProcessID) {
	if p := w.RouterPeers.Get(id); p != nil && p.Connected {
		// A later session is open.
		return
	}
	w.LimitRequests.Delete(id)
	w.PendingTransfers.DeleteIf(func(k table.TransferKey, _ *table.PendingTransfer) bool { return k.Process == id })
}

// HeldTokens returns what this router may still spend of the totals that it holds
// limits of.
func HeldTokens(w *world.World) map[table.CustomerID]table.Tokens {
	held := make(map[table.CustomerID]table.Tokens)
	w.Accounts.Each(func(c table.CustomerID, a *table.Account) {
		if n := a.Available(); n > 0 && delegate.For(w, string(c)).IncludesSelf {
			held[c] = n
		}
	})
	return held
}

// ensureAccount returns the account of a customer and adds it if absent.
func ensureAccount(w *world.World, c table.CustomerID) *table.Account {
	if a := w.Accounts.Get(c); a != nil {
		return a
	}
	return w.Accounts.Put(c, table.Account{Customer: c, DemandRate: table.DecayingRate{UpdatedAt: w.Now}})
}

// reserve reserves the maximum cost of a request if the available tokens cover
// it. Otherwise the request waits or is refused.
func reserve(w *world.World, x *table.Exchange) {
	cost := x.MaxCost()
	a := ensureAccount(w, x.Customer)
	if x.Reserved == 0 && w.Now == x.ArrivedAt {
		recordDemand(w, a, x.RoutePriority, cost)
	}
	if refuseIfLessUrgent(w, x, a, cost) {
		return
	}
	if a.Available() >= cost {
		a.Reserved += cost
		x.Reserved = cost
		x.State = table.ExchangePlacing
		return
	}
	if refuseIfNotCovered(w, x, a, cost) {
		return
	}
	addWaiting(a, x.Request, cost)
}

// addWaiting adds a request that the available tokens do not cover to those that
// wait.
func addWaiting(a *table.Account, id table.RequestID, cost table.Tokens) {
	a.WaitingTokens += cost
	if shortfall := cost - a.Available(); a.SmallestShortfall == 0 || shortfall < a.SmallestShortfall {
		a.SmallestShortfall, a.ShortRequest = shortfall, id
	}
}

// recordDemand adds a new request to the demand of its account and of its
// priority, and to MeanReservation.
func recordDemand(w *world.World, a *table.Account, priority int, cost table.Tokens) {
	addPriorityDemand(w, priority, cost)
	a.DemandRate.Add(w.Now, float64(cost), demandTimeConstant)
	if a.MeanReservation == 0 {
		a.MeanReservation = float64(cost)
	}
	a.MeanReservation += meanReservationWeight * (float64(cost) - a.MeanReservation)
}

// refuseIfNotCovered refuses a request that the available tokens do not cover,
// and reports whether it did. Unless the total is known to be spent, the
// request first waits for a ledger call or a transfer.
func refuseIfNotCovered(w *world.World, x *table.Exchange, a *table.Account, cost table.Tokens) bool {
	remaining := maxRemaining(w, a)
	if w.LimitLedgerView.ContentKnown && remaining < cost {
		refuse(w, x, a, table.Outcome{
			Code: table.CodeBudgetExhausted, Reason: "the rest of the budget does not cover the request at its maximum",
			Ran: table.NotRun, RetryAfter: exhaustedRetryAfter,
		}, remaining)
		return true
	}
	if allReserved(w, a, cost-a.Available()) {
		refuse(w, x, a, table.Outcome{
			Code: table.CodeBudgetExhausted, Reason: "the rest of the budget is reserved by requests in progress",
			Ran: table.NotRun, RetryAfter: exhaustedRetryAfter,
		}, remaining)
		return true
	}
	waitEnd := waitEndOf(x)
	if w.Now < waitEnd {
		w.WakeAt(waitEnd)
		return false
	}
	refuse(w, x, a, table.Outcome{
		Code: table.CodeBudgetUnreachable, Reason: "the rest of the budget is held by other routers or out of reach",
		Ran: table.NotRun, RetryAfter: unreachableRetryAfter,
	}, remaining)
	return true
}

// waitEndOf returns until when a request waits for budget.
func waitEndOf(x *table.Exchange) table.Instant {
	return x.ArrivedAt.Add(max(minBudgetWait, x.LatencyObjective/waitObjectiveDivisor))
}

// allReserved reports whether each holder has said that it has too little for a waiting
// request, and the ledger has nothing left: requests in progress have reserved the
// rest, so that waiting is in vain.
func allReserved(w *world.World, a *table.Account, missing table.Tokens) bool {
	s := &w.LimitLedgerView
	if !s.ContentKnown || transferPending(w, a) || s.ConfirmedAt.Add(ledgerStaleAfter) <= w.Now {
		return false
	}
	holders := delegate.For(w, string(a.Customer))
	for _, h := range holders.Routers {
		if h != w.Self() && !hasDenied(a, h) {
			return false
		}
	}
	p := w.PrepaidCustomers.Get(a.Customer)
	return len(holders.Routers) > 1 && p != nil && p.Total-s.Sums[a.Customer].Allocated < missing
}

// maxRemaining returns an upper bound of what remains of a customer's total: the
// total less what routers are known to have spent.
func maxRemaining(w *world.World, a *table.Account) table.Tokens {
	p := w.PrepaidCustomers.Get(a.Customer)
	if p == nil {
		return 0
	}
	spent := w.LimitLedgerView.Sums[a.Customer].Spent
	if h := w.LimitLedgerView.Content.Find(w.Self()); h != nil {
		spent -= h.Entries[a.Customer].Spent
	}
	return p.Total - spent - a.NetSpent()
}

// deniedBy returns the names of the holders that recently had too little for a
// transfer.
func deniedBy(a *table.Account) string {
	names := make([]string, 0, len(a.Denials))
	for _, d := range a.Denials {
		names = append(names, string(d.Holder.Process))
	}
	return strings.Join(names, " ")
}

// refuse ends a request and records the amounts behind the decision.
func refuse(w *world.World, x *table.Exchange, a *table.Account, outcome table.Outcome, remaining table.Tokens) {
	w.Count("allowance.refused." + string(outcome.Code))
	w.RecordDecision(x.Request, System, "refused: "+outcome.Reason,
		tokensInput("cost", x.MaxCost()), tokensInput("free", a.Available()), tokensInput("limit", a.Limit),
		tokensInput("spent", a.Spent), tokensInput("reserved", a.Reserved), tokensInput("remaining_at_most", remaining),
		table.Input{Name: "denied_by", Value: deniedBy(a)},
		table.Input{Name: "ledger_age", Value: w.Now.Sub(w.LimitLedgerView.ConfirmedAt).Round(time.Millisecond).String()})
	w.FinishExchange(x, false, outcome)
}
