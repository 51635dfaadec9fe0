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

// Guards against overspend, a broken ledger row, a double or missing bill and
// grants that stay lost, under generated interleavings of failures. A central
// counter at the agents is the reference.
func TestNoOverspendUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lifetime := time.Duration(rapid.SampledFrom([]int{20, 60, 600}).Draw(t, "lifetime")) * time.Second
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 3, 2, world.Params{
			Shards: 2, GrantLifetime: lifetime, SettleInterval: 5 * time.Second,
			ManyBudgets: rapid.Bool().Draw(t, "many budgets"),
		})
		f.staleReads = rapid.Bool().Draw(t, "stale reads")
		f.duplicates = rapid.Bool().Draw(t, "duplicates")
		budgets := []table.BudgetID{"a/one", "b/two"}
		for _, id := range budgets {
			f.deposit(id, table.Tokens(rapid.IntRange(0, 3000).Draw(t, "deposit")))
		}
		steps := rapid.IntRange(10, 60).Draw(t, "steps")
		for range steps {
			act(t, f, budgets)
			check(t, f)
		}
		settleDown(t, f, budgets)
	})
}

// quietReads bounds the shard reads of three routers with two shards in 30 s
// without requests, so that no system polls the platform.
const quietReads = 30

func act(t *rapid.T, f *fleet, budgets []table.BudgetID) {
	router := rapid.SampledFrom(f.names).Draw(t, "router")
	id := rapid.SampledFrom(budgets).Draw(t, "budget")
	r := f.routers[router]
	a := f.agents[rapid.IntRange(0, len(f.agents)-1).Draw(t, "agent")]
	switch action := rapid.IntRange(0, 19).Draw(t, "action"); action {
	default:
		for range rapid.IntRange(1, 6).Draw(t, "burst") {
			f.request(router, id, table.Tokens(rapid.IntRange(1, 400).Draw(t, "reserve")))
		}
	case 8, 9:
		f.topUp(router, id, table.Tokens(rapid.IntRange(1, 800).Draw(t, "amount")),
			fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id")))
	case 10, 11:
		other := rapid.SampledFrom([]table.ProcessID{"r0", "r1", "r2", "a0", "a1", platformID}).Draw(t, "other")
		f.cut[[2]table.ProcessID{router, other}] = !f.isCut(router, other)
		delete(f.cut, [2]table.ProcessID{other, router})
	case 12:
		f.store.up = !f.store.up
	case 13, 14:
		f.store.loseNext = append(f.store.loseNext, rapid.IntRange(1, 3).Draw(t, "lose"))
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
			a.first, a.goneAt = false, 0
			f.startAgent(a)
		}
	case 17, 18:
		pauseOrResume(t, f, r)
	case 19:
		f.cut = map[[2]table.ProcessID]bool{}
	}
	f.refreshProcesses()
	f.runUntil(f.now + time.Duration(rapid.SampledFrom([]int{1, 20, 400, 3000, 12000}).Draw(t, "ms"))*time.Millisecond)
}

// pauseOrResume pauses a router; the others may believe that it is gone.
func pauseOrResume(t *rapid.T, f *fleet, r *simRouter) {
	switch {
	case !r.alive:
	case r.paused:
		f.resume(r)
	default:
		r.paused = true
		if rapid.Bool().Draw(t, "believed gone") {
			r.goneAt, r.suspected = f.now+2*time.Second, true
		}
	}
}

func check(t *rapid.T, f *fleet) {
	if len(f.faults) > 0 {
		t.Fatalf("at %v: %v", f.now, f.faults[0])
	}
	for id, n := range f.runs {
		if n > 1 || f.billed[id] > 1 {
			t.Fatalf("%s ran %d times and was billed %d times", id, n, f.billed[id])
		}
	}
	for _, name := range f.names {
		r := f.routers[name]
		if ledger.Fenced(r.world) && !r.suspected {
			t.Fatalf("%s takes itself for fenced, but nobody believed it gone", name)
		}
		r.world.Budgets.Each(func(id table.BudgetID, b *table.Budget) {
			if b.Reserved < 0 || b.Spent < 0 || b.SliceOut < 0 || b.SliceIn < 0 || b.Lost < 0 {
				t.Fatalf("%s: negative amount in %+v", name, *b)
			}
		})
	}
}

// settleDown ends all failures and shuts the routers down one by one: in the
// end, all spend is settled or withheld and no grant is left.
func settleDown(t *rapid.T, f *fleet, budgets []table.BudgetID) {
	f.heal()
	for _, name := range f.names {
		if !f.routers[name].alive {
			f.startRouter(name)
		}
	}
	f.runUntil(f.now + 30*time.Second)
	// A fenced router drains and exits; the platform starts it again.
	for _, name := range f.names {
		if ledger.Fenced(f.routers[name].world) {
			f.startRouter(name)
		}
	}
	f.runUntil(f.now + 30*time.Second)
	reads := f.store.reads
	f.runUntil(f.now + 30*time.Second)
	if n := f.store.reads - reads; n > quietReads {
		t.Fatalf("%d shard reads in 30 s without requests", n)
	}
	check(t, f)
	for _, name := range f.names[1:] {
		f.routers[name].world.Draining = true
		f.tick(f.routers[name])
	}
	f.runUntil(f.now + 30*time.Second)
	for _, name := range f.names[1:] {
		f.kill(f.routers[name])
	}
	f.runUntil(f.now + 60*time.Second)
	f.routers[f.names[0]].world.Draining = true
	f.tick(f.routers[f.names[0]])
	f.runUntil(f.now + 60*time.Second)
	check(t, f)
	for _, name := range f.names {
		if n := f.routers[name].world.Requests.Len(); n > 0 {
			t.Fatalf("%s: %d requests never ended", name, n)
		}
	}
	for _, id := range budgets {
		row := f.rowOf(id)
		spent := f.spent[id]
		if len(row.Grants) > 0 {
			t.Fatalf("%s: grants are left: %+v", id, row.Grants)
		}
		if row.Settled+row.Withheld < spent {
			t.Fatalf("%s: settled %d and withheld %d, but spent %d", id, row.Settled, row.Withheld, spent)
		}
		if row.Withheld == 0 && row.Settled != spent {
			t.Fatalf("%s: settled %d, but spent %d", id, row.Settled, spent)
		}
	}
}
