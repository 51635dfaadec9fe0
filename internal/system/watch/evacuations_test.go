package watch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/eligibility"
	evacuationsystem "laburnumroad.dev/laburnumroad/internal/system/evacuation"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// evacuationBound is the time within which the deployments want an evacuation in force.
const evacuationBound = 5 * time.Second

// evacuationChanges returns what a call since a revision returns, or a list if that is 0.
func (f *fleet) evacuationChanges(since uint64) event.EvacuationChanges {
	changes := event.EvacuationChanges{InEra: f.inEra(), Full: since == 0, Since: since, Covered: f.revision}
	for _, e := range f.evacuations {
		if e.removed == 0 && e.begun > since {
			changes.Present, changes.LastChange = append(changes.Present, e.domain), max(changes.LastChange, e.begun)
		}
		if e.removed > since && since > 0 && !f.isEvacuated(e.domain) {
			changes.Removed, changes.LastChange = append(changes.Removed, e.domain), max(changes.LastChange, e.removed)
		}
	}
	return changes
}

func (f *fleet) isEvacuated(domain string) bool {
	return slices.ContainsFunc(f.evacuations, func(e evacuation) bool { return e.domain == domain && e.removed == 0 })
}

// evacuate creates or removes the entry of a failure domain.
func (f *fleet) evacuate(domain string, wanted bool) {
	if f.isEvacuated(domain) == wanted {
		return
	}
	f.revision++
	if wanted {
		f.evacuations = append(f.evacuations, evacuation{domain: domain, begun: f.revision, at: f.now})
		return
	}
	i := slices.IndexFunc(f.evacuations, func(e evacuation) bool { return e.domain == domain && e.removed == 0 })
	f.evacuations[i].removed = f.revision
}

// sendsTo reports whether a router places requests in a failure domain, or sends attempts
// there that are on their way.
func (m *member) sendsTo(domain string) bool {
	found := false
	m.world.DirectEndpoints.Each(func(id table.EndpointID, e *table.DirectEndpoint) {
		found = found || e.Domain == domain && (eligibility.Check(m.world, nil, e).Allowed() || !m.withdrawn[id] && !e.Leaving)
	})
	return found && evacuationsystem.Known(m.world)
}

// sendingTo returns the routers that send to a failure domain.
func (f *fleet) sendingTo(domain string) []table.ProcessID {
	var found []table.ProcessID
	for _, m := range f.routers {
		if m.sendsTo(domain) {
			found = append(found, m.process.Process)
		}
	}
	return found
}

// Guards against requests to an evacuated failure domain by routers that the store turns
// away, and against an evacuation that outlasts its entry there.
func TestEvacuationReachesRoutersThatStoreTurnsAway(t *testing.T) {
	for _, routers := range []int{4, 24, 103} {
		f := newFleetThatEvacuates(routers, 3, evacuationBound)
		f.turnAway(f.routers[:routers/3]...)
		require.Len(t, f.sendingTo("d1"), routers)
		f.evacuate("d1", true)
		f.run(evacuationBound)
		require.Empty(t, f.sendingTo("d1"), "%d routers", routers)
		require.Len(t, f.sendingTo("d2"), routers)
		f.evacuate("d1", false)
		f.run(evacuationBound)
		require.Len(t, f.sendingTo("d1"), routers)
	}
}

// Guards against an evacuation that waits for the periodic reports, which large fleets send
// seldom.
func TestEvacuationIsReportedAtOnce(t *testing.T) {
	f := newFleetThatEvacuates(103, 3, evacuationBound)
	f.evacuate("d1", true)
	f.run(700 * time.Millisecond)
	require.Empty(t, f.sendingTo("d1"))
}

// Guards against an evacuation that ends while the store is down, or when it has dropped
// its history.
func TestEvacuationOutlastsOutageAndCompaction(t *testing.T) {
	for _, routers := range []int{4, 24, 103} {
		f := newFleetThatEvacuates(routers, 3, evacuationBound)
		f.evacuate("d1", true)
		f.run(evacuationBound)
		for _, fault := range []func(on bool){
			func(on bool) { f.silent = on },
			func(on bool) {
				for _, m := range f.routers {
					m.turnedAway = on
				}
			},
			func(bool) {
				f.revision += 10
				f.compacted = f.revision
			},
		} {
			fault(true)
			f.runChecked(t, 2*settleTime)
			fault(false)
			f.runChecked(t, settleTime)
			require.Empty(t, f.sendingTo("d1"), "%d routers", routers)
		}
	}
}

// Guards against requests to an evacuated failure domain by a router that has just started,
// and against one that takes the word of a router for the newest which the store turns away.
func TestStartedRouterWaitsForEvacuations(t *testing.T) {
	for _, routers := range []int{4, 24, 103} {
		f := newFleetThatEvacuates(routers, 3, evacuationBound)
		m := f.routers[1]
		f.evacuate("d1", true)
		f.run(evacuationBound)
		f.turnAway(m)
		f.start(m)
		f.runChecked(t, settleTime+changeBound(routers))
		require.True(t, evacuationsystem.Known(m.world))
		require.Zero(t, m.world.Counters.Get("evacuation.assumed"))
		require.False(t, m.sendsTo("d1"), "%d routers", routers)
		require.True(t, m.sendsTo("d2"))
	}
}

