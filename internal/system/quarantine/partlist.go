package quarantine

import (
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// listRetryInterval is the delay before the list of parts is read again after a call
// failed.
const listRetryInterval = 2 * time.Second

// runPartList reads the list of quarantined parts and requests at the start of the process, and
// writes it when it differs from what this router knows. The routers write in the order
// of their ranks, so that usually one of them does.
func runPartList(w *world.World, own *event.PartReport) {
	l := &w.PartList
	if w.StoreEra.Returned {
		// The store may lack entries, and has given out the version again.
		l.Known, l.Version = false, 0
		if entries := quarantinedEntries(w); len(entries) > 0 {
			scheduleListCheck(w, entries[0].Fingerprint)
		}
	}
	for i := range w.In.QuarantineLists {
		applyPartList(w, &w.In.QuarantineLists[i], own)
	}
	switch {
	case l.Reading || l.Writing || !w.DueOrWake(l.CheckAt):
	case !l.Known:
		l.Reading = true
		w.Out.ReadQuarantineLists = append(w.Out.ReadQuarantineLists, command.ReadQuarantineList{})
	case sameParts(l, quarantinedEntries(w)):
		l.CheckAt = table.Never
	default:
		l.Writing = true
		w.Out.WriteQuarantineLists = append(w.Out.WriteQuarantineLists, command.WriteQuarantineList{Version: l.Version, Entries: quarantinedEntries(w)})
	}
}

// applyPartList applies the result of a call.
func applyPartList(w *world.World, result *event.QuarantineList, own *event.PartReport) {
	l := &w.PartList
	wrote := l.Writing && result.Status == event.CallOK
	l.Reading, l.Writing, l.Attempted = false, false, true
	if result.Status != event.CallOK && result.Status != event.CallConflict {
		l.Known, l.CheckAt = false, w.Now.Add(listRetryInterval)
		return
	}
	stored := make([]table.Fingerprint, 0, len(result.Entries))
	for _, e := range result.Entries {
		if e.Remaining > 0 {
			stored = append(stored, e.Fingerprint)
		}
	}
	l.Known = true
	setStored(l, result.Version, stored)
	l.CheckAt = w.Now
	if wrote {
		own.StoredEra, own.StoredVersion, own.Stored = w.StoreEra.Number, result.Version, stored
		return
	}
	for _, e := range result.Entries {
		switch {
		case !e.IsRequest:
			applyEntry(w, e, "the list in the store names it")
		case e.Remaining > 0 && !wasSound(w, e.Fingerprint, clearedMemory):
			addQuarantine(w, e.Fingerprint, w.Now.Add(min(e.Remaining, quarantineDuration)))
		}
	}
}

func setStored(l *table.PartList, version uint64, parts []table.Fingerprint) {
	l.Version, l.Stored = version, table.Set[table.Fingerprint]{}
	for _, f := range parts {
		l.Stored.Add(f)
	}
}

// sameParts reports whether the stored list names exactly the given parts.
func sameParts(l *table.PartList, entries []event.QuarantineEntry) bool {
	return l.Stored.Len() == len(entries) &&
		!slices.ContainsFunc(entries, func(e event.QuarantineEntry) bool { return !l.Stored.Has(e.Fingerprint) })
}

// scheduleListCheck lets the list be compared after the quarantine of a part began or
// ended.
func scheduleListCheck(w *world.World, f table.Fingerprint) {
	l := &w.PartList
	l.CheckAt = min(l.CheckAt, w.Now.Add(time.Duration(partRank(w, f))*writeStagger))
}
