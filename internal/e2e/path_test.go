package e2e

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	pb "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
	"laburnumroad.dev/laburnumroad/internal/fake"
)

// Guards against lost text, a charge that differs from the delivered tokens, and a
// request that cannot be explained afterwards.
func TestRequestEndToEnd(t *testing.T) {
	f := newFleet(t, 1, 1)
	result := f.generate(context.Background(), 0, &pb.GenerateRequest{
		Service: "tutor-model", Prompt: "lift the corner of the mouth tokens=40", MaxOutputTokens: 40,
	}, nil)
	require.NoError(t, result.err)
	require.True(t, result.isComplete())
	require.Equal(t, fake.Answer("lift the corner of the mouth tokens=40", 40), result.text)
	require.EqualValues(t, 7, result.finished.PromptTokens)
	require.EqualValues(t, result.finished.PromptTokens+result.finished.OutputTokens, result.finished.Charged)

	waitFor(t, "the settlement", func() bool {
		budget := f.collegeBudget(0)
		return budget.Settled+budget.SpentUnsettled == result.finished.Charged
	})
	resp, err := f.operatorClient(0).Explain(context.Background(), newRequest(operatorKey, &pb.ExplainRequest{RequestId: "college/" + result.idempotencyKey}))
	require.NoError(t, err)
	require.True(t, resp.Msg.Found)
}

// Guards against executing a non-idempotent call twice when the caller retries it with
// the same key at another router.
func TestRetriedCallIsExecutedOnce(t *testing.T) {
	f := newFleet(t, 2, 1)
	req := &pb.CallRequest{Service: "classroom-app", Operation: "bookings", Body: []byte(`{"class":"a"}`), IdempotencyKey: "booking-1"}
	first, err := f.callerClient(0).Call(context.Background(), newRequest(callerKey, req))
	require.NoError(t, err)
	req.Retry = true
	second, err := f.callerClient(1).Call(context.Background(), newRequest(callerKey, req))
	require.NoError(t, err)
	require.Equal(t, first.Msg.Body, second.Msg.Body)
	require.True(t, second.Msg.Replayed)
	require.EqualValues(t, 0, second.Msg.Charged)
	for key, n := range executionsByKey(f) {
		require.EqualValues(t, 1, n, "executions of %s", key)
	}
}

// executionsByKey returns the number of executions at the plain service by key.
func executionsByKey(f *fleet) map[string]int64 {
	counts := map[string]int64{}
	for _, execution := range f.service.Counts().Keys {
		counts[execution.Key] += execution.Count
	}
	return counts
}
