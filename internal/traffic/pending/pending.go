// Package pending matches answers of the control thread to the goroutines that
// wait for them.
package pending

import (
	"context"
	"sync"
)

// Answers holds the goroutines that wait for answers of type T.
type Answers[T any] struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan T
}

// Ask registers a number, passes it to send, and waits for the answer.
func (a *Answers[T]) Ask(ctx context.Context, send func(reply uint64)) (T, error) {
	reply, ch := a.open()
	defer a.close(reply)
	send(reply)
	select {
	case v := <-ch:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Answer hands an answer to the goroutine that waits for it, if it still does.
func (a *Answers[T]) Answer(reply uint64, v T) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ch, ok := a.waiting[reply]; ok {
		ch <- v
		delete(a.waiting, reply)
	}
}

func (a *Answers[T]) open() (uint64, chan T) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.next++
	if a.waiting == nil {
		a.waiting = make(map[uint64]chan T)
	}
	ch := make(chan T, 1)
	a.waiting[a.next] = ch
	return a.next, ch
}

func (a *Answers[T]) close(reply uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, reply)
}
