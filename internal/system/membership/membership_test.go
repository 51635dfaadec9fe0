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

// leavingBound is the stated bound: no new work 2 s after a source said so.
const leavingBound = 2 * time.Second

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

// Guards against new work for an agent that leaves while one of the two sources,
// the platform's list or the agent's notice, is silent.
func TestOneSourceSufficesToMarkLeaving(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w, systems := newRouter()
		w.In.SessionUps = []event.SessionUp{{Session: 1, Process: agent("agent-1", 7)}}
		w.In.MemberLists = []event.MemberList{{Members: []event.Member{{Process: "agent-1"}}}}
		w.Tick(0, systems)
		byNotice := rapid.Bool().Draw(rt, "by_notice")
		steps := rapid.IntRange(1, 30).Draw(rt, "steps")
		now := table.Instant(0)
		var saidAt table.Instant
		for i := range steps {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(rt, "ms")) * time.Millisecond)
			said := i >= steps/2
			if said && saidAt == 0 {
				saidAt = now
			}
			if byNotice || rapid.Bool().Draw(rt, "beat") {
				w.In.Heartbeats = []event.Heartbeat{{Peer: table.Holder{Process: "agent-1", Incarnation: 7}, Leaving: byNotice && said}}
			}
			if !byNotice || rapid.Bool().Draw(rt, "list") {
				w.In.MemberLists = []event.MemberList{{Members: []event.Member{{Process: "agent-1", Leaving: !byNotice && said}}}}
			}
			w.Tick(now, systems)
			w.Clear()
			if said && now.Sub(saidAt) <= leavingBound {
				require.Equal(rt, table.ProcessLeaving, w.Processes.Get("agent-1").State)
			}
		}
	})
}

// Guards against a heartbeat or session of an earlier incarnation that changes
// the state of the running one.
func TestEarlierIncarnationIsIgnored(t *testing.T) {
	w, systems := newRouter()
	w.In.SessionUps = []event.SessionUp{{Session: 1, Process: agent("agent-1", 1)}}
	w.Tick(1, systems)
	w.In.SessionUps = []event.SessionUp{{Session: 2, Process: agent("agent-1", 2)}}
	w.In.SessionDowns = []event.SessionDown{{Session: 1, Peer: table.Holder{Process: "agent-1", Incarnation: 1}}}
	w.In.Heartbeats = []event.Heartbeat{{Peer: table.Holder{Process: "agent-1", Incarnation: 1}, Leaving: true}}
	w.Tick(2, systems)
	p := w.Processes.Get("agent-1")
	require.True(t, p.Connected)
	require.Equal(t, table.ProcessLive, p.State)
	require.EqualValues(t, 2, p.Incarnation)
}

// Guards against work for a silent process, and against calling a process gone
// that the platform still lists.
func TestSilenceMakesSuspectThenGone(t *testing.T) {
	w, systems := newRouter()
	w.In.SessionUps = []event.SessionUp{{Session: 1, Process: agent("agent-1", 1)}}
	w.In.MemberLists = []event.MemberList{{Members: []event.Member{{Process: "agent-1"}}}}
	w.Tick(0, systems)
	w.In.SessionDowns = []event.SessionDown{{Session: 1, Peer: table.Holder{Process: "agent-1", Incarnation: 1}}}
	w.Tick(table.Instant(4*time.Second), systems)
	require.Equal(t, table.ProcessSuspect, w.Processes.Get("agent-1").State)
	w.Tick(table.Instant(time.Minute), systems)
	require.Equal(t, table.ProcessSuspect, w.Processes.Get("agent-1").State, "still listed")
	w.In.MemberLists = []event.MemberList{{}}
	w.Tick(table.Instant(2*time.Minute), systems)
	require.Equal(t, table.ProcessGone, w.Processes.Get("agent-1").State)
}

