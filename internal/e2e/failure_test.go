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

const longAnswer = 400

// Guards against an answer that is cut, repeated or billed twice when the
// endpoint dies in the middle of the stream.
func TestEndpointDiesMidStream(t *testing.T) {
	f := newFleet(t, 1, 2)
	var once sync.Once
	a := f.generate(context.Background(), 0, &pb.GenerateRequest{
		Service: "tutor-model", Prompt: "review this session tokens=400", MaxOutputTokens: longAnswer,
	}, func(a *answer) {
		if a.position >= 50 {
			once.Do(func() { f.crashBusiest() })
		}
	})
	require.NoError(t, a.err)
	require.True(t, a.whole())
	require.EqualValues(t, longAnswer, a.position)
	require.Equal(t, fake.Answer("review this session tokens=400", longAnswer), a.text)
	require.EqualValues(t, 4+longAnswer, a.finished.Charged)
}

// crashBusiest ends the engine that runs the only stream.
func (f *fleet) crashBusiest() {
	for _, e := range f.status(0).Endpoints {
		if e.Service == "tutor-model" && f.runs(e.Id) {
			f.engines[e.Id].Crash()
			return
		}
	}
}

func (f *fleet) runs(endpoint string) bool { return f.engines[endpoint].Stats().Active > 0 }

// Guards against a second run and a second bill when a router dies with open
// streams and the caller retries at another router.
func TestRouterDiesMidStream(t *testing.T) {
	f := newFleet(t, 2, 1)
	m := &pb.GenerateRequest{
		Service: "tutor-model", Prompt: "appraise the bowl tokens=400", MaxOutputTokens: longAnswer, IdempotencyKey: "appraisal-1",
	}
	var once sync.Once
	cut := f.generate(context.Background(), 0, m, func(a *answer) {
		if a.position >= 20 {
			once.Do(f.routers[0].Kill)
		}
	})
	require.False(t, cut.whole(), "a stream that was cut must not look whole")

	m.Retry = true
	again := f.generate(context.Background(), 1, m, nil)
	require.NoError(t, again.err)
	require.True(t, again.whole())
	require.EqualValues(t, longAnswer, again.position)
	require.Equal(t, fake.Answer("appraise the bowl tokens=400", longAnswer), again.text)
	require.EqualValues(t, 0, again.finished.Charged, "the first run is billed through the dead router's grant")
	require.EqualValues(t, 1, f.engines["engine-0"].Stats().Started, "runs at the engine")
}

// Guards against a top-up that counts twice, or is reported as failed, when the
// platform's answer is lost after the write took effect.
func TestLostAnswerOfTopUpCountsOnce(t *testing.T) {
	f := newFleet(t, 1, 1)
	before := f.budget(0).Deposited
	f.platform.SetFaults(fake.PlatformFaults{LoseWriteAnswers: 1})
	f.topUp("college", 500, "second")
	f.topUp("college", 500, "second")
	require.EqualValues(t, before+500, f.budget(0).Deposited)
}

// Guards against refusals while the platform is away although the router holds
// a grant, and against spend that is lost by the outage.
func TestPlatformOutageServesFromGrants(t *testing.T) {
	f := newFleet(t, 1, 1)
	m := &pb.GenerateRequest{Service: "tutor-model", Prompt: "tag this drill tokens=10", MaxOutputTokens: 10}
	require.NoError(t, f.generate(context.Background(), 0, m, nil).err)
	f.platform.SetFaults(fake.PlatformFaults{Outage: true})
	var charged int64
	for range 3 {
		a := f.generate(context.Background(), 0, m, nil)
		require.NoError(t, a.err)
		require.True(t, a.whole())
		charged += a.finished.Charged
	}
	require.EqualValues(t, 3*14, charged)
	f.platform.SetFaults(fake.PlatformFaults{})
	waitFor(t, "the settlement after the outage", func() bool {
		b := f.budget(0)
		return b.Settled == 4*14
	})
}

// Guards against a booking that says NOT_RUN during an outage although a claim
// for it may exist, and against one that runs without a claim.
func TestBookingInOutageIsNotRun(t *testing.T) {
	f := newFleet(t, 1, 1)
	m := &pb.CallRequest{Service: "classroom-app", Operation: "bookings", Body: []byte("{}"), IdempotencyKey: "kiln-1"}
	// A first call makes the router hold a grant, so that the budget is not the reason.
	_, err := f.caller(0).Call(context.Background(), withKey(callerKey, &pb.CallRequest{Service: "classroom-app", Operation: "progress"}))
	require.NoError(t, err)
	f.platform.SetFaults(fake.PlatformFaults{Outage: true})
	_, err = f.caller(0).Call(context.Background(), withKey(callerKey, m))
	refusal := refusalOf(t, err)
	require.Equal(t, "CLAIM_UNAVAILABLE", refusal.Code)
	require.Equal(t, pb.Ran_RAN_NOT_RUN, refusal.Ran)
	require.Zero(t, executions(f)["college/kiln-1"])
}

