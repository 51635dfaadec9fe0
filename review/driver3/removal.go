package main

import (
	"time"
)

const (
	// watchTime is how long a watch waits before the store cuts it off.
	watchTime = time.Second
	// lullTime is how long no client sends anything after the workers' entries are removed.
	lullTime = 6 * time.Second
)

// removalBesideCutWatches checks DRAIN: no request reaches a worker later than drain_ms after its
// entry was removed. Two workers leave without reporting it, while the store cuts off watches
// that wait for a second. Clients pause at that time.
func removalBesideCutWatches(w *world) bool {
	one := tenant{tenantOne, []string{keyOne}, 1, 9_000_000}
	w.startInstallation(3, manifest(7, one))
	next := func() spec {
		return spec{tenant: tenantOne, key: keyOne, host: host, path: chatPath + "2f", stream: true, prompt: 700, output: 50, timeLimit: 15 * time.Second, retries: 1}
	}
	offer := func(d time.Duration) {
		stop := make(chan struct{})
		time.AfterFunc(d, func() { close(stop) })
		w.offer(80, stop, next)
	}
	offer(5 * time.Second)
	if w.trouble {
		w.store.cutWatches(watchTime)
		w.note("from now on the store cuts off watches that wait for %s", watchTime)
	}
	offer(5 * time.Second)
	acknowledged := map[string]time.Time{}
	for _, k := range w.workers[:2] {
		acknowledged[k.id] = k.leaveUnreported()
		w.note("the entry of worker %s is removed, at revision %d", k.id, w.store.revision())
	}
	time.Sleep(lullTime)
	w.note("clients send again")
	offer(4 * time.Second)
	return w.ranAtLeaving(acknowledged)
}