// Guards against two processes that dial each other, and against dials without
// a pause to a host that is away.
func TestDialsBackOffAndGoOneWay(t *testing.T) {
	w, systems := newRouter()
	lower := table.Process{Holder: table.Holder{Process: "router-a", Incarnation: 1}, Role: table.RoleRouter, Address: "127.0.0.1:2"}
	w.In.ProcessLists = []event.ProcessList{{Processes: []table.Process{agent("agent-1", 1), lower}}}
	w.In.MemberLists = []event.MemberList{{Members: []event.Member{{Process: "agent-1"}, {Process: "router-a"}}}}
	dials := 0
	for now := table.Instant(0); now < table.Instant(time.Minute); {
		w.Tick(now, systems)
		for _, d := range w.Out.Dials {
			require.EqualValues(t, "agent-1", d.Process)
			dials++
		}
		w.Clear()
		require.Greater(t, w.NextWake(), now, "the system asks for a tick without end")
		now = w.NextWake()
	}
	require.GreaterOrEqual(t, dials, 8)
	require.LessOrEqual(t, dials, 30, "at most one dial per 2 s after the first ones")
}

// Guards against a drain order that reaches the wrong endpoints, or is lost
// while the agent goes on.
func TestDrainOrderMarksOwnEndpoints(t *testing.T) {
	self := agent("agent-1", 1)
	w := world.New(world.Params{Self: self, HeartbeatInterval: time.Second}, 1)
	for i := range 3 {
		id := table.EndpointID(fmt.Sprintf("e%d", i))
		w.Endpoints.Put(id, table.Endpoint{ID: id, Agent: "agent-1"})
	}
	systems := []world.System{New()}
	w.In.Drains = []event.DrainOrder{{Target: "e1", Reason: "memory errors"}}
	w.Tick(1, systems)
	require.Equal(t, table.EndpointLive, w.Endpoints.Get("e0").State)
	require.Equal(t, table.EndpointLeaving, w.Endpoints.Get("e1").State)
	require.NotEmpty(t, w.Out.Heartbeats, "routers are told at once")
	w.In.Drains = []event.DrainOrder{{Target: "e1", Undo: true, Reason: "replaced"}}
	w.Tick(2, systems)
	require.Equal(t, table.EndpointLive, w.Endpoints.Get("e1").State)
}

// Guards against a router that starts without the platform and never learns of
// processes that its first peer did not know yet.
func TestRouterWithoutPlatformKeepsAskingPeers(t *testing.T) {
	w, systems := newRouter()
	peer := table.Process{Holder: table.Holder{Process: "router-c", Incarnation: 1}, Role: table.RoleRouter}
	w.In.SessionUps = []event.SessionUp{{Session: 1, Process: peer}}
	asks := 0
	for now := table.Instant(0); now <= table.Instant(20*time.Second); now = now.Add(time.Second) {
		w.In.Heartbeats = []event.Heartbeat{{Peer: peer.Holder}}
		if now == table.Instant(15*time.Second) {
			w.In.PlatformStates = []event.PlatformState{{Reachable: true}}
		}
		w.Tick(now, systems)
		asks += len(w.Out.ConfigAsks)
		w.Clear()
	}
	require.Equal(t, 3, asks, "every 5 s until the platform answers")
}

// Guards against heartbeats that flood a router with many sessions, and against
// a router that looks silent because it sends less often than its peers.
func TestHeartbeatsFollowTheSlowerSide(t *testing.T) {
	self := agent("agent-1", 1)
	w := world.New(world.Params{Self: self, HeartbeatInterval: time.Second}, 1)
	systems := []world.System{New()}
	router := table.Process{Holder: table.Holder{Process: "router-1", Incarnation: 1}, Role: table.RoleRouter}
	w.In.SessionUps = []event.SessionUp{{Session: 1, Process: router}}
	sent := 0
	for now := table.Instant(0); now <= table.Instant(30*time.Second); now = now.Add(500 * time.Millisecond) {
		if now%table.Instant(3*time.Second) == 0 {
			w.In.Heartbeats = []event.Heartbeat{{Peer: router.Holder, Interval: 3 * time.Second, Wanted: 3 * time.Second}}
		}
		w.Tick(now, systems)
		sent += len(w.Out.Heartbeats)
		w.Clear()
		require.Equal(t, table.ProcessLive, w.Processes.Get("router-1").State)
	}
	require.LessOrEqual(t, sent, 12, "one per 3 s after the first ones")
	w.Tick(table.Instant(40*time.Second), systems)
	require.Equal(t, table.ProcessSuspect, w.Processes.Get("router-1").State)
}
