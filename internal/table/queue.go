package table

import (
	"container/heap"
	"slices"
	"time"
)

// agePerPriority is the waiting time that one priority level is worth within a
// customer's queue. A finite value keeps low priorities from starving.
const agePerPriority = time.Second

// QueueKey identifies a queue: the requests of one class that wait for a
// service.
type QueueKey struct {
	Service ServiceName
	Class   Class
}

// queue holds the requests in RequestQueued of one service and class, with
// weighted fair queueing between customers. Requests that only some endpoints
// may run are kept apart, so that they do not block the requests behind them.
type queue struct {
	key QueueKey
	// virtualTime is the start tag of the last request taken.
	virtualTime float64
	customers   []*customerQueue
	byCustomer  map[CustomerID]*customerQueue
	restricted  Set[RequestID]
	// length counts the queued requests, dispatched those that have left the queue
	// for an endpoint.
	length     int
	dispatched uint64
}

// customerQueue is one customer's part of a queue.
type customerQueue struct {
	// finishTag is the finish tag of the customer's last request.
	finishTag float64
	// entries are ordered by arrival, shifted by priority.
	entries queueHeap
}

// queueEntry is a request's position in a heap, ordered by time and then by
// sequence. It is stale once the request left the queue or entered it again.
type queueEntry struct {
	request  RequestID
	at       Instant
	sequence uint64
}

func (e queueEntry) before(o queueEntry) bool {
	if e.at != o.at {
		return e.at < o.at
	}
	return e.sequence < o.sequence
}

type queueHeap []queueEntry

