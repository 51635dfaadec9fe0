package ledger

import (
	"slices"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// write builds one write from all that the shard waits for, and sends it. It
// returns false if there is nothing to write.
func write(w *world.World, s *table.Shard) bool {
	content := table.ShardContent{
		Budgets: slices.Clone(s.Content.Budgets),
		Writers: slices.Clone(s.Content.Writers),
	}
	s.Force = false
	p := &table.ShardPending{Version: s.Version, SentAt: w.Now}
	p.TopUps = addTopUps(w, s, &content)
	p.Changes = addChanges(w, s, &content)
	reclaimed := addReclaims(s, &content)
	dropOldWriters(w, &content)
	if len(p.TopUps) == 0 && len(p.Changes) == 0 && !reclaimed {
		return false
	}
	s.Sequence = max(s.Sequence, content.SequenceOf(w.Self())) + 1
	p.Sequence = s.Sequence
	setSequence(&content, w.Self(), p.Sequence)
	p.Content = content
	s.Pending = p
	send(w, s)
	return true
}

func send(w *world.World, s *table.Shard) {
	p := s.Pending
	s.Writing = true
	s.CalledAt = w.Now
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

// addChanges settles, extends and returns this router's grants in content.
func addChanges(w *world.World, s *table.Shard, content *table.ShardContent) []table.BudgetChange {
	if Fenced(w) {
		s.Dirty = table.Set[table.BudgetID]{}
		return nil
	}
	var changes []table.BudgetChange
	for _, id := range s.Dirty.Keys() {
		b := w.Budgets.Get(id)
		row := content.Find(id)
		if b != nil && row != nil {
			if c, ok := change(w, b, row); ok {
				changes = append(changes, c)
				s.Dirty.Remove(id)
				continue
			}
		}
		// A short budget stays listed: it may need a fresh read.
		if b == nil || !b.Short {
			s.Dirty.Remove(id)
		}
	}
	return changes
}

// change writes one budget's change into its row.
func change(w *world.World, b *table.Budget, row *table.LedgerBudget) (table.BudgetChange, bool) {
	settle, withhold := b.Spent, b.Lost
	extra, back := extraGrant(w, b, row), returnable(b)
	if extra > 0 {
		back = 0
	}
	used := settle + withhold
	granted := b.Granted - used + extra - back
	if used == 0 && granted == b.Granted && !renewable(w, b) {
		return table.BudgetChange{}, false
	}
	row.Settled += settle
	row.Withheld += withhold
	setGrant(row, table.LedgerGrant{Holder: w.Self(), Amount: granted, Settled: b.Settled + used})
	b.Returning = back
	return table.BudgetChange{Budget: b.ID, Granted: granted, Settle: settle, Withhold: withhold}, true
}

// renewable reports whether the write is wanted only to renew the grant.
func renewable(w *world.World, b *table.Budget) bool {
	return b.Short && b.Granted > 0 && b.Expires <= w.Now
}

// setGrant stores a grant in a row; the row's grants are copied first because
// older contents share them. An empty grant is removed.
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

// apply takes over the effects of the pending write, which is in the ledger.
func apply(w *world.World, s *table.Shard) {
	p := s.Pending
	s.Pending = nil
	s.WrittenAt = p.SentAt
	for _, c := range p.Changes {
		b := w.Budgets.Get(c.Budget)
		b.Granted = c.Granted
		b.Spent -= c.Settle
		b.Lost -= c.Withhold
		b.Settled += c.Settle + c.Withhold
		b.Returning = 0
		b.Release = b.Release && b.Own() > 0
		hold(s, b)
		if b.Spent > 0 || b.Lost > 0 || b.Short || b.Release {
			MarkDirty(w, b)
		}
	}
	renew(w, s, p.SentAt.Add(w.Params.GrantLifetime))
	answerTopUps(w, s, p.TopUps)
	contentChanged(w, s)
}

// hold keeps the list of budgets with a grant.
func hold(s *table.Shard, b *table.Budget) {
	if b.Granted > 0 {
		s.Held.Add(b.ID)
		return
	}
	s.Held.Remove(b.ID)
}

// reject undoes the effects of the pending write, which can never be applied.
func reject(w *world.World, s *table.Shard) {
	p := s.Pending
	s.Pending = nil
	for _, c := range p.Changes {
		b := w.Budgets.Get(c.Budget)
		b.Returning = 0
		MarkDirty(w, b)
	}
	s.TopUps = append(p.TopUps, s.TopUps...)
	contentChanged(w, s)
}

// renew extends all own grants of the shard: any write renews them.
func renew(w *world.World, s *table.Shard, expires table.Instant) {
	for _, id := range s.Held.Keys() {
		b := w.Budgets.Get(id)
		b.Expires = max(b.Expires, expires)
	}
}
