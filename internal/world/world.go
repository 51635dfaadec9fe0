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

// SystemFunc makes a System of a function without state.
type SystemFunc func(w *World)

// Run implements System.
func (f SystemFunc) Run(w *World) { f(w) }

// Params are the settings of the process that systems need.
type Params struct {
	Self           table.Process
	Shards         uint32
	GrantLifetime  time.Duration
	SettleInterval time.Duration
	// ManyBudgets saves platform writes and memory in a large fleet: routers
	// with little demand for a budget ask its home router for a slice before
	// they take a ledger grant, and shard contents are read again for each write.
	ManyBudgets     bool
	AnswerRetention time.Duration
	DetachGrace     time.Duration
	DrainTimeout    time.Duration
	// LeastDrain is how long a drain goes on although no work is left, because the
	// balancer still sends some. ReturnWait bounds how long an idle process waits
	// for its unused grants or limits to be returned.
	LeastDrain time.Duration
	ReturnWait time.Duration
	// ClosingTime is the last part of DrainTimeout, in which no work is taken.
	ClosingTime       time.Duration
	HeartbeatInterval time.Duration
	// ExplainLimit bounds the decisions kept for explain.
	ExplainLimit int
	Front        FrontParams
}

// FrontParams are the settings of the HTTP front that systems need.
type FrontParams struct {
	// RetryShare is how much of a repeated attempt each request earns its
	// service, and RetryBurst what all routers together may repeat beyond that.
	RetryShare float64
	RetryBurst float64
	// Grace is the time between the order to stop and the end of the process.
	Grace time.Duration
	// PeerAddress is where other routers reach this one.
	PeerAddress string
}

// Tables are the entities of the process.
type Tables struct {
	Processes table.Table[table.ProcessID, table.Process]
	Endpoints table.Table[table.EndpointID, table.Endpoint]
	Customers table.Table[table.CustomerID, table.Customer]
	Services  table.Table[table.ServiceName, table.Service]
	Limits    table.Table[table.RuleKey, table.Limits]
	Shards    table.Table[table.ShardID, table.Shard]
	Budgets   table.Table[table.BudgetID, table.Budget]
	// ShardTimers and BudgetTimers say when a row needs attention next.
	ShardTimers  table.Timers[table.ShardID]
	BudgetTimers table.Timers[table.BudgetID]
	// ShortBudgets are the budgets that requests wait for.
	ShortBudgets table.Set[table.BudgetID]
	// Slices between routers; SliceTimers says when one needs attention next.
	SlicesIn       table.Table[table.SliceKey, table.SliceIn]
	SlicesOut      table.Table[table.SliceKey, table.SliceOut]
	SliceWaits     table.Table[table.SliceCall, table.SliceWait]
	SliceAsks      table.Table[table.BudgetID, table.SliceAsk]
	SliceInTimers  table.Timers[table.SliceKey]
	SliceOutTimers table.Timers[table.SliceKey]
	// BudgetSlices lists the slices received of each budget, SlicesPassed those
	// passed to other routers.
	BudgetSlices table.Table[table.BudgetID, table.Set[table.SliceKey]]
	SlicesPassed table.Table[table.BudgetID, table.Set[table.SliceKey]]
	// ShardsSeen are the shards whose content changed, for recovery.
	ShardsSeen table.Set[table.ShardID]
	Recoveries table.Table[table.Holder, table.Recovery]
	Requests   table.RequestTable
	// Replies maps a request to the handler that waits for it.
	Replies  table.Table[table.RequestID, uint64]
	Fences   table.Table[table.Holder, table.Instant]
	Suspects table.Table[table.Fingerprint, table.Suspect]
	Runs     table.Table[table.RequestID, table.Run]
	Charges  table.Table[table.ChargeKey, table.Charge]
	Counters table.Table[string, int64]
	table.AgentTables
	table.KeyTables
	table.QuarantineTables
	table.FrontTables
	History table.History
}

// World is the state of one process and the input and output of one tick.
type World struct {
	Tables
	Params Params
	// Now is the time of the tick.
	Now  table.Instant
	Rand *rand.Rand
	In   event.Inbox
	Out  command.Outbox

	// Fleet is the configuration in force.
	Fleet table.Fleet
	// PlatformUp says whether the platform answered last, since PlatformSince.
	PlatformUp    bool
	PlatformSince table.Instant
	// OutageEnd is when the platform answered again after it had not, or 0.
	OutageEnd table.Instant
	// AwaitRegistration is true until this process is registered. A router takes
	// no grant before, so that its start number is older than its grants.
	AwaitRegistration bool
	// Draining is true after the start of a graceful shutdown.
	Draining bool
	// DrainSince is when the shutdown began.
	DrainSince table.Instant
	// Closing is true in the last part of a drain, in which the HTTP front takes
	// no work at all.
	Closing bool
	// Decisions are the decisions of this tick, for explain.
	Decisions []table.Decision

	wake  table.Instant
	calls uint64
}

