package watch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/watch"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// harness runs the system of one router that is connected with the rest of a fleet.
type harness struct {
	world *world.World
	now   table.Instant
	// calls are the calls of the last tick.
	calls []command.WatchObjects
	out   command.Outbox
}

// newHarness returns a router in a fleet of the given size, in six failure domains.
// The host of the router has the given processor share, those of the others 0.8.
func newHarness(routers int, cores float64) *harness {
	self := table.Process{Holder: table.Holder{Process: "edge-000", Incarnation: 1}, Domain: "d0", Cores: cores}
	h := &harness{world: world.New(world.Params{Self: self}, 1), now: table.Instant(time.Second)}
	h.world.PlatformReachable = true
	h.world.LimitLedgerView.Registered = map[table.Holder]bool{self.Holder: true}
	for i := 1; i < routers; i++ {
		id := table.ProcessID(fmt.Sprintf("edge-%03d", i))
		peer := table.RouterPeer{Holder: table.Holder{Process: id, Incarnation: 1}, Domain: fmt.Sprintf("d%d", i%6), Cores: 0.8, Connected: true}
		h.world.RouterPeers.Put(id, peer)
		h.world.LimitLedgerView.Registered[peer.Holder] = true
	}
	h.world.FleetGeneration++
	return h
}

func (h *harness) tick(events ...event.Event) {
	for _, e := range events {
		e.AddTo(&h.world.In)
	}
	// The inbox is read in the same tick by the systems that follow.
	h.world.Tick(h.now, []world.System{world.SystemFunc(watch.Run), world.SystemFunc(func(w *world.World) { h.out.EndpointRelays = w.Out.EndpointRelays })})
	h.calls = append([]command.WatchObjects(nil), h.world.Out.WatchCalls...)
	h.out.WatchStops = h.world.Out.WatchStops
	h.world.ClearOutbox()
}

// list answers the first calls of the router with the state at a revision.
func (h *harness) list(revision uint64) {
	h.tick()
	events := []event.Event{event.EndpointChanges{Full: true, Covered: revision}}
	for _, c := range h.calls {
		events = append(events, event.WatchResult{Kind: c.Kind, Call: c.Call, Status: event.WatchOK, Covered: revision, LastChange: revision})
	}
	h.tick(events...)
}

func (h *harness) callsFor(d time.Duration, kind table.WatchKind) int {
	count := 0
	for end := h.now.Add(d); h.now < end; h.now = h.now.Add(10 * time.Millisecond) {
		h.tick()
		for _, c := range h.calls {
			if c.Kind == kind {
				count++
			}
		}
		h.answerWaiting()
	}
	return count
}

// answerWaiting answers the calls whose wait is over.
func (h *harness) answerWaiting() {
	h.world.Watches.Each(func(kind table.WatchKind, row *table.Watch) {
		if row.Call != 0 && h.now.Sub(row.CallSentAt) >= row.CallWait {
			event.WatchResult{Kind: kind, Call: row.Call, Status: event.WatchOK, Covered: row.Covered + 1}.AddTo(&h.world.In)
		}
	})
}

func (h *harness) accepted(e event.EndpointChanges) bool {
	covered := h.world.Watches.Get(table.WatchEndpoints).Covered
	h.tick(e)
	return h.world.Watches.Get(table.WatchEndpoints).Covered > covered
}

// Guards against calls to the store that grow with the number of routers: a router
// that is no delegate gets changes from others.
func TestFollowerMakesFewCalls(t *testing.T) {
	h := newHarness(103, 0.1)
	h.list(10)
	require.LessOrEqual(t, h.callsFor(50*time.Second, table.WatchEndpoints), 3)
	require.LessOrEqual(t, h.callsFor(50*time.Second, table.WatchConfig), 3)
}

// Guards against a fleet in which no router follows the list of endpoints.
func TestDelegateFollowsEndpoints(t *testing.T) {
	for _, routers := range []int{1, 2, 4} {
		h := newHarness(routers, 0.8)
		h.list(10)
		require.GreaterOrEqual(t, h.callsFor(10*time.Second, table.WatchEndpoints), 3, "%d routers", routers)
	}
}

// Guards against an endpoint that left and is used again, because changes arrive late
// or again from another router.
func TestOldChangesAreNotAppliedAgain(t *testing.T) {
	h := newHarness(103, 0.1)
	h.list(10)
	require.True(t, h.accepted(event.EndpointChanges{Since: 8, Covered: 14, Relayed: true}))
	require.False(t, h.accepted(event.EndpointChanges{Since: 8, Covered: 12, Relayed: true}))
	require.False(t, h.accepted(event.EndpointChanges{Since: 8, Covered: 14, Relayed: true}))
	require.False(t, h.accepted(event.EndpointChanges{Full: true, Covered: 13}))
}

