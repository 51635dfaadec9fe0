// Package tcp opens connections that notice peers which are gone.
package tcp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout ends a connection whose peer does not acknowledge bytes: a
	// host without power, or behind a partition, answers nothing.
	unackedTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount find such peers while an answer is
	// awaited and nothing is sent.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
)

// Dialer returns a dialer whose connections end within two seconds after their
// peer has fallen silent. The timeout bounds the opening of a connection.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         limitUnacked,
	}
}

func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
