package tcp

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// closeTimeout bounds how long a closed connection is kept for data that its peer has
	// not acknowledged.
	closeTimeout = 5 * time.Second
	// closeCheckInterval is the interval at which such connections are checked.
	closeCheckInterval = 10 * time.Millisecond
)

// Listener accepts connections whose Close discards no sent data. The kernel resets a
// connection that is closed while input is unread, or whose peer sends more after it is
// closed, and drops what the peer has not acknowledged by then.
type Listener struct {
	*net.TCPListener
	closing sync.WaitGroup
}

// Listen listens on a TCP address.
func Listen(address string) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: l.(*net.TCPListener)}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &acceptedConn{TCPConn: c, listener: l}, nil
}

// Wait waits until the sent data of all closed connections has arrived, or until ctx ends.
// The listener must not accept connections any more.
func (l *Listener) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		l.closing.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

type acceptedConn struct {
	*net.TCPConn
	listener *Listener
	once     sync.Once
	// reset is true if Close resets the connection.
	reset atomic.Bool
}

// SetLinger sets what happens to unsent data on Close; 0 resets the connection.
func (c *acceptedConn) SetLinger(seconds int) error {
	c.reset.Store(seconds == 0)
	return c.TCPConn.SetLinger(seconds)
}

// Close implements net.Conn. It does not block.
func (c *acceptedConn) Close() error {
	err := net.ErrClosed
	c.once.Do(func() {
		if c.reset.Load() || c.unacknowledged() == 0 {
			err = c.TCPConn.Close()
			return
		}
		// Ends reads and writes in progress.
		err = c.SetDeadline(time.Now())
		_ = c.CloseWrite()
		c.listener.closing.Go(c.closeWhenAcknowledged)
	})
	return err
}

func (c *acceptedConn) closeWhenAcknowledged() {
	for end := time.Now().Add(closeTimeout); c.unacknowledged() > 0 && time.Now().Before(end); {
		time.Sleep(closeCheckInterval)
	}
	_ = c.TCPConn.Close()
}

// unacknowledged returns the number of sent bytes that the peer has not acknowledged.
func (c *acceptedConn) unacknowledged() (n int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	// On an error n is 0: the connection is closed at once.
	_ = raw.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			n = queued
		}
	})
	return n
}
