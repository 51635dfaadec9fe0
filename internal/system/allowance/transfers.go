package allowance

import (
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/delegate"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// transferTimeout is how long to wait for a transfer from another router, which
	// may wait for the ledger itself.
	transferTimeout = 30 * time.Millisecond
	// pendingTransferTime is how long a request for a transfer waits for a write of
	// the ledger at the router that was asked.
	pendingTransferTime = 25 * time.Millisecond
	// denialTime is how long a router that had too few tokens is not asked again, and
	// silentPeerTime the same for one that did not answer.
	denialTime     = 150 * time.Millisecond
	silentPeerTime = time.Second
	// keptDemand is the duration of demand for which a router that is not a holder
	// keeps tokens, and returnInterval the least time between two returns of others.
	keptDemand     = time.Second
	returnInterval = 300 * time.Millisecond
)

func onTransfer(w *world.World, e *event.Transfer) {
	if e.Amount < 0 {
		return
	}
	a := ensureAccount(w, e.Customer)
	a.TransferredIn += e.Amount
	w.CountN("allowance.transferred_in", int64(e.Amount))
	if a.TransferRequestedAt == 0 || a.TransferRequestedFrom != e.From {
		return
	}
	a.TransferRequestedAt = 0
	if e.Amount < a.TransferRequestedNeed {
		a.Denials = append(a.Denials, table.TransferDenial{Holder: e.From, Until: w.Now.Add(denialTime)})
	}
}

// onTransferRequest transfers tokens that no request here needs to a router with
// a waiting request. If there are too few and the ledger has more, the request waits
// for a write.
func onTransferRequest(w *world.World, e *event.TransferRequest) {
	if e.Need <= 0 {
		return
	}
	a := ensureAccount(w, e.Customer)
	if !slices.Contains(delegate.For(w, string(e.Customer)).Routers, e.From) {
		// Other holders keep a margin of their own for their demand.
		a.DemandRate.Add(w.Now, float64(e.Need), demandTimeConstant)
	}
	request := table.PendingTransfer{From: e.From, Request: e.Request, Need: e.Need, Want: e.Want, ExpiresAt: w.Now.Add(pendingTransferTime)}
	if a.Available()-a.WaitingTokens < e.Need && canRaiseLimit(w, a, e.Need) {
		w.PendingTransfers.Put(table.TransferKey{Process: e.From.Process, Customer: e.Customer}, request)
		w.WakeAt(request.ExpiresAt)
		return
	}
	transfer(w, a, &request)
}

// canRaiseLimit reports whether a write of the ledger may bring an account the
// tokens that it lacks for a need.
func canRaiseLimit(w *world.World, a *table.Account, need table.Tokens) bool {
	p := w.PrepaidCustomers.Get(a.Customer)
	if p == nil || !w.PlatformReachable || w.LimitLedgerView.Backoff > 0 || !delegate.For(w, string(a.Customer)).IncludesSelf {
		return false
	}
	return p.Total-w.LimitLedgerView.Sums[a.Customer].Allocated >= need-a.Available()
}

// servePendingTransfers answers the waiting requests for transfers whose need is
// covered now or that have waited long enough. The others count as waiting requests
// of this router.
func servePendingTransfers(w *world.World) {
	w.PendingTransfers.DeleteIf(func(k table.TransferKey, r *table.PendingTransfer) bool {
		a := ensureAccount(w, k.Customer)
		if a.Available() >= r.Need || r.ExpiresAt <= w.Now {
			transfer(w, a, r)
			return true
		}
		addWaiting(a, r.Request, r.Need)
		w.WakeAt(r.ExpiresAt)
		return false
	})
}

// transfer sends what a request for a transfer needs, as far as this router has it.
// Of what remains beyond the need, this router keeps at least half.
func transfer(w *world.World, a *table.Account, r *table.PendingTransfer) {
	available := max(0, a.Available()-a.WaitingTokens)
	amount := min(r.Need, available)
	if excess := available - r.Need; excess > 0 {
		amount += min(max(0, r.Want-r.Need), excess/2)
	}
	if amount < r.Need {
		w.RecordDecision(r.Request, System, "too little for another router", table.Input{Name: "router", Value: string(r.From.Process)},
			tokensInput("need", r.Need), tokensInput("given", amount), tokensInput("limit", a.Limit), tokensInput("spent", a.Spent),
			tokensInput("reserved", a.Reserved), tokensInput("waiting", a.WaitingTokens),
			tokensInput("allocated", w.LimitLedgerView.Sums[a.Customer].Allocated))
	}
	sendTransfer(w, a, r.From, amount)
}

func sendTransfer(w *world.World, a *table.Account, to table.Holder, amount table.Tokens) {
	a.TransferredOut += amount
	w.CountN("allowance.transferred_out", int64(amount))
	w.Out.Transfers = append(w.Out.Transfers, command.SendTransfer{
		To: to, Transfer: event.Transfer{Customer: a.Customer, Amount: amount},
	})
}

