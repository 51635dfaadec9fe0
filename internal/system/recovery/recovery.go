// Package recovery returns the grants of dead routers to the ledger.
//
// A grant is taken back only when nothing can be spent under it any more: its
// holder is in the fence list, and every agent that was registered after that
// has refused the holder, has ended its work and has told its charges. An agent
// that registers later reads the fence list before it accepts work.
package recovery

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/ledger"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// checkInterval is how often the processes are compared with the last check.
	checkInterval = time.Second
	// callTimeout is when a call without an answer is repeated.
	callTimeout = 2 * time.Second
	// askInterval is how often an agent without a final answer is asked again.
	askInterval = time.Second
	// fenceInterval is how often a router reads the fence list without cause.
	fenceInterval = 20 * time.Second
	// scanReads bounds the shard reads that a scan has open.
	scanReads = 16
	// fencesKept bounds the fence list. At 300 restarts a day it covers three
	// days, and grants expire after 30 minutes.
	fencesKept = 1000
)

// New returns the recovery system.
func New() world.System { return &system{} }

type system struct {
	fences    fenceList
	scan      scan
	nextCheck table.Instant
}

// Run implements world.System.
func (s *system) Run(w *world.World) {
	s.fences.take(w)
	s.fences.recheck(w)
	for _, e := range w.In.ProcessLists {
		onProcessList(w, e)
	}
	for _, e := range w.In.FenceResults {
		onFenceResult(w, e)
	}
	if s.nextCheck <= w.Now {
		s.nextCheck = w.Now.Add(checkInterval)
		s.scan.notice(w)
	}
	w.WakeAt(s.nextCheck)
	s.scan.advance(w)
	findDead(w)
	for i := 0; i < w.Recoveries.Len(); {
		h, r := w.Recoveries.At(i)
		if s.advance(w, r) {
			w.Recoveries.Delete(h)
			continue
		}
		i++
	}
	s.fences.call(w)
}

// findDead starts recoveries for the dead holders in the home shards that changed.
func findDead(w *world.World) {
	if w.ShardsSeen.Len() == 0 {
		return
	}
	for _, id := range w.ShardsSeen.Keys() {
		w.ShardsSeen.Remove(id)
		s := w.Shards.Get(id)
		if !s.Known {
			continue
		}
		noteRecovered(w, s)
		if ledger.Home(w, id) != w.Self().Process {
			ledger.Forget(w, s)
			continue
		}
		for i := range s.Content.Budgets {
			for _, g := range s.Content.Budgets[i].Grants {
				suspect(w, id, g.Holder)
			}
		}
		ledger.Forget(w, s)
	}
}

// suspect starts a recovery if a holder is not known to be alive.
func suspect(w *world.World, id table.ShardID, h table.Holder) {
	if h == w.Self() || alive(w, h) {
		return
	}
	r := w.Recoveries.Get(h)
	if r == nil {
		r = w.Recoveries.Put(h, table.Recovery{Holder: h, Since: w.Now})
		w.Change("grants", string(h.Process), "held", "recovering", "the holder is gone or was replaced")
	}
	if !r.Shards.Has(id) {
		r.Shards.Add(id)
	}
	if r.Stage == table.RecoveryWriting {
		reclaim(w, r, id)
	}
}

func alive(w *world.World, h table.Holder) bool {
	p := w.Processes.Get(h.Process)
	return p != nil && p.Incarnation == h.Incarnation && p.State != table.ProcessGone && w.Fences.Get(h) == nil
}

// advance takes the next step and reports whether the recovery is over.
func (s *system) advance(w *world.World, r *table.Recovery) bool {
	switch r.Stage {
	case table.RecoveryChecking, table.RecoveryListing:
		listProcesses(w, r)
	case table.RecoveryFencing:
		if w.Fences.Get(r.Holder) == nil {
			s.fences.add(r.Holder)
			return false
		}
		nextStage(w, r, table.RecoveryListing)
		listProcesses(w, r)
	case table.RecoveryAsking:
		ask(w, r)
	case table.RecoveryWriting:
		return written(w, r)
	}
	return r.Stage == table.RecoveryCancelled
}

func nextStage(w *world.World, r *table.Recovery, stage table.RecoveryStage) {
	r.Stage, r.Call, r.SentAt = stage, 0, 0
	w.WakeAt(w.Now)
}

// listProcesses reads the process objects. Only the answer to the call of this
// stage counts, because an older list may miss an agent.
func listProcesses(w *world.World, r *table.Recovery) {
	if r.Call != 0 && r.SentAt.Add(callTimeout) > w.Now {
		w.WakeAt(r.SentAt.Add(callTimeout))
		return
	}
	r.Call, r.SentAt = w.NextCall(), w.Now
	w.Out.ReadProcesses = append(w.Out.ReadProcesses, command.ReadProcesses{Call: r.Call})
	w.WakeAt(w.Now.Add(callTimeout))
}

func onProcessList(w *world.World, e event.ProcessList) {
	w.Recoveries.Each(func(_ table.Holder, r *table.Recovery) {
		if e.Call == 0 || r.Call != e.Call {
			return
		}
		switch r.Stage {
		case table.RecoveryChecking:
			checkDead(w, r, e)
		case table.RecoveryListing:
			startAsking(w, r, e)
		}
	})
}

// checkDead goes on if the holder is gone, or no longer registered: a process
// registers before it takes a grant. Another incarnation in this router's own
// table proves nothing, because the holder may be the newer one.
func checkDead(w *world.World, r *table.Recovery, e event.ProcessList) {
	p := w.Processes.Get(r.Holder.Process)
	gone := p != nil && p.Holder == r.Holder && p.State == table.ProcessGone
	if gone || !registered(e, r.Holder) {
		nextStage(w, r, table.RecoveryFencing)
		return
	}
	nextStage(w, r, table.RecoveryCancelled)
}

func registered(e event.ProcessList, h table.Holder) bool {
	for i := range e.Processes {
		if e.Processes[i].Holder == h {
			return true
		}
	}
	return false
}

// noteRecovered takes a shard off the recoveries whose holder has no grant in it
// any more. It runs before the content may be dropped.
func noteRecovered(w *world.World, s *table.Shard) {
	w.Recoveries.Each(func(h table.Holder, r *table.Recovery) {
		if r.Stage == table.RecoveryWriting && !ledger.HasGrant(&s.Content, h) {
			r.Shards.Remove(s.ID)
		}
	})
}

// written reports whether the ledger shows no grant of the holder any more.
func written(w *world.World, r *table.Recovery) bool {
	if r.Shards.Len() > 0 {
		return false
	}
	w.Change("grants", string(r.Holder.Process), "recovering", "recovered", "")
	w.Count("recovery.holders")
	return true
}

// reclaim orders the ledger write that takes the grants back.
func reclaim(w *world.World, r *table.Recovery, id table.ShardID) {
	unknown := false
	for _, a := range r.Agents {
		unknown = unknown || a.Unknown
	}
	ledger.Reclaim(w, id, table.Reclaim{Holder: r.Holder, Charges: r.Charges, Unknown: unknown})
}
