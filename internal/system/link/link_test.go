package link_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/link"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// connect runs ticks for a while, each with one new connection that takes d.
func connect(w *world.World, now *table.Instant, period, d time.Duration) {
	for end := now.Add(period); *now < end; *now = now.Add(20 * time.Millisecond) {
		event.ConnectTime{Duration: d}.AddTo(&w.In)
		w.Tick(*now, []world.System{world.SystemFunc(link.Run)})
	}
}

func idle(w *world.World, now *table.Instant, period time.Duration) {
	for end := now.Add(period); *now < end; *now = now.Add(20 * time.Millisecond) {
		w.Tick(*now, []world.System{world.SystemFunc(link.Run)})
	}
}

// Guards against a router that goes on taking requests which all wait for its link,
// while others of its failure domain have room.
func TestCongestedLinkIsDetected(t *testing.T) {
	w, now := world.New(world.Params{}, 1), table.Instant(time.Second)
	connect(w, &now, time.Second, 3*time.Millisecond)
	require.False(t, w.Link.Congested)
	connect(w, &now, 400*time.Millisecond, 500*time.Millisecond)
	require.True(t, w.Link.Congested)
	require.False(t, w.Link.OutOfRotation, "a short congestion moves no clients")
	connect(w, &now, 2*time.Second, 500*time.Millisecond)
	require.True(t, w.Link.OutOfRotation)
}

// Guards against a router that refuses requests for good because it opens no
// connections that would show a free link.
func TestCongestionEndsWithoutConnections(t *testing.T) {
	w, now := world.New(world.Params{}, 1), table.Instant(time.Second)
	connect(w, &now, 2*time.Second, 500*time.Millisecond)
	require.True(t, w.Link.Congested)
	idle(w, &now, 400*time.Millisecond)
	require.False(t, w.Link.Congested)
	require.True(t, w.Link.OutOfRotation, "clients that left must not come back at once")
	idle(w, &now, 4*time.Second)
	require.False(t, w.Link.OutOfRotation)
}

// Guards against a router that takes one slow endpoint for a congested link.
func TestFewSlowConnectionsAreNoCongestion(t *testing.T) {
	w, now := world.New(world.Params{}, 1), table.Instant(time.Second)
	for range 50 {
		connect(w, &now, 100*time.Millisecond, 3*time.Millisecond)
		connect(w, &now, 20*time.Millisecond, 500*time.Millisecond)
		require.False(t, w.Link.Congested)
	}
}

// Guards against requests that are taken on faster than the link carries them: a slow
// link shows in connect times only after the queue has grown for half a second.
func TestRequestsBeyondTheRateOfTheLinkAreNotAdmitted(t *testing.T) {
	w := world.New(world.Params{Front: world.FrontParams{LinkBytesPerSecond: 1_250_000}}, 1)
	admitted := 0
	for now := table.Instant(time.Second); now < table.Instant(11*time.Second); now = now.Add(2 * time.Millisecond) {
		w.Tick(now, []world.System{world.SystemFunc(link.Run)})
		if link.Admit(w, &table.Route{}, 8<<10) {
			admitted++
		}
	}
	// The link carries 122 requests of 10 kilobytes a second.
	require.InDelta(t, 1220, admitted, 25)
	require.True(t, w.Link.OutOfRotation)
}
