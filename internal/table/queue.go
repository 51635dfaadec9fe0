package table

import (
	"container/heap"
	"slices"
	"time"
)

// priorityAge is the age that one priority level is worth within a customer. A
// finite value keeps low priorities from starving.
const priorityAge = time.Second

// QueueKey names a queue: the requests of one class that wait for a service.
type QueueKey struct {
	Service ServiceName
	Class   Class
}

// queue holds the requests in RequestQueued of one service and class. Requests
// that only some endpoints may run are listed apart, so that they hold up
// nothing behind them.
type queue struct {
	key QueueKey
	// virtual is the start tag of the last request taken, for fair queueing.
	virtual    float64
	lanes      []*lane
	byCustomer map[CustomerID]*lane
	restricted Set[RequestID]
	waiting    int
	taken      uint64
}

// lane is one customer's part of a queue.
type lane struct {
	// finish is the fair-queueing finish tag of the customer's last request.
	finish  float64
	entries entryHeap
}

// entry is a request's place in a heap. It is stale once the request left the
// queue or entered it again.
type entry struct {
	id       RequestID
	at       Instant
	sequence uint64
}

func (e entry) before(o entry) bool {
	if e.at != o.at {
		return e.at < o.at
	}
	return e.sequence < o.sequence
}

type entryHeap []entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h entryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *entryHeap) Push(x any)        { *h = append(*h, x.(entry)) }
func (h *entryHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// queueIndex orders the queued requests. Stale entries are dropped when they
// reach the top of their heap.
type queueIndex struct {
	queues    Table[QueueKey, *queue]
	deadlines entryHeap
	sequence  uint64
}

func (t *RequestTable) entered(r *Request) {
	if r.state != RequestQueued {
		return
	}
	t.sequence++
	r.queued = t.sequence
	t.addDeadline(r)
	q := t.queueOf(r)
	q.waiting++
	if r.restricted() {
		q.restricted.Add(r.ID)
		return
	}
	at := r.Arrived.Add(-time.Duration(r.Priority) * priorityAge)
	heap.Push(&q.lane(r.Customer).entries, entry{r.ID, at, r.queued})
}

func (t *RequestTable) left(r *Request) {
	if r.state != RequestQueued {
		return
	}
	q := t.queueOf(r)
	q.waiting--
	q.restricted.Remove(r.ID)
}

// restricted reports whether only some endpoints may run the request.
func (r *Request) restricted() bool { return r.Alone || r.Pinned != Holder{} }

func (t *RequestTable) queueOf(r *Request) *queue {
	key := QueueKey{Service: r.Service, Class: r.Class}
	if q := t.queues.Get(key); q != nil {
		return *q
	}
	q := &queue{key: key, byCustomer: make(map[CustomerID]*lane)}
	t.queues.Put(key, q)
	return q
}

func (q *queue) lane(c CustomerID) *lane {
	if l := q.byCustomer[c]; l != nil {
		return l
	}
	l := &lane{}
	q.byCustomer[c] = l
	q.lanes = append(q.lanes, l)
	return l
}

// WaitingServices returns the services that have queued requests.
func (t *RequestTable) WaitingServices() []ServiceName {
	var names []ServiceName
	t.queues.Each(func(k QueueKey, q **queue) {
		if (*q).waiting > 0 && !slices.Contains(names, k.Service) {
			names = append(names, k.Service)
		}
	})
	return names
}

// Waiting returns the number of requests in a queue.
func (t *RequestTable) Waiting(k QueueKey) int {
	if q := t.queues.Get(k); q != nil {
		return (*q).waiting
	}
	return 0
}

// Restricted returns the requests of a queue that only some endpoints may run,
// oldest first.
func (t *RequestTable) Restricted(k QueueKey) []RequestID {
	if q := t.queues.Get(k); q != nil {
		return (*q).restricted.Keys()
	}
	return nil
}

// Next returns the unrestricted request whose turn it is in a queue, or nil:
// that of the customer with the least weighted work, and of these by priority
// and age.
func (t *RequestTable) Next(k QueueKey) *Request {
	return t.head(k, func(q *queue, a, b *lane) bool {
		startA, startB := max(a.finish, q.virtual), max(b.finish, q.virtual)
		if startA != startB {
			return startA < startB
		}
		return a.entries[0].before(b.entries[0])
	})
}

// Oldest returns the unrestricted request of a queue that is first by priority
// and age over all customers, or nil.
func (t *RequestTable) Oldest(k QueueKey) *Request {
	return t.head(k, func(_ *queue, a, b *lane) bool { return a.entries[0].before(b.entries[0]) })
}

func (t *RequestTable) head(k QueueKey, before func(q *queue, a, b *lane) bool) *Request {
	row := t.queues.Get(k)
	if row == nil {
		return nil
	}
	q := *row
	var best *lane
	for _, l := range q.lanes {
		if t.dropStale(&l.entries) && (best == nil || before(q, l, best)) {
			best = l
		}
	}
	if best == nil {
		return nil
	}
	return t.Get(best.entries[0].id)
}

// Charge accounts weighted work of a customer to its place in a queue.
func (t *RequestTable) Charge(r *Request, work float64) {
	q := t.queueOf(r)
	l := q.lane(r.Customer)
	start := max(l.finish, q.virtual)
	q.virtual = start
	l.finish = start + work
	q.taken++
}

// Taken returns how many requests of a service were charged to its queues.
func (t *RequestTable) Taken(name ServiceName) uint64 {
	var sum uint64
	for _, c := range []Class{ClassQuick, ClassLong} {
		if q := t.queues.Get(QueueKey{Service: name, Class: c}); q != nil {
			sum += (*q).taken
		}
	}
	return sum
}

// dropStale removes stale entries from the top and reports whether one is left.
func (t *RequestTable) dropStale(h *entryHeap) bool {
	for len(*h) > 0 && t.stale((*h)[0]) {
		heap.Pop(h)
	}
	return len(*h) > 0
}

func (t *RequestTable) stale(e entry) bool {
	r := t.Get(e.id)
	return r == nil || r.state != RequestQueued || r.queued != e.sequence
}

// addDeadline indexes the request's deadline. Stale entries with late deadlines
// are cleared out when they are most of the heap.
func (t *RequestTable) addDeadline(r *Request) {
	const compactAbove = 64
	if r.Deadline == Never {
		return
	}
	if len(t.deadlines) > compactAbove+2*t.Count(RequestQueued) {
		t.deadlines = slices.DeleteFunc(t.deadlines, t.stale)
		heap.Init(&t.deadlines)
	}
	heap.Push(&t.deadlines, entry{r.ID, r.Deadline, r.queued})
}

// NextDeadline returns the queued request with the earliest deadline, or nil.
func (t *RequestTable) NextDeadline() *Request {
	if !t.dropStale(&t.deadlines) {
		return nil
	}
	return t.Get(t.deadlines[0].id)
}

// DropDeadline takes the request that NextDeadline returned off the index.
func (t *RequestTable) DropDeadline() { heap.Pop(&t.deadlines) }
