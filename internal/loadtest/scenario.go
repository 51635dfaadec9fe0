// Package loadtest simulates load on the routing systems in virtual time, reproducibly
// from a seed.
//
// Each router runs the production systems over its own World. Endpoints follow a
// service-time model: a number of slots, a first-token time that grows with the prompt,
// and a constant time per token. The naive router is the baseline for comparison: it
// assigns requests round-robin to endpoints, where they queue in FIFO order, and resends
// a request without limit whenever its first token is late.
package loadtest

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Scenario describes a fleet and the load on it.
type Scenario struct {
	Seed      uint64
	Routers   int
	Endpoints int
	Slots     int
	// Rate is the number of requests per second over all routers, LongShare the fraction
	// of them that are long.
	Rate      float64
	LongShare float64
	// Requests that arrive during WarmUp are not measured. Neither are those of the last
	// coolDown, which may still wait for their first token at the end of the run.
	WarmUp   time.Duration
	Duration time.Duration
	// Deadline is the first-token deadline of quick requests; 0 means none.
	Deadline time.Duration
	// From SlowFrom on, the first SlowEndpoints endpoints take SlowFactor times as long.
	SlowEndpoints int
	SlowFactor    float64
	SlowFrom      time.Duration
	// From SurgeFrom on, the rate of quick requests grows linearly to SurgeFactor times
	// the normal rate within SurgeRamp and stays there. A SurgeFactor of 0 means no surge.
	SurgeFactor float64
	SurgeFrom   time.Duration
	SurgeRamp   time.Duration
	// ReportDelay is the age of the token times in the endpoints' load reports.
	ReportDelay time.Duration
	// QueueAtEndpoint makes endpoints queue requests in FIFO order when all slots are in
	// use. RunNaive always sets it.
	QueueAtEndpoint bool
	// SingleClass classifies all requests as quick, so that no slots are reserved for
	// quick ones. If LongEndpoints is positive, that many endpoints run only long
	// requests and the others only quick ones.
	SingleClass   bool
	LongEndpoints int
}

// coolDown is longer than any deadline of the benchmarks.
const coolDown = 5 * time.Second

// Result holds the measurements of the requests that arrive after the warm-up and before
// the cool-down.
type Result struct {
	// QuickWait and LongWait are the times from arrival until a request gets a slot.
	// FirstToken and FirstTokenAll are the times to the first token of quick requests
	// and of all requests. All are in microseconds.
	QuickWait     *hdrhistogram.Histogram
	LongWait      *hdrhistogram.Histogram
	FirstToken    *hdrhistogram.Histogram
	FirstTokenAll *hdrhistogram.Histogram
	// QuickRequests counts quick requests, QuickOnTime those that met the deadline.
	QuickRequests int
	QuickOnTime   int
	// Requests counts all requests, Attempts their attempts, and RejectedAttempts the
	// attempts that an agent rejected because all slots were in use.
	Requests         int
	Attempts         int
	RejectedAttempts int
	// OnTimeTokens counts the output tokens of the quick requests that met the deadline.
	OnTimeTokens int64
}

func newResult() *Result {
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, time.Hour.Microseconds(), 3)
	}
	return &Result{QuickWait: newHistogram(), LongWait: newHistogram(), FirstToken: newHistogram(), FirstTokenAll: newHistogram()}
}

// Amplification returns the number of accepted attempts per request.
func (r *Result) Amplification() float64 {
	return float64(r.Attempts-r.RejectedAttempts) / float64(max(1, r.Requests))
}

// rateFactor returns the ratio of the rate of quick requests at a time to the normal rate.
func (s *Scenario) rateFactor(at time.Duration) float64 {
	if s.SurgeFactor == 0 || at < s.SurgeFrom {
		return 1
	}
	progress := min(1, float64(at-s.SurgeFrom)/float64(max(1, s.SurgeRamp)))
	return 1 + progress*(s.SurgeFactor-1)
}

// slowFactor returns the factor by which service times of an endpoint grow at a time.
func (s *Scenario) slowFactor(endpoint int, at time.Duration) float64 {
	if endpoint < s.SlowEndpoints && at >= s.SlowFrom {
		return s.SlowFactor
	}
	return 1
}

func (r *Result) countRequest(req *request) {
	if !req.measured {
		return
	}
	r.Requests++
	if !req.long {
		r.QuickRequests++
	}
}

func (r *Result) recordFirstToken(req *request, latency, deadline time.Duration) {
	_ = r.FirstTokenAll.RecordValue(latency.Microseconds())
	if req.long {
		return
	}
	_ = r.FirstToken.RecordValue(latency.Microseconds())
	if deadline > 0 && latency > deadline {
		return
	}
	r.QuickOnTime++
	r.OnTimeTokens += int64(req.output)
}
