package table_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/table"
)

// Guards against averages that start at 0, which would make a new endpoint look
// like the fastest.
func TestAverageTimeTakesTheFirstSample(t *testing.T) {
	require.Equal(t, time.Second, table.AverageTime(0, time.Second))
	require.Equal(t, 1200*time.Millisecond, table.AverageTime(time.Second, 2*time.Second))
}

// Guards against a rate that never settles, or that stays after the demand ended.
func TestDecayingRateFollowsDemand(t *testing.T) {
	var r table.DecayingRate
	now := table.Instant(time.Second)
	r.At = now
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		r.Add(now, 50, 5*time.Second)
	}
	require.InEpsilon(t, 500, r.PerSecond, 0.02)
	r.Add(now.Add(30*time.Second), 0, 5*time.Second)
	require.Less(t, r.PerSecond, 2.0)
}
