package allowance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/table"
)

// Guards against spending beyond the total, a ledger that allocates more than
// the total, and a router that spends more than it holds, under generated
// sequences of crashes, pauses, partitions, outages and lost or delayed
// writes.
func TestNoOverspendOfLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 3, table.Tokens(rapid.IntRange(100, 20_000).Draw(t, "total")))
		choose := func(label string, low, high int) int { return rapid.IntRange(low, high).Draw(t, label) }
		for range rapid.IntRange(5, 50).Draw(t, "steps") {
			applyRandomAction(choose, f)
			checkInvariants(t, f)
		}
		f.restore()
		checkInvariants(t, f)
	})
}

// Guards against the same faults in fleets in which few routers hold limits of a
// customer and the others get tokens from them.
func TestNoOverspendInLargeFleets(t *testing.T) {
	for _, size := range []struct{ routers, cases int }{{30, 8}, {100, 2}} {
		for seed := range uint64(size.cases) {
			t.Run(fmt.Sprintf("routers=%d/seed=%d", size.routers, seed), func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, uint64(size.routers)))
				f := newFleet(seed, size.routers, table.Tokens(100+r.IntN(200_000)))
				choose := func(_ string, low, high int) int { return low + r.IntN(high-low+1) }
				for range 25 {
					applyRandomAction(choose, f)
					checkInvariants(t, f)
				}
				f.restore()
				checkInvariants(t, f)
			})
		}
	}
}

// chooser returns a number within bounds; the label names it in failures.
type chooser func(label string, low, high int) int

func applyRandomAction(choose chooser, f *fleet) {
	r := f.routers[choose("router", 0, len(f.routers)-1)]
	switch choose("action", 0, 14) {
	default:
		for range choose("burst", 1, 5) {
			f.request(r, table.Tokens(choose("prompt", 1, 800)), table.Tokens(choose("output", 0, 200)))
		}
	case 5:
		r.storeUnreachable = !r.storeUnreachable
	case 6:
		r.peersUnreachable = !r.peersUnreachable
		for _, peer := range f.routers {
			f.disconnect(r, peer.name)
			f.disconnect(peer, r.name)
		}
	case 7:
		f.storeUp = !f.storeUp
	case 8, 9:
		f.nextFault = writeFault(choose("lose", 1, 3))
	case 10:
		if r.alive {
			f.kill(r)
		} else {
			f.start(r)
		}
	case 11:
		r.paused = !r.paused
	case 12:
		f.total += table.Tokens(choose("top-up", 1, 3000))
		for _, peer := range f.routers {
			f.configure(peer)
		}
	case 13:
		if r.alive {
			r.world.Draining, r.world.Closing = true, true
			f.tick(r)
			f.run(200 * time.Millisecond)
			f.kill(r)
		}
	case 14:
		// A failure domain loses power and comes back.
		domain := r.world.Params.Self.Domain
		for _, peer := range f.routers {
			if peer.alive && peer.world.Params.Self.Domain == domain {
				f.kill(peer)
			}
		}
		for _, peer := range f.routers {
			if !peer.alive {
				f.start(peer)
			}
		}
	}
	f.run(time.Duration([]int{1, 20, 200, 2500}[choose("ms", 0, 3)]) * time.Millisecond)
}

func checkInvariants(t require.TestingT, f *fleet) {
	require.LessOrEqual(t, f.spent, f.total, "spent more than the total")
	require.LessOrEqual(t, f.ledger.Allocated(customer), f.total, "the ledger allocates more than the total")
	for _, r := range f.routers {
		if a := r.world.Accounts.Get(customer); a != nil {
			require.GreaterOrEqual(t, a.Available(), table.Tokens(0), "%s: %+v", r.name, *a)
			require.GreaterOrEqual(t, a.Reserved, table.Tokens(0))
		}
	}
}
