package watch

import (
	"slices"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// followsEvacuations reports whether the deployment evacuates failure domains.
func followsEvacuations(w *world.World) bool { return w.Params.Front.EvacuationBound > 0 }

// acceptEvacuations adds the sets of evacuated domains in the reports of other routers to
// those that the store returned, and drops what is not newer than what this router knows.
func acceptEvacuations(w *world.World) {
	for i := range w.In.RouterReports {
		if r := &w.In.RouterReports[i]; r.EvacuationsCovered > 0 {
			w.In.EvacuationChanges = append(w.In.EvacuationChanges, event.EvacuationChanges{
				InEra: r.InEra, Full: true, Covered: r.EvacuationsCovered, Present: r.Evacuated, Relayed: true, SenderStoreDown: r.StoreDown,
			})
		}
	}
	w.In.EvacuationChanges = slices.DeleteFunc(w.In.EvacuationChanges, func(e event.EvacuationChanges) bool { return !acceptEvacuationChange(w, &e) })
}

// acceptEvacuationChange reports whether a set of evacuated domains, or a change of it, is
// newer than what this router knows, and records its revision. Each set is that of its
// revision, whoever sent it, so the revision alone decides. A router that has no set yet
// keeps asking the store if the sender may have missed later changes.
func acceptEvacuationChange(w *world.World, e *event.EvacuationChanges) bool {
	row := watchOf(w, table.WatchEvacuations)
	row.LastChange = max(row.LastChange, e.LastChange)
	switch {
	case !e.Full && e.Since > row.Covered:
		w.Count("watch.gaps")
		markBehind(w, row)
		return false
	case e.Covered < row.Covered, e.Covered == row.Covered && row.Listed:
		return false
	}
	row.Covered, row.Listed = e.Covered, row.Listed || !e.SenderStoreDown
	if e.Relayed {
		row.ToldAt = w.Now
	}
	if e.Covered >= row.LastChange {
		row.BehindSince = 0
	}
	return true
}
