// Package share decides which routers of a fleet share what an endpoint admits from all of
// them together. Each router computes it for itself, from members that are alike at all.
package share

import (
	"cmp"
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// maxAbsence is how long a router without a session counts as a member of the fleet. It
// exceeds a cut that heals and a restart.
const maxAbsence = 30 * time.Second

// quorum is the part of the members with which a router has to be connected to take over the
// shares of absent ones. What the others may still use twice is the rest.
const quorum = 0.6

// RecheckTime is how long a share may be used before the members are looked at again: a
// member's absence ends without an event.
const RecheckTime = 5 * time.Second

// Rank returns members by their rank for an endpoint, highest first.
func Rank(id table.EndpointID, members []table.ProcessID) []table.ProcessID {
	members = slices.Clone(members)
	ranks := make(map[table.ProcessID]uint64, len(members))
	for _, p := range members {
		ranks[p] = table.RendezvousRank(string(id), string(p))
	}
	slices.SortFunc(members, func(a, b table.ProcessID) int {
		return cmp.Or(cmp.Compare(ranks[b], ranks[a]), cmp.Compare(a, b))
	})
	return members
}

// Present returns this router and those that it has a session with, or had one a short time
// ago. One that is cut off for a moment still counts: the others must not take its share, nor
// it theirs.
func Present(w *world.World) []table.ProcessID {
	members := []table.ProcessID{w.Self().Process}
	w.RouterPeers.Each(func(p table.ProcessID, peer *table.RouterPeer) {
		if peer.Connected || w.Now.Sub(peer.AbsentSince) < maxAbsence {
			members = append(members, p)
		}
	})
	return members
}

// Registered returns the routers in the limit ledger, by name, or none before it was read.
// Those that have long been absent are left out if this router is connected with most of
// them: a part of the fleet that is cut off must not take what the others use.
func Registered(w *world.World) []table.ProcessID {
	m := &w.LedgerMembers
	if m.Generation != w.FleetGeneration || m.RecheckAt <= w.Now {
		*m = table.Members{Names: registered(w), Generation: w.FleetGeneration, RecheckAt: w.Now.Add(RecheckTime)}
	}
	return m.Names
}

func registered(w *world.World) []table.ProcessID {
	content := &w.LimitLedgerView.Content
	if !w.LimitLedgerView.ContentKnown {
		return nil
	}
	self := w.Self().Process
	members := make([]table.ProcessID, 0, len(content.Holders))
	for i := range content.Holders {
		members = append(members, content.Holders[i].Process)
	}
	slices.Sort(members)
	members = slices.Compact(members)
	connected := 0
	for _, p := range members {
		if peer := w.RouterPeers.Get(p); p == self || peer != nil && peer.Connected {
			connected++
		}
	}
	if float64(connected) < quorum*float64(len(members)) {
		return members
	}
	return slices.DeleteFunc(members, func(p table.ProcessID) bool {
		peer := w.RouterPeers.Get(p)
		return p != self && peer != nil && !peer.Connected && w.Now.Sub(peer.AbsentSince) >= maxAbsence
	})
}
