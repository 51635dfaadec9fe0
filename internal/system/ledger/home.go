package ledger

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Home returns the home router of a shard: the live router with the highest
// hash (rendezvous hashing). Routers may disagree for a while; nothing but the
// number of ledger writes depends on it.
func Home(w *world.World, id table.ShardID) table.ProcessID {
	home, best := w.Self().Process, score(w.Self().Process, id)
	if w.Draining {
		best = 0
	}
	w.Processes.Each(func(other table.ProcessID, p *table.Process) {
		if other == w.Self().Process || p.Role != table.RoleRouter || p.State != table.ProcessLive {
			return
		}
		if s := score(other, id); s > best {
			home, best = other, s
		}
	})
	return home
}

func score(p table.ProcessID, id table.ShardID) uint64 {
	return xxhash.Sum64String(string(p) + "/" + strconv.FormatUint(uint64(id), 10))
}
