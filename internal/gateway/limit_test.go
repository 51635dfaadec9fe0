package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against routers that go on sending to an endpoint which names how many requests
// a second it takes from all of them. The bound grows with the time that the test takes.
func TestEndpointGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	const limit = 1.2
	c := newTestCluster(t)
	c.startEndpoint("i-limited", "desk", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Server-Limit", fmt.Sprint(limit))
		_, _ = io.WriteString(w, "limited")
	})
	c.startEndpoint("i-free", "desk", respondBooked)
	c.putConfig(1, 100_000)
	var gateways []*testGateway
	for i := range 3 {
		gateways = append(gateways, c.startGateway(fmt.Sprintf("edge-%d", i+1)))
	}
	for _, gw := range gateways {
		gw.waitReady()
	}
	var firstToldAt time.Time
	told, counted := make([]bool, len(gateways)), 0
	for i := range 180 {
		n := i % len(gateways)
		status, body, err := gateways[n].postRequest("/booking/1", fmt.Sprintf("r-%d", i), "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, "another endpoint has no limit")
		if body != "limited" {
			continue
		}
		if firstToldAt.IsZero() {
			firstToldAt = time.Now()
		}
		if told[n] {
			counted++
		}
		told[n] = true
	}
	require.LessOrEqual(t, float64(counted), 1.5*limit*time.Since(firstToldAt).Seconds()+5)
}
