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

// fenceList adds holders to the platform's fence list. The list is read again after every
// write, whatever its result: a holder counts as fenced only once it was read back.
type fenceList struct {
	unconfirmed table.Set[table.Holder]
	// current is true while version and holders may be used for the next write: from a read
	// until the result of a write or a recheck.
	current  bool
	version  uint64
	holders  []table.Holder
	callOpen bool
	sentAt   table.Instant
	retryAt  table.Instant
	// recheckedAt is when a read was last requested for a reason other than a write.
	recheckedAt   table.Instant
	readRequested bool
}

func (f *fenceList) add(h table.Holder) { f.unconfirmed.Add(h) }

func (f *fenceList) handleResults(w *world.World) {
	for _, e := range w.In.FenceLists {
		f.onList(w, e)
	}
	for _, e := range w.In.FenceListWriteResults {
		f.callOpen, f.current = false, false
		// A conflict does not delay the next read.
		if e.Status != event.CallOK && e.Status != event.CallConflict {
			f.scheduleRetry(w)
		}
	}
}

func (f *fenceList) onList(w *world.World, e event.FenceList) {
	f.callOpen = false
	if e.Status != event.CallOK {
		f.scheduleRetry(w)
		return
	}
	if e.Version < f.version {
		return
	}
	f.current, f.version, f.holders, f.readRequested = true, e.Version, e.Holders, false
	for _, h := range e.Holders {
		f.unconfirmed.Remove(h)
		if w.FencedHolders.Get(h) == nil {
			w.FencedHolders.Put(h, w.Now)
		}
	}
	if ledger.SelfFenced(w) && !w.Draining {
		w.Draining = true
		w.RecordStateChange("process", string(w.Self().Process), "live", "draining", "this incarnation was fenced")
	}
}

// recheckIfDue requests a read of the list periodically, and when an agent rejects this
// router as fenced, so that a router that was paused detects its own fencing.
func (f *fenceList) recheckIfDue(w *world.World) {
	due := f.recheckedAt.Add(fenceListReadInterval) <= w.Now
	for _, e := range w.In.AttemptEnds {
		due = due || e.Code == table.CodeFenced && f.recheckedAt.Add(checkInterval) <= w.Now
	}
	if due {
		f.recheckedAt, f.current, f.readRequested = w.Now, false, true
	}
	w.WakeAt(f.recheckedAt.Add(fenceListReadInterval))
}

func (f *fenceList) scheduleRetry(w *world.World) {
	f.retryAt = w.Now.Add(callTimeout/2 + time.Duration(w.Rand.Int64N(int64(callTimeout))))
}

// sendNextCall sends the next call if none is open.
func (f *fenceList) sendNextCall(w *world.World) {
	if f.unconfirmed.Len() == 0 && !f.readRequested {
		return
	}
	if f.callOpen && f.sentAt.Add(callTimeout) > w.Now {
		w.WakeAt(f.sentAt.Add(callTimeout))
		return
	}
	if f.retryAt > w.Now {
		w.WakeAt(f.retryAt)
		return
	}
	f.callOpen, f.sentAt = true, w.Now
	w.WakeAt(w.Now.Add(callTimeout))
	if !f.current {
		w.Out.ReadFenceLists = append(w.Out.ReadFenceLists, command.ReadFenceList{})
		return
	}
	holders := append(slices.Clone(f.holders), f.unconfirmed.Keys()...)
	holders = holders[max(0, len(holders)-maxFences):]
	w.Out.WriteFenceLists = append(w.Out.WriteFenceLists, command.WriteFenceList{Version: f.version, Holders: holders})
}
