package dedup_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// crashingFingerprint identifies content that crashes every endpoint that runs it.
const crashingFingerprint = table.Fingerprint(666)

// maxCrashes limits the crashes of one request whose caller resends it. With a
// crash limit of 2 and two slots per endpoint, the first crash counts 1/2. Its report
// may arrive after the next attempt was sent, so the second crash counts 1/2 too. The
// third attempt runs alone and reaches the limit, and one more attempt may be in
// transit by then.
const maxCrashes = 4

// countCrashes returns how often the crashing request crashed an endpoint.
func (f *fleet) countCrashes() int {
	n := 0
	for _, x := range f.runs {
		if x.fingerprint == crashingFingerprint && x.ended {
			n++
		}
	}
	return n
}

// resendCrashingRequest sends the crashing request under a new key, unless an earlier
// one is in progress.
func resendCrashingRequest(f *fleet) {
	for _, c := range f.requests {
		if c.fingerprint == crashingFingerprint && !c.answered {
			return
		}
	}
	id := table.MakeRequestID(customer, fmt.Sprintf("crash-%d", len(f.requests)))
	f.sendRequest(drawElement(f, "router", f.routers), id, crashingFingerprint, false)
}

// sendNormalRequest sends a request with unique content.
func sendNormalRequest(f *fleet) {
	fingerprint := table.Fingerprint(1000 + len(f.requests))
	f.sendRequest(drawElement(f, "router", f.routers), table.MakeRequestID(customer, fmt.Sprintf("good-%d", len(f.requests))), fingerprint, false)
}

func finishRandomRun(f *fleet) {
	var running []*execution
	for _, x := range f.runs {
		if !x.ended {
			running = append(running, x)
		}
	}
	if len(running) > 0 {
		f.finishRun(drawElement(f, "run", running))
	}
}

func duplicateCrashReport(f *fleet) {
	for _, m := range f.messages {
		if _, ok := m.event.(event.Crash); ok {
			f.messages = append(f.messages, m)
			return
		}
	}
}

// Guards against a request that crashes one endpoint after another, and against
// quarantining the requests that ran in parallel with it.
func TestCrashingRequestStopsAndOthersFinish(t *testing.T) {
	actions := []action{deliverOldest, deliverOldest, deliverOldest, resendCrashingRequest, sendNormalRequest, finishRandomRun, finishRandomRun, duplicateCrashReport}
	rapid.Check(t, func(t *rapid.T) {
		f := newRapidFleet(t, 2, 4)
		f.modelRequests, f.crashFingerprint = true, crashingFingerprint
		f.runActions(actions, func() { require.LessOrEqual(t, f.countCrashes(), maxCrashes) })
		f.runUntilIdle()
		require.LessOrEqual(t, f.countCrashes(), maxCrashes)
		for _, c := range f.requests {
			require.True(t, c.answered)
			if c.fingerprint != crashingFingerprint {
				require.True(t, c.outcome.OK, "%s: %s %s", c.id, c.outcome.Code, c.outcome.Reason)
			}
		}
	})
}
