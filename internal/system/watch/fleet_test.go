package watch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/catalog"
	"laburnumroad.dev/laburnumroad/internal/system/era"
	evacuationsystem "laburnumroad.dev/laburnumroad/internal/system/evacuation"
	"laburnumroad.dev/laburnumroad/internal/system/peers"
	"laburnumroad.dev/laburnumroad/internal/system/watch"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	fleetStep = 10 * time.Millisecond
	// answerTime is the duration of a call that need not wait.
	answerTime = 10 * time.Millisecond
	// callTimeout is how long a call without an answer lasts beyond its wait.
	callTimeout = 1500 * time.Millisecond
	// settleTime is how long sessions and reports take after a cut has healed.
	settleTime = 5 * time.Second
)

// fleet simulates routers that follow the store's objects. The store turns some of them
// away, and sessions between routers end.
type fleet struct {
	now      table.Instant
	routers  []*member
	sessions uint64
	storeState
	// era is the store's, or 0 if it names none.
	era uint64
	// evacuationBound is 0 in a deployment that evacuates no failure domains.
	evacuationBound time.Duration
	// compacted is the revision up to which the store has dropped its history.
	compacted uint64
	// onCall, if set, is told of each call to the store.
	onCall func(table.WatchKind)
	// cutAfter is after what time the store cuts off a call that waits, or 0.
	cutAfter time.Duration
	// entryInterval is how often endpoints write their entries, or 0 if routers don't know it.
	entryInterval time.Duration
	// silent is true while the store answers nothing. Calls that are open then stay
	// without an answer.
	silent bool
}

// storeState is what the store keeps, and what a copy of it holds.
type storeState struct {
	// revision is the store's; config and endpoints are those of the last changes.
	revision, config, endpoints uint64
	version                     uint64
	// live are the entries in the list of endpoints.
	live        []event.EndpointEntry
	gone        []removal
	evacuations []evacuation
}

func (s *storeState) clone() storeState {
	c := *s
	c.live, c.gone, c.evacuations = slices.Clone(s.live), slices.Clone(s.gone), slices.Clone(s.evacuations)
	return c
}

type removal struct {
	id       table.EndpointID
	revision uint64
}

// evacuation is an entry of the operator. removed is the revision of its removal, or 0.
type evacuation struct {
	domain         string
	begun, removed uint64
	at             table.Instant
}

type member struct {
	process  table.Process
	world    *world.World
	inbox    []event.Event
	calls    []openCall
	sessions map[table.ProcessID]uint64
	// turnedAway routers get errors from the store, cut ones have no sessions.
	turnedAway, cut bool
	// withdrawn are the endpoints to which the router may not send attempts on their way.
	withdrawn map[table.EndpointID]bool
}

type openCall struct {
	command.WatchObjects
	sentAt table.Instant
	lost   bool
}

// changeBound returns the time within which the deployments of a size want changes to be
// in force.
func changeBound(routers int) time.Duration {
	if routers > 60 {
		return 4 * time.Second
	}
	return 2 * time.Second
}

// recoveryBound returns the time after an outage within which the deployments of a size
// want changes to be in force again.
func recoveryBound(routers int) time.Duration { return time.Second + changeBound(routers) }

func newFleet(routers, domains int) *fleet { return newFleetThatEvacuates(routers, domains, 0) }

func newFleetThatEvacuates(routers, domains int, evacuationBound time.Duration) *fleet {
	return startFleet(routers, domains, &fleet{evacuationBound: evacuationBound})
}

// newFleetWithEras simulates a store that names its era.
func newFleetWithEras(routers, domains int) *fleet {
	return startFleet(routers, domains, &fleet{era: 1})
}

func startFleet(routers, domains int, f *fleet) *fleet {
	f.now, f.revision, f.endpoints = table.Instant(time.Second), 10, 10
	f.configure()
	for i := range 5 {
		f.live = append(f.live, event.EndpointEntry{ID: table.EndpointID(fmt.Sprintf("m%d", i)), Service: "model", Address: "10.0.0.1:80", Domain: fmt.Sprintf("d%d", i%3), Slots: 4})
	}
	for i := range routers {
		f.routers = append(f.routers, &member{process: table.Process{
			Holder: table.Holder{Process: table.ProcessID(fmt.Sprintf("edge-%03d", i)), Incarnation: 1}, Domain: fmt.Sprintf("d%d", i%domains), Cores: 0.8,
		}})
	}
	for _, m := range f.routers {
		f.start(m)
	}
	f.run(settleTime)
	return f
}

