package ledger

import (
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// additionalGrant returns how many tokens the router takes from the ledger for a budget. The
// amount is limited by the budget's target and by a share of the ungranted tokens, which
// shrinks as the budget nears exhaustion, but it covers a waiting request if enough is
// ungranted.
func additionalGrant(w *world.World, b *table.Budget, row *table.LedgerBudget) table.Tokens {
	ungranted := row.Ungranted()
	if w.AwaitingRegistration || b.HomeSliceFirst || (w.Draining || b.ReleaseUnused) && !b.Short {
		return 0
	}
	share := ungranted / table.Tokens(2*CountLiveRouters(w))
	additional := min(b.Target-b.AvailableFromGrant(), share)
	if b.Short && b.SmallestShortfall <= ungranted {
		additional = max(additional, b.SmallestShortfall)
	}
	return max(0, min(additional, ungranted))
}

// returnableAmount returns how much of a released grant can be returned to the ledger.
func returnableAmount(b *table.Budget) table.Tokens {
	if !b.ReleaseUnused {
		return 0
	}
	return max(0, b.AvailableFromGrant())
}

// CountLiveRouters returns the number of routers that this router considers live, including
// itself.
func CountLiveRouters(w *world.World) int {
	n := 1
	w.Processes.Each(func(id table.ProcessID, p *table.Process) {
		if id != w.Self().Process && p.Role == table.RoleRouter && p.State == table.ProcessLive {
			n++
		}
	})
	return n
}
