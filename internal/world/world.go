// Package world holds the state of one process: tables, inbox and outbox.
//
// A system is a function over a World. Only the control thread calls systems,
// so a World needs no locks.
package world

import (
	"crypto/subtle"
	"math/rand/v2"
	"strconv"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// System is one decision step of a tick.
type System interface {
	Run(w *World)
}

// SystemFunc adapts a function to a System.
type SystemFunc func(w *World)

// Run implements System.
func (f SystemFunc) Run(w *World) { f(w) }

// Params are the settings of the process that systems need.
type Params struct {
	Self table.Process
	// LedgerShards is the number of shards of the budget ledger.
	LedgerShards uint32
	// GrantLifetime is the time after which a ledger grant expires unless renewed.
	GrantLifetime time.Duration
	// SettleInterval is the usual time between settlements of a shard's budgets.
	SettleInterval time.Duration
	// ReduceLedgerLoad saves platform writes and memory in a fleet with many
	// budgets: routers with little demand for a budget ask its home router for a
	// slice before they take a ledger grant, and shard contents are not kept but
	// read again for each write.
	ReduceLedgerLoad bool
	// AnswerRetention is how long agents keep answers for replays.
	AnswerRetention time.Duration
	// DetachGrace is how long a request continues after its caller disconnected.
	DetachGrace time.Duration
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration
	// MinDrainTime is the least duration of a drain: the load balancer still sends
	// requests for a while when there is no other work left.
	MinDrainTime time.Duration
	// GrantReturnTimeout bounds how long an idle process waits for its unused
	// grants or limits to be returned.
	GrantReturnTimeout time.Duration
	// ClosingPeriod is the last part of DrainTimeout, in which no work is
	// accepted.
	ClosingPeriod time.Duration
	// HeartbeatInterval is the usual time between heartbeats.
	HeartbeatInterval time.Duration
	// MaxDecisions bounds the decisions kept for explain.
	MaxDecisions int
	Front        FrontParams
}

// FrontParams are the settings of the HTTP front that systems need.
type FrontParams struct {
	// RetryRatio is the number of retries that each request adds to its service's
	// retry budget, 0 to 1. RetryBurst is the number of retries that all routers
	// together may make beyond that.
	RetryRatio float64
	RetryBurst float64
	// ShutdownGrace is the time between the order to stop and the end of the
	// process.
	ShutdownGrace time.Duration
	// PeerAddress is where other routers reach this one.
	PeerAddress string
	// LinkBytesPerSecond is the rate of the host's link; 0 if unknown.
	LinkBytesPerSecond float64
	// ChangeBound is the time within which a change of the configuration or of the
	// list of endpoints must be in force; 0 if unknown.
	ChangeBound time.Duration
	// RecoveryBound is the time after an outage of the store within which changes must
	// be in force again; 0 if unknown.
	RecoveryBound time.Duration
	// A cold endpoint may get its service's rate times ColdOvershoot, plus ColdAllowance
	// requests, in any second.
	ColdOvershoot float64
	ColdAllowance float64
	// EvacuationBound is the time within which an evacuated failure domain must get no
	// more requests; 0 if the deployment evacuates none.
	EvacuationBound time.Duration
	// EntryInterval is how often endpoints write their entries in the store; 0 if unknown.
	EntryInterval time.Duration
}

// Tables are the rows of all entities of the process.
type Tables struct {
	Processes table.Table[table.ProcessID, table.Process]
	Endpoints table.Table[table.EndpointID, table.Endpoint]
	Customers table.Table[table.CustomerID, table.Customer]
	Services  table.Table[table.ServiceName, table.Service]
	Limits    table.Table[table.LimitsKey, table.Limits]
	Shards    table.Table[table.ShardID, table.Shard]
	Budgets   table.Table[table.BudgetID, table.Budget]
	// ShardTimers and BudgetTimers schedule the rows that need attention next.
	ShardTimers  table.Timers[table.ShardID]
	BudgetTimers table.Timers[table.BudgetID]
	// ShortBudgets are the budgets that requests wait for.
	ShortBudgets table.Set[table.BudgetID]
	// ReceivedSlices and GrantedSlices are the slices exchanged with other
	// routers; their timers schedule the rows that need attention next.
	ReceivedSlices       table.Table[table.SliceKey, table.ReceivedSlice]
	GrantedSlices        table.Table[table.SliceKey, table.GrantedSlice]
	WaitingSliceRequests table.Table[table.SliceRequestKey, table.WaitingSliceRequest]
	SliceRequestRounds   table.Table[table.BudgetID, table.SliceRequestRound]
	ReceivedSliceTimers  table.Timers[table.SliceKey]
	GrantedSliceTimers   table.Timers[table.SliceKey]
	// ReceivedSlicesByBudget and GrantedSlicesByBudget are the keys of each
	// budget's slices.
	ReceivedSlicesByBudget table.Table[table.BudgetID, table.Set[table.SliceKey]]
	GrantedSlicesByBudget  table.Table[table.BudgetID, table.Set[table.SliceKey]]
	// ChangedShards are the shards whose content changed, for recovery.
	ChangedShards table.Set[table.ShardID]
	Recoveries    table.Table[table.Holder, table.Recovery]
	Requests      table.RequestTable
	// ReplyIDs maps a request to the handler that waits for it.
	ReplyIDs table.Table[table.RequestID, uint64]
	// FencedHolders maps each fenced holder to the time at which it was recorded
	// here.
	FencedHolders table.Table[table.Holder, table.Instant]
	CrashSuspects table.Table[table.Fingerprint, table.CrashSuspect]
	Runs          table.Table[table.RequestID, table.Run]
	Charges       table.Table[table.ChargeKey, table.Charge]
	// Counters are the process's counter metrics.
	Counters table.Table[string, int64]
	table.AgentTables
	table.KeyTables
	table.QuarantineTables
	table.FrontTables
	DecisionHistory table.DecisionHistory
}

// World is the state of one process and the input and output of one tick.
type World struct {
	Tables
	Params Params
	// Now is the time of the tick.
	Now  table.Instant
	Rand *rand.Rand
	// In holds the events of this tick, Out the commands.
	In  event.Inbox
	Out command.Outbox

	// Config is the active configuration.
	Config table.FleetConfig
	// PlatformReachable is true if the last call reached the platform.
	// PlatformStateSince is when that last changed.
	PlatformReachable  bool
	PlatformStateSince table.Instant
	// PlatformAnsweredAt is when the platform last answered a call.
	PlatformAnsweredAt table.Instant
	// PlatformRestoredAt is when the platform answered again after an outage, or
	// 0.
	PlatformRestoredAt table.Instant
	// StoreServedOthersAt is when another router last showed that the store serves it,
	// while this one does not reach the store; 0 if none did in the last outage.
	StoreServedOthersAt table.Instant
	// EntriesRelistedAt is when another router last showed, while this one does not reach
	// the store, that it has followed the store for so long that entries which lapsed
	// before are listed again; 0 if none did in the last outage.
	EntriesRelistedAt table.Instant
	// AwaitingRegistration is true until this process is registered. A router
	// takes no grant before that, so that its start number is older than its
	// grants.
	AwaitingRegistration bool
	// Draining is true after the start of a graceful shutdown.
	Draining bool
	// DrainStartedAt is when the shutdown began.
	DrainStartedAt table.Instant
	// Closing is true in the last part of a drain, in which the HTTP front accepts
	// no work.
	Closing bool
	// Decisions are the decisions of this tick, for explain.
	Decisions []table.Decision

	// wakeAt is when the next tick is due, and lastCall the last number that
	// NextCall returned.
	wakeAt   table.Instant
	lastCall uint64
}

// New returns an empty world. Its random numbers are determined by the seed and
// the incarnation of the process.
func New(p Params, seed uint64) *World {
	return &World{
		Params: p,
		Rand:   rand.New(rand.NewPCG(seed, uint64(p.Self.Incarnation))),
		wakeAt: table.Never,
	}
}

// Self returns the holder that this process acts as.
func (w *World) Self() table.Holder { return w.Params.Self.Holder }

// InEra returns the era of the store to which the revisions belong that this process knows.
func (w *World) InEra() event.InEra { return event.InEra{Era: w.StoreEra.Number} }

// NextCall returns a number for a call to another process, which is unique
// within an incarnation.
func (w *World) NextCall() uint64 {
	w.lastCall++
	return w.lastCall
}

// WakeAt requests a tick at time t at the latest.
func (w *World) WakeAt(t table.Instant) {
	if t < w.wakeAt {
		w.wakeAt = t
	}
}

// DueOrWake reports whether a time has come, and requests a tick at it otherwise.
func (w *World) DueOrWake(at table.Instant) bool {
	if at <= w.Now {
		return true
	}
	w.WakeAt(at)
	return false
}

// outageWindow is how long after an outage of the store a removal from its lists may
// be caused by it. Such removals appear in the first list or the first watched changes
// after the outage.
const outageWindow = 2 * time.Second

// lapseIntervals is how many intervals between two entries of an endpoint an outage of the
// store lasts at least in which its entry may lapse. It lapses after three, of which one may
// have passed before the outage.
const lapseIntervals = 2

// MayHaveLapsed reports whether entries may have lapsed since the store last answered. A call
// that is cut off while the store serves the endpoints is no outage for their entries.
func (w *World) MayHaveLapsed() bool {
	interval := w.Params.Front.EntryInterval
	return interval == 0 || w.PlatformAnsweredAt == 0 || w.Now.Sub(w.PlatformAnsweredAt) >= lapseIntervals*interval
}

// RecentOutage reports whether the store is out of reach, or was so until shortly
// before, for long enough that entries may have lapsed. An outage in which the store served
// another router does not count: it was this router's alone.
func (w *World) RecentOutage() bool {
	end := w.Now
	if w.PlatformReachable || !w.MayHaveLapsed() {
		end = w.PlatformRestoredAt
		if end == 0 || w.Now.Sub(end) >= outageWindow {
			return false
		}
	}
	return w.StoreServedOthersAt == 0 || end.Sub(w.StoreServedOthersAt) >= outageWindow
}

// NextWake returns when the next tick is due if no event arrives.
func (w *World) NextWake() table.Instant { return w.wakeAt }

// Tick runs the systems once, in order. The caller fills the inbox before, and
// empties the outbox afterwards with ClearOutbox.
func (w *World) Tick(now table.Instant, systems []System) {
	w.Now = now
	w.wakeAt = table.Never
	for _, s := range systems {
		s.Run(w)
	}
	w.In.Reset()
}

// ClearOutbox empties the outbox and the list of decisions, after the commands
// were executed.
func (w *World) ClearOutbox() {
	w.Out.Reset()
	w.Decisions = w.Decisions[:0]
}

// CustomerByKeyHash returns the customer that an API key's hash belongs to, or
// nil. It compares with every known hash, each in constant time, so that the
// time taken reveals nothing about the hashes.
func (w *World) CustomerByKeyHash(hash table.KeyHash) *table.Customer {
	var found *table.Customer
	w.Customers.Each(func(_ table.CustomerID, c *table.Customer) {
		for i := range c.KeyHashes {
			if subtle.ConstantTimeCompare(c.KeyHashes[i][:], hash[:]) == 1 {
				found = c
			}
		}
	})
	return found
}

// Count adds one to a counter.
func (w *World) Count(name string) { w.CountN(name, 1) }

// CountN adds n to a counter.
func (w *World) CountN(name string, n int64) {
	if c := w.Counters.Get(name); c != nil {
		*c += n
		return
	}
	w.Counters.Put(name, n)
}

// RecordDecision records a decision about a request. Long texts are shortened.
func (w *World) RecordDecision(id table.RequestID, system, decision string, inputs ...table.Input) {
	for i := range inputs {
		inputs[i].Value = table.Shorten(inputs[i].Value)
	}
	w.Decisions = append(w.Decisions, table.Decision{
		At: w.Now, Request: table.RequestID(table.Shorten(string(id))), System: system, Decision: table.Shorten(decision), Inputs: inputs,
	})
}

// DrainDeadline returns when a draining process ends at the latest.
func (w *World) DrainDeadline() table.Instant { return w.DrainStartedAt.Add(w.Params.DrainTimeout) }

// FinishExchange answers the client of an exchange. An open attempt is stopped;
// the row is settled and removed once the attempt has ended.
func (w *World) FinishExchange(x *table.Exchange, deliver bool, o table.Outcome) {
	f := command.FinishExchange{Exchange: x.ID, Deliver: deliver, Outcome: o, RouteKind: x.Kind, Age: w.Now.Sub(x.ArrivedAt)}
	if x.FirstEventAt != 0 {
		f.FirstEventTime = x.FirstEventAt.Sub(x.ArrivedAt)
	}
	w.Out.FinishExchanges = append(w.Out.FinishExchanges, f)
	w.ExchangesWaiting.Remove(x.ID)
	if x.State != table.ExchangeRunning {
		x.State = table.ExchangeEnded
		w.ExchangesEnded.Add(x.ID)
		return
	}
	x.State = table.ExchangeStopping
	w.Out.StopAttempts = append(w.Out.StopAttempts, command.StopAttempt{Exchange: x.ID, Attempt: x.Attempt})
}

// RecordAttemptDecision records a decision about the current attempt of an
// exchange.
func (w *World) RecordAttemptDecision(x *table.Exchange, system, decision string, inputs ...table.Input) {
	w.RecordDecision(x.Request, system, decision, append([]table.Input{
		{Name: "endpoint", Value: string(x.Endpoint)},
		{Name: "attempt", Value: strconv.Itoa(x.Attempt)},
		{Name: "age", Value: w.Now.Sub(x.ArrivedAt).Round(time.Millisecond).String()},
	}, inputs...)...)
}

// RecordStateChange records a change of state for the log.
func (w *World) RecordStateChange(subject, id, from, to, reason string) {
	w.Out.StateChanges = append(w.Out.StateChanges, command.StateChange{
		Subject: subject, ID: id, From: from, To: to, Reason: reason,
	})
}

// Refuse ends a request that did not run.
func (w *World) Refuse(r *table.Request, code table.Code, reason string, retryAfter time.Duration) {
	w.Requests.End(r, table.Outcome{Code: code, Reason: reason, Ran: table.NotRun, RetryAfter: retryAfter})
}