// start begins a new process of a router.
func (f *fleet) start(m *member) {
	f.disconnect(m)
	m.process.Incarnation++
	m.inbox, m.calls, m.sessions, m.withdrawn = nil, nil, make(map[table.ProcessID]uint64), make(map[table.EndpointID]bool)
	m.world = world.New(world.Params{Self: m.process, Front: world.FrontParams{
		PeerAddress: string(m.process.Process), ChangeBound: changeBound(len(f.routers)), RecoveryBound: recoveryBound(len(f.routers)),
		EvacuationBound: f.evacuationBound, EntryInterval: f.entryInterval,
	}}, uint64(m.process.Incarnation))
	for _, other := range f.routers {
		f.register(other, m)
		f.register(m, other)
	}
}

// register records a router in the copy of the limit ledger of another.
func (f *fleet) register(at, m *member) {
	if at.world == nil {
		return
	}
	view := &at.world.LimitLedgerView
	if view.Registered == nil {
		view.Registered = make(map[table.Holder]bool)
	}
	view.Registered[m.process.Holder], view.RouterCount = true, len(f.routers)
	view.Content.Holders = slices.DeleteFunc(view.Content.Holders, func(h table.LimitHolder) bool { return h.Process == m.process.Process })
	view.Content.Holders = append(view.Content.Holders, table.LimitHolder{Holder: m.process.Holder, Address: string(m.process.Process)})
	at.world.FleetGeneration++
}

// configure accepts a new configuration at the store.
func (f *fleet) configure() {
	f.revision++
	f.version++
	f.config = f.revision
}

// remove deletes the entry of an endpoint.
func (f *fleet) remove(id table.EndpointID) {
	f.revision++
	f.endpoints = f.revision
	f.live = slices.DeleteFunc(f.live, func(e event.EndpointEntry) bool { return e.ID == id })
	f.gone = append(f.gone, removal{id, f.revision})
}

// returnFrom lets the store come back from a copy of its state, in its next era. All open calls
// fail.
func (f *fleet) returnFrom(copied *storeState) {
	f.storeState = copied.clone()
	f.era++
	for _, m := range f.routers {
		for _, c := range m.calls {
			m.inbox = append(m.inbox, event.PlatformState{}, event.WatchResult{Kind: c.Kind, Call: c.Call, Status: event.WatchFailed})
		}
		m.calls = nil
	}
}

// writeAgain lets the operator write the configuration of a version that the store lost.
func (f *fleet) writeAgain(version uint64) {
	f.revision++
	f.version, f.config = version, f.revision
}

func (f *fleet) inEra() event.InEra { return event.InEra{Era: f.era} }

func (f *fleet) find(id table.ProcessID) *member {
	return f.routers[slices.IndexFunc(f.routers, func(m *member) bool { return m.process.Process == id })]
}

func (f *fleet) connect(a, b *member) {
	if a == b || a.cut || b.cut || a.sessions[b.process.Process] != 0 {
		return
	}
	for _, pair := range [][2]*member{{a, b}, {b, a}} {
		f.sessions++
		pair[0].sessions[pair[1].process.Process] = f.sessions
		pair[0].inbox = append(pair[0].inbox, event.SessionOpened{Session: f.sessions, Process: pair[1].process})
	}
}

// disconnect ends all sessions of a router.
func (f *fleet) disconnect(m *member) {
	for id, session := range m.sessions {
		other := f.find(id)
		m.inbox = append(m.inbox, event.SessionClosed{Session: session, Peer: other.process.Holder})
		other.inbox = append(other.inbox, event.SessionClosed{Session: other.sessions[m.process.Process], Peer: m.process.Holder})
		delete(other.sessions, m.process.Process)
	}
	clear(m.sessions)
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(fleetStep) {
		for _, m := range f.routers {
			f.answer(m)
			f.tick(m)
		}
	}
}

