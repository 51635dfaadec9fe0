package tcp

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// closeTimeout bounds how long a closed connection is kept for data that its peer has
	// not acknowledged.
	closeTimeout = 5 * time.Second
	// closeCheckInterval is the interval at which such connections are checked.
	closeCheckInterval = 10 * time.Millisecond
	// stateClosed is the state TCP_CLOSE of the kernel.
	stateClosed = 7
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
	return &Conn{TCPConn: c, listener: l}, nil
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

// Conn is a connection that a Listener has accepted.
type Conn struct {
	*net.TCPConn
	listener *Listener
	// closeOnce guards the decision how to close, closeNowOnce the close itself.
	closeOnce, closeNowOnce sync.Once
	// onClose is called once the system has closed the connection.
	onClose func()
}

// OnClose sets a function that is called once the system has closed the connection, which
// may be later than Close returns. It must be called before the connection is used.
func (c *Conn) OnClose(f func()) { c.onClose = f }

// Abort resets the connection at once, also one that Close keeps open for data that its peer
// has not acknowledged.
func (c *Conn) Abort() {
	c.closeOnce.Do(func() {})
	_ = c.SetLinger(0)
	_ = c.closeNow()
}

// Close implements net.Conn. It does not block.
func (c *Conn) Close() error {
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		if c.unacknowledged() == 0 {
			err = c.closeNow()
			return
		}
		// Ends reads and writes in progress.
		err = c.SetDeadline(time.Now())
		_ = c.CloseWrite()
		c.listener.closing.Go(c.closeWhenAcknowledged)
	})
	return err
}

func (c *Conn) closeWhenAcknowledged() {
	for end := time.Now().Add(closeTimeout); c.unacknowledged() > 0 && time.Now().Before(end); {
		time.Sleep(closeCheckInterval)
	}
	_ = c.closeNow()
}

func (c *Conn) closeNow() error {
	err := net.ErrClosed
	c.closeNowOnce.Do(func() {
		err = c.TCPConn.Close()
		if c.onClose != nil {
			c.onClose()
		}
	})
	return err
}

// unacknowledged returns the number of sent bytes that the peer has not acknowledged. A peer
// that has reset the connection will not.
func (c *Conn) unacknowledged() (n int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	// On an error n is 0: the connection is closed at once.
	_ = raw.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			n = queued
		}
		if n == 0 {
			return
		}
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && info.State == stateClosed {
			n = 0
		}
	})
	return n
}
