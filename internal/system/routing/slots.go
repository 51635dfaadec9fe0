package routing

import (
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// kept returns how many slots of an endpoint long work leaves free for quick
// work. An endpoint with one slot runs both classes.
func kept(w *world.World, e *table.Endpoint, r *table.Request) int {
	share := 0.0
	if l := w.Limits.Get(table.RuleKey{Customer: r.Customer, Service: r.Service}); l != nil {
		share = l.QuickShare
	}
	return min(max(1, int(share*float64(e.Slots))), e.Slots-1)
}

// hasSlot reports whether an endpoint has a free slot for the request's class.
// Quick work goes by this router's own work there and by refusals alone: counts
// of other routers' work are too old for it, and the agent refuses what is above
// its slots. Long work can wait for the next count, and without it the routers
// together would fill the slots that each of them leaves free.
func hasSlot(w *world.World, e *table.Endpoint, r *table.Request) bool {
	if !open(w, e, r) {
		return false
	}
	if r.Class == table.ClassLong {
		return e.InFlight+e.OthersInFlight < e.Slots-kept(w, e, r)
	}
	return e.InFlight < e.Slots
}

// hasAgedSlot lets long work that waited for long use any free slot, but of each
// endpoint only as many as are kept for quick work.
func hasAgedSlot(w *world.World, e *table.Endpoint, r *table.Request) bool {
	long := e.InFlight - e.InFlightQuick + e.OthersLong
	return open(w, e, r) && e.InFlight < e.Slots && long < max(1, kept(w, e, r))
}

// open reports whether an endpoint is held neither for another request nor back
// after a refusal.
func open(w *world.World, e *table.Endpoint, r *table.Request) bool {
	if e.HeldFor != "" && e.HeldFor != r.ID {
		return false
	}
	if until := e.BusyUntil[r.Class]; until > w.Now {
		w.WakeAt(until)
		return false
	}
	return true
}

// believedFull reports whether the agent's last count leaves no slot.
func believedFull(e *table.Endpoint) bool { return e.InFlight+e.OthersInFlight >= e.Slots }
