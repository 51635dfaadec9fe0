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

// Sink executes the commands of a tick. It runs on the control thread and must not
// block: it hands data to traffic goroutines.
type Sink interface {
	Flush(out *command.Outbox)
}

// Clock returns the time of the process's monotonic clock.
type Clock func() table.Instant

// MonotonicClock returns a clock that starts at zero now.
func MonotonicClock() Clock {
	start := time.Now()
	return func() table.Instant { return table.Instant(time.Since(start)) }
}

// Loop owns a World and runs its ticks. All events of the process pass through its
// mailbox.
type Loop struct {
	world   *world.World
	systems []world.System
	sink    Sink
	clock   Clock

	mu      sync.Mutex
	mailbox []event.Event
	wake    chan struct{}

	// Publish, if set, is called on the control thread after each tick.
	Publish func(w *world.World, usage Usage)
	usage   Usage
}

// Usage counts the ticks of the control thread and the time spent in them.
type Usage struct {
	Ticks uint64
	// Busy is the total time spent in ticks and Longest the longest single tick.
	Busy    time.Duration
	Longest time.Duration
}

// NewLoop returns a loop over w. Start it with Run.
func NewLoop(w *world.World, systems []world.System, sink Sink, clock Clock) *Loop {
	return &Loop{world: w, systems: systems, sink: sink, clock: clock, wake: make(chan struct{}, 1)}
}

// Post adds an event to the mailbox and never blocks. The size of the mailbox is
// bounded by the limits on open sessions and requests, each of which has only a few
// pending events.
func (l *Loop) Post(e event.Event) {
	l.mu.Lock()
	l.mailbox = append(l.mailbox, e)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run processes ticks until stop is closed. It blocks while there is no event and
// no deadline is due.
func (l *Loop) Run(stop <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-stop:
			return
		case <-l.wake:
		case <-timer.C:
		}
		l.tick()
		timer.Reset(l.untilWake())
	}
}

func (l *Loop) untilWake() time.Duration {
	const maxSleep = time.Hour
	wake := l.world.NextWake()
	if wake == table.Never {
		return maxSleep
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
	l.recordTick(l.clock().Sub(start))
	if l.Publish != nil {
		l.Publish(l.world, l.usage)
	}
	l.world.ClearOutbox()
}

func (l *Loop) recordTick(duration time.Duration) {
	l.usage.Ticks++
	l.usage.Busy += duration
	l.usage.Longest = max(l.usage.Longest, duration)
}
