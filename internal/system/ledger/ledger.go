// Package ledger decides which ledger shards to read and write, and learns the
// outcome of each write before it acts on it.
//
// A shard has at most one call open. A write whose answer was lost is resolved
// by reading the shard back: the write took effect if the shard shows its
// sequence, and can never take effect once the shard has a later version
// without it. In between, only the identical write is sent again.
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
	// freshInterval bounds the reads of a shard for short budgets.
	freshInterval = time.Second
	// firstBackoff and maxBackoff bound the delay after a failed call.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// refillShare is the part of its target that a budget without waiting
	// requests must gain for a write of its own.
	refillShare = 4
	// lowReadInterval bounds the reads of a shard whose content was dropped, for
	// budgets that no request waits for.
	lowReadInterval = 10 * time.Second
	// conflictDelay is the unit of the random delay after repeated conflicts.
	conflictDelay = 5 * time.Millisecond
	// maxConflictSteps bounds the growth of the delay after conflicts.
	maxConflictSteps = 5
)

// New returns the ledger system.
func New() world.System { return &system{} }

type system struct {
	queries []query
}

// Run implements world.System.
func (l *system) Run(w *world.World) {
	onRegistered(w)
	for _, e := range w.In.ShardReads {
		onRead(w, e)
	}
	for _, e := range w.In.ShardWrites {
		onWrite(w, e)
	}
	for _, e := range w.In.TopUps {
		onTopUp(w, e)
	}
	for _, e := range w.In.BudgetQueries {
		l.queries = append(l.queries, newQuery(w, e))
	}
	l.continueQueries(w)
	for {
		id, ok := w.ShardTimers.Pop(w.Now)
		if !ok {
			break
		}
		step(w, Shard(w, id))
	}
	w.WakeAt(w.ShardTimers.Next())
}

// ShardOf returns the ledger shard of a budget.
func ShardOf(w *world.World, id table.BudgetID) table.ShardID {
	return table.ShardID(xxhash.Sum64String(string(id)) % uint64(max(1, w.Params.Shards)))
}

// Shard returns the row of a shard, which it adds if absent.
func Shard(w *world.World, id table.ShardID) *table.Shard {
	if s := w.Shards.Get(id); s != nil {
		return s
	}
	return w.Shards.Put(id, table.Shard{ID: id})
}

// onRegistered looks again at the budgets that requests wait for: before the
// registration, no grant was taken for them.
func onRegistered(w *world.World) {
	if len(w.In.Registered) == 0 {
		return
	}
	for _, id := range w.ShortBudgets.Keys() {
		b := w.Budgets.Get(id)
		MarkDirty(w, b)
		Touch(w, b.Shard, w.Now)
	}
}

// Touch asks the ledger to look at a shard at time t.
func Touch(w *world.World, id table.ShardID, t table.Instant) {
	t = max(t, w.Now)
	w.ShardTimers.Set(id, t)
	w.WakeAt(t)
}

// MarkDirty asks for the budget to be part of the shard's next write, which is
// sent when the settlement interval has passed, or earlier for another reason.
func MarkDirty(w *world.World, b *table.Budget) {
	s := Shard(w, b.Shard)
	if s.Dirty.Has(b.ID) {
		return
	}
	s.Dirty.Add(b.ID)
	Touch(w, s.ID, settlementDue(w, s))
}

// Force asks for a write of the budget's shard without delay.
func Force(w *world.World, b *table.Budget) {
	MarkDirty(w, b)
	Shard(w, b.Shard).Force = true
	Touch(w, b.Shard, w.Now)
}

func settlementDue(w *world.World, s *table.Shard) table.Instant {
	return s.WrittenAt.Add(w.Params.SettleInterval)
}

// step sends the next call of a shard, if one is needed.
func step(w *world.World, s *table.Shard) {
	expireTopUps(w, s)
	if s.Reading || s.Writing {
		return
	}
	if s.NextTry > w.Now {
		Touch(w, s.ID, s.NextTry)
		return
	}
	if s.Pending != nil {
		resolve(w, s)
		return
	}
	if s.Asked {
		read(w, s)
		return
	}
	if !s.Known {
		if needsContent(w, s) {
			read(w, s)
		}
		return
	}
	if writeDue(w, s) && write(w, s) {
		return
	}
	readIfShort(w, s)
}

// needsContent reports whether an unknown shard has to be read now.
func needsContent(w *world.World, s *table.Shard) bool {
	return callDue(w, s, func(b *table.Budget) bool {
		return !b.AtHome && (b.Short || b.Low && s.ReadAt.Add(lowReadInterval) <= w.Now)
	})
}

