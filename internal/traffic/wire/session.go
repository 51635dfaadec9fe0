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
	// defaultHandshakeTimeout limits the TLS handshake and the exchange of Hello messages.
	defaultHandshakeTimeout = 5 * time.Second
	// writeTimeout closes a session whose peer stops reading.
	writeTimeout = 10 * time.Second
	// defaultIdleTimeout closes a session on which nothing arrives. It is several heartbeat
	// intervals long.
	defaultIdleTimeout = 15 * time.Second
	// maxQueuedBytes limits the send queue. A session that exceeds it is closed.
	maxQueuedBytes = 16 << 20
)

// ErrClosed is returned by Send on a closed session.
var ErrClosed = errors.New("session is closed")

// Session is an open connection to another process of the fleet.
type Session struct {
	// ID is unique in this process.
	ID uint64
	// Peer is the Hello received from the other side.
	Peer Hello
	conn net.Conn

	mu              sync.Mutex
	queue           []byte
	closeAfterFlush bool
	closed          bool
	queueReady      chan struct{}
	// done is closed after Handler.Closed returned.
	done chan struct{}
}

// Holder returns the process id and incarnation of the peer.
func (s *Session) Holder() table.Holder { return s.Peer.Process.Holder }

// Send queues a message without blocking. If the queue exceeds maxQueuedBytes, the session is
// closed.
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
	return s.setQueueLocked(queue)
}

// SendFrame queues an encoded frame like Send, so that a message to several sessions is encoded
// only once.
func (s *Session) SendFrame(frame []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return ErrClosed
	}
	return s.setQueueLocked(append(s.queue, frame...))
}

// setQueueLocked replaces the send queue by one with a new message and wakes the writer.
// The caller holds mu.
func (s *Session) setQueueLocked(queue []byte) error {
	s.queue = queue
	if len(s.queue) > maxQueuedBytes {
		s.closeLocked()
		return ErrClosed
	}
	select {
	case s.queueReady <- struct{}{}:
	default:
	}
	return nil
}

// CloseAfterFlush closes the session once all queued messages are written. It doesn't wait.
func (s *Session) CloseAfterFlush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeAfterFlush = true
	if s.closed {
		return
	}
	select {
	case s.queueReady <- struct{}{}:
	default:
	}
}

// Close closes the session and discards queued messages.
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
	close(s.queueReady)
	s.conn.Close()
}

// takeQueue returns the queued bytes and whether the session is still open. The next messages
// are queued in the memory of spare.
func (s *Session) takeQueue(spare []byte) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := s.queue
	s.queue = spare[:0]
	return queue, !s.closed
}

// writeLoop writes queued messages until the session is closed.
func (s *Session) writeLoop(countWritten func(n int)) {
	var spare []byte
	for range s.queueReady {
		queue, open := s.takeQueue(spare)
		if !open {
			return
		}
		s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := s.conn.Write(queue)
		countWritten(n)
		if err != nil || s.readyToClose() {
			s.Close()
			return
		}
		spare = queue
	}
}

// readyToClose reports whether CloseAfterFlush was called and the queue is empty.
func (s *Session) readyToClose() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closeAfterFlush && len(s.queue) == 0
}

// Handler is notified of session events. Its methods run on the session's reading goroutine,
// so a method that blocks delays the following messages.
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
	// CountBytes, if set, is called with the numbers of bytes read and written.
	CountBytes func(in, out int)
	// HandshakeTimeout overrides the default if not zero.
	HandshakeTimeout time.Duration
	// IdleTimeout, if set, returns how long a session is kept on which nothing arrives, instead
	// of the default. A shorter time detects a lost peer sooner.
	IdleTimeout func() time.Duration

	mu            sync.Mutex
	lastSessionID uint64
	sessions      map[uint64]*Session
	closed        bool
}

// Serve accepts sessions until the listener is closed.
func (n *Node) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			admission, _ := conn.(Admission)
			if n.ServerTLS != nil {
				conn = tls.Server(conn, n.ServerTLS())
			}
			// The dialing side reports a failed handshake, so the error is ignored here.
			_ = n.runSession(conn, admission)
		}()
	}
}