// New returns an empty world.
func New(p Params, seed uint64) *World {
	return &World{
		Params: p,
		Rand:   rand.New(rand.NewPCG(seed, uint64(p.Self.Incarnation))),
		wake:   table.Never,
	}
}

// Self returns the holder that this process acts as.
func (w *World) Self() table.Holder { return w.Params.Self.Holder }

// NextCall returns a number for a call to another process. Numbers do not
// repeat within an incarnation.
func (w *World) NextCall() uint64 {
	w.calls++
	return w.calls
}

// WakeAt asks for a tick at time t at the latest.
func (w *World) WakeAt(t table.Instant) {
	if t < w.wake {
		w.wake = t
	}
}

// NextWake returns when the next tick is due without an event.
func (w *World) NextWake() table.Instant { return w.wake }

// Tick runs the systems once, in order. The caller has filled the inbox; it
// empties the outbox afterwards with Clear.
func (w *World) Tick(now table.Instant, systems []System) {
	w.Now = now
	w.wake = table.Never
	for _, s := range systems {
		s.Run(w)
	}
	w.In.Reset()
}

// Clear empties the outbox after its commands were carried out.
func (w *World) Clear() {
	w.Out.Reset()
	w.Decisions = w.Decisions[:0]
}

// CustomerOfKey returns the customer that a key's hash belongs to, or nil. It
// compares with every known hash, and each in constant time, so that the time
// taken tells nothing about the hashes.
func (w *World) CustomerOfKey(hash table.KeyHash) *table.Customer {
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

// Explain records a decision about a request.
func (w *World) Explain(id table.RequestID, system, decision string, inputs ...table.Input) {
	w.Decisions = append(w.Decisions, table.Decision{
		At: w.Now, Request: id, System: system, Decision: decision, Inputs: inputs,
	})
}

// DrainEnd returns when a draining process ends at the latest.
func (w *World) DrainEnd() table.Instant { return w.DrainSince.Add(w.Params.DrainTimeout) }

// FinishExchange answers the client of an exchange. An attempt that is still
// open is stopped; the row is settled and removed once it has ended.
func (w *World) FinishExchange(x *table.Exchange, deliver bool, o table.Outcome) {
	f := command.FinishExchange{Exchange: x.ID, Deliver: deliver, Outcome: o, Kind: x.Kind, Age: w.Now.Sub(x.Arrived)}
	if x.FirstEventAt != 0 {
		f.FirstEvent = x.FirstEventAt.Sub(x.Arrived)
	}
	w.Out.Finishes = append(w.Out.Finishes, f)
	w.ExchangesWaiting.Remove(x.ID)
	if x.State != table.ExchangeRunning {
		x.State = table.ExchangeEnded
		w.ExchangesEnded.Add(x.ID)
		return
	}
	x.State = table.ExchangeStopping
	w.Out.StopAttempts = append(w.Out.StopAttempts, command.StopAttempt{Exchange: x.ID, Attempt: x.Attempt})
}

// ExplainAttempt records a decision on the current attempt of an exchange.
func (w *World) ExplainAttempt(x *table.Exchange, system, decision string, inputs ...table.Input) {
	w.Explain(x.Request, system, decision, append([]table.Input{
		{Name: "endpoint", Value: string(x.Endpoint)},
		{Name: "attempt", Value: strconv.Itoa(x.Attempt)},
		{Name: "age", Value: w.Now.Sub(x.Arrived).Round(time.Millisecond).String()},
	}, inputs...)...)
}

// Change records a change of state for the log.
func (w *World) Change(subject, id, from, to, reason string) {
	w.Out.Changes = append(w.Out.Changes, command.Change{
		Subject: subject, ID: id, From: from, To: to, Reason: reason,
	})
}

// Refuse ends a request that was not run.
func (w *World) Refuse(r *table.Request, code table.Code, reason string, retryAfter time.Duration) {
	w.Requests.End(r, table.Outcome{Code: code, Reason: reason, Ran: table.NotRun, RetryAfter: retryAfter})
}
