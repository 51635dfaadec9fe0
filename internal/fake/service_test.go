package fake_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/fake"
	"laburnumroad.dev/laburnumroad/internal/traffic/engine"
)

func startService(t *testing.T, cfg fake.ServiceConfig) (*engine.Client, *fake.Service, string) {
	s := fake.NewService(cfg)
	url := serveHTTP(t, s, s.Close)
	return engine.New(url, engine.Options{}), s, url
}

var bookCall = engine.CallRequest{Operation: "book", Key: "kiln 1/ü", Body: []byte("monday")}

// Guards against an execution that is not counted or is counted for another key or
// operation.
func TestExecutionsAreCounted(t *testing.T) {
	c, s, _ := startService(t, fake.ServiceConfig{})
	for range 2 {
		resp, err := c.Call(t.Context(), bookCall)
		require.NoError(t, err)
		require.Equal(t, 200, resp.Status)
	}
	resp, err := c.Call(t.Context(), engine.CallRequest{Operation: "lookup", Key: bookCall.Key})
	require.NoError(t, err)
	var response fake.ServiceResponse
	require.NoError(t, json.Unmarshal(resp.Body, &response))
	require.Equal(t, "lookup", response.Operation)
	require.Equal(t, bookCall.Key, response.Key)
	require.EqualValues(t, 1, response.Count)
	require.Equal(t, fake.ExecutionCounts{
		Operations: map[string]int64{"book": 2, "lookup": 1},
		Keys:       []fake.Execution{{"book", bookCall.Key, 2}, {"lookup", bookCall.Key, 1}},
	}, s.Counts())
}

// Guards against an executed call with a lost response that is reported as not
// executed.
func TestLostResponseOfExecutedCall(t *testing.T) {
	c, s, url := startService(t, fake.ServiceConfig{})
	postAdmin(t, url+"/admin/faults", `{"lose_answers":1}`)
	_, err := c.Call(t.Context(), bookCall)
	require.ErrorIs(t, err, engine.ErrUnavailable)
	require.NotErrorIs(t, err, engine.ErrNotRun)
	require.EqualValues(t, 1, s.Counts().Operations["book"])
	_, err = c.Call(t.Context(), bookCall)
	require.NoError(t, err, "only one response is lost")
}

// Guards against executing a rejected call.
func TestRejectedCallIsNotExecuted(t *testing.T) {
	c, s, _ := startService(t, fake.ServiceConfig{})
	s.SetFaults(fake.ServiceFaults{Refuse: true})
	_, err := c.Call(t.Context(), bookCall)
	require.ErrorIs(t, err, engine.ErrNotRun)
	require.Empty(t, s.Counts().Operations)
}

// Guards against an execution that is not counted when the caller cancels the call
// during the delay.
func TestDelayedCallIsExecutedOnArrival(t *testing.T) {
	clock := fake.NewManualClock()
	c, s, _ := startService(t, fake.ServiceConfig{ResponseDelay: time.Second, Clock: clock})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := c.Call(ctx, bookCall)
		done <- err
	}()
	waitForLoad(t, c, 1, 0)
	cancel()
	require.ErrorIs(t, <-done, engine.ErrTruncated)
	require.EqualValues(t, 1, s.Counts().Operations["book"])
	clock.Advance(time.Second)
	waitForLoad(t, c, 0, 0)
}
