// Package loadtest offers seeded load to the routing systems in virtual time.
//
// The routers are the real systems over a World each. Endpoints follow a
// service-time model: a number of slots, a first-token time that grows with the
// prompt, and a time per token. The naive router sends each request to the next
// endpoint in turn, where it queues in order of arrival, and sends it again
// without limit whenever its first token is late.
package loadtest

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Scenario is one load on one fleet.
type Scenario struct {
	Seed      uint64
	Routers   int
	Endpoints int
	Slots     int
	// Rate is the number of requests per second over all routers, of which
	// LongShare are long.
	Rate      float64
	LongShare float64
	// WarmUp is left out of the results, and so is the last coolDown, whose
	// requests may have no answer at the end of the run.
	WarmUp   time.Duration
	Duration time.Duration
	// Deadline is the time to the first token of quick requests; 0 means none.
	Deadline time.Duration
	// From SlowFrom on, the first Slowed endpoints take SlowFactor times as long.
	Slowed     int
	SlowFactor float64
	SlowFrom   time.Duration
	// From SurgeFrom on, the rate of quick requests grows to SurgeFactor times
	// within SurgeRamp and stays there.
	SurgeFactor float64
	SurgeFrom   time.Duration
	SurgeRamp   time.Duration
	// LateReports is the age of what endpoints report of their load and speed.
	LateReports time.Duration
	// QueueAtEndpoint lets endpoints queue work above their slots in order of
	// arrival. It is always so for the naive version.
	QueueAtEndpoint bool
	// OneClass makes all work quick, so that no slots are kept. SplitLong
	// endpoints run long work only, and the others quick work only.
	OneClass  bool
	SplitLong int
}

// coolDown is longer than any deadline of the benchmarks.
const coolDown = 5 * time.Second

// Result is what the callers saw after the warm-up.
type Result struct {
	// QuickWait and LongWait are the times until a slot of an endpoint, in
	// microseconds, as are the times to the first token of quick and of all
	// requests.
	QuickWait  *hdrhistogram.Histogram
	LongWait   *hdrhistogram.Histogram
	FirstToken *hdrhistogram.Histogram
	AllFirst   *hdrhistogram.Histogram
	// Quick counts quick requests, and OnTime those with a first token in time.
	Quick  int
	OnTime int
	// Requests and Attempts count all requests and the attempts made of them.
	// Busy are attempts that an agent refused for want of slots.
	Requests int
	Attempts int
	Busy     int
	// Tokens are output tokens of quick answers that began in time.
	Tokens int64
}

func newResult() *Result {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, time.Hour.Microseconds(), 3)
	}
	return &Result{QuickWait: histogram(), LongWait: histogram(), FirstToken: histogram(), AllFirst: histogram()}
}

// Amplification is the number of attempts per request, without those that no
// endpoint accepted.
func (r *Result) Amplification() float64 {
	return float64(r.Attempts-r.Busy) / float64(max(1, r.Requests))
}

// rateFactor is the growth of quick load at a time.
func (s *Scenario) rateFactor(at time.Duration) float64 {
	if s.SurgeFactor == 0 || at < s.SurgeFrom {
		return 1
	}
	progress := min(1, float64(at-s.SurgeFrom)/float64(max(1, s.SurgeRamp)))
	return 1 + progress*(s.SurgeFactor-1)
}

// slowFactor is how much longer an endpoint takes at a time.
func (s *Scenario) slowFactor(endpoint int, at time.Duration) float64 {
	if endpoint < s.Slowed && at >= s.SlowFrom {
		return s.SlowFactor
	}
	return 1
}

func (r *Result) offered(q *request) {
	if !q.measured {
		return
	}
	r.Requests++
	if !q.long {
		r.Quick++
	}
}

func (r *Result) answered(q *request, took, deadline time.Duration) {
	_ = r.AllFirst.RecordValue(took.Microseconds())
	if q.long {
		return
	}
	_ = r.FirstToken.RecordValue(took.Microseconds())
	if deadline > 0 && took > deadline {
		return
	}
	r.OnTime++
	r.Tokens += int64(q.output)
}
