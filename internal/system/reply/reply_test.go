package reply

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Guards against a second reply to a request, and against ended requests that are never
// removed.
func TestEndedRequestIsAnsweredOnce(t *testing.T) {
	w := world.New(world.Params{}, 1)
	w.Requests.Insert(table.Request{ID: "c/k", Reserved: 5}, table.RequestRunning)
	w.ReplyIDs.Put("c/k", 9)
	w.Requests.End(w.Requests.Get("c/k"), table.Outcome{OK: true, OutputTokens: 3})

	w.Tick(1, []world.System{world.SystemFunc(Run)})
	require.Empty(t, w.Out.Replies, "the reservation is not settled yet")
	require.EqualValues(t, 1, w.NextWake())

	w.Requests.Get("c/k").Reserved = 0
	w.Tick(2, []world.System{world.SystemFunc(Run)})
	require.Len(t, w.Out.Replies, 1)
	require.EqualValues(t, 9, w.Out.Replies[0].ReplyID)
	require.EqualValues(t, 3, w.Out.Replies[0].Outcome.OutputTokens)
	w.ClearOutbox()
	w.Tick(3, []world.System{world.SystemFunc(Run)})
	require.Empty(t, w.Out.Replies)
	require.Zero(t, w.Requests.Len())
	require.EqualValues(t, 1, *w.Counters.Get("requests.ok"))
}