// Guards against a removal that is missed because the changes between two messages
// were lost.
func TestGapInChangesIsFilledFromStore(t *testing.T) {
	h := newHarness(103, 0.1)
	h.list(10)
	require.False(t, h.accepted(event.EndpointChanges{Since: 12, Covered: 14, Relayed: true}))
	h.now = h.now.Add(time.Second)
	h.tick()
	i := slices.IndexFunc(h.calls, func(c command.WatchObjects) bool { return c.Kind == table.WatchEndpoints })
	require.GreaterOrEqual(t, i, 0)
	require.Equal(t, uint64(10), h.calls[i].Since)
}

// Guards against a router that applies nothing for the length of a wait because its
// connection to the store went silent.
func TestStalledCallIsReplacedWhenPeerKnowsLaterChange(t *testing.T) {
	// With a delegate in each of six domains, a call waits 3.75 s.
	h := newHarness(6, 0.8)
	h.world.Params.Front.RecoveryBound = 10 * time.Second
	h.list(10)
	h.now = h.now.Add(time.Second)
	h.tick()
	open := h.world.Watches.Get(table.WatchConfig).Call
	require.NotZero(t, open)
	h.now = h.now.Add(3 * time.Second)
	h.tick(event.RouterReport{LastChanges: map[table.WatchKind]uint64{table.WatchConfig: 11}})
	require.Empty(t, h.out.WatchStops)
	h.now = h.now.Add(500 * time.Millisecond)
	h.tick()
	require.Equal(t, []command.StopWatch{{Kind: table.WatchConfig}}, h.out.WatchStops)
	require.NotEqual(t, open, h.world.Watches.Get(table.WatchConfig).Call)
}

// Guards against a router that is no delegate any more and does not replace its last waiting
// call, or stops it again in each tick.
func TestOverdueCallOfFormerDelegateIsReplacedOnce(t *testing.T) {
	h := newHarness(4, 0.8)
	h.list(10)
	h.now = h.now.Add(time.Second)
	h.tick()
	require.NotZero(t, h.world.Watches.Get(table.WatchConfig).Call)
	for i := range 40 {
		id := table.ProcessID(fmt.Sprintf("edge-new-%d", i))
		peer := table.RouterPeer{Holder: table.Holder{Process: id, Incarnation: 1}, Domain: fmt.Sprintf("n%d", i), Cores: 0.8, Connected: true}
		h.world.RouterPeers.Put(id, peer)
		h.world.LimitLedgerView.Registered[peer.Holder] = true
	}
	h.world.Params.Self.Cores = 0.1
	h.world.RouterPeers.Put("edge-same", table.RouterPeer{Holder: table.Holder{Process: "edge-same", Incarnation: 1}, Domain: "d0", Cores: 0.8, Connected: true})
	h.world.LimitLedgerView.Registered[table.Holder{Process: "edge-same", Incarnation: 1}] = true
	h.world.FleetGeneration++
	stops, polls := 0, 0
	for range 40 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.tick()
		for _, c := range h.out.WatchStops {
			if c.Kind == table.WatchConfig {
				stops++
			}
		}
		for _, c := range h.calls {
			if c.Kind == table.WatchConfig {
				polls++
				require.Equal(t, time.Millisecond, c.Wait)
			}
		}
	}
	require.Equal(t, 1, stops)
	require.Equal(t, 1, polls)
}

// Guards against changes that only the delegates know.
func TestDelegatePassesChangesToItsDomain(t *testing.T) {
	h := newHarness(4, 0.8)
	for i := range 20 {
		id := table.ProcessID(fmt.Sprintf("small-%d", i))
		peer := table.RouterPeer{Holder: table.Holder{Process: id, Incarnation: 1}, Domain: "d0", Cores: 0.1, Connected: true}
		h.world.RouterPeers.Put(id, peer)
		h.world.LimitLedgerView.Registered[peer.Holder] = true
	}
	h.world.FleetGeneration++
	h.list(10)
	h.tick(event.EndpointChanges{Since: 10, Covered: 12})
	require.Len(t, h.out.EndpointRelays, 1)
	require.Len(t, h.out.EndpointRelays[0].To, 23)
	h.tick(event.EndpointChanges{Since: 12, Covered: 14, Relayed: true})
	require.Len(t, h.out.EndpointRelays[0].To, 20, "a relayed change goes to the routers of the domain only")
}

