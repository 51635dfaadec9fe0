package runner

import (
	"fmt"
	"runtime"
	"testing"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/wire"
)

// BenchmarkKeptAnswer measures the heap memory of one kept answer for several lengths.
func BenchmarkKeptAnswer(b *testing.B) {
	const answers = 200
	for _, n := range []int{16, 64, 312, 1_024, 4_096} {
		b.Run(fmt.Sprintf("tokens=%d", n), func(b *testing.B) {
			for range b.N {
				before := liveHeapBytes()
				retained := make([]*answer, answers)
				for i := range retained {
					retained[i] = newSampleAnswer(i, n)
				}
				b.ReportMetric(float64(liveHeapBytes()-before)/answers, "heap-B")
				b.ReportMetric(0, "ns/op")
				runtime.KeepAlive(retained)
			}
		})
	}
}

func newSampleAnswer(i, tokens int) *answer {
	a := newAnswer(table.RequestID(fmt.Sprintf("customer-0123/key-%08d", i)), "", 0)
	for t := range tokens {
		a.append(1, fmt.Sprintf("%05d", t%100_000))
	}
	a.finish(wire.End{Status: event.AttemptDone, Ran: table.DidRun, PromptTokens: 90})
	return a
}

// liveHeapBytes returns the size of the heap after garbage collection.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
