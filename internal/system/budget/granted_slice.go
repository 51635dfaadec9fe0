package budget

import (
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/ledger"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// sliceLifetime limits the lifetime of a slice, so that unused parts are returned soon.
	sliceLifetime = 5 * time.Minute
	// homeGrantWait is how long the home router waits for a larger ledger grant before it
	// answers a slice request. It must be below the receiver's homeTimeout.
	homeGrantWait = 150 * time.Millisecond
	// reminderInterval is how often an unreported slice is checked.
	reminderInterval = 10 * time.Second
	// maxForwards limits the holders that the home router forwards a request to.
	maxForwards = 2
)

func onSliceRequest(w *world.World, e event.SliceRequest) {
	requestKey := table.SliceRequestKey{Peer: e.From, Call: e.Call}
	if e.Want <= 0 || e.From == w.Self() || fencedOrGone(w, e.From) {
		return
	}
	if w.Draining || ledger.SelfFenced(w) {
		refuseSliceRequest(w, requestKey, e.Budget, 0)
		return
	}
	if e.Forwarded {
		grantSliceOrRelease(w, requestKey, e)
		return
	}
	waiting := table.WaitingSliceRequest{Budget: e.Budget, Want: e.Want, Need: e.Need, ReceivedAt: w.Now, AnswerBy: w.Now.Add(homeGrantWait)}
	w.WaitingSliceRequests.Put(requestKey, waiting)
}

// grantSliceOrRelease answers a router that could not get enough from the ledger. If this
// router has too little for a slice, it returns its unused tokens to the ledger, where the
// parts of several holders add up.
func grantSliceOrRelease(w *world.World, requestKey table.SliceRequestKey, e event.SliceRequest) {
	b := w.Budgets.Get(e.Budget)
	if b == nil {
		refuseSliceRequest(w, requestKey, e.Budget, 0)
		return
	}
	if grantSlice(w, requestKey, b, e.Want, e.Need) {
		return
	}
	if b.Short && e.From.Process > w.Self().Process {
		// If both routers are short, only the one with the greater id releases its tokens.
		refuseSliceRequest(w, requestKey, e.Budget, 0)
		return
	}
	released := releaseUnused(w, b)
	if !e.Recall {
		released += recallSlices(w, requestKey, b, e)
	}
	refuseSliceRequest(w, requestKey, e.Budget, released)
}

// releaseUnused returns the unused tokens of this router and reports their number.
func releaseUnused(w *world.World, b *table.Budget) table.Tokens {
	released := max(0, b.AvailableFromGrant())
	if released > 0 {
		releaseGrant(w, b)
		ledger.ForceWrite(w, b)
	}
	for _, key := range receivedSlices(w, b.ID).Keys() {
		s := w.ReceivedSlices.Get(key)
		released += s.Available()
		closeSlice(w, b, key, s)
	}
	return released
}

// recallSlices asks the receivers of this router's slices to return what they do not use.
// It returns the total size of these slices, an upper bound of what may come back.
func recallSlices(w *world.World, requestKey table.SliceRequestKey, b *table.Budget, e event.SliceRequest) table.Tokens {
	e.Recall = true
	var sum table.Tokens
	var recalled []table.Holder
	for _, key := range grantedSlices(w, b.ID).Keys() {
		if key.Peer == requestKey.Peer || !reachable(w, key.Peer.Process) {
			continue
		}
		sum += w.GrantedSlices.Get(key).Amount
		if slices.Contains(recalled, key.Peer) {
			continue
		}
		recalled = append(recalled, key.Peer)
		w.Out.SliceRequests = append(w.Out.SliceRequests, command.SendSliceRequest{To: key.Peer.Process, Request: e})
	}
	return sum
}

func grantedSlices(w *world.World, id table.BudgetID) *table.Set[table.SliceKey] {
	if s := w.GrantedSlicesByBudget.Get(id); s != nil {
		return s
	}
	return w.GrantedSlicesByBudget.Put(id, table.Set[table.SliceKey]{})
}

