// Package catalog maintains the configuration of the HTTP front and the table
// of direct endpoints.
package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/watch"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// defaultLapseGrace is how long entries that lapsed may take to come back, if the
	// router that reported them did not say it.
	defaultLapseGrace = 2 * time.Second
	// outagePollInterval is how often a router without the store looks whether it is
	// back, while lapsed entries are kept.
	outagePollInterval = 500 * time.Millisecond
	// copyTime is how long after a return of the store its entries may be those of the older
	// copy. Copies are up to 20 s old, and endpoints write within seconds.
	copyTime = 30 * time.Second
	// departedTime is how long it is known of an endpoint that it left.
	departedTime = 2 * copyTime
)

// Run applies the manifests and the endpoint changes of this tick.
func Run(w *world.World) {
	if w.StoreEra.Returned {
		// What the copy lacks is written again as after an outage.
		w.PlatformRestoredAt = w.Now
	}
	for _, e := range w.In.PlatformStates {
		if isLateFailure(w, e) {
			w.Count("catalog.late_failures")
			continue
		}
		onPlatformState(w, e.Reachable)
	}
	for i := range w.In.Manifests {
		applyManifest(w, &w.In.Manifests[i])
	}
	for i := range w.In.EndpointChanges {
		applyEndpointChanges(w, &w.In.EndpointChanges[i])
	}
	deleteRemoved(w)
}

// isLateFailure reports whether a call failed whose answer was due before the store
// answered another one. It was lost in an outage that is over: calls that begin together
// in an outage don't fail together.
func isLateFailure(w *world.World, e event.PlatformState) bool {
	return !e.Reachable && w.PlatformAnsweredAt != 0 && w.Now.Sub(w.PlatformAnsweredAt) <= e.DueFor
}

func onPlatformState(w *world.World, reachable bool) {
	mayHaveLapsed := w.MayHaveLapsed()
	if reachable {
		w.PlatformAnsweredAt = w.Now
	}
	if reachable == w.PlatformReachable && w.PlatformStateSince != 0 {
		return
	}
	from, to := "up", "down"
	if reachable {
		from, to = to, from
	}
	w.RecordStateChange("platform", "store", from, to, "last call")
	if reachable && w.PlatformStateSince != 0 && mayHaveLapsed {
		w.PlatformRestoredAt = w.Now
	}
	w.PlatformReachable, w.PlatformStateSince = reachable, max(w.Now, 1)
	if !reachable {
		w.StoreServedOthersAt, w.EntriesRelistedAt = 0, 0
	}
	// This router may do duties for others now, or no longer.
	w.FleetGeneration++
}

// applyManifest activates a manifest if its version is higher than that of the
// active one.
func applyManifest(w *world.World, e *event.ManifestReceived) {
	m := &e.Manifest
	if m.Version == w.Manifest.Version {
		// The store may have got it again, after it returned from a copy.
		w.ManifestRevision = max(w.ManifestRevision, e.Revision)
	}
	if m.Version <= w.Manifest.Version {
		return
	}
	source := "the store"
	if e.Relayed {
		source = "router " + string(e.From)
	}
	w.RecordStateChange("manifest", strconv.FormatUint(m.Version, 10), strconv.FormatUint(w.Manifest.Version, 10), "in force",
		fmt.Sprintf("%d routes, revision %d from %s", len(m.Routes), e.Revision, source))
	w.Manifest, w.ManifestRevision = *m, e.Revision
	w.RoutesByHost = table.Table[string, []int]{}
	for i := range m.Routes {
		host := m.Routes[i].Host
		var indexes []int
		if old := w.RoutesByHost.Get(host); old != nil {
			indexes = *old
		}
		w.RoutesByHost.Put(host, append(indexes, i))
	}
	w.RoutesByHost.Each(func(_ string, indexes *[]int) {
		slices.SortStableFunc(*indexes, func(a, b int) int {
			return cmp.Compare(len(m.Routes[b].PathPrefix), len(m.Routes[a].PathPrefix))
		})
	})
	applyServices(w, m)
	applyCustomers(w, m)
}

func applyServices(w *world.World, m *table.Manifest) {
	for _, s := range m.Services {
		if old := w.DirectServices.Get(s.Name); old != nil {
			s.RetryBucketLevel = old.RetryBucketLevel
		}
		w.DirectServices.Put(s.Name, s)
	}
}

func applyCustomers(w *world.World, m *table.Manifest) {
	w.CustomersByKeyHash = table.Table[table.KeyHash, table.CustomerID]{}
	w.PrepaidCustomers = table.Table[table.CustomerID, table.PrepaidCustomer]{}
	for _, c := range m.Customers {
		w.PrepaidCustomers.Put(c.ID, c)
		for _, k := range c.KeyHashes {
			w.CustomersByKeyHash.Put(k, c.ID)
		}
	}
}

