package quarantine

import (
	"github.com/cespare/xxhash/v2"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// readList reads the stored list periodically. Crash reports reach most
// routers directly; the list reaches the others, the agents and new processes.
func readList(w *world.World) {
	if w.Now >= w.NextQuarantineReadAt {
		w.Out.ReadQuarantineLists = append(w.Out.ReadQuarantineLists, command.ReadQuarantineList{})
		w.NextQuarantineReadAt = w.Now.Add(readInterval)
	}
	w.WakeAt(w.NextQuarantineReadAt)
}

func applyLists(w *world.World) {
	for _, l := range w.In.QuarantineLists {
		if l.Status == event.CallConflict {
			w.NextQuarantineReadAt = w.Now
		}
		if l.Status != event.CallOK {
			continue
		}
		w.StoredQuarantineVersion = l.Version
		w.StoredQuarantine = table.Set[table.Fingerprint]{}
		countBefore := w.Quarantined.Len()
		for _, e := range l.Entries {
			addQuarantine(w, e.Fingerprint, w.Now.Add(e.Remaining))
			w.StoredQuarantine.Add(e.Fingerprint)
		}
		if w.Quarantined.Len() > countBefore {
			recheckRequests(w)
		}
	}
}

// writeList stores the entries that the platform's list lacks. A write that
// was lost or conflicted is repeated until a list that was read contains the
// entry.
func writeList(w *world.World) {
	missing := false
	for f, due := w.StoreQuarantineTimers.PopDue(w.Now); due; f, due = w.StoreQuarantineTimers.PopDue(w.Now) {
		if w.StoredQuarantine.Has(f) || !w.Quarantined.Has(f) {
			continue
		}
		missing = true
		w.StoreQuarantineTimers.Schedule(f, w.Now.Add(writeRetryInterval))
	}
	w.WakeAt(w.StoreQuarantineTimers.NextDue())
	if !missing {
		return
	}
	entries := make([]event.QuarantineEntry, 0, w.Quarantined.Len())
	for _, f := range w.Quarantined.Keys() {
		if s := w.CrashSuspects.Get(f); s != nil && w.Now < s.QuarantinedUntil {
			entries = append(entries, event.QuarantineEntry{Fingerprint: f, Remaining: s.QuarantinedUntil.Sub(w.Now)})
		}
	}
	w.Out.WriteQuarantineLists = append(w.Out.WriteQuarantineLists, command.WriteQuarantineList{Version: w.StoredQuarantineVersion, Entries: entries})
}

// writerRank returns how many live routers are to store an entry before this
// one.
func writerRank(w *world.World, f table.Fingerprint) int {
	ownHash := rendezvousHash(w.Self().Process, f)
	rank := 0
	w.Processes.Each(func(id table.ProcessID, p *table.Process) {
		if p.Role == table.RoleRouter && p.State == table.ProcessLive && id != w.Self().Process && rendezvousHash(id, f) > ownHash {
			rank++
		}
	})
	return rank
}

func rendezvousHash(id table.ProcessID, f table.Fingerprint) uint64 {
	digest := xxhash.NewWithSeed(uint64(f))
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}
