package e2e

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	pb "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
	"laburnumroad.dev/laburnumroad/internal/fake"
)

const longAnswerTokens = 400

// Guards against an answer that is truncated, repeated or charged twice when the
// endpoint crashes in the middle of the stream.
func TestEndpointCrashMidStream(t *testing.T) {
	f := newFleet(t, 1, 2)
	var once sync.Once
	result := f.generate(context.Background(), 0, &pb.GenerateRequest{
		Service: "tutor-model", Prompt: "review this session tokens=400", MaxOutputTokens: longAnswerTokens,
	}, func(partial *generateResult) {
		if partial.position >= 50 {
			once.Do(func() { f.crashActiveEngine() })
		}
	})
	require.NoError(t, result.err)
	require.True(t, result.isComplete())
	require.EqualValues(t, longAnswerTokens, result.position)
	require.Equal(t, fake.Answer("review this session tokens=400", longAnswerTokens), result.text)
	require.EqualValues(t, 4+longAnswerTokens, result.finished.Charged)
}

// crashActiveEngine crashes the engine that runs the only stream.
func (f *fleet) crashActiveEngine() {
	for _, e := range f.status(0).Endpoints {
		if e.Service == "tutor-model" && f.isRunning(e.Id) {
			f.engines[e.Id].Crash()
			return
		}
	}
}

// isRunning reports whether the engine of an endpoint runs a stream.
func (f *fleet) isRunning(endpoint string) bool { return f.engines[endpoint].Stats().Active > 0 }

// Guards against a second run or charge when a router crashes with open streams and
// the caller retries the request at another router.
func TestRouterCrashMidStream(t *testing.T) {
	f := newFleet(t, 2, 1)
	req := &pb.GenerateRequest{
		Service: "tutor-model", Prompt: "appraise the bowl tokens=400", MaxOutputTokens: longAnswerTokens, IdempotencyKey: "appraisal-1",
	}
	var once sync.Once
	interrupted := f.generate(context.Background(), 0, req, func(partial *generateResult) {
		if partial.position >= 20 {
			once.Do(f.routers[0].Kill)
		}
	})
	require.False(t, interrupted.isComplete(), "a truncated stream must not look complete")

	req.Retry = true
	retried := f.generate(context.Background(), 1, req, nil)
	require.NoError(t, retried.err)
	require.True(t, retried.isComplete())
	require.EqualValues(t, longAnswerTokens, retried.position)
	require.Equal(t, fake.Answer("appraise the bowl tokens=400", longAnswerTokens), retried.text)
	require.EqualValues(t, 0, retried.finished.Charged, "the first run is charged to the dead router's grant")
	require.EqualValues(t, 1, f.engines["engine-0"].Stats().Started, "runs at the engine")
}

// Guards against a top-up that counts twice or is reported as failed when the
// platform's response is lost after the write took effect.
func TestTopUpWithLostResponseCountsOnce(t *testing.T) {
	f := newFleet(t, 1, 1)
	before := f.collegeBudget(0).Deposited
	f.platform.SetFaults(fake.PlatformFaults{LoseWriteResponses: 1})
	f.topUp("college", 500, "second")
	f.topUp("college", 500, "second")
	require.EqualValues(t, before+500, f.collegeBudget(0).Deposited)
}

// Guards against rejecting requests during a platform outage although the router has a
// grant, and against losing the charges of the outage.
func TestRequestsUseGrantsDuringPlatformOutage(t *testing.T) {
	f := newFleet(t, 1, 1)
	req := &pb.GenerateRequest{Service: "tutor-model", Prompt: "tag this drill tokens=10", MaxOutputTokens: 10}
	require.NoError(t, f.generate(context.Background(), 0, req, nil).err)
	f.platform.SetFaults(fake.PlatformFaults{Outage: true})
	var charged int64
	for range 3 {
		result := f.generate(context.Background(), 0, req, nil)
		require.NoError(t, result.err)
		require.True(t, result.isComplete())
		charged += result.finished.Charged
	}
	require.EqualValues(t, 3*14, charged)
	f.platform.SetFaults(fake.PlatformFaults{})
	waitFor(t, "the settlement after the outage", func() bool {
		budget := f.collegeBudget(0)
		return budget.Settled == 4*14
	})
}

// Guards against reporting NOT_RUN during an outage although a claim for the call may
// exist, and against executing a non-idempotent call without a claim.
func TestUnclaimedCallIsNotExecutedDuringOutage(t *testing.T) {
	f := newFleet(t, 1, 1)
	req := &pb.CallRequest{Service: "classroom-app", Operation: "bookings", Body: []byte("{}"), IdempotencyKey: "kiln-1"}
	// The first call obtains a grant, so that the budget does not cause the refusal.
	_, err := f.callerClient(0).Call(context.Background(), newRequest(callerKey, &pb.CallRequest{Service: "classroom-app", Operation: "progress"}))
	require.NoError(t, err)
	f.platform.SetFaults(fake.PlatformFaults{Outage: true})
	_, err = f.callerClient(0).Call(context.Background(), newRequest(callerKey, req))
	refusal := refusalDetail(t, err)
	require.Equal(t, "CLAIM_UNAVAILABLE", refusal.Code)
	require.Equal(t, pb.Ran_RAN_NOT_RUN, refusal.Ran)
	require.Zero(t, executionsByKey(f)["college/kiln-1"])
}

