package runner

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/wire"
)

// collector keeps what a session is sent.
type collector struct {
	chunks []wire.Chunk
	ends   int
}

func (c *collector) Send(t wire.Type, body any) error {
	switch m := body.(type) {
	case *wire.Chunk:
		c.chunks = append(c.chunks, *m)
	case *wire.End:
		c.ends++
	}
	return nil
}

// Guards against a kept answer that loses, repeats or joins chunks: a replay
// must be the chunks of the run that reach beyond the position asked for.
func TestReplayIsTheChunksOfTheRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAnswer("college/key", "", 0)
		live := &collector{}
		a.subscribe(subscriber{session: live, attempt: 1}, 0)
		n := rapid.IntRange(0, 20).Draw(t, "chunks")
		for range n {
			a.append(table.Tokens(rapid.IntRange(1, 9).Draw(t, "tokens")), rapid.String().Draw(t, "text"))
		}
		if rapid.Bool().Draw(t, "finished") {
			a.finish(wire.End{Status: event.AttemptDone})
		}
		from := table.Tokens(rapid.IntRange(0, 100).Draw(t, "from"))
		replayed := &collector{}
		a.subscribe(subscriber{session: replayed, attempt: 1}, from)
		var expected []wire.Chunk
		for _, c := range live.chunks {
			if c.Position+c.Tokens > from {
				expected = append(expected, c)
			}
		}
		require.Equal(t, expected, replayed.chunks)
		require.Equal(t, live.ends, replayed.ends)
	})
}
