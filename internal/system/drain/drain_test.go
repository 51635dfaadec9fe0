package drain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const timeout = time.Minute

func newWorld(role table.Role) (*world.World, []world.System) {
	self := table.Process{Holder: table.Holder{Process: "p", Incarnation: 1}, Role: role}
	return world.New(world.Params{Self: self, DrainTimeout: timeout}, 1), []world.System{New()}
}

// tick returns whether the process exits.
func tick(w *world.World, systems []world.System, now time.Duration) bool {
	w.Tick(table.Instant(now), systems)
	exits := len(w.Out.Exits) > 0
	w.Clear()
	return exits
}

// Guards against a shutdown that cuts a request in progress.
func TestExitWaitsForRequests(t *testing.T) {
	w, systems := newWorld(table.RoleRouter)
	w.Requests.Insert(table.Request{ID: "c/k"}, table.RequestRunning)
	w.In.Shutdowns = []event.Shutdown{{}}
	require.False(t, tick(w, systems, time.Hour))
	require.True(t, w.Draining)
	require.False(t, tick(w, systems, time.Hour+time.Second))
	require.False(t, tick(w, systems, time.Hour+timeout-time.Second))
	w.Requests.Remove("c/k")
	require.True(t, tick(w, systems, time.Hour+timeout-time.Millisecond))
}

// Guards against a process that never ends because a request never does.
func TestExitAfterTimeout(t *testing.T) {
	w, systems := newWorld(table.RoleRouter)
	w.Requests.Insert(table.Request{ID: "c/k"}, table.RequestRunning)
	w.In.Shutdowns = []event.Shutdown{{}}
	tick(w, systems, 0)
	require.True(t, tick(w, systems, timeout))
}

// Guards against an agent that ends with runs at its endpoints.
func TestAgentWaitsForRuns(t *testing.T) {
	w, systems := newWorld(table.RoleAgent)
	w.Endpoints.Put("e", table.Endpoint{ID: "e", InFlight: 1})
	w.In.Shutdowns = []event.Shutdown{{}}
	tick(w, systems, 0)
	require.False(t, tick(w, systems, time.Second))
	w.Endpoints.Get("e").InFlight = 0
	require.True(t, tick(w, systems, 2*time.Second))
}

// Guards against a router that leaves its grants behind although the platform
// would take them back a moment later, and against one that waits for ever.
func TestExitWaitsShortlyForGrants(t *testing.T) {
	w, systems := newWorld(table.RoleRouter)
	w.Budgets.Put("c/b", table.Budget{ID: "c/b", Granted: 10})
	w.In.Shutdowns = []event.Shutdown{{}}
	tick(w, systems, 0)
	require.False(t, tick(w, systems, time.Second))
	require.False(t, tick(w, systems, time.Second+returnWait-1))
	require.True(t, tick(w, systems, time.Second+returnWait))
}

// Guards against a fenced router that cuts its streams at once because the drain
// was not started by a shutdown.
func TestFencedRouterFinishesItsStreams(t *testing.T) {
	w, systems := newWorld(table.RoleRouter)
	w.Requests.Insert(table.Request{ID: "c/k"}, table.RequestRunning)
	w.Draining = true
	w.Fences.Put(w.Self(), 1)
	require.False(t, tick(w, systems, time.Hour))
	require.False(t, tick(w, systems, time.Hour+time.Second))
	w.Requests.Remove("c/k")
	require.True(t, tick(w, systems, time.Hour+2*time.Second))
}
