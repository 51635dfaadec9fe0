package loadtool

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyMicros is the highest trackable value of the histograms.
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of the histograms.
	significantDigits = 3
)

// Result holds the measurements of a load test.
type Result struct {
	// Sent counts the requests that were sent, NotSent those that were due while
	// MaxOpen requests were in flight.
	Sent, NotSent int
	// Completed counts requests with a complete response, ErrorCodes the others by
	// error code.
	Completed  int
	ErrorCodes map[string]int
	Tokens     int64
	// FirstTokenLatency, TokenInterval and Latency are in microseconds. The latencies
	// are measured from the scheduled send time, not from the actual one.
	FirstTokenLatency, TokenInterval, Latency *hdrhistogram.Histogram
}

func newResult() Result {
	return Result{ErrorCodes: map[string]int{}, FirstTokenLatency: newHistogram(), TokenInterval: newHistogram(), Latency: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigits)
}

// record adds the outcome of a request. Only complete responses count for latencies.
func (r *Result) record(req *request, e *completion) {
	r.Tokens += e.tokens
	if e.code != "" {
		r.ErrorCodes[e.code]++
		return
	}
	r.Completed++
	recordDuration(r.Latency, e.latency)
	if req.isCall {
		return
	}
	recordDuration(r.FirstTokenLatency, e.firstTokenLatency)
	for _, interval := range e.tokenIntervals {
		recordDuration(r.TokenInterval, interval)
	}
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// The error can be ignored: RecordValue fails only for values out of range, and the
	// value is clamped. Request timeouts are expected to be shorter than the maximum.
	_ = h.RecordValue(min(maxLatencyMicros, max(1, d.Microseconds())))
}

// Write prints the result as Markdown.
func (r *Result) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "sent %d, not sent %d, completed %d, tokens %d\n\n", r.Sent, r.NotSent, r.Completed, r.Tokens)
	if err != nil {
		return err
	}
	for _, code := range slices.Sorted(maps.Keys(r.ErrorCodes)) {
		if _, err := fmt.Fprintf(w, "failed with %s: %d\n\n", code, r.ErrorCodes[code]); err != nil {
			return err
		}
	}
	if _, err := io.WriteString(w, "| latency in ms | count | p50 | p95 | p99 | max |\n|---|---|---|---|---|---|\n"); err != nil {
		return err
	}
	for _, row := range []struct {
		name string
		h    *hdrhistogram.Histogram
	}{{"first token", r.FirstTokenLatency}, {"between tokens", r.TokenInterval}, {"complete response", r.Latency}} {
		quantileMS := func(q float64) float64 { return float64(row.h.ValueAtQuantile(q)) / 1000 }
		_, err := fmt.Fprintf(w, "| %s | %d | %.1f | %.1f | %.1f | %.1f |\n",
			row.name, row.h.TotalCount(), quantileMS(50), quantileMS(95), quantileMS(99), float64(row.h.Max())/1000)
		if err != nil {
			return err
		}
	}
	return nil
}
