package recovery

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/system/ledger"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// firstRescanDelay is the delay of the second scan after a change: a write that
	// a router sent before it stopped may reach the ledger after the first scan.
	firstRescanDelay = 15 * time.Second
	// rescanInterval is the interval between later scans.
	rescanInterval = 10 * time.Minute
)

// scan reads this router's home shards after each change of the set of routers, because
// there may be a dead holder or a shard with a new home router.
type scan struct {
	// routerDigest is an order-independent digest of the routers' incarnations and states.
	routerDigest uint64
	started      bool
	nextShard    table.ShardID
	rescanAt     table.Instant
	openReads    table.Set[table.ShardID]
}

// restartIfDue restarts the scan if a router appeared, was replaced or is gone, or if the
// next scan is due.
func (s *scan) restartIfDue(w *world.World) {
	digest := uint64(0)
	w.Processes.Each(func(_ table.ProcessID, p *table.Process) {
		if p.Role == table.RoleRouter {
			// The sum does not depend on the iteration order.
			digest += uint64(p.Incarnation) * uint64(1+2*stateCode(p.State))
		}
	})
	switch {
	case !s.started || digest != s.routerDigest:
		s.rescanAt = w.Now.Add(firstRescanDelay)
	case s.rescanAt <= w.Now:
		s.rescanAt = w.Now.Add(rescanInterval)
	default:
		return
	}
	s.started, s.routerDigest, s.nextShard = true, digest, 0
}

func stateCode(s table.ProcessState) int {
	switch s {
	case table.ProcessLive:
		return 1
	case table.ProcessGone:
		return 2
	}
	return 0
}

// readNextShards requests reads of the next home shards.
func (s *scan) readNextShards(w *world.World) {
	for _, id := range s.openReads.Keys() {
		row := w.Shards.Get(id)
		if row.ReadRequested {
			continue
		}
		s.openReads.Remove(id)
	}
	for s.openReads.Len() < maxScanReads && uint32(s.nextShard) < w.Params.LedgerShards {
		id := s.nextShard
		s.nextShard++
		if ledger.HomeRouter(w, id) != w.Self().Process {
			continue
		}
		ledger.Shard(w, id).ReadRequested = true
		ledger.ScheduleShard(w, id, w.Now)
		s.openReads.Add(id)
	}
}