// Dial opens a session and blocks until it is closed. An error means that no session was
// opened.
func (n *Node) Dial(ctx context.Context, address string) error {
	d := net.Dialer{Timeout: n.handshakeTimeout()}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	if n.ClientTLS != nil {
		conn = tls.Client(conn, n.ClientTLS())
	}
	return n.runSession(conn, nil)
}

// Close rejects new sessions and shuts down the open ones: each is closed after its queued
// messages were written, or without them when ctx is done.
func (n *Node) Close(ctx context.Context) {
	n.mu.Lock()
	sessions := make([]*Session, 0, len(n.sessions))
	for _, s := range n.sessions {
		sessions = append(sessions, s)
	}
	n.closed = true
	n.mu.Unlock()
	for _, s := range sessions {
		s.CloseAfterFlush()
	}
	for _, s := range sessions {
		select {
		case <-s.done:
		case <-ctx.Done():
			s.Close()
		}
	}
}

// Admission bounds what unknown peers make the process hold. Accepted connections may implement
// it.
type Admission interface {
	// Receive admits n bytes of a message. The returned function gives them back.
	Receive(n int64) (release func(), err error)
	// Trust ends the admission, because the peer is known.
	Trust()
}

// noAdmission admits everything: this process has dialed the peer.
type noAdmission struct{}

func (noAdmission) Receive(int64) (func(), error) { return func() {}, nil }
func (noAdmission) Trust()                        {}

// runSession performs the handshake and reads messages until the session is closed.
func (n *Node) runSession(conn net.Conn, admission Admission) error {
	if admission == nil {
		admission = noAdmission{}
	}
	reader := bufio.NewReader(&countingReader{conn: conn, countRead: n.countRead})
	peer, err := n.handshake(conn, reader, admission)
	if err != nil {
		conn.Close()
		return err
	}
	admission.Trust()
	s := &Session{Peer: peer, conn: conn, queueReady: make(chan struct{}, 1), done: make(chan struct{})}
	if !n.register(s) {
		conn.Close()
		return ErrClosed
	}
	go s.writeLoop(n.countWritten)
	n.Handler.Opened(s)
	n.readLoop(s, reader)
	s.Close()
	n.unregister(s)
	n.Handler.Closed(s)
	close(s.done)
	return nil
}

// handshake sends this process's Hello and returns the peer's.
func (n *Node) handshake(conn net.Conn, r *bufio.Reader, admission Admission) (Hello, error) {
	conn.SetDeadline(time.Now().Add(n.handshakeTimeout()))
	frame, err := AppendFrame(nil, TypeHello, n.Hello())
	if err != nil {
		return Hello{}, err
	}
	if _, err := conn.Write(frame); err != nil {
		return Hello{}, errors.Wrap(err, "send Hello")
	}
	release := func() {}
	defer func() { release() }()
	f, err := readFrame(r, maxHelloFrame, func(size int64) (err error) {
		release, err = admission.Receive(size)
		return err
	})
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
		s.conn.SetReadDeadline(time.Now().Add(n.idleTimeout()))
		f, err := ReadFrame(r)
		if err != nil {
			return
		}
		n.Handler.Received(s, f)
	}
}

func (n *Node) handshakeTimeout() time.Duration {
	return cmp.Or(n.HandshakeTimeout, defaultHandshakeTimeout)
}

func (n *Node) idleTimeout() time.Duration {
	if n.IdleTimeout == nil {
		return defaultIdleTimeout
	}
	return n.IdleTimeout()
}

// register assigns an id to a session. It returns false if the node is closed.
func (n *Node) register(s *Session) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.lastSessionID++
	s.ID = n.lastSessionID
	if n.sessions == nil {
		n.sessions = make(map[uint64]*Session)
	}
	n.sessions[s.ID] = s
	return true
}

func (n *Node) unregister(s *Session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.sessions, s.ID)
}

func (n *Node) countRead(bytes int) {
	if n.CountBytes != nil {
		n.CountBytes(bytes, 0)
	}
}

func (n *Node) countWritten(bytes int) {
	if n.CountBytes != nil {
		n.CountBytes(0, bytes)
	}
}

// countingReader reads from conn and reports the number of bytes read.
type countingReader struct {
	conn      net.Conn
	countRead func(int)
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.conn.Read(p)
	c.countRead(n)
	return n, err
}
