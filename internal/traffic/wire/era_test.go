package wire_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/wire"
)

// earlierLedgerChange is the message in releases without eras.
type earlierLedgerChange struct {
	Previous, Revision uint64
	Holders            []struct {
		Process     table.ProcessID
		Incarnation table.Incarnation
	}
}

// Guards against eras that are lost between routers, and against messages that a release
// without eras cannot read, or the other way round.
func TestErasBetweenReleases(t *testing.T) {
	change := event.LedgerChange{InEra: event.InEra{Era: 4}, LedgerStep: table.LedgerStep{
		Previous: 8, Revision: 9, Holders: []table.LimitHolder{{Holder: table.Holder{Process: "r1", Incarnation: 7}, StatedEra: 4}},
		LedgerHistory: table.LedgerHistory{Version: table.LedgerVersion{Era: 4, Writes: 12}},
	}}
	require.Equal(t, change, recode[event.LedgerChange](t, change))
	earlier := recode[earlierLedgerChange](t, change)
	require.Equal(t, uint64(9), earlier.Revision)
	require.Equal(t, table.ProcessID("r1"), earlier.Holders[0].Process)
	require.Zero(t, recode[event.LedgerChange](t, earlier).Era)
	report := event.RouterReport{InEra: event.InEra{Era: 4}, ManifestVersion: 3, WantsLedgerOf: table.Holder{Process: "r2", Incarnation: 5}}
	require.Equal(t, report, recode[event.RouterReport](t, report))
}

// recode encodes a message and decodes it as one of another release.
func recode[T any](t *testing.T, message any) T {
	data, err := wire.AppendFrame(nil, wire.TypeLedgerChange, message)
	require.NoError(t, err)
	f, err := wire.ReadFrame(bytes.NewReader(data))
	require.NoError(t, err)
	decoded, err := wire.Decode[T](f)
	require.NoError(t, err)
	return decoded
}
