package fake_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/fake"
	"laburnumroad.dev/laburnumroad/platform"
)

// callTimeout is so long that no test depends on it.
const callTimeout = time.Minute

// serveHTTP starts a server for a handler. The cleanup calls stop before it closes
// the server, because the server waits for open requests.
func serveHTTP(t *testing.T, h http.Handler, stop func()) string {
	server := httptest.NewServer(h)
	t.Cleanup(func() {
		stop()
		server.Close()
	})
	return server.URL
}

func startPlatform(t *testing.T, cfg fake.PlatformConfig) (*platform.Client, *fake.Platform, string) {
	p := fake.NewPlatform(cfg)
	url := serveHTTP(t, p, p.Close)
	return platform.New(url, platform.Options{Timeout: callTimeout}), p, url
}

type watchResult struct {
	objects  []platform.Object
	revision uint64
	err      error
}

func watch(ctx context.Context, c *platform.Client, kind string, since uint64, wait time.Duration) chan watchResult {
	result := make(chan watchResult, 1)
	go func() {
		objects, revision, err := c.Watch(ctx, kind, since, wait)
		result <- watchResult{objects, revision, err}
	}()
	return result
}

// Guards against a watch that misses a change or is not counted as a call.
func TestWatchReturnsChangeAndCountsAsOneCall(t *testing.T) {
	c, p, _ := startPlatform(t, fake.PlatformConfig{Clock: fake.NewManualClock()})
	result := watch(t.Context(), c, "config", 0, time.Second)
	require.NoError(t, p.WaitForCalls(t.Context(), "config", "watch", 1))
	_, err := c.Create(t.Context(), "ledger", "0001", nil)
	require.NoError(t, err, "a change of another kind must not end the watch")
	version, err := c.Create(t.Context(), "config", "fleet", []byte("x"))
	require.NoError(t, err)
	got := <-result
	require.NoError(t, got.err)
	require.Len(t, got.objects, 1)
	require.Equal(t, version, got.objects[0].Version)
	require.Equal(t, version, got.revision)
}

// Guards against a watch without changes that never returns.
func TestWatchEndsAtDeadline(t *testing.T) {
	clock := fake.NewManualClock()
	c, p, _ := startPlatform(t, fake.PlatformConfig{Clock: clock})
	version, err := c.Create(t.Context(), "config", "fleet", nil)
	require.NoError(t, err)
	result := watch(t.Context(), c, "config", version, 30*time.Second)
	require.NoError(t, p.WaitForCalls(t.Context(), "config", "watch", 1))
	clock.Advance(30 * time.Second)
	got := <-result
	require.NoError(t, got.err)
	require.Empty(t, got.objects)
	require.Equal(t, version, got.revision)
}

// Guards against watches that continue during an outage and hide it from the daemon.
func TestOutageEndsWatches(t *testing.T) {
	c, p, _ := startPlatform(t, fake.PlatformConfig{Clock: fake.NewManualClock()})
	result := watch(t.Context(), c, "config", 0, 30*time.Second)
	require.NoError(t, p.WaitForCalls(t.Context(), "config", "watch", 1))
	p.SetFaults(fake.PlatformFaults{Outage: true})
	require.ErrorIs(t, (<-result).err, platform.ErrNotApplied)
}

// Guards against a response during a silent outage, which would make an unknown
// outcome look certain.
func TestSilentOutageLeavesOutcomeUnknown(t *testing.T) {
	c, p, _ := startPlatform(t, fake.PlatformConfig{})
	p.SetFaults(fake.PlatformFaults{Outage: true, Silent: true})
	_, err := c.Create(t.Context(), "claim", "x", nil)
	require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	p.SetFaults(fake.PlatformFaults{})
	_, err = c.Get(t.Context(), "claim", "x")
	require.ErrorIs(t, err, platform.ErrNotFound)
}

// Guards against a slow write that is dropped when the client cancels it: the write
// is still applied, so its outcome is unknown to the client.
func TestSlowWriteIsAppliedAfterCancellation(t *testing.T) {
	clock := fake.NewManualClock()
	c, p, _ := startPlatform(t, fake.PlatformConfig{Clock: clock})
	p.SetFaults(fake.PlatformFaults{SlowMillis: 1000})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := c.Create(ctx, "claim", "x", []byte("a"))
		done <- err
	}()
	require.NoError(t, p.WaitForCalls(t.Context(), "claim", "create", 1))
	cancel()
	require.ErrorIs(t, <-done, platform.ErrOutcomeUnknown)
	p.SetFaults(fake.PlatformFaults{})
	_, err := c.Get(t.Context(), "claim", "x")
	require.ErrorIs(t, err, platform.ErrNotFound)
	clock.Advance(time.Second)
	_, err = c.Get(t.Context(), "claim", "x")
	require.NoError(t, err)
}

// Guards against a membership list without lag, and against a leaving state that the
// next update of the process object resets.
func TestMemberListLagsAndKeepsLeavingState(t *testing.T) {
	clock := fake.NewManualClock()
	c, p, _ := startPlatform(t, fake.PlatformConfig{MemberLag: 5 * time.Second, Clock: clock})
	members := func() []platform.Member {
		m, err := c.Members(t.Context())
		require.NoError(t, err)
		return m
	}
	version, err := c.Create(t.Context(), "process", "agent-1", []byte("a"))
	require.NoError(t, err)
	clock.Advance(4 * time.Second)
	require.Empty(t, members())
	clock.Advance(time.Second)
	require.Equal(t, []platform.Member{{Host: "agent-1"}}, members())

	p.SetMember(fake.Member{Host: "agent-1", Leaving: true})
	version, err = c.Update(t.Context(), "process", "agent-1", version, []byte("b"))
	require.NoError(t, err)
	require.Equal(t, []platform.Member{{Host: "agent-1"}}, members())
	clock.Advance(5 * time.Second)
	require.Equal(t, []platform.Member{{Host: "agent-1", Leaving: true}}, members())

	require.NoError(t, c.Delete(t.Context(), "process", "agent-1", version))
	clock.Advance(5 * time.Second)
	require.Empty(t, members())
}

// Guards against admin endpoints that behave differently from the methods.
func TestPlatformAdminEndpoints(t *testing.T) {
	c, _, url := startPlatform(t, fake.PlatformConfig{})
	postAdmin(t, url+"/admin/faults", `{"outage":true}`)
	_, err := c.Members(t.Context())
	require.ErrorIs(t, err, platform.ErrNotApplied)
	postAdmin(t, url+"/admin/faults", `{}`)
	postAdmin(t, url+"/admin/members", `{"host":"agent-9","leaving":true}`)
	members, err := c.Members(t.Context())
	require.NoError(t, err)
	require.Equal(t, []platform.Member{{Host: "agent-9", Leaving: true}}, members)
}

func postAdmin(t *testing.T, url, body string) {
	resp, err := http.Post(url, "application/json", bytes.NewBufferString(body))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
}
