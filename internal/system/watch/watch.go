// Package watch decides which router asks the store for changes, and when.
//
// The calls of a fleet must not grow with its size: for each kind of objects, the
// delegates follow the store and pass changes on, and the others apply what they are
// sent. A router that misses a change sees a later one in the report of another router,
// asks the store itself, and, if that does not help, the other router.
package watch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/delegate"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// waitTime is how long a call of one of four delegates waits for changes; with more
	// of them each waits longer. A connection can stall without a reset; the end of a
	// wait bounds how late the first delegate sees a change in that case.
	waitTime = 2500 * time.Millisecond
	// After a call that returned changes, the next one is delayed by a part of the time
	// within which changes must be in force, so that several changes within a short time
	// cost a single call. The rest is left for slow calls. minBatchDelay applies if that
	// time is not known.
	batchDelayDivisor = 4
	minBatchDelay     = 500 * time.Millisecond
	// relistTime is how long after an outage of the store endpoints that still run may
	// take to be listed again.
	relistTime = 2 * time.Second
	// relayDelay is how long changes that another router reported may take to arrive
	// by other ways, before this router asks the store for them.
	relayDelay = 300 * time.Millisecond
	// stalledAfter is the least age of an open call that counts as stalled if it did not
	// return a change which others know. A younger one may still be on its way over a
	// slow link.
	stalledAfter = waitTime
	// overdueAfter is how long after its wait a call without an answer is replaced. A slow
	// store takes a few hundred milliseconds.
	overdueAfter = 400 * time.Millisecond
	// recoveryReserve is the part of the recovery bound that is left for the call that
	// replaces an overdue one, and for passing its changes on.
	recoveryReserve = 600 * time.Millisecond
	// defaultRecoveryBound applies if the settings name none.
	defaultRecoveryBound = 3 * time.Second
	// idlePollInterval is the longest time without a call to the store of a router
	// that gets changes from others.
	idlePollInterval = 20 * time.Second
	// pollWait is the wait of a call that only asks for changes which exist. The store
	// takes whole milliseconds above 0.
	pollWait = time.Millisecond
	// askDelay is how long a change that another router reported may be missing before
	// this router asks that one for it. The store has been asked before, after relayDelay.
	askDelay = 2 * relayDelay
	// missingLogDelay is how long a change that another router reported may be missing
	// before that is logged.
	missingLogDelay = time.Second
	// minBackoff and maxBackoff bound the delay after a failed call.
	minBackoff = 30 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Run applies the results of calls to the store, drops changes that this router has
// already, and sends the next calls.
func Run(w *world.World) {
	if w.StoreEra.Returned {
		dropRevisions(w)
	}
	for i := range w.In.Manifests {
		onManifest(w, &w.In.Manifests[i])
	}
	for i := range w.In.EndpointChanges {
		judgeLapse(w, &w.In.EndpointChanges[i])
	}
	w.In.EndpointChanges = slices.DeleteFunc(w.In.EndpointChanges, func(e event.EndpointChanges) bool { return !accept(w, &e) })
	if followsEvacuations(w) {
		acceptEvacuations(w)
	}
	for i := range w.In.WatchResults {
		onResult(w, &w.In.WatchResults[i])
	}
	for i := range w.In.RouterReports {
		onReport(w, &w.In.RouterReports[i])
	}
	planCall(w, table.WatchConfig)
	planCall(w, table.WatchEndpoints)
	if followsEvacuations(w) {
		planCall(w, table.WatchEvacuations)
	}
}

// dropRevisions lets this router list all objects again after the store has returned from a
// copy: a revision of before is no place to go on from, although the store may give it out
// again. An open call may be one that goes on from there.
func dropRevisions(w *world.World) {
	w.Watches.Each(func(kind table.WatchKind, row *table.Watch) {
		if row.Call != 0 {
			w.Out.WatchStops = append(w.Out.WatchStops, command.StopWatch{Kind: kind})
		}
		*row = table.Watch{
			ManifestVersion: row.ManifestVersion, CallSentAt: row.CallSentAt, AnsweredAt: row.AnsweredAt, ToldAt: row.ToldAt,
			NextCallAt: w.Now, Overdue: row.Overdue,
		}
	})
	w.ManifestRevision = 0
}

// delegates returns the routers that follow a kind of objects for the others.
func delegates(w *world.World, kind table.WatchKind) *table.Delegates {
	return delegate.For(w, kind.String())
}

