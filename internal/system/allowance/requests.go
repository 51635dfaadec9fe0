package allowance

import (
	"maps"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// One router writes the ledger for all routers connected to it, because each
// write makes the open writes of other routers fail. If each of 24 routers
// writes for itself, three of four calls are such conflicts.

const (
	// urgentRequestTimeout is how long the writer may take for a request for
	// which a client waits. The writer's call takes some 30 ms on a host with a
	// slow link. A timeout of 40 ms is too short: routers that then write for
	// themselves make the writer's call conflict and take longer. Requests without
	// a waiting client are written with the next batch, within
	// batchRequestTimeout.
	urgentRequestTimeout = 120 * time.Millisecond
	batchRequestTimeout  = 4 * batchWriteInterval
	// writerAvoidTime is how long a router that did not write in time gets no
	// requests.
	writerAvoidTime = 2 * time.Second
	// urgentWriteInterval and batchWriteInterval are the minimum intervals
	// between writes for other routers, with and without a waiting client.
	urgentWriteInterval = 15 * time.Millisecond
	batchWriteInterval  = 500 * time.Millisecond
)

// chooseWriter returns the router that writes the ledger for this one, or nil
// if this one writes itself. Among connected routers with an entry, the writer is
// the one on the largest host, and of these the one with the least name.
func chooseWriter(w *world.World, registered bool) *table.RouterPeer {
	var writer *table.RouterPeer
	w.RouterPeers.Each(func(id table.ProcessID, p *table.RouterPeer) {
		if !p.Connected || p.StoreDown || p.NoLimitRequestsUntil > w.Now || !w.LimitLedgerView.Registered[p.Holder] {
			return
		}
		if writer == nil || precedes(p.Cores, id, writer.Cores, writer.Process) {
			writer = p
		}
	})
	self := &w.Params.Self
	if registered && writer != nil && precedes(self.Cores, self.Process, writer.Cores, writer.Process) {
		return nil
	}
	return writer
}

// precedes reports whether the first of two routers is preferred as writer.
func precedes(cores float64, id table.ProcessID, otherCores float64, otherID table.ProcessID) bool {
	if cores != otherCores {
		return cores > otherCores
	}
	return id < otherID
}

// requestWrite asks the writer for what this router needs if a change is due.
// It returns false if the writer did not serve an earlier request in time:
// this router then writes itself.
func requestWrite(w *world.World, writer *table.RouterPeer, own *table.LimitHolder, need writeNeed) bool {
	s := &w.LimitLedgerView
	urgent := need.urgency == urgencyWaiting
	if s.LimitRequestOpen && (s.LimitRequestUrgent || !urgent) {
		timeout := batchRequestTimeout
		if s.LimitRequestUrgent {
			timeout = urgentRequestTimeout
		}
		if !w.DueOrWake(s.LimitRequestSentAt.Add(timeout)) {
			return true
		}
		avoidWriter(w)
		return false
	}
	if !urgencyDue(w, need.urgency, max(s.WrittenAt, s.LimitRequestSentAt), refillInterval, spentReportInterval) {
		return true
	}
	if s.LimitRequestSentTo != writer.Holder {
		w.RecordStateChange("ledger", "writer", string(s.LimitRequestSentTo.Process), string(writer.Process), "it comes first among the connected routers")
	}
	s.LimitRequestOpen, s.LimitRequestUrgent, s.LimitRequestSentAt, s.LimitRequestSentTo = true, urgent, w.Now, writer.Holder
	w.Out.LimitRequests = append(w.Out.LimitRequests, command.SendLimitRequest{
		To: writer.Holder, Request: event.LimitRequest{
			InEra: w.InEra(), Entries: raisedEntries(w, own), Urgent: urgent, Register: own == nil,
			Address: w.Params.Front.PeerAddress, States: needsStatement(w), Held: heldEntries(w),
		},
	})
	w.Count("allowance.requests")
	w.WakeAt(w.Now.Add(urgentRequestTimeout))
	return true
}

// avoidWriter excludes a writer that did not write in time for a while.
func avoidWriter(w *world.World) {
	s := &w.LimitLedgerView
	s.LimitRequestOpen = false
	if p := w.RouterPeers.Get(s.LimitRequestSentTo.Process); p != nil && p.Holder == s.LimitRequestSentTo {
		p.NoLimitRequestsUntil = w.Now.Add(writerAvoidTime)
		w.RecordStateChange("ledger", "writer", string(p.Process), "", "it did not write within "+w.Now.Sub(s.LimitRequestSentAt).String())
	}
	s.LimitRequestSentTo = table.Holder{}
	w.Count("allowance.requests_unanswered")
}

// raisedEntries returns the proposed entries that differ from this router's
// entry in the ledger. Their limits are not below the recorded ones.
func raisedEntries(w *world.World, own *table.LimitHolder) map[table.CustomerID]table.LimitEntry {
	entries := make(map[table.CustomerID]table.LimitEntry)
	raise := mayRaise(w)
	forEachLimited(w, func(c table.CustomerID, p *table.PrepaidCustomer, a *table.Account) {
		e := proposeEntry(w, a, p, w.LimitLedgerView.Sums[c].Allocated, raise)
		e.Limit = max(a.RecordedLimit, e.Limit)
		if own == nil && e != (table.LimitEntry{}) || own != nil && e != own.Entries[c] {
			entries[c] = e
		}
	})
	return entries
}

// onLimitRequest stores a request of another router until the next write.
func onLimitRequest(w *world.World, e *event.LimitRequest) {
	w.LimitRequests.Put(e.From.Process, table.LimitRequest{
		Holder: e.From, Entries: e.Entries, Urgent: e.Urgent, Register: e.Register, Address: e.Address,
		States: e.States, Held: e.Held,
	})
}

// peerWriteDue reports whether a write for other routers is due.
func peerWriteDue(w *world.World) bool {
	due := false
	w.LimitRequests.Each(func(_ table.ProcessID, r *table.LimitRequest) {
		interval := batchWriteInterval
		if r.Urgent {
			interval = urgentWriteInterval
		}
		due = due || w.DueOrWake(w.LimitLedgerView.WrittenAt.Add(interval))
	})
	return due
}

// grantRequests adds the entries and raises the limits that other routers
// requested, within the totals. Without raise, it only adds what they hold.
func grantRequests(w *world.World, proposal *table.LimitLedger, raise bool) {
	w.LimitRequests.Each(func(_ table.ProcessID, r *table.LimitRequest) {
		r.WriteOpen = true
		if r.Register {
			proposal.CloseEarlierIncarnations(r.Holder)
		}
		granted := table.LimitHolder{Holder: r.Holder, Address: r.Address}
		if h := proposal.Find(r.Holder); h != nil {
			granted = *h
		} else if !r.Register && !r.States {
			// The router has closed its entry.
			return
		}
		if r.States && granted.StatedEra != w.StoreEra.Number {
			// Once it is stated, the entry may have changed since the request was sent.
			granted.Entries, granted.StatedEra = r.Held, w.StoreEra.Number
			proposal.Put(granted)
		}
		if raise {
			granted.Entries = raiseLimits(w, proposal, granted.Entries, r.Entries)
		}
		proposal.Put(granted)
	})
}

// raiseLimits returns a copy of the entries with the requested limits, as far
// as the totals allow.
func raiseLimits(w *world.World, proposal *table.LimitLedger, entries, requested map[table.CustomerID]table.LimitEntry) map[table.CustomerID]table.LimitEntry {
	raised := make(map[table.CustomerID]table.LimitEntry, len(entries))
	maps.Copy(raised, entries)
	for c, target := range requested {
		p := w.PrepaidCustomers.Get(c)
		if p == nil || !p.Limited {
			continue
		}
		entry := raised[c]
		entry.Limit += max(0, min(target.Limit-entry.Limit, p.Total-proposal.Allocated(c)))
		entry.Spent = target.Spent
		raised[c] = entry
	}
	return raised
}

// removeWrittenRequests removes the requests that a successful write included.
func removeWrittenRequests(w *world.World) {
	w.LimitRequests.DeleteIf(func(_ table.ProcessID, r *table.LimitRequest) bool { return r.WriteOpen })
}

// dropAllRequests removes all requests after a failed call: by then their
// senders write the ledger themselves.
func dropAllRequests(w *world.World) {
	w.LimitRequests.DeleteIf(func(table.ProcessID, *table.LimitRequest) bool { return true })
}