// Guards against an issued key that requires the platform or is executed twice.
func TestIssuedKeyWorksDuringOutage(t *testing.T) {
	f := newFleet(t, 2, 1)
	_, err := f.callerClient(0).Call(context.Background(), newRequest(callerKey, &pb.CallRequest{Service: "classroom-app", Operation: "progress"}))
	require.NoError(t, err)
	f.platform.SetFaults(fake.PlatformFaults{Outage: true})
	issued, err := f.callerClient(0).IssueKey(context.Background(), newRequest(callerKey, &pb.IssueKeyRequest{Service: "classroom-app"}))
	require.NoError(t, err)
	req := &pb.CallRequest{
		Service: "classroom-app", Operation: "bookings", Body: []byte("{}"), IdempotencyKey: issued.Msg.IdempotencyKey, Retry: true,
	}
	first, err := f.callerClient(0).Call(context.Background(), newRequest(callerKey, req))
	require.NoError(t, err)
	second, err := f.callerClient(0).Call(context.Background(), newRequest(callerKey, req))
	require.NoError(t, err)
	require.Equal(t, first.Msg.Body, second.Msg.Body)
	require.EqualValues(t, 1, executionsByKey(f)["college/"+issued.Msg.IdempotencyKey])
}

// Guards against a request that crashes one endpoint after another.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	f := newFleet(t, 1, 4)
	req := &pb.GenerateRequest{Service: "tutor-model", Prompt: "CRASH this engine", MaxOutputTokens: 50}
	result := f.generate(context.Background(), 0, req, nil)
	require.Error(t, result.err)
	retried := f.generate(context.Background(), 0, req, nil)
	require.Error(t, retried.err)
	refusal := refusalDetail(t, retried.err)
	require.Equal(t, "QUARANTINED", refusal.Code)
	crashes := 0
	for _, e := range f.engines {
		crashes += e.Stats().Crashes
	}
	require.LessOrEqual(t, crashes, 2, "engines crashed by one request")
	other := f.generate(context.Background(), 0, &pb.GenerateRequest{Service: "tutor-model", Prompt: "a plain drill", MaxOutputTokens: 5}, nil)
	require.NoError(t, other.err)
}

// Guards against a graceful shutdown of a router that truncates streams.
func TestRouterShutdownCompletesStreams(t *testing.T) {
	const streams = 50
	f := newFleet(t, 2, 1)
	var started, done sync.WaitGroup
	results := make([]*generateResult, streams)
	for i := range streams {
		started.Add(1)
		done.Add(1)
		go func() {
			defer done.Done()
			var once sync.Once
			results[i] = f.generate(context.Background(), 0, &pb.GenerateRequest{
				Service: "tutor-model", Prompt: fmt.Sprintf("live feedback %d tokens=200", i), MaxOutputTokens: 200,
			}, func(*generateResult) { once.Do(started.Done) })
			once.Do(started.Done)
		}()
	}
	started.Wait()
	f.routers[0].Shutdown()
	done.Wait()
	for i, result := range results {
		require.NoError(t, result.err, "stream %d", i)
		require.True(t, result.isComplete(), "stream %d", i)
	}
}

// Guards against a graceful shutdown of an agent that truncates runs, and against
// dispatching new requests to a draining agent.
func TestAgentShutdownCompletesRuns(t *testing.T) {
	f := newFleet(t, 1, 2)
	var once sync.Once
	first := f.generate(context.Background(), 0, &pb.GenerateRequest{
		Service: "tutor-model", Prompt: "a long review tokens=400", MaxOutputTokens: longAnswerTokens,
	}, func(*generateResult) {
		once.Do(func() {
			for i, id := range []string{"engine-0", "engine-1"} {
				if f.isRunning(id) {
					f.agents[i].Shutdown()
				}
			}
		})
	})
	require.NoError(t, first.err)
	require.True(t, first.isComplete())
	next := f.generate(context.Background(), 0, &pb.GenerateRequest{Service: "tutor-model", Prompt: "next", MaxOutputTokens: 5}, nil)
	require.NoError(t, next.err)
}

// Guards against a router that stays on an old configuration because it cannot reach
// the platform: it must get the new one from its peers.
func TestConfigurationReachesRouterWithoutPlatform(t *testing.T) {
	f := newFleet(t, 1, 1)
	opts := f.daemonOptions(2, "router-x")
	opts.Role = 1
	opts.PlatformURL = "http://127.0.0.1:1"
	opts.Seeds = []string{f.routers[0].PeerAddress()}
	f.routers = append(f.routers, f.startDaemon(opts))
	waitFor(t, "the first configuration", func() bool { return f.status(1).Generation == 1 })
	f.applyConfig(fmt.Sprintf(fleetYAML, hashKey(callerKey))+"    weight: 2\n", 1)
	waitFor(t, "the second configuration", func() bool { return f.status(1).Generation == 2 })
	waitFor(t, "sessions with the agents that a peer reported", func() bool { return f.isReady(1) })
}