func (f *fleet) tick(m *member) {
	if len(m.inbox) == 0 && m.world.NextWake() > f.now && m.world.Now != 0 {
		return
	}
	for _, e := range m.inbox {
		e.AddTo(&m.world.In)
	}
	m.inbox = nil
	m.world.Tick(f.now, []world.System{world.SystemFunc(era.Run), world.SystemFunc(watch.Run), world.SystemFunc(catalog.Run), world.SystemFunc(evacuationsystem.Run), world.SystemFunc(peers.Run)})
	out := m.world.Out
	m.world.ClearOutbox()
	for _, c := range out.EndpointUses {
		m.withdrawn[c.Endpoint] = !c.Allowed
	}
	for _, c := range out.WatchStops {
		m.calls = slices.DeleteFunc(m.calls, func(open openCall) bool { return open.Kind == c.Kind })
	}
	for _, c := range out.WatchCalls {
		m.calls = append(m.calls, openCall{WatchObjects: c, sentAt: f.now})
		if f.onCall != nil {
			f.onCall(c.Kind)
		}
	}
	for _, c := range out.Dials {
		f.connect(m, f.find(c.Process))
	}
	f.relay(m, &out)
}

// relay delivers the messages of a tick to the routers with a session.
func (f *fleet) relay(m *member, out *command.Outbox) {
	for id := range m.sessions {
		other := f.find(id)
		for _, c := range out.ManifestRelays {
			if slices.Contains(c.To, other.process.Holder) {
				c.Manifest.Relayed, c.Manifest.From = true, m.process.Process
				other.inbox = append(other.inbox, c.Manifest)
			}
		}
		for _, c := range out.EndpointRelays {
			if slices.Contains(c.To, other.process.Holder) {
				c.Changes.Relayed = true
				other.inbox = append(other.inbox, c.Changes)
			}
		}
		for _, c := range out.RouterReports {
			c.Report.From = m.process.Holder
			other.inbox = append(other.inbox, c.Report)
		}
	}
}

// answer ends the calls of a router whose answer is due.
func (f *fleet) answer(m *member) {
	for i := range m.calls {
		m.calls[i].lost = m.calls[i].lost || f.silent
	}
	m.calls = slices.DeleteFunc(m.calls, func(c openCall) bool {
		last := f.lastChange(c.Kind)
		age := f.now.Sub(c.sentAt)
		switch {
		case c.lost && age >= c.Wait+callTimeout:
			m.inbox = append(m.inbox, event.PlatformState{DueFor: callTimeout}, event.WatchResult{Kind: c.Kind, Call: c.Call, Status: event.WatchFailed})
		case c.lost:
			return false
		case m.turnedAway && age >= answerTime:
			m.inbox = append(m.inbox, event.PlatformState{Reachable: false}, event.WatchResult{Kind: c.Kind, Call: c.Call, Status: event.WatchFailed})
		case !m.turnedAway && age >= answerTime && c.Since > 0 && (c.Since < f.compacted || c.Since > f.revision):
			m.inbox = append(m.inbox, event.PlatformState{Reachable: true}, event.WatchResult{InEra: f.inEra(), Kind: c.Kind, Call: c.Call, Status: event.WatchCompacted})
		case !m.turnedAway && age >= answerTime && (last > c.Since || age >= c.Wait):
			f.answerWithChanges(m, c, last)
		case f.cutAfter > 0 && age >= f.cutAfter:
			m.inbox = append(m.inbox, event.PlatformState{}, event.WatchResult{Kind: c.Kind, Call: c.Call, Status: event.WatchFailed})
		default:
			return false
		}
		return true
	})
}

// lastChange returns the revision of the last change of a kind of objects.
func (f *fleet) lastChange(kind table.WatchKind) uint64 {
	switch kind {
	case table.WatchConfig:
		return f.config
	case table.WatchEndpoints:
		return f.endpoints
	}
	last := uint64(1)
	for _, e := range f.evacuations {
		last = max(last, e.begun, e.removed)
	}
	return last
}