// Guards against an issued key that needs the platform, or that runs twice.
func TestIssuedKeyWorksInOutage(t *testing.T) {
	f := newFleet(t, 2, 1)
	_, err := f.caller(0).Call(context.Background(), withKey(callerKey, &pb.CallRequest{Service: "classroom-app", Operation: "progress"}))
	require.NoError(t, err)
	f.platform.SetFaults(fake.PlatformFaults{Outage: true})
	key, err := f.caller(0).IssueKey(context.Background(), withKey(callerKey, &pb.IssueKeyRequest{Service: "classroom-app"}))
	require.NoError(t, err)
	m := &pb.CallRequest{
		Service: "classroom-app", Operation: "bookings", Body: []byte("{}"), IdempotencyKey: key.Msg.IdempotencyKey, Retry: true,
	}
	first, err := f.caller(0).Call(context.Background(), withKey(callerKey, m))
	require.NoError(t, err)
	second, err := f.caller(0).Call(context.Background(), withKey(callerKey, m))
	require.NoError(t, err)
	require.Equal(t, first.Msg.Body, second.Msg.Body)
	require.EqualValues(t, 1, executions(f)["college/"+key.Msg.IdempotencyKey])
}

// Guards against a request that crashes one endpoint after the other.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	f := newFleet(t, 1, 4)
	m := &pb.GenerateRequest{Service: "tutor-model", Prompt: "CRASH this engine", MaxOutputTokens: 50}
	a := f.generate(context.Background(), 0, m, nil)
	require.Error(t, a.err)
	again := f.generate(context.Background(), 0, m, nil)
	require.Error(t, again.err)
	refusal := refusalOf(t, again.err)
	require.Equal(t, "QUARANTINED", refusal.Code)
	crashes := 0
	for _, e := range f.engines {
		crashes += e.Stats().Crashes
	}
	require.LessOrEqual(t, crashes, 2, "engines crashed by one request")
	ok := f.generate(context.Background(), 0, &pb.GenerateRequest{Service: "tutor-model", Prompt: "a plain drill", MaxOutputTokens: 5}, nil)
	require.NoError(t, ok.err)
}

// Guards against streams that are cut by a graceful shutdown of a router.
func TestShutdownCutsNoStream(t *testing.T) {
	const streams = 50
	f := newFleet(t, 2, 1)
	var started, done sync.WaitGroup
	answers := make([]*answer, streams)
	for i := range streams {
		started.Add(1)
		done.Add(1)
		go func() {
			defer done.Done()
			var once sync.Once
			answers[i] = f.generate(context.Background(), 0, &pb.GenerateRequest{
				Service: "tutor-model", Prompt: fmt.Sprintf("live feedback %d tokens=200", i), MaxOutputTokens: 200,
			}, func(*answer) { once.Do(started.Done) })
			once.Do(started.Done)
		}()
	}
	started.Wait()
	f.routers[0].Shutdown()
	done.Wait()
	for i, a := range answers {
		require.NoError(t, a.err, "stream %d", i)
		require.True(t, a.whole(), "stream %d", i)
	}
}

// Guards against runs that are cut by a graceful shutdown of an agent, and
// against new work for an agent that is leaving.
func TestAgentShutdownCutsNoRun(t *testing.T) {
	f := newFleet(t, 1, 2)
	var once sync.Once
	first := f.generate(context.Background(), 0, &pb.GenerateRequest{
		Service: "tutor-model", Prompt: "a long review tokens=400", MaxOutputTokens: longAnswer,
	}, func(*answer) {
		once.Do(func() {
			for i, id := range []string{"engine-0", "engine-1"} {
				if f.runs(id) {
					f.agents[i].Shutdown()
				}
			}
		})
	})
	require.NoError(t, first.err)
	require.True(t, first.whole())
	next := f.generate(context.Background(), 0, &pb.GenerateRequest{Service: "tutor-model", Prompt: "next", MaxOutputTokens: 5}, nil)
	require.NoError(t, next.err)
}

// Guards against a router that keeps an old configuration because it cannot
// reach the platform.
func TestConfigurationReachesRouterWithoutPlatform(t *testing.T) {
	f := newFleet(t, 1, 1)
	o := f.options(2, "router-x")
	o.Role = 1
	o.PlatformURL = "http://127.0.0.1:1"
	o.Seeds = []string{f.routers[0].PeerAddress()}
	f.routers = append(f.routers, f.start(o))
	waitFor(t, "the first configuration", func() bool { return f.status(1).Generation == 1 })
	f.apply(fmt.Sprintf(fleetYAML, hash(callerKey))+"    weight: 2\n", 1)
	waitFor(t, "the second configuration", func() bool { return f.status(1).Generation == 2 })
	waitFor(t, "sessions with agents learned from a peer", func() bool { return f.ready(1) })
}
