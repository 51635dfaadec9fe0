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
	// hotReservations is the number of reservations spent per grant horizon
	// from which a router takes its own ledger grants, so that regions spend
	// locally. Below it, the home's writes serve all routers.
	hotReservations = 8
	// sliceReservations bounds a slice from the home, because a slice that is
	// not reported, for example during a partition, is lost to both sides.
	sliceReservations = 4
	// homeTimeout and holdersTimeout bound the wait for answers.
	homeTimeout    = 250 * time.Millisecond
	holdersTimeout = 500 * time.Millisecond
	// askInterval bounds the rounds of requests to the other holders.
	askInterval = 250 * time.Millisecond
	// ledgerPatience is how long requests wait for a ledger read before other
	// holders are asked, outagePatience the same when the platform is away.
	ledgerPatience = 1200 * time.Millisecond
	outagePatience = 50 * time.Millisecond
	// maxAsked bounds the holders that are asked in one round.
	maxAsked = 8
)

// refillEarly asks for more before requests have to wait.
func refillEarly(w *world.World, b *table.Budget) {
	setTarget(w, b)
	b.Low = b.Held() < b.Target/lowShare
	if !b.Low || b.LowAt.Add(lowInterval) > w.Now && b.LowAt > 0 {
		return
	}
	b.LowAt = w.Now
	home, other := homeFirst(w, b)
	b.AtHome = other
	if other {
		askHome(w, b, home)
		return
	}
	ledger.MarkDirty(w, b)
	ledger.Touch(w, b.Shard, w.Now)
}

// homeFirst returns the home router if this router should ask it before it
// takes a ledger grant of its own.
func homeFirst(w *world.World, b *table.Budget) (table.ProcessID, bool) {
	if !w.Params.ManyBudgets || hot(w, b) {
		return "", false
	}
	home := ledger.Home(w, b.Shard)
	return home, home != w.Self().Process && reachable(w, home)
}

func hot(w *world.World, b *table.Budget) bool {
	return b.Demand.PerSecond*horizon(w, b).Seconds() >= hotReservations*float64(max(1, b.Reservation))
}

// pursue takes the next step for a budget that is waited for: the home router,
// then the ledger, then the other holders.
func pursue(w *world.World, b *table.Budget) {
	setTarget(w, b)
	b.Release = false
	closeAsk(w, b)
	if b.WaitSince > 0 && waitForHome(w, b) {
		b.AtHome = true
		return
	}
	touchOnce(w, b)
	if b.WaitSince > 0 && ledgerFails(w, b) {
		askHolders(w, b)
	}
}

// touchOnce asks the ledger once for each change of what is waited for. The
// ledger continues by itself when its calls are answered.
func touchOnce(w *world.World, b *table.Budget) {
	b.AtHome = false
	if b.AskedNeed == b.Need && b.AskedSince == b.NeedSince && b.AskedRead == ledger.Shard(w, b.Shard).ReadAt {
		return
	}
	b.AskedNeed, b.AskedSince, b.AskedRead = b.Need, b.NeedSince, ledger.Shard(w, b.Shard).ReadAt
	ledger.MarkDirty(w, b)
	ledger.Touch(w, b.Shard, w.Now)
}

// closeAsk ends a round whose time is over.
func closeAsk(w *world.World, b *table.Budget) {
	ask := w.SliceAsks.Get(b.ID)
	if ask == nil || ask.Done {
		return
	}
	due := ask.SentAt.Add(askTimeout(ask.Stage))
	if w.Now < due {
		w.WakeAt(due)
		return
	}
	ask.Done, ask.Unreached = true, true
}

func askTimeout(s table.SliceStage) time.Duration {
	if s == table.SliceHome {
		return homeTimeout
	}
	return holdersTimeout
}

// waitForHome asks the home once per waiting request and reports whether its
// answer is awaited.
func waitForHome(w *world.World, b *table.Budget) bool {
	home, other := homeFirst(w, b)
	if !other {
		return false
	}
	ask := w.SliceAsks.Get(b.ID)
	if ask != nil && !ask.Done {
		return ask.Stage == table.SliceHome
	}
	if ask != nil && ask.SentAt >= b.WaitSince {
		return false
	}
	askHome(w, b, home)
	return true
}

