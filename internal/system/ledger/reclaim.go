package ledger

import (
	"slices"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Reclaim takes back all grants of a holder in a shard. The holder must be
// fenced at all agents, with no work in progress.
func Reclaim(w *world.World, id table.ShardID, r table.Reclaim) {
	s := Shard(w, id)
	s.Reclaims = slices.DeleteFunc(s.Reclaims, func(old table.Reclaim) bool { return old.Holder == r.Holder })
	s.Reclaims = append(s.Reclaims, r)
	// The shard is read first: the known content may show no grant any more.
	s.Asked = true
	Touch(w, id, w.Now)
}

// addReclaims takes back the grants of dead holders in content. The charges
// count from the holder's start, so what the holder settled itself is deducted.
func addReclaims(s *table.Shard, content *table.ShardContent) bool {
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
			if r.Unknown {
				row.Withheld += g.Amount - spent
			}
			setGrant(row, table.LedgerGrant{Holder: r.Holder})
		}
		removeWriter(content, r.Holder)
	}
	return changed
}

// removeWriter drops the sequence of a holder that writes no more. A write of
// it that is still under way is conditional on an older version.
func removeWriter(c *table.ShardContent, h table.Holder) {
	c.Writers = slices.DeleteFunc(c.Writers, func(w table.LedgerWriter) bool { return w.Holder == h })
}

// writersKept is the number of writers from which old ones are dropped.
const writersKept = 64

// dropOldWriters bounds the list of writers. A writer that is dropped although
// it lives and waits for the outcome of a write takes itself for fenced.
func dropOldWriters(w *world.World, c *table.ShardContent) {
	if len(c.Writers) <= writersKept {
		return
	}
	c.Writers = slices.DeleteFunc(c.Writers, func(old table.LedgerWriter) bool {
		return old.Holder != w.Self() && Gone(w, old.Holder) && !HasGrant(c, old.Holder)
	})
}

// contentChanged follows up on a new content of a shard.
func contentChanged(w *world.World, s *table.Shard) {
	w.ShardsSeen.Add(s.ID)
	s.Reclaims = slices.DeleteFunc(s.Reclaims, func(r table.Reclaim) bool { return !HasGrant(&s.Content, r.Holder) })
	checkOwn(w, s)
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
