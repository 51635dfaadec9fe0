package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/fleetconfig"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// Guards against an exception that stays in effect in a running process after its
// end date.
func TestExpiredExceptionIsDetectedAndDropped(t *testing.T) {
	const text = `services:
  - {name: tutor, kind: model}
customers:
  - id: school
    keys: ["sha256:e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"]
    services: [tutor]
exceptions:
  - {customer: school, setting: concurrency, value: 7, until: 2026-12-04, reason: exams}
`
	config, findings := fleetconfig.Load("f", text)
	require.Empty(t, findings)
	lastDay := time.Date(2026, 12, 4, 23, 0, 0, 0, time.UTC)
	dayAfter := time.Date(2026, 12, 5, 0, 0, 1, 0, time.UTC)
	key := table.LimitsKey{Customer: "school", Service: "tutor"}
	require.Equal(t, 7, newFleetConfig(config, 1, text, lastDay).Limits[key].Concurrency)
	require.NotEqual(t, 7, newFleetConfig(config, 1, text, dayAfter).Limits[key].Concurrency)
	require.False(t, exceptionExpired(config, lastDay.Add(-24*time.Hour), lastDay))
	require.True(t, exceptionExpired(config, dayAfter.Add(-24*time.Hour), dayAfter))
	require.False(t, exceptionExpired(config, dayAfter, dayAfter.Add(24*time.Hour)))
}
