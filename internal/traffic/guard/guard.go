// Package guard bounds the memory and the descriptors that clients make a process hold, over
// all of its listeners.
//
// Connections, heads, bodies and answers are charged to one budget as they grow. When it is
// used up, or when a class of listeners has all of its connections, the decisions in Policy
// say which holdings end to make room; else the one that asks is refused.
package guard

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"laburnumroad.dev/laburnumroad/internal/table"
)

const (
	// connectionBytes is what an open connection takes: stacks, buffers, and an ordinary
	// head of up to freeHeadBytes.
	connectionBytes = 24 << 10
	freeHeadBytes   = 8 << 10
	// smallBytes is the most that a holding may have to be small. A part of the memory is
	// reserved for small ones, so that ordinary requests are admitted beside large ones.
	smallBytes   = 64 << 10
	reserveShare = 8
	// defaultMemoryBytes is the budget if the memory of the host is unknown.
	defaultMemoryBytes = 64 << 20
	// defaultConnections is the limit of a class if the descriptors of the host are unknown.
	defaultConnections = 4096
	// retryPause is the time after a vain search for room in which there is no further one.
	retryPause = 10 * time.Millisecond
	// sweepInterval is the time between two searches for overdue holdings.
	sweepInterval = time.Second
)

// RetryAfter is the retry delay for refused requests: what stalled clients hold is free
// within it.
const RetryAfter = time.Second

var (
	// ErrNoMemory reports that a holding could not grow.
	ErrNoMemory = errors.New("no memory is left for what clients send and read")
	// ErrEnded reports that a holding was ended to make room.
	ErrEnded = errors.New("the connection was closed to make room for others")
	// ErrTooLarge reports a body that is longer than allowed.
	ErrTooLarge = errors.New("the body is too large")
)

// Limits are the limits of a process.
type Limits struct {
	// MemoryBytes bounds what all clients hold; 0 means a default.
	MemoryBytes int64
	// Connections bounds the open connections of each class; 0 means a default.
	Connections [table.ListenerClasses]int
}

// Policy holds the decisions about what ends. A nil function ends nothing.
type Policy struct {
	// ForMemory returns the holdings to end so that need bytes become free, none if that
	// can't be.
	ForMemory func(rows []table.Holding, need int64) []table.HoldingID
	// ForConnection returns the holding to end so that a connection of a class can open.
	ForConnection func(rows []table.Holding, class table.ListenerClass) (table.HoldingID, bool)
	// Overdue returns the holdings that end in any case.
	Overdue func(rows []table.Holding) []table.HoldingID
}

// Guard is the budget of a process. It is safe for concurrent use.
type Guard struct {
	limits  Limits
	policy  Policy
	started time.Time
	used    atomic.Int64
	counts  counts

	mu          sync.Mutex
	lastID      table.HoldingID
	holdings    table.Table[table.HoldingID, *Holding]
	connections [table.ListenerClasses]int
	// nextSearch is when room for memory is next searched after a vain search.
	nextSearch time.Time
	// rowBuffer is the memory of the table that decisions get.
	rowBuffer []table.Holding
}

type counts struct {
	endedForMemory, endedForConnections, overdue, refusedMemory, refusedConnections atomic.Int64
}

// Stats are the current use and the numbers of events since the start.
type Stats struct {
	MemoryUsed, MemoryLimit int64
	Connections             [table.ListenerClasses]int
	ConnectionLimits        [table.ListenerClasses]int
	// EndedForMemory and EndedForConnections are holdings that ended to make room, Overdue
	// those whose clients were too slow. RefusedMemory are requests, and RefusedConnections
	// connections, for which there was no room.
	EndedForMemory, EndedForConnections, Overdue, RefusedMemory, RefusedConnections int64
}

// Each calls a function with the name and the value of each statistic.
func (s *Stats) Each(f func(name string, n int64)) {
	f("clients.memory_used", s.MemoryUsed)
	f("clients.memory_limit", s.MemoryLimit)
	f("clients.connections", int64(s.Connections[table.ClientListener]))
	f("clients.connection_limit", int64(s.ConnectionLimits[table.ClientListener]))
	f("clients.private_connections", int64(s.Connections[table.PrivateListener]))
	f("clients.private_connection_limit", int64(s.ConnectionLimits[table.PrivateListener]))
	f("clients.ended_for_memory", s.EndedForMemory)
	f("clients.ended_for_connections", s.EndedForConnections)
	f("clients.ended_overdue", s.Overdue)
	f("clients.refused_memory", s.RefusedMemory)
	f("clients.refused_connections", s.RefusedConnections)
}

