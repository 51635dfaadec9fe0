package watch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// Guards against delegates that do not pass a configuration on after the store returned from a
// copy, because its revision is not above that of the configuration before.
func TestConfigurationAfterReturnIsPassedOn(t *testing.T) {
	for _, routers := range []int{6, 12, 29, 103} {
		f := newFleetWithEras(routers, 3)
		copied := f.clone()
		f.run(time.Second)
		for range 3 {
			f.configure()
		}
		f.run(settleTime)
		version := f.version
		f.returnFrom(&copied)
		f.writeAgain(version)
		f.run(2 * settleTime)
		f.configure()
		f.run(changeBound(routers))
		require.Empty(t, f.outdated(), "%d routers", routers)
	}
}

// startRouterAfterReturn returns a fleet whose store came back from a copy without the last
// configuration, a router that has started since, and the version of that configuration.
func startRouterAfterReturn(routers int) (f *fleet, started *member, version uint64) {
	f = newFleetWithEras(routers, 3)
	copied := f.clone()
	f.configure()
	f.run(settleTime)
	version = f.version
	f.returnFrom(&copied)
	f.run(time.Second)
	started = f.routers[1]
	f.start(started)
	return f, started, version
}

// Guards against a router that starts between the return of the store and the operator's next
// write, and serves the older configuration of the copy although others know the later one.
func TestStartedRouterLearnsConfigurationThatStoreLost(t *testing.T) {
	for _, routers := range []int{4, 12, 29} {
		f, _, version := startRouterAfterReturn(routers)
		f.run(settleTime)
		for _, m := range f.routers {
			require.Equal(t, version, m.world.Manifest.Version, "%s of %d", m.process.Process, routers)
		}
		f.writeAgain(version)
		f.run(2 * settleTime)
		require.Empty(t, f.outdated(), "%d routers", routers)
	}
}

// Guards against a router that goes on asking a lost router for the configuration that the
// store lost, although others report the same version.
func TestConfigurationThatStoreLostIsAskedOfAnotherRouter(t *testing.T) {
	for _, routers := range []int{4, 12, 29} {
		f, started, version := startRouterAfterReturn(routers)
		row := func() *table.Watch { return started.world.Watches.Get(table.WatchConfig) }
		for row() == nil || row().ReportedVersion != version {
			f.run(fleetStep)
		}
		require.NotEqual(t, version, started.world.Manifest.Version)
		reporter := f.find(row().ReportedBy.Process)
		reporter.cut = true
		f.disconnect(reporter)
		f.run(settleTime)
		require.Equal(t, version, started.world.Manifest.Version, "%d routers", routers)
	}
}

// otherChanges lets the store's revision rise by changes of objects that no router follows.
func (f *fleet) otherChanges(n uint64) { f.revision += n }

// Guards against a configuration that all routers miss for good after the store returned from a
// copy: their watches go on from a revision of before, which is given out again.
func TestConfigurationBesideOtherChangesAfterReturn(t *testing.T) {
	for _, routers := range []int{1, 3, 12, 103} {
		f := newFleetWithEras(routers, 3)
		copied := f.clone()
		f.otherChanges(3)
		f.configure()
		f.run(settleTime)
		version := f.version
		f.returnFrom(&copied)
		f.writeAgain(version)
		f.run(settleTime)
		f.configure()
		f.otherChanges(8)
		f.run(changeBound(routers))
		require.Empty(t, f.outdated(), "%d routers", routers)
	}
}

// Guards against the removal of an endpoint that is missed in the same way, also by routers
// that the store turns away.
func TestRemovalBesideOtherChangesAfterReturn(t *testing.T) {
	for _, routers := range []int{4, 12, 29} {
		f := newFleetWithEras(routers, 3)
		copied := f.clone()
		f.otherChanges(3)
		f.run(settleTime)
		f.returnFrom(&copied)
		f.run(settleTime)
		f.turnAway(f.inDomain("d1")...)
		f.remove("m1")
		f.otherChanges(8)
		f.run(changeBound(routers))
		require.Empty(t, f.outdated(), "%d routers", routers)
	}
}

