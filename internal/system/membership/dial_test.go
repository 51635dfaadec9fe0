package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// Guards against a dial that is forgotten when another event ticks before it is
// due: a lost session would then be opened again only with the next heartbeat.
func TestDueDialSurvivesOtherTicks(t *testing.T) {
	w, systems := newRouter()
	w.In.ProcessLists = []event.ProcessList{{Processes: []table.Process{agent("agent-1", 7)}}}
	w.Tick(0, systems)
	require.Len(t, w.Out.Dials, 1)
	w.Clear()
	w.Tick(table.Instant(time.Millisecond), systems)
	require.Empty(t, w.Out.Dials)
	require.LessOrEqual(t, w.NextWake(), table.Instant(2*firstRedial))
	w.Tick(w.NextWake(), systems)
	require.Len(t, w.Out.Dials, 1)
}

// Guards against a heartbeat that does not make a suspect process live at once.
func TestHeartbeatMakesSuspectLive(t *testing.T) {
	w, systems := newRouter()
	w.In.SessionUps = []event.SessionUp{{Session: 1, Process: agent("agent-1", 7)}}
	w.Tick(0, systems)
	late := table.Instant(0).Add((suspectAfter + 1) * time.Second)
	w.Tick(late, systems)
	require.Equal(t, table.ProcessSuspect, w.Processes.Get("agent-1").State)
	w.In.Heartbeats = []event.Heartbeat{{Peer: table.Holder{Process: "agent-1", Incarnation: 7}}}
	w.Tick(late.Add(time.Millisecond), systems)
	require.Equal(t, table.ProcessLive, w.Processes.Get("agent-1").State)
}
