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
	// highDemandReservations is the number of reservations per grant horizon from which a
	// router requests its own ledger grants, so that each region spends locally. Below it,
	// one home router's ledger writes serve all routers.
	highDemandReservations = 8
	// maxSliceReservations limits the size of a slice from the home router: if a slice is
	// never reported, for example during a partition, neither side can spend it.
	maxSliceReservations = 4
	// homeTimeout and holdersTimeout are the timeouts for answers to slice requests.
	homeTimeout    = 250 * time.Millisecond
	holdersTimeout = 500 * time.Millisecond
	// holderRequestInterval is the minimum time between request rounds to other holders.
	holderRequestInterval = 250 * time.Millisecond
	// ledgerTimeout is how long requests wait for a ledger read before this router sends
	// slice requests to other holders; outageLedgerTimeout applies while the platform is
	// unreachable.
	ledgerTimeout       = 1200 * time.Millisecond
	outageLedgerTimeout = 50 * time.Millisecond
	// maxHoldersPerRound limits how many holders receive a request in one round.
	maxHoldersPerRound = 8
)

// refillIfLow requests more of a low budget before requests have to wait for it.
func refillIfLow(w *world.World, b *table.Budget) {
	updateTarget(w, b)
	b.BelowTarget = b.Available() < b.Target/lowTargetDivisor
	if !b.BelowTarget || b.RefillRequestedAt.Add(lowRefillInterval) > w.Now && b.RefillRequestedAt > 0 {
		return
	}
	b.RefillRequestedAt = w.Now
	home, useHome := preferredHome(w, b)
	b.HomeSliceFirst = useHome
	if useHome {
		requestFromHome(w, b, home)
		return
	}
	ledger.MarkDirty(w, b)
	ledger.ScheduleShard(w, b.Shard, w.Now)
}

// preferredHome returns the home router and reports whether this router should request a
// slice from it before it requests its own ledger grant.
func preferredHome(w *world.World, b *table.Budget) (table.ProcessID, bool) {
	if !w.Params.ReduceLedgerLoad || highDemand(w, b) {
		return "", false
	}
	home := ledger.HomeRouter(w, b.Shard)
	return home, home != w.Self().Process && reachable(w, home)
}

func highDemand(w *world.World, b *table.Budget) bool {
	return b.SpendRate.PerSecond*grantHorizon(w, b).Seconds() >= highDemandReservations*float64(max(1, b.RecentLargeReservation))
}

// requestMore takes the next step to obtain more of a budget that requests wait for. It
// tries the home router, then the ledger, then the other holders.
func requestMore(w *world.World, b *table.Budget) {
	updateTarget(w, b)
	b.ReleaseUnused = false
	expireRound(w, b)
	if b.OldestWaitSince > 0 && waitForHome(w, b) {
		b.HomeSliceFirst = true
		return
	}
	requestLedgerOnce(w, b)
	if b.OldestWaitSince > 0 && ledgerCannotServe(w, b) {
		requestFromHolders(w, b)
	}
}

// requestLedgerOnce schedules the budget's shard, once for each change of the need or of
// the shard's last read. The ledger system reschedules the shard itself when a call
// completes.
func requestLedgerOnce(w *world.World, b *table.Budget) {
	b.HomeSliceFirst = false
	if b.LedgerRequestShortfall == b.SmallestShortfall && b.LedgerRequestNewestWait == b.NewestWaitSince && b.LedgerRequestReadAt == ledger.Shard(w, b.Shard).ReadAt {
		return
	}
	b.LedgerRequestShortfall, b.LedgerRequestNewestWait, b.LedgerRequestReadAt = b.SmallestShortfall, b.NewestWaitSince, ledger.Shard(w, b.Shard).ReadAt
	ledger.MarkDirty(w, b)
	ledger.ScheduleShard(w, b.Shard, w.Now)
}

// expireRound ends the open request round of a budget once its timeout has passed.
func expireRound(w *world.World, b *table.Budget) {
	round := w.SliceRequestRounds.Get(b.ID)
	if round == nil || round.Done {
		return
	}
	deadline := round.CallSentAt.Add(roundTimeout(round.Stage))
	if w.Now < deadline {
		w.WakeAt(deadline)
		return
	}
	round.Done, round.SomeUnreached = true, true
}

func roundTimeout(stage table.SliceStage) time.Duration {
	if stage == table.SliceFromHome {
		return homeTimeout
	}
	return holdersTimeout
}

// waitForHome sends at most one request to the home router per waiting request, and
// reports whether its answer is still outstanding.
func waitForHome(w *world.World, b *table.Budget) bool {
	home, useHome := preferredHome(w, b)
	if !useHome {
		return false
	}
	round := w.SliceRequestRounds.Get(b.ID)
	if round != nil && !round.Done {
		return round.Stage == table.SliceFromHome
	}
	if round != nil && round.CallSentAt >= b.OldestWaitSince {
		return false
	}
	requestFromHome(w, b, home)
	return true
}

