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
	// longestTime is the longest time that a histogram tells apart, in microseconds.
	longestTime = int64(10 * time.Minute / time.Microsecond)
	// figures is the number of significant figures of a histogram.
	figures = 3
)

// Result is what a run of load measured.
type Result struct {
	// Sent counts requests; NotSent those that were due above MaxOpen.
	Sent, NotSent int
	// Whole counts whole answers, Codes the others by code.
	Whole  int
	Codes  map[string]int
	Tokens int64
	// FirstToken, Gap and Took are in microseconds. FirstToken and Took count
	// from when the request was due.
	FirstToken, Gap, Took *hdrhistogram.Histogram
}

func newResult() Result {
	return Result{Codes: map[string]int{}, FirstToken: newHistogram(), Gap: newHistogram(), Took: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestTime, figures) }

func (r *Result) add(c *call, e *ended) {
	r.Tokens += e.tokens
	if e.code != "" {
		r.Codes[e.code]++
		return
	}
	r.Whole++
	record(r.Took, e.took)
	if c.plain {
		return
	}
	record(r.FirstToken, e.firstToken)
	for _, gap := range e.gaps {
		record(r.Gap, gap)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// A value above the longest time cannot occur: requests have a timeout.
	_ = h.RecordValue(min(longestTime, max(1, d.Microseconds())))
}

// Write prints the result as Markdown.
func (r *Result) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "sent %d, not sent %d, whole answers %d, tokens %d\n\n", r.Sent, r.NotSent, r.Whole, r.Tokens)
	if err != nil {
		return err
	}
	for _, code := range slices.Sorted(maps.Keys(r.Codes)) {
		if _, err := fmt.Fprintf(w, "ended with %s: %d\n\n", code, r.Codes[code]); err != nil {
			return err
		}
	}
	if _, err := io.WriteString(w, "| time in ms | count | p50 | p95 | p99 | max |\n|---|---|---|---|---|---|\n"); err != nil {
		return err
	}
	for _, row := range []struct {
		name string
		h    *hdrhistogram.Histogram
	}{{"first token", r.FirstToken}, {"between tokens", r.Gap}, {"whole answer", r.Took}} {
		ms := func(q float64) float64 { return float64(row.h.ValueAtQuantile(q)) / 1000 }
		_, err := fmt.Fprintf(w, "| %s | %d | %.1f | %.1f | %.1f | %.1f |\n",
			row.name, row.h.TotalCount(), ms(50), ms(95), ms(99), float64(row.h.Max())/1000)
		if err != nil {
			return err
		}
	}
	return nil
}
