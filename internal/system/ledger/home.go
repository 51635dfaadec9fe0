package ledger

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// HomeRouter returns the home router of a shard: the live router with the highest
// rendezvous hash for the shard. Routers may disagree for a while, which only
// affects the number of ledger writes.
func HomeRouter(w *world.World, id table.ShardID) table.ProcessID {
	home, highest := w.Self().Process, rendezvousHash(w.Self().Process, id)
	if w.Draining {
		highest = 0
	}
	w.Processes.Each(func(other table.ProcessID, p *table.Process) {
		if other == w.Self().Process || p.Role != table.RoleRouter || p.State != table.ProcessLive {
			return
		}
		if hash := rendezvousHash(other, id); hash > highest {
			home, highest = other, hash
		}
	})
	return home
}

func rendezvousHash(p table.ProcessID, id table.ShardID) uint64 {
	return xxhash.Sum64String(string(p) + "/" + strconv.FormatUint(uint64(id), 10))
}
