package allowance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/table"
)

// spendRest sends requests until none is served any more.
func (f *fleet) spendRest() {
	for range 400 {
		served := f.served
		for range 5 {
			for _, r := range f.routers {
				f.request(r, 600, 50)
			}
			f.run(100 * time.Millisecond)
		}
		if f.served == served {
			return
		}
	}
}

func newFleetForReturn(t require.TestingT, routers int, total table.Tokens) *fleet {
	f := newFleetInEra(1, 1, routers, total)
	f.allComplete = true
	f.runSteadyLoad(2 * time.Second)
	require.Positive(t, f.served)
	return f
}

// Guards against a tenant that spends twice what its routers got in the time that the store
// lost: a router that starts anew takes the limits of the copy for all that was given out.
func TestLimitsThatStoreLostAreNotGivenOutAgain(t *testing.T) {
	for _, routers := range []int{3, 23} {
		f := newFleetForReturn(t, routers, 150_000*table.Tokens(routers)/3)
		copied := f.storedLedger
		f.runSteadyLoad(5 * time.Second)
		f.returnFrom(copied)
		f.runSteadyLoad(time.Second)
		f.kill(f.routers[0])
		f.run(200 * time.Millisecond)
		f.start(f.routers[0])
		f.spendRest()
		checkInvariants(t, f)
	}
}

// Guards against routers that can write the ledger no more after the store returned from a
// copy: each write was refused, and requests with it, although tokens were left.
func TestRestOfTotalIsServedAfterReturn(t *testing.T) {
	for _, routers := range []int{1, 3, 23} {
		f := newFleetForReturn(t, routers, 300_000*table.Tokens(routers))
		copied := f.storedLedger
		f.runSteadyLoad(5 * time.Second)
		f.returnFrom(copied)
		f.run(time.Second)
		before, refused := f.served, f.refusals[table.CodeBudgetUnreachable]
		f.runSteadyLoad(2 * time.Second)
		require.Equal(t, refused, f.refusals[table.CodeBudgetUnreachable], "%d routers", routers)
		require.Equal(t, 20*routers, f.served-before, "%d routers", routers)
		f.spendRest()
		checkInvariants(t, f)
		require.Greater(t, f.spent, f.total*9/10, "%d routers", routers)
	}
}

// Guards against what a router had that died after the copy was made: only the others know it.
func TestLimitOfDeadRouterIsRestored(t *testing.T) {
	f := newFleetForReturn(t, 3, 150_000)
	copied := f.storedLedger
	f.runSteadyLoad(5 * time.Second)
	f.kill(f.routers[0])
	f.returnFrom(copied)
	f.run(100 * time.Millisecond)
	f.start(f.routers[0])
	f.spendRest()
	checkInvariants(t, f)
}

// Guards against a process that starts just after the return and takes the copy for the whole
// ledger, before the others have written what it lacks.
func TestProcessThatStartsInNewEraWaitsForOthers(t *testing.T) {
	for _, delay := range []time.Duration{0, 10 * time.Millisecond, time.Second, 3 * time.Second} {
		f := newFleetForReturn(t, 3, 150_000)
		copied := f.storedLedger
		f.runSteadyLoad(5 * time.Second)
		f.routers[1].storeUnreachable, f.routers[2].storeUnreachable = true, true
		f.kill(f.routers[0])
		f.returnFrom(copied)
		f.start(f.routers[0])
		f.runSteadyLoad(delay)
		f.routers[1].storeUnreachable, f.routers[2].storeUnreachable = false, false
		f.showEra()
		f.spendRest()
		checkInvariants(t, f)
	}
}

// Guards against a write from before the return that is carried out after it, because its
// revision was given out again: it takes back what was written since.
func TestLateWriteOfEarlierEraIsUndone(t *testing.T) {
	f := newFleetForReturn(t, 3, 150_000)
	late := f.storedLedger
	f.runSteadyLoad(2 * time.Second)
	f.returnFrom(late)
	f.runSteadyLoad(time.Second)
	f.storedLedger = storedLedger{revision: f.revision + 1, ledger: late.ledger}
	f.kill(f.routers[0])
	f.run(100 * time.Millisecond)
	f.start(f.routers[0])
	f.spendRest()
	checkInvariants(t, f)
}

// Guards against limits that are given out for good without the entry of a router that reaches
// neither the store nor another router, and states it later.
func TestRouterThatIsCutOffStatesItsEntryLater(t *testing.T) {
	f := newFleetForReturn(t, 3, 150_000)
	copied := f.storedLedger
	f.runSteadyLoad(5 * time.Second)
	cut := f.routers[1]
	cut.storeUnreachable, cut.peersUnreachable = true, true
	for _, r := range f.routers {
		f.disconnect(r, cut.name)
		f.disconnect(cut, r.name)
	}
	f.returnFrom(copied)
	f.runSteadyLoad(20 * time.Second)
	cut.storeUnreachable, cut.peersUnreachable = false, false
	f.showEra()
	f.spendRest()
	checkInvariants(t, f)
}

