package fake_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/fake"
	"laburnumroad.dev/laburnumroad/internal/traffic/engine"
)

// Guards against a crashed engine that still accepts connections, and against one
// that does not listen on its address again after the restart.
func TestCrashedEngineRefusesConnections(t *testing.T) {
	e := fake.NewEngine(fake.EngineConfig{CrashMarker: "poison"})
	defer e.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- fake.ServeEngine(ctx, listener, e) }()
	c := engine.New("http://"+listener.Addr().String(), engine.Options{})

	require.NoError(t, generate(t, c, newRequest("tokens=2")).err)
	_, err = c.Generate(t.Context(), newRequest("poison"))
	if err == nil {
		// The response headers may be sent before the crash.
		require.NoError(t, e.WaitForState(t.Context(), true))
	}
	waitForPort(t, c, false)
	e.Restart()
	waitForPort(t, c, true)

	cancel()
	require.NoError(t, <-done)
}

// waitForPort polls until the engine's port is open, or closed if wantOpen is false.
// The port changes some time after the state of the engine.
func waitForPort(t *testing.T, c *engine.Client, wantOpen bool) {
	var err error
	for range maxPolls {
		time.Sleep(pollInterval)
		var s *engine.Stream
		s, err = c.Generate(t.Context(), newRequest("tokens=1"))
		if err == nil {
			s.Close()
		}
		if wantOpen && err == nil {
			return
		}
		if !wantOpen && errors.Is(err, engine.ErrNotRun) {
			require.ErrorIs(t, err, engine.ErrUnavailable)
			return
		}
	}
	t.Fatalf("the port did not reach open=%v, last error: %v", wantOpen, err)
}
