package health

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Guards against a table that grows as long as clients choose new ids for the parts of their
// prompts: within the lifetime of a row, its size was the clients' choice.
func TestCachedPartsAreBounded(t *testing.T) {
	const requests, partsPerRequest = 4000, 64
	w := world.New(world.Params{}, 1)
	w.Now = table.Instant(time.Second)
	w.DirectEndpoints.Put("i-1", table.DirectEndpoint{ID: "i-1"})
	for n := range requests {
		x := table.Exchange{ID: table.ExchangeID(n + 1), Attempt: 1, State: table.ExchangeRunning, Endpoint: "i-1"}
		for p := range partsPerRequest {
			x.PromptParts = append(x.PromptParts, table.PromptPart{ID: strconv.Itoa(n*partsPerRequest + p)})
		}
		w.Exchanges.Put(x.ID, x)
		w.In.DirectAnswersStarted = []event.DirectAnswerStarted{{Exchange: x.ID, Attempt: 1}}
		Run(w)
		w.Exchanges.Delete(x.ID)
	}
	require.LessOrEqual(t, w.CachedParts.Len(), 5*20_000)
	// The rows of sound clients are still renewed.
	w.Now = w.Now.Add(time.Second)
	x := table.Exchange{ID: 1, Attempt: 1, State: table.ExchangeRunning, Endpoint: "i-1", PromptParts: []table.PromptPart{{ID: "0"}}}
	w.Exchanges.Put(x.ID, x)
	Run(w)
	w.In.DirectAnswersStarted = []event.DirectAnswerStarted{{Exchange: x.ID, Attempt: 1}}
	Run(w)
	require.Equal(t, w.Now, *w.CachedParts.Get(table.CachedPart{Endpoint: "i-1", Part: "0"}))
}