// Guards against an endpoint that left and goes on getting requests from the routers of
// a failure domain whose delegate the store answers all the time: another delegate had
// been out of the store's reach alone.
func TestDelegatePassesRemovalOnWithoutLapseOfAnotherRouter(t *testing.T) {
	passedOn := func(sinceAnswer time.Duration) bool {
		h := newHarness(4, 0.8)
		peer := table.RouterPeer{Holder: table.Holder{Process: "small", Incarnation: 1}, Domain: "d0", Cores: 0.1, Connected: true}
		h.world.RouterPeers.Put(peer.Process, peer)
		h.world.LimitLedgerView.Registered[peer.Holder] = true
		h.world.FleetGeneration++
		h.list(10)
		h.now = h.now.Add(sinceAnswer)
		h.tick(event.EndpointChanges{Since: 10, Covered: 12, Removed: []table.EndpointID{"m1"}, Relayed: true, MayHaveLapsed: true})
		require.Len(t, h.out.EndpointRelays, 1)
		return h.out.EndpointRelays[0].Changes.MayHaveLapsed
	}
	require.False(t, passedOn(time.Second))
	require.True(t, passedOn(5*time.Second), "the store may be out of reach for this router too")
}

// Guards against routers that keep an endpoint which left for longer than the router
// that saw an outage: it tells them how much of the time for lapsed entries is left.
func TestRelayedLapseCarriesTimeLeft(t *testing.T) {
	h := newHarness(4, 0.8)
	h.list(10)
	h.world.PlatformRestoredAt = h.now
	h.now = h.now.Add(1900 * time.Millisecond)
	h.tick(event.EndpointChanges{Since: 10, Covered: 12, Removed: []table.EndpointID{"m1"}})
	require.Len(t, h.out.EndpointRelays, 1)
	changes := h.out.EndpointRelays[0].Changes
	require.True(t, changes.MayHaveLapsed)
	require.Positive(t, changes.LapseGrace)
	require.LessOrEqual(t, changes.LapseGrace, 700*time.Millisecond)
}

// Guards against a router that tells others that the store served it all the while
// although a call failed, or none was answered for longer than a call takes.
func TestTimeFollowedEndsWithFailureOrSilence(t *testing.T) {
	h := newHarness(4, 0.8)
	require.Zero(t, watch.FollowedFor(h.world))
	h.list(10)
	h.callsFor(20*time.Second, table.WatchEndpoints)
	require.GreaterOrEqual(t, watch.FollowedFor(h.world), 19*time.Second)
	h.now = h.now.Add(10 * time.Second)
	h.tick()
	require.Zero(t, watch.FollowedFor(h.world), "silent")
	h.answerWaiting()
	h.tick()
	require.Zero(t, watch.FollowedFor(h.world), "answered again after a silence")
	h.callsFor(10*time.Second, table.WatchEndpoints)
	require.Positive(t, watch.FollowedFor(h.world))
	h.tick(event.WatchResult{Kind: table.WatchEndpoints, Call: h.world.Watches.Get(table.WatchEndpoints).Call, Status: event.WatchFailed})
	require.Zero(t, watch.FollowedFor(h.world), "failed")
}

// Guards against a configuration that routers get late or never because only the
// delegates ask for it.
func TestRelayedConfigurationIsKnown(t *testing.T) {
	h := newHarness(103, 0.1)
	h.list(10)
	h.tick(event.RouterReport{LastChanges: map[table.WatchKind]uint64{table.WatchConfig: 14}})
	h.tick(event.ManifestReceived{Revision: 14, Relayed: true})
	require.Equal(t, uint64(14), h.world.Watches.Get(table.WatchConfig).Covered)
	h.now = h.now.Add(5 * time.Second)
	h.tick()
	require.Empty(t, h.calls, "nothing is missing")
	h.tick(event.RouterReport{LastChanges: map[table.WatchKind]uint64{table.WatchConfig: 16}})
	h.now = h.now.Add(time.Second)
	h.tick()
	require.Len(t, h.calls, 1)
	require.Equal(t, command.WatchObjects{Kind: table.WatchConfig, Call: h.calls[0].Call, Since: 14, Wait: time.Millisecond}, h.calls[0])
}

// Guards against a router that goes on telling the others that it does not reach the
// store, because it makes no calls that would show it.
func TestFollowerThatLostTheStoreAsksSoon(t *testing.T) {
	h := newHarness(103, 0.1)
	h.list(10)
	h.callsFor(5*time.Second, table.WatchEndpoints)
	h.world.PlatformReachable = false
	require.GreaterOrEqual(t, h.callsFor(10*time.Second, table.WatchEndpoints), 2)
}

// Guards against a list that nobody follows because the only router that reaches the
// store leaves it to delegates which do not.
func TestOnlyRouterThatReachesStoreFollowsIt(t *testing.T) {
	for _, routers := range []int{5, 30, 103} {
		h := newHarness(routers, 0.1)
		h.list(10)
		h.world.RouterPeers.Each(func(_ table.ProcessID, p *table.RouterPeer) { p.StoreDown = true })
		h.world.FleetGeneration++
		require.GreaterOrEqual(t, h.callsFor(10*time.Second, table.WatchConfig), 3, "%d routers", routers)
	}
}
