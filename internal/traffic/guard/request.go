package guard

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
)

const (
	// streamBytes is what a request takes that is a stream of a connection.
	streamBytes = 16 << 10
	// firstBlockBytes and maxBlockBytes are the sizes of the first and the largest block of
	// a body. Blocks double up to the largest, and no block is copied when the body grows.
	firstBlockBytes = 4 << 10
	maxBlockBytes   = 64 << 10
)

// connKey and requestKey are the context keys of the Conn and of the Request.
type (
	connKey    struct{}
	requestKey struct{}
)

// Request is a request with what it holds.
type Request struct {
	holding *Holding
	conn    *Conn
	// headBytes is what its head takes.
	headBytes int64
	// taken is what the request has charged to the holding.
	taken atomic.Int64
	// working is true if the connection of a stream counts it as being worked on.
	working bool

	mu sync.Mutex
	// stop makes reads of the body fail, for a request that is a stream of its connection.
	stop func()
}

// onEnd sets what makes reads of the body fail.
func (r *Request) onEnd(stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stop = stop
}

// endStream ends a request that is a stream of its connection.
func (r *Request) endStream() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stop != nil {
		r.stop()
	}
}

// HeadBytes returns what the head of a request or a response takes beyond what each
// connection has room for.
func HeadBytes(h http.Header) int64 {
	bytes := int64(0)
	for name, values := range h {
		for _, value := range values {
			bytes += fieldBytes + 2*int64(len(name)+len(value))
		}
	}
	return max(0, bytes-freeHeadBytes)
}

// Begin charges a request whose head was read. An error means that there is no room, and that
// the request must be refused. End must be called in any case, when it is answered.
func (g *Guard) Begin(r *http.Request) (request *Request, err error) {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	request = &Request{conn: c, headBytes: HeadBytes(r.Header)}
	if c == nil || c.streams {
		request.holding = &Holding{end: request.endStream}
		if c != nil {
			request.holding.class = c.holding.class
		}
		g.open(request.holding)
	} else {
		request.holding = c.holding
	}
	if c == nil {
		request.holding.setPhase(table.HoldingWorking)
		return request, request.Grow(request.headBytes)
	}
	if c.streams {
		request.holding.setPhase(table.HoldingWorking)
		request.working = true
		c.countStreams(1, 1)
		return request, request.Grow(streamBytes + request.headBytes)
	}
	c.requests.Add(1)
	if err := c.holding.work(); err != nil {
		return request, err
	}
	// What was charged while the head arrived becomes the request's.
	head, charged := request.headBytes, c.takeHead()
	if charged > head {
		c.holding.shrink(charged - head)
		charged = head
	}
	request.taken.Add(charged)
	return request, request.Grow(head - charged)
}

// End gives back what the request holds.
func (r *Request) End() {
	c := r.conn
	r.onEnd(nil)
	if r.holding.connection {
		r.holding.shrink(r.taken.Swap(0))
		r.holding.served.Store(true)
		// The server writes what is left of the answer, and reads the rest of the body.
		r.holding.setPhase(table.HoldingSending)
		c.requests.Add(-1)
		return
	}
	r.holding.guard.close(r.holding)
	if c != nil {
		r.setWorking(false)
		c.holding.served.Store(true)
		c.countStreams(-1, 0)
	}
}

// setWorking tells the connection of a stream whether its request is being worked on. Only the
// handler's goroutine calls it.
func (r *Request) setWorking(working bool) {
	if r.conn == nil || !r.conn.streams || r.working == working {
		return
	}
	r.working = working
	if working {
		r.conn.countStreams(0, 1)
	} else {
		r.conn.countStreams(0, -1)
	}
}

// Grow charges bytes to the request.
func (r *Request) Grow(n int64) error {
	if n <= 0 {
		return nil
	}
	if err := r.holding.grow(n); err != nil {
		return err
	}
	r.taken.Add(n)
	return nil
}

// CopyHead charges the head once more, for a copy of it.
func (r *Request) CopyHead() error { return r.Grow(r.headBytes) }

// Taken returns what the request has charged.
func (r *Request) Taken() int64 { return r.taken.Load() }

