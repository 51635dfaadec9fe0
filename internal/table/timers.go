package table

import "container/heap"

// Timers keeps at most one due time per key. Systems use it as a work list
// ordered by time, so that a tick touches only the rows that are due.
type Timers[K comparable] struct {
	due   map[K]Instant
	queue timerQueue[K]
}

// Set makes k due at time t, or leaves it if it is due earlier.
func (t *Timers[K]) Set(k K, at Instant) {
	if old, ok := t.due[k]; ok && old <= at {
		return
	}
	if t.due == nil {
		t.due = make(map[K]Instant)
	}
	t.due[k] = at
	heap.Push(&t.queue, timer[K]{key: k, at: at})
}

// Pop removes and returns a key that is due at time now.
func (t *Timers[K]) Pop(now Instant) (K, bool) {
	var none K
	t.dropStale()
	if len(t.queue) == 0 || t.queue[0].at > now {
		return none, false
	}
	first := heap.Pop(&t.queue).(timer[K])
	delete(t.due, first.key)
	return first.key, true
}

// Next returns the earliest due time, or Never.
func (t *Timers[K]) Next() Instant {
	t.dropStale()
	if len(t.queue) == 0 {
		return Never
	}
	return t.queue[0].at
}

// Len returns the number of keys.
func (t *Timers[K]) Len() int { return len(t.due) }

// dropStale removes queue entries that an earlier due time has replaced.
func (t *Timers[K]) dropStale() {
	for len(t.queue) > 0 {
		first := t.queue[0]
		if at, ok := t.due[first.key]; ok && at == first.at {
			return
		}
		heap.Pop(&t.queue)
	}
}

type timer[K comparable] struct {
	key K
	at  Instant
}

type timerQueue[K comparable] []timer[K]

func (q timerQueue[K]) Len() int           { return len(q) }
func (q timerQueue[K]) Less(i, j int) bool { return q[i].at < q[j].at }
func (q timerQueue[K]) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *timerQueue[K]) Push(x any)        { *q = append(*q, x.(timer[K])) }

func (q *timerQueue[K]) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	(*q)[last] = timer[K]{}
	*q = (*q)[:last]
	return x
}
