package recovery

import (
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/ledger"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// fenceList adds holders to the fence list of the platform. After every write,
// whatever its answer, the list is read again: only a holder that was read from
// the list counts as fenced.
type fenceList struct {
	wanted  table.Set[table.Holder]
	known   bool
	version uint64
	holders []table.Holder
	open    bool
	sentAt  table.Instant
	nextTry table.Instant
	// readAt is when the list was last wanted for another reason than a write.
	readAt   table.Instant
	wantRead bool
}

func (f *fenceList) add(h table.Holder) { f.wanted.Add(h) }

func (f *fenceList) take(w *world.World) {
	for _, e := range w.In.FenceLists {
		f.onList(w, e)
	}
	for _, e := range w.In.FenceWrites {
		f.open, f.known = false, false
		// After a conflict the list is read again at once.
		if e.Status != event.CallOK && e.Status != event.CallConflict {
			f.retryLater(w)
		}
	}
}

func (f *fenceList) onList(w *world.World, e event.FenceList) {
	f.open = false
	if e.Status != event.CallOK {
		f.retryLater(w)
		return
	}
	if e.Version < f.version {
		return
	}
	f.known, f.version, f.holders, f.wantRead = true, e.Version, e.Holders, false
	for _, h := range e.Holders {
		f.wanted.Remove(h)
		if w.Fences.Get(h) == nil {
			w.Fences.Put(h, w.Now)
		}
	}
	if ledger.Fenced(w) && !w.Draining {
		w.Draining = true
		w.Change("process", string(w.Self().Process), "live", "draining", "this incarnation was fenced")
	}
}

// recheck has the list read from time to time, and when an agent refuses this
// router as fenced, so that a router that was paused learns of its own fence.
func (f *fenceList) recheck(w *world.World) {
	due := f.readAt.Add(fenceInterval) <= w.Now
	for _, e := range w.In.AttemptEnds {
		due = due || e.Code == table.CodeFenced && f.readAt.Add(checkInterval) <= w.Now
	}
	if due {
		f.readAt, f.known, f.wantRead = w.Now, false, true
	}
	w.WakeAt(f.readAt.Add(fenceInterval))
}

func (f *fenceList) retryLater(w *world.World) {
	f.nextTry = w.Now.Add(callTimeout/2 + time.Duration(w.Rand.Int64N(int64(callTimeout))))
}

// call sends the next call, one at a time.
func (f *fenceList) call(w *world.World) {
	if f.wanted.Len() == 0 && !f.wantRead {
		return
	}
	if f.open && f.sentAt.Add(callTimeout) > w.Now {
		w.WakeAt(f.sentAt.Add(callTimeout))
		return
	}
	if f.nextTry > w.Now {
		w.WakeAt(f.nextTry)
		return
	}
	f.open, f.sentAt = true, w.Now
	w.WakeAt(w.Now.Add(callTimeout))
	if !f.known {
		w.Out.ReadFences = append(w.Out.ReadFences, command.ReadFences{})
		return
	}
	holders := append(slices.Clone(f.holders), f.wanted.Keys()...)
	holders = holders[max(0, len(holders)-fencesKept):]
	w.Out.WriteFences = append(w.Out.WriteFences, command.WriteFences{Version: f.version, Holders: holders})
}
