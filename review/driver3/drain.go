package main

import (
	"time"
)

// drainTime is drain_ms of the installation, and leaveTime how long a worker goes on after it
// has reported that it leaves.
const (
	drainTime = 2 * time.Second
	leaveTime = 14 * time.Second
)

// drainAfterRestore checks DRAIN: no request reaches a worker later than drain_ms after the
// router knew that the worker leaves. Two workers are emptied; then the store comes back from a
// copy that is older than their reports, which they repeat with their next beat.
func drainAfterRestore(w *world) bool {
	one := tenant{tenantOne, []string{keyOne}, 1, 9_000_000}
	w.startInstallation(3, manifest(7, one))
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		w.offer(80, stop, func() spec {
			return spec{tenant: tenantOne, key: keyOne, host: host, path: chatPath + "2f", stream: true, prompt: 700, output: 50, timeLimit: 15 * time.Second, retries: 1}
		})
	}()
	time.Sleep(8 * time.Second)
	copied := w.store.copyState()
	w.note("the copy is made at revision %d", copied.revision)
	time.Sleep(500 * time.Millisecond)
	acknowledged := map[string]time.Time{}
	for _, k := range w.workers[:2] {
		acknowledged[k.id] = k.drain()
		w.note("the store has taken that worker %s is draining, at revision %d", k.id, w.store.revision())
	}
	time.Sleep(copyAge - 500*time.Millisecond)
	if w.trouble {
		w.restoreStore(copied, manifest(7, one))
	}
	time.Sleep(leaveTime - copyAge - awayTime)
	close(stop)
	<-ended
	return w.ranAtLeaving(acknowledged)
}

// ranAtLeaving reports whether requests ran at workers that were sent later than drain_ms after
// the store had taken that the worker leaves.
func (w *world) ranAtLeaving(acknowledged map[string]time.Time) bool {
	w.mu.Lock()
	sentAt, router := map[string]time.Time{}, map[string]string{}
	for _, q := range w.requests {
		sentAt[q.id], router[q.id] = q.sentAt, q.router
	}
	late, at := 0, map[string]int{}
	var first, last time.Time
	for _, r := range w.runs {
		taken, leaves := acknowledged[r.worker]
		if !leaves || !sentAt[r.request].After(taken.Add(drainTime)) {
			continue
		}
		if late++; late == 1 {
			first = r.at
		}
		last = r.at
		at[router[r.request]]++
	}
	w.mu.Unlock()
	w.note("%d requests reached workers that leave, sent later than %s after the store had taken that: %v", late, drainTime, at)
	if late > 0 {
		w.note("they came from %.3f to %.3f", w.seconds(first), w.seconds(last))
	}
	return late > 0
}
