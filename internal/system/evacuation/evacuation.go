// Package evacuation keeps failure domains out of use that the operator evacuates.
//
// The operator takes a domain out of use before work on it, or while it is in trouble, and
// wants certainty within a bound: no request may reach an endpoint there, also not from a
// router that the store turns away or that has just started. Only the removal of the
// operator's entry ends an evacuation. What already runs in the domain goes on.
package evacuation

import (
	"fmt"
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/catalog"
	"laburnumroad.dev/laburnumroad/internal/system/warmup"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// maxReportedDomains is the most domains that reports to other routers name. Each router
// asks the store itself if there are more.
const maxReportedDomains = 100

// rewriteTime is how long the operator may take to write an evacuation again that the store has
// lost by its return from a copy.
const rewriteTime = 10 * time.Second

// Run puts the evacuations of this tick in force. Package watch has dropped those that are
// not new.
func Run(w *world.World) {
	if w.Params.Front.EvacuationBound <= 0 {
		return
	}
	for i := range w.In.EvacuationChanges {
		apply(w, &w.In.EvacuationChanges[i])
	}
	for i := range w.In.RouterReports {
		learnLost(w, w.In.RouterReports[i].EvacuationsLost)
	}
	endLost(w)
	if !w.EvacuationsKnown {
		awaitFirstSet(w)
	}
}

// Known reports whether this router may send requests, as far as evacuations go. One that
// has just started does not know which domains are evacuated.
func Known(w *world.World) bool {
	return w.Params.Front.EvacuationBound <= 0 || w.EvacuationsKnown
}

// Report returns the evacuated domains for a report to the other routers, and the revision
// of the store at which they are, 0 if this router can't say that. Those that the store has
// lost are apart.
func Report(w *world.World) (domains []string, covered uint64, lost []string) {
	w.EvacuationsUnreported = false
	row := w.Watches.Get(table.WatchEvacuations)
	if row == nil || w.Evacuations.Len() > maxReportedDomains {
		return nil, 0, nil
	}
	w.Evacuations.Each(func(domain string, e *table.Evacuation) {
		if isLost(w, e) {
			lost = append(lost, domain)
		} else {
			domains = append(domains, domain)
		}
	})
	return domains, row.Covered, lost
}

func apply(w *world.World, e *event.EvacuationChanges) {
	changed := false
	for _, domain := range e.Present {
		if row := w.Evacuations.Get(domain); row != nil {
			row.Era = w.StoreEra.Number
		} else {
			w.Evacuations.Put(domain, table.Evacuation{Since: w.Now, Era: w.StoreEra.Number})
			w.Count("evacuation.begun")
			w.RecordStateChange("domain", domain, "in use", "evacuated", describe(w, domain))
			changed = true
		}
	}
	w.Evacuations.DeleteIf(func(domain string, row *table.Evacuation) bool {
		if !slices.Contains(e.Removed, domain) && (!e.Full || slices.Contains(e.Present, domain) || isLost(w, row)) {
			return false
		}
		logEnd(w, domain, row)
		changed = true
		return true
	})
	if !changed {
		return
	}
	w.EvacuationsUnreported = w.EvacuationsUnreported || !e.Relayed
	updateUses(w)
}

// isLost reports whether the store has not named an evacuation since it returned from a copy.
func isLost(w *world.World, e *table.Evacuation) bool { return e.Era < w.StoreEra.Number }

// learnLost adds evacuations that the store has lost, if this router has started since and
// only knows what the store has.
func learnLost(w *world.World, domains []string) {
	if w.StoreEra.Number == 0 || w.StoreEra.Returns > 0 || w.Now >= w.StoreEra.Since.Add(rewriteTime) {
		return
	}
	added := false
	for _, domain := range domains {
		if w.Evacuations.Get(domain) == nil {
			w.Evacuations.Put(domain, table.Evacuation{Since: w.Now, Era: w.StoreEra.Number - 1})
			w.RecordStateChange("domain", domain, "in use", "evacuated", "the store lost it; "+describe(w, domain))
			added = true
		}
	}
	if added {
		updateUses(w)
	}
}

// endLost ends the evacuations that the operator has not written again.
func endLost(w *world.World) {
	ended := false
	w.Evacuations.DeleteIf(func(domain string, row *table.Evacuation) bool {
		if !isLost(w, row) || !w.DueOrWake(w.StoreEra.Since.Add(rewriteTime)) {
			return false
		}
		logEnd(w, domain, row)
		ended = true
		return true
	})
	if ended {
		updateUses(w)
	}
}

func logEnd(w *world.World, domain string, row *table.Evacuation) {
	w.RecordStateChange("domain", domain, "evacuated", "in use", "after "+w.Now.Sub(row.Since).Round(time.Millisecond).String())
}

// updateUses decides anew which endpoints may be sent to.
func updateUses(w *world.World) {
	w.DirectEndpoints.Each(func(_ table.EndpointID, row *table.DirectEndpoint) {
		withdrawn := row.Withdrawn
		catalog.UpdateUse(w, row)
		if withdrawn && !row.Withdrawn {
			// Its process may have started again during the evacuation.
			warmup.MarkCold(w, row, "the evacuation of its failure domain ended")
		}
	})
}

// describe says what an evacuation that begins concerns. A domain without endpoints may be
// misspelled.
func describe(w *world.World, domain string) string {
	there, elsewhere, running := 0, 0, 0
	w.DirectEndpoints.Each(func(_ table.EndpointID, e *table.DirectEndpoint) {
		switch {
		case e.Domain == domain:
			there++
			running += e.InFlight
		case w.Evacuations.Get(e.Domain) == nil:
			elsewhere++
		}
	})
	switch {
	case there == 0:
		return "no endpoint is listed there"
	case elsewhere == 0:
		return fmt.Sprintf("%d endpoints, %d attempts run there; no endpoint is left elsewhere", there, running)
	}
	return fmt.Sprintf("%d endpoints, %d attempts run there", there, running)
}

// awaitFirstSet ends the wait of a router that has started for the first set of evacuated
// domains. It waits for as long as an evacuation may take to be in force.
func awaitFirstSet(w *world.World) {
	if row := w.Watches.Get(table.WatchEvacuations); row != nil && row.Listed {
		w.EvacuationsKnown = true
		return
	}
	if w.EvacuationsAwaitedSince == 0 {
		w.EvacuationsAwaitedSince = max(w.Now, 1)
	}
	if w.DueOrWake(w.EvacuationsAwaitedSince.Add(w.Params.Front.EvacuationBound)) {
		w.EvacuationsKnown = true
		w.Count("evacuation.assumed")
		w.RecordStateChange("evacuations", string(w.Self().Process), "awaited", "assumed",
			fmt.Sprintf("neither the store nor a router that it answers has named them; %d are known", w.Evacuations.Len()))
	}
}
