package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// Guards against losing a pending dial when another event causes a tick before the
// dial is due: a lost session would then be reopened only at the next heartbeat.
func TestPendingDialSurvivesOtherTicks(t *testing.T) {
	w, systems := newRouter()
	w.In.ProcessLists = []event.ProcessList{{Processes: []table.Process{agent("agent-1", 7)}}}
	w.Tick(0, systems)
	require.Len(t, w.Out.Dials, 1)
	w.ClearOutbox()
	w.Tick(table.Instant(time.Millisecond), systems)
	require.Empty(t, w.Out.Dials)
	require.LessOrEqual(t, w.NextWake(), table.Instant(2*minRedialDelay))
	w.Tick(w.NextWake(), systems)
	require.Len(t, w.Out.Dials, 1)
}

// Guards against a suspect process that does not become live with its next
// heartbeat.
func TestHeartbeatMakesSuspectLive(t *testing.T) {
	w, systems := newRouter()
	w.In.SessionsOpened = []event.SessionOpened{{Session: 1, Process: agent("agent-1", 7)}}
	w.Tick(0, systems)
	late := table.Instant(0).Add((suspectIntervals + 1) * time.Second)
	w.Tick(late, systems)
	require.Equal(t, table.ProcessSuspect, w.Processes.Get("agent-1").State)
	w.In.Heartbeats = []event.Heartbeat{{Peer: table.Holder{Process: "agent-1", Incarnation: 7}}}
	w.Tick(late.Add(time.Millisecond), systems)
	require.Equal(t, table.ProcessLive, w.Processes.Get("agent-1").State)
}
