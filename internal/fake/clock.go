package fake

import (
	"sync"
	"time"
)

// Clock is the time source of a fake.
type Clock interface {
	Now() time.Time
	// NotifyAt returns a channel that receives the time once t is reached.
	NotifyAt(t time.Time) <-chan time.Time
}

// SystemClock is the system time.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// NotifyAt returns a channel that receives the time at t.
func (SystemClock) NotifyAt(t time.Time) <-chan time.Time { return time.After(time.Until(t)) }

// ManualClock is a Clock that only moves when Advance is called.
type ManualClock struct {
	mu     sync.Mutex
	now    time.Time
	timers []timer
}

type timer struct {
	due time.Time
	ch  chan time.Time
}

// NewManualClock returns a clock that starts at the Unix epoch and not at the zero
// time, which the fakes use for "no deadline".
func NewManualClock() *ManualClock { return &ManualClock{now: time.Unix(0, 0)} }

// Now returns the clock's current time.
func (c *ManualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// NotifyAt returns a channel that receives the time once the clock has been
// advanced to t.
func (c *ManualClock) NotifyAt(t time.Time) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan time.Time, 1)
	c.timers = append(c.timers, timer{due: t, ch: ch})
	c.fireDueTimers()
	return ch
}

// Advance moves the clock forward and fires the timers that are due.
func (c *ManualClock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	c.fireDueTimers()
}

func (c *ManualClock) fireDueTimers() {
	pending := c.timers[:0]
	for _, t := range c.timers {
		if t.due.After(c.now) {
			pending = append(pending, t)
			continue
		}
		t.ch <- c.now
	}
	c.timers = pending
}