// New returns a guard. Run must be called for overdue holdings to end.
func New(limits Limits, policy Policy) *Guard {
	if limits.MemoryBytes <= 0 {
		limits.MemoryBytes = defaultMemoryBytes
	}
	for class, n := range limits.Connections {
		if n <= 0 {
			limits.Connections[class] = defaultConnections
		}
	}
	return &Guard{limits: limits, policy: policy, started: time.Now()}
}

// Used returns the bytes that are charged.
func (g *Guard) Used() int64 { return g.used.Load() }

// Stats returns the current statistics.
func (g *Guard) Stats() *Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &Stats{
		MemoryUsed: g.used.Load(), MemoryLimit: g.limits.MemoryBytes, Connections: g.connections, ConnectionLimits: g.limits.Connections,
		EndedForMemory: g.counts.endedForMemory.Load(), EndedForConnections: g.counts.endedForConnections.Load(), Overdue: g.counts.overdue.Load(),
		RefusedMemory: g.counts.refusedMemory.Load(), RefusedConnections: g.counts.refusedConnections.Load(),
	}
}

// Holding is a connection or a request with what it holds.
type Holding struct {
	guard      *Guard
	id         table.HoldingID
	class      table.ListenerClass
	connection bool
	// end closes the connection, or makes reads of the request fail. It must not block.
	end func()

	bytes  atomic.Int64
	phase  atomic.Uint32
	since  atomic.Int64
	moved  atomic.Int64
	served atomic.Bool
	ended  atomic.Bool
}

// setPhase begins a phase.
func (h *Holding) setPhase(p table.HoldingPhase) {
	h.moved.Store(0)
	h.since.Store(int64(time.Since(h.guard.started)))
	h.phase.Store(uint32(p))
}

// work begins the phase in which the holding does not end. An error means that it has ended
// before, and that the request must not be worked on.
func (h *Holding) work() error {
	h.setPhase(table.HoldingWorking)
	if h.ended.Load() {
		return ErrEnded
	}
	return nil
}

func (h *Holding) phaseIs(p table.HoldingPhase) bool { return h.phase.Load() == uint32(p) }

func (h *Holding) row(now time.Duration) table.Holding {
	return table.Holding{
		ID: h.id, Class: h.class, Connection: h.connection, Served: h.served.Load(), Phase: table.HoldingPhase(h.phase.Load()),
		PhaseAge: now - time.Duration(h.since.Load()), Moved: h.moved.Load(), Bytes: h.bytes.Load(),
	}
}

// grow charges bytes to the holding, if need be after others have ended.
func (h *Holding) grow(n int64) error {
	if h.ended.Load() {
		return ErrEnded
	}
	limit := h.guard.limits.MemoryBytes
	if h.bytes.Load()+n > smallBytes {
		limit -= limit / reserveShare
	}
	if !h.guard.acquire(n, limit) && !h.guard.makeRoom(h, n, limit) {
		h.guard.counts.refusedMemory.Add(1)
		return ErrNoMemory
	}
	h.bytes.Add(n)
	return nil
}

// shrink gives bytes back. What a holding that was ended has held is free already.
func (h *Holding) shrink(n int64) {
	if n <= 0 {
		return
	}
	h.guard.mu.Lock()
	defer h.guard.mu.Unlock()
	n = min(n, h.bytes.Load())
	h.bytes.Add(-n)
	h.guard.used.Add(-n)
}

