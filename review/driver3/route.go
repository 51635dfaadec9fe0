package main

import (
	"sync/atomic"
	"time"
)

// grownApplyTime is config_apply_ms of the larger installation.
const grownApplyTime = 3 * time.Second

// grownBounds are those that differ in the larger installation.
var grownBounds = map[string]any{
	"stable_ms": 4000, "ack_ms": 6000, "catch_up_s": 6, "drain_ms": 3000, "config_apply_ms": 3000, "max_skew_ms": 6000,
	"retry_allowance": 88, "recovery_s": 15, "iteration_ms": 200,
}

// routeAfterRestore checks CONFIG on six routers: from config_apply_ms after the confirmation of
// a manifest that moves a route to another service, no request is run by the old one. The
// manifest changes before and after the store comes back from a copy.
func routeAfterRestore(w *world) bool {
	for k, v := range grownBounds {
		bounds[k] = v
	}
	one := tenant{tenantOne, []string{keyOne, keyTwo}, 1, 3_000_000}
	w.startInstallation(6, manifest(7, one))
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		w.offer(30, stop, mixedRequests())
	}()
	time.Sleep(8 * time.Second)
	copied := w.store.copyState()
	w.note("the copy is made at revision %d", copied.revision)
	time.Sleep(3 * time.Second)
	one.Reserved += 100_000
	w.store.writeUntilTaken("config", "main", manifest(9, one))
	w.note("manifest 9, with more reserved tokens, is confirmed at revision %d", w.store.revision())
	time.Sleep(copyAge - 3*time.Second)
	if w.trouble {
		w.restoreStore(copied, manifest(9, one))
	}
	time.Sleep(9 * time.Second)
	confirmed := w.store.writeUntilTaken("config", "main", manifestWith(12, otherDesk, one))
	w.note("manifest 12, which moves %s from %s to %s, is confirmed at revision %d", deskPath, desk, otherDesk, w.store.revision())
	time.Sleep(grownApplyTime + 6*time.Second)
	close(stop)
	<-ended
	return w.ranAtOldService(confirmed)
}

// mixedRequests returns what clients send: streams, and each third request a call with the second
// key.
func mixedRequests() func() spec {
	var turn atomic.Int64
	return func() spec {
		if turn.Add(1)%3 == 0 {
			return spec{tenant: tenantOne, key: keyTwo, host: host, path: deskPath + "2f", timeLimit: 3 * time.Second, retries: 1}
		}
		return spec{tenant: tenantOne, key: keyOne, host: host, path: chatPath + "2f", stream: true, prompt: 700, output: 50, timeLimit: 15 * time.Second, retries: 1}
	}
}

// ranAtOldService reports whether the service that a route has left ran requests that were sent
// later than the bound after the confirmation.
func (w *world) ranAtOldService(confirmed time.Time) bool {
	w.mu.Lock()
	service := map[string]string{}
	for _, r := range w.runs {
		service[r.request] = r.service
	}
	sent, old, at := 0, 0, map[string]int{}
	for _, q := range w.requests {
		if q.stream || !q.sentAt.After(confirmed.Add(grownApplyTime)) {
			continue
		}
		if sent++; service[q.id] == desk {
			old++
			at[q.router]++
		}
	}
	w.mu.Unlock()
	w.note("of %d requests on %s, sent later than %s after that, the old service ran %d: %v", sent, deskPath, grownApplyTime, old, at)
	return old > 0
}
