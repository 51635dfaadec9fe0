package wire

import (
	"bufio"
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"laburnumroad.dev/laburnumroad/internal/table"
)

const (
	// handshakeTimeout bounds TLS and Hello of a new connection.
	handshakeTimeout = 5 * time.Second
	// writeTimeout ends a session whose peer does not read.
	writeTimeout = 10 * time.Second
	// idleTimeout ends a session without a heartbeat; it is several intervals long.
	idleTimeout = 15 * time.Second
	// maxQueued is the most bytes that wait for a slow peer before the session ends.
	maxQueued = 16 << 20
)

// ErrClosed is returned by Send on a closed session.
var ErrClosed = errors.New("session is closed")

// Session is an open connection to another process of the fleet.
type Session struct {
	// ID is unique in this process.
	ID   uint64
	Peer Hello
	conn net.Conn

	mu     sync.Mutex
	queue  []byte
	ending bool
	closed bool
	wakeup chan struct{}
	// ended is closed after the session's last event.
	ended chan struct{}
}

// Holder returns the peer's identity.
func (s *Session) Holder() table.Holder { return s.Peer.Process.Holder }

// Send queues a message. It never blocks; a peer that does not read for long
// loses the session.
func (s *Session) Send(t Type, body any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return ErrClosed
	}
	queue, err := AppendFrame(s.queue, t, body)
	if err != nil {
		return err
	}
	return s.setQueue(queue)
}

// SendFrame is Send of a message that is already encoded, for one that goes to
// many sessions.
func (s *Session) SendFrame(frame []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return ErrClosed
	}
	return s.setQueue(append(s.queue, frame...))
}

// setQueue stores the queue with a new message and wakes the writer.
func (s *Session) setQueue(queue []byte) error {
	s.queue = queue
	if len(s.queue) > maxQueued {
		s.closeLocked()
		return ErrClosed
	}
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
	return nil
}

// Finish ends the session after what is queued was written.
func (s *Session) Finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = true
	if s.closed {
		return
	}
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// Close ends the session.
func (s *Session) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeLocked()
}

func (s *Session) closeLocked() {
	if s.closed {
		return
	}
	s.closed = true
	close(s.wakeup)
	s.conn.Close()
}

// takeQueue returns the waiting bytes, reusing spare for later ones.
func (s *Session) takeQueue(spare []byte) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := s.queue
	s.queue = spare[:0]
	return queue, !s.closed
}

func (s *Session) writeLoop(written func(n int)) {
	var spare []byte
	for range s.wakeup {
		queue, open := s.takeQueue(spare)
		if !open {
			return
		}
		s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := s.conn.Write(queue)
		written(n)
		if err != nil || s.finished() {
			s.Close()
			return
		}
		spare = queue
	}
}

// finished reports whether the session ends and nothing waits to be written.
func (s *Session) finished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ending && len(s.queue) == 0
}

// Handler receives what happens on sessions. Its methods run on the session's
// reading goroutine and must not block for long.
type Handler interface {
	// Opened is called before the first frame.
	Opened(s *Session)
	Received(s *Session, f Frame)
	// Closed is called once, after the last frame.
	Closed(s *Session)
}

// Node opens and accepts sessions for one process.
type Node struct {
	// Hello returns the first message of a new session.
	Hello   func() Hello
	Handler Handler
	// ServerTLS and ClientTLS return the current TLS settings, so that
	// certificates can be replaced without a restart; nil means plaintext.
	ServerTLS func() *tls.Config
	ClientTLS func() *tls.Config
	// Traffic, if set, is told the bytes read and written.
	Traffic func(in, out int)
	// Handshake and Idle replace the usual limits on the opening of a session and
	// on the time without a message, for fleets that must see a lost peer sooner.
	Handshake time.Duration
	Idle      time.Duration

	mu     sync.Mutex
	nextID uint64
	open   map[uint64]*Session
	closed bool
}