func requestFromHome(w *world.World, b *table.Budget, home table.ProcessID) {
	if open := w.SliceRequestRounds.Get(b.ID); open != nil && !open.Done {
		return
	}
	round := table.SliceRequestRound{Call: w.NextCall(), Stage: table.SliceFromHome, CallSentAt: w.Now, Unanswered: []table.ProcessID{home}}
	w.SliceRequestRounds.Put(b.ID, round)
	w.WakeAt(w.Now.Add(homeTimeout))
	sendSliceRequest(w, b, home, round.Call, false)
}

func sendSliceRequest(w *world.World, b *table.Budget, to table.ProcessID, call uint64, forwarded bool) {
	want := max(1, min(b.Target-b.Available(), maxSliceReservations*b.RecentLargeReservation))
	need := b.SmallestShortfall
	if b.Short {
		// A reservation uses either one slice or this router's own grant, never both.
		need += max(0, b.AvailableFromGrant())
	}
	w.Out.SliceRequests = append(w.Out.SliceRequests, command.SendSliceRequest{
		To: to,
		Request: event.SliceRequest{
			From: w.Self(), Call: call, Budget: b.ID, Want: max(want, need), Need: need, Forwarded: forwarded,
		},
	})
}

// ledgerCannotServe reports whether the ledger cannot serve the waiting requests: either
// it was read and has too few ungranted tokens, or it did not answer in time.
func ledgerCannotServe(w *world.World, b *table.Budget) bool {
	s := ledger.Shard(w, b.Shard)
	if s.ContentKnown && s.ReadAt >= b.NewestWaitSince && s.PendingWrite == nil {
		ledgerRow := s.Content.Find(b.ID)
		return ledgerRow == nil || ledgerRow.Ungranted() < b.SmallestShortfall
	}
	timeout := ledgerTimeout
	if !w.PlatformReachable {
		timeout = outageLedgerTimeout
	}
	deadline := b.OldestWaitSince.Add(timeout)
	if deadline > w.Now {
		w.WakeAt(deadline)
		return false
	}
	return true
}

// requestFromHolders requests slices from the routers with the largest grants. If the
// shard's content is not known, it sends the request to the home router as well.
func requestFromHolders(w *world.World, b *table.Budget) {
	previous := w.SliceRequestRounds.Get(b.ID)
	if previous != nil {
		if !previous.Done || previous.Stage == table.SliceFromHolders && previous.CallSentAt >= b.NewestWaitSince {
			rereadAfterRelease(w, b, previous)
			return
		}
		if next := previous.CallSentAt.Add(holderRequestInterval); previous.Stage == table.SliceFromHolders && next > w.Now {
			w.WakeAt(next)
			return
		}
	}
	round := table.SliceRequestRound{Call: w.NextCall(), Stage: table.SliceFromHolders, CallSentAt: w.Now}
	s := ledger.Shard(w, b.Shard)
	for _, holder := range largestHolders(w, s, b.ID, maxHoldersPerRound) {
		if !reachable(w, holder.Process) {
			round.SomeUnreached = true
			continue
		}
		round.Unanswered = append(round.Unanswered, holder.Process)
		sendSliceRequest(w, b, holder.Process, round.Call, true)
	}
	if !s.ContentKnown {
		requestViaHome(w, b, s, &round)
	}
	requestFromReceivers(w, b, &round)
	round.Done = len(round.Unanswered) == 0
	w.SliceRequestRounds.Put(b.ID, round)
	w.WakeAt(w.Now.Add(holdersTimeout))
	if round.Done {
		w.WakeAt(w.Now)
	}
}

// requestFromReceivers requests slices from the routers that hold slices of this router's
// grant.
func requestFromReceivers(w *world.World, b *table.Budget, round *table.SliceRequestRound) {
	if b.GrantedSliceTokens == 0 {
		return
	}
	for _, key := range grantedSlices(w, b.ID).Keys() {
		id := key.Peer.Process
		if !reachable(w, id) {
			round.SomeUnreached = true
			continue
		}
		if !slices.Contains(round.Unanswered, id) {
			round.Unanswered = append(round.Unanswered, id)
			sendSliceRequest(w, b, id, round.Call, true)
		}
	}
}

// requestViaHome sends the request to the home router, which forwards it to the holders.
func requestViaHome(w *world.World, b *table.Budget, s *table.Shard, round *table.SliceRequestRound) {
	round.SomeUnreached = true
	home := ledger.HomeRouter(w, s.ID)
	if home == w.Self().Process || !reachable(w, home) {
		return
	}
	round.Unanswered = append(round.Unanswered, home)
	sendSliceRequest(w, b, home, round.Call, false)
}

// rereadAfterRelease schedules another ledger read if holders have returned unused tokens
// to the ledger.
func rereadAfterRelease(w *world.World, b *table.Budget, round *table.SliceRequestRound) {
	if round.Released > 0 && b.NewestWaitSince <= round.CallSentAt {
		b.NewestWaitSince = w.Now
		requestLedgerOnce(w, b)
	}
}
