package allowance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/table"
)

// Guards against a request that is refused although what is left covers it: the
// rest is held by another router, and the store is out of reach.
func TestTransferServesRequestWhileStoreIsDown(t *testing.T) {
	f := newFleet(1, 2, 100_000)
	a, b := f.routers[0], f.routers[1]
	f.request(a, 100, 0)
	f.run(700 * time.Millisecond)
	f.storeUp = false
	free := a.world.Accounts.Get(customer).Free()
	require.Positive(t, free)
	f.run(600 * time.Millisecond)
	served := f.served + running(b)
	f.request(b, b.world.Accounts.Get(customer).Free()+free/2, 0)
	f.run(100 * time.Millisecond)
	require.Empty(t, f.refused)
	require.Equal(t, served+1, f.served+running(b))
	check(t, f)
}

// Guards against a total that is lost in margins when all routers die at once.
func TestMostRemainsAfterAllRoutersDie(t *testing.T) {
	f := newFleet(2, 4, 1_000_000)
	for range 40 {
		for _, r := range f.routers {
			f.request(r, 500, 0)
		}
		f.run(100 * time.Millisecond)
	}
	left := f.total - f.spent
	for _, r := range f.routers {
		f.kill(r)
	}
	for _, r := range f.routers {
		f.start(r)
	}
	f.run(time.Second)
	closed := f.content.Closed[customer]
	require.GreaterOrEqual(t, closed, f.spent-table.Tokens(4*500))
	require.Less(t, closed-f.spent, left/4, "margins were %d of %d", closed-f.spent, left)
}

// Guards against a limit that goes up again while a write that lowers it may still
// be carried out: its answer was lost, and the next call only tells that this
// second write was not done.
func TestLateWriteStillBindsAfterRefusedCall(t *testing.T) {
	f := newFleet(7, 1, 100_000)
	r := f.routers[0]
	f.request(r, 3000, 0)
	f.run(3 * time.Second)
	before := r.world.Accounts.Get(customer).Limit
	// The total goes down, so that the router gives most of its limit back.
	f.total = before - 500
	f.loseNext = lostLate
	f.configure(r)
	r.world.LimitShare.WrittenAt = 0
	f.tick(r)
	f.run(time.Millisecond)
	lowered := r.world.Accounts.Get(customer).Limit
	require.Less(t, lowered, before)
	f.storeUp = false
	for range 300 {
		f.run(time.Millisecond)
		require.LessOrEqual(t, r.world.Accounts.Get(customer).Limit, lowered)
	}
	f.storeUp = true
	f.run(3 * time.Second)
	check(t, f)
}

// Guards against totals that are lost bit by bit when routers die again and again:
// margins get smaller with each death.
func TestRepeatedDeathsCostLessAndLess(t *testing.T) {
	f := newFleet(6, 4, 1_000_000)
	for range 4 {
		for range 20 {
			for _, r := range f.routers {
				f.request(r, 200, 0)
			}
			f.run(100 * time.Millisecond)
		}
		for _, r := range f.routers {
			f.kill(r)
		}
		for _, r := range f.routers {
			f.start(r)
		}
		f.run(time.Second)
	}
	lost := f.content.Closed[customer] - f.spent
	require.Less(t, lost, f.total/2, "16 deaths cost %d of %d", lost, f.total)
}

// Guards against a refusal that is final although a top-up would help, and one
// that promises more although all is spent.
func TestSpentTotalIsRefusedAsExhausted(t *testing.T) {
	f := newFleet(3, 1, 1000)
	f.request(f.routers[0], 990, 0)
	f.run(3 * time.Second)
	f.request(f.routers[0], 990, 0)
	f.run(100 * time.Millisecond)
	f.request(f.routers[0], 990, 0)
	f.run(100 * time.Millisecond)
	require.Positive(t, f.refused[table.CodeBudgetExhausted]+f.refused[table.CodeBudgetUnreachable])
	check(t, f)
}

// Guards against a total that is spent but counts as held by others, because what
// one router passed to another one is missed: clients would come back in vain.
func TestSpentTransfersCountOnce(t *testing.T) {
	f := newFleet(8, 2, 30_000)
	a, b := f.routers[0], f.routers[1]
	// Router b spends all that it gets, also from a.
	for range 60 {
		f.request(b, 900, 0)
		f.run(100 * time.Millisecond)
	}
	f.run(3 * time.Second)
	require.Positive(t, b.world.Accounts.Get(customer).TransferredIn+a.world.Accounts.Get(customer).TransferredOut)
	f.refused = map[table.Code]int{}
	// What is in progress may still turn out to cost less.
	open := a.world.Accounts.Get(customer).Reserved + b.world.Accounts.Get(customer).Reserved
	f.request(b, f.total-(f.spent-open)+1, 0)
	f.run(100 * time.Millisecond)
	require.Equal(t, map[table.Code]int{table.CodeBudgetExhausted: 1}, f.refused)
}

// Guards against a limit that a router keeps although it shuts down without work.
func TestClosingRouterReturnsItsLimit(t *testing.T) {
	f := newFleet(4, 2, 100_000)
	r := f.routers[0]
	f.request(r, 200, 0)
	f.run(500 * time.Millisecond)
	require.NotNil(t, f.content.Find(r.world.Self()))
	r.world.Exchanges.Each(func(id table.ExchangeID, x *table.Exchange) {
		x.State, x.MayHaveRun = table.ExchangeEnded, true
		r.world.ExchangesEnded.Add(id)
	})
	r.world.Draining, r.world.Closing = true, true
	f.tick(r)
	f.run(100 * time.Millisecond)
	require.Nil(t, f.content.Find(r.world.Self()))
	require.LessOrEqual(t, f.content.Closed[customer], table.Tokens(200))
	require.True(t, r.world.LimitShare.Closed)
}

// Guards against a copy of the ledger that differs from it after changes that
// other routers told of: the next write would store the difference.
func TestToldChangesKeepCopiesEqual(t *testing.T) {
	f := newFleet(5, 3, 500_000)
	for range 30 {
		for _, r := range f.routers {
			f.request(r, 700, 50)
		}
		f.run(50 * time.Millisecond)
	}
	f.run(3 * time.Second)
	for _, r := range f.routers {
		s := &r.world.LimitShare
		if s.Revision != f.revision {
			continue
		}
		require.Equal(t, f.content.Closed, s.Content.Closed)
		require.ElementsMatch(t, f.content.Holders, s.Content.Holders)
	}
}
