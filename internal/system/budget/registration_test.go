package budget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/budget"
	"laburnumroad.dev/laburnumroad/internal/system/ledger"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Guards against a grant that is written before the router is registered and has its start
// number, and against a request from before the registration that waits until its timeout.
func TestNoGrantBeforeRegistration(t *testing.T) {
	self := table.Process{Holder: table.Holder{Process: "r", Incarnation: 1}, Role: table.RoleRouter}
	w := world.New(world.Params{Self: self, LedgerShards: 1, GrantLifetime: time.Hour, SettleInterval: time.Minute}, 1)
	w.AwaitingRegistration, w.PlatformReachable = true, true
	systems := []world.System{ledger.New(), budget.New()}
	w.Requests.Insert(table.Request{ID: "c/k", Customer: "c", Budget: "c/one", WantedReservation: 10, FirstTokenDeadline: table.Never}, table.RequestReserving)
	content := table.ShardContent{Budgets: []table.LedgerBudget{{ID: "c/one", Deposited: 1000}}}
	now := table.Instant(time.Second)
	writes := 0
	step := func() {
		w.Tick(now, systems)
		reads := len(w.Out.ReadShards)
		writes += len(w.Out.WriteShards)
		w.ClearOutbox()
		now = now.Add(10 * time.Millisecond)
		if reads > 0 {
			w.In.ShardReadResults = []event.ShardReadResult{{Status: event.CallOK, Version: 1, Content: content}}
		}
	}
	for range 20 {
		step()
	}
	require.Zero(t, writes, "a grant was written before the registration")
	w.AwaitingRegistration = false
	w.In.Registrations = append(w.In.Registrations, event.Registered{StartNumber: 7})
	for range 3 {
		step()
	}
	require.Equal(t, 1, writes)
}
