package ledger

import (
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// extraGrant returns how much the router takes from the ledger for a budget:
// up to its target, within a share of what is free that shrinks near
// exhaustion, and at least what serves a waiting request.
func extraGrant(w *world.World, b *table.Budget, row *table.LedgerBudget) table.Tokens {
	free := row.Free()
	if w.AwaitRegistration || b.AtHome || (w.Draining || b.Release) && !b.Short {
		return 0
	}
	share := free / table.Tokens(2*LiveRouters(w))
	extra := min(b.Target-b.Own(), share)
	if b.Short && b.Need <= free {
		extra = max(extra, b.Need)
	}
	return max(0, min(extra, free))
}

// returnable returns how much of a grant goes back to the ledger.
func returnable(b *table.Budget) table.Tokens {
	if !b.Release {
		return 0
	}
	return max(0, b.Own())
}

// LiveRouters counts the routers that are live as far as this one knows,
// itself included.
func LiveRouters(w *world.World) int {
	n := 1
	w.Processes.Each(func(id table.ProcessID, p *table.Process) {
		if id != w.Self().Process && p.Role == table.RoleRouter && p.State == table.ProcessLive {
			n++
		}
	})
	return n
}