func deleteGrantedSlice(w *world.World, key table.SliceKey, id table.BudgetID) {
	w.GrantedSlices.Delete(key)
	if granted := grantedSlices(w, id); granted.Has(key) {
		granted.Remove(key)
		if granted.Len() == 0 {
			w.GrantedSlicesByBudget.Delete(id)
		}
	}
}

// grantSlice grants part of this router's own grant to another router: half of the unused
// tokens, at most what the receiver wants and at least what it needs.
func grantSlice(w *world.World, requestKey table.SliceRequestKey, b *table.Budget, want, need table.Tokens) bool {
	available := b.AvailableFromGrant()
	if available < need || available <= 0 || b.GrantExpiresAt <= w.Now {
		return false
	}
	amount := min(available, max(need, min(want, available/2)))
	if amount <= 0 {
		return false
	}
	key := table.SliceKey{Peer: requestKey.Peer, Number: w.NextCall()}
	lifetime := min(sliceLifetime, b.GrantExpiresAt.Sub(w.Now))
	b.GrantedSliceTokens += amount
	b.LastUsedAt = w.Now
	grantedSlices(w, b.ID).Add(key)
	w.GrantedSlices.Put(key, table.GrantedSlice{Budget: b.ID, Amount: amount, ExpiresAt: w.Now.Add(lifetime)})
	w.GrantedSliceTimers.Schedule(key, w.Now.Add(reminderInterval))
	sendSliceGrant(w, key.Peer, event.SliceGrant{
		Call: requestKey.Call, Slice: key.Number, Budget: b.ID, Amount: amount, Lifetime: lifetime,
	})
	w.Count("budget.slices_out")
	refillIfLow(w, b)
	return true
}

func sendSliceGrant(w *world.World, to table.Holder, g event.SliceGrant) {
	g.From = w.Self()
	w.Out.SliceGrants = append(w.Out.SliceGrants, command.SendSliceGrant{To: to, Grant: g})
}

func refuseSliceRequest(w *world.World, requestKey table.SliceRequestKey, id table.BudgetID, released table.Tokens) {
	sendSliceGrant(w, requestKey.Peer, event.SliceGrant{Call: requestKey.Call, Budget: id, Released: released})
}

// serveWaitingSliceRequests runs at the home router, after its own waiting requests are served.
func serveWaitingSliceRequests(w *world.World) {
	for i := 0; i < w.WaitingSliceRequests.Len(); {
		requestKey, waiting := w.WaitingSliceRequests.At(i)
		if serveWaitingSliceRequest(w, requestKey, waiting) {
			w.WaitingSliceRequests.Delete(requestKey)
			continue
		}
		i++
	}
}

func serveWaitingSliceRequest(w *world.World, requestKey table.SliceRequestKey, waiting *table.WaitingSliceRequest) bool {
	b := ensureBudget(w, waiting.Budget)
	recordReservation(b, waiting.Need)
	b.LastUsedAt = w.Now
	if grantSlice(w, requestKey, b, waiting.Want, waiting.Need) {
		return true
	}
	s := ledger.Shard(w, b.Shard)
	if waiting.AnswerBy <= w.Now || ledgerInsufficient(w, s, b, waiting) {
		forwardSliceRequest(w, requestKey, s, waiting)
		refuseSliceRequest(w, requestKey, waiting.Budget, 0)
		return true
	}
	recordNeed(w, b, waiting.Need, waiting.Want, waiting.ReceivedAt)
	w.WakeAt(waiting.AnswerBy)
	return false
}

func ledgerInsufficient(w *world.World, s *table.Shard, b *table.Budget, waiting *table.WaitingSliceRequest) bool {
	if !s.ContentKnown || s.ReadAt < waiting.ReceivedAt || s.PendingWrite != nil {
		return false
	}
	ledgerRow := s.Content.Find(b.ID)
	return ledgerRow == nil || ledgerRow.Ungranted() < waiting.Need-b.AvailableFromGrant()
}

