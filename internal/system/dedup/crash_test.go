package dedup_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// crashPrint is the content that kills every endpoint that runs it.
const crashPrint = table.Fingerprint(666)

// maxCrashes bounds the crashes of one request whose caller resends it. With a
// limit of 2 and two slots, the first crash counts 1/2. Its report may arrive
// after the next attempt was sent, so the second counts 1/2 too. The third runs
// alone and reaches the limit, and one more attempt may be on its way by then.
const maxCrashes = 4

// crashes counts the endpoints that the crasher killed.
func (f *fleet) crashes() int {
	n := 0
	for _, x := range f.runs {
		if x.print == crashPrint && x.ended {
			n++
		}
	}
	return n
}

// resendCrasher sends the crashing request under a new key, as its caller does
// once the last answer was a failure.
func resendCrasher(f *fleet) {
	for _, c := range f.calls {
		if c.print == crashPrint && !c.answered {
			return
		}
	}
	id := table.MakeRequestID(customer, fmt.Sprintf("crash-%d", len(f.calls)))
	f.call(pick(f, "router", f.routers), id, crashPrint, false)
}

// callInnocent sends a request with content of its own.
func callInnocent(f *fleet) {
	print := table.Fingerprint(1000 + len(f.calls))
	f.call(pick(f, "router", f.routers), table.MakeRequestID(customer, fmt.Sprintf("good-%d", len(f.calls))), print, false)
}

func finishAny(f *fleet) {
	var open []*execution
	for _, x := range f.runs {
		if !x.ended {
			open = append(open, x)
		}
	}
	if len(open) > 0 {
		f.finishRun(pick(f, "run", open))
	}
}

func duplicateCrash(f *fleet) {
	for _, m := range f.net {
		if _, ok := m.event.(event.Crash); ok {
			f.net = append(f.net, m)
			return
		}
	}
}

// Guards against a request that takes down endpoint after endpoint, and against
// blame for the requests that ran beside it.
func TestCrasherStopsAndInnocentFinish(t *testing.T) {
	faults := []fault{deliverOldest, deliverOldest, deliverOldest, resendCrasher, callInnocent, finishAny, finishAny, duplicateCrash}
	rapid.Check(t, func(t *rapid.T) {
		f := drawnFleet(t, 2, 4)
		f.model, f.crasher = true, crashPrint
		f.steps(faults, func() { require.LessOrEqual(t, f.crashes(), maxCrashes) })
		f.settle()
		require.LessOrEqual(t, f.crashes(), maxCrashes)
		for _, c := range f.calls {
			require.True(t, c.answered)
			if c.print != crashPrint {
				require.True(t, c.outcome.OK, "%s: %s %s", c.id, c.outcome.Code, c.outcome.Reason)
			}
		}
	})
}
