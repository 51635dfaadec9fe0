package main

import (
	"time"
)

const (
	// shortCopyAge is how old the copy is in this case.
	shortCopyAge = 3 * time.Second
	// applyTime is config_apply_ms of the smaller installation.
	applyTime = 2 * time.Second
	// joining is how many workers join within joinTime: three in ten of the model's.
	joining  = 4
	joinTime = 300 * time.Millisecond
)

// manifestAfterRestore checks CONFIG on three routers: a manifest that drops a key, and just
// after it empty workers that join, once the store has come back from a copy.
func manifestAfterRestore(w *world) bool {
	one := tenant{tenantOne, []string{keyOne, keyTwo}, 1, 3_000_000}
	w.startInstallation(3, manifest(7, one))
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		w.offer(30, stop, mixedRequests())
	}()
	time.Sleep(12 * time.Second)
	copied := w.store.copyState()
	w.note("the copy is made at revision %d", copied.revision)
	time.Sleep(shortCopyAge)
	if w.trouble {
		w.restoreStore(copied, manifest(7, one))
	}
	time.Sleep(5 * time.Second)
	one.Keys = []string{keyOne}
	confirmed := w.store.writeUntilTaken("config", "main", manifest(12, one))
	w.note("manifest 12, without the key %s, is confirmed at revision %d", keyTwo, w.store.revision())
	for i := range joining {
		go w.newWorker(w.nextIP(), model, zones[i%3], true, 64).beat()
		time.Sleep(joinTime / joining)
	}
	w.note("%d empty workers have joined, at revision %d", joining, w.store.revision())
	time.Sleep(30 * time.Second)
	close(stop)
	<-ended
	return w.ranWithKey(keyTwo, confirmed)
}

// ranWithKey reports whether requests with a key ran that were sent later than the bound after
// the confirmation of the manifest that drops the key.
func (w *world) ranWithKey(key string, confirmed time.Time) bool {
	w.mu.Lock()
	ranAny := map[string]bool{}
	for _, r := range w.runs {
		ranAny[r.request] = true
	}
	sent, ran, at := 0, 0, map[string]int{}
	for _, q := range w.requests {
		if q.key != key || !q.sentAt.After(confirmed.Add(applyTime)) {
			continue
		}
		if sent++; ranAny[q.id] {
			ran++
			at[q.router]++
		}
	}
	w.mu.Unlock()
	w.note("of %d requests with the key %s, sent later than %s after that, %d ran: %v", sent, key, applyTime, ran, at)
	return ran > 0
}