func applyEndpointChanges(w *world.World, changes *event.EndpointChanges) {
	present := make(map[table.EndpointID]bool, len(changes.Present))
	current := make([]event.EndpointEntry, 0, len(changes.Present))
	for i := range changes.Present {
		e := &changes.Present[i]
		present[e.ID] = true
		if isOfCopy(w, e) {
			w.Count("catalog.entries_of_copies")
			continue
		}
		current = append(current, *e)
		applyEndpoint(w, e)
	}
	// The systems that follow read the entries as well.
	changes.Present = current
	// Of relayed changes, only their sender knows whether an outage caused them.
	mayHaveLapsed := w.RecentOutage()
	var graceEnd table.Instant
	if changes.Relayed {
		mayHaveLapsed = changes.MayHaveLapsed
		graceEnd = w.Now.Add(cmp.Or(changes.LapseGrace, defaultLapseGrace))
	}
	for _, id := range changes.Removed {
		markRemoved(w, id, mayHaveLapsed, graceEnd)
	}
	if !changes.Full {
		return
	}
	for i := range w.DirectEndpoints.Len() {
		if id, _ := w.DirectEndpoints.At(i); !present[id] {
			markRemoved(w, id, mayHaveLapsed, graceEnd)
		}
	}
}

// isOfCopy reports whether an entry is older than what this router knows of the endpoint, as
// shown by a store that has returned from a copy. Endpoints count the entries that they
// write, so that the first one after the return is recognized.
func isOfCopy(w *world.World, e *event.EndpointEntry) bool {
	if w.StoreEra.Returns == 0 || w.Now >= w.StoreEra.Since.Add(copyTime) {
		return false
	}
	if row := w.DirectEndpoints.Get(e.ID); row != nil {
		gone := row.RemovedAt != 0 && row.Leaving
		return precedes(e, row.StartedUnixMilli, row.Sequence) || gone && isSameEntry(e, row.StartedUnixMilli, row.Sequence)
	}
	departed := w.DepartedEndpoints.Get(e.ID)
	return departed != nil &&
		(precedes(e, departed.StartedUnixMilli, departed.Sequence) || isSameEntry(e, departed.StartedUnixMilli, departed.Sequence))
}

// precedes reports whether an entry was written before another one of the endpoint, which has
// the given start and sequence number. The numbers of an endpoint that does not name its start
// may begin anew.
func precedes(e *event.EndpointEntry, startedUnixMilli, sequence int64) bool {
	if e.StartedUnixMilli != startedUnixMilli {
		return e.StartedUnixMilli < startedUnixMilli
	}
	return e.StartedUnixMilli != 0 && e.Sequence != 0 && e.Sequence < sequence
}

func isSameEntry(e *event.EndpointEntry, startedUnixMilli, sequence int64) bool {
	return e.StartedUnixMilli == startedUnixMilli && e.Sequence == sequence
}

func applyEndpoint(w *world.World, e *event.EndpointEntry) {
	row := w.DirectEndpoints.Get(e.ID)
	if row == nil || row.StartedUnixMilli != e.StartedUnixMilli || row.Address != e.Address {
		deleteCachedParts(w, e.ID)
		inFlight, withdrawn := 0, false
		if row != nil {
			inFlight, withdrawn = row.InFlight, row.Withdrawn
			closeIdle(w, row.Address)
		}
		row = w.DirectEndpoints.Put(e.ID, table.DirectEndpoint{
			ID: e.ID, Service: e.Service, Address: e.Address, Domain: e.Domain, Slots: e.Slots,
			Leaving: e.Leaving, Withdrawn: withdrawn, StartedUnixMilli: e.StartedUnixMilli, Sequence: e.Sequence, ListedAt: w.Now, InFlight: inFlight, ReportedSlowdown: 1,
		})
		UpdateUse(w, row)
		w.RecordStateChange("endpoint", string(e.ID), "", stateName(e.Leaving), "listed for "+string(e.Service)+" at "+e.Address)
		return
	}
	leaving := e.Leaving || row.SaidLeaving
	if row.Leaving != leaving || row.RemovedAt != 0 {
		w.RecordStateChange("endpoint", string(e.ID), stateName(row.Leaving), stateName(leaving), "entry changed")
	}
	row.Service, row.Domain, row.Slots, row.RemovedAt, row.Sequence = e.Service, e.Domain, e.Slots, 0, max(row.Sequence, e.Sequence)
	SetLeaving(w, row, leaving)
}

