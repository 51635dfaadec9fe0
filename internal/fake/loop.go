// Package fake contains fakes of the external systems for tests: the platform, a
// model engine and a plain service. Each is an HTTP handler.
//
// The state of a fake consists of tables that only the goroutine of its event loop
// accesses. HTTP handlers post events to the loop and send the results to clients.
// The loop runs the systems of the fake when events arrive or a deadline is reached.
package fake

import (
	"sync"
	"time"
)

// mailboxSize is the maximum number of events that wait for a tick.
const mailboxSize = 256

// world is the state of a fake with the systems that run over it.
type world[E any] interface {
	// tick applies the events and runs the work that is due. It returns the next
	// deadline, or the zero time if there is none.
	tick(now time.Time, events []E) time.Time
}

// queuedEvent is an event in the mailbox; processed is closed after its tick.
type queuedEvent[E any] struct {
	event     E
	processed chan struct{}
}

// loop is the event loop of a fake. Its goroutine owns the world and runs the ticks.
type loop[E any] struct {
	clock     Clock
	events    chan queuedEvent[E]
	done      chan struct{}
	closeOnce sync.Once
}

func startLoop[E any](clock Clock, w world[E]) *loop[E] {
	if clock == nil {
		clock = SystemClock{}
	}
	l := &loop[E]{clock: clock, events: make(chan queuedEvent[E], mailboxSize), done: make(chan struct{})}
	go l.run(w)
	return l
}

func (l *loop[E]) run(w world[E]) {
	var wake <-chan time.Time
	for {
		var batch []queuedEvent[E]
		select {
		case <-l.done:
			return
		case e := <-l.events:
			batch = l.nextBatch(e)
		case <-wake:
		}
		events := make([]E, 0, len(batch))
		for _, queued := range batch {
			events = append(events, queued.event)
		}
		wake = nil
		if next := w.tick(l.clock.Now(), events); !next.IsZero() {
			wake = l.clock.NotifyAt(next)
		}
		for _, queued := range batch {
			close(queued.processed)
		}
	}
}

// nextBatch returns the first event and the other events in the mailbox.
func (l *loop[E]) nextBatch(first queuedEvent[E]) []queuedEvent[E] {
	batch := []queuedEvent[E]{first}
	for range mailboxSize {
		select {
		case e := <-l.events:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// post adds an event to the mailbox and blocks while the mailbox is full. The
// returned channel is closed after the tick that processes the event. It may stay
// open if the loop is closed.
func (l *loop[E]) post(e E) <-chan struct{} {
	processed := make(chan struct{})
	select {
	case <-l.done:
	case l.events <- queuedEvent[E]{e, processed}:
	}
	return processed
}

// postAndWait posts an event and waits until it has been processed.
func (l *loop[E]) postAndWait(e E) { receive(l, l.post(e)) }

// close stops the loop. Requests that wait for a result are aborted.
func (l *loop[E]) close() { l.closeOnce.Do(func() { close(l.done) }) }

// receive waits for the response to a posted event. It returns false if the channel
// is closed without a response or if the loop is closed.
func receive[E, A any](l *loop[E], response <-chan A) (A, bool) {
	select {
	case r, ok := <-response:
		return r, ok
	case <-l.done:
		var zero A
		return zero, false
	}
}

// earliest returns the earlier of two deadlines; the zero time means no deadline.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
