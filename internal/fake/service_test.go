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
	url := serve(t, s, s.Close)
	return engine.New(url, engine.Options{}), s, url
}

var booking = engine.CallRequest{Operation: "book", Key: "kiln 1/ü", Body: []byte("monday")}

// Guards against an execution that is not counted, or counted under another
// key or operation.
func TestExecutionsAreCounted(t *testing.T) {
	c, s, _ := startService(t, fake.ServiceConfig{})
	for range 2 {
		resp, err := c.Call(t.Context(), booking)
		require.NoError(t, err)
		require.Equal(t, 200, resp.Status)
	}
	resp, err := c.Call(t.Context(), engine.CallRequest{Operation: "lookup", Key: booking.Key})
	require.NoError(t, err)
	var answer fake.ServiceAnswer
	require.NoError(t, json.Unmarshal(resp.Body, &answer))
	require.Equal(t, "lookup", answer.Operation)
	require.Equal(t, booking.Key, answer.Key)
	require.EqualValues(t, 1, answer.Count)
	require.Equal(t, fake.ServiceCounts{
		Operations: map[string]int64{"book": 2, "lookup": 1},
		Keys:       []fake.Execution{{"book", booking.Key, 2}, {"lookup", booking.Key, 1}},
	}, s.Counts())
}

// Guards against a call that ran, lost its answer and counts as not run.
func TestLostAnswerOfExecutedCall(t *testing.T) {
	c, s, url := startService(t, fake.ServiceConfig{})
	post(t, url+"/admin/faults", `{"lose_answers":1}`)
	_, err := c.Call(t.Context(), booking)
	require.ErrorIs(t, err, engine.ErrUnavailable)
	require.NotErrorIs(t, err, engine.ErrNotRun)
	require.EqualValues(t, 1, s.Counts().Operations["book"])
	_, err = c.Call(t.Context(), booking)
	require.NoError(t, err, "only one answer is lost")
}

// Guards against a refused call that ran.
func TestRefusedCallDidNotRun(t *testing.T) {
	c, s, _ := startService(t, fake.ServiceConfig{})
	s.SetFaults(fake.ServiceFaults{Refuse: true})
	_, err := c.Call(t.Context(), booking)
	require.ErrorIs(t, err, engine.ErrNotRun)
	require.Empty(t, s.Counts().Operations)
}

// Guards against an execution that vanishes when its caller gives up during
// the delay.
func TestDelayedCallRunsAtArrival(t *testing.T) {
	clock := fake.NewManualClock()
	c, s, _ := startService(t, fake.ServiceConfig{Delay: time.Second, Clock: clock})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := c.Call(ctx, booking)
		done <- err
	}()
	awaitLoad(t, c, 1, 0)
	cancel()
	require.ErrorIs(t, <-done, engine.ErrTruncated)
	require.EqualValues(t, 1, s.Counts().Operations["book"])
	clock.Advance(time.Second)
	awaitLoad(t, c, 0, 0)
}
