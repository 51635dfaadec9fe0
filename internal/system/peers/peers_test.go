package peers_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/system/peers"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Guards against sessions that end because a report of a large fleet is a moment late,
// and against silent sessions that a small fleet keeps for long.
func TestIdleTimeoutFollowsTheReportInterval(t *testing.T) {
	for _, routers := range []int{1, 4, 30, 103, 330} {
		w := world.New(world.Params{}, 1)
		w.LimitLedgerView.RouterCount = routers
		require.GreaterOrEqual(t, peers.IdleTimeout(w), 3*peers.ReportInterval(w), "%d routers", routers)
		require.LessOrEqual(t, peers.IdleTimeout(w), 10*time.Second)
	}
	w := world.New(world.Params{}, 1)
	w.LimitLedgerView.RouterCount = 4
	require.Equal(t, 2500*time.Millisecond, peers.IdleTimeout(w))
}
