package allowance

import (
	"maps"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// One router writes the ledger for all that are connected with it, because each
// write of one router makes the open writes of the others fail: with 24 routers
// three of four calls were such conflicts.

const (
	// requestTimeout is how long the writer may take for a request of a client
	// that waits. Its call takes some 30 ms on a host with a small link, and with
	// 40 ms the askers' own writes made it conflict and wait longer. A request
	// without haste is written with the next batch.
	requestTimeout     = 120 * time.Millisecond
	slowRequestTimeout = 4 * batchInterval
	// avoidTime is how long a router is not asked again that did not write.
	avoidTime = 2 * time.Second
	// urgentInterval and batchInterval are the least times between writes for
	// other routers, with and without a client that waits.
	urgentInterval = 15 * time.Millisecond
	batchInterval  = 200 * time.Millisecond
)

// chooseWriter returns the router that writes the ledger for this one, or nil if
// this one writes itself. All agree on the least name of those that have an entry,
// as far as they are connected.
func chooseWriter(w *world.World, registered bool) *table.AllowancePeer {
	var writer *table.AllowancePeer
	w.AllowancePeers.Each(func(id table.ProcessID, p *table.AllowancePeer) {
		if !p.Connected || p.StoreDown || p.NoRequestsUntil > w.Now || w.LimitShare.Content.Find(p.Holder) == nil {
			return
		}
		if writer == nil || id < writer.Process {
			writer = p
		}
	})
	if registered && writer != nil && w.Self().Process < writer.Process {
		return nil
	}
	return writer
}

// request asks the writer for what this router needs, if something is due. It
// reports false if the writer did not do what it was asked for: this router
// writes itself then.
func request(w *world.World, writer *table.AllowancePeer, own *table.LimitHolder, n need) bool {
	s := &w.LimitShare
	urgent := n.urgency == urgencyWaiting
	if s.Requested && (s.RequestedUrgent || !urgent) {
		timeout := slowRequestTimeout
		if s.RequestedUrgent {
			timeout = requestTimeout
		}
		if !dueAt(w, s.RequestedAt.Add(timeout)) {
			return true
		}
		unanswered(w)
		return false
	}
	if !dueFor(w, n.urgency, max(s.WrittenAt, s.RequestedAt), lowInterval, spentInterval) {
		return true
	}
	if s.RequestedOf != writer.Holder {
		w.Change("ledger", "writer", string(s.RequestedOf.Process), string(writer.Process), "it has the least name of the connected routers")
	}
	s.Requested, s.RequestedUrgent, s.RequestedAt, s.RequestedOf = true, urgent, w.Now, writer.Holder
	w.Out.LimitRequests = append(w.Out.LimitRequests, command.SendLimitRequest{
		To: writer.Holder, Request: event.LimitRequest{
			Entries: raises(w, own), Urgent: urgent, Register: own == nil, Address: w.Params.Front.PeerAddress,
		},
	})
	w.Count("allowance.requests")
	w.WakeAt(w.Now.Add(requestTimeout))
	return true
}

// unanswered leaves out a writer for a while that did not write in time.
func unanswered(w *world.World) {
	s := &w.LimitShare
	s.Requested = false
	if p := w.AllowancePeers.Get(s.RequestedOf.Process); p != nil && p.Holder == s.RequestedOf {
		p.NoRequestsUntil = w.Now.Add(avoidTime)
		w.Change("ledger", "writer", string(p.Process), "", "it did not write within "+w.Now.Sub(s.RequestedAt).String())
	}
	s.RequestedOf = table.Holder{}
	w.Count("allowance.requests_unanswered")
}

// raises returns the entries that differ from this router's entry in the ledger,
// with limits that are not below those recorded.
func raises(w *world.World, own *table.LimitHolder) map[table.CustomerID]table.LimitEntry {
	entries := make(map[table.CustomerID]table.LimitEntry)
	eachLimited(w, func(c table.CustomerID, p *table.Prepaid, a *table.Account) {
		target := limit(w, a, p, &w.LimitShare.Content, w.LimitShare.Routers, wanted(w, a, p))
		e := table.LimitEntry{Limit: max(a.Recorded, target), Spent: a.Net()}
		if own == nil || e != own.Entries[c] {
			entries[c] = e
		}
	})
	return entries
}

// onRequest keeps what another router wants written.
func onRequest(w *world.World, e *event.LimitRequest) {
	w.LimitRequests.Put(e.From.Process, table.LimitRequest{
		Holder: e.From, Entries: e.Entries, Urgent: e.Urgent, Register: e.Register, Address: e.Address,
	})
}

// requested reports whether a write is due for other routers.
func requested(w *world.World) bool {
	due := false
	w.LimitRequests.Each(func(_ table.ProcessID, r *table.LimitRequest) {
		interval := batchInterval
		if r.Urgent {
			interval = urgentInterval
		}
		due = due || dueAt(w, w.LimitShare.WrittenAt.Add(interval))
	})
	return due
}

// grantRequests adds entries and raises limits in a proposed ledger as other
// routers asked, never beyond the totals.
func grantRequests(w *world.World, content *table.LimitLedger) {
	w.LimitRequests.Each(func(_ table.ProcessID, r *table.LimitRequest) {
		r.Writing = true
		if r.Register {
			content.CloseEarlier(r.Holder)
		}
		granted := table.LimitHolder{Holder: r.Holder, Address: r.Address}
		if h := content.Find(r.Holder); h != nil {
			granted = *h
		} else if !r.Register {
			// The router has closed its entry.
			return
		}
		granted.Entries = raise(w, content, granted.Entries, r.Entries)
		content.Replace(granted)
	})
}

// raise returns entries with the wanted limits as far as the totals allow.
func raise(w *world.World, content *table.LimitLedger, entries, wanted map[table.CustomerID]table.LimitEntry) map[table.CustomerID]table.LimitEntry {
	raised := make(map[table.CustomerID]table.LimitEntry, len(entries))
	maps.Copy(raised, entries)
	for c, want := range wanted {
		p := w.Prepaids.Get(c)
		if p == nil || !p.Limited {
			continue
		}
		e := raised[c]
		e.Limit += max(0, min(want.Limit-e.Limit, p.Total-content.Allocated(c)))
		e.Spent = want.Spent
		raised[c] = e
	}
	return raised
}

// endRequests removes the requests of the write that took effect.
func endRequests(w *world.World) {
	w.LimitRequests.DeleteIf(func(_ table.ProcessID, r *table.LimitRequest) bool { return r.Writing })
}

// dropRequests removes all requests after a failed call: their senders write
// themselves by now.
func dropRequests(w *world.World) {
	w.LimitRequests.DeleteIf(func(table.ProcessID, *table.LimitRequest) bool { return true })
}
