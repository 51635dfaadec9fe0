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
	// sliceLifetime bounds a slice, so that unused parts come back soon.
	sliceLifetime = 5 * time.Minute
	// homeWait is how long the home waits for a larger grant of its own before
	// it answers. It is below the receiver's homeTimeout.
	homeWait = 150 * time.Millisecond
	// remindInterval is how often a slice without a report is checked.
	remindInterval = 10 * time.Second
	// passedOn bounds the holders that the home passes a request on to.
	passedOn = 2
)

func onSliceRequest(w *world.World, e event.SliceRequest) {
	call := table.SliceCall{Peer: e.From, Call: e.Call}
	if e.Want <= 0 || e.From == w.Self() || superseded(w, e.From) {
		return
	}
	if w.Draining || ledger.Fenced(w) {
		refuseSlice(w, call, e.Budget, 0)
		return
	}
	if e.Forwarded {
		giveOrRelease(w, call, e)
		return
	}
	wanted := table.SliceWait{Budget: e.Budget, Want: e.Want, Need: e.Need, Since: w.Now, Until: w.Now.Add(homeWait)}
	w.SliceWaits.Put(call, wanted)
}

// giveOrRelease answers another router that found the ledger short. A remainder
// that is too small for it goes back to the ledger, where parts of several
// holders add up.
func giveOrRelease(w *world.World, call table.SliceCall, e event.SliceRequest) {
	b := w.Budgets.Get(e.Budget)
	if b == nil {
		refuseSlice(w, call, e.Budget, 0)
		return
	}
	if cut(w, call, b, e.Want, e.Need) {
		return
	}
	if b.Short && e.From.Process > w.Self().Process {
		// Of two short routers, one keeps its remainder.
		refuseSlice(w, call, e.Budget, 0)
		return
	}
	released := releaseUnused(w, b)
	if !e.Recall {
		released += recall(w, call, b, e)
	}
	refuseSlice(w, call, e.Budget, released)
}

// releaseUnused returns what this router does not use, and reports how much.
func releaseUnused(w *world.World, b *table.Budget) table.Tokens {
	released := max(0, b.Own())
	if released > 0 {
		release(w, b)
		ledger.Force(w, b)
	}
	for _, key := range slicesOf(w, b.ID).Keys() {
		s := w.SlicesIn.Get(key)
		released += s.Left()
		closeSlice(w, b, key, s)
	}
	return released
}

// recall asks the receivers of this router's slices to return what they do not
// use, and reports what they may have.
func recall(w *world.World, call table.SliceCall, b *table.Budget, e event.SliceRequest) table.Tokens {
	e.Recall = true
	var sum table.Tokens
	var asked []table.Holder
	for _, key := range passedOf(w, b.ID).Keys() {
		if key.Peer == call.Peer || !reachable(w, key.Peer.Process) {
			continue
		}
		sum += w.SlicesOut.Get(key).Amount
		if slices.Contains(asked, key.Peer) {
			continue
		}
		asked = append(asked, key.Peer)
		w.Out.SliceRequests = append(w.Out.SliceRequests, command.SendSliceRequest{To: key.Peer.Process, Request: e})
	}
	return sum
}

func passedOf(w *world.World, id table.BudgetID) *table.Set[table.SliceKey] {
	if s := w.SlicesPassed.Get(id); s != nil {
		return s
	}
	return w.SlicesPassed.Put(id, table.Set[table.SliceKey]{})
}

func dropSliceOut(w *world.World, key table.SliceKey, id table.BudgetID) {
	w.SlicesOut.Delete(key)
	if passed := passedOf(w, id); passed.Has(key) {
		passed.Remove(key)
		if passed.Len() == 0 {
			w.SlicesPassed.Delete(id)
		}
	}
}

// cut passes a part of the own grant to another router: half of what is unused,
// or what the other needs if that is more.
func cut(w *world.World, call table.SliceCall, b *table.Budget, want, need table.Tokens) bool {
	own := b.Own()
	if own < need || own <= 0 || b.Expires <= w.Now {
		return false
	}
	amount := min(own, max(need, min(want, own/2)))
	if amount <= 0 {
		return false
	}
	key := table.SliceKey{Peer: call.Peer, Slice: w.NextCall()}
	lifetime := min(sliceLifetime, b.Expires.Sub(w.Now))
	b.SliceOut += amount
	b.UsedAt = w.Now
	passedOf(w, b.ID).Add(key)
	w.SlicesOut.Put(key, table.SliceOut{Budget: b.ID, Amount: amount, Expires: w.Now.Add(lifetime)})
	w.SliceOutTimers.Set(key, w.Now.Add(remindInterval))
	answerSlice(w, key.Peer, event.SliceGrant{
		Call: call.Call, Slice: key.Slice, Budget: b.ID, Amount: amount, Lifetime: lifetime,
	})
	w.Count("budget.slices_out")
	refillEarly(w, b)
	return true
}

