package explain

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Guards against memory use that grows with the number of requests, and against replies
// that contain decisions about other requests.
func TestHistoryIsBoundedAndFoundByIDOrKey(t *testing.T) {
	w := world.New(world.Params{MaxDecisions: 4}, 1)
	for i, id := range []table.RequestID{"c/old", "c/k", "d/k", "c/k", "c/z"} {
		w.RecordDecision(id, "test", string(rune('a'+i)))
		w.Tick(table.Instant(i), []world.System{world.SystemFunc(Run)})
		w.ClearOutbox()
	}
	for query, want := range map[string]string{"c/k": "bd", "k": "bd", "d/k": "c", "old": "", "nothing": ""} {
		event.ExplainQuery{ReplyID: 1, Request: query}.AddTo(&w.In)
		w.Tick(9, []world.System{world.SystemFunc(Run)})
		got := ""
		for _, d := range w.Out.ExplainReplies[0].Decisions {
			got += d.Decision
		}
		require.Equal(t, want, got, query)
		w.ClearOutbox()
	}
}
