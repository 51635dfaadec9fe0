package drain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const drainTimeout = time.Minute

func newWorld(role table.Role) (*world.World, []world.System) {
	self := table.Process{Holder: table.Holder{Process: "p", Incarnation: 1}, Role: role}
	return world.New(world.Params{Self: self, DrainTimeout: drainTimeout}, 1), []world.System{New()}
}

// tick runs one tick and reports whether the process exits.
func tick(w *world.World, systems []world.System, now time.Duration) bool {
	w.Tick(table.Instant(now), systems)
	exits := len(w.Out.Exits) > 0
	w.ClearOutbox()
	return exits
}

// Guards against a shutdown that interrupts a request in progress.
func TestExitWaitsForRequests(t *testing.T) {
	w, systems := newWorld(table.RoleRouter)
	w.Requests.Insert(table.Request{ID: "c/k"}, table.RequestRunning)
	w.In.Shutdowns = []event.Shutdown{{}}
	require.False(t, tick(w, systems, time.Hour))
	require.True(t, w.Draining)
	require.False(t, tick(w, systems, time.Hour+time.Second))
	require.False(t, tick(w, systems, time.Hour+drainTimeout-time.Second))
	w.Requests.Remove("c/k")
	require.True(t, tick(w, systems, time.Hour+drainTimeout-time.Millisecond))
}

// Guards against a process that never exits because a request never ends.
func TestExitAfterTimeout(t *testing.T) {
	w, systems := newWorld(table.RoleRouter)
	w.Requests.Insert(table.Request{ID: "c/k"}, table.RequestRunning)
	w.In.Shutdowns = []event.Shutdown{{}}
	tick(w, systems, 0)
	require.True(t, tick(w, systems, drainTimeout))
}

// Guards against an agent that exits while its endpoints run requests.
func TestAgentWaitsForRuns(t *testing.T) {
	w, systems := newWorld(table.RoleAgent)
	w.Endpoints.Put("e", table.Endpoint{ID: "e", InFlight: 1})
	w.In.Shutdowns = []event.Shutdown{{}}
	tick(w, systems, 0)
	require.False(t, tick(w, systems, time.Second))
	w.Endpoints.Get("e").InFlight = 0
	require.True(t, tick(w, systems, 2*time.Second))
}

// Guards against a router that exits without returning its grants although the
// platform would take them a moment later, and against one that waits forever.
func TestExitWaitsBrieflyForGrantReturn(t *testing.T) {
	w, systems := newWorld(table.RoleRouter)
	w.Budgets.Put("c/b", table.Budget{ID: "c/b", Granted: 10})
	w.In.Shutdowns = []event.Shutdown{{}}
	tick(w, systems, 0)
	require.False(t, tick(w, systems, time.Second))
	require.False(t, tick(w, systems, time.Second+defaultGrantReturnTimeout-1))
	require.True(t, tick(w, systems, time.Second+defaultGrantReturnTimeout))
}

// Guards against a fenced router that interrupts its requests because the drain was
// not started by a shutdown.
func TestFencedRouterFinishesRequests(t *testing.T) {
	w, systems := newWorld(table.RoleRouter)
	w.Requests.Insert(table.Request{ID: "c/k"}, table.RequestRunning)
	w.Draining = true
	w.FencedHolders.Put(w.Self(), 1)
	require.False(t, tick(w, systems, time.Hour))
	require.False(t, tick(w, systems, time.Hour+time.Second))
	w.Requests.Remove("c/k")
	require.True(t, tick(w, systems, time.Hour+2*time.Second))
}

// Guards against an exit that leaves clients less than the rest of the drain for reading
// their answers, and against one that gives them time beyond its end.
func TestExitLeavesRestOfDrainToClients(t *testing.T) {
	for _, test := range []struct{ endedAt, want time.Duration }{{time.Second, drainTimeout - time.Second}, {drainTimeout, 0}, {drainTimeout + time.Second, 0}} {
		w, systems := newWorld(table.RoleRouter)
		w.Requests.Insert(table.Request{ID: "c/k"}, table.RequestRunning)
		w.In.Shutdowns = []event.Shutdown{{}}
		tick(w, systems, 0)
		w.Requests.Remove("c/k")
		w.Tick(table.Instant(test.endedAt), systems)
		require.Len(t, w.Out.Exits, 1)
		require.Equal(t, test.want, w.Out.Exits[0].CloseTimeout)
	}
}

// Guards against a repeated order to stop that moves the end of the drain.
func TestRepeatedShutdownDoesNotMoveDeadline(t *testing.T) {
	w, systems := newWorld(table.RoleRouter)
	w.Requests.Insert(table.Request{ID: "c/k"}, table.RequestRunning)
	for at := time.Duration(0); at < drainTimeout; at += drainTimeout / 4 {
		w.In.Shutdowns = []event.Shutdown{{}}
		require.False(t, tick(w, systems, at))
	}
	require.True(t, tick(w, systems, drainTimeout))
}

// Guards against incomplete requests that are cut at the end of the drain, because they
// are not refused before it, and against a refusal while the process still takes work.
func TestIncompleteRequestsAreRefusedBeforeDrainEnds(t *testing.T) {
	w, systems := newWorld(table.RoleRouter)
	w.Params.ClosingPeriod = time.Second
	w.Requests.Insert(table.Request{ID: "c/k"}, table.RequestRunning)
	w.In.Shutdowns = []event.Shutdown{{}}
	limits := 0
	for _, at := range []time.Duration{0, drainTimeout - time.Second - 1, drainTimeout - time.Second, drainTimeout - 1} {
		w.Tick(table.Instant(at), systems)
		for _, limit := range w.Out.BodyReadLimits {
			limits++
			require.Equal(t, drainTimeout-time.Second, at)
			require.Less(t, at+limit.Within, drainTimeout)
		}
		w.ClearOutbox()
	}
	require.Equal(t, 1, limits)
}

// Guards against a process that takes requests until it exits, because its drain is
// shorter than the least duration of a drain or because it was frozen meanwhile.
func TestProcessIsClosingBeforeExit(t *testing.T) {
	for _, times := range [][]time.Duration{{0, 1100 * time.Millisecond, 1700 * time.Millisecond}, {0, time.Minute}} {
		w, systems := newWorld(table.RoleRouter)
		w.Params.DrainTimeout, w.Params.MinDrainTime, w.Params.ClosingPeriod = 1700*time.Millisecond, 2500*time.Millisecond, 600*time.Millisecond
		w.Requests.Insert(table.Request{ID: "c/k"}, table.RequestRunning)
		w.In.Shutdowns = []event.Shutdown{{}}
		for _, at := range times {
			exits := tick(w, systems, at)
			require.Equal(t, at > 0, w.Closing, at)
			require.Equal(t, at >= w.Params.DrainTimeout, exits, at)
		}
	}
}
