// Package fake holds small stand-ins for the outside systems: the platform,
// a model engine and a plain service, as HTTP handlers.
//
// Each stand-in keeps its state in tables that one goroutine changes. Its HTTP
// handlers post events and carry the answers; the goroutine runs the systems
// of the stand-in when events arrive or a deadline is reached.
package fake

import (
	"sync"
	"time"
)

// mailboxSize is the number of events that may wait for a tick.
const mailboxSize = 256

// ticker is the state of a stand-in with its systems.
type ticker[E any] interface {
	// tick handles events and due work; it returns the next deadline, or the
	// zero time if there is none.
	tick(now time.Time, events []E) time.Time
}

// envelope is an event in the mailbox; handled is closed after its tick.
type envelope[E any] struct {
	event   E
	handled chan struct{}
}

// loop owns a ticker: only its goroutine runs ticks.
type loop[E any] struct {
	clock  Clock
	events chan envelope[E]
	done   chan struct{}
	once   sync.Once
}

func startLoop[E any](clock Clock, t ticker[E]) *loop[E] {
	if clock == nil {
		clock = SystemClock{}
	}
	l := &loop[E]{clock: clock, events: make(chan envelope[E], mailboxSize), done: make(chan struct{})}
	go l.run(t)
	return l
}

func (l *loop[E]) run(t ticker[E]) {
	var wake <-chan time.Time
	for {
		var mail []envelope[E]
		select {
		case <-l.done:
			return
		case e := <-l.events:
			mail = l.drain(e)
		case <-wake:
		}
		events := make([]E, 0, len(mail))
		for _, m := range mail {
			events = append(events, m.event)
		}
		wake = nil
		if next := t.tick(l.clock.Now(), events); !next.IsZero() {
			wake = l.clock.At(next)
		}
		for _, m := range mail {
			close(m.handled)
		}
	}
}

// drain returns the first event and all others that wait.
func (l *loop[E]) drain(first envelope[E]) []envelope[E] {
	mail := []envelope[E]{first}
	for range mailboxSize {
		select {
		case e := <-l.events:
			mail = append(mail, e)
		default:
			return mail
		}
	}
	return mail
}

// post hands over an event. The returned channel is closed after its tick;
// after close it may stay open.
func (l *loop[E]) post(e E) <-chan struct{} {
	handled := make(chan struct{})
	select {
	case <-l.done:
	case l.events <- envelope[E]{e, handled}:
	}
	return handled
}

// do hands over an event and waits until it is in force.
func (l *loop[E]) do(e E) { receive(l, l.post(e)) }

// close stops the goroutine. Requests that wait for an answer are dropped.
func (l *loop[E]) close() { l.once.Do(func() { close(l.done) }) }

// receive waits for the answer to a posted event; it reports false after close
// and if the channel was closed without an answer.
func receive[E, A any](l *loop[E], answer <-chan A) (A, bool) {
	select {
	case a, ok := <-answer:
		return a, ok
	case <-l.done:
		var none A
		return none, false
	}
}

// earliest returns the earlier of two deadlines, of which zero means none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
