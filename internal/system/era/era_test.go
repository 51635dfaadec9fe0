package era_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/era"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

func in(number uint64) event.InEra { return event.InEra{Era: number} }

// tick runs the system on events and returns what it leaves of them.
func tick(w *world.World, events ...event.Event) event.Inbox {
	for _, e := range events {
		e.AddTo(&w.In)
	}
	var left event.Inbox
	w.Tick(w.Now.Add(time.Millisecond), []world.System{world.SystemFunc(era.Run), world.SystemFunc(func(w *world.World) { left = w.In })})
	return left
}

// newWorld returns a world that knows revisions of era 1.
func newWorld() *world.World {
	w := world.New(world.Params{}, 1)
	tick(w, event.WatchResult{InEra: in(1), Kind: table.WatchConfig, Covered: 10})
	w.Watches.Put(table.WatchConfig, table.Watch{Listed: true, Covered: 10})
	w.Watches.Put(table.WatchEndpoints, table.Watch{Listed: true, Covered: 10})
	return w
}

// Guards against the first era that a process learns of being taken for a return, and against
// a return that only some kinds of answers and messages show.
func TestReturnIsRecognized(t *testing.T) {
	w := newWorld()
	require.False(t, w.StoreEra.Returned)
	require.Equal(t, uint64(1), w.StoreEra.Number)
	for i, e := range []event.Event{
		event.ManifestReceived{InEra: in(2)}, event.EndpointChanges{InEra: in(3)}, event.EvacuationChanges{InEra: in(4)},
		event.WatchResult{InEra: in(5), Status: event.WatchFailed}, event.LimitLedgerResult{InEra: in(6), Status: event.CallOutcomeUnknown},
		event.QuarantineList{InEra: in(7)}, event.RouterReport{InEra: in(8)}, event.LedgerChange{InEra: in(9)}, event.LimitRequest{InEra: in(10)},
		event.Crash{Parts: &event.PartReport{StoredEra: 11}},
	} {
		tick(w, e)
		require.True(t, w.StoreEra.Returned, "%T", e)
		require.Equal(t, uint64(i+2), w.StoreEra.Number)
		require.Equal(t, i+1, w.StoreEra.Returns)
		tick(w)
		require.False(t, w.StoreEra.Returned)
	}
}

// Guards against a store that begins to name eras while a process knows revisions: it may
// have returned from a copy just then.
func TestFirstNamedEraVoidsKnownRevisions(t *testing.T) {
	w := world.New(world.Params{}, 1)
	w.Watches.Put(table.WatchConfig, table.Watch{Listed: true, Covered: 10})
	tick(w, event.WatchResult{InEra: in(4), Kind: table.WatchConfig, Status: event.WatchOK, Covered: 11})
	require.True(t, w.StoreEra.Returned)
}

// Guards against revisions of an earlier era that are compared with those of the current one:
// answers that arrive late, and messages of routers that do not know of the return.
func TestRevisionsOfEarlierEraAreDropped(t *testing.T) {
	w := newWorld()
	w.StoreEra.Number = 2
	left := tick(w,
		event.EndpointChanges{InEra: in(1), Covered: 90}, event.EndpointChanges{InEra: in(1), Covered: 91, Relayed: true},
		event.EvacuationChanges{InEra: in(1), Covered: 90}, event.LedgerChange{InEra: in(1)}, event.LimitRequest{InEra: in(1)},
		event.ManifestReceived{InEra: in(1), Manifest: table.Manifest{Version: 7}, Revision: 90},
		event.RouterReport{
			InEra: in(1), LastChanges: map[table.WatchKind]uint64{table.WatchConfig: 90}, EvacuationsCovered: 90, EvacuationsLost: []string{"a"},
			ManifestVersion: 7, LinkFull: true,
		},
		event.WatchResult{InEra: in(1), Status: event.WatchOK, Covered: 90}, event.LimitLedgerResult{InEra: in(1), Status: event.CallOK},
		event.QuarantineList{InEra: in(1), Status: event.CallConflict, Version: 90},
		event.Crash{Parts: &event.PartReport{StoredEra: 1, StoredVersion: 90, Stored: []table.Fingerprint{4}, Cleared: []table.Fingerprint{5}}})
	require.Empty(t, left.EndpointChanges)
	require.Empty(t, left.EvacuationChanges)
	require.Empty(t, left.LedgerChanges)
	require.Empty(t, left.LimitRequests)
	require.Equal(t, []event.ManifestReceived{{InEra: in(1), Manifest: table.Manifest{Version: 7}}}, left.Manifests)
	require.Equal(t, []event.RouterReport{{InEra: in(1), ManifestVersion: 7, LinkFull: true}}, left.RouterReports)
	require.Equal(t, []event.Crash{{Parts: &event.PartReport{StoredEra: 1, Cleared: []table.Fingerprint{5}}}}, left.Crashes)
	require.Equal(t, event.WatchCompacted, left.WatchResults[0].Status)
	require.Equal(t, event.CallOutcomeUnknown, left.LimitLedgerResults[0].Status)
	require.Equal(t, event.CallOutcomeUnknown, left.QuarantineLists[0].Status)
}

// Guards against events of the current era, or of a store that names none, being dropped.
func TestEventsOfCurrentEraPass(t *testing.T) {
	for _, number := range []uint64{0, 2} {
		w := newWorld()
		w.StoreEra.Number = number
		left := tick(w,
			event.EndpointChanges{InEra: in(number), Covered: 90, Relayed: true}, event.LedgerChange{InEra: in(number)},
			event.RouterReport{InEra: in(number), LastChanges: map[table.WatchKind]uint64{table.WatchConfig: 90}},
			event.WatchResult{Status: event.WatchOK, Covered: 90}, event.EndpointChanges{Covered: 91})
		require.Len(t, left.EndpointChanges, 2)
		require.Len(t, left.LedgerChanges, 1)
		require.NotEmpty(t, left.RouterReports[0].LastChanges)
		require.Equal(t, event.WatchOK, left.WatchResults[0].Status)
		require.Zero(t, w.Watches.Get(table.WatchEndpoints).BehindSince)
	}
}

// Guards against changes that only a router of a release without eras passes on, and that are
// then lost: the store has to be asked for them.
func TestChangesOfRouterWithoutErasAreAskedOfStore(t *testing.T) {
	w := newWorld()
	left := tick(w, event.EndpointChanges{Covered: 90, Relayed: true}, event.ManifestReceived{Manifest: table.Manifest{Version: 7}, Revision: 90, Relayed: true})
	require.Empty(t, left.EndpointChanges)
	require.Equal(t, w.Now, w.Watches.Get(table.WatchEndpoints).BehindSince)
	require.Equal(t, uint64(7), left.Manifests[0].Manifest.Version)
	require.Zero(t, left.Manifests[0].Revision)
}