func askHome(w *world.World, b *table.Budget, home table.ProcessID) {
	if ask := w.SliceAsks.Get(b.ID); ask != nil && !ask.Done {
		return
	}
	ask := table.SliceAsk{Call: w.NextCall(), Stage: table.SliceHome, SentAt: w.Now, Open: []table.ProcessID{home}}
	w.SliceAsks.Put(b.ID, ask)
	w.WakeAt(w.Now.Add(homeTimeout))
	sendAsk(w, b, home, ask.Call, false)
}

func sendAsk(w *world.World, b *table.Budget, to table.ProcessID, call uint64, forwarded bool) {
	want := max(1, min(b.Target-b.Held(), sliceReservations*b.Reservation))
	need := b.Need
	if b.Short {
		// A slice is used on its own, not together with the own grant.
		need += max(0, b.Own())
	}
	w.Out.SliceRequests = append(w.Out.SliceRequests, command.SendSliceRequest{
		To: to,
		Request: event.SliceRequest{
			From: w.Self(), Call: call, Budget: b.ID, Want: max(want, need), Need: need, Forwarded: forwarded,
		},
	})
}

// ledgerFails reports whether the ledger cannot serve the waiting requests: it
// was read and has too little, or it does not answer.
func ledgerFails(w *world.World, b *table.Budget) bool {
	s := ledger.Shard(w, b.Shard)
	if s.Known && s.ReadAt >= b.NeedSince && s.Pending == nil {
		known := s.Content.Find(b.ID)
		return known == nil || known.Free() < b.Need
	}
	patience := ledgerPatience
	if !w.PlatformUp {
		patience = outagePatience
	}
	due := b.WaitSince.Add(patience)
	if due > w.Now {
		w.WakeAt(due)
		return false
	}
	return true
}

// askHolders asks the routers that hold the most, or the home router if the
// holders are not known.
func askHolders(w *world.World, b *table.Budget) {
	ask := w.SliceAsks.Get(b.ID)
	if ask != nil {
		if !ask.Done || ask.Stage == table.SliceHolders && ask.SentAt >= b.NeedSince {
			awaitReleased(w, b, ask)
			return
		}
		if next := ask.SentAt.Add(askInterval); ask.Stage == table.SliceHolders && next > w.Now {
			w.WakeAt(next)
			return
		}
	}
	round := table.SliceAsk{Call: w.NextCall(), Stage: table.SliceHolders, SentAt: w.Now}
	s := ledger.Shard(w, b.Shard)
	for _, h := range topHolders(w, s, b.ID, maxAsked) {
		if !reachable(w, h.Process) {
			round.Unreached = true
			continue
		}
		round.Open = append(round.Open, h.Process)
		sendAsk(w, b, h.Process, round.Call, true)
	}
	if !s.Known {
		askUnknownHolders(w, b, s, &round)
	}
	askReceivers(w, b, &round)
	round.Done = len(round.Open) == 0
	w.SliceAsks.Put(b.ID, round)
	w.WakeAt(w.Now.Add(holdersTimeout))
	if round.Done {
		w.WakeAt(w.Now)
	}
}

// askReceivers asks the routers that hold slices of this router's own grant.
func askReceivers(w *world.World, b *table.Budget, round *table.SliceAsk) {
	if b.SliceOut == 0 {
		return
	}
	for _, key := range passedOf(w, b.ID).Keys() {
		id := key.Peer.Process
		if !reachable(w, id) {
			round.Unreached = true
			continue
		}
		if !slices.Contains(round.Open, id) {
			round.Open = append(round.Open, id)
			sendAsk(w, b, id, round.Call, true)
		}
	}
}

// askUnknownHolders lets the home pass the request on.
func askUnknownHolders(w *world.World, b *table.Budget, s *table.Shard, round *table.SliceAsk) {
	round.Unreached = true
	home := ledger.Home(w, s.ID)
	if home == w.Self().Process || !reachable(w, home) {
		return
	}
	round.Open = append(round.Open, home)
	sendAsk(w, b, home, round.Call, false)
}

// awaitReleased has the ledger read again while holders return their remainders.
func awaitReleased(w *world.World, b *table.Budget, ask *table.SliceAsk) {
	if ask.Released > 0 && b.NeedSince <= ask.SentAt {
		b.NeedSince = w.Now
		touchOnce(w, b)
	}
}