// Guards against an evacuation that is missed in the same way.
func TestEvacuationAfterReturn(t *testing.T) {
	for _, routers := range []int{3, 24} {
		f := startFleet(routers, 3, &fleet{era: 1, evacuationBound: evacuationBound})
		copied := f.clone()
		f.otherChanges(6)
		f.run(settleTime)
		f.returnFrom(&copied)
		f.run(settleTime)
		f.evacuate("d1", true)
		f.otherChanges(8)
		f.run(2 * evacuationBound)
		require.Empty(t, f.sendingTo("d1"), "%d routers", routers)
	}
}

// Guards against any order of returns, outages, cuts and restarts after which a router that
// reaches others lacks what they know, or goes back to an older configuration.
func TestFleetKnowsLastChangesAfterReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.SampledFrom([]int{1, 3, 4, 7, 12}).Draw(t, "routers")
		f := newFleetWithEras(routers, rapid.IntRange(1, 4).Draw(t, "domains"))
		copies := []storeState{f.clone()}
		accepted := f.version
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			m := f.routers[rapid.IntRange(0, routers-1).Draw(t, "router")]
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0:
				m.turnedAway = !m.turnedAway
			case 1:
				m.cut = !m.cut
				f.disconnect(m)
			case 2:
				f.start(m)
			case 3:
				f.writeAgain(accepted)
				f.configure()
				accepted = f.version
			case 4:
				f.otherChanges(uint64(rapid.IntRange(1, 20).Draw(t, "changes")))
			case 5:
				f.silent = !f.silent
			case 6:
				copies = append(copies, f.clone())
			default:
				f.returnFrom(&copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")])
			}
			f.runWithoutReturn(t, time.Duration(rapid.IntRange(0, 300).Draw(t, "wait"))*fleetStep)
		}
		for _, m := range f.routers {
			m.cut, m.turnedAway = false, false
		}
		f.silent = false
		f.run(recoveryBound(routers))
		f.writeAgain(accepted)
		f.otherChanges(uint64(rapid.IntRange(0, 20).Draw(t, "other changes")))
		f.configure()
		f.remove(f.live[0].ID)
		f.runWithoutReturn(t, 2*settleTime+changeBound(routers))
		require.Empty(t, f.outdated())
	})
}

// entry returns an entry of the list for change.
func (f *fleet) entry(id table.EndpointID) *event.EndpointEntry {
	f.revision++
	f.endpoints = f.revision
	return &f.live[slices.IndexFunc(f.live, func(e event.EndpointEntry) bool { return e.ID == id })]
}

func (f *fleet) using(id table.EndpointID) int {
	n := 0
	for _, m := range f.routers {
		if e := m.world.DirectEndpoints.Get(id); e != nil && !e.Leaving {
			n++
		}
	}
	return n
}

// runUnused advances the clock and fails if a router uses an endpoint.
func (f *fleet) runUnused(t *testing.T, id table.EndpointID, d time.Duration) {
	for end := f.now.Add(d); f.now < end; {
		f.run(fleetStep)
		require.Zero(t, f.using(id))
	}
}

// Guards against requests to an endpoint that had said that it leaves, because the copy from
// which the store returned shows it as it was before.
func TestLeavingEndpointIsNotUsedAfterReturn(t *testing.T) {
	for _, routers := range []int{1, 4, 29} {
		f := newFleetWithEras(routers, 3)
		e := f.entry("m1")
		e.Sequence, e.StartedUnixMilli = 5, 1000
		f.run(settleTime)
		copied := f.clone()
		e = f.entry("m1")
		e.Sequence, e.Leaving = 9, true
		f.run(settleTime)
		f.returnFrom(&copied)
		f.runUnused(t, "m1", settleTime)
		e = f.entry("m1")
		e.Sequence, e.Leaving = 14, true
		f.runUnused(t, "m1", settleTime)
	}
}

// Guards against requests to an endpoint whose entry was removed, because the copy still has it,
// and against a later process of the same id that is then not used.
func TestRemovedEndpointIsNotUsedAfterReturn(t *testing.T) {
	for _, routers := range []int{1, 4, 29} {
		f := newFleetWithEras(routers, 3)
		e := f.entry("m1")
		e.Sequence, e.StartedUnixMilli = 5, 1000
		f.run(settleTime)
		copied := f.clone()
		f.remove("m1")
		f.run(settleTime)
		f.returnFrom(&copied)
		f.runUnused(t, "m1", settleTime)
		e = f.entry("m1")
		e.Sequence, e.StartedUnixMilli = 1, 2000
		f.run(changeBound(routers))
		require.Equal(t, routers, f.using("m1"))
	}
}

