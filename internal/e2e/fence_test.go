package e2e

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	pb "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/store"
	"laburnumroad.dev/laburnumroad/platform"
)

// Guards against a router that is fenced while it is paused and continues to spend its
// reclaimed grants when it resumes: its dispatches must not be run.
func TestFencedRouterCannotSpend(t *testing.T) {
	f := newFleet(t, 2, 1)
	req := &pb.GenerateRequest{Service: "tutor-model", Prompt: "tag this drill tokens=10", MaxOutputTokens: 10}
	require.NoError(t, f.generate(context.Background(), 0, req, nil).err)
	before := f.engines["engine-0"].Stats().Started

	f.fenceRouter("router-0")
	waitFor(t, "the fenced router to fail requests", func() bool {
		return f.generate(context.Background(), 0, req, nil).err != nil
	})
	started := f.engines["engine-0"].Stats().Started
	for range 5 {
		require.Error(t, f.generate(context.Background(), 0, req, nil).err)
	}
	require.Equal(t, started, f.engines["engine-0"].Stats().Started, "no runs after the fencing")
	require.GreaterOrEqual(t, started, before)
	require.NoError(t, f.generate(context.Background(), 1, req, nil).err, "the other router must continue to serve")
}

// fenceRouter adds a router's incarnation to the fence list, as a recovery does.
func (f *fleet) fenceRouter(id string) {
	ctx := context.Background()
	client := platform.New(f.platformURL, platform.Options{})
	o, err := client.Get(ctx, store.KindProcess, id)
	require.NoError(f.t, err)
	var object struct {
		Process table.Process `json:"process"`
	}
	require.NoError(f.t, json.Unmarshal(o.Value, &object))
	value, err := json.Marshal([]table.Holder{object.Process.Holder})
	require.NoError(f.t, err)
	_, err = client.Create(ctx, store.KindFence, "current", value)
	require.NoError(f.t, err)
}
