// Package ledger decides which ledger shards to read and write, and determines the outcome
// of each write before acting on it.
//
// Each shard has at most one open call. If the response to a write is lost, the shard is
// read back. The write took effect if the shard records its sequence number; it can never
// take effect once the shard has a later version without that number. Until one of these
// is known, only the identical write is sent again.
package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// minReadInterval is the minimum time between reads of a shard for short budgets.
	minReadInterval = time.Second
	// initialBackoff and maxBackoff bound the delay after a failed call.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// refillDivisor sets the minimum refill that justifies an early write for a low budget
	// without waiting requests: Target divided by this value.
	refillDivisor = 4
	// lowBudgetReadInterval is the minimum time between reads of a shard with evicted content
	// for low budgets without waiting requests.
	lowBudgetReadInterval = 10 * time.Second
	// conflictDelayUnit is the base of the random delay after repeated conflicts.
	conflictDelayUnit = 5 * time.Millisecond
	// maxConflictShift limits the exponential growth of the delay after conflicts.
	maxConflictShift = 5
)

// New returns the ledger system.
func New() world.System { return &system{} }

type system struct {
	queries []query
}

// Run implements world.System.
func (l *system) Run(w *world.World) {
	onRegistered(w)
	for _, e := range w.In.ShardReadResults {
		onShardRead(w, e)
	}
	for _, e := range w.In.ShardWriteResults {
		onShardWrite(w, e)
	}
	for _, e := range w.In.TopUps {
		onTopUp(w, e)
	}
	for _, e := range w.In.BudgetQueries {
		l.queries = append(l.queries, newQuery(w, e))
	}
	l.continueQueries(w)
	for {
		id, ok := w.ShardTimers.PopDue(w.Now)
		if !ok {
			break
		}
		advanceShard(w, Shard(w, id))
	}
	w.WakeAt(w.ShardTimers.NextDue())
}

// ShardOf returns the ledger shard of a budget.
func ShardOf(w *world.World, id table.BudgetID) table.ShardID {
	return table.ShardID(xxhash.Sum64String(string(id)) % uint64(max(1, w.Params.LedgerShards)))
}

// Shard returns the row of a shard and creates it if absent.
func Shard(w *world.World, id table.ShardID) *table.Shard {
	if s := w.Shards.Get(id); s != nil {
		return s
	}
	return w.Shards.Put(id, table.Shard{ID: id})
}

// onRegistered reschedules the budgets that requests wait for, because no grant is taken
// before this router is registered.
func onRegistered(w *world.World) {
	if len(w.In.Registrations) == 0 {
		return
	}
	for _, id := range w.ShortBudgets.Keys() {
		b := w.Budgets.Get(id)
		MarkDirty(w, b)
		ScheduleShard(w, b.Shard, w.Now)
	}
}

// ScheduleShard schedules the processing of a shard at time t.
func ScheduleShard(w *world.World, id table.ShardID, t table.Instant) {
	t = max(t, w.Now)
	w.ShardTimers.Schedule(id, t)
	w.WakeAt(t)
}

// MarkDirty includes the budget in the shard's next write. The write is sent after the
// settlement interval, or earlier if the shard is written for another reason.
func MarkDirty(w *world.World, b *table.Budget) {
	s := Shard(w, b.Shard)
	if s.DirtyBudgets.Has(b.ID) {
		return
	}
	s.DirtyBudgets.Add(b.ID)
	ScheduleShard(w, s.ID, settlementDue(w, s))
}

// ForceWrite requests an immediate write of the budget's shard.
func ForceWrite(w *world.World, b *table.Budget) {
	MarkDirty(w, b)
	Shard(w, b.Shard).WriteImmediately = true
	ScheduleShard(w, b.Shard, w.Now)
}

func settlementDue(w *world.World, s *table.Shard) table.Instant {
	return s.WrittenAt.Add(w.Params.SettleInterval)
}

// advanceShard sends the next call of a shard if one is needed.
func advanceShard(w *world.World, s *table.Shard) {
	expireTopUps(w, s)
	if s.Reading || s.Writing {
		return
	}
	if s.RetryAt > w.Now {
		ScheduleShard(w, s.ID, s.RetryAt)
		return
	}
	if s.PendingWrite != nil {
		resolvePending(w, s)
		return
	}
	if s.ReadRequested {
		sendRead(w, s)
		return
	}
	if !s.ContentKnown {
		if needsRead(w, s) {
			sendRead(w, s)
		}
		return
	}
	if needsWrite(w, s) && startWrite(w, s) {
		return
	}
	readIfShort(w, s)
}

// needsRead reports whether a shard without known content must be read now.
func needsRead(w *world.World, s *table.Shard) bool {
	return needsCall(w, s, func(b *table.Budget) bool {
		return !b.HomeSliceFirst && (b.Short || b.BelowTarget && s.ReadAt.Add(lowBudgetReadInterval) <= w.Now)
	})
}

// needsCall reports whether a shard needs a call now: for a top-up or a reclaim, because
// its settlement is due or was forced, or because immediate is true for a dirty budget.
func needsCall(w *world.World, s *table.Shard, immediate func(*table.Budget) bool) bool {
	if len(s.TopUps) > 0 || len(s.Reclaims) > 0 {
		return true
	}
	if s.DirtyBudgets.Len() == 0 {
		return false
	}
	due := settlementDue(w, s)
	if due <= w.Now || w.Draining || s.WriteImmediately {
		return true
	}
	ScheduleShard(w, s.ID, due)
	for _, id := range s.DirtyBudgets.Keys() {
		if b := w.Budgets.Get(id); b != nil && immediate(b) {
			return true
		}
	}
	return false
}

