package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/pause"
	"laburnumroad.dev/laburnumroad/platform"
)

const (
	// watchTimeout is how long a watch call waits for changes. A connection can stall
	// without a reset; the timeout bounds how late a change is seen in that case.
	watchTimeout = 2500 * time.Millisecond
	// changeBatchDelay is the delay after a watch call that returned changes, so that
	// several changes within a short time cost each router a single call. Changes
	// must take effect within two seconds, and half a second leaves time for a slow
	// call.
	changeBatchDelay = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed call.
	minBackoff = 30 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// objectWatcher follows the stored objects of one kind: it lists them and then
// watches for changes.
type objectWatcher struct {
	g    *Gateway
	kind string
	// onList is called with the complete list, onChange with later changes.
	onList   func([]platform.Object)
	onChange func([]platform.Object)
}

func (w *objectWatcher) run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		objects, revision, err := w.g.store.List(ctx, w.kind)
		if err == nil {
			w.g.postReachable(true)
			w.onList(objects)
			backoff = minBackoff
			err = w.watch(ctx, revision)
		}
		if errors.Is(err, platform.ErrCompacted) || ctx.Err() != nil {
			w.g.log.Info().Str("kind", w.kind).Msg("watch history compacted; listing again")
			continue
		}
		w.g.log.Info().Str("kind", w.kind).Err(err).Msg("failed to list objects")
		backoff = w.backOff(ctx, backoff)
	}
}

// watch calls onChange for each batch of changes after the revision. It returns
// when the context ends or the store no longer has the history since the last
// revision. A failed call is repeated from the same revision.
func (w *objectWatcher) watch(ctx context.Context, revision uint64) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		changes, nextRevision, err := w.g.store.Watch(ctx, w.kind, revision, watchTimeout)
		if errors.Is(err, platform.ErrCompacted) {
			return err
		}
		if err != nil {
			backoff = w.backOff(ctx, backoff)
			continue
		}
		w.g.postReachable(true)
		backoff = minBackoff
		revision = nextRevision
		if len(changes) > 0 {
			w.onChange(changes)
			// The loop condition checks whether the context has ended.
			_ = pause.Sleep(ctx, changeBatchDelay)
		}
	}
	return ctx.Err()
}

// backOff waits a random time between half of the backoff and all of it, and
// returns the backoff for the next failed call.
func (w *objectWatcher) backOff(ctx context.Context, backoff time.Duration) time.Duration {
	w.g.postReachable(false)
	// The callers' loop conditions check whether the context has ended.
	_ = pause.Sleep(ctx, backoff/2+rand.N(backoff/2))
	return min(2*backoff, maxBackoff)
}

// postReachable posts to the control thread whether the store answered.
func (g *Gateway) postReachable(reachable bool) {
	g.loop.Post(event.PlatformState{Reachable: reachable})
}

func (g *Gateway) watchConfig(ctx context.Context) {
	w := &objectWatcher{
		g: g, kind: platform.KindConfig,
		onList: func(objects []platform.Object) {
			for i := range objects {
				g.postConfig(&objects[i])
			}
		},
		onChange: func(changes []platform.Object) {
			for i := range changes {
				if !changes[i].Deleted() {
					g.postConfig(&changes[i])
				}
			}
		},
	}
	w.run(ctx)
}

// postConfig decodes a configuration object and posts it to the control thread. An
// invalid configuration is logged and the current one stays active.
func (g *Gateway) postConfig(o *platform.Object) {
	if o.Name != platform.NameConfig {
		return
	}
	m, err := platform.DecodeManifest(o.Value)
	if err != nil {
		g.log.Error().Err(err).Msg("failed to decode configuration; keeping the current one")
		return
	}
	g.loop.Post(event.ManifestReceived{Manifest: m})
}

func (g *Gateway) watchEndpoints(ctx context.Context) {
	w := &objectWatcher{
		g: g, kind: platform.KindEndpoint,
		onList: func(objects []platform.Object) {
			update := event.EndpointChanges{Full: true}
			for i := range objects {
				g.addEndpoint(&update, &objects[i])
			}
			g.loop.Post(update)
		},
		onChange: func(changes []platform.Object) {
			for i := range changes {
				update := event.EndpointChanges{}
				if changes[i].Deleted() {
					update.Removed = []table.EndpointID{table.EndpointID(changes[i].Name)}
				} else {
					g.addEndpoint(&update, &changes[i])
				}
				g.loop.Post(update)
			}
		},
	}
	w.run(ctx)
}

// addEndpoint adds a stored endpoint entry to update. An invalid entry is logged
// and skipped.
func (g *Gateway) addEndpoint(update *event.EndpointChanges, o *platform.Object) {
	e, err := platform.DecodeEndpoint(o.Name, o.Value)
	if err != nil {
		g.log.Warn().Err(err).Msg("skipped invalid endpoint entry")
		return
	}
	update.Present = append(update.Present, e)
}
