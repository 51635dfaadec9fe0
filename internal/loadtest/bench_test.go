package loadtest

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const seed = 20261204

// fleet describes the size of a fleet that users run.
type fleet struct {
	name      string
	endpoints int
}

var fleets = []fleet{{"accra", 10}, {"tas-north", 12}}

// forEachFleet runs fn as a sub-benchmark for each fleet, with 3 and with 30 routers.
func forEachFleet(b *testing.B, fn func(b *testing.B, s Scenario)) {
	for _, f := range fleets {
		for _, routers := range []int{3, 30} {
			b.Run(fmt.Sprintf("%s/routers=%d", f.name, routers), func(b *testing.B) {
				fn(b, Scenario{
					Seed: seed, Routers: routers, Endpoints: f.endpoints, Slots: 8,
					LongShare: 0.05, WarmUp: 60 * time.Second, Duration: 300 * time.Second, ReportDelay: 2 * time.Second,
				})
			})
		}
	}
}

// totalRate returns the request rate of the whole fleet for a rate per endpoint.
func totalRate(s Scenario, ratePerEndpoint float64) float64 {
	return ratePerEndpoint * float64(s.Endpoints)
}

// quantileMS returns the q-th percentile, in milliseconds, of a histogram of microseconds.
func quantileMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond.Microseconds())
}

// BenchmarkHeadOfLine measures how long quick requests wait for a slot when 5% of the
// requests are long, at about 70% of the capacity.
func BenchmarkHeadOfLine(b *testing.B) {
	forEachFleet(b, func(b *testing.B, s Scenario) {
		s.Rate = totalRate(s, 2)
		for b.Loop() {
			system, naive := RunSystems(s), RunNaive(s)
			b.ReportMetric(quantileMS(system.QuickWait, 50), "p50-ms")
			b.ReportMetric(quantileMS(system.QuickWait, 99), "p99-ms")
			b.ReportMetric(quantileMS(naive.QuickWait, 50), "naive-p50-ms")
			b.ReportMetric(quantileMS(naive.QuickWait, 99), "naive-p99-ms")
			b.ReportMetric(quantileMS(naive.QuickWait, 99)/max(1, quantileMS(system.QuickWait, 99)), "p99-gain")
			b.ReportMetric(float64(system.RejectedAttempts)/float64(system.Requests), "busy/request")
		}
	})
}

// BenchmarkSlowEndpoints compares the time to the first token with and without 2
// endpoints that are slowed down 5x from the end of the warm-up on, under the same load.
func BenchmarkSlowEndpoints(b *testing.B) {
	forEachFleet(b, func(b *testing.B, s Scenario) {
		s.Rate = totalRate(s, 1.4)
		slow := s
		slow.SlowEndpoints, slow.SlowFactor, slow.SlowFrom = 2, 5, s.WarmUp
		for b.Loop() {
			baseline, system, naive := RunSystems(s), RunSystems(slow), RunNaive(slow)
			b.ReportMetric(quantileMS(baseline.FirstToken, 99), "unslowed-p99-ms")
			b.ReportMetric(quantileMS(system.FirstToken, 99), "slowed-p99-ms")
			b.ReportMetric(quantileMS(system.FirstToken, 99)/quantileMS(baseline.FirstToken, 99), "p99-ratio")
			b.ReportMetric(quantileMS(system.FirstTokenAll, 99)/quantileMS(baseline.FirstTokenAll, 99), "all-p99-ratio")
			b.ReportMetric(quantileMS(naive.FirstToken, 99), "naive-slowed-p99-ms")
		}
	})
}

// BenchmarkSurge measures on-time first tokens, goodput and attempts per request when the
// rate of quick requests grows 10x within 2 s, to about 88% of the capacity.
func BenchmarkSurge(b *testing.B) {
	forEachFleet(b, func(b *testing.B, s Scenario) { runSurge(b, s, 0.7) })
}

// BenchmarkSurgeAboveCapacity runs the same surge to about 126% of the capacity.
func BenchmarkSurgeAboveCapacity(b *testing.B) {
	forEachFleet(b, func(b *testing.B, s Scenario) { runSurge(b, s, 1) })
}

func runSurge(b *testing.B, s Scenario, ratePerEndpoint float64) {
	s.Rate = totalRate(s, ratePerEndpoint)
	s.Deadline = time.Second
	s.SurgeFactor, s.SurgeFrom, s.SurgeRamp = 10, 120*time.Second, 2*time.Second
	s.WarmUp = s.SurgeFrom + s.SurgeRamp
	s.Duration = s.WarmUp + 60*time.Second
	for b.Loop() {
		system, naive := RunSystems(s), RunNaive(s)
		report := func(r *Result, prefix string) {
			b.ReportMetric(100*float64(r.QuickOnTime)/float64(r.QuickRequests), prefix+"on-time-%")
			b.ReportMetric(float64(r.OnTimeTokens)/(s.Duration-coolDown-s.WarmUp).Seconds(), prefix+"goodput-tokens/s")
			b.ReportMetric(r.Amplification(), prefix+"attempts/request")
		}
		report(system, "")
		report(naive, "naive-")
	}
}

// BenchmarkAlternatives compares the chosen queueing discipline with alternatives at
// about 70% and at about 91% of the capacity.
func BenchmarkAlternatives(b *testing.B) {
	variants := []struct {
		name      string
		configure func(s *Scenario)
	}{
		{"chosen", func(*Scenario) {}},
		{"one-class", func(s *Scenario) { s.SingleClass = true }},
		{"split-7-of-10", func(s *Scenario) { s.LongEndpoints = 7 * s.Endpoints / 10 }},
		{"queue-at-endpoint", func(s *Scenario) { s.QueueAtEndpoint = true }},
	}
	for _, rate := range []float64{2, 2.6} {
		for _, v := range variants {
			b.Run(fmt.Sprintf("rate=%g/%s", rate, v.name), func(b *testing.B) {
				forEachFleet(b, func(b *testing.B, s Scenario) {
					s.Rate = totalRate(s, rate)
					v.configure(&s)
					for b.Loop() {
						reportWaits(b, RunSystems(s))
					}
				})
			})
		}
	}
}

func reportWaits(b *testing.B, r *Result) {
	b.ReportMetric(quantileMS(r.QuickWait, 50), "p50-ms")
	b.ReportMetric(quantileMS(r.QuickWait, 99), "p99-ms")
	b.ReportMetric(quantileMS(r.LongWait, 50), "long-p50-ms")
	b.ReportMetric(quantileMS(r.LongWait, 99), "long-p99-ms")
	b.ReportMetric(float64(r.Requests-int(r.QuickWait.TotalCount()+r.LongWait.TotalCount())), "unserved")
}
