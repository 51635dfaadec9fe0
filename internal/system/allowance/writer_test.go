package allowance_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// Guards against routers of a large fleet that spend most of their calls on
// conflicts with each other, and refuse requests meanwhile.
func TestLargeFleetBatchesLedgerWrites(t *testing.T) {
	f := newFleet(9, 24, 100_000_000)
	f.runSteadyLoad(3 * time.Second)
	calls := f.runSteadyLoad(10 * time.Second)
	require.Empty(t, f.refusals)
	// About five batches a second serve all routers, and each router returns its
	// surplus once in twelve seconds.
	require.Less(t, calls, 100)
	checkInvariants(t, f)
}

// Guards against a fleet that is busy with write conflicts after all routers
// started at once: each needs an entry in the same object.
func TestRestartedRoutersRegisterWithFewCalls(t *testing.T) {
	f := newFleet(10, 24, 10_000_000)
	f.runSteadyLoad(time.Second)
	for _, r := range f.routers {
		f.kill(r)
	}
	for _, r := range f.routers {
		f.start(r)
	}
	before := f.writeCalls
	f.run(500 * time.Millisecond)
	for _, r := range f.routers {
		require.NotNil(t, f.ledger.Find(r.world.Self()), r.name)
	}
	// Each router reads the ledger by a call that conflicts, and some write
	// before they know a router that has an entry.
	require.LessOrEqual(t, f.writeCalls-before, 3*len(f.routers))
	checkInvariants(t, f)
}

// Guards against routers that wait for a writer that cannot reach the store.
func TestRouterWithoutStoreIsNotChosenAsWriter(t *testing.T) {
	f := newFleet(11, 4, 1_000_000)
	f.runSteadyLoad(2 * time.Second)
	f.routers[0].storeUnreachable = true
	f.runSteadyLoad(8 * time.Second)
	require.Empty(t, f.refusals)
	for _, r := range f.routers[1:] {
		// Each router times out once at most, because the writer reports that the
		// store is down.
		if n := r.world.Counters.Get("allowance.requests_unanswered"); n != nil {
			require.LessOrEqual(t, *n, int64(1), r.name)
		}
		require.Less(t, f.now.Sub(r.world.LimitLedgerView.ConfirmedAt), 3*time.Second, r.name)
	}
	checkInvariants(t, f)
}

// Guards against a late request that restores an entry that its router has
// closed: no router would close it again.
func TestLateRequestDoesNotReopenClosedEntry(t *testing.T) {
	f := newFleet(12, 2, 100_000)
	a, b := f.routers[0], f.routers[1]
	f.request(b, 200, 0)
	f.run(300 * time.Millisecond)
	request := event.LimitRequest{
		From:    b.world.Self(),
		Entries: map[table.CustomerID]table.LimitEntry{customer: {Limit: 50_000}}, Urgent: true,
	}
	b.world.Exchanges.Each(func(id table.ExchangeID, x *table.Exchange) {
		x.State, x.MayHaveRun = table.ExchangeEnded, true
		b.world.ExchangesEnded.Add(id)
	})
	b.world.Draining, b.world.Closing = true, true
	f.tick(b)
	f.run(100 * time.Millisecond)
	require.Nil(t, f.ledger.Find(b.world.Self()))
	a.inbox = append(a.inbox, request)
	f.run(time.Second)
	require.Nil(t, f.ledger.Find(b.world.Self()))
	checkInvariants(t, f)
}

// Guards against a copy of the ledger that stays stale because changes of two
// writers arrived out of order.
func TestOutOfOrderLedgerChangesAreApplied(t *testing.T) {
	f := newFleet(13, 3, 500_000)
	f.run(3 * time.Second)
	r := f.routers[2]
	s := &r.world.LimitLedgerView
	revision := s.Revision
	entry := func(limit table.Tokens) []table.LimitHolder {
		return []table.LimitHolder{{Holder: f.routers[0].world.Self(), Entries: map[table.CustomerID]table.LimitEntry{customer: {Limit: limit}}}}
	}
	second := event.LedgerChange{LedgerStep: table.LedgerStep{Previous: revision + 1, Revision: revision + 2, Holders: entry(2000)}}
	first := event.LedgerChange{LedgerStep: table.LedgerStep{Previous: revision, Revision: revision + 1, Holders: entry(1000)}}
	r.inbox = append(r.inbox, second, first)
	f.tick(r)
	require.Equal(t, revision+2, s.Revision)
	require.Equal(t, table.Tokens(2000), s.Content.Find(f.routers[0].world.Self()).Entries[customer].Limit)
	require.Empty(t, s.OutOfOrderSteps)
}

// Guards against a crashed router whose lost tokens are not logged:
// operators could not explain why a customer's budget is used up.
func TestLimitsOfCrashedRoutersAreLogged(t *testing.T) {
	f := newFleet(14, 2, 100_000)
	f.runSteadyLoad(2 * time.Second)
	r := f.routers[1]
	f.kill(r)
	f.start(r)
	f.run(time.Second)
	i := slices.IndexFunc(f.changes, func(c command.StateChange) bool { return c.Subject == "limit" && c.To == "closed" })
	require.GreaterOrEqual(t, i, 0)
	require.Equal(t, string(customer), f.changes[i].ID)
	require.Contains(t, f.changes[i].Reason, "left by r1, which had recorded")
}

// Guards against a log that does not show which router writes the ledger, or
// that a router stopped doing so.
func TestLedgerWriterIsLogged(t *testing.T) {
	f := newFleet(15, 3, 1_000_000)
	f.runSteadyLoad(4 * time.Second)
	f.routers[0].storeUnreachable = true
	f.runSteadyLoad(8 * time.Second)
	logged := func(from, to string) bool {
		return slices.ContainsFunc(f.changes, func(c command.StateChange) bool {
			return c.Subject == "ledger" && c.ID == "writer" && c.From == from && c.To == to
		})
	}
	require.True(t, logged("", "r0"))
	require.True(t, logged("r0", "r1") || logged("r0", "") && logged("", "r1"))
}