func watchOf(w *world.World, kind table.WatchKind) *table.Watch {
	if row := w.Watches.Get(kind); row != nil {
		return row
	}
	return w.Watches.Put(kind, table.Watch{})
}

// LastChanges returns the highest revisions of changes that this router knows.
func LastChanges(w *world.World) map[table.WatchKind]uint64 {
	changes := make(map[table.WatchKind]uint64, w.Watches.Len())
	w.Watches.Each(func(kind table.WatchKind, row *table.Watch) { changes[kind] = row.LastChange })
	return changes
}

// onManifest records the revision of a configuration and passes it on if it is new. Its
// version says whether it is: the revision only says where to go on watching, and may be lower
// after the store returned from a copy. The catalog never activates an older one.
func onManifest(w *world.World, e *event.ManifestReceived) {
	row := watchOf(w, table.WatchConfig)
	if e.Revision > row.LastChange {
		row.LastChange = e.Revision
		if e.Relayed {
			// A configuration is a single object, which no earlier list is needed for.
			row.Listed, row.Covered, row.BehindSince = true, max(row.Covered, e.Revision), 0
		}
	}
	if e.Manifest.Version <= row.ManifestVersion {
		return
	}
	row.ManifestVersion = e.Manifest.Version
	if to := recipients(w, table.WatchConfig, e.Relayed); len(to) > 0 {
		w.Out.ManifestRelays = append(w.Out.ManifestRelays, command.RelayManifest{To: to, Manifest: *e})
	}
}

// judgeLapse withdraws another router's word that an outage of the store may have
// caused removals, if the store has answered this router all the while. Then the outage
// was the other router's alone, and let no entries lapse.
func judgeLapse(w *world.World, e *event.EndpointChanges) {
	if e.Relayed && e.MayHaveLapsed && followsEndpoints(w) {
		e.MayHaveLapsed = false
		w.Count("watch.lapses_denied")
	}
}

// followsEndpoints reports whether this router follows the list of endpoints itself
// and the store answers it: it had no outage of late, and the last answer is not older
// than a call takes.
func followsEndpoints(w *world.World) bool {
	row := watchOf(w, table.WatchEndpoints)
	return delegates(w, table.WatchEndpoints).IncludesSelf && row.FollowedSince != 0 &&
		w.Now.Sub(row.AnsweredAt) <= maxAnswerAge(w, table.WatchEndpoints) && !w.RecentOutage()
}

// maxAnswerAge returns how old the last answer to a delegate gets while the store
// answers all its calls.
func maxAnswerAge(w *world.World, kind table.WatchKind) time.Duration {
	return batchDelay(w) + delegateWait(w, delegates(w, kind)) + relayDelay
}

// FollowedFor returns for how long this router has followed the list of endpoints
// itself without a failed or late answer, or 0 if it does not do so now.
func FollowedFor(w *world.World) time.Duration {
	if !followsEndpoints(w) {
		return 0
	}
	return w.Now.Sub(watchOf(w, table.WatchEndpoints).FollowedSince)
}

// judgeOutage records that the store serves another router while this one does not
// reach it. The other router's last answer has to be later than the first failure here,
// or it may not have noticed yet that the store is down. If the other one follows the store
// for a shorter time, because it was down for all in between, what lapsed then is listed
// again some time later.
func judgeOutage(w *world.World, e *event.RouterReport) {
	if w.PlatformReachable || w.PlatformStateSince == 0 {
		return
	}
	outage := w.Now.Sub(w.PlatformStateSince)
	answerAge := maxAnswerAge(w, table.WatchEndpoints)
	if outage <= answerAge {
		return
	}
	if e.FollowedFor >= outage {
		w.StoreServedOthersAt = w.Now
	}
	if e.FollowedFor >= answerAge+relistTime+batchDelay(w) {
		w.EntriesRelistedAt = w.Now
	}
}

// LapseGraceEnd returns until when entries that lapsed in this router's last outage may
// come back.
func LapseGraceEnd(w *world.World) table.Instant {
	if !w.PlatformReachable {
		return RelistEnd(w, w.Now)
	}
	return RelistEnd(w, w.PlatformRestoredAt)
}

// RelistEnd returns until when entries that lapsed in an outage of the store may come
// back: they are listed again soon after its end, and the change is known after the delay
// of a batch at most.
func RelistEnd(w *world.World, restoredAt table.Instant) table.Instant {
	return restoredAt.Add(relistTime + batchDelay(w))
}

