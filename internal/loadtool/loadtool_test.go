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
		Callers: []string{"http://127.0.0.1:1"}, Rate: 100, Duration: time.Second, Timeout: time.Second, MaxOpen: 1000,
		Services: []string{"tutor-model"}, CallShare: 0.25, CallService: "classroom-app", Operation: "progress",
		Budgets: []string{"default", "shop-1"}, Seed: 7,
	}
}

// Guards against a rate that falls when the fleet is slow, which would hide the
// waiting of the requests that were not sent.
func TestScheduleDoesNotWaitForAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newState(testPlan())
		s.plan.MaxOpen = rapid.IntRange(1, 120).Draw(t, "open")
		now := time.Duration(0)
		for now < 2*time.Second {
			now += time.Duration(rapid.IntRange(1, 400).Draw(t, "step")) * time.Millisecond
			s.tick(now)
			if s.open.Len() > 0 && rapid.Bool().Draw(t, "answered") {
				id, _ := s.open.At(0)
				s.inbox = append(s.inbox, ended{call: id, took: time.Millisecond})
			}
			require.LessOrEqual(t, s.open.Len(), s.plan.MaxOpen)
			due := min(s.plan.total(), int(now.Seconds()*s.plan.Rate)+1)
			require.InDelta(t, due, s.result.Sent+s.result.NotSent, 1)
		}
		require.Equal(t, s.plan.total(), s.result.Sent+s.result.NotSent)
	})
}

// Guards against requests that are counted twice or not at all.
func TestEachRequestIsCountedOnce(t *testing.T) {
	s := newState(testPlan())
	s.tick(time.Second)
	require.Len(t, s.outbox, 100)
	for _, c := range s.outbox {
		e := ended{call: c.id, firstToken: time.Millisecond, gaps: []time.Duration{time.Millisecond}, took: time.Second, tokens: 2}
		if c.id%10 == 0 {
			e.code = "BUSY"
		}
		s.inbox = append(s.inbox, e, e)
	}
	s.tick(time.Second)
	require.True(t, s.done())
	require.Equal(t, 90, s.result.Whole)
	require.Equal(t, map[string]int{"BUSY": 10}, s.result.Codes)
	require.EqualValues(t, 90, s.result.Took.TotalCount())
	require.EqualValues(t, s.result.FirstToken.TotalCount(), s.result.Gap.TotalCount())
}

// Guards against a list of daemons that is read wrongly without an error.
func TestParseDaemonsRefusesBadLines(t *testing.T) {
	daemons, err := ParseDaemons("router-1 router 127.0.0.1:1 42\n\nagent-1 agent 127.0.0.1:2 43\n")
	require.NoError(t, err)
	require.Equal(t, Daemon{"agent-1", "agent", "127.0.0.1:2", 43}, daemons[1])
	for _, bad := range []string{"router-1 router 127.0.0.1:1", "router-1 router 127.0.0.1:1 x"} {
		_, err := ParseDaemons(bad)
		require.Error(t, err, bad)
	}
}

// Guards against costs that are not per second, and against a daemon that could
// not be read and is counted as free.
func TestCostsArePerSecondAndNameWhatFailed(t *testing.T) {
	start := time.Unix(0, 0)
	first := reading{At: start, Ticks: 100, BusyNS: 1e6, BytesOut: 1_000, cpuSeconds: 1}
	last := reading{At: start.Add(10 * time.Second), Ticks: 600, BusyNS: 101e6, BytesOut: 21_000, cpuSeconds: 2}
	rows := &table.Table[string, observed]{}
	rows.Put("router-1", observed{Daemon: Daemon{Name: "router-1", Group: "router"}, first: first, last: last})
	rows.Put("router-2", observed{Daemon: Daemon{Name: "router-2", Group: "router"}, err: errTruncated})
	c := costsOf(rows)
	require.Len(t, c.ByName["router"], 1)
	require.InDelta(t, 0.01, c.ByName["router"][0].Control, 1e-9)
	require.InDelta(t, 2_000, c.ByName["router"][0].OutPerSec, 1e-9)
	require.InDelta(t, 50, c.ByName["router"][0].TicksPerSec, 1e-9)
	var b strings.Builder
	require.NoError(t, c.Write(&b))
	require.Contains(t, b.String(), "| router | 1 | process, % of a core | 10.000 | 10.000 | 10.000 |")
	require.Contains(t, b.String(), "not read: router-2")
}