func (f *fleet) answerWithChanges(m *member, c openCall, last uint64) {
	result := event.WatchResult{InEra: f.inEra(), Kind: c.Kind, Call: c.Call, Status: event.WatchOK, Covered: f.revision}
	if last > c.Since {
		result.LastChange = last
	}
	switch {
	case result.LastChange == 0:
	case c.Kind == table.WatchConfig:
		m.inbox = append(m.inbox, event.ManifestReceived{InEra: f.inEra(), Manifest: table.Manifest{Version: f.version}, Revision: f.config})
	case c.Kind == table.WatchEvacuations:
		m.inbox = append(m.inbox, f.evacuationChanges(c.Since))
	default:
		changes := event.EndpointChanges{InEra: f.inEra(), Full: c.Since == 0, Since: c.Since, Covered: f.revision, LastChange: last, Present: f.live}
		for _, r := range f.gone {
			if r.revision > c.Since && c.Since > 0 {
				changes.Removed = append(changes.Removed, r.id)
			}
		}
		m.inbox = append(m.inbox, changes)
	}
	m.inbox = append(m.inbox, event.PlatformState{Reachable: true}, result)
}

// outdated returns the routers that lack the last configuration or use an endpoint that
// is gone.
func (f *fleet) outdated() []table.ProcessID {
	var found []table.ProcessID
	for _, m := range f.routers {
		usesGone := slices.ContainsFunc(f.gone, func(r removal) bool {
			e := m.world.DirectEndpoints.Get(r.id)
			return e != nil && !e.Leaving
		})
		if m.world.Manifest.Version != f.version || usesGone {
			found = append(found, m.process.Process)
		}
	}
	return found
}

// turnAway makes the store turn routers away, and lets them notice it.
func (f *fleet) turnAway(members ...*member) {
	for _, m := range members {
		m.turnedAway = true
	}
	f.run(settleTime)
}

func (f *fleet) inDomain(domain string) []*member {
	return slices.DeleteFunc(slices.Clone(f.routers), func(m *member) bool { return m.process.Domain != domain })
}

// Guards against routers that keep an old configuration and endpoints that left because
// the store turns all routers of their failure domain away.
func TestChangesReachDomainThatStoreTurnsAway(t *testing.T) {
	for _, routers := range []int{4, 7, 29, 103} {
		f := newFleet(routers, 3)
		f.turnAway(f.inDomain("d1")...)
		f.configure()
		f.remove("m1")
		f.run(changeBound(routers))
		require.Empty(t, f.outdated(), "%d routers", routers)
	}
}

// Guards against routers that never get what was passed on while their sessions were
// down, because the store, which they ask instead, turns them away.
func TestChangesMissedInCutAreFetchedFromRouters(t *testing.T) {
	for _, routers := range []int{4, 29, 103} {
		f := newFleet(routers, 3)
		m := f.routers[1]
		f.turnAway(m)
		m.cut = true
		f.disconnect(m)
		f.configure()
		f.remove("m1")
		f.run(settleTime)
		m.cut = false
		f.run(settleTime + changeBound(routers))
		require.Empty(t, f.outdated(), "%d routers", routers)
	}
}

// Guards against a router that serves nothing after a restart, until the store answers it.
func TestRouterStartedWhileStoreTurnsItAwayLearnsFromRouters(t *testing.T) {
	for _, routers := range []int{4, 29, 103} {
		f := newFleet(routers, 3)
		f.remove("m1")
		m := f.routers[1]
		f.turnAway(m)
		f.start(m)
		f.run(settleTime + changeBound(routers))
		require.Empty(t, f.outdated(), "%d routers", routers)
		require.Equal(t, 4, m.world.DirectEndpoints.Len(), "%d routers", routers)
	}
}

// Guards against a router that takes the state of one that knows less for the newest,
// after a restart of its own.
func TestStartedRouterTakesNoStateOfRouterWithoutStore(t *testing.T) {
	f := newFleet(4, 3)
	f.turnAway(f.routers...)
	f.configure()
	f.start(f.routers[1])
	f.run(settleTime + changeBound(4))
	require.Zero(t, f.routers[1].world.Manifest.Version)
	require.Zero(t, f.routers[1].world.DirectEndpoints.Len())
}