// accept reports whether changes of the list of endpoints are new, and records that
// this router has them. A batch must begin at or before the revision up to which this
// router has all changes: a gap could hide a removal. A batch that overlaps with what
// the router has is applied as a whole, because it holds the last state of each entry
// that it names.
func accept(w *world.World, e *event.EndpointChanges) bool {
	row := watchOf(w, table.WatchEndpoints)
	row.LastChange = max(row.LastChange, e.LastChange)
	switch {
	case e.Full && row.Listed && e.Covered < row.Covered:
		w.Count("watch.outdated")
		return false
	case !e.Full && row.Listed && e.Covered <= row.Covered:
		return false
	case !e.Full && (!row.Listed || e.Since > row.Covered):
		w.Count("watch.gaps")
		markBehind(w, row)
		return false
	}
	relay(w, row, e)
	row.Listed, row.Covered, row.BatchSince, row.BehindSince = true, e.Covered, e.Covered, 0
	return true
}

// recipients returns the routers that this one passes changes of a kind to, if it is a
// delegate: the other delegates, unless one of them sent the changes, and the routers
// of the failure domains that it serves.
func recipients(w *world.World, kind table.WatchKind, relayed bool) []table.Holder {
	duty := delegates(w, kind)
	if !duty.IncludesSelf {
		return nil
	}
	var to []table.Holder
	w.RouterPeers.Each(func(_ table.ProcessID, p *table.RouterPeer) {
		isDelegate := slices.Contains(duty.Routers, p.Holder)
		if p.Connected && (isDelegate && !relayed || !isDelegate && delegate.Serves(w, duty, p.Domain)) {
			to = append(to, p.Holder)
		}
	})
	return to
}

// relay passes changes of the list of endpoints on.
func relay(w *world.World, row *table.Watch, e *event.EndpointChanges) {
	to := recipients(w, table.WatchEndpoints, e.Relayed)
	if e.Full || len(to) == 0 {
		return
	}
	changes := *e
	if !e.Relayed {
		// No change came between the last list or batch and the call's revision.
		changes.Since = min(e.Since, row.BatchSince)
		markLapses(w, &changes)
	}
	w.Out.EndpointRelays = append(w.Out.EndpointRelays, command.RelayEndpointChanges{To: to, Changes: changes})
}

func onResult(w *world.World, e *event.WatchResult) {
	row := watchOf(w, e.Kind)
	if row.Call != e.Call {
		return
	}
	row.Call = 0
	switch e.Status {
	case event.WatchOK:
		if row.FollowedSince == 0 || w.Now.Sub(row.AnsweredAt) > maxAnswerAge(w, e.Kind) {
			row.FollowedSince = w.Now
		}
		if row.Overdue {
			// The call before may have been lost in an outage that nothing else shows.
			w.PlatformRestoredAt = w.Now
		}
		row.Listed, row.Backoff, row.BehindSince, row.AnsweredAt, row.Overdue = true, 0, 0, w.Now, false
		row.Covered, row.LastChange = max(row.Covered, e.Covered), max(row.LastChange, e.LastChange)
		row.NextCallAt = w.Now
		if e.LastChange > 0 {
			row.NextCallAt = w.Now.Add(batchDelay(w))
		}
	case event.WatchCompacted:
		row.Listed = false
		w.RecordStateChange("watch", e.Kind.String(), "listed", "unknown", "the store dropped the history")
	default:
		row.FollowedSince = 0
		row.Backoff = min(max(2*row.Backoff, minBackoff), maxBackoff)
		row.NextCallAt = w.Now.Add(row.Backoff/2 + time.Duration(w.Rand.Int64N(int64(row.Backoff/2))))
	}
}

// batchDelay returns the delay of the next call after one that returned changes.
func batchDelay(w *world.World) time.Duration {
	return max(minBatchDelay, w.Params.Front.ChangeBound/batchDelayDivisor)
}

// delegateWait returns how long a delegate's call waits for changes. A call that is lost
// in the last moment of an outage has to be replaced within the recovery bound: a change
// makes the calls of all delegates begin together, so that all may be lost.
func delegateWait(w *world.World, duty *table.Delegates) time.Duration {
	wait := waitTime * time.Duration(max(delegate.MinCount, len(duty.Routers))) / delegate.MinCount
	recoveryBound := cmp.Or(w.Params.Front.RecoveryBound, defaultRecoveryBound)
	return max(pollWait, min(wait, recoveryBound-overdueAfter-recoveryReserve))
}

