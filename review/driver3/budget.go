package main

import (
	"time"
)

const (
	host      = "ficu95.example"
	chatPath  = "/lohu930/"
	model     = "huvo11a"
	desk      = "wuno96b"
	otherDesk = "kedo774"
	deskPath  = "/puxa403/"
	tenantOne = "hule930"
	keyOne    = "n2ctnfzs989anu6wsjnb"
	keyTwo    = "anfqasnmgkcuyj8pjbvk"
)

type tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
	Reserved int      `json:"reserved"`
}

// manifest returns a manifest with a streaming and an unsafe route.
func manifest(version int, tenants ...tenant) map[string]any {
	return manifestWith(version, desk, tenants...)
}

// manifestWith returns a manifest whose unsafe route leads to a service.
func manifestWith(version int, unsafeService string, tenants ...tenant) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-2yhvz3p", "hostname": host, "path_prefix": chatPath, "route_type": "streaming", "timeout_ms": 15000, "slo_ms": 800, "priority": 1,
				"backend": model, "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "target_gap_ms": 300},
			map[string]any{"name": "r-fi6y7z5", "hostname": host, "path_prefix": deskPath, "route_type": "unsafe", "timeout_ms": 3000, "slo_ms": 300, "priority": 0,
				"backend": unsafeService, "max_attempts": 1, "public": false, "sticky": false, "resumable": false},
		},
		"backends": []any{
			map[string]any{"name": model, "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false,
				"runtime": map[string]any{"capacity": 64, "kv_capacity": 711546, "kv_bytes": 18432, "link_mbps": 130000.0, "moves": true, "backups": true, "stride": stride,
					"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_ttl_s": 5.0, "model_list": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": desk, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false},
			map[string]any{"name": otherDesk, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	}
}

// startInstallation writes the first manifest and starts workers and routers.
func (w *world) startInstallation(routers int, first map[string]any) {
	w.store.writeUntilTaken("config", "main", first)
	for i := range 12 {
		w.workers = append(w.workers, w.newWorker(w.nextIP(), model, zones[i%3], true, 64))
	}
	for i := range 3 {
		w.workers = append(w.workers, w.newWorker(w.nextIP(), desk, zones[i], false, 6), w.newWorker(w.nextIP(), otherDesk, zones[i], false, 6))
	}
	for _, k := range w.workers {
		go k.beat()
	}
	for i := range routers {
		w.newRouter(i)
	}
	w.startRouters()
}

// copyAge is how old the copy is from which the store comes back, and awayTime how long the
// store is away.
const (
	copyAge  = 5 * time.Second
	awayTime = time.Second
)

// restoreStore lets the store be away for a moment and come back from a copy. The operator
// writes again what it wrote; the workers do so with their next beat.
func (w *world) restoreStore(copied state, current map[string]any) {
	before := w.store.revision()
	w.store.goAway()
	w.note("the store is away, at revision %d", before)
	time.Sleep(awayTime)
	w.store.comeBack(&copied)
	w.store.writeUntilTaken("config", "main", current)
	w.note("the store is back, from the copy of revision %d", copied.revision)
}

// budgetAfterRestore checks BUDGET: no tenant gets more than its reserved tokens. The store
// comes back from a copy; then one router is stopped and started, as in planned work.
func budgetAfterRestore(w *world) bool {
	const reserved = 150_000
	config := manifest(7, tenant{tenantOne, []string{keyOne}, 1, reserved})
	w.startInstallation(3, config)
	time.Sleep(2 * time.Second)
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		w.offer(20, stop, func() spec {
			return spec{tenant: tenantOne, key: keyOne, host: host, path: chatPath + "2f", stream: true, prompt: 700, output: 100, timeLimit: 15 * time.Second, retries: 1}
		})
	}()
	time.Sleep(time.Second)
	copied := w.store.copyState()
	w.note("consumed %d of %d; the copy is made at revision %d", w.consumed(tenantOne), reserved, copied.revision)
	time.Sleep(copyAge)
	w.note("consumed %d of %d", w.consumed(tenantOne), reserved)
	if w.trouble {
		w.restoreStore(copied, config)
	}
	time.Sleep(4 * time.Second)
	w.note("consumed %d of %d; SIGTERM to %s", w.consumed(tenantOne), reserved, w.routers[0].name)
	w.routers[0].terminate()
	w.note("%s has ended; it is started again", w.routers[0].name)
	w.routers[0].start(w.command)
	time.Sleep(15 * time.Second)
	close(stop)
	<-ended
	total := w.consumed(tenantOne)
	w.note("consumed %d of %d reserved tokens", total, reserved)
	return total > reserved
}
