package e2e

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	pb "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
	"laburnumroad.dev/laburnumroad/internal/fake"
)

// Guards against a path that loses text, bills another amount than it
// delivered, or cannot say what it did.
func TestOneRequestFromCallerToEngineAndBack(t *testing.T) {
	f := newFleet(t, 1, 1)
	a := f.generate(context.Background(), 0, &pb.GenerateRequest{
		Service: "tutor-model", Prompt: "lift the corner of the mouth tokens=40", MaxOutputTokens: 40,
	}, nil)
	require.NoError(t, a.err)
	require.True(t, a.whole())
	require.Equal(t, fake.Answer("lift the corner of the mouth tokens=40", 40), a.text)
	require.EqualValues(t, 7, a.finished.PromptTokens)
	require.EqualValues(t, a.finished.PromptTokens+a.finished.OutputTokens, a.finished.Charged)

	waitFor(t, "the settlement", func() bool {
		b := f.budget(0)
		return b.Settled+b.SpentUnsettled == a.finished.Charged
	})
	ex, err := f.operator(0).Explain(context.Background(), withKey(operatorKey, &pb.ExplainRequest{RequestId: "college/" + a.key}))
	require.NoError(t, err)
	require.True(t, ex.Msg.Found)
}

// Guards against a booking that runs twice when the caller repeats it with the
// same key.
func TestRepeatedBookingRunsOnce(t *testing.T) {
	f := newFleet(t, 2, 1)
	m := &pb.CallRequest{Service: "classroom-app", Operation: "bookings", Body: []byte(`{"class":"a"}`), IdempotencyKey: "booking-1"}
	first, err := f.caller(0).Call(context.Background(), withKey(callerKey, m))
	require.NoError(t, err)
	m.Retry = true
	second, err := f.caller(1).Call(context.Background(), withKey(callerKey, m))
	require.NoError(t, err)
	require.Equal(t, first.Msg.Body, second.Msg.Body)
	require.True(t, second.Msg.Replayed)
	require.EqualValues(t, 0, second.Msg.Charged)
	for key, n := range executions(f) {
		require.EqualValues(t, 1, n, "executions of %s", key)
	}
}

func executions(f *fleet) map[string]int64 {
	out := map[string]int64{}
	for _, k := range f.service.Counts().Keys {
		out[k.Key] += k.Count
	}
	return out
}