// forwardSliceRequest asks the routers with the largest grants to answer the requesting
// router directly.
func forwardSliceRequest(w *world.World, requestKey table.SliceRequestKey, s *table.Shard, waiting *table.WaitingSliceRequest) {
	for _, holder := range largestHolders(w, s, waiting.Budget, maxForwards) {
		if holder == requestKey.Peer || !reachable(w, holder.Process) {
			continue
		}
		w.Out.SliceRequests = append(w.Out.SliceRequests, command.SendSliceRequest{
			To: holder.Process,
			Request: event.SliceRequest{
				From: requestKey.Peer, Call: requestKey.Call, Budget: waiting.Budget, Want: waiting.Want, Need: waiting.Need, Forwarded: true,
			},
		})
	}
}

// largestHolders returns up to n other holders with the largest grants.
func largestHolders(w *world.World, s *table.Shard, id table.BudgetID, n int) []table.Holder {
	ledgerRow := s.Content.Find(id)
	if ledgerRow == nil {
		return nil
	}
	grants := slices.DeleteFunc(slices.Clone(ledgerRow.Grants), func(g table.LedgerGrant) bool { return g.Holder == w.Self() })
	slices.SortStableFunc(grants, func(a, b table.LedgerGrant) int { return int(b.Amount - a.Amount) })
	var holders []table.Holder
	for _, g := range grants[:min(n, len(grants))] {
		holders = append(holders, g.Holder)
	}
	return holders
}

func reachable(w *world.World, id table.ProcessID) bool {
	p := w.Processes.Get(id)
	return p != nil && p.Connected && p.State == table.ProcessLive
}

// onSliceReport closes a reported slice. The part that was not returned counts as spent.
func onSliceReport(w *world.World, e event.SliceReport) {
	key := table.SliceKey{Peer: e.From, Number: e.Slice}
	sendSliceGrant(w, e.From, event.SliceGrant{Slice: e.Slice, Budget: e.Budget, Reported: true})
	s := w.GrantedSlices.Get(key)
	if s == nil {
		return
	}
	amount := s.Amount
	returned := min(max(0, e.Returned), amount-min(max(0, e.Spent), amount))
	deleteGrantedSlice(w, key, s.Budget)
	b := w.Budgets.Get(e.Budget)
	b.GrantedSliceTokens -= amount
	b.Unsettled += amount - returned
	recordSpend(w, b, amount-returned)
	updateTarget(w, b)
	if b.Unsettled > 0 {
		ledger.MarkDirty(w, b)
	}
	if w.Draining {
		releaseGrant(w, b)
		ledger.ForceWrite(w, b)
	}
}

// checkGrantedSlice runs periodically for an unreported slice: its receiver may be gone, or
// the grant message may have been lost.
func checkGrantedSlice(w *world.World, key table.SliceKey) {
	s := w.GrantedSlices.Get(key)
	if s == nil {
		return
	}
	if fencedOrGone(w, key.Peer) {
		withholdSlice(w, key, s)
		return
	}
	if w.Now >= s.ExpiresAt {
		s.Reminders++
		sendSliceGrant(w, key.Peer, event.SliceGrant{Slice: key.Number, Budget: s.Budget, Amount: s.Amount})
	}
	w.GrantedSliceTimers.Schedule(key, w.Now.Add(reminderInterval))
}

// withholdSlice moves the whole slice of a fenced or gone receiver to ToWithhold,
// because its use is unknown.
func withholdSlice(w *world.World, key table.SliceKey, s *table.GrantedSlice) {
	b := w.Budgets.Get(s.Budget)
	b.GrantedSliceTokens -= s.Amount
	b.ToWithhold += s.Amount
	ledger.MarkDirty(w, b)
	deleteGrantedSlice(w, key, b.ID)
	w.Count("budget.slices_withheld")
}
