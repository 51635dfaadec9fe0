// Package recovery returns the grants of dead routers to the ledger.
//
// A grant is reclaimed only when nothing can be spent under it any more. Its holder must be
// in the fence list, and every agent that was registered after that must have fenced the
// holder, finished the holder's work and reported its charges. An agent that registers
// later reads the fence list before it accepts work.
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
	// checkInterval is how often the routers are checked for changes. It is also the minimum
	// time between fence list reads after an agent rejected this router as fenced.
	checkInterval = time.Second
	// callTimeout is the time after which an unanswered call is repeated.
	callTimeout = 2 * time.Second
	// fenceRetryInterval is how often a fence is resent to agents without a final answer.
	fenceRetryInterval = time.Second
	// fenceListReadInterval is how often a router reads the fence list periodically.
	fenceListReadInterval = 20 * time.Second
	// maxScanReads limits the open shard reads of a scan.
	maxScanReads = 16
	// maxFences limits the length of the fence list. At 300 restarts per day it covers three
	// days, and grants expire after 30 minutes.
	maxFences = 1000
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
	s.fences.handleResults(w)
	s.fences.recheckIfDue(w)
	for _, e := range w.In.ProcessLists {
		onProcessList(w, e)
	}
	for _, e := range w.In.FenceResults {
		onFenceResult(w, e)
	}
	if s.nextCheck <= w.Now {
		s.nextCheck = w.Now.Add(checkInterval)
		s.scan.restartIfDue(w)
	}
	w.WakeAt(s.nextCheck)
	s.scan.readNextShards(w)
	recoverDeadHolders(w)
	for i := 0; i < w.Recoveries.Len(); {
		h, r := w.Recoveries.At(i)
		if s.advance(w, r) {
			w.Recoveries.Delete(h)
			continue
		}
		i++
	}
	s.fences.sendNextCall(w)
}

// recoverDeadHolders starts recoveries for the dead holders in home shards that changed.
func recoverDeadHolders(w *world.World) {
	if w.ChangedShards.Len() == 0 {
		return
	}
	for _, id := range w.ChangedShards.Keys() {
		w.ChangedShards.Remove(id)
		s := w.Shards.Get(id)
		if !s.ContentKnown {
			continue
		}
		removeRecoveredShard(w, s)
		if ledger.HomeRouter(w, id) != w.Self().Process {
			ledger.EvictContent(w, s)
			continue
		}
		for i := range s.Content.Budgets {
			for _, g := range s.Content.Budgets[i].Grants {
				recoverIfDead(w, id, g.Holder)
			}
		}
		ledger.EvictContent(w, s)
	}
}

// recoverIfDead starts or extends the recovery of a holder that is not known to be alive.
func recoverIfDead(w *world.World, id table.ShardID, h table.Holder) {
	if h == w.Self() || isAlive(w, h) {
		return
	}
	r := w.Recoveries.Get(h)
	if r == nil {
		r = w.Recoveries.Put(h, table.Recovery{Holder: h, StartedAt: w.Now})
		w.RecordStateChange("grants", string(h.Process), "held", "recovering", "the holder is gone or was replaced")
	}
	if !r.Shards.Has(id) {
		r.Shards.Add(id)
	}
	if r.Stage == table.RecoveryWritingLedger {
		reclaimShard(w, r, id)
	}
}

func isAlive(w *world.World, h table.Holder) bool {
	p := w.Processes.Get(h.Process)
	return p != nil && p.Incarnation == h.Incarnation && p.State != table.ProcessGone && w.FencedHolders.Get(h) == nil
}

// advance takes the next step and reports whether the recovery has ended.
func (s *system) advance(w *world.World, r *table.Recovery) bool {
	switch r.Stage {
	case table.RecoveryConfirming, table.RecoveryListingAgents:
		listProcesses(w, r)
	case table.RecoveryFencing:
		if w.FencedHolders.Get(r.Holder) == nil {
			s.fences.add(r.Holder)
			return false
		}
		enterStage(w, r, table.RecoveryListingAgents)
		listProcesses(w, r)
	case table.RecoveryCollectingCharges:
		collectCharges(w, r)
	case table.RecoveryWritingLedger:
		return finishIfRecovered(w, r)
	}
	return r.Stage == table.RecoveryCancelled
}

func enterStage(w *world.World, r *table.Recovery, stage table.RecoveryStage) {
	r.Stage, r.OpenCall, r.CallSentAt = stage, 0, 0
	w.WakeAt(w.Now)
}

// listProcesses reads the list of registered processes. Only the answer to this stage's call
// is used, because an older list may lack an agent.
func listProcesses(w *world.World, r *table.Recovery) {
	if r.OpenCall != 0 && r.CallSentAt.Add(callTimeout) > w.Now {
		w.WakeAt(r.CallSentAt.Add(callTimeout))
		return
	}
	r.OpenCall, r.CallSentAt = w.NextCall(), w.Now
	w.Out.ReadProcesses = append(w.Out.ReadProcesses, command.ReadProcesses{Call: r.OpenCall})
	w.WakeAt(w.Now.Add(callTimeout))
}

func onProcessList(w *world.World, e event.ProcessList) {
	w.Recoveries.Each(func(_ table.Holder, r *table.Recovery) {
		if e.Call == 0 || r.OpenCall != e.Call {
			return
		}
		switch r.Stage {
		case table.RecoveryConfirming:
			confirmDead(w, r, e)
		case table.RecoveryListingAgents:
			startCollectingCharges(w, r, e)
		}
	})
}

// confirmDead continues the recovery if the holder is gone or no longer registered, since a
// process registers before it takes a grant. Another incarnation in this router's process
// table proves nothing, because the holder may be the newer one.
func confirmDead(w *world.World, r *table.Recovery, e event.ProcessList) {
	p := w.Processes.Get(r.Holder.Process)
	gone := p != nil && p.Holder == r.Holder && p.State == table.ProcessGone
	if gone || !isRegistered(e, r.Holder) {
		enterStage(w, r, table.RecoveryFencing)
		return
	}
	enterStage(w, r, table.RecoveryCancelled)
}

func isRegistered(e event.ProcessList, h table.Holder) bool {
	for i := range e.Processes {
		if e.Processes[i].Holder == h {
			return true
		}
	}
	return false
}

// removeRecoveredShard removes a shard from the recoveries whose holder no longer has a
// grant in it. It must run before the content may be evicted.
func removeRecoveredShard(w *world.World, s *table.Shard) {
	w.Recoveries.Each(func(h table.Holder, r *table.Recovery) {
		if r.Stage == table.RecoveryWritingLedger && !ledger.HasGrant(&s.Content, h) {
			r.Shards.Remove(s.ID)
		}
	})
}

// finishIfRecovered reports whether the ledger no longer contains a grant of the holder. If
// so, it records the end of the recovery.
func finishIfRecovered(w *world.World, r *table.Recovery) bool {
	if r.Shards.Len() > 0 {
		return false
	}
	w.RecordStateChange("grants", string(r.Holder.Process), "recovering", "recovered", "")
	w.Count("recovery.holders")
	return true
}

// reclaimShard requests the ledger write that reclaims the holder's grants in a shard.
func reclaimShard(w *world.World, r *table.Recovery, id table.ShardID) {
	incomplete := false
	for _, a := range r.Agents {
		incomplete = incomplete || a.ChargesIncomplete
	}
	ledger.ReclaimGrants(w, id, table.Reclaim{Holder: r.Holder, Charges: r.Charges, ChargesIncomplete: incomplete})
}
