package ledger

import (
	"slices"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// detectOwnFencing compares this router's grants with the ledger. Only recovery changes the
// grants of another holder, so a difference means that this incarnation was fenced and must
// not spend or write any more.
func detectOwnFencing(w *world.World, s *table.Shard) {
	if SelfFenced(w) {
		return
	}
	self := w.Self()
	for _, id := range s.GrantedBudgets.Keys() {
		b := w.Budgets.Get(id)
		row := s.Content.Find(id)
		if b == nil || b.Granted == 0 || row != nil && row.GrantOf(self).Amount == b.Granted {
			continue
		}
		w.FencedHolders.Put(self, w.Now)
		w.RecordStateChange("process", string(self.Process), "live", "fenced", "another router reclaimed a grant of this process")
		return
	}
}

// SelfFenced reports whether this incarnation is fenced.
func SelfFenced(w *world.World) bool { return w.FencedHolders.Get(w.Self()) != nil }

// HolderGone reports whether a holder is known to have stopped: its process is gone or was
// replaced by another incarnation.
func HolderGone(w *world.World, h table.Holder) bool {
	p := w.Processes.Get(h.Process)
	return p != nil && (p.Incarnation != h.Incarnation || p.State == table.ProcessGone)
}

// HasPendingWrite reports whether a write with an unknown outcome changes the budget's
// grant.
func HasPendingWrite(w *world.World, b *table.Budget) bool {
	p := Shard(w, b.Shard).PendingWrite
	return p != nil && slices.ContainsFunc(p.Changes, func(c table.BudgetChange) bool { return c.Budget == b.ID })
}