func onReport(w *world.World, e *event.RouterReport) {
	judgeOutage(w, e)
	onReportedManifest(w, e)
	for kind, revision := range e.LastChanges {
		row := w.Watches.Get(kind)
		if row == nil {
			// Later releases may follow other kinds.
			continue
		}
		if row.Listed && revision > row.Covered {
			markBehind(w, row)
		}
		onReportedChange(w, row, e, revision)
	}
}

// onReportedChange records that another router knows a change. A router that has nothing
// yet, because it has just started, only trusts one that the store answers: others may
// know less than its last process did.
func onReportedChange(w *world.World, row *table.Watch, e *event.RouterReport, revision uint64) {
	if revision <= row.Covered || revision < row.ReportedChange || !row.Listed && e.StoreDown {
		return
	}
	if row.MissingSince == 0 {
		row.MissingSince = w.Now
	}
	row.ReportedChange, row.ReportedBy = revision, e.From
}

// onReportedManifest records that a later configuration is in force at another router. The
// store may have lost it, so that no revision tells of it. A router that has none yet only
// trusts one that the store answers.
func onReportedManifest(w *world.World, e *event.RouterReport) {
	row := watchOf(w, table.WatchConfig)
	if e.ManifestVersion <= row.ManifestVersion || e.ManifestVersion < row.ReportedVersion || row.ManifestVersion == 0 && e.StoreDown {
		return
	}
	if row.MissingSince == 0 {
		row.MissingSince = w.Now
	}
	row.ReportedVersion, row.ReportedBy = e.ManifestVersion, e.From
}

// Wants returns the kinds of objects of which this router lacks changes that the store
// has not given it in time, with the router to ask for them: the last one that reported
// to have them.
func Wants(w *world.World) map[table.WatchKind]event.WantedChanges {
	var wants map[table.WatchKind]event.WantedChanges
	w.Watches.Each(func(kind table.WatchKind, row *table.Watch) {
		if row.MissingSince != 0 && w.DueOrWake(row.MissingSince.Add(askDelay)) {
			if wants == nil {
				wants = make(map[table.WatchKind]event.WantedChanges)
			}
			wants[kind] = event.WantedChanges{From: row.ReportedBy, Covered: row.Covered, ManifestVersion: row.ManifestVersion}
		}
	})
	return wants
}

// SendWanted answers another router that lacks changes and asks this one for them. It
// runs after the catalog has applied the changes of the tick: the revisions of a watch
// already count them.
func SendWanted(w *world.World, e *event.RouterReport) {
	for kind, wanted := range e.Wants {
		if wanted.From == w.Self() {
			sendState(w, kind, e.From, &wanted)
		}
	}
}

// sendState sends another router the whole state of a kind of objects if this one knows a
// later one.
func sendState(w *world.World, kind table.WatchKind, to table.Holder, wanted *event.WantedChanges) {
	switch row := w.Watches.Get(kind); {
	case row == nil:
		return
	case kind == table.WatchConfig && (w.ManifestRevision > wanted.Covered || w.Manifest.Version > wanted.ManifestVersion):
		w.Out.ManifestRelays = append(w.Out.ManifestRelays, command.RelayManifest{
			To: []table.Holder{to}, Manifest: event.ManifestReceived{InEra: w.InEra(), Manifest: w.Manifest, Revision: w.ManifestRevision},
		})
	case kind == table.WatchEndpoints && row.Listed && row.Covered > wanted.Covered:
		w.Out.EndpointRelays = append(w.Out.EndpointRelays, command.RelayEndpointChanges{To: []table.Holder{to}, Changes: endpointList(w, row)})
	default:
		return
	}
	w.Count("watch.states_sent")
}

// endpointList returns the list of endpoints as this router knows it.
func endpointList(w *world.World, row *table.Watch) event.EndpointChanges {
	changes := event.EndpointChanges{InEra: w.InEra(), Full: true, Covered: row.Covered, LastChange: row.LastChange}
	w.DirectEndpoints.Each(func(id table.EndpointID, e *table.DirectEndpoint) {
		if e.RemovedAt == 0 {
			entry := event.EndpointEntry{
				ID: id, Service: e.Service, Address: e.Address, Domain: e.Domain, Slots: e.Slots, Leaving: e.Leaving, StartedUnixMilli: e.StartedUnixMilli,
				Sequence: e.Sequence, ColdKnown: true,
			}
			if cold := w.ColdEndpoints.Get(id); cold != nil {
				entry.ColdKnown, entry.ColdLeft = cold.MarkedUntil <= w.Now, max(0, cold.EntryUntil.Sub(w.Now))
			}
			changes.Present = append(changes.Present, entry)
		}
	})
	markLapses(w, &changes)
	return changes
}

