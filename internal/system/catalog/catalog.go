// Package catalog decides which configuration of the HTTP front is in force and
// which direct endpoints exist.
package catalog

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// restoreTime is how long entries may be missing from the list after an
	// outage of the store: endpoints that live are back within two seconds.
	restoreTime = 2 * time.Second
	// outageMemory is how long after an outage removals may be due to it. They are
	// seen with the first list or watch after it.
	outageMemory = restoreTime
)

// Run applies the manifests and the lists of endpoints of this tick.
func Run(w *world.World) {
	for _, e := range w.In.PlatformStates {
		platformState(w, e.Reachable)
	}
	for i := range w.In.Manifests {
		apply(w, &w.In.Manifests[i].Manifest)
	}
	for i := range w.In.EndpointLists {
		applyList(w, &w.In.EndpointLists[i])
	}
	dropRemoved(w)
}

func platformState(w *world.World, up bool) {
	if up == w.PlatformUp && w.PlatformSince != 0 {
		return
	}
	from, to := "up", "down"
	if up {
		from, to = to, from
	}
	w.Change("platform", "store", from, to, "last call")
	if up && w.PlatformSince != 0 {
		w.OutageEnd = w.Now
	}
	w.PlatformUp, w.PlatformSince = up, max(w.Now, 1)
}

// apply puts a manifest in force unless it is older than the one in force.
func apply(w *world.World, m *table.Manifest) {
	if m.Version <= w.Manifest.Version {
		return
	}
	w.Change("manifest", strconv.FormatUint(m.Version, 10), strconv.FormatUint(w.Manifest.Version, 10), "in force",
		strconv.Itoa(len(m.Routes))+" routes")
	w.Manifest = *m
	w.HostRoutes = table.Table[string, []int]{}
	for i := range m.Routes {
		host := m.Routes[i].Host
		var list []int
		if old := w.HostRoutes.Get(host); old != nil {
			list = *old
		}
		w.HostRoutes.Put(host, append(list, i))
	}
	w.HostRoutes.Each(func(_ string, list *[]int) {
		slices.SortStableFunc(*list, func(a, b int) int {
			return cmp.Compare(len(m.Routes[b].Prefix), len(m.Routes[a].Prefix))
		})
	})
	applyServices(w, m)
	applyCustomers(w, m)
}

func applyServices(w *world.World, m *table.Manifest) {
	for _, s := range m.Services {
		if old := w.DirectServices.Get(s.Name); old != nil {
			s.RetryLevel = old.RetryLevel
		}
		w.DirectServices.Put(s.Name, s)
	}
}

func applyCustomers(w *world.World, m *table.Manifest) {
	w.KeyOwners = table.Table[table.KeyHash, table.CustomerID]{}
	w.Prepaids = table.Table[table.CustomerID, table.Prepaid]{}
	for _, c := range m.Customers {
		w.Prepaids.Put(c.ID, c)
		for _, k := range c.KeyHashes {
			w.KeyOwners.Put(k, c.ID)
		}
	}
}

func applyList(w *world.World, l *event.EndpointsSeen) {
	present := make(map[table.EndpointID]bool, len(l.Present))
	for i := range l.Present {
		present[l.Present[i].ID] = true
		applyEntry(w, &l.Present[i])
	}
	for _, id := range l.Removed {
		remove(w, id)
	}
	if !l.Full {
		return
	}
	for i := range w.DirectEndpoints.Len() {
		if id, _ := w.DirectEndpoints.At(i); !present[id] {
			remove(w, id)
		}
	}
}

func applyEntry(w *world.World, e *event.DirectEntry) {
	row := w.DirectEndpoints.Get(e.ID)
	if row == nil || row.Born != e.Born || row.Address != e.Address {
		forgetCache(w, e.ID)
		inFlight := 0
		if row != nil {
			inFlight = row.InFlight
		}
		w.DirectEndpoints.Put(e.ID, table.DirectEndpoint{
			ID: e.ID, Service: e.Service, Address: e.Address, Domain: e.Domain, Slots: e.Slots,
			Leaving: e.Leaving, Born: e.Born, InFlight: inFlight, Slowdown: 1,
		})
		w.Change("endpoint", string(e.ID), "", state(e.Leaving), "listed for "+string(e.Service)+" at "+e.Address)
		return
	}
	if row.Leaving != e.Leaving || row.RemovedAt != 0 {
		w.Change("endpoint", string(e.ID), state(row.Leaving), state(e.Leaving), "entry changed")
	}
	row.Service, row.Domain, row.Slots, row.Leaving, row.RemovedAt = e.Service, e.Domain, e.Slots, e.Leaving, 0
}

func state(leaving bool) string {
	if leaving {
		return "leaving"
	}
	return "live"
}

// remove takes note that an entry is gone. Endpoints that leave without notice
// go on serving what they have, but get no new work.
func remove(w *world.World, id table.EndpointID) {
	row := w.DirectEndpoints.Get(id)
	if row == nil || row.RemovedAt != 0 {
		return
	}
	row.RemovedAt = w.Now
	if outageRecent(w) && !row.Leaving {
		w.Change("endpoint", string(id), state(row.Leaving), "unlisted", "entry lapsed around an outage of the store")
		w.WakeAt(w.Now.Add(restoreTime))
		return
	}
	w.Change("endpoint", string(id), state(row.Leaving), "leaving", "entry removed")
	row.Leaving = true
}

func outageRecent(w *world.World) bool {
	return !w.PlatformUp || w.OutageEnd != 0 && w.Now.Sub(w.OutageEnd) < outageMemory
}

// dropRemoved ends the grace of lapsed entries, and deletes rows that no attempt
// refers to.
func dropRemoved(w *world.World) {
	w.DirectEndpoints.DeleteIf(func(id table.EndpointID, e *table.DirectEndpoint) bool {
		if e.RemovedAt == 0 {
			return false
		}
		if due := e.RemovedAt.Add(restoreTime); !e.Leaving {
			if due > w.Now || !w.PlatformUp {
				w.WakeAt(max(due, w.Now.Add(restoreTime/4)))
				return false
			}
			e.Leaving = true
			w.Change("endpoint", string(id), "unlisted", "leaving", "entry did not come back")
		}
		if e.InFlight > 0 {
			return false
		}
		forgetCache(w, id)
		return true
	})
}

func forgetCache(w *world.World, id table.EndpointID) {
	w.CachedParts.DeleteIf(func(k table.CachedPart, _ *table.Instant) bool { return k.Endpoint == id })
}