// Guards against a router that follows a kind of objects which only a later release knows.
func TestKindOfLaterReleaseIsIgnored(t *testing.T) {
	f := newFleet(4, 3)
	m := f.routers[0]
	m.inbox = append(m.inbox, event.RouterReport{
		From:        f.routers[1].process.Holder,
		LastChanges: map[table.WatchKind]uint64{9: 50},
		Wants:       map[table.WatchKind]event.WantedChanges{9: {From: m.process.Holder, Covered: 1}},
	})
	f.run(settleTime)
	require.NotContains(t, watch.LastChanges(m.world), table.WatchKind(9))
	require.Empty(t, watch.Wants(m.world))
}

// Guards against a list that is sent to another router with the revision of changes that
// are not applied to it yet.
func TestStateSentInTickOfChangeIncludesIt(t *testing.T) {
	f := newFleet(4, 3)
	m, asker := f.routers[0], f.routers[1]
	f.remove("m1")
	m.inbox = append(m.inbox,
		event.EndpointChanges{Since: 11, Covered: 12, LastChange: 12, Removed: []table.EndpointID{"m1"}, Relayed: true},
		event.RouterReport{From: asker.process.Holder, Wants: map[table.WatchKind]event.WantedChanges{
			table.WatchEndpoints: {From: m.process.Holder, Covered: 11},
		}})
	asker.inbox = nil
	f.tick(m)
	lists := slices.DeleteFunc(asker.inbox, func(e event.Event) bool {
		changes, ok := e.(event.EndpointChanges)
		return !ok || !changes.Full
	})
	require.Len(t, lists, 1)
	list := lists[0].(event.EndpointChanges)
	require.Equal(t, uint64(12), list.Covered)
	require.Len(t, list.Present, 4)
}

// Guards against a list that is sent to another router without the cold times of endpoints,
// with those of some time ago, or as if the sender knew that a lost endpoint is warm.
func TestStateSentCarriesColdTimes(t *testing.T) {
	f := newFleet(4, 3)
	m, asker := f.routers[0], f.routers[1]
	f.remove("m1")
	now := f.now
	m.world.ColdEndpoints.Put("m2", table.ColdEndpoint{EntryUntil: now.Add(2 * time.Second)})
	m.world.ColdEndpoints.Put("m3", table.ColdEndpoint{MarkedUntil: now.Add(time.Minute)})
	m.inbox = append(m.inbox,
		event.EndpointChanges{Since: 11, Covered: 12, LastChange: 12, Removed: []table.EndpointID{"m1"}, Relayed: true},
		event.RouterReport{From: asker.process.Holder, Wants: map[table.WatchKind]event.WantedChanges{
			table.WatchEndpoints: {From: m.process.Holder, Covered: 11},
		}})
	asker.inbox = nil
	f.tick(m)
	found := 0
	for _, e := range asker.inbox {
		changes, ok := e.(event.EndpointChanges)
		if !ok || !changes.Full {
			continue
		}
		for _, entry := range changes.Present {
			found++
			require.Equal(t, entry.ID != "m3", entry.ColdKnown, entry.ID)
			if entry.ID == "m2" {
				require.Equal(t, now.Add(2*time.Second).Sub(m.world.Now), entry.ColdLeft)
			} else {
				require.Zero(t, entry.ColdLeft, entry.ID)
			}
		}
	}
	require.Equal(t, 4, found)
}

// removeAfterOutageOf deletes the entry of an endpoint right after an outage of a router
// alone, and lets that router see it.
func (f *fleet) removeAfterOutageOf(t *testing.T, m *member, id table.EndpointID) {
	m.turnedAway = true
	f.run(fleetStep)
	m.turnedAway, m.cut = false, true
	f.disconnect(m)
	f.remove(id)
	f.run(4 * fleetStep)
	require.NotZero(t, m.world.DirectEndpoints.Get(id).RemovedAt)
	m.cut = false
}

// Guards against an endpoint that left and stays in use while the store turns a router
// away, because the router saw the removal right after an earlier outage of its own.
func TestRemovalBetweenTwoOutagesTakesEffect(t *testing.T) {
	f := newFleet(4, 1)
	m := f.routers[2]
	f.removeAfterOutageOf(t, m, "m0")
	m.turnedAway = true
	f.run(2*settleTime + changeBound(4))
	require.Empty(t, f.outdated())
}