// Guards against a process of an endpoint that is replaced by the one before it, which the copy
// shows.
func TestEarlierProcessOfEndpointIsNotTakenFromCopy(t *testing.T) {
	f := newFleetWithEras(4, 3)
	e := f.entry("m1")
	e.Sequence, e.StartedUnixMilli = 50, 1000
	f.run(settleTime)
	copied := f.clone()
	e = f.entry("m1")
	e.Sequence, e.StartedUnixMilli = 1, 2000
	f.run(settleTime)
	f.returnFrom(&copied)
	f.run(settleTime)
	for _, m := range f.routers {
		require.Equal(t, int64(2000), m.world.DirectEndpoints.Get("m1").StartedUnixMilli)
	}
}

// Guards against endpoints that are out of use until they have written again, because they
// registered after the copy was made, where no call failed while the store was away.
func TestEndpointThatCopyLacksStaysInUse(t *testing.T) {
	for _, routers := range []int{1, 4, 29} {
		f := newFleetWithEras(routers, 3)
		copied := f.clone()
		f.revision++
		f.endpoints = f.revision
		f.live = append(f.live, event.EndpointEntry{ID: "new", Service: "model", Address: "10.0.0.9:80", Domain: "d0", Slots: 4, Sequence: 1, StartedUnixMilli: 9})
		f.run(settleTime)
		require.Equal(t, routers, f.using("new"))
		f.storeState = copied.clone()
		f.era++
		for range int(1200 * time.Millisecond / fleetStep) {
			f.run(fleetStep)
			require.Equal(t, routers, f.using("new"))
		}
		f.revision++
		f.endpoints = f.revision
		f.live = append(f.live, event.EndpointEntry{ID: "new", Service: "model", Address: "10.0.0.9:80", Domain: "d0", Slots: 4, Sequence: 3, StartedUnixMilli: 9})
		for range int(settleTime / fleetStep) {
			f.run(fleetStep)
			require.Equal(t, routers, f.using("new"))
		}
	}
}

// Guards against requests to an evacuated failure domain after the store returned from a copy
// that does not have the evacuation, until the operator has written it again, and against an
// evacuation that does not end if the operator does not write it again.
func TestEvacuationThatCopyLacksStaysInForce(t *testing.T) {
	for _, routers := range []int{3, 24} {
		for _, again := range []bool{false, true} {
			f := startFleet(routers, 3, &fleet{era: 1, evacuationBound: evacuationBound})
			copied := f.clone()
			f.evacuate("d1", true)
			f.run(2 * evacuationBound)
			f.returnFrom(&copied)
			for range 4 * int(time.Second/fleetStep) {
				f.run(fleetStep)
				require.Empty(t, f.sendingTo("d1"), "%d routers", routers)
			}
			if again {
				f.evacuate("d1", true)
			}
			f.run(30 * time.Second)
			if again {
				require.Empty(t, f.sendingTo("d1"), "%d routers", routers)
				f.evacuate("d1", false)
				f.run(2 * evacuationBound)
			}
			require.Len(t, f.sendingTo("d1"), routers)
		}
	}
}

// Guards against requests to an evacuated failure domain from a router that started after the
// store had returned from a copy without the evacuation.
func TestStartedRouterLearnsEvacuationThatStoreLost(t *testing.T) {
	for _, routers := range []int{4, 24} {
		f := startFleet(routers, 3, &fleet{era: 1, evacuationBound: evacuationBound})
		copied := f.clone()
		f.evacuate("d1", true)
		f.run(2 * evacuationBound)
		f.returnFrom(&copied)
		f.run(time.Second)
		f.start(f.routers[1])
		f.run(evacuationBound)
		require.Empty(t, f.sendingTo("d1"), "%d routers", routers)
		f.evacuate("d1", true)
		f.run(30 * time.Second)
		require.Empty(t, f.sendingTo("d1"), "%d routers", routers)
		f.evacuate("d1", false)
		f.run(2 * evacuationBound)
		require.Len(t, f.sendingTo("d1"), routers)
	}
}
