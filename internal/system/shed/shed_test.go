package shed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/table"
)

// holdings generates a table of connections and requests.
var holdings = rapid.Custom(func(t *rapid.T) []table.Holding {
	rows := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) table.Holding {
		return table.Holding{
			Class: table.ListenerClass(rapid.IntRange(0, int(table.ListenerClasses)-1).Draw(t, "class")), Connection: rapid.Bool().Draw(t, "connection"),
			Served: rapid.Bool().Draw(t, "served"), Phase: table.HoldingPhase(rapid.IntRange(0, int(table.HoldingSending)).Draw(t, "phase")),
			PhaseAge: time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "age")), Moved: rapid.Int64Range(0, 8<<20).Draw(t, "moved"),
			Bytes: rapid.Int64Range(0, 4<<20).Draw(t, "bytes"),
		}
	}), 0, 40).Draw(t, "rows")
	for i := range rows {
		rows[i].ID = table.HoldingID(i + 1)
	}
	return rows
})

// keepsPace reports whether a client has moved what the pace asks for, or a second less.
func keepsPace(h *table.Holding) bool {
	return float64(h.Moved) > (h.PhaseAge-time.Second).Seconds()*minPace
}

// Guards against room that is made at the cost of sound clients: a request that is being
// worked on, a client that keeps the pace, or one that keeps its connection for the next
// request.
func TestMemoryComesFromStalledClientsOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows, need := holdings.Draw(t, "rows"), rapid.Int64Range(1, 32<<20).Draw(t, "need")
		ended := ForMemory(rows, need)
		freed := int64(0)
		for _, id := range ended {
			h := &rows[id-1]
			require.NotEqual(t, table.HoldingWorking, h.Phase)
			require.False(t, keepsPace(h))
			require.False(t, h.Phase == table.HoldingIdle && h.Served)
			freed += h.Bytes
		}
		if len(ended) > 0 {
			require.GreaterOrEqual(t, freed, need)
		}
	})
}

// Guards against clients that lose their requests although nobody gets room by it, and
// against many that end where one holds enough.
func TestMemoryComesFromLargestHoldings(t *testing.T) {
	stalled := func(id table.HoldingID, bytes int64) table.Holding {
		return table.Holding{ID: id, Phase: table.HoldingReceiving, PhaseAge: 10 * time.Second, Bytes: bytes}
	}
	rows := []table.Holding{stalled(1, 10), stalled(2, 1000), stalled(3, 100)}
	require.Equal(t, []table.HoldingID{2}, ForMemory(rows, 1000))
	require.Equal(t, []table.HoldingID{2, 3}, ForMemory(rows, 1001))
	require.Empty(t, ForMemory(rows, 1111))
}

// Guards against a new connection that is refused while stalled ones stay, that ends one of
// another class, one whose request is being worked on, or one whose client keeps the pace: a
// stream is cut off if its connection ends while an event is written.
func TestConnectionComesFromWorstOfItsClass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := holdings.Draw(t, "rows")
		id, found := ForConnection(rows, table.ClientListener)
		for i := range rows {
			h := &rows[i]
			sound := h.Phase == table.HoldingWorking || h.Phase != table.HoldingIdle && keepsPace(h)
			if h.Class != table.ClientListener || !h.Connection || sound {
				require.False(t, found && h.ID == id)
				continue
			}
			require.True(t, found)
			worst := &rows[id-1]
			require.False(t, worst.Served && !h.Served, "a connection without a request is older")
			if worst.Served == h.Served {
				require.GreaterOrEqual(t, lag(worst), lag(h))
			}
		}
	})
}

// Guards against clients that hold a connection for good, and against an end of those that
// only keep it open: the server's timeout for idle connections is longer.
func TestOverdueClientsEnd(t *testing.T) {
	row := func(phase table.HoldingPhase, age time.Duration, moved int64) table.Holding {
		return table.Holding{ID: 1, Phase: phase, PhaseAge: age, Moved: moved}
	}
	for _, phase := range []table.HoldingPhase{table.HoldingReceiving, table.HoldingSending} {
		require.NotEmpty(t, Overdue([]table.Holding{row(phase, time.Minute, 100)}))
		require.Empty(t, Overdue([]table.Holding{row(phase, 20*time.Second, 0)}))
		require.Empty(t, Overdue([]table.Holding{row(phase, time.Hour, 3600*minPace)}))
	}
	require.Empty(t, Overdue([]table.Holding{row(table.HoldingWorking, time.Hour, 0), row(table.HoldingIdle, time.Hour, 0)}))
}
