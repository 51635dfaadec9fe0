// Package upstream calls endpoints over HTTP/1.1.
//
// It keeps its own connections, because what was sent on which connection
// decides whether a request may have run: nothing is ever repeated here.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"laburnumroad.dev/laburnumroad/internal/traffic/tcp"
)

const (
	// dialTimeout bounds the opening of a connection. The way to an endpoint and
	// back takes some milliseconds, and a lost first packet is sent again after a
	// second, so that a later answer is not worth waiting for.
	dialTimeout = 500 * time.Millisecond
	// idleLimit bounds the kept connections of an address.
	idleLimit = 32
	// defaultIdle is how long a connection is kept whose endpoint states no time,
	// and idleMargin is kept off the stated time: a request must not cross the
	// endpoint's closing of the connection.
	defaultIdle = 4 * time.Second
	idleMargin  = 700 * time.Millisecond
)

// conn is a connection to an endpoint, used by one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// until is when the connection must not be used any more.
	until time.Time
}

// Pool keeps idle connections by address.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: make(map[string][]*conn)} }

// take returns a kept connection, or nil.
func (p *Pool) take(address string) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if time.Now().Before(c.until) && silent(c) {
			return c
		}
		c.Close()
	}
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection on which nothing is outstanding.
func (p *Pool) put(address string, c *conn, keep time.Duration) {
	c.until = time.Now().Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= idleLimit {
		c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// silent reports whether the peer has neither closed the connection nor sent
// anything that no request asked for.
func silent(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && quiet
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	c, err := tcp.Dialer(dialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, reader: bufio.NewReader(c)}, nil
}
