package loadtest

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const seed = 20261204

// deployment is the size of one of the users' fleets.
type deployment struct {
	name      string
	endpoints int
}

var deployments = []deployment{{"accra", 10}, {"tas-north", 12}}

// each runs fn for both deployments, with 3 and with 30 routers.
func each(b *testing.B, fn func(b *testing.B, s Scenario)) {
	for _, d := range deployments {
		for _, routers := range []int{3, 30} {
			b.Run(fmt.Sprintf("%s/routers=%d", d.name, routers), func(b *testing.B) {
				fn(b, Scenario{
					Seed: seed, Routers: routers, Endpoints: d.endpoints, Slots: 8,
					LongShare: 0.05, WarmUp: 60 * time.Second, Duration: 300 * time.Second, LateReports: 2 * time.Second,
				})
			})
		}
	}
}

// perEndpoint is a rate for each endpoint.
func perEndpoint(s Scenario, rate float64) float64 { return rate * float64(s.Endpoints) }

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond.Microseconds())
}

// BenchmarkHeadOfLine measures the wait of quick requests for a slot with 5% long
// jobs at about 70% of the capacity.
func BenchmarkHeadOfLine(b *testing.B) {
	each(b, func(b *testing.B, s Scenario) {
		s.Rate = perEndpoint(s, 2)
		for b.Loop() {
			p, n := RunProduct(s), RunNaive(s)
			b.ReportMetric(quantile(p.QuickWait, 50), "p50-ms")
			b.ReportMetric(quantile(p.QuickWait, 99), "p99-ms")
			b.ReportMetric(quantile(n.QuickWait, 50), "naive-p50-ms")
			b.ReportMetric(quantile(n.QuickWait, 99), "naive-p99-ms")
			b.ReportMetric(quantile(n.QuickWait, 99)/max(1, quantile(p.QuickWait, 99)), "p99-gain")
			b.ReportMetric(float64(p.Busy)/float64(p.Requests), "busy/request")
		}
	})
}

// BenchmarkSlowEndpoints measures the time to the first token with 2 of the endpoints
// slowed 5x from the end of the warm-up on, against the same load unslowed.
func BenchmarkSlowEndpoints(b *testing.B) {
	each(b, func(b *testing.B, s Scenario) {
		s.Rate = perEndpoint(s, 1.4)
		slow := s
		slow.Slowed, slow.SlowFactor, slow.SlowFrom = 2, 5, s.WarmUp
		for b.Loop() {
			base, p, n := RunProduct(s), RunProduct(slow), RunNaive(slow)
			b.ReportMetric(quantile(base.FirstToken, 99), "unslowed-p99-ms")
			b.ReportMetric(quantile(p.FirstToken, 99), "slowed-p99-ms")
			b.ReportMetric(quantile(p.FirstToken, 99)/quantile(base.FirstToken, 99), "p99-ratio")
			b.ReportMetric(quantile(p.AllFirst, 99)/quantile(base.AllFirst, 99), "all-p99-ratio")
			b.ReportMetric(quantile(n.FirstToken, 99), "naive-slowed-p99-ms")
		}
	})
}

// BenchmarkSurge measures quick interactive work whose rate grows 10x within 2 s,
// to about 88% of the capacity.
func BenchmarkSurge(b *testing.B) {
	each(b, func(b *testing.B, s Scenario) { surge(b, s, 0.7) })
}

// BenchmarkSurgeAboveCapacity measures the same at about 126% of the capacity.
func BenchmarkSurgeAboveCapacity(b *testing.B) {
	each(b, func(b *testing.B, s Scenario) { surge(b, s, 1) })
}

func surge(b *testing.B, s Scenario, rate float64) {
	s.Rate = perEndpoint(s, rate)
	s.Deadline = time.Second
	s.SurgeFactor, s.SurgeFrom, s.SurgeRamp = 10, 120*time.Second, 2*time.Second
	s.WarmUp = s.SurgeFrom + s.SurgeRamp
	s.Duration = s.WarmUp + 60*time.Second
	for b.Loop() {
		p, n := RunProduct(s), RunNaive(s)
		report := func(r *Result, prefix string) {
			b.ReportMetric(100*float64(r.OnTime)/float64(r.Quick), prefix+"on-time-%")
			b.ReportMetric(float64(r.Tokens)/(s.Duration-coolDown-s.WarmUp).Seconds(), prefix+"goodput-tokens/s")
			b.ReportMetric(r.Amplification(), prefix+"attempts/request")
		}
		report(p, "")
		report(n, "naive-")
	}
}

// BenchmarkAlternatives measures other ways to queue at about 70% and at about 91%
// of the capacity.
func BenchmarkAlternatives(b *testing.B) {
	variants := []struct {
		name   string
		change func(s *Scenario)
	}{
		{"chosen", func(*Scenario) {}},
		{"one-class", func(s *Scenario) { s.OneClass = true }},
		{"split-7-of-10", func(s *Scenario) { s.SplitLong = 7 * s.Endpoints / 10 }},
		{"queue-at-endpoint", func(s *Scenario) { s.QueueAtEndpoint = true }},
	}
	for _, rate := range []float64{2, 2.6} {
		for _, v := range variants {
			b.Run(fmt.Sprintf("rate=%g/%s", rate, v.name), func(b *testing.B) {
				each(b, func(b *testing.B, s Scenario) {
					s.Rate = perEndpoint(s, rate)
					v.change(&s)
					for b.Loop() {
						reportWaits(b, RunProduct(s))
					}
				})
			})
		}
	}
}

func reportWaits(b *testing.B, r *Result) {
	b.ReportMetric(quantile(r.QuickWait, 50), "p50-ms")
	b.ReportMetric(quantile(r.QuickWait, 99), "p99-ms")
	b.ReportMetric(quantile(r.LongWait, 50), "long-p50-ms")
	b.ReportMetric(quantile(r.LongWait, 99), "long-p99-ms")
	b.ReportMetric(float64(r.Requests-int(r.QuickWait.TotalCount()+r.LongWait.TotalCount())), "unserved")
}