// resolvePending reads the shard back after a lost response, or resends the identical write.
func resolvePending(w *world.World, s *table.Shard) {
	if s.PendingWrite.OutcomeUnknown {
		sendRead(w, s)
		return
	}
	sendWrite(w, s)
}

// needsWrite reports whether the shard should be written now.
func needsWrite(w *world.World, s *table.Shard) bool {
	return needsCall(w, s, func(b *table.Budget) bool { return urgent(w, s, b) })
}

// urgent reports whether writing now would serve a waiting request or sufficiently refill a
// low budget.
func urgent(w *world.World, s *table.Shard, b *table.Budget) bool {
	if b.HomeSliceFirst || !b.Short && !b.BelowTarget {
		return false
	}
	row := s.Content.Find(b.ID)
	if row == nil {
		return false
	}
	if b.Short {
		return row.Ungranted() >= b.SmallestShortfall
	}
	return additionalGrant(w, b, row) >= max(b.RecentLargeReservation, b.Target/refillDivisor)
}

// readIfShort reads the shard again if requests wait for a budget that the known content
// cannot serve, at most once per minReadInterval.
func readIfShort(w *world.World, s *table.Shard) {
	for _, id := range s.DirtyBudgets.Keys() {
		b := w.Budgets.Get(id)
		if b == nil || !b.Short || b.HomeSliceFirst || s.ReadAt >= b.NewestWaitSince {
			continue
		}
		next := s.ReadAt.Add(minReadInterval)
		if next <= w.Now {
			sendRead(w, s)
			return
		}
		ScheduleShard(w, s.ID, next)
	}
}

func sendRead(w *world.World, s *table.Shard) {
	s.Reading = true
	s.CallSentAt = w.Now
	w.Out.ReadShards = append(w.Out.ReadShards, command.ReadShard{Shard: s.ID})
	w.Count("ledger.reads")
}

func onShardRead(w *world.World, e event.ShardReadResult) {
	s := Shard(w, e.Shard)
	if !s.Reading {
		return
	}
	s.Reading = false
	ScheduleShard(w, s.ID, w.Now)
	if e.Status != event.CallOK {
		scheduleRetry(w, s)
		return
	}
	if e.Version < s.Version {
		// Decisions must not use a version older than the last known one.
		w.Count("ledger.stale_reads")
		scheduleRetry(w, s)
		return
	}
	s.Backoff = 0
	s.ReadRequested = false
	storeContent(w, s, e.Version, e.Content)
}

// storeContent stores the content that was read and resolves the pending write, if any.
func storeContent(w *world.World, s *table.Shard, version uint64, content table.ShardContent) {
	s.ContentKnown, s.Version, s.Content, s.ReadAt = true, version, content, s.CallSentAt
	pending := s.PendingWrite
	if pending == nil {
		onContentChanged(w, s)
		return
	}
	pending.OutcomeUnknown = false
	switch {
	case content.LastSequence(w.Self()) >= pending.Sequence:
		applyPending(w, s)
	case version > pending.Version:
		rollbackPending(w, s)
	}
}

func onShardWrite(w *world.World, e event.ShardWriteResult) {
	s := Shard(w, e.Shard)
	if !s.Writing || s.PendingWrite == nil || e.Sequence != s.PendingWrite.Sequence {
		return
	}
	s.Writing = false
	ScheduleShard(w, s.ID, w.Now)
	switch e.Status {
	case event.CallOK:
		s.Backoff, s.ConsecutiveConflicts = 0, 0
		s.Version, s.Content, s.ReadAt = e.Version, s.PendingWrite.Content, s.CallSentAt
		applyPending(w, s)
	case event.CallConflict:
		// The conflict may be caused by an earlier copy of this write.
		s.PendingWrite.OutcomeUnknown = true
		delayAfterConflict(w, s)
	case event.CallNotApplied:
		scheduleRetry(w, s)
	default:
		s.PendingWrite.OutcomeUnknown = true
		w.Count("ledger.unknown_writes")
		scheduleRetry(w, s)
	}
}

// scheduleRetry delays the shard's next call by exponential backoff with jitter.
func scheduleRetry(w *world.World, s *table.Shard) {
	s.Backoff = min(max(2*s.Backoff, initialBackoff), maxBackoff)
	half := s.Backoff / 2
	s.RetryAt = w.Now.Add(half + time.Duration(w.Rand.Int64N(int64(half)+1)))
}

// delayAfterConflict adds a random delay after repeated conflicts, so that competing
// writers do not keep colliding.
func delayAfterConflict(w *world.World, s *table.Shard) {
	w.Count("ledger.conflicts")
	s.ConsecutiveConflicts++
	if s.ConsecutiveConflicts < 2 {
		return
	}
	maxDelay := conflictDelayUnit << min(s.ConsecutiveConflicts, maxConflictShift)
	s.RetryAt = w.Now.Add(time.Duration(w.Rand.Int64N(int64(maxDelay))))
}
