package allowance

import (
	"cmp"
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// allowanceInterval is the interval between reports of what this router may
	// still spend. The reports also keep sessions open, which end after several
	// missing ones.
	allowanceInterval = 500 * time.Millisecond
	// transferTimeout is how long to wait for transfers from other routers.
	transferTimeout = 20 * time.Millisecond
	// transferRetryInterval is the delay before the same need is requested again.
	transferRetryInterval = 60 * time.Millisecond
	// maxTransferPeers bounds the routers that are asked at once.
	maxTransferPeers = 3
	// dialYieldDelay is how long the router with the greater name waits before it
	// dials.
	dialYieldDelay = 400 * time.Millisecond
	// minRedialDelay and maxRedialDelay bound the delay between attempts to connect
	// to a router that has an entry in the ledger: its process may have ended.
	minRedialDelay = 250 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

// SyncPeers handles the sessions with the other routers and the transfers of
// allowances between them, which work while the store is out of reach.
func SyncPeers(w *world.World) {
	for i := range w.In.SessionsOpened {
		opened := &w.In.SessionsOpened[i]
		w.AllowancePeers.Put(opened.Process.Process, table.AllowancePeer{
			Holder: opened.Process.Holder, Connected: true, Session: opened.Session,
		})
		w.RecordStateChange("router", string(opened.Process.Process), "", "connected", "session opened")
	}
	for _, closed := range w.In.SessionsClosed {
		peer := w.AllowancePeers.Get(closed.Peer.Process)
		if peer != nil && peer.Session == closed.Session {
			peer.Connected, peer.Available = false, nil
			w.LimitRequests.Delete(peer.Process)
			w.RecordStateChange("router", string(peer.Process), "connected", "", "session ended")
		}
	}
	for i := range w.In.Allowances {
		e := &w.In.Allowances[i]
		if peer := w.AllowancePeers.Get(e.From.Process); peer != nil && peer.Holder == e.From {
			peer.Available, peer.StoreDown = e.Available, e.StoreDown
		}
	}
	for i := range w.In.Transfers {
		onTransfer(w, &w.In.Transfers[i])
	}
	for i := range w.In.TransferRequests {
		onTransferRequest(w, &w.In.TransferRequests[i])
	}
	dialPeers(w)
	sendAllowance(w)
}

// dialPeers opens sessions with the routers in the ledger. In each pair, the
// router with the lesser name dials at once. The other one waits first,
// because it may learn of its peer before the peer learns of it.
func dialPeers(w *world.World) {
	for i := range w.LimitLedgerView.Content.Holders {
		holder := &w.LimitLedgerView.Content.Holders[i]
		if holder.Process == w.Self().Process || holder.Address == "" {
			continue
		}
		peer := w.AllowancePeers.Get(holder.Process)
		if peer == nil || peer.Holder != holder.Holder && !peer.Connected {
			peer = w.AllowancePeers.Put(holder.Process, table.AllowancePeer{Holder: holder.Holder})
			if holder.Process < w.Self().Process {
				peer.DialAt = w.Now.Add(dialYieldDelay)
			}
		}
		if peer.Connected || peer.DialAt > w.Now {
			if !peer.Connected {
				w.WakeAt(peer.DialAt)
			}
			continue
		}
		peer.DialBackoff = min(max(2*peer.DialBackoff, minRedialDelay), maxRedialDelay)
		peer.DialAt = w.Now.Add(peer.DialBackoff)
		w.WakeAt(peer.DialAt)
		w.Out.Dials = append(w.Out.Dials, command.Dial{Process: holder.Process, Address: holder.Address})
	}
}

// sendAllowance reports periodically to the other routers what this one may
// still spend.
func sendAllowance(w *world.World) {
	nextReport := w.AllowanceSentAt.Add(allowanceInterval)
	if nextReport > w.Now {
		w.WakeAt(nextReport)
		return
	}
	w.AllowanceSentAt = w.Now
	w.WakeAt(w.Now.Add(allowanceInterval))
	available := make(map[table.CustomerID]table.Tokens, w.Accounts.Len())
	w.Accounts.Each(func(c table.CustomerID, a *table.Account) {
		if n := a.Available(); n > 0 {
			available[c] = n
		}
	})
	w.Out.Allowances = append(w.Out.Allowances, command.SendAllowance{
		Allowance: event.Allowance{Available: available, StoreDown: !w.PlatformReachable || w.LimitLedgerView.Backoff > 0},
	})
}

func onTransfer(w *world.World, e *event.Transfer) {
	if e.Amount <= 0 {
		return
	}
	a := ensureAccount(w, e.Customer)
	a.TransferredIn += e.Amount
	a.TransferRequestedAt = 0
	w.CountN("allowance.transferred_in", int64(e.Amount))
}

// onTransferRequest transfers tokens that no request here needs to a router with
// a waiting request. Of what remains after the need, this router keeps at least
// half.
func onTransferRequest(w *world.World, e *event.TransferRequest) {
	a := w.Accounts.Get(e.Customer)
	if a == nil || e.Need <= 0 {
		return
	}
	available := a.Available() - a.WaitingTokens
	amount := min(e.Need, available)
	if excess := available - e.Need; excess > 0 {
		amount += min(max(0, e.Want-e.Need), excess/2)
	}
	if amount <= 0 {
		return
	}
	a.TransferredOut += amount
	w.CountN("allowance.transferred_out", int64(amount))
	w.Out.Transfers = append(w.Out.Transfers, command.SendTransfer{
		To: e.From, Transfer: event.Transfer{Customer: e.Customer, Amount: amount},
	})
}

// requestTransfers asks the routers that reported the most available tokens for
// what a waiting request needs, once per need. Transfers need no call to the
// store.
func requestTransfers(w *world.World, a *table.Account) {
	if transferPending(w, a) {
		w.WakeAt(a.TransferRequestedAt.Add(transferTimeout))
		return
	}
	if a.TransferRequestedAt != 0 && a.TransferRequestedNeed == a.SmallestShortfall && a.TransferRequestedAt.Add(transferRetryInterval) > w.Now {
		w.WakeAt(a.TransferRequestedAt.Add(transferRetryInterval))
		return
	}
	p := w.PrepaidCustomers.Get(a.Customer)
	if p == nil {
		return
	}
	need := a.SmallestShortfall
	want := a.WaitingTokens + targetMargin(w, a, p)/2
	for _, peer := range transferCandidates(w, a.Customer) {
		amount := min(need, peer.Available[a.Customer])
		w.Out.TransferRequests = append(w.Out.TransferRequests, command.SendTransferRequest{
			To: peer.Holder, Request: event.TransferRequest{Customer: a.Customer, Need: amount, Want: want + amount},
		})
		peer.Available[a.Customer] -= amount
		need -= amount
		a.TransferRequestedAt, a.TransferRequestedNeed = w.Now, a.SmallestShortfall
		w.Count("allowance.asked")
		if need <= 0 {
			break
		}
	}
	if transferPending(w, a) {
		w.WakeAt(a.TransferRequestedAt.Add(transferTimeout))
	}
}

// transferPending reports whether transfers from other routers may still
// arrive.
func transferPending(w *world.World, a *table.Account) bool {
	return a.TransferRequestedAt != 0 && a.TransferRequestedAt.Add(transferTimeout) > w.Now
}

// transferCandidates returns the connected routers that reported available
// tokens of a customer, those with the most first.
func transferCandidates(w *world.World, c table.CustomerID) []*table.AllowancePeer {
	var candidates []*table.AllowancePeer
	w.AllowancePeers.Each(func(_ table.ProcessID, p *table.AllowancePeer) {
		if p.Connected && p.Available[c] > 0 {
			candidates = append(candidates, p)
		}
	})
	slices.SortStableFunc(candidates, func(a, b *table.AllowancePeer) int { return cmp.Compare(b.Available[c], a.Available[c]) })
	return candidates[:min(len(candidates), maxTransferPeers)]
}
