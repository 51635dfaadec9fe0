// Package tcp opens TCP connections that detect dead peers, accepts connections that lose
// no sent data when they are closed, and resets connections.
package tcp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout (TCP_USER_TIMEOUT) ends a connection whose peer does not acknowledge
	// sent data, for example because the host lost power or is behind a network
	// partition.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect such peers while the
	// connection waits for a response and sends no data.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
)

// NewDialer returns a dialer whose connections fail within two seconds after their peer
// stops acknowledging. The timeout limits the time to open a connection.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUserTimeout,
	}
}

// setUserTimeout is a net.Dialer Control function that sets TCP_USER_TIMEOUT.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// Reset closes a connection with a reset, which drops what it has not sent yet. The
// peer does not take it for the end of what was sent.
func Reset(c net.Conn) {
	if accepted, ok := c.(interface{ Abort() }); ok {
		accepted.Abort()
		return
	}
	if l, ok := c.(interface{ SetLinger(sec int) error }); ok {
		// Without the option, the bytes are sent after the close, and an orderly end.
		_ = l.SetLinger(0)
	}
	c.Close()
}
