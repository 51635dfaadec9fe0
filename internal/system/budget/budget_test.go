package budget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/budget"
	"laburnumroad.dev/laburnumroad/internal/system/ledger"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const testBudget = table.BudgetID("workshop/main")

// testRouter is the world of one router, with a simulated platform that stores one shard.
type testRouter struct {
	*world.World
	systems       []world.System
	now           table.Instant
	version       uint64
	storedContent table.ShardContent
}

func newTestRouter(deposit table.Tokens) *testRouter {
	self := table.Process{Holder: table.Holder{Process: "r1", Incarnation: 7}, Role: table.RoleRouter, State: table.ProcessLive}
	w := world.New(world.Params{
		Self: self, LedgerShards: 1, GrantLifetime: 30 * time.Minute, SettleInterval: 2 * time.Minute,
	}, 1)
	r := &testRouter{World: w, systems: []world.System{ledger.New(), budget.New()}, version: 1}
	r.storedContent.FindOrInsert(testBudget).Deposited = deposit
	return r
}

// runUntilIdle ticks and answers platform calls until no command and no tick is due.
func (r *testRouter) runUntilIdle() {
	for range 50 {
		r.Tick(r.now, r.systems)
		reads, writes := r.Out.ReadShards, r.Out.WriteShards
		r.ClearOutbox()
		for range reads {
			r.In.ShardReadResults = append(r.In.ShardReadResults, event.ShardReadResult{Status: event.CallOK, Version: r.version, Content: r.storedContent})
		}
		for _, c := range writes {
			status := event.CallConflict
			if c.Version == r.version {
				r.version++
				r.storedContent = c.Content
				status = event.CallOK
			}
			r.In.ShardWriteResults = append(r.In.ShardWriteResults, event.ShardWriteResult{Sequence: c.Sequence, Status: status, Version: r.version})
		}
		if len(reads)+len(writes) == 0 && r.NextWake() > r.now {
			return
		}
	}
}

// advance moves the clock forward by d and runs every tick that becomes due.
func (r *testRouter) advance(d time.Duration) {
	end := r.now.Add(d)
	for r.NextWake() <= end {
		r.now = max(r.now, r.NextWake())
		r.runUntilIdle()
	}
	r.now = end
	r.runUntilIdle()
}

func (r *testRouter) addRequest(id table.RequestID, reserve table.Tokens) {
	r.Requests.Insert(table.Request{
		ID: id, Budget: testBudget, Kind: table.ServiceModel, WantedReservation: reserve, FirstTokenDeadline: table.Never,
	}, table.RequestReserving)
}

func (r *testRouter) endRequest(id table.RequestID, prompt, output table.Tokens) {
	r.Requests.End(r.Requests.Get(id), table.Outcome{OK: true, Ran: table.DidRun, PromptTokens: prompt, OutputTokens: output})
	r.runUntilIdle()
}

// Guards against a request that runs without a reservation from a grant recorded in the
// ledger, and against a charge that differs from the tokens used.
func TestRequestReservesFromLedgerGrantAndSettlesActualCost(t *testing.T) {
	r := newTestRouter(10_000)
	r.addRequest("workshop/a", 500)
	r.runUntilIdle()
	require.Equal(t, table.RequestQueued, r.Requests.Get("workshop/a").State())
	require.GreaterOrEqual(t, r.storedContent.Find(testBudget).GrantOf(r.Self()).Amount, table.Tokens(500))
	r.endRequest("workshop/a", 100, 50)
	require.Equal(t, table.Tokens(150), r.Requests.Get("workshop/a").Outcome.Charged)
	r.runUntilIdle()
	require.Equal(t, table.Tokens(150), r.Budgets.Get(testBudget).Unsettled, "a request was settled twice")
	r.advance(3 * time.Minute)
	require.Equal(t, table.Tokens(150), r.storedContent.Find(testBudget).Settled)
	require.Zero(t, r.Budgets.Get(testBudget).Unsettled)
}

// Guards against requests that are accepted beyond the deposit.
func TestRefusesWhenBudgetIsExhausted(t *testing.T) {
	r := newTestRouter(900)
	r.addRequest("workshop/a", 500)
	r.addRequest("workshop/b", 500)
	r.runUntilIdle()
	r.advance(time.Second)
	require.Equal(t, table.RequestQueued, r.Requests.Get("workshop/a").State())
	b := r.Requests.Get("workshop/b")
	require.Equal(t, table.RequestEnded, b.State())
	require.Equal(t, table.CodeBudgetExhausted, b.Outcome.Code)
	require.Equal(t, table.NotRun, b.Outcome.Ran)
}

// Guards against a repeated top-up with the same id that is counted twice.
func TestRepeatedTopUpCountsOnce(t *testing.T) {
	r := newTestRouter(0)
	for replyID := uint64(1); replyID <= 2; replyID++ {
		r.In.TopUps = append(r.In.TopUps, event.TopUp{ReplyID: replyID, Budget: testBudget, Amount: 700, ID: "order-1"})
		r.runUntilIdle()
	}
	require.Equal(t, table.Tokens(700), r.storedContent.Find(testBudget).Deposited)
}

// Guards against grants that are not returned by a graceful shutdown.
func TestDrainReturnsGrants(t *testing.T) {
	r := newTestRouter(10_000)
	r.addRequest("workshop/a", 500)
	r.runUntilIdle()
	r.Draining = true
	r.runUntilIdle()
	require.Equal(t, table.Tokens(500), r.storedContent.Find(testBudget).GrantOf(r.Self()).Amount)
	r.endRequest("workshop/a", 100, 50)
	require.Empty(t, r.storedContent.Find(testBudget).Grants)
	require.Equal(t, table.Tokens(150), r.storedContent.Find(testBudget).Settled)
}
