package ledger

import (
	"slices"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// ReclaimGrants takes back all grants of a holder in a shard. The holder must be fenced at
// all agents and have no work in progress.
func ReclaimGrants(w *world.World, id table.ShardID, r table.Reclaim) {
	s := Shard(w, id)
	s.Reclaims = slices.DeleteFunc(s.Reclaims, func(old table.Reclaim) bool { return old.Holder == r.Holder })
	s.Reclaims = append(s.Reclaims, r)
	// Read the shard first: its current content may no longer contain a grant of the holder.
	s.ReadRequested = true
	ScheduleShard(w, id, w.Now)
}

// applyReclaims removes the grants of dead holders from content. The charges cover all spend
// since the holder's start, so the part that the holder has settled itself is deducted.
func applyReclaims(s *table.Shard, content *table.ShardContent) bool {
	changed := false
	for _, r := range s.Reclaims {
		for i := range content.Budgets {
			row := &content.Budgets[i]
			g := row.GrantOf(r.Holder)
			if g.Amount == 0 {
				continue
			}
			changed = true
			spent := min(max(0, r.Charges[row.ID]-g.Settled), g.Amount)
			row.Settled += spent
			if r.ChargesIncomplete {
				row.Withheld += g.Amount - spent
			}
			setGrant(row, table.LedgerGrant{Holder: r.Holder})
		}
		removeWriter(content, r.Holder)
	}
	return changed
}

// removeWriter removes the sequence number of a holder that has stopped writing. A write of
// it that is still in flight fails, because it is conditional on an older version.
func removeWriter(c *table.ShardContent, h table.Holder) {
	c.Writers = slices.DeleteFunc(c.Writers, func(w table.LedgerWriter) bool { return w.Holder == h })
}

// writerPruneThreshold is the number of writers above which stopped ones are removed.
const writerPruneThreshold = 64

// pruneWriters bounds the list of writers. A live writer that is removed while the outcome
// of its write is unknown will consider itself fenced.
func pruneWriters(w *world.World, c *table.ShardContent) {
	if len(c.Writers) <= writerPruneThreshold {
		return
	}
	c.Writers = slices.DeleteFunc(c.Writers, func(old table.LedgerWriter) bool {
		return old.Holder != w.Self() && HolderGone(w, old.Holder) && !HasGrant(c, old.Holder)
	})
}

// onContentChanged processes new content of a shard.
func onContentChanged(w *world.World, s *table.Shard) {
	w.ChangedShards.Add(s.ID)
	s.Reclaims = slices.DeleteFunc(s.Reclaims, func(r table.Reclaim) bool { return !HasGrant(&s.Content, r.Holder) })
	detectOwnFencing(w, s)
}

// HasGrant reports whether a holder has a grant in a shard.
func HasGrant(c *table.ShardContent, h table.Holder) bool {
	for i := range c.Budgets {
		if c.Budgets[i].GrantOf(h).Amount > 0 {
			return true
		}
	}
	return false
}
