package gateway

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/control"
	"laburnumroad.dev/laburnumroad/internal/system/link"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/guard"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// MetricsPort is the port of the metrics server. It is fixed because the
	// platform's settings contain no address for metrics. deploy/system.toml must
	// contain the same port.
	MetricsPort = 9464
	// MetricsPath is the path where counters and histograms are served.
	MetricsPath = "/metrics"

	// publishInterval is the minimum time between copies of the counters, so that a
	// busy control thread does not copy them at each tick.
	publishInterval = time.Second
	// maxLatency is the upper bound of the histograms; longer times count as this.
	maxLatency = time.Minute
	// latencyPrecision is the number of significant decimal digits of the histograms.
	latencyPrecision = 2
)

// metrics holds copies of the control thread's counters, and the latency histograms.
// The control thread writes both and the metrics server reads them.
type metrics struct {
	mu       sync.Mutex
	counters map[string]int64
	// latencies holds the histograms, in microseconds, by name.
	latencies map[string]*hdrhistogram.Histogram

	// guard counts what clients make the process hold.
	guard *guard.Guard

	// lastPublished is used by the control thread only and not guarded by mu.
	lastPublished table.Instant
}

func newMetrics(g *guard.Guard) *metrics {
	return &metrics{counters: make(map[string]int64), latencies: make(map[string]*hdrhistogram.Histogram), guard: g}
}

// publish copies the counters, at most once per publishInterval. It runs on the
// control thread.
func (m *metrics) publish(w *world.World, usage control.Usage) {
	if w.Now.Sub(m.lastPublished) < publishInterval {
		return
	}
	m.lastPublished = w.Now
	m.mu.Lock()
	defer m.mu.Unlock()
	w.Counters.Each(func(name string, n *int64) { m.counters[name] = *n })
	m.guard.Stats().Each(func(name string, n int64) { m.counters[name] = n })
	m.counters["control.ticks"] = int64(usage.Ticks)
	m.counters["control.busy_us"] = usage.Busy.Microseconds()
	m.counters["control.longest_tick_us"] = usage.Longest.Microseconds()
	m.counters["exchanges.open"] = int64(w.Exchanges.Len())
	m.counters["endpoints.listed"] = int64(w.DirectEndpoints.Len())
	suspects, available, reserved := int64(0), int64(0), int64(0)
	w.DirectEndpoints.Each(func(_ table.EndpointID, e *table.DirectEndpoint) {
		if e.SuspectUntil > w.Now {
			suspects++
		}
	})
	w.Accounts.Each(func(_ table.CustomerID, a *table.Account) {
		available += int64(a.Available())
		reserved += int64(a.Reserved)
	})
	limited := int64(0)
	w.EndpointNotices.Each(func(_ table.EndpointID, n *table.EndpointNotice) {
		if n.RateLimited {
			limited++
		}
	})
	m.counters["endpoints.limited"] = limited
	m.counters["domains.evacuated"] = int64(w.Evacuations.Len())
	cold := int64(0)
	w.ColdEndpoints.Each(func(_ table.EndpointID, c *table.ColdEndpoint) {
		if c.IsCold(w.Now) {
			cold++
		}
	})
	m.counters["endpoints.cold"] = cold
	quarantinedParts := int64(0)
	w.PartQuarantines.Each(func(_ table.Fingerprint, q *table.PartQuarantine) {
		if q.Until > w.Now {
			quarantinedParts++
		}
	})
	m.counters["quarantine.parts"] = quarantinedParts
	m.counters["quarantine.open_crashes"] = int64(w.EndpointCrashes.Len())
	m.counters["quarantine.sound_parts"] = int64(w.SoundParts.Len())
	m.counters["endpoints.suspect"] = suspects
	queueTime, demand := link.Load(w)
	m.counters["link.queue_us"], m.counters["link.demand_bytes_per_s"] = queueTime.Microseconds(), int64(demand)
	m.counters["link.out_of_rotation"] = 0
	if w.Link.OutOfRotation {
		m.counters["link.out_of_rotation"] = 1
	}
	m.counters["budget.free_tokens"] = available
	m.counters["budget.reserved_tokens"] = reserved
}

// recordExchange records the duration of an exchange and the time to its first
// event. It runs on the control thread.
func (m *metrics) recordExchange(f *command.FinishExchange) {
	outcome := "refused"
	switch {
	case f.Deliver && f.Outcome.OK:
		outcome = "answered"
	case f.Deliver || f.Outcome.Ran != table.NotRun:
		outcome = "failed"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordLatency("exchange."+f.RouteKind.String()+"."+outcome, f.Age)
	if f.FirstEventTime > 0 {
		m.recordLatency("first_event."+outcome, f.FirstEventTime)
	}
}

func (m *metrics) recordLatency(name string, d time.Duration) {
	h := m.latencies[name]
	if h == nil {
		h = hdrhistogram.New(1, maxLatency.Microseconds(), latencyPrecision)
		m.latencies[name] = h
	}
	// The value is clamped to the histogram's range, so RecordValue cannot fail.
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxLatency.Microseconds()))
}

// ServeHTTP writes one line for each counter and each histogram, sorted by name.
func (m *metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	lines := make([]string, 0, len(m.counters)+len(m.latencies))
	for name, n := range m.counters {
		lines = append(lines, name+" "+strconv.FormatInt(n, 10))
	}
	for name, h := range m.latencies {
		lines = append(lines, fmt.Sprintf("%s_us count=%d p50=%d p90=%d p99=%d max=%d", name, h.TotalCount(),
			h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.Max()))
	}
	m.mu.Unlock()
	slices.Sort(lines)
	var b bytes.Buffer
	for _, line := range lines {
		b.WriteString(line + "\n")
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// A write fails only if the client disconnected.
	_, _ = w.Write(b.Bytes())
}