func answerSlice(w *world.World, to table.Holder, g event.SliceGrant) {
	g.From = w.Self()
	w.Out.SliceGrants = append(w.Out.SliceGrants, command.SendSliceGrant{To: to, Grant: g})
}

func refuseSlice(w *world.World, call table.SliceCall, id table.BudgetID, released table.Tokens) {
	answerSlice(w, call.Peer, event.SliceGrant{Call: call.Call, Budget: id, Released: released})
}

// serveSliceWaits runs at the home router, after its own waiting requests.
func serveSliceWaits(w *world.World) {
	for i := 0; i < w.SliceWaits.Len(); {
		call, wanted := w.SliceWaits.At(i)
		if serveSliceWait(w, call, wanted) {
			w.SliceWaits.Delete(call)
			continue
		}
		i++
	}
}

func serveSliceWait(w *world.World, call table.SliceCall, wanted *table.SliceWait) bool {
	b := row(w, wanted.Budget)
	noteReservation(b, wanted.Need)
	b.UsedAt = w.Now
	if cut(w, call, b, wanted.Want, wanted.Need) {
		return true
	}
	s := ledger.Shard(w, b.Shard)
	if wanted.Until <= w.Now || ledgerExhausted(w, s, b, wanted) {
		passOn(w, call, s, wanted)
		refuseSlice(w, call, wanted.Budget, 0)
		return true
	}
	needMore(w, b, wanted.Need, wanted.Want, wanted.Since)
	w.WakeAt(wanted.Until)
	return false
}

func ledgerExhausted(w *world.World, s *table.Shard, b *table.Budget, wanted *table.SliceWait) bool {
	if !s.Known || s.ReadAt < wanted.Since || s.Pending != nil {
		return false
	}
	known := s.Content.Find(b.ID)
	return known == nil || known.Free() < wanted.Need-b.Own()
}

// passOn asks the routers that hold the most to answer the receiver directly.
func passOn(w *world.World, call table.SliceCall, s *table.Shard, wanted *table.SliceWait) {
	for _, h := range topHolders(w, s, wanted.Budget, passedOn) {
		if h == call.Peer || !reachable(w, h.Process) {
			continue
		}
		w.Out.SliceRequests = append(w.Out.SliceRequests, command.SendSliceRequest{
			To: h.Process,
			Request: event.SliceRequest{
				From: call.Peer, Call: call.Call, Budget: wanted.Budget, Want: wanted.Want, Need: wanted.Need, Forwarded: true,
			},
		})
	}
}

// topHolders returns the other holders with the largest grants.
func topHolders(w *world.World, s *table.Shard, id table.BudgetID, n int) []table.Holder {
	known := s.Content.Find(id)
	if known == nil {
		return nil
	}
	grants := slices.DeleteFunc(slices.Clone(known.Grants), func(g table.LedgerGrant) bool { return g.Holder == w.Self() })
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

// onSliceReport takes a slice back. What was not returned counts as spent.
func onSliceReport(w *world.World, e event.SliceReport) {
	key := table.SliceKey{Peer: e.From, Slice: e.Slice}
	answerSlice(w, e.From, event.SliceGrant{Slice: e.Slice, Budget: e.Budget, Reported: true})
	s := w.SlicesOut.Get(key)
	if s == nil {
		return
	}
	amount := s.Amount
	returned := min(max(0, e.Returned), amount-min(max(0, e.Spent), amount))
	dropSliceOut(w, key, s.Budget)
	b := w.Budgets.Get(e.Budget)
	b.SliceOut -= amount
	b.Spent += amount - returned
	addDemand(w, b, amount-returned)
	setTarget(w, b)
	if b.Spent > 0 {
		ledger.MarkDirty(w, b)
	}
	if w.Draining {
		release(w, b)
		ledger.Force(w, b)
	}
}

// checkSliceOut runs from time to time for a slice without a report: its
// receiver may be gone, or the grant may never have arrived.
func checkSliceOut(w *world.World, key table.SliceKey) {
	s := w.SlicesOut.Get(key)
	if s == nil {
		return
	}
	if superseded(w, key.Peer) {
		withholdSlice(w, key, s)
		return
	}
	if w.Now >= s.Expires {
		s.Reminders++
		answerSlice(w, key.Peer, event.SliceGrant{Slice: key.Slice, Budget: s.Budget, Amount: s.Amount})
	}
	w.SliceOutTimers.Set(key, w.Now.Add(remindInterval))
}

// withholdSlice gives up on a slice whose receiver is gone.
func withholdSlice(w *world.World, key table.SliceKey, s *table.SliceOut) {
	b := w.Budgets.Get(s.Budget)
	b.SliceOut -= s.Amount
	b.Lost += s.Amount
	ledger.MarkDirty(w, b)
	dropSliceOut(w, key, b.ID)
	w.Count("budget.slices_withheld")
}
