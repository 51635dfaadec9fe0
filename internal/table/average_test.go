package table_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/table"
)

// Guards against an average that starts at 0, which would make a new endpoint
// look like the fastest.
func TestUpdateMovingAverageTakesFirstSampleUnchanged(t *testing.T) {
	require.Equal(t, time.Second, table.UpdateMovingAverage(0, time.Second))
	require.Equal(t, 1200*time.Millisecond, table.UpdateMovingAverage(time.Second, 2*time.Second))
}

// Guards against a rate that does not converge to the demand, or that does not
// decay after the demand ended.
func TestDecayingRateFollowsDemand(t *testing.T) {
	var r table.DecayingRate
	now := table.Instant(time.Second)
	r.UpdatedAt = now
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		r.Add(now, 50, 5*time.Second)
	}
	require.InEpsilon(t, 500, r.PerSecond, 0.02)
	r.Add(now.Add(30*time.Second), 0, 5*time.Second)
	require.Less(t, r.PerSecond, 2.0)
}

// Guards against a maximum that is forgotten within the window, or kept long after it.
func TestWindowMaxForgetsAfterTwoPeriods(t *testing.T) {
	var m table.WindowMax
	at := func(s int) table.Instant { return table.Instant(time.Duration(s) * time.Second) }
	require.Zero(t, m.At(at(1), 10*time.Second))
	m.Observe(at(100), 3, 10*time.Second)
	m.Observe(at(105), 1, 10*time.Second)
	require.Equal(t, 3.0, m.At(at(109), 10*time.Second))
	m.Observe(at(111), 2, 10*time.Second)
	require.Equal(t, 3.0, m.At(at(115), 10*time.Second), "the period before counts too")
	m.Observe(at(121), 1, 10*time.Second)
	require.Equal(t, 2.0, m.At(at(122), 10*time.Second))
	require.Equal(t, 1.0, m.At(at(135), 10*time.Second), "without later values")
	require.Zero(t, m.At(at(141), 10*time.Second))
	m.Observe(at(200), 0.5, 10*time.Second)
	require.Equal(t, 0.5, m.At(at(201), 10*time.Second))
}
