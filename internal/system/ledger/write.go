package ledger

import (
	"slices"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// startWrite combines all pending changes of the shard into one write and sends it. It
// returns false if there is nothing to write.
func startWrite(w *world.World, s *table.Shard) bool {
	content := table.ShardContent{
		Budgets: slices.Clone(s.Content.Budgets),
		Writers: slices.Clone(s.Content.Writers),
	}
	s.WriteImmediately = false
	p := &table.PendingShardWrite{Version: s.Version, WriteSentAt: w.Now}
	p.TopUps = applyTopUps(w, s, &content)
	p.Changes = applyGrantChanges(w, s, &content)
	reclaimed := applyReclaims(s, &content)
	pruneWriters(w, &content)
	if len(p.TopUps) == 0 && len(p.Changes) == 0 && !reclaimed {
		return false
	}
	s.Sequence = max(s.Sequence, content.LastSequence(w.Self())) + 1
	p.Sequence = s.Sequence
	setSequence(&content, w.Self(), p.Sequence)
	p.Content = content
	s.PendingWrite = p
	sendWrite(w, s)
	return true
}

func sendWrite(w *world.World, s *table.Shard) {
	p := s.PendingWrite
	s.Writing = true
	s.CallSentAt = w.Now
	w.Out.WriteShards = append(w.Out.WriteShards, command.WriteShard{
		Shard: s.ID, Version: p.Version, Sequence: p.Sequence, Content: p.Content,
	})
	w.Count("ledger.writes")
}

func setSequence(c *table.ShardContent, h table.Holder, sequence uint64) {
	for i := range c.Writers {
		if c.Writers[i].Holder == h {
			c.Writers[i].Sequence = sequence
			return
		}
	}
	c.Writers = append(c.Writers, table.LedgerWriter{Holder: h, Sequence: sequence})
}

// applyGrantChanges settles, extends and returns this router's grants in content.
func applyGrantChanges(w *world.World, s *table.Shard, content *table.ShardContent) []table.BudgetChange {
	if SelfFenced(w) {
		s.DirtyBudgets = table.Set[table.BudgetID]{}
		return nil
	}
	var changes []table.BudgetChange
	for _, id := range s.DirtyBudgets.Keys() {
		b := w.Budgets.Get(id)
		row := content.Find(id)
		if b != nil && row != nil {
			if c, ok := updateRow(w, b, row); ok {
				changes = append(changes, c)
				s.DirtyBudgets.Remove(id)
				continue
			}
		}
		// A short budget stays dirty, because it may need another read.
		if b == nil || !b.Short {
			s.DirtyBudgets.Remove(id)
		}
	}
	return changes
}

// updateRow applies the changes of one budget to its ledger row.
func updateRow(w *world.World, b *table.Budget, row *table.LedgerBudget) (table.BudgetChange, bool) {
	settle, withhold := b.Unsettled, b.ToWithhold
	additional, returned := additionalGrant(w, b, row), returnableAmount(b)
	if additional > 0 {
		returned = 0
	}
	used := settle + withhold
	granted := b.Granted - used + additional - returned
	if used == 0 && granted == b.Granted && !needsRenewal(w, b) {
		return table.BudgetChange{}, false
	}
	row.Settled += settle
	row.Withheld += withhold
	setGrant(row, table.LedgerGrant{Holder: w.Self(), Amount: granted, Settled: b.Settled + used})
	b.Returning = returned
	return table.BudgetChange{Budget: b.ID, NewGrant: granted, Settle: settle, Withhold: withhold}, true
}

// needsRenewal reports whether an expired grant is needed, so that a write without other
// changes must renew it.
func needsRenewal(w *world.World, b *table.Budget) bool {
	return b.Short && b.Granted > 0 && b.GrantExpiresAt <= w.Now
}

// setGrant stores a grant in a row, or removes it if it is empty. It copies the row's
// grants, because older contents share them.
func setGrant(row *table.LedgerBudget, g table.LedgerGrant) {
	grants := make([]table.LedgerGrant, 0, len(row.Grants)+1)
	for _, old := range row.Grants {
		if old.Holder != g.Holder {
			grants = append(grants, old)
		}
	}
	if g.Amount > 0 {
		grants = append(grants, g)
	}
	row.Grants = grants
}

// applyPending applies the effects of the pending write, which has reached the ledger.
func applyPending(w *world.World, s *table.Shard) {
	p := s.PendingWrite
	s.PendingWrite = nil
	s.WrittenAt = p.WriteSentAt
	for _, c := range p.Changes {
		b := w.Budgets.Get(c.Budget)
		b.Granted = c.NewGrant
		b.Unsettled -= c.Settle
		b.ToWithhold -= c.Withhold
		b.Settled += c.Settle + c.Withhold
		b.Returning = 0
		b.ReleaseUnused = b.ReleaseUnused && b.AvailableFromGrant() > 0
		updateGrantedBudgets(s, b)
		if b.Unsettled > 0 || b.ToWithhold > 0 || b.Short || b.ReleaseUnused {
			MarkDirty(w, b)
		}
	}
	renewGrants(w, s, p.WriteSentAt.Add(w.Params.GrantLifetime))
	replyTopUps(w, s, p.TopUps)
	onContentChanged(w, s)
}

// updateGrantedBudgets adds a budget with a grant to GrantedBudgets and removes one
// without.
func updateGrantedBudgets(s *table.Shard, b *table.Budget) {
	if b.Granted > 0 {
		s.GrantedBudgets.Add(b.ID)
		return
	}
	s.GrantedBudgets.Remove(b.ID)
}

// rollbackPending undoes the effects of the pending write, which can no longer take effect.
func rollbackPending(w *world.World, s *table.Shard) {
	p := s.PendingWrite
	s.PendingWrite = nil
	for _, c := range p.Changes {
		b := w.Budgets.Get(c.Budget)
		b.Returning = 0
		MarkDirty(w, b)
	}
	s.TopUps = append(p.TopUps, s.TopUps...)
	onContentChanged(w, s)
}

// renewGrants extends all of this router's grants in the shard; every write renews them.
func renewGrants(w *world.World, s *table.Shard, expires table.Instant) {
	for _, id := range s.GrantedBudgets.Keys() {
		b := w.Budgets.Get(id)
		b.GrantExpiresAt = max(b.GrantExpiresAt, expires)
	}
}
