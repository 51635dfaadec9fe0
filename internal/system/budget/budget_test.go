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

// router is one router's world with a platform that holds one shard.
type router struct {
	*world.World
	systems []world.System
	now     table.Instant
	version uint64
	stored  table.ShardContent
}

func newRouter(deposit table.Tokens) *router {
	self := table.Process{Holder: table.Holder{Process: "r1", Incarnation: 7}, Role: table.RoleRouter, State: table.ProcessLive}
	w := world.New(world.Params{
		Self: self, Shards: 1, GrantLifetime: 30 * time.Minute, SettleInterval: 2 * time.Minute,
	}, 1)
	r := &router{World: w, systems: []world.System{ledger.New(), budget.New()}, version: 1}
	r.stored.Insert(testBudget).Deposited = deposit
	return r
}

// run ticks and answers platform calls until no command is left and no tick is due.
func (r *router) run() {
	for range 50 {
		r.Tick(r.now, r.systems)
		reads, writes := r.Out.ReadShards, r.Out.WriteShards
		r.Clear()
		for range reads {
			r.In.ShardReads = append(r.In.ShardReads, event.ShardRead{Status: event.CallOK, Version: r.version, Content: r.stored})
		}
		for _, c := range writes {
			status := event.CallConflict
			if c.Version == r.version {
				r.version++
				r.stored = c.Content
				status = event.CallOK
			}
			r.In.ShardWrites = append(r.In.ShardWrites, event.ShardWrite{Sequence: c.Sequence, Status: status, Version: r.version})
		}
		if len(reads)+len(writes) == 0 && r.NextWake() > r.now {
			return
		}
	}
}

// advance runs until the given time has passed.
func (r *router) advance(d time.Duration) {
	end := r.now.Add(d)
	for r.NextWake() <= end {
		r.now = max(r.now, r.NextWake())
		r.run()
	}
	r.now = end
	r.run()
}

func (r *router) request(id table.RequestID, reserve table.Tokens) {
	r.Requests.Insert(table.Request{
		ID: id, Budget: testBudget, Kind: table.ServiceModel, Reserve: reserve, Deadline: table.Never,
	}, table.RequestReserving)
}

func (r *router) end(id table.RequestID, prompt, output table.Tokens) {
	r.Requests.End(r.Requests.Get(id), table.Outcome{OK: true, Ran: table.DidRun, Prompt: prompt, Output: output})
	r.run()
}

// Guards against a request that runs without a reservation from a grant that
// is in the ledger, and against a bill that is not the true count.
func TestRequestReservesFromLedgerGrantAndSettlesTrueCount(t *testing.T) {
	r := newRouter(10_000)
	r.request("workshop/a", 500)
	r.run()
	require.Equal(t, table.RequestQueued, r.Requests.Get("workshop/a").State())
	require.GreaterOrEqual(t, r.stored.Find(testBudget).GrantOf(r.Self()).Amount, table.Tokens(500))
	r.end("workshop/a", 100, 50)
	require.Equal(t, table.Tokens(150), r.Requests.Get("workshop/a").Outcome.Charged)
	r.run()
	require.Equal(t, table.Tokens(150), r.Budgets.Get(testBudget).Spent, "a request was settled twice")
	r.advance(3 * time.Minute)
	require.Equal(t, table.Tokens(150), r.stored.Find(testBudget).Settled)
	require.Zero(t, r.Budgets.Get(testBudget).Spent)
}

// Guards against a request that is let through beyond the deposit.
func TestRefusesWhenBudgetIsExhausted(t *testing.T) {
	r := newRouter(900)
	r.request("workshop/a", 500)
	r.request("workshop/b", 500)
	r.run()
	r.advance(time.Second)
	require.Equal(t, table.RequestQueued, r.Requests.Get("workshop/a").State())
	b := r.Requests.Get("workshop/b")
	require.Equal(t, table.RequestEnded, b.State())
	require.Equal(t, table.CodeBudgetExhausted, b.Outcome.Code)
	require.Equal(t, table.NotRun, b.Outcome.Ran)
}

// Guards against a top-up that counts twice when an operator repeats it.
func TestRepeatedTopUpCountsOnce(t *testing.T) {
	r := newRouter(0)
	for reply := uint64(1); reply <= 2; reply++ {
		r.In.TopUps = append(r.In.TopUps, event.TopUp{Reply: reply, Budget: testBudget, Amount: 700, ID: "order-1"})
		r.run()
	}
	require.Equal(t, table.Tokens(700), r.stored.Find(testBudget).Deposited)
}

// Guards against grants that stay with a router that shut down gracefully.
func TestDrainReturnsGrants(t *testing.T) {
	r := newRouter(10_000)
	r.request("workshop/a", 500)
	r.run()
	r.Draining = true
	r.run()
	require.Equal(t, table.Tokens(500), r.stored.Find(testBudget).GrantOf(r.Self()).Amount)
	r.end("workshop/a", 100, 50)
	require.Empty(t, r.stored.Find(testBudget).Grants)
	require.Equal(t, table.Tokens(150), r.stored.Find(testBudget).Settled)
}