// Guards against two returns in a row, of which some routers see only the second.
func TestTwoReturnsInARow(t *testing.T) {
	f := newFleetForReturn(t, 3, 300_000)
	copied := f.storedLedger
	f.runSteadyLoad(5 * time.Second)
	f.routers[0].storeUnreachable = true
	f.returnFrom(copied)
	f.runSteadyLoad(20 * time.Millisecond)
	f.returnFrom(copied)
	f.routers[0].storeUnreachable = false
	f.showEra()
	f.runSteadyLoad(time.Second)
	f.kill(f.routers[1])
	f.run(100 * time.Millisecond)
	f.start(f.routers[1])
	f.spendRest()
	checkInvariants(t, f)
}

// Guards against spending beyond the total under generated sequences of returns of the store,
// restarts, outages, lost and delayed writes and top-ups. The first router stays up, and the
// others end only while it knows the last ledger: nobody else knows what the store will lose.
func TestNoOverspendThroughReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.SampledFrom([]int{2, 3, 3, 3, 7}).Draw(t, "routers")
		f := newFleetInEra(1, rapid.Uint64().Draw(t, "seed"), routers, table.Tokens(rapid.IntRange(1_000, 100_000).Draw(t, "total")))
		choose := func(label string, low, high int) int { return rapid.IntRange(low, high).Draw(t, label) }
		copies := []storedLedger{f.storedLedger}
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			applyActionWithReturns(choose, f, &copies)
			checkSpent(t, f)
		}
		f.restore()
		f.showEra()
		f.runSteadyLoad(8 * time.Second)
		checkSpent(t, f)
	})
}

func applyActionWithReturns(choose chooser, f *fleet, copies *[]storedLedger) {
	r := f.routers[choose("router", 0, len(f.routers)-1)]
	switch choose("action", 0, 13) {
	default:
		for range choose("burst", 1, 5) {
			f.request(r, table.Tokens(choose("prompt", 1, 800)), table.Tokens(choose("output", 0, 200)))
		}
	case 6:
		r.storeUnreachable = !r.storeUnreachable
	case 7:
		f.storeUp = !f.storeUp
		f.showEra()
	case 8:
		f.nextFault = writeFault(choose("lose", 1, 3))
	case 9:
		*copies = append(*copies, f.storedLedger)
	case 10:
		f.returnFrom((*copies)[choose("copy", max(0, len(*copies)-3), len(*copies)-1)])
	case 11:
		if f.mayEnd(r) {
			f.kill(r)
			f.run(time.Duration(choose("down", 1, 1000)) * time.Millisecond)
			f.start(r)
		}
	case 12:
		f.total += table.Tokens(choose("top-up", 1, 3000))
		for _, peer := range f.routers {
			f.configure(peer)
		}
	case 13:
		if f.mayEnd(r) {
			r.world.Draining, r.world.Closing = true, true
			f.tick(r)
			f.run(200 * time.Millisecond)
			f.kill(r)
			f.start(r)
		}
	}
	f.run(time.Duration([]int{1, 20, 200, 2500}[choose("ms", 0, 3)]) * time.Millisecond)
}

// mayEnd reports whether a router may end without knowledge that no other has.
func (f *fleet) mayEnd(r *router) bool {
	view := &f.routers[0].world.LimitLedgerView
	if f.routers[0].world.StoreEra.Number != f.era || r.world.LimitLedgerView.StatedEra != f.era {
		return false
	}
	return r != f.routers[0] && r.sessions[f.routers[0].name] != 0 && !view.EarlierKnown && view.Revision == f.revision && len(f.routers[0].inbox) == 0
}

func checkSpent(t require.TestingT, f *fleet) {
	require.LessOrEqual(t, f.spent, f.total, "spent more than the total")
	for _, r := range f.routers {
		if a := r.world.Accounts.Get(customer); a != nil {
			require.GreaterOrEqual(t, a.Available(), table.Tokens(0), "%s: %+v", r.name, *a)
		}
	}
}

// Guards against all routers of a large fleet writing the ledger after a return, each making the
// others' writes fail: one restores it and states the entries of all.
func TestOneRouterRestoresLedger(t *testing.T) {
	for _, routers := range []int{3, 30, 103} {
		f := newFleetForReturn(t, routers, 300_000*table.Tokens(routers))
		copied := f.storedLedger
		f.runSteadyLoad(5 * time.Second)
		f.returnFrom(copied)
		before := f.writeCalls
		f.run(300 * time.Millisecond)
		require.LessOrEqual(t, f.writeCalls-before, 3, "%d routers", routers)
		for _, r := range f.routers {
			require.Equal(t, f.era, r.world.LimitLedgerView.StatedEra, "%s of %d", r.name, routers)
		}
	}
}
