package peers_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/peers"
	"laburnumroad.dev/laburnumroad/internal/table"
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

// Guards against a router that sends its clients to others although they said that their
// links are full.
func TestReportsTellOfAFullLink(t *testing.T) {
	sender := world.New(world.Params{Self: table.Process{Holder: table.Holder{Process: "a", Incarnation: 7}, Domain: "d"}}, 1)
	sender.PlatformReachable, sender.Link.OutOfRotation = true, true
	sender.Tick(table.Instant(time.Minute), []world.System{world.SystemFunc(peers.Run)})
	require.Len(t, sender.Out.RouterReports, 1)
	report := sender.Out.RouterReports[0].Report
	require.True(t, report.LinkFull)

	receiver := world.New(world.Params{}, 1)
	receiver.RouterPeers.Put("a", table.RouterPeer{Holder: sender.Self(), Domain: "d", Connected: true})
	report.From = sender.Self()
	report.AddTo(&receiver.In)
	receiver.Tick(table.Instant(time.Minute), []world.System{world.SystemFunc(peers.Run)})
	require.True(t, receiver.RouterPeers.Get("a").LinkFull)
	event.RouterReport{From: sender.Self()}.AddTo(&receiver.In)
	receiver.Tick(table.Instant(2*time.Minute), []world.System{world.SystemFunc(peers.Run)})
	require.False(t, receiver.RouterPeers.Get("a").LinkFull, "a release that does not know the field has room")
}