// markLapses says of changes that are passed on whether an outage of the store may have
// caused the removals.
func markLapses(w *world.World, changes *event.EndpointChanges) {
	changes.MayHaveLapsed = w.RecentOutage()
	if changes.MayHaveLapsed {
		changes.LapseGrace = LapseGraceEnd(w).Sub(w.Now)
	}
}

// checkMissing logs that this router lacks a change which another one reported, and that
// it has it after all.
func checkMissing(w *world.World, kind table.WatchKind, row *table.Watch) {
	switch {
	case row.MissingSince == 0:
	case row.Covered >= row.ReportedChange && (kind != table.WatchConfig || row.ManifestVersion >= row.ReportedVersion):
		if row.MissingLogged {
			w.RecordStateChange("watch", kind.String(), "behind", "current", "after "+w.Now.Sub(row.MissingSince).Round(time.Millisecond).String())
		}
		row.MissingSince, row.MissingLogged = 0, false
	case !row.MissingLogged && w.DueOrWake(row.MissingSince.Add(missingLogDelay)):
		row.MissingLogged = true
		w.Count("watch.behind")
		w.RecordStateChange("watch", kind.String(), "current", "behind",
			fmt.Sprintf("router %s knows revision %d, this one %d", row.ReportedBy.Process, row.ReportedChange, row.Covered))
	}
}

func markBehind(w *world.World, row *table.Watch) {
	if row.BehindSince == 0 {
		row.BehindSince = w.Now
	}
}

// replaceCall reports whether the open call has to make way for another one, and stops it
// in that case. Its connection has stalled if it did not return a change which others know,
// and its answer is lost if it is overdue. A call that does not wait ends by its timeout.
func replaceCall(w *world.World, kind table.WatchKind, row *table.Watch, behind bool) bool {
	switch {
	case row.CallWait > pollWait && w.DueOrWake(row.CallSentAt.Add(row.CallWait+overdueAfter)):
		row.Overdue, row.FollowedSince = true, 0
		w.Count("watch.overdue")
		w.RecordStateChange("watch", kind.String(), "waiting", "overdue", "no answer "+overdueAfter.String()+" after the wait")
	case behind && w.DueOrWake(row.CallSentAt.Add(stalledAfter)):
		w.Count("watch.stalled")
	default:
		return false
	}
	w.Out.WatchStops = append(w.Out.WatchStops, command.StopWatch{Kind: kind})
	row.Call = 0
	return true
}

// planCall sends the next call for a kind of objects if it is due.
func planCall(w *world.World, kind table.WatchKind) {
	row := watchOf(w, kind)
	checkMissing(w, kind, row)
	behind := row.BehindSince != 0 && w.DueOrWake(row.BehindSince.Add(relayDelay))
	if row.Call != 0 && !replaceCall(w, kind, row, behind) {
		return
	}
	if !w.DueOrWake(row.NextCallAt) {
		return
	}
	duty := delegates(w, kind)
	wait := delegateWait(w, duty)
	if row.Overdue || row.Backoff > 0 {
		// Only an answer shows that the store is back, and a call that does not wait is
		// known to be lost soonest.
		wait = pollWait
	}
	if row.Listed && !duty.IncludesSelf {
		isReplacement := row.Overdue && row.Backoff == 0
		if !behind && !isReplacement && !w.DueOrWake(idlePollAt(w, kind, row)) {
			return
		}
		wait = pollWait
	}
	call := command.WatchObjects{Kind: kind, Call: w.NextCall(), Wait: wait}
	if row.Listed {
		call.Since = row.Covered
	}
	row.Call, row.CallSentAt, row.CallWait, row.BehindSince = call.Call, w.Now, call.Wait, 0
	w.Out.WatchCalls = append(w.Out.WatchCalls, call)
	w.Count("watch.calls")
}

// idlePollAt returns when a router that gets changes from others asks the store itself.
func idlePollAt(w *world.World, kind table.WatchKind, row *table.Watch) table.Instant {
	switch {
	case kind == table.WatchEvacuations:
		// Reports bring a later set all the time, unless the delegates are of a release that
		// does not follow this kind.
		return max(row.CallSentAt, row.ToldAt).Add(w.Params.Front.EvacuationBound)
	case !w.PlatformReachable:
		// Only a call shows that the store is back, which the other routers have to know.
		return row.CallSentAt.Add(waitTime)
	}
	return row.CallSentAt.Add(idlePollInterval)
}
