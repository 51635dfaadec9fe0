package fake

import (
	"sync"
	"time"
)

// Clock is the time source of a stand-in.
type Clock interface {
	Now() time.Time
	// At returns a channel that receives once the time is reached.
	At(t time.Time) <-chan time.Time
}

// SystemClock is the clock of the machine.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// At returns a channel that receives at t.
func (SystemClock) At(t time.Time) <-chan time.Time { return time.After(time.Until(t)) }

// ManualClock stands still until Advance is called.
type ManualClock struct {
	mu      sync.Mutex
	now     time.Time
	waiters []waiter
}

type waiter struct {
	at time.Time
	ch chan time.Time
}

// NewManualClock returns a clock at the start of 1970: the stand-ins use the
// zero time for "no deadline".
func NewManualClock() *ManualClock { return &ManualClock{now: time.Unix(0, 0)} }

// Now returns the time set by the calls of Advance.
func (c *ManualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// At returns a channel that receives once the clock was advanced to t.
func (c *ManualClock) At(t time.Time) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan time.Time, 1)
	c.waiters = append(c.waiters, waiter{at: t, ch: ch})
	c.fire()
	return ch
}

// Advance moves the clock forward and wakes what is due.
func (c *ManualClock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	c.fire()
}

func (c *ManualClock) fire() {
	waiting := c.waiters[:0]
	for _, w := range c.waiters {
		if w.at.After(c.now) {
			waiting = append(waiting, w)
			continue
		}
		w.ch <- c.now
	}
	c.waiters = waiting
}
