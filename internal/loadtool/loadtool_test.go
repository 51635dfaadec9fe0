package loadtool

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/table"
)

func testPlan() *Plan {
	return &Plan{
		CallerURLs: []string{"http://127.0.0.1:1"}, Rate: 100, Duration: time.Second, Timeout: time.Second, MaxOpen: 1000,
		Services: []string{"tutor-model"}, CallShare: 0.25, CallService: "classroom-app", Operation: "progress",
		Budgets: []string{"default", "shop-1"}, Seed: 7,
	}
}

// Guards against coordinated omission: a send rate that drops when the fleet is slow
// hides the latency of the requests that are not sent.
func TestSendRateDoesNotDependOnResponses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newState(testPlan())
		s.plan.MaxOpen = rapid.IntRange(1, 120).Draw(t, "open")
		now := time.Duration(0)
		for now < 2*time.Second {
			now += time.Duration(rapid.IntRange(1, 400).Draw(t, "step")) * time.Millisecond
			s.tick(now)
			if s.inFlight.Len() > 0 && rapid.Bool().Draw(t, "answered") {
				id, _ := s.inFlight.At(0)
				s.inbox = append(s.inbox, completion{request: id, latency: time.Millisecond})
			}
			require.LessOrEqual(t, s.inFlight.Len(), s.plan.MaxOpen)
			due := min(s.plan.requestCount(), int(now.Seconds()*s.plan.Rate)+1)
			require.InDelta(t, due, s.result.Sent+s.result.NotSent, 1)
		}
		require.Equal(t, s.plan.requestCount(), s.result.Sent+s.result.NotSent)
	})
}

// Guards against requests that are counted twice, for example after a duplicate
// completion event, or not at all.
func TestEachRequestIsCountedOnce(t *testing.T) {
	s := newState(testPlan())
	s.tick(time.Second)
	require.Len(t, s.outbox, 100)
	for _, req := range s.outbox {
		e := completion{request: req.id, firstTokenLatency: time.Millisecond, tokenIntervals: []time.Duration{time.Millisecond}, latency: time.Second, tokens: 2}
		if req.id%10 == 0 {
			e.code = "BUSY"
		}
		s.inbox = append(s.inbox, e, e)
	}
	s.tick(time.Second)
	require.True(t, s.done())
	require.Equal(t, 90, s.result.Completed)
	require.Equal(t, map[string]int{"BUSY": 10}, s.result.ErrorCodes)
	require.EqualValues(t, 90, s.result.Latency.TotalCount())
	require.EqualValues(t, s.result.FirstTokenLatency.TotalCount(), s.result.TokenInterval.TotalCount())
}

// Guards against a malformed list of daemons that is accepted without an error.
func TestParseDaemonsRejectsInvalidLines(t *testing.T) {
	daemons, err := ParseDaemons("router-1 router 127.0.0.1:1 42\n\nagent-1 agent 127.0.0.1:2 43\n")
	require.NoError(t, err)
	require.Equal(t, Daemon{"agent-1", "agent", "127.0.0.1:2", 43}, daemons[1])
	for _, line := range []string{"router-1 router 127.0.0.1:1", "router-1 router 127.0.0.1:1 x"} {
		_, err := ParseDaemons(line)
		require.Error(t, err, line)
	}
}

// Guards against costs that are not divided by the interval, and against counting a
// daemon whose metrics could not be read as one without costs.
func TestCostsArePerSecondAndListReadErrors(t *testing.T) {
	start := time.Unix(0, 0)
	first := sample{At: start, Ticks: 100, BusyNS: 1e6, BytesOut: 1_000, cpuSeconds: 1}
	last := sample{At: start.Add(10 * time.Second), Ticks: 600, BusyNS: 101e6, BytesOut: 21_000, cpuSeconds: 2}
	rows := &table.Table[string, daemonRow]{}
	rows.Put("router-1", daemonRow{Daemon: Daemon{Name: "router-1", Group: "router"}, first: first, last: last})
	rows.Put("router-2", daemonRow{Daemon: Daemon{Name: "router-2", Group: "router"}, err: errTruncated})
	c := newCosts(rows)
	require.Len(t, c.ByGroup["router"], 1)
	require.InDelta(t, 0.01, c.ByGroup["router"][0].ControlCPU, 1e-9)
	require.InDelta(t, 2_000, c.ByGroup["router"][0].PeerBytesOutPerSec, 1e-9)
	require.InDelta(t, 50, c.ByGroup["router"][0].TicksPerSec, 1e-9)
	var b strings.Builder
	require.NoError(t, c.Write(&b))
	require.Contains(t, b.String(), "| router | 1 | process, % of a core | 10.000 | 10.000 | 10.000 |")
	require.Contains(t, b.String(), "could not read router-2: ")
}
