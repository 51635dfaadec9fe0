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

// Guards against a crashed engine process that still accepts connections, and
// against one that does not come back at its address.
func TestCrashedEngineRefusesConnections(t *testing.T) {
	e := fake.NewEngine(fake.EngineConfig{CrashMarker: "poison"})
	defer e.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- fake.ServeEngine(ctx, listener, e) }()
	c := engine.New("http://"+listener.Addr().String(), engine.Options{})

	require.NoError(t, generate(t, c, request("tokens=2")).err)
	_, err = c.Generate(t.Context(), request("poison"))
	if err == nil {
		// The head of the answer may leave before the crash.
		require.NoError(t, e.AwaitDown(t.Context(), true))
	}
	requireAnswers(t, c, false)
	e.Revive()
	requireAnswers(t, c, true)

	cancel()
	require.NoError(t, <-done)
}

// requireAnswers calls the engine until its port is open, or closed: the port
// follows the state of the engine at a time of its own.
func requireAnswers(t *testing.T, c *engine.Client, open bool) {
	var err error
	for range maxPolls {
		time.Sleep(pollPause)
		var s *engine.Stream
		s, err = c.Generate(t.Context(), request("tokens=1"))
		if err == nil {
			s.Close()
		}
		if open && err == nil {
			return
		}
		if !open && errors.Is(err, engine.ErrNotRun) {
			require.ErrorIs(t, err, engine.ErrUnavailable)
			return
		}
	}
	t.Fatalf("the port never was open=%v, last error: %v", open, err)
}
