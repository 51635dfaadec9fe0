// Package relay forwards answers from agents to callers at a router.
//
// Each request is served by one goroutine, the one that runs the caller's RPC handler. It owns
// the prompt and the answer text delivered so far, and receives commands and messages through
// a queue. The control thread makes all decisions; the goroutine posts the first token, progress
// and the end of an attempt as events.
package relay

import (
	"sync"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/wire"
)

// queueItem is a command or message for a request's goroutine. Exactly one field is set.
type queueItem struct {
	accept   *command.Accept
	dispatch *command.Dispatch
	chunk    *wire.Chunk
	end      *wire.End
	reply    *command.Reply
	// handOverTo is the queue of the handler that takes over the request.
	handOverTo *queue
	// handover is the state of the request, sent to that queue in return.
	handover *handoverState
}

// queue is a FIFO queue with one reader. It has no length limit, but its content is limited by
// the size of one answer.
type queue struct {
	mu    sync.Mutex
	items []queueItem
	ready chan struct{}
}

func newQueue() *queue { return &queue{ready: make(chan struct{}, 1)} }

func (q *queue) push(it queueItem) {
	q.mu.Lock()
	q.items = append(q.items, it)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

func (q *queue) popAll() []queueItem {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	return items
}

// Directory finds the queue of a handler by reply id or by request id. It is the only state
// that the traffic goroutines of a router share.
type Directory struct {
	mu             sync.Mutex
	lastReplyID    uint64
	queueByReplyID map[uint64]*queue
	queueByRequest map[table.RequestID]*queue
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{queueByReplyID: map[uint64]*queue{}, queueByRequest: map[table.RequestID]*queue{}}
}

// addHandler returns the reply id and queue of a new handler.
func (d *Directory) addHandler() (uint64, *queue) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastReplyID++
	q := newQueue()
	d.queueByReplyID[d.lastReplyID] = q
	return d.lastReplyID, q
}

// removeHandler removes a handler. The request stays if another handler took it over.
func (d *Directory) removeHandler(replyID uint64, request table.RequestID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if q := d.queueByReplyID[replyID]; q != nil && d.queueByRequest[request] == q {
		delete(d.queueByRequest, request)
	}
	delete(d.queueByReplyID, replyID)
}

// pushToRequest queues an item for the goroutine of a request. It returns false if no handler
// serves the request.
func (d *Directory) pushToRequest(id table.RequestID, it queueItem) bool {
	d.mu.Lock()
	q := d.queueByRequest[id]
	d.mu.Unlock()
	if q == nil {
		return false
	}
	q.push(it)
	return true
}

// Accept assigns a request id to the handler that posted the arrival. With Attach, the handler
// that served the request so far hands it over to the new one.
func (d *Directory) Accept(c command.Accept) {
	d.mu.Lock()
	q, previous := d.queueByReplyID[c.ReplyID], d.queueByRequest[c.Request]
	if q != nil {
		d.queueByRequest[c.Request] = q
	}
	d.mu.Unlock()
	if q == nil {
		return
	}
	q.push(queueItem{accept: &c})
	if c.Attach && previous != nil && previous != q {
		previous.push(queueItem{handOverTo: q})
	}
}

// Dispatch forwards an attempt to the request's goroutine, which adds the payload and sends it
// to the agent. It returns false if the request is no longer served here.
func (d *Directory) Dispatch(c command.Dispatch) bool {
	return d.pushToRequest(c.Request, queueItem{dispatch: &c})
}

// Chunk forwards part of an answer to the request's goroutine.
func (d *Directory) Chunk(c wire.Chunk) { d.pushToRequest(c.Request, queueItem{chunk: &c}) }

// End forwards the end of an attempt to the request's goroutine.
func (d *Directory) End(e wire.End) { d.pushToRequest(e.Request, queueItem{end: &e}) }

// Reply forwards the outcome of a request to its handler.
func (d *Directory) Reply(c command.Reply) {
	d.mu.Lock()
	q := d.queueByReplyID[c.ReplyID]
	d.mu.Unlock()
	if q != nil {
		q.push(queueItem{reply: &c})
	}
}