// Serve accepts sessions until the listener is closed.
func (n *Node) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			if n.ServerTLS != nil {
				conn = tls.Server(conn, n.ServerTLS())
			}
			// A refused handshake needs no report here; the dialling side has it.
			_ = n.run(conn)
		}()
	}
}

// Dial opens a session and returns after it ended, or with the error of the
// handshake.
func (n *Node) Dial(ctx context.Context, address string) error {
	d := net.Dialer{Timeout: n.handshakeLimit()}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	if n.ClientTLS != nil {
		conn = tls.Client(conn, n.ClientTLS())
	}
	return n.run(conn)
}

// Close refuses new sessions, lets the open ones write what is queued, and
// waits for their end until ctx is done.
func (n *Node) Close(ctx context.Context) {
	n.mu.Lock()
	sessions := make([]*Session, 0, len(n.open))
	for _, s := range n.open {
		sessions = append(sessions, s)
	}
	n.closed = true
	n.mu.Unlock()
	for _, s := range sessions {
		s.Finish()
	}
	for _, s := range sessions {
		select {
		case <-s.ended:
		case <-ctx.Done():
			s.Close()
		}
	}
}

func (n *Node) run(conn net.Conn) error {
	reader := bufio.NewReader(&countingReader{conn: conn, count: n.countIn})
	peer, err := n.handshake(conn, reader)
	if err != nil {
		conn.Close()
		return err
	}
	s := &Session{Peer: peer, conn: conn, wakeup: make(chan struct{}, 1), ended: make(chan struct{})}
	if !n.register(s) {
		conn.Close()
		return ErrClosed
	}
	go s.writeLoop(n.countOut)
	n.Handler.Opened(s)
	n.readLoop(s, reader)
	s.Close()
	n.unregister(s)
	n.Handler.Closed(s)
	close(s.ended)
	return nil
}

func (n *Node) handshake(conn net.Conn, r *bufio.Reader) (Hello, error) {
	conn.SetDeadline(time.Now().Add(n.handshakeLimit()))
	frame, err := AppendFrame(nil, TypeHello, n.Hello())
	if err != nil {
		return Hello{}, err
	}
	if _, err := conn.Write(frame); err != nil {
		return Hello{}, errors.Wrap(err, "send Hello")
	}
	f, err := ReadFrame(r)
	if err != nil {
		return Hello{}, errors.Wrap(err, "read Hello")
	}
	if f.Type != TypeHello {
		return Hello{}, errors.Errorf("first message is %s, expected Hello", f.Type)
	}
	hello, err := Decode[Hello](f)
	if err != nil {
		return Hello{}, err
	}
	if hello.Version != Version {
		return Hello{}, errors.Errorf("peer has protocol version %d, expected %d", hello.Version, Version)
	}
	conn.SetDeadline(time.Time{})
	return hello, nil
}

func (n *Node) readLoop(s *Session, r *bufio.Reader) {
	for {
		s.conn.SetReadDeadline(time.Now().Add(n.idleLimit()))
		f, err := ReadFrame(r)
		if err != nil {
			return
		}
		n.Handler.Received(s, f)
	}
}

func (n *Node) handshakeLimit() time.Duration { return cmp.Or(n.Handshake, handshakeTimeout) }

func (n *Node) idleLimit() time.Duration { return cmp.Or(n.Idle, idleTimeout) }

func (n *Node) register(s *Session) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.nextID++
	s.ID = n.nextID
	if n.open == nil {
		n.open = make(map[uint64]*Session)
	}
	n.open[s.ID] = s
	return true
}

func (n *Node) unregister(s *Session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, s.ID)
}

func (n *Node) countIn(b int) {
	if n.Traffic != nil {
		n.Traffic(b, 0)
	}
}

func (n *Node) countOut(b int) {
	if n.Traffic != nil {
		n.Traffic(0, b)
	}
}

type countingReader struct {
	conn  net.Conn
	count func(int)
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.conn.Read(p)
	c.count(n)
	return n, err
}
