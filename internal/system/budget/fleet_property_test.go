package budget_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/system/ledger"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Guards against overspend, broken ledger invariants, double or missing charges and grants
// that are never recovered, under random interleavings of failures. The reference is a
// central counter of what the agents ran.
func TestNoOverspendUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lifetime := time.Duration(rapid.SampledFrom([]int{20, 60, 600}).Draw(t, "lifetime")) * time.Second
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 3, 2, world.Params{
			LedgerShards: 2, GrantLifetime: lifetime, SettleInterval: 5 * time.Second,
			ReduceLedgerLoad: rapid.Bool().Draw(t, "many budgets"),
		})
		f.staleReads = rapid.Bool().Draw(t, "stale reads")
		f.duplicateMessages = rapid.Bool().Draw(t, "duplicates")
		budgets := []table.BudgetID{"a/one", "b/two"}
		for _, id := range budgets {
			f.deposit(id, table.Tokens(rapid.IntRange(0, 3000).Draw(t, "deposit")))
		}
		steps := rapid.IntRange(10, 60).Draw(t, "steps")
		for range steps {
			applyRandomAction(t, f, budgets)
			checkInvariants(t, f)
		}
		checkFinalState(t, f, budgets)
	})
}

// maxIdleReads limits the shard reads of three routers with two shards within 30 s without
// requests, to detect systems that poll the platform.
const maxIdleReads = 30

func applyRandomAction(t *rapid.T, f *fleet, budgets []table.BudgetID) {
	router := rapid.SampledFrom(f.routerIDs).Draw(t, "router")
	id := rapid.SampledFrom(budgets).Draw(t, "budget")
	r := f.routers[router]
	a := f.agents[rapid.IntRange(0, len(f.agents)-1).Draw(t, "agent")]
	switch action := rapid.IntRange(0, 19).Draw(t, "action"); action {
	default:
		for range rapid.IntRange(1, 6).Draw(t, "burst") {
			f.addRequest(router, id, table.Tokens(rapid.IntRange(1, 400).Draw(t, "reserve")))
		}
	case 8, 9:
		f.topUp(router, id, table.Tokens(rapid.IntRange(1, 800).Draw(t, "amount")),
			fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id")))
	case 10, 11:
		other := rapid.SampledFrom([]table.ProcessID{"r0", "r1", "r2", "a0", "a1", platformID}).Draw(t, "other")
		f.partitioned[[2]table.ProcessID{router, other}] = !f.isPartitioned(router, other)
		delete(f.partitioned, [2]table.ProcessID{other, router})
	case 12:
		f.store.up = !f.store.up
	case 13, 14:
		f.store.lostAnswers = append(f.store.lostAnswers, rapid.IntRange(1, 3).Draw(t, "lose"))
	case 15:
		if r.alive {
			f.kill(r)
		} else {
			f.startRouter(router)
		}
	case 16:
		if a.alive {
			f.killAgent(a)
		} else {
			a.firstIncarnation, a.presumedGoneAt = false, 0
			f.startAgent(a)
		}
	case 17, 18:
		pauseOrResume(t, f, r)
	case 19:
		f.partitioned = map[[2]table.ProcessID]bool{}
	}
	f.refreshProcesses()
	f.runUntil(f.now + time.Duration(rapid.SampledFrom([]int{1, 20, 400, 3000, 12000}).Draw(t, "ms"))*time.Millisecond)
}

// pauseOrResume pauses or resumes a router; the others may consider a paused one gone.
func pauseOrResume(t *rapid.T, f *fleet, r *simRouter) {
	switch {
	case !r.alive:
	case r.paused:
		f.resume(r)
	default:
		r.paused = true
		if rapid.Bool().Draw(t, "believed gone") {
			r.presumedGoneAt, r.presumedGone = f.now+2*time.Second, true
		}
	}
}

func checkInvariants(t *rapid.T, f *fleet) {
	if len(f.violations) > 0 {
		t.Fatalf("at %v: %v", f.now, f.violations[0])
	}
	for id, n := range f.runs {
		if n > 1 || f.billed[id] > 1 {
			t.Fatalf("%s ran %d times and was billed %d times", id, n, f.billed[id])
		}
	}
	for _, name := range f.routerIDs {
		r := f.routers[name]
		if ledger.SelfFenced(r.world) && !r.presumedGone {
			t.Fatalf("%s considers itself fenced, but was never presumed gone", name)
		}
		r.world.Budgets.Each(func(id table.BudgetID, b *table.Budget) {
			if b.Reserved < 0 || b.Unsettled < 0 || b.GrantedSliceTokens < 0 || b.ReceivedSliceTokens < 0 || b.ToWithhold < 0 {
				t.Fatalf("%s: negative amount in %+v", name, *b)
			}
		})
	}
}

// checkFinalState ends all failures and shuts the routers down in sequence. It then checks
// that all spend is settled or withheld and that no grant is left.
func checkFinalState(t *rapid.T, f *fleet, budgets []table.BudgetID) {
	f.endFailures()
	for _, name := range f.routerIDs {
		if !f.routers[name].alive {
			f.startRouter(name)
		}
	}
	f.runUntil(f.now + 30*time.Second)
	// A fenced router drains and exits, and is then restarted.
	for _, name := range f.routerIDs {
		if ledger.SelfFenced(f.routers[name].world) {
			f.startRouter(name)
		}
	}
	f.runUntil(f.now + 30*time.Second)
	reads := f.store.reads
	f.runUntil(f.now + 30*time.Second)
	if n := f.store.reads - reads; n > maxIdleReads {
		t.Fatalf("%d shard reads in 30 s without requests", n)
	}
	checkInvariants(t, f)
	for _, name := range f.routerIDs[1:] {
		f.routers[name].world.Draining = true
		f.tick(f.routers[name])
	}
	f.runUntil(f.now + 30*time.Second)
	for _, name := range f.routerIDs[1:] {
		f.kill(f.routers[name])
	}
	f.runUntil(f.now + 60*time.Second)
	f.routers[f.routerIDs[0]].world.Draining = true
	f.tick(f.routers[f.routerIDs[0]])
	f.runUntil(f.now + 60*time.Second)
	checkInvariants(t, f)
	for _, name := range f.routerIDs {
		if n := f.routers[name].world.Requests.Len(); n > 0 {
			t.Fatalf("%s: %d requests never ended", name, n)
		}
	}
	for _, id := range budgets {
		row := f.ledgerRow(id)
		spent := f.spent[id]
		if len(row.Grants) > 0 {
			t.Fatalf("%s: grants remain: %+v", id, row.Grants)
		}
		if row.Settled+row.Withheld < spent {
			t.Fatalf("%s: settled %d and withheld %d, but spent %d", id, row.Settled, row.Withheld, spent)
		}
		if row.Withheld == 0 && row.Settled != spent {
			t.Fatalf("%s: settled %d, but spent %d", id, row.Settled, spent)
		}
	}
}