func (h queueHeap) Len() int           { return len(h) }
func (h queueHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h queueHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *queueHeap) Push(x any)        { *h = append(*h, x.(queueEntry)) }
func (h *queueHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// queueIndex orders the queued requests. Stale entries are dropped when they
// reach the top of their heap.
type queueIndex struct {
	queues       Table[QueueKey, *queue]
	deadlines    queueHeap
	lastSequence uint64
}

// enqueue adds a request to its queue if its state is RequestQueued.
func (t *RequestTable) enqueue(r *Request) {
	if r.state != RequestQueued {
		return
	}
	t.lastSequence++
	r.queueSequence = t.lastSequence
	t.addDeadline(r)
	q := t.queueOf(r)
	q.length++
	if r.restricted() {
		q.restricted.Add(r.ID)
		return
	}
	at := r.ArrivedAt.Add(-time.Duration(r.Priority) * agePerPriority)
	heap.Push(&q.customerQueue(r.Customer).entries, queueEntry{r.ID, at, r.queueSequence})
}

// dequeue takes a request out of its queue if its state is RequestQueued. Its
// heap entries become stale with the change of state.
func (t *RequestTable) dequeue(r *Request) {
	if r.state != RequestQueued {
		return
	}
	q := t.queueOf(r)
	q.length--
	q.restricted.Remove(r.ID)
}

// restricted reports whether only some endpoints may run the request.
func (r *Request) restricted() bool { return r.MustRunAlone || r.PinnedAgent != Holder{} }

func (t *RequestTable) queueOf(r *Request) *queue {
	key := QueueKey{Service: r.Service, Class: r.Class}
	if q := t.queues.Get(key); q != nil {
		return *q
	}
	q := &queue{key: key, byCustomer: make(map[CustomerID]*customerQueue)}
	t.queues.Put(key, q)
	return q
}

func (q *queue) customerQueue(c CustomerID) *customerQueue {
	if cq := q.byCustomer[c]; cq != nil {
		return cq
	}
	cq := &customerQueue{}
	q.byCustomer[c] = cq
	q.customers = append(q.customers, cq)
	return cq
}

// ServicesWithQueued returns the services that have queued requests.
func (t *RequestTable) ServicesWithQueued() []ServiceName {
	var names []ServiceName
	t.queues.Each(func(k QueueKey, q **queue) {
		if (*q).length > 0 && !slices.Contains(names, k.Service) {
			names = append(names, k.Service)
		}
	})
	return names
}

// QueueLen returns the number of requests in a queue.
func (t *RequestTable) QueueLen(k QueueKey) int {
	if q := t.queues.Get(k); q != nil {
		return (*q).length
	}
	return 0
}

// Restricted returns the requests of a queue that only some endpoints may run,
// in the order in which they entered the queue.
func (t *RequestTable) Restricted(k QueueKey) []RequestID {
	if q := t.queues.Get(k); q != nil {
		return (*q).restricted.Keys()
	}
	return nil
}

// NextFair returns the unrestricted request that fair queueing selects next, or
// nil: that of the customer with the least weighted work, and within the
// customer the first by priority and age.
func (t *RequestTable) NextFair(k QueueKey) *Request {
	return t.best(k, func(q *queue, a, b *customerQueue) bool {
		startA, startB := max(a.finishTag, q.virtualTime), max(b.finishTag, q.virtualTime)
		if startA != startB {
			return startA < startB
		}
		return a.entries[0].before(b.entries[0])
	})
}

// NextByPriority returns the unrestricted request of a queue that is first by
// priority and age over all customers, or nil.
func (t *RequestTable) NextByPriority(k QueueKey) *Request {
	return t.best(k, func(_ *queue, a, b *customerQueue) bool { return a.entries[0].before(b.entries[0]) })
}

// best returns the first request of the customer's queue that sorts before all
// others, or nil.
func (t *RequestTable) best(k QueueKey, before func(q *queue, a, b *customerQueue) bool) *Request {
	row := t.queues.Get(k)
	if row == nil {
		return nil
	}
	q := *row
	var best *customerQueue
	for _, cq := range q.customers {
		if t.dropStale(&cq.entries) && (best == nil || before(q, cq, best)) {
			best = cq
		}
	}
	if best == nil {
		return nil
	}
	return t.Get(best.entries[0].request)
}

// ChargeWork counts a request as dispatched from its queue and charges its
// weighted work to the customer there.
func (t *RequestTable) ChargeWork(r *Request, work float64) {
	q := t.queueOf(r)
	cq := q.customerQueue(r.Customer)
	start := max(cq.finishTag, q.virtualTime)
	q.virtualTime = start
	cq.finishTag = start + work
	q.dispatched++
}

// DispatchedCount returns how many requests were dispatched from the queues of
// a service.
func (t *RequestTable) DispatchedCount(name ServiceName) uint64 {
	var sum uint64
	for _, c := range []Class{ClassQuick, ClassLong} {
		if q := t.queues.Get(QueueKey{Service: name, Class: c}); q != nil {
			sum += (*q).dispatched
		}
	}
	return sum
}

// dropStale removes stale entries from the top and reports whether any entry is
// left.
func (t *RequestTable) dropStale(h *queueHeap) bool {
	for len(*h) > 0 && t.isStale((*h)[0]) {
		heap.Pop(h)
	}
	return len(*h) > 0
}

// isStale reports whether the entry's request left the queue or entered it
// again.
func (t *RequestTable) isStale(e queueEntry) bool {
	r := t.Get(e.request)
	return r == nil || r.state != RequestQueued || r.queueSequence != e.sequence
}

// addDeadline indexes the request's deadline. Stale entries with late deadlines
// never reach the top, so they are removed when they make up most of the heap.
func (t *RequestTable) addDeadline(r *Request) {
	const compactAbove = 64
	if r.FirstTokenDeadline == Never {
		return
	}
	if len(t.deadlines) > compactAbove+2*t.CountInState(RequestQueued) {
		t.deadlines = slices.DeleteFunc(t.deadlines, t.isStale)
		heap.Init(&t.deadlines)
	}
	heap.Push(&t.deadlines, queueEntry{r.ID, r.FirstTokenDeadline, r.queueSequence})
}

// NextDeadline returns the queued request with the earliest deadline, or nil.
func (t *RequestTable) NextDeadline() *Request {
	if !t.dropStale(&t.deadlines) {
		return nil
	}
	return t.Get(t.deadlines[0].request)
}

// PopDeadline removes the request that NextDeadline returned from the index.
func (t *RequestTable) PopDeadline() { heap.Pop(&t.deadlines) }
