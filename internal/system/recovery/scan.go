package recovery

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/system/ledger"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// firstRescan is the delay of the second scan after a change: a write of a
	// router that died may have reached the ledger after the first one.
	firstRescan = 15 * time.Second
	// rescanInterval is the delay of all further scans.
	rescanInterval = 10 * time.Minute
)

// scan reads this router's home shards after each change of the routers,
// because a dead holder or a new home may be behind the change.
type scan struct {
	// routers sums up the routers that were live or gone at the last check.
	routers uint64
	started bool
	next    table.ShardID
	again   table.Instant
	open    table.Set[table.ShardID]
}

// notice starts a new scan if a router appeared, was replaced or is gone.
func (s *scan) notice(w *world.World) {
	sum := uint64(0)
	w.Processes.Each(func(_ table.ProcessID, p *table.Process) {
		if p.Role == table.RoleRouter {
			// A sum does not depend on the order of the rows.
			sum += uint64(p.Incarnation) * uint64(1+2*routerState(p.State))
		}
	})
	switch {
	case !s.started || sum != s.routers:
		s.again = w.Now.Add(firstRescan)
	case s.again <= w.Now:
		s.again = w.Now.Add(rescanInterval)
	default:
		return
	}
	s.started, s.routers, s.next = true, sum, 0
}

func routerState(s table.ProcessState) int {
	switch s {
	case table.ProcessLive:
		return 1
	case table.ProcessGone:
		return 2
	}
	return 0
}

// advance has the ledger read the next home shards.
func (s *scan) advance(w *world.World) {
	for _, id := range s.open.Keys() {
		row := w.Shards.Get(id)
		if row.Asked {
			continue
		}
		s.open.Remove(id)
	}
	for s.open.Len() < scanReads && uint32(s.next) < w.Params.Shards {
		id := s.next
		s.next++
		if ledger.Home(w, id) != w.Self().Process {
			continue
		}
		ledger.Shard(w, id).Asked = true
		ledger.Touch(w, id, w.Now)
		s.open.Add(id)
	}
}
