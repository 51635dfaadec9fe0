package table

import "container/heap"

// Timers keeps at most one due time per key. Systems use it as a work list
// ordered by time, so that a tick touches only the rows that are due.
type Timers[K comparable] struct {
	// due is authoritative: heap entries that do not match it are stale.
	due  map[K]Instant
	heap timerHeap[K]
}

// Schedule makes k due at the given time, unless it is due earlier already.
func (t *Timers[K]) Schedule(k K, at Instant) {
	if old, ok := t.due[k]; ok && old <= at {
		return
	}
	if t.due == nil {
		t.due = make(map[K]Instant)
	}
	t.due[k] = at
	heap.Push(&t.heap, timer[K]{key: k, at: at})
}

// PopDue removes and returns a key that is due at time now.
func (t *Timers[K]) PopDue(now Instant) (K, bool) {
	var none K
	t.dropStale()
	if len(t.heap) == 0 || t.heap[0].at > now {
		return none, false
	}
	first := heap.Pop(&t.heap).(timer[K])
	delete(t.due, first.key)
	return first.key, true
}

// NextDue returns the earliest due time, or Never.
func (t *Timers[K]) NextDue() Instant {
	t.dropStale()
	if len(t.heap) == 0 {
		return Never
	}
	return t.heap[0].at
}

// Len returns the number of keys.
func (t *Timers[K]) Len() int { return len(t.due) }

// dropStale removes heap entries that an earlier due time has replaced.
func (t *Timers[K]) dropStale() {
	for len(t.heap) > 0 {
		first := t.heap[0]
		if at, ok := t.due[first.key]; ok && at == first.at {
			return
		}
		heap.Pop(&t.heap)
	}
}

type timer[K comparable] struct {
	key K
	at  Instant
}

type timerHeap[K comparable] []timer[K]

func (q timerHeap[K]) Len() int           { return len(q) }
func (q timerHeap[K]) Less(i, j int) bool { return q[i].at < q[j].at }
func (q timerHeap[K]) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *timerHeap[K]) Push(x any)        { *q = append(*q, x.(timer[K])) }

func (q *timerHeap[K]) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	(*q)[last] = timer[K]{}
	*q = (*q)[:last]
	return x
}
