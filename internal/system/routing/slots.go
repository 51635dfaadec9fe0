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

// hasSlot reports whether an endpoint has a free slot for the request's class as
// far as this router knows at first hand: by its own work there, and not within
// the delay after a refusal. The agent refuses what is above its slots.
func hasSlot(w *world.World, e *table.Endpoint, r *table.Request) bool {
	if !open(w, e, r) {
		return false
	}
	if r.Class == table.ClassLong {
		return e.InFlight < e.Slots-kept(w, e, r)
	}
	return e.InFlight < e.Slots
}

// hasAgedSlot lets long work that waited for long use any free slot, but of each
// endpoint only as many as are kept for quick work.
func hasAgedSlot(w *world.World, e *table.Endpoint, r *table.Request) bool {
	long := e.InFlight - e.InFlightQuick + e.OthersLong
	limit := max(1, kept(w, e, r))
	return open(w, e, r) && e.InFlight < e.Slots && long < limit
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
func believedFull(w *world.World, e *table.Endpoint, r *table.Request) bool {
	limit := e.Slots
	if r.Class == table.ClassLong {
		limit -= kept(w, e, r)
	}
	return e.InFlight+e.OthersInFlight >= limit
}