// acquire takes bytes from the budget and reports whether there were enough. It takes
// nothing otherwise, not even for a moment: that would refuse others that have room.
func (g *Guard) acquire(n, limit int64) bool {
	for {
		used := g.used.Load()
		if used+n > limit {
			return false
		}
		if g.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// makeRoom ends other holdings until the bytes can be taken, and takes them.
func (g *Guard) makeRoom(asking *Holding, n, limit int64) bool {
	g.mu.Lock()
	now := time.Now()
	if g.policy.ForMemory == nil || now.Before(g.nextSearch) {
		g.mu.Unlock()
		return false
	}
	ended := g.markLocked(&g.counts.endedForMemory, g.policy.ForMemory(g.rows(asking.id), g.used.Load()+n-limit)...)
	if len(ended) == 0 {
		g.nextSearch = now.Add(retryPause)
	}
	acquired := g.acquire(n, limit)
	g.mu.Unlock()
	endAll(ended)
	return acquired
}

// rows returns the table of holdings without one of them. It is valid until the next call. The
// caller holds g.mu.
func (g *Guard) rows(except table.HoldingID) []table.Holding {
	now := time.Since(g.started)
	rows := g.rowBuffer[:0]
	g.holdings.Each(func(id table.HoldingID, h **Holding) {
		if id != except && !(*h).ended.Load() {
			rows = append(rows, (*h).row(now))
		}
	})
	g.rowBuffer = rows
	return rows
}

// markLocked marks holdings as ended and returns those that were not before. Their memory is
// free from now on: their goroutines need no more than to run to let go of it. The caller
// holds g.mu, and calls endAll after it has released it.
func (g *Guard) markLocked(count *atomic.Int64, ids ...table.HoldingID) []*Holding {
	var marked []*Holding
	for _, id := range ids {
		row := g.holdings.Get(id)
		if row == nil || !(*row).ended.CompareAndSwap(false, true) {
			continue
		}
		if (*row).phaseIs(table.HoldingWorking) {
			// It has begun to be worked on since the decision. If it has seen the mark, it is
			// refused; else it goes on.
			(*row).ended.Store(false)
			continue
		}
		count.Add(1)
		g.used.Add(-(*row).bytes.Swap(0))
		marked = append(marked, *row)
	}
	return marked
}

func endAll(marked []*Holding) {
	for _, h := range marked {
		h.end()
	}
}

// open adds a holding. It takes no memory yet.
func (g *Guard) open(h *Holding) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.openLocked(h)
}

func (g *Guard) openLocked(h *Holding) {
	g.lastID++
	h.guard, h.id = g, g.lastID
	h.setPhase(table.HoldingIdle)
	g.holdings.Put(h.id, h)
}

// openConnection adds the holding of a connection and reports whether there was room.
func (g *Guard) openConnection(h *Holding) bool {
	if !g.takeConnection(h) && !(g.endConnection(h.class) && g.takeConnection(h)) {
		g.counts.refusedConnections.Add(1)
		return false
	}
	if h.grow(connectionBytes) != nil {
		g.close(h)
		return false
	}
	return true
}

func (g *Guard) takeConnection(h *Holding) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.connections[h.class] >= g.limits.Connections[h.class] {
		return false
	}
	g.connections[h.class]++
	h.connection = true
	g.openLocked(h)
	return true
}

// endConnection ends a connection of a class and reports whether there was one to end.
func (g *Guard) endConnection(class table.ListenerClass) bool {
	if g.policy.ForConnection == nil {
		return false
	}
	g.mu.Lock()
	id, found := g.policy.ForConnection(g.rows(0), class)
	var ended []*Holding
	if found {
		ended = g.markLocked(&g.counts.endedForConnections, id)
	}
	g.mu.Unlock()
	endAll(ended)
	return len(ended) > 0
}

// endAnyConnection ends a connection of some class, because the process has no descriptor
// left, and reports whether there was one.
func (g *Guard) endAnyConnection(first table.ListenerClass) bool {
	for i := range table.ListenerClasses {
		if g.endConnection((first + i) % table.ListenerClasses) {
			return true
		}
	}
	return false
}

// close removes a holding and gives back what it held.
func (g *Guard) close(h *Holding) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.holdings.Get(h.id) == nil {
		return
	}
	g.holdings.Delete(h.id)
	g.used.Add(-h.bytes.Swap(0))
	if h.connection {
		g.connections[h.class]--
	}
}

// Run ends overdue holdings, and logs when holdings had to end or were refused, until stop
// is closed.
func (g *Guard) Run(stop <-chan struct{}, log zerolog.Logger) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	logged := &Stats{}
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		g.sweep()
		logged = g.logChanges(log, logged)
	}
}

func (g *Guard) sweep() {
	if g.policy.Overdue == nil {
		return
	}
	g.mu.Lock()
	overdue := g.markLocked(&g.counts.overdue, g.policy.Overdue(g.rows(0))...)
	g.mu.Unlock()
	endAll(overdue)
}

// logChanges logs what has ended or was refused since the last line.
func (g *Guard) logChanges(log zerolog.Logger, last *Stats) *Stats {
	s := g.Stats()
	ended := s.EndedForMemory + s.EndedForConnections + s.Overdue - last.EndedForMemory - last.EndedForConnections - last.Overdue
	refused := s.RefusedMemory + s.RefusedConnections - last.RefusedMemory - last.RefusedConnections
	if ended == 0 && refused == 0 {
		return last
	}
	log.Warn().Int64("ended_for_memory", s.EndedForMemory-last.EndedForMemory).Int64("ended_for_connections", s.EndedForConnections-last.EndedForConnections).
		Int64("ended_overdue", s.Overdue-last.Overdue).Int64("refused_memory", s.RefusedMemory-last.RefusedMemory).Int64("refused_connections", s.RefusedConnections-last.RefusedConnections).
		Int64("memory_used", s.MemoryUsed).Int64("memory_limit", s.MemoryLimit).
		Int("client_connections", s.Connections[table.ClientListener]).Int("private_connections", s.Connections[table.PrivateListener]).
		Msg("clients were refused or disconnected to bound what they hold")
	return s
}