func stateName(leaving bool) string {
	if leaving {
		return "leaving"
	}
	return "live"
}

// markRemoved records that an entry is gone. Endpoints whose entries lapsed
// around an outage stay live for a grace period. Others finish their open
// requests and get no new ones. graceEnd is the end of that period if another router
// reported the removal, and 0 otherwise.
func markRemoved(w *world.World, id table.EndpointID, mayHaveLapsed bool, graceEnd table.Instant) {
	row := w.DirectEndpoints.Get(id)
	if row == nil || row.RemovedAt != 0 {
		return
	}
	row.RemovedAt, row.LapseGraceEnd = w.Now, graceEnd
	if mayHaveLapsed && !row.Leaving {
		w.RecordStateChange("endpoint", string(id), stateName(row.Leaving), "unlisted", "entry lapsed around an outage of the store")
		return
	}
	w.RecordStateChange("endpoint", string(id), stateName(row.Leaving), "leaving", "entry removed")
	SetLeaving(w, row, true)
}

// Withdraw takes an endpoint out of use whose process said that it leaves.
func Withdraw(w *world.World, row *table.DirectEndpoint, source string) {
	if !row.Leaving {
		w.RecordStateChange("endpoint", string(row.ID), stateName(row.Leaving), "leaving", "it said so, by "+source)
	}
	row.SaidLeaving = true
	SetLeaving(w, row, true)
}

// SetLeaving sets whether an endpoint gets no new work, also from attempts that are
// already on their way to it.
func SetLeaving(w *world.World, row *table.DirectEndpoint, leaving bool) {
	row.Leaving = leaving
	UpdateUse(w, row)
}

// UpdateUse decides whether attempts that are already on their way to an endpoint may be
// sent, and orders it if that has changed.
func UpdateUse(w *world.World, row *table.DirectEndpoint) {
	withdrawn := row.Leaving || w.Evacuations.Get(row.Domain) != nil
	if row.Withdrawn != withdrawn {
		w.Out.EndpointUses = append(w.Out.EndpointUses, command.SetEndpointUse{Endpoint: row.ID, Allowed: !withdrawn})
	}
	row.Withdrawn = withdrawn
}

// deleteRemoved ends the grace period of lapsed entries, and deletes the rows of
// removed entries that have no open attempts.
func deleteRemoved(w *world.World) {
	w.DepartedEndpoints.DeleteIf(func(_ table.EndpointID, d *table.DepartedEndpoint) bool { return d.ForgetAt <= w.Now })
	w.DirectEndpoints.DeleteIf(func(id table.EndpointID, e *table.DirectEndpoint) bool {
		if e.RemovedAt == 0 {
			return false
		}
		if !e.Leaving {
			if !graceEnded(w, e) {
				return false
			}
			SetLeaving(w, e, true)
			w.RecordStateChange("endpoint", string(id), "unlisted", "leaving", "entry did not come back")
		}
		if e.InFlight > 0 {
			return false
		}
		deleteCachedParts(w, id)
		closeIdle(w, e.Address)
		w.DepartedEndpoints.Put(id, table.DepartedEndpoint{StartedUnixMilli: e.StartedUnixMilli, Sequence: e.Sequence, ForgetAt: w.Now.Add(departedTime)})
		// No attempt is left that the withdrawal binds.
		w.Out.EndpointUses = append(w.Out.EndpointUses, command.SetEndpointUse{Endpoint: id, Allowed: true})
		return true
	})
}

// graceEnded reports whether the time is over in which a lapsed entry may come back,
// and requests a tick at its end otherwise. Without the store, only another router can
// tell that: if the store has served one since this router does not reach it, the entry
// lapsed in an earlier outage. An entry that is listed again is passed on.
func graceEnded(w *world.World, e *table.DirectEndpoint) bool {
	switch {
	case e.LapseGraceEnd != 0:
		return w.DueOrWake(e.LapseGraceEnd)
	case w.PlatformReachable:
		return w.DueOrWake(watch.LapseGraceEnd(w))
	case w.EntriesRelistedAt != 0:
		return true
	case w.StoreServedOthersAt != 0:
		return w.DueOrWake(watch.RelistEnd(w, w.PlatformStateSince))
	}
	w.WakeAt(w.Now.Add(outagePollInterval))
	return false
}

// closeIdle closes the idle connections of an endpoint's former process or address.
func closeIdle(w *world.World, address string) {
	w.Out.IdleCloses = append(w.Out.IdleCloses, command.CloseIdle{Address: address})
}

func deleteCachedParts(w *world.World, id table.EndpointID) {
	w.CachedParts.DeleteIf(func(k table.CachedPart, _ *table.Instant) bool { return k.Endpoint == id })
}