// requestTransfers asks the next holder for what a waiting request needs. Transfers
// need no call to the store.
func requestTransfers(w *world.World, a *table.Account) {
	if transferPending(w, a) {
		w.WakeAt(a.TransferRequestedAt.Add(transferTimeout))
		return
	}
	if a.TransferRequestedAt != 0 {
		avoidSilentPeer(w, a)
	}
	holder := nextHolder(w, a)
	if holder == nil {
		return
	}
	a.TransferRequestedFrom, a.TransferRequestedAt, a.TransferRequestedNeed = holder.Holder, w.Now, a.SmallestShortfall
	if holder.Available[a.Customer] > 0 {
		holder.Available[a.Customer] -= a.SmallestShortfall
	}
	want := a.WaitingTokens - a.Available() + spareTokens(w, a)
	w.Out.TransferRequests = append(w.Out.TransferRequests, command.SendTransferRequest{
		To: holder.Holder, Request: event.TransferRequest{
			Customer: a.Customer, Request: a.ShortRequest, Need: a.SmallestShortfall, Want: max(want, a.SmallestShortfall),
		},
	})
	w.Count("allowance.asked")
	w.WakeAt(w.Now.Add(transferTimeout))
}

// avoidSilentPeer excludes a router that did not answer a request for a transfer
// from further ones for a while.
func avoidSilentPeer(w *world.World, a *table.Account) {
	a.TransferRequestedAt = 0
	if p := w.RouterPeers.Get(a.TransferRequestedFrom.Process); p != nil && p.Holder == a.TransferRequestedFrom {
		p.NoTransferRequestsUntil = w.Now.Add(silentPeerTime)
	}
	w.Count("allowance.asked_unanswered")
}

// transferPending reports whether the answer to a request for a transfer may still
// arrive.
func transferPending(w *world.World, a *table.Account) bool {
	return a.TransferRequestedAt != 0 && a.TransferRequestedAt.Add(transferTimeout) > w.Now
}

// nextHolder returns the holder to ask for a transfer, or nil: the nearest one if it
// reported about as much as others, else the one that reported the most. Holders that
// recently denied a transfer or did not answer are left out.
func nextHolder(w *world.World, a *table.Account) *table.RouterPeer {
	a.Denials = slices.DeleteFunc(a.Denials, func(d table.TransferDenial) bool { return d.Until <= w.Now })
	var nearest, richest *table.RouterPeer
	for _, h := range delegate.For(w, string(a.Customer)).Routers {
		p := w.RouterPeers.Get(h.Process)
		if p == nil || p.Holder != h || !p.Connected || p.NoTransferRequestsUntil > w.Now || hasDenied(a, h) {
			continue
		}
		if nearest == nil {
			nearest = p
		}
		if richest == nil || p.Available[a.Customer] > richest.Available[a.Customer] {
			richest = p
		}
	}
	if nearest != nil && nearest.Available[a.Customer] >= richest.Available[a.Customer]/2 {
		return nearest
	}
	return richest
}

func hasDenied(a *table.Account, h table.Holder) bool {
	return slices.ContainsFunc(a.Denials, func(d table.TransferDenial) bool { return d.Holder == h })
}

// spareTokens returns what a router wants beyond the need of its waiting requests:
// holders even out their margins, the others take what they keep.
func spareTokens(w *world.World, a *table.Account) table.Tokens {
	if p := w.PrepaidCustomers.Get(a.Customer); p != nil && delegate.For(w, string(a.Customer)).IncludesSelf {
		return targetMargin(w, a, p) / 2
	}
	return keptTokens(w, a)
}

// keptTokens returns what a router that is not a holder keeps of a customer's
// tokens for the next requests.
func keptTokens(w *world.World, a *table.Account) table.Tokens {
	a.DemandRate.Add(w.Now, 0, demandTimeConstant)
	return table.Tokens(a.DemandRate.PerSecond * keptDemand.Seconds())
}

// returnUnused transfers tokens that this router does not need to the nearest holder
// of the customer, if this router is none.
func returnUnused(w *world.World) {
	if w.Closing {
		// The write that closes the entry returns all.
		return
	}
	w.Accounts.Each(func(c table.CustomerID, a *table.Account) {
		if a.Available() <= 0 || a.SmallestShortfall > 0 || delegate.For(w, string(c)).IncludesSelf {
			return
		}
		kept := keptTokens(w, a)
		unused := a.Available() - kept
		if unused <= kept/2 {
			// As demand decays, more becomes unused.
			w.WakeAt(w.Now.Add(demandTimeConstant))
			return
		}
		if !w.DueOrWake(a.ReturnedAt.Add(returnInterval)) {
			return
		}
		if holder := nextHolder(w, a); holder != nil {
			a.ReturnedAt = w.Now
			sendTransfer(w, a, holder.Holder, unused)
		}
	})
}
