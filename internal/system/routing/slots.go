package routing

import (
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// reservedQuickSlots returns how many slots of an endpoint long requests leave free
// for quick ones. An endpoint with a single slot runs both classes.
func reservedQuickSlots(w *world.World, e *table.Endpoint, r *table.Request) int {
	share := 0.0
	if l := w.Limits.Get(table.LimitsKey{Customer: r.Customer, Service: r.Service}); l != nil {
		share = l.QuickSlotShare
	}
	return min(max(1, int(share*float64(e.Slots))), e.Slots-1)
}

// hasSlot reports whether an endpoint has a free slot for the request's class.
//
// Quick requests use only this router's own count and the agent's rejections: counts
// of other routers' work are too old for them, and the agent rejects what exceeds
// its slots. Long requests can wait for the next count, and they need it: without
// it, the routers together would fill the slots that each of them leaves free.
func hasSlot(w *world.World, e *table.Endpoint, r *table.Request) bool {
	if !acceptsRequest(w, e, r) {
		return false
	}
	if r.Class == table.ClassLong {
		return e.InFlight+e.OthersInFlight < e.Slots-reservedQuickSlots(w, e, r)
	}
	return e.InFlight < e.Slots
}

// hasSlotForAged reports whether a long request past agingThreshold may use an
// endpoint. It may take any free slot, but at most as many per endpoint as are
// reserved for quick requests.
func hasSlotForAged(w *world.World, e *table.Endpoint, r *table.Request) bool {
	longInFlight := e.InFlight - e.InFlightQuick + e.OthersInFlightLong
	return acceptsRequest(w, e, r) && e.InFlight < e.Slots && longInFlight < max(1, reservedQuickSlots(w, e, r))
}

// acceptsRequest reports whether an endpoint is neither held for another request
// nor in busy backoff for the request's class.
func acceptsRequest(w *world.World, e *table.Endpoint, r *table.Request) bool {
	if e.HeldForRequest != "" && e.HeldForRequest != r.ID {
		return false
	}
	if until := e.BusyUntil[r.Class]; until > w.Now {
		w.WakeAt(until)
		return false
	}
	return true
}

// reportedFull reports whether the agent's last count leaves no free slot.
func reportedFull(e *table.Endpoint) bool { return e.InFlight+e.OthersInFlight >= e.Slots }
