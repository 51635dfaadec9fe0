package guard

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/tcp"
)

const (
	// fieldBytes is what a field of a head takes beside its bytes, which are kept twice
	// while the head is parsed. The number of fields decides what a head costs.
	fieldBytes = 128
	// http2Bytes is what a connection takes on which requests are sent as streams.
	http2Bytes = 192 << 10
	// refusalTimeout bounds the write of a refusal before a connection is closed.
	refusalTimeout = time.Millisecond
	// descriptorPause is the time between two attempts to accept a connection while the
	// process has no descriptor left.
	descriptorPause = 5 * time.Millisecond
)

// refusal is sent before a connection is closed on which a request is incomplete. Its status
// says that the request did not run.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// http2Preface begins a connection on which requests are sent as streams.
var http2Preface = []byte("PRI * HTTP/2.0")

// Listener accepts connections and charges them to a guard.
type Listener struct {
	*tcp.Listener
	guard *Guard
	class table.ListenerClass
	// http is true if the connections speak HTTP.
	http bool
}

// ListenHTTP listens for HTTP connections on a TCP address.
func (g *Guard) ListenHTTP(address string, class table.ListenerClass) (*Listener, error) {
	return g.listen(address, class, true)
}

// Listen listens on a TCP address for connections that charge what they read by Receive.
func (g *Guard) Listen(address string, class table.ListenerClass) (*Listener, error) {
	return g.listen(address, class, false)
}

func (g *Guard) listen(address string, class table.ListenerClass, http bool) (*Listener, error) {
	l, err := tcp.Listen(address)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: l, guard: g, class: class, http: http}, nil
}

// Accept implements net.Listener. A connection for which there is no room is closed. Running
// out of descriptors is no error: servers would pause or give up.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			l.guard.endAnyConnection(l.class)
			time.Sleep(descriptorPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, http: l.http}
		c.holding = &Holding{class: l.class, end: c.end}
		raw.(*tcp.Conn).OnClose(func() { l.guard.close(c.holding) })
		if l.guard.openConnection(c.holding) {
			return c, nil
		}
		tcp.Reset(raw)
	}
}

// Conn is an accepted connection.
type Conn struct {
	net.Conn
	holding *Holding
	http    bool
	// requests counts the requests that are being served.
	requests atomic.Int32
	// began is true once the first bytes have arrived, and streams if they begin HTTP/2.
	// They are set before the first request is served.
	began, streams bool

	mu sync.Mutex
	// working counts the streams whose requests are being worked on.
	working int32
	// headEstimate is what the head that arrives takes as far as it has arrived, and
	// headBytes what is charged for it.
	headEstimate, headBytes int64
}

// Read implements net.Conn. While a head arrives, what it will take is charged before it is
// passed on.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || !c.http || c.requests.Load() > 0 {
		return n, err
	}
	if !c.began {
		c.began = true
		if c.streams = bytes.HasPrefix(p[:n], http2Preface); c.streams && c.holding.grow(http2Bytes) != nil {
			return 0, c.refuse()
		}
	}
	if c.streams {
		return n, err
	}
	if c.holding.phaseIs(table.HoldingIdle) {
		c.holding.setPhase(table.HoldingReceiving)
	}
	c.holding.moved.Add(int64(n))
	if c.chargeHead(p[:n]) != nil {
		return 0, c.refuse()
	}
	return n, err
}

// chargeHead charges a part of a head that has arrived.
func (c *Conn) chargeHead(part []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headEstimate += int64(bytes.Count(part, []byte("\n")))*fieldBytes + 2*int64(len(part))
	more := c.headEstimate - freeHeadBytes - c.headBytes
	if more <= 0 {
		return nil
	}
	if err := c.holding.grow(more); err != nil {
		return err
	}
	c.headBytes += more
	return nil
}

// takeHead returns what is charged for the head that was read, and begins the next one.
func (c *Conn) takeHead() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	charged := c.headBytes
	c.headEstimate, c.headBytes = 0, 0
	return charged
}

// idle begins the time between two requests.
func (c *Conn) idle() {
	c.holding.shrink(c.takeHead())
	c.holding.setPhase(table.HoldingIdle)
}

// refuse closes a connection that has no room for its request, and returns the error of the
// read.
func (c *Conn) refuse() error {
	c.end()
	// Servers do not answer this kind of error.
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: io.EOF}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.holding.ended.Load() {
		return 0, ErrEnded
	}
	if c.streams {
		// Answers share the connection with other requests.
		return c.Conn.Write(p)
	}
	phase := table.HoldingPhase(c.holding.phase.Load())
	c.holding.setPhase(table.HoldingSending)
	n, err := c.Conn.Write(p)
	c.holding.setPhase(phase)
	return n, err
}

// countStreams counts the open requests of a connection that has streams, and those of them
// that are being worked on. The connection waits for its client if none is.
func (c *Conn) countStreams(open, working int32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.working += working
	phase := table.HoldingReceiving
	switch {
	case c.requests.Add(open) == 0:
		phase = table.HoldingIdle
	case c.working > 0:
		phase = table.HoldingWorking
	}
	if !c.holding.phaseIs(phase) {
		c.holding.setPhase(phase)
	}
}

// end closes the connection at once. A client that has sent a part of a request is told that
// it did not run.
func (c *Conn) end() {
	if c.http && !c.streams && c.holding.phaseIs(table.HoldingReceiving) && c.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
		_, _ = io.WriteString(c.Conn, refusal)
	}
	c.Abort()
}

// Abort resets the connection at once.
func (c *Conn) Abort() { c.Conn.(*tcp.Conn).Abort() }

// CloseWrite ends what is sent. HTTP servers use it to close connections in order.
func (c *Conn) CloseWrite() error { return c.Conn.(*tcp.Conn).CloseWrite() }

// Close implements net.Conn. The holding ends when the system has closed the connection.
func (c *Conn) Close() error {
	c.holding.setPhase(table.HoldingSending)
	return c.Conn.Close()
}

// Receive charges n bytes that arrive for a message, and returns a function that gives them
// back. It returns an error if there is no room.
func (c *Conn) Receive(n int64) (release func(), err error) {
	if err := c.holding.grow(n); err != nil {
		return func() {}, err
	}
	return func() { c.holding.shrink(n) }, nil
}

// Trust marks a connection whose peer is known: it does not end to make room for others.
func (c *Conn) Trust() { c.holding.setPhase(table.HoldingWorking) }
