package ledger

import (
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
