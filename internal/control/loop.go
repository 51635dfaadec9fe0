// Package control runs the control thread of a process.
package control

import (
	"sync"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Sink carries out the commands of a tick. It runs on the control thread and
// must not block: it hands bytes to traffic goroutines.
type Sink interface {
	Flush(out *command.Outbox)
}

// Clock is the process's monotonic clock.
type Clock func() table.Instant

// MonotonicClock returns a clock that starts now.
func MonotonicClock() Clock {
	start := time.Now()
	return func() table.Instant { return table.Instant(time.Since(start)) }
}

// Loop owns a World. All events of the process pass through its mailbox.
type Loop struct {
	world   *world.World
	systems []world.System
	sink    Sink
	clock   Clock

	mu      sync.Mutex
	mailbox []event.Event
	signal  chan struct{}

	// Publish, if set, is called on the control thread after each tick.
	Publish func(w *world.World, spent Spent)
	spent   Spent
}

// Spent is what the control thread has used so far.
type Spent struct {
	Ticks uint64
	// Busy is the time inside ticks, Longest the longest single tick.
	Busy    time.Duration
	Longest time.Duration
}

// NewLoop returns a loop over w. Start it with Run.
func NewLoop(w *world.World, systems []world.System, sink Sink, clock Clock) *Loop {
	return &Loop{world: w, systems: systems, sink: sink, clock: clock, signal: make(chan struct{}, 1)}
}

// Post adds an event to the mailbox and never blocks. The mailbox is bounded by
// the limits on open sessions and requests, each of which has few events open.
func (l *Loop) Post(e event.Event) {
	l.mu.Lock()
	l.mailbox = append(l.mailbox, e)
	l.mu.Unlock()
	select {
	case l.signal <- struct{}{}:
	default:
	}
}

// Run ticks until stop is closed. It blocks while there is no event and no
// deadline is due.
func (l *Loop) Run(stop <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-stop:
			return
		case <-l.signal:
		case <-timer.C:
		}
		l.tick()
		timer.Reset(l.untilWake())
	}
}

func (l *Loop) untilWake() time.Duration {
	const longest = time.Hour
	wake := l.world.NextWake()
	if wake == table.Never {
		return longest
	}
	return max(0, wake.Sub(l.clock()))
}

func (l *Loop) tick() {
	l.mu.Lock()
	events := l.mailbox
	l.mailbox = nil
	l.mu.Unlock()
	for _, e := range events {
		e.AddTo(&l.world.In)
	}
	start := l.clock()
	l.world.Tick(start, l.systems)
	l.sink.Flush(&l.world.Out)
	l.account(l.clock().Sub(start))
	if l.Publish != nil {
		l.Publish(l.world, l.spent)
	}
	l.world.Clear()
}

func (l *Loop) account(took time.Duration) {
	l.spent.Ticks++
	l.spent.Busy += took
	l.spent.Longest = max(l.spent.Longest, took)
}
