package ledger

import (
	"slices"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// checkOwn compares this router's grants with the ledger. Only recovery changes
// another holder's grant, so a difference means that this incarnation was
// fenced: it must not spend or write any more.
func checkOwn(w *world.World, s *table.Shard) {
	if Fenced(w) {
		return
	}
	self := w.Self()
	for _, id := range s.Held.Keys() {
		b := w.Budgets.Get(id)
		row := s.Content.Find(id)
		if b == nil || b.Granted == 0 || row != nil && row.GrantOf(self).Amount == b.Granted {
			continue
		}
		w.Fences.Put(self, w.Now)
		w.Change("process", string(self.Process), "live", "fenced", "another router reclaimed a grant of this process")
		return
	}
}

// Fenced reports whether this incarnation was fenced.
func Fenced(w *world.World) bool { return w.Fences.Get(w.Self()) != nil }

// Gone reports whether a holder is known to act no more: its process is gone,
// or another incarnation has taken its place.
func Gone(w *world.World, h table.Holder) bool {
	p := w.Processes.Get(h.Process)
	return p != nil && (p.Incarnation != h.Incarnation || p.State == table.ProcessGone)
}

// HasPending reports whether a write whose outcome is not known changes the
// grant of a budget.
func HasPending(w *world.World, b *table.Budget) bool {
	p := Shard(w, b.Shard).Pending
	return p != nil && slices.ContainsFunc(p.Changes, func(c table.BudgetChange) bool { return c.Budget == b.ID })
}
