package loadtest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func small() Scenario {
	return Scenario{
		Seed: seed, Routers: 3, Endpoints: 4, Slots: 8, Rate: 8, LongShare: 0.05,
		WarmUp: 10 * time.Second, Duration: 60 * time.Second, Deadline: time.Second,
	}
}

// Guards against figures that change from run to run with the same seed.
func TestRunsRepeat(t *testing.T) {
	require.Equal(t, RunProduct(small()), RunProduct(small()))
	require.Equal(t, RunNaive(small()), RunNaive(small()))
}

// Guards against a comparison of different loads, and against a generator whose
// product loses requests while there is capacity.
func TestVersionsGetTheSameLoad(t *testing.T) {
	p, n := RunProduct(small()), RunNaive(small())
	require.Equal(t, n.Requests, p.Requests)
	require.Equal(t, n.Quick, p.Quick)
	require.Equal(t, p.Quick, p.OnTime)
}
