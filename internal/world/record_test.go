package world

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/table"
)

// Guards against texts of clients that fill the memory long after their requests: decisions
// are kept for explain and wait for the log.
func TestRecordedTextsAreShort(t *testing.T) {
	const limit = 600
	w := New(Params{}, 1)
	long := strings.Repeat("x", 64<<10)
	w.RecordDecision(table.RequestID(long), "system", "refused: "+long, table.Input{Name: "part", Value: long})
	d := w.Decisions[0]
	require.LessOrEqual(t, len(d.Request), limit)
	require.LessOrEqual(t, len(d.Decision), limit)
	require.LessOrEqual(t, len(d.Inputs[0].Value), limit)
	require.True(t, strings.HasPrefix(string(d.Request), long[:limit/2]))
}
