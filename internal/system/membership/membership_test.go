package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// maxLeavingDelay is the guaranteed bound: an agent gets no new work 2 s after one
// of the sources reports that it is leaving.
const maxLeavingDelay = 2 * time.Second

func newRouter() (*world.World, []world.System) {
	self := table.Process{Holder: table.Holder{Process: "router-b", Incarnation: 1}, Role: table.RoleRouter}
	w := world.New(world.Params{Self: self, HeartbeatInterval: time.Second}, 1)
	w.Processes.Put(self.ID(), self)
	return w, []world.System{New()}
}

func agent(id table.ProcessID, incarnation table.Incarnation) table.Process {
	return table.Process{
		Holder: table.Holder{Process: id, Incarnation: incarnation}, Role: table.RoleAgent, Address: "127.0.0.1:1",
	}
}

// Guards against new work for a leaving agent that is reported by only one of the
// two sources, the platform's list or the agent's heartbeat.
func TestOneSourceSufficesToMarkLeaving(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w, systems := newRouter()
		w.In.SessionsOpened = []event.SessionOpened{{Session: 1, Process: agent("agent-1", 7)}}
		w.In.MemberLists = []event.MemberList{{Members: []event.Member{{Process: "agent-1"}}}}
		w.Tick(0, systems)
		byNotice := rapid.Bool().Draw(rt, "by_notice")
		steps := rapid.IntRange(1, 30).Draw(rt, "steps")
		now := table.Instant(0)
		var announcedAt table.Instant
		for i := range steps {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(rt, "ms")) * time.Millisecond)
			announced := i >= steps/2
			if announced && announcedAt == 0 {
				announcedAt = now
			}
			if byNotice || rapid.Bool().Draw(rt, "beat") {
				w.In.Heartbeats = []event.Heartbeat{{Peer: table.Holder{Process: "agent-1", Incarnation: 7}, Leaving: byNotice && announced}}
			}
			if !byNotice || rapid.Bool().Draw(rt, "list") {
				w.In.MemberLists = []event.MemberList{{Members: []event.Member{{Process: "agent-1", Leaving: !byNotice && announced}}}}
			}
			w.Tick(now, systems)
			w.ClearOutbox()
			if announced && now.Sub(announcedAt) <= maxLeavingDelay {
				require.Equal(rt, table.ProcessLeaving, w.Processes.Get("agent-1").State)
			}
		}
	})
}

// Guards against a heartbeat or session of an earlier incarnation that changes the
// state of the current one.
func TestEarlierIncarnationIsIgnored(t *testing.T) {
	w, systems := newRouter()
	w.In.SessionsOpened = []event.SessionOpened{{Session: 1, Process: agent("agent-1", 1)}}
	w.Tick(1, systems)
	w.In.SessionsOpened = []event.SessionOpened{{Session: 2, Process: agent("agent-1", 2)}}
	w.In.SessionsClosed = []event.SessionClosed{{Session: 1, Peer: table.Holder{Process: "agent-1", Incarnation: 1}}}
	w.In.Heartbeats = []event.Heartbeat{{Peer: table.Holder{Process: "agent-1", Incarnation: 1}, Leaving: true}}
	w.Tick(2, systems)
	p := w.Processes.Get("agent-1")
	require.True(t, p.Connected)
	require.Equal(t, table.ProcessLive, p.State)
	require.EqualValues(t, 2, p.Incarnation)
}

// Guards against sending work to a silent process, and against declaring a process
// gone while the platform still lists it.
func TestSilentProcessBecomesSuspectThenGone(t *testing.T) {
	w, systems := newRouter()
	w.In.SessionsOpened = []event.SessionOpened{{Session: 1, Process: agent("agent-1", 1)}}
	w.In.MemberLists = []event.MemberList{{Members: []event.Member{{Process: "agent-1"}}}}
	w.Tick(0, systems)
	w.In.SessionsClosed = []event.SessionClosed{{Session: 1, Peer: table.Holder{Process: "agent-1", Incarnation: 1}}}
	w.Tick(table.Instant(4*time.Second), systems)
	require.Equal(t, table.ProcessSuspect, w.Processes.Get("agent-1").State)
	w.Tick(table.Instant(time.Minute), systems)
	require.Equal(t, table.ProcessSuspect, w.Processes.Get("agent-1").State, "the platform still lists the process")
	w.In.MemberLists = []event.MemberList{{}}
	w.Tick(table.Instant(2*time.Minute), systems)
	require.Equal(t, table.ProcessGone, w.Processes.Get("agent-1").State)
}

