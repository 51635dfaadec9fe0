package daemon

import (
	"expvar"
	"net/http"
	"sync/atomic"
	"time"

	"laburnumroad.dev/laburnumroad/internal/control"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/guard"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// publishInterval is the minimum time between two copies of the counters, so that a
// busy control thread does not copy them on every tick.
const publishInterval = time.Second

// snapshot is a copy of the control state for traffic goroutines. It is immutable
// once published.
type snapshot struct {
	Generation table.Generation
	ConfigText string
	Processes  []table.Process
	Endpoints  []table.Endpoint
}

// metrics exports counters through expvar. Each daemon has its own map because the
// global one panics when a name is published twice, as with several daemons in one
// test process.
type metrics struct {
	vars        *expvar.Map
	counters    *expvar.Map
	ticks       expvar.Int
	busyTime    expvar.Int
	longestTick expvar.Int
	bytesIn     expvar.Int
	bytesOut    expvar.Int
	snapshot    atomic.Pointer[snapshot]

	// publishedAt and publishedGeneration are used by the control thread only.
	publishedAt         table.Instant
	publishedGeneration table.Generation
}

func newMetrics(opts *Options, g *guard.Guard) *metrics {
	m := &metrics{vars: new(expvar.Map).Init(), counters: new(expvar.Map).Init()}
	id := new(expvar.String)
	id.Set(string(opts.ID))
	m.vars.Set("process", id)
	m.vars.Set("counters", m.counters)
	m.vars.Set("control_ticks", &m.ticks)
	m.vars.Set("control_busy_ns", &m.busyTime)
	m.vars.Set("control_longest_tick_ns", &m.longestTick)
	m.vars.Set("peer_bytes_in", &m.bytesIn)
	m.vars.Set("peer_bytes_out", &m.bytesOut)
	m.vars.Set("memstats", expvar.Get("memstats"))
	m.vars.Set("clients", expvar.Func(func() any {
		values := map[string]int64{}
		g.Stats().Each(func(name string, n int64) { values[name] = n })
		return values
	}))
	m.snapshot.Store(&snapshot{})
	return m
}

// publish exports the counters and a new snapshot, at most once per publishInterval
// unless the configuration changed. It runs on the control thread.
func (m *metrics) publish(w *world.World, usage control.Usage) {
	if w.Now.Sub(m.publishedAt) < publishInterval && m.publishedGeneration == w.Config.Generation {
		return
	}
	m.publishedAt, m.publishedGeneration = w.Now, w.Config.Generation
	m.ticks.Set(int64(usage.Ticks))
	m.busyTime.Set(int64(usage.Busy))
	m.longestTick.Set(int64(usage.Longest))
	w.Counters.Each(func(name string, n *int64) {
		value := new(expvar.Int)
		value.Set(*n)
		m.counters.Set(name, value)
	})
	m.snapshot.Store(newSnapshot(w))
}

func newSnapshot(w *world.World) *snapshot {
	s := &snapshot{
		Generation: w.Config.Generation, ConfigText: w.Config.YAML,
		Processes: make([]table.Process, 0, w.Processes.Len()),
		Endpoints: make([]table.Endpoint, 0, w.Endpoints.Len()),
	}
	w.Processes.Each(func(_ table.ProcessID, p *table.Process) { s.Processes = append(s.Processes, *p) })
	w.Endpoints.Each(func(_ table.EndpointID, e *table.Endpoint) { s.Endpoints = append(s.Endpoints, *e) })
	return s
}

func (m *metrics) countPeerBytes(in, out int) {
	m.bytesIn.Add(int64(in))
	m.bytesOut.Add(int64(out))
}

// handler serves metrics at /debug/vars and readiness at /healthz.
func (m *metrics) handler(ready func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		// A write fails only if the client disconnected.
		_, _ = w.Write([]byte(m.vars.String()))
	})
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "draining", http.StatusServiceUnavailable)
		}
	})
	return mux
}
