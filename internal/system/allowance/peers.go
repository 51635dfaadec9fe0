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
	// tellInterval is the pause between reports to the other routers. They also
	// keep the sessions open, which end after several missing ones.
	tellInterval = 500 * time.Millisecond
	// askTimeout is how long an answer of the other routers is awaited.
	askTimeout = 20 * time.Millisecond
	// askAgain is the pause before the same need is asked for again.
	askAgain = 60 * time.Millisecond
	// askedPeers bounds the routers that are asked at once.
	askedPeers = 3
	// secondDial is when the router with the greater name dials.
	secondDial = 400 * time.Millisecond
	// firstDialPause and longestDialPause bound the pauses between attempts to
	// reach a router whose entry is in the ledger: it may have ended.
	firstDialPause   = 250 * time.Millisecond
	longestDialPause = 2 * time.Second
)

// Peers follows the sessions with the other routers and moves allowances
// between them, which works while the store is out of reach.
func Peers(w *world.World) {
	for i := range w.In.SessionUps {
		up := &w.In.SessionUps[i]
		w.AllowancePeers.Put(up.Process.Process, table.AllowancePeer{
			Holder: up.Process.Holder, Connected: true, Session: up.Session,
		})
		w.Change("router", string(up.Process.Process), "", "connected", "session opened")
	}
	for _, down := range w.In.SessionDowns {
		p := w.AllowancePeers.Get(down.Peer.Process)
		if p != nil && p.Session == down.Session {
			p.Connected, p.Free = false, nil
			w.LimitRequests.Delete(p.Process)
			w.Change("router", string(p.Process), "connected", "", "session ended")
		}
	}
	for i := range w.In.Allowances {
		e := &w.In.Allowances[i]
		if p := w.AllowancePeers.Get(e.From.Process); p != nil && p.Holder == e.From {
			p.Free, p.StoreDown = e.Free, e.StoreDown
		}
	}
	for i := range w.In.Transfers {
		receive(w, &w.In.Transfers[i])
	}
	for i := range w.In.TransferRequests {
		give(w, &w.In.TransferRequests[i])
	}
	dial(w)
	tell(w)
}

// dial opens sessions with the routers in the ledger. Of each two, the one with
// the lesser name dials at once; the other one waits, because it may know the
// first one sooner than that knows it.
func dial(w *world.World) {
	for i := range w.LimitShare.Content.Holders {
		h := &w.LimitShare.Content.Holders[i]
		if h.Process == w.Self().Process || h.Address == "" {
			continue
		}
		p := w.AllowancePeers.Get(h.Process)
		if p == nil || p.Holder != h.Holder && !p.Connected {
			p = w.AllowancePeers.Put(h.Process, table.AllowancePeer{Holder: h.Holder})
			if h.Process < w.Self().Process {
				p.DialAt = w.Now.Add(secondDial)
			}
		}
		if p.Connected || p.DialAt > w.Now {
			if !p.Connected {
				w.WakeAt(p.DialAt)
			}
			continue
		}
		p.DialPause = min(max(2*p.DialPause, firstDialPause), longestDialPause)
		p.DialAt = w.Now.Add(p.DialPause)
		w.WakeAt(p.DialAt)
		w.Out.Dials = append(w.Out.Dials, command.Dial{Process: h.Process, Address: h.Address})
	}
}

// tell reports to the other routers what this one may still spend.
func tell(w *world.World) {
	due := w.ToldAt.Add(tellInterval)
	if due > w.Now {
		w.WakeAt(due)
		return
	}
	w.ToldAt = w.Now
	w.WakeAt(w.Now.Add(tellInterval))
	free := make(map[table.CustomerID]table.Tokens, w.Accounts.Len())
	w.Accounts.Each(func(c table.CustomerID, a *table.Account) {
		if n := a.Free(); n > 0 {
			free[c] = n
		}
	})
	w.Out.Allowances = append(w.Out.Allowances, command.SendAllowance{
		Allowance: event.Allowance{Free: free, StoreDown: !w.PlatformUp || w.LimitShare.Backoff > 0},
	})
}

func receive(w *world.World, e *event.Transfer) {
	if e.Amount <= 0 {
		return
	}
	a := account(w, e.Customer)
	a.TransferredIn += e.Amount
	a.AskedAt = 0
	w.CountN("allowance.transferred_in", int64(e.Amount))
}

// give passes a part of what is free to a router that has a request waiting. Of
// the rest beyond the need, both keep half.
func give(w *world.World, e *event.TransferRequest) {
	a := w.Accounts.Get(e.Customer)
	if a == nil || e.Need <= 0 {
		return
	}
	free := a.Free() - a.Waiting
	amount := min(e.Need, free)
	if rest := free - e.Need; rest > 0 {
		amount += min(max(0, e.Want-e.Need), rest/2)
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

// ask asks the routers that said to have most for what a waiting request needs,
// once per need. Their answer costs no call to the store.
func ask(w *world.World, a *table.Account) {
	if asking(w, a) {
		w.WakeAt(a.AskedAt.Add(askTimeout))
		return
	}
	if a.AskedAt != 0 && a.AskedNeed == a.Missing && a.AskedAt.Add(askAgain) > w.Now {
		w.WakeAt(a.AskedAt.Add(askAgain))
		return
	}
	p := w.Prepaids.Get(a.Customer)
	if p == nil {
		return
	}
	need := a.Missing
	want := a.Waiting + wanted(w, a, p)/2
	for _, peer := range richest(w, a.Customer) {
		part := min(need, peer.Free[a.Customer])
		w.Out.TransferRequests = append(w.Out.TransferRequests, command.SendTransferRequest{
			To: peer.Holder, Request: event.TransferRequest{Customer: a.Customer, Need: part, Want: want + part},
		})
		peer.Free[a.Customer] -= part
		need -= part
		a.AskedAt, a.AskedNeed = w.Now, a.Missing
		w.Count("allowance.asked")
		if need <= 0 {
			break
		}
	}
	if asking(w, a) {
		w.WakeAt(a.AskedAt.Add(askTimeout))
	}
}

// asking reports whether an answer of other routers is awaited.
func asking(w *world.World, a *table.Account) bool {
	return a.AskedAt != 0 && a.AskedAt.Add(askTimeout) > w.Now
}

// richest returns the connected routers that said to have something left of a
// customer's total, those with most first.
func richest(w *world.World, c table.CustomerID) []*table.AllowancePeer {
	var list []*table.AllowancePeer
	w.AllowancePeers.Each(func(_ table.ProcessID, p *table.AllowancePeer) {
		if p.Connected && p.Free[c] > 0 {
			list = append(list, p)
		}
	})
	slices.SortStableFunc(list, func(a, b *table.AllowancePeer) int { return cmp.Compare(b.Free[c], a.Free[c]) })
	return list[:min(len(list), askedPeers)]
}
