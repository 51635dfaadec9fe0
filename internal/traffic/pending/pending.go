// Package pending delivers replies of the control thread to the goroutines that wait
// for them.
package pending

import (
	"context"
	"sync"
)

// Replies tracks the goroutines that wait for replies of type T. The zero value is
// ready to use.
type Replies[T any] struct {
	mu      sync.Mutex
	lastID  uint64
	waiters map[uint64]chan T
}

// Await calls send with a new reply id and waits until Deliver is called with that id
// or the context ends.
func (r *Replies[T]) Await(ctx context.Context, send func(replyID uint64)) (T, error) {
	replyID, ch := r.register()
	defer r.unregister(replyID)
	send(replyID)
	select {
	case reply := <-ch:
		return reply, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Deliver passes a reply to the goroutine that waits for it. It drops the reply if the
// goroutine no longer waits.
func (r *Replies[T]) Deliver(replyID uint64, reply T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ch, ok := r.waiters[replyID]; ok {
		ch <- reply
		delete(r.waiters, replyID)
	}
}

func (r *Replies[T]) register() (uint64, chan T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	if r.waiters == nil {
		r.waiters = make(map[uint64]chan T)
	}
	ch := make(chan T, 1)
	r.waiters[r.lastID] = ch
	return r.lastID, ch
}

func (r *Replies[T]) unregister(replyID uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiters, replyID)
}