// Guards against an endpoint that left and stays in use for as long as the store turns a
// router away, because the store was silent for all routers for a part of that time.
func TestSilenceWithinOutageOfOneRouterDoesNotKeepRemovedEndpoint(t *testing.T) {
	f := newFleet(4, 1)
	m := f.routers[2]
	f.removeAfterOutageOf(t, m, "m0")
	m.turnedAway = true
	f.run(settleTime / 10)
	f.silent = true
	f.run(settleTime)
	f.silent = false
	f.run(2*settleTime + changeBound(4))
	require.Empty(t, f.outdated())
}

// Guards against any order of outages, cuts and restarts after which a router that
// reaches others lacks what they know, and against a configuration or an endpoint that
// comes back.
func TestFleetKnowsLastChangesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.SampledFrom([]int{4, 7, 12}).Draw(t, "routers")
		f := newFleet(routers, rapid.IntRange(1, 4).Draw(t, "domains"))
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			m := f.routers[rapid.IntRange(0, routers-1).Draw(t, "router")]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				m.turnedAway = !m.turnedAway
			case 1:
				m.cut = !m.cut
				f.disconnect(m)
			case 2:
				f.disconnect(m)
			case 3:
				f.start(m)
			case 4:
				f.configure()
			case 5:
				if len(f.live) > 1 {
					f.remove(f.live[0].ID)
				}
			case 6:
				f.silent = !f.silent
			}
			f.runWithoutReturn(t, time.Duration(rapid.IntRange(0, 300).Draw(t, "wait"))*fleetStep)
		}
		for _, m := range f.routers {
			m.cut = false
		}
		f.routers[0].turnedAway, f.silent = false, false
		f.runWithoutReturn(t, 2*settleTime+changeBound(routers))
		require.Empty(t, f.outdated())
	})
}

// runWithoutReturn advances the clock and fails if a process goes back to an older
// configuration, or uses an endpoint again that it knew to be gone.
func (f *fleet) runWithoutReturn(t *rapid.T, d time.Duration) {
	type known struct {
		world   *world.World
		version uint64
		gone    map[table.EndpointID]bool
	}
	before := make([]known, len(f.routers))
	for end := f.now.Add(d); f.now < end; {
		f.run(fleetStep)
		for i, m := range f.routers {
			k := &before[i]
			if k.world != m.world {
				*k = known{world: m.world, gone: make(map[table.EndpointID]bool)}
			}
			require.GreaterOrEqual(t, m.world.Manifest.Version, k.version)
			k.version = m.world.Manifest.Version
			for _, r := range f.gone {
				e := m.world.DirectEndpoints.Get(r.id)
				unusable := e == nil || e.Leaving
				require.False(t, k.gone[r.id] && !unusable, "%s uses %s again", m.process.Process, r.id)
				k.gone[r.id] = unusable && m.world.DirectEndpoints.Len() > 0
			}
		}
	}
}

// silence lets the store answer nothing for a time, a while after a change that makes the
// calls of all delegates begin together.
func (f *fleet) silence(changedBefore, d time.Duration) {
	f.configure()
	f.remove(f.live[0].ID)
	f.run(changedBefore)
	f.silent = true
	f.run(d)
	f.silent = false
}

// silences calls play with silences of different lengths that begin while calls to the
// store begin, wait, or end.
func silences(t *testing.T, play func(f *fleet, routers int, changedBefore, d time.Duration)) {
	for _, routers := range []int{1, 3, 4, 12, 103} {
		step := 400 * time.Millisecond
		if routers > 60 {
			step = 1300 * time.Millisecond
		}
		for changedBefore := 20 * time.Millisecond; changedBefore < 1200*time.Millisecond; changedBefore += step {
			for d := 100 * time.Millisecond; d < 5*time.Second; d += step {
				play(newFleet(routers, 6), routers, changedBefore, d)
			}
		}
	}
}

// Guards against a change right after a silent outage of the store that is not in force
// in time, because the calls which follow the store were lost in the outage.
func TestChangeAfterSilenceIsInForceWithinRecoveryBound(t *testing.T) {
	silences(t, func(f *fleet, routers int, changedBefore, d time.Duration) {
		f.silence(changedBefore, d)
		f.run(2 * fleetStep)
		f.configure()
		f.run(recoveryBound(routers) - 2*fleetStep)
		for _, m := range f.routers {
			require.Equal(t, f.version, m.world.Manifest.Version, "%d routers, change %s before %s of silence", routers, changedBefore, d)
		}
	})
}