// callDue reports whether a shard needs a call now: for an operator or recovery,
// because its settlement is due, or because a dirty budget needs it at once.
func callDue(w *world.World, s *table.Shard, atOnce func(*table.Budget) bool) bool {
	if len(s.TopUps) > 0 || len(s.Reclaims) > 0 {
		return true
	}
	if s.Dirty.Len() == 0 {
		return false
	}
	due := settlementDue(w, s)
	if due <= w.Now || w.Draining || s.Force {
		return true
	}
	Touch(w, s.ID, due)
	for _, id := range s.Dirty.Keys() {
		if b := w.Budgets.Get(id); b != nil && atOnce(b) {
			return true
		}
	}
	return false
}

// resolve reads back after a lost answer, or repeats the identical write.
func resolve(w *world.World, s *table.Shard) {
	if s.Pending.Unsure {
		read(w, s)
		return
	}
	send(w, s)
}

// writeDue reports whether a write of the shard is worth sending now.
func writeDue(w *world.World, s *table.Shard) bool {
	return callDue(w, s, func(b *table.Budget) bool { return urgent(w, s, b) })
}

// urgent reports whether a write now serves a waiting request, or refills a
// budget that will run short soon.
func urgent(w *world.World, s *table.Shard, b *table.Budget) bool {
	if b.AtHome || !b.Short && !b.Low {
		return false
	}
	row := s.Content.Find(b.ID)
	if row == nil {
		return false
	}
	if b.Short {
		return row.Free() >= b.Need
	}
	return extraGrant(w, b, row) >= max(b.Reservation, b.Target/refillShare)
}

// readIfShort reads the shard again when a request waits for a budget that the
// known content cannot serve, at most once per freshInterval.
func readIfShort(w *world.World, s *table.Shard) {
	for _, id := range s.Dirty.Keys() {
		b := w.Budgets.Get(id)
		if b == nil || !b.Short || b.AtHome || s.ReadAt >= b.NeedSince {
			continue
		}
		next := s.ReadAt.Add(freshInterval)
		if next <= w.Now {
			read(w, s)
			return
		}
		Touch(w, s.ID, next)
	}
}

func read(w *world.World, s *table.Shard) {
	s.Reading = true
	s.CalledAt = w.Now
	w.Out.ReadShards = append(w.Out.ReadShards, command.ReadShard{Shard: s.ID})
	w.Count("ledger.reads")
}

func onRead(w *world.World, e event.ShardRead) {
	s := Shard(w, e.Shard)
	if !s.Reading {
		return
	}
	s.Reading = false
	Touch(w, s.ID, w.Now)
	if e.Status != event.CallOK {
		retryLater(w, s)
		return
	}
	if e.Version < s.Version {
		// Nothing is ever decided on a version older than the last known one.
		w.Count("ledger.stale_reads")
		retryLater(w, s)
		return
	}
	s.Backoff = 0
	s.Asked = false
	observe(w, s, e.Version, e.Content)
}

// observe takes over a content that was read.
func observe(w *world.World, s *table.Shard, version uint64, content table.ShardContent) {
	s.Known, s.Version, s.Content, s.ReadAt = true, version, content, s.CalledAt
	p := s.Pending
	if p == nil {
		contentChanged(w, s)
		return
	}
	p.Unsure = false
	switch {
	case content.SequenceOf(w.Self()) >= p.Sequence:
		apply(w, s)
	case version > p.Version:
		reject(w, s)
	}
}

func onWrite(w *world.World, e event.ShardWrite) {
	s := Shard(w, e.Shard)
	if !s.Writing || s.Pending == nil || e.Sequence != s.Pending.Sequence {
		return
	}
	s.Writing = false
	Touch(w, s.ID, w.Now)
	switch e.Status {
	case event.CallOK:
		s.Backoff, s.Conflicts = 0, 0
		s.Version, s.Content, s.ReadAt = e.Version, s.Pending.Content, s.CalledAt
		apply(w, s)
	case event.CallConflict:
		// An earlier copy of this write may be the cause of the conflict.
		s.Pending.Unsure = true
		delayAfterConflict(w, s)
	case event.CallNotApplied:
		retryLater(w, s)
	default:
		s.Pending.Unsure = true
		w.Count("ledger.unknown_writes")
		retryLater(w, s)
	}
}

// retryLater delays the shard's next call: exponential backoff with jitter.
func retryLater(w *world.World, s *table.Shard) {
	s.Backoff = min(max(2*s.Backoff, firstBackoff), maxBackoff)
	half := s.Backoff / 2
	s.NextTry = w.Now.Add(half + time.Duration(w.Rand.Int64N(int64(half)+1)))
}

// delayAfterConflict spreads writers that keep losing against each other.
func delayAfterConflict(w *world.World, s *table.Shard) {
	w.Count("ledger.conflicts")
	s.Conflicts++
	if s.Conflicts < 2 {
		return
	}
	longest := conflictDelay << min(s.Conflicts, maxConflictSteps)
	s.NextTry = w.Now.Add(time.Duration(w.Rand.Int64N(int64(longest))))
}