// Guards against two processes that dial each other, and against dialing an
// unreachable host without a delay.
func TestDialsBackOffAndOnlyOneSideDials(t *testing.T) {
	w, systems := newRouter()
	lowerRouter := table.Process{Holder: table.Holder{Process: "router-a", Incarnation: 1}, Role: table.RoleRouter, Address: "127.0.0.1:2"}
	w.In.ProcessLists = []event.ProcessList{{Processes: []table.Process{agent("agent-1", 1), lowerRouter}}}
	w.In.MemberLists = []event.MemberList{{Members: []event.Member{{Process: "agent-1"}, {Process: "router-a"}}}}
	dials := 0
	for now := table.Instant(0); now < table.Instant(time.Minute); {
		w.Tick(now, systems)
		for _, d := range w.Out.Dials {
			require.EqualValues(t, "agent-1", d.Process)
			dials++
		}
		w.ClearOutbox()
		require.Greater(t, w.NextWake(), now, "the system requests another tick at the same time")
		now = w.NextWake()
	}
	require.GreaterOrEqual(t, dials, 8)
	require.LessOrEqual(t, dials, 30, "at most one dial per 2 s after the first ones")
}

// Guards against a drain order that is applied to the wrong endpoints or not
// announced to the routers.
func TestDrainOrderMarksOwnEndpoints(t *testing.T) {
	self := agent("agent-1", 1)
	w := world.New(world.Params{Self: self, HeartbeatInterval: time.Second}, 1)
	for i := range 3 {
		id := table.EndpointID(fmt.Sprintf("e%d", i))
		w.Endpoints.Put(id, table.Endpoint{ID: id, Agent: "agent-1"})
	}
	systems := []world.System{New()}
	w.In.DrainOrders = []event.DrainOrder{{Target: "e1", Reason: "memory errors"}}
	w.Tick(1, systems)
	require.Equal(t, table.EndpointLive, w.Endpoints.Get("e0").State)
	require.Equal(t, table.EndpointLeaving, w.Endpoints.Get("e1").State)
	require.NotEmpty(t, w.Out.Heartbeats, "the routers are notified immediately")
	w.In.DrainOrders = []event.DrainOrder{{Target: "e1", Undo: true, Reason: "replaced"}}
	w.Tick(2, systems)
	require.Equal(t, table.EndpointLive, w.Endpoints.Get("e1").State)
}

// Guards against a router that starts without the platform and never learns of
// processes that its first peer did not know yet.
func TestRouterWithoutPlatformKeepsAskingPeers(t *testing.T) {
	w, systems := newRouter()
	peer := table.Process{Holder: table.Holder{Process: "router-c", Incarnation: 1}, Role: table.RoleRouter}
	w.In.SessionsOpened = []event.SessionOpened{{Session: 1, Process: peer}}
	queries := 0
	for now := table.Instant(0); now <= table.Instant(20*time.Second); now = now.Add(time.Second) {
		w.In.Heartbeats = []event.Heartbeat{{Peer: peer.Holder}}
		if now == table.Instant(15*time.Second) {
			w.In.PlatformStates = []event.PlatformState{{Reachable: true}}
		}
		w.Tick(now, systems)
		queries += len(w.Out.ConfigRequests)
		w.ClearOutbox()
	}
	require.Equal(t, 3, queries, "one query per 5 s until the platform is reachable")
}

// Guards against heartbeats that overload a router with many sessions, and against
// suspecting a router because it sends heartbeats less often than its peers.
func TestHeartbeatIntervalFollowsSlowerPeer(t *testing.T) {
	self := agent("agent-1", 1)
	w := world.New(world.Params{Self: self, HeartbeatInterval: time.Second}, 1)
	systems := []world.System{New()}
	router := table.Process{Holder: table.Holder{Process: "router-1", Incarnation: 1}, Role: table.RoleRouter}
	w.In.SessionsOpened = []event.SessionOpened{{Session: 1, Process: router}}
	sent := 0
	for now := table.Instant(0); now <= table.Instant(30*time.Second); now = now.Add(500 * time.Millisecond) {
		if now%table.Instant(3*time.Second) == 0 {
			w.In.Heartbeats = []event.Heartbeat{{Peer: router.Holder, Interval: 3 * time.Second, WantedInterval: 3 * time.Second}}
		}
		w.Tick(now, systems)
		sent += len(w.Out.Heartbeats)
		w.ClearOutbox()
		require.Equal(t, table.ProcessLive, w.Processes.Get("router-1").State)
	}
	require.LessOrEqual(t, sent, 12, "one per 3 s after the first ones")
	w.Tick(table.Instant(40*time.Second), systems)
	require.Equal(t, table.ProcessSuspect, w.Processes.Get("router-1").State)
}
