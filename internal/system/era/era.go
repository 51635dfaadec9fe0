// Package era recognizes that the platform's store has returned from an older copy.
//
// The store then no longer has what it acknowledged since the copy was made, and gives
// revisions out a second time, for other contents. It names its era in each answer. Revisions
// compare only within an era: this system runs before all others, and lets pass only events
// whose revisions are of the newest era that this router knows. In the tick in which a new era
// begins, the systems that keep revisions drop them.
package era

import (
	"slices"
	"strconv"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Run records the newest era that an event of this tick names, and drops what belongs to
// earlier ones.
func Run(w *world.World) {
	w.StoreEra.Returned = false
	if newest := newestEra(&w.In); newest > w.StoreEra.Number {
		begin(w, newest)
	}
	if w.StoreEra.Number > 0 {
		dropEarlier(w)
	}
}

func newestEra(in *event.Inbox) uint64 {
	return max(
		newestOf(in.Manifests), newestOf(in.EndpointChanges), newestOf(in.EvacuationChanges), newestOf(in.WatchResults), newestOf(in.LimitLedgerResults),
		newestOf(in.QuarantineLists), newestOf(in.Crashes), newestOf(in.RouterReports), newestOf(in.LedgerChanges), newestOf(in.LimitRequests))
}

func newestOf[E interface{ StoreEra() uint64 }](events []E) uint64 {
	newest := uint64(0)
	for i := range events {
		newest = max(newest, events[i].StoreEra())
	}
	return newest
}

// begin records a new era. The first one that a process learns of is no return, unless the
// process knows revisions already, whose era was not named.
func begin(w *world.World, number uint64) {
	e := &w.StoreEra
	previous := e.Number
	e.Number, e.Since = number, max(w.Now, 1)
	if previous == 0 && !knowsRevisions(w) {
		return
	}
	e.Returned = true
	e.Returns++
	w.Count("era.returns")
	w.RecordStateChange("store", "era", strconv.FormatUint(previous, 10), strconv.FormatUint(number, 10), "the store returned from an older copy")
}

func knowsRevisions(w *world.World) bool {
	known := w.LimitLedgerView.ContentKnown
	w.Watches.Each(func(_ table.WatchKind, row *table.Watch) { known = known || row.Covered > 0 })
	return known
}

// dropEarlier drops the events whose revisions are of an earlier era, or only what they say of
// revisions if they tell more.
func dropEarlier(w *world.World) {
	current := w.StoreEra.Number
	w.In.EndpointChanges = slices.DeleteFunc(w.In.EndpointChanges, func(e event.EndpointChanges) bool {
		return isEarlier(w, e.Era, e.Relayed) && drop(w, table.WatchEndpoints, e.Relayed)
	})
	w.In.EvacuationChanges = slices.DeleteFunc(w.In.EvacuationChanges, func(e event.EvacuationChanges) bool {
		return isEarlier(w, e.Era, e.Relayed) && drop(w, table.WatchEvacuations, e.Relayed)
	})
	w.In.LedgerChanges = slices.DeleteFunc(w.In.LedgerChanges, func(e event.LedgerChange) bool { return e.Era < current })
	w.In.LimitRequests = slices.DeleteFunc(w.In.LimitRequests, func(e event.LimitRequest) bool { return e.Era != 0 && e.Era < current })
	for i := range w.In.Manifests {
		// A configuration has a version of its own.
		if e := &w.In.Manifests[i]; isEarlier(w, e.Era, e.Relayed) {
			e.Revision = 0
		}
	}
	for i := range w.In.RouterReports {
		if e := &w.In.RouterReports[i]; e.Era < current {
			e.LastChanges, e.Wants, e.Evacuated, e.EvacuationsCovered, e.EvacuationsLost = nil, nil, nil, 0, nil
		}
	}
	for i := range w.In.Crashes {
		if p := w.In.Crashes[i].Parts; p != nil && p.StoredEra < current {
			p.StoredVersion, p.Stored = 0, nil
		}
	}
	for i := range w.In.WatchResults {
		if e := &w.In.WatchResults[i]; e.Status == event.WatchOK && isEarlier(w, e.Era, false) {
			e.Status = event.WatchCompacted
		}
	}
	for i := range w.In.LimitLedgerResults {
		if e := &w.In.LimitLedgerResults[i]; isEarlier(w, e.Era, false) {
			e.Status = event.CallOutcomeUnknown
		}
	}
	for i := range w.In.QuarantineLists {
		if e := &w.In.QuarantineLists[i]; isEarlier(w, e.Era, false) {
			e.Status = event.CallOutcomeUnknown
		}
	}
}

// isEarlier reports whether revisions are of an earlier era. An answer of the store without
// an era is taken for one of the current era, as where the store never names it. Another router
// that names none is of a release that compares revisions of all eras.
func isEarlier(w *world.World, number uint64, relayed bool) bool {
	return number < w.StoreEra.Number && (number != 0 || relayed)
}

// drop counts a dropped event. What another router knows of a kind of objects, the store is
// asked for.
func drop(w *world.World, kind table.WatchKind, relayed bool) bool {
	w.Count("era.dropped")
	if row := w.Watches.Get(kind); relayed && row != nil && row.BehindSince == 0 {
		row.BehindSince = w.Now
	}
	return true
}