// Shrink gives bytes back.
func (r *Request) Shrink(n int64) {
	r.holding.shrink(n)
	r.taken.Add(-n)
}

// Receive marks that the request waits for its client to send the body.
func (r *Request) Receive() {
	r.holding.setPhase(table.HoldingReceiving)
	r.setWorking(false)
}

// Work marks that the request has arrived as a whole. An error means that it was ended before:
// its client may have been told that it did not run.
func (r *Request) Work() error {
	r.setWorking(true)
	return r.holding.work()
}

// moved counts bytes that the client has sent.
func (r *Request) moved(n int) { r.holding.moved.Add(int64(n)) }

// ReadAll reads up to maxBytes until the end of a body that the client sends, or of an answer
// to the request, into blocks that are charged to it.
func (r *Request) ReadAll(body io.Reader, maxBytes int64) (blocks [][]byte, err error) {
	size, total := int64(firstBlockBytes), int64(0)
	for {
		// One byte more than allowed shows that a body is too long.
		block := min(size, maxBytes+1-total)
		if err := r.Grow(block); err != nil {
			return nil, err
		}
		buffer := make([]byte, 0, block)
		for len(buffer) < cap(buffer) {
			n, err := body.Read(buffer[len(buffer):cap(buffer)])
			buffer = buffer[:len(buffer)+n]
			r.moved(n)
			total += int64(n)
			switch {
			case total > maxBytes:
				return nil, ErrTooLarge
			case err == io.EOF:
				return append(blocks, buffer), nil
			case err != nil:
				return nil, err
			}
		}
		blocks = append(blocks, buffer)
		if len(blocks) > 1 {
			size = min(2*size, maxBlockBytes)
		}
	}
}

// Len returns the number of bytes in blocks.
func Len(blocks [][]byte) int {
	n := 0
	for _, block := range blocks {
		n += len(block)
	}
	return n
}

// RequestOf returns the request of a context that Handler has made, or nil.
func RequestOf(ctx context.Context) *Request {
	r, _ := ctx.Value(requestKey{}).(*Request)
	return r
}

// HandlerOptions say how a handler is charged.
type HandlerOptions struct {
	// BodyFactor is how many bytes the handler takes for each byte of a body that it reads;
	// 0 means 1.
	BodyFactor int64
	// Refuse answers requests for which there is no room; nil means a plain refusal.
	Refuse http.Handler
	// BodyError returns the error of reading a body for which there is no room; nil means
	// the error as it is.
	BodyError func(error) error
}

// Handler charges requests and what a handler reads of their bodies.
func (g *Guard) Handler(h http.Handler, o HandlerOptions) http.Handler {
	if o.Refuse == nil {
		o.Refuse = http.HandlerFunc(refusePlainly)
	}
	if o.BodyError == nil {
		o.BodyError = func(err error) error { return err }
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := g.Begin(r)
		defer request.End()
		if err != nil {
			w.Header().Set("Connection", "close")
			o.Refuse.ServeHTTP(w, r)
			return
		}
		rc := http.NewResponseController(w)
		// A request that is a stream of its connection ends by itself.
		request.onEnd(func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) })
		r = r.WithContext(context.WithValue(r.Context(), requestKey{}, request))
		if r.Body != nil && r.ContentLength != 0 {
			r.Body = &chargedBody{ReadCloser: r.Body, request: request, options: &o}
		}
		h.ServeHTTP(w, r)
	})
}

func refusePlainly(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// chargedBody charges what is read of a body.
type chargedBody struct {
	io.ReadCloser
	request *Request
	options *HandlerOptions
	reading bool
}

// Read implements io.Reader.
func (b *chargedBody) Read(p []byte) (int, error) {
	if !b.reading {
		b.reading = true
		b.request.Receive()
	}
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.request.moved(n)
		if growErr := b.request.Grow(int64(n) * max(1, b.options.BodyFactor)); growErr != nil {
			return 0, b.options.BodyError(growErr)
		}
	}
	if err != nil && b.request.Work() != nil {
		err = b.options.BodyError(ErrEnded)
	}
	return n, err
}