// Guards against an endpoint that left well after a silent outage of the store and stays in
// use as if its entry had lapsed in it, because the outage is known late.
func TestRemovalAfterSilenceTakesEffectInTime(t *testing.T) {
	silences(t, func(f *fleet, routers int, changedBefore, d time.Duration) {
		f.silence(changedBefore, d)
		f.run(recoveryBound(routers) + 2*fleetStep)
		f.remove(f.live[0].ID)
		f.run(changeBound(routers))
		require.Empty(t, f.outdated(), "%d routers, change %s before %s of silence", routers, changedBefore, d)
	})
}

// Guards against endpoints that left and stay in use while the store cuts off calls that wait,
// because each cut counts as an outage in which their entries may have lapsed.
func TestRemovalBesideCallsThatAreCutOffTakesEffect(t *testing.T) {
	for _, routers := range []int{1, 3, 12, 29} {
		for _, cutAfter := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second} {
			f := startFleet(routers, 3, &fleet{entryInterval: 1200 * time.Millisecond})
			f.cutAfter = cutAfter
			f.run(settleTime)
			f.remove("m1")
			f.run(changeBound(routers))
			require.Empty(t, f.outdated(), "%d routers, cut after %s", routers, cutAfter)
		}
	}
}

// Guards against endpoints that are taken for gone because their entries lapsed in an outage
// of the store that was long enough for it.
func TestEntriesThatLapsedInOutageStayInUse(t *testing.T) {
	for _, routers := range []int{1, 3, 12, 29} {
		f := startFleet(routers, 3, &fleet{entryInterval: 1200 * time.Millisecond})
		f.silent = true
		f.run(4 * time.Second)
		f.remove("m1")
		f.silent = false
		f.run(time.Second)
		require.Equal(t, routers, f.using("m1"), "%d routers", routers)
	}
}

// Guards against any series of outages, of the store or of some routers alone, after which
// a change is not in force in time.
func TestChangeAfterOutagesIsInForceWithinRecoveryBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.SampledFrom([]int{1, 3, 4, 7, 12}).Draw(t, "routers")
		f := newFleet(routers, rapid.IntRange(1, 6).Draw(t, "domains"))
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				f.silent = !f.silent
			case 1:
				m := f.routers[rapid.IntRange(0, routers-1).Draw(t, "router")]
				m.turnedAway = !m.turnedAway
			case 2:
				f.configure()
			case 3:
				if len(f.live) > 1 {
					f.remove(f.live[0].ID)
				}
			}
			f.run(time.Duration(rapid.IntRange(0, 200).Draw(t, "wait")) * fleetStep)
		}
		f.silent = false
		for _, m := range f.routers {
			m.turnedAway = false
		}
		f.configure()
		f.run(recoveryBound(routers))
		for _, m := range f.routers {
			require.Equal(t, f.version, m.world.Manifest.Version)
		}
		f.remove(f.live[0].ID)
		f.run(changeBound(routers))
		require.Empty(t, f.outdated())
	})
}

// Guards against an endpoint that left just before a silence of the store, which the routers
// learn after it only, and that stays in use beyond the time within which entries that lapsed
// are listed again and the store counts as stable.
func TestRemovalJustBeforeSilenceTakesEffectWhenStoreIsStable(t *testing.T) {
	const stableTime = 3 * time.Second
	for _, routers := range []int{1, 3, 12} {
		for d := 7500 * time.Millisecond; d < 8500*time.Millisecond; d += 70 * time.Millisecond {
			f := startFleet(routers, 3, &fleet{entryInterval: 1200 * time.Millisecond})
			f.configure()
			f.entry("m2").Slots = 5
			f.run(50 * time.Millisecond)
			f.remove("m1")
			f.run(200 * time.Millisecond)
			f.silent = true
			f.run(d)
			f.silent = false
			f.run(stableTime)
			require.Empty(t, f.outdated(), "%d routers, silent for %s", routers, d)
		}
	}
}
