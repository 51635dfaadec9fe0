package loadtest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func smallScenario() Scenario {
	return Scenario{
		Seed: seed, Routers: 3, Endpoints: 4, Slots: 8, Rate: 8, LongShare: 0.05,
		WarmUp: 10 * time.Second, Duration: 60 * time.Second, Deadline: time.Second,
	}
}

// Guards against nondeterminism: runs with the same seed must give the same result.
func TestSameSeedGivesSameResult(t *testing.T) {
	require.Equal(t, RunSystems(smallScenario()), RunSystems(smallScenario()))
	require.Equal(t, RunNaive(smallScenario()), RunNaive(smallScenario()))
}

// Guards against comparing the two kinds of router under different loads, and against
// losing requests of the production systems while there is free capacity.
func TestRoutersGetSameLoad(t *testing.T) {
	system, naive := RunSystems(smallScenario()), RunNaive(smallScenario())
	require.Equal(t, naive.Requests, system.Requests)
	require.Equal(t, naive.QuickRequests, system.QuickRequests)
	require.Equal(t, system.QuickRequests, system.QuickOnTime)
}