// Guards against a router that never serves, because neither the store nor a router that
// the store answers tells it which failure domains are evacuated, and against one that
// sends meanwhile to those that it has heard of.
func TestStartedRouterServesAtLastWithoutStore(t *testing.T) {
	f := newFleetThatEvacuates(4, 3, evacuationBound)
	f.evacuate("d1", true)
	f.run(evacuationBound)
	f.turnAway(f.routers...)
	m := f.routers[1]
	f.start(m)
	f.run(evacuationBound - time.Second)
	require.False(t, evacuationsystem.Known(m.world))
	f.run(2 * time.Second)
	require.True(t, evacuationsystem.Known(m.world))
	require.NotNil(t, m.world.Evacuations.Get("d1"))
}

// Guards against more calls to the store than the configuration costs.
func TestOnlyDelegatesFollowEvacuations(t *testing.T) {
	for _, routers := range []int{24, 103} {
		f := newFleetThatEvacuates(routers, 3, evacuationBound)
		calls := make(map[table.WatchKind]int)
		f.onCall = func(kind table.WatchKind) { calls[kind]++ }
		for range 60 {
			f.revision++ // an endpoint's entry
			f.run(time.Second)
		}
		require.LessOrEqual(t, calls[table.WatchEvacuations], calls[table.WatchConfig], "%d routers", routers)
	}
}

// Guards against an evacuation that is not known where delegates are of a release that does
// not follow evacuations.
func TestEvacuationIsLearnedWithoutReportsOfIt(t *testing.T) {
	f := newFleetThatEvacuates(24, 3, evacuationBound)
	for _, m := range f.routers[1:] {
		m.world.Params.Front.EvacuationBound = 0
	}
	f.run(2 * evacuationBound)
	f.evacuate("d1", true)
	f.run(2 * evacuationBound)
	require.False(t, f.routers[0].sendsTo("d1"))
}

// runChecked advances the clock and fails if an evacuation ends at a process that knew it
// while its entry exists.
func (f *fleet) runChecked(t require.TestingT, d time.Duration) {
	type key struct {
		world  *world.World
		domain string
		begun  uint64
	}
	known := make(map[key]bool)
	for end := f.now.Add(d); f.now < end; {
		f.run(fleetStep)
		for _, e := range f.evacuations {
			for _, m := range f.routers {
				k := key{m.world, e.domain, e.begun}
				knows := m.world.Evacuations.Get(e.domain) != nil
				require.False(t, e.removed == 0 && known[k] && !knows, "%s ended the evacuation of %s", m.process.Process, e.domain)
				known[k] = knows && m.world.Watches.Get(table.WatchEvacuations).Covered >= e.begun
			}
		}
	}
}

// Guards against any order of outages, cuts, restarts and losses of history in which a
// router that the store or a router with the store reaches sends to an evacuated failure
// domain after the bound, or in which an evacuation ends before its entry or after it.
func TestNoRouterInTouchSendsToEvacuatedDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.SampledFrom([]int{4, 4, 4, 24, 24, 103}).Draw(t, "routers")
		playEvacuations(t, newFleetThatEvacuates(routers, 3, evacuationBound))
	})
}

func playEvacuations(t *rapid.T, f *fleet) {
	domains := []string{"d0", "d1", "d2", "unknown"}
	inTouch := make(map[*member]table.Instant)
	for range rapid.IntRange(1, 12).Draw(t, "steps") {
		m := f.routers[rapid.IntRange(0, len(f.routers)-1).Draw(t, "router")]
		switch rapid.IntRange(0, 7).Draw(t, "step") {
		case 0:
			m.turnedAway = !m.turnedAway
		case 1:
			turnedAway := rapid.Bool().Draw(t, "turned away")
			for _, m := range f.routers[:len(f.routers)/3] {
				m.turnedAway = turnedAway
			}
		case 2:
			m.cut = !m.cut
			f.disconnect(m)
		case 3:
			f.start(m)
			delete(inTouch, m)
		case 4:
			f.silent = !f.silent
		case 5:
			f.compacted = f.revision
		default:
			domain := rapid.SampledFrom(domains).Draw(t, "domain")
			f.evacuate(domain, !f.isEvacuated(domain))
		}
		for range rapid.IntRange(0, 100).Draw(t, "wait") {
			f.runChecked(t, 5*fleetStep)
			f.updateInTouch(inTouch)
			f.requireNothingSent(t, inTouch)
		}
	}
	f.silent = false
	for _, m := range f.routers {
		m.cut, m.turnedAway = false, false
	}
	for _, domain := range domains {
		f.evacuate(domain, false)
	}
	f.run(settleTime + evacuationBound)
	for _, domain := range domains[:3] {
		require.Len(t, f.sendingTo(domain), len(f.routers))
	}
}

// updateInTouch records since when each router reaches the store, or a router that does.
func (f *fleet) updateInTouch(since map[*member]table.Instant) {
	served := slices.ContainsFunc(f.routers, func(m *member) bool { return !m.cut && !m.turnedAway })
	for _, m := range f.routers {
		if f.silent || m.turnedAway && (m.cut || !served) {
			delete(since, m)
		} else if since[m] == 0 {
			since[m] = f.now
		}
	}
}

func (f *fleet) requireNothingSent(t *rapid.T, inTouch map[*member]table.Instant) {
	for _, e := range f.evacuations {
		for m, since := range inTouch {
			due := f.now >= max(e.at.Add(evacuationBound), since.Add(recoveryBound(len(f.routers))))
			require.False(t, e.removed == 0 && due && m.sendsTo(e.domain), "%s sends to %s", m.process.Process, e.domain)
		}
	}
}
