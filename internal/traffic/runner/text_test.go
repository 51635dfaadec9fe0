package runner

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/wire"
)

// recordingSender stores the chunks that it is sent and counts the ends.
type recordingSender struct {
	chunks   []wire.Chunk
	endCount int
}

func (c *recordingSender) Send(t wire.Type, body any) error {
	switch m := body.(type) {
	case *wire.Chunk:
		c.chunks = append(c.chunks, *m)
	case *wire.End:
		c.endCount++
	}
	return nil
}

// Guards against a replay that loses, repeats or merges chunks: it must consist of the run's
// chunks that end after the requested position.
func TestReplayMatchesChunksOfRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAnswer("college/key", "", 0)
		live := &recordingSender{}
		a.subscribe(subscriber{sender: live, attempt: 1}, 0)
		n := rapid.IntRange(0, 20).Draw(t, "chunks")
		for range n {
			a.append(table.Tokens(rapid.IntRange(1, 9).Draw(t, "tokens")), rapid.String().Draw(t, "text"))
		}
		if rapid.Bool().Draw(t, "finished") {
			a.finish(wire.End{Status: event.AttemptDone})
		}
		from := table.Tokens(rapid.IntRange(0, 100).Draw(t, "from"))
		replayed := &recordingSender{}
		a.subscribe(subscriber{sender: replayed, attempt: 1}, from)
		var expected []wire.Chunk
		for _, c := range live.chunks {
			if c.Position+c.Tokens > from {
				expected = append(expected, c)
			}
		}
		require.Equal(t, expected, replayed.chunks)
		require.Equal(t, live.endCount, replayed.endCount)
	})
}
