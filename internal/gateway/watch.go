package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/platform"
)

// storeKinds are the store's names of the kinds of objects that routers follow.
var storeKinds = map[table.WatchKind]string{
	table.WatchConfig: platform.KindConfig, table.WatchEndpoints: platform.KindEndpoint, table.WatchEvacuations: platform.KindEvacuation,
}

// startWatch carries out a call in the background. It runs on the control thread.
func (g *Gateway) startWatch(c command.WatchObjects) {
	ctx, cancel := context.WithCancel(g.ctx)
	g.watches[c.Kind] = cancel
	go func() {
		defer cancel()
		g.followObjects(ctx, c)
	}()
}

// stopWatch ends the open call of a kind.
func (g *Gateway) stopWatch(c command.StopWatch) {
	if cancel, open := g.watches[c.Kind]; open {
		cancel()
	}
}

// followObjects calls the store and posts the objects that it returns, and then the
// result of the call.
func (g *Gateway) followObjects(ctx context.Context, c command.WatchObjects) {
	kind := storeKinds[c.Kind]
	var objects []platform.Object
	var revision uint64
	var err error
	sentAt := time.Now()
	callCtx, era := platform.TrackEra(ctx)
	if c.Since == 0 {
		objects, revision, err = g.store.List(callCtx, kind)
	} else {
		objects, revision, err = g.store.Watch(callCtx, kind, c.Since, c.Wait)
	}
	if ctx.Err() != nil && err != nil {
		// The call was stopped; a failure says nothing about the store.
		return
	}
	result := event.WatchResult{InEra: event.InEra{Era: *era}, Kind: c.Kind, Call: c.Call, Status: event.WatchOK, Covered: revision}
	switch {
	case errors.Is(err, platform.ErrCompacted):
		result.Status = event.WatchCompacted
	case err != nil:
		result.Status = event.WatchFailed
		g.log.Info().Str("kind", kind).Err(err).Msg("failed to follow objects of the store")
	default:
		for i := range objects {
			result.LastChange = max(result.LastChange, objects[i].Version)
		}
		g.postObjects(c, objects, &result)
	}
	state := event.PlatformState{Reachable: result.Status != event.WatchFailed}
	if !state.Reachable && c.Since != 0 {
		// A list takes several calls, of which only the last one failed.
		state.DueFor = max(0, time.Since(sentAt)-c.Wait)
	}
	g.loop.Post(state)
	g.loop.Post(result)
}

// postObjects decodes the objects of a call and posts them.
func (g *Gateway) postObjects(c command.WatchObjects, objects []platform.Object, result *event.WatchResult) {
	if c.Kind == table.WatchConfig {
		for i := range objects {
			g.postConfig(&objects[i])
		}
		return
	}
	if c.Since != 0 && len(objects) == 0 {
		return
	}
	if c.Kind == table.WatchEvacuations {
		changes := event.EvacuationChanges{InEra: result.InEra, Full: c.Since == 0, Since: c.Since, Covered: result.Covered, LastChange: result.LastChange}
		g.addEvacuations(&changes, objects)
		g.loop.Post(changes)
		return
	}
	changes := event.EndpointChanges{InEra: result.InEra, Full: c.Since == 0, Since: c.Since, Covered: result.Covered, LastChange: result.LastChange}
	g.addEndpoints(&changes, objects)
	g.loop.Post(changes)
}

// postConfig decodes a configuration object and posts it to the control thread. An
// invalid configuration is logged and the current one stays active.
func (g *Gateway) postConfig(o *platform.Object) {
	if o.Name != platform.NameConfig || o.Deleted() {
		return
	}
	m, err := platform.DecodeManifest(o.Value)
	if err != nil {
		g.log.Error().Err(err).Msg("failed to decode configuration; keeping the current one")
		return
	}
	g.loop.Post(event.ManifestReceived{InEra: event.InEra{Era: o.Era}, Manifest: m, Revision: o.Version})
}

// addEndpoints adds the last state of each stored entry to changes. An invalid entry
// is logged and counts as removed.
func (g *Gateway) addEndpoints(changes *event.EndpointChanges, objects []platform.Object) {
	for _, o := range lastStates(objects) {
		if o.Deleted() {
			changes.Removed = append(changes.Removed, table.EndpointID(o.Name))
			continue
		}
		e, err := platform.DecodeEndpoint(o.Name, o.Value)
		if err != nil {
			g.log.Warn().Err(err).Msg("skipped invalid endpoint entry")
			// It names no endpoint, also if an earlier one of that name did.
			changes.Removed = append(changes.Removed, table.EndpointID(o.Name))
			continue
		}
		changes.Present = append(changes.Present, e)
	}
}

// addEvacuations adds the last state of each stored entry to changes. An entry that names
// no failure domain is logged and skipped.
func (g *Gateway) addEvacuations(changes *event.EvacuationChanges, objects []platform.Object) {
	for _, o := range lastStates(objects) {
		domain, err := platform.DecodeEvacuation(o.Name)
		switch {
		case err != nil:
			g.log.Warn().Err(err).Msg("skipped invalid evacuation entry")
		case o.Deleted():
			changes.Removed = append(changes.Removed, domain)
		default:
			changes.Present = append(changes.Present, domain)
		}
	}
}

// lastStates returns the last of the objects of each name, in order.
func lastStates(objects []platform.Object) []*platform.Object {
	last := make(map[string]int, len(objects))
	for i := range objects {
		last[objects[i].Name] = i
	}
	var states []*platform.Object
	for i := range objects {
		if o := &objects[i]; last[o.Name] == i {
			states = append(states, o)
		}
	}
	return states
}
