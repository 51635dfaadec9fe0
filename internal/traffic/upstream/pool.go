// Package upstream is an HTTP/1.1 client for endpoints.
//
// It manages its connections itself, because whether a request may have run depends
// on what was sent on which connection. Unlike net/http it never retries a request.
package upstream

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"laburnumroad.dev/laburnumroad/internal/traffic/tcp"
)

const (
	// dialTimeout limits the time to open a connection. The round trip to an endpoint
	// takes a few milliseconds and a lost SYN is only resent after a second, so
	// waiting longer rarely helps.
	dialTimeout = 500 * time.Millisecond
	// goneTimeout limits the check whether an endpoint still accepts connections. The
	// attempt before it is reported only afterwards, so it must be short.
	goneTimeout = 100 * time.Millisecond
	// maxIdlePerAddress is the maximum number of idle connections to an address.
	maxIdlePerAddress = 32
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint
	// specifies no keep-alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the endpoint's keep-alive timeout, so that no
	// request is sent while the endpoint closes the connection.
	idleMargin = 700 * time.Millisecond
)

// conn is a connection to an endpoint, used by one request at a time.
type conn struct {
	net.Conn
	// limit bounds the bytes of a head; reader reads through it.
	limit     headLimit
	reader    *bufio.Reader
	abortOnce sync.Once
	// expiresAt is the time from which the idle connection must not be reused. expiry
	// closes it then.
	expiresAt time.Time
	expiry    *time.Timer
}

func newConn(c net.Conn) *conn {
	limited := &conn{Conn: c, limit: headLimit{source: c}}
	limited.reader = bufio.NewReader(&limited.limit)
	return limited
}

// abort closes the connection and drops what it has not sent yet: a request that waits
// for a full link must not reach the endpoint after it was given up.
// It returns when the connection is closed, also in calls that overlap: until the
// goroutine that writes the request has left its call, the system goes on sending.
func (c *conn) abort() { c.abortOnce.Do(func() { tcp.Reset(c.Conn) }) }

// Pool holds the idle connections by address.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: make(map[string][]*conn)} }

// get returns an idle connection that can be reused, or nil if there is none.
func (p *Pool) get(address string) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if time.Now().Before(c.expiresAt) && isIdle(c) {
			return c
		}
		c.Close()
	}
}

// pop removes and returns the connection that was used last, or returns nil.
func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.removeAt(address, len(conns)-1)
	return c
}

// removeAt removes an idle connection, and the address with its last one. The caller
// holds p.mu.
func (p *Pool) removeAt(address string, i int) {
	conns := p.idle[address]
	conns[i].expiry.Stop()
	if len(conns) == 1 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = slices.Delete(conns, i, i+1)
}

// expire closes a connection that is still idle. Without that, the connections to an
// endpoint that is gone would stay open, because no request asks for them again.
func (p *Pool) expire(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.idle[address], c); i >= 0 {
		p.removeAt(address, i)
		c.Close()
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle[address]) > 0 {
		p.idle[address][0].Close()
		p.removeAt(address, 0)
	}
}

// put adds a connection without an outstanding request or response to the pool.
func (p *Pool) put(address string, c *conn, idleTimeout time.Duration) {
	c.expiresAt = time.Now().Add(idleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerAddress {
		c.Close()
		return
	}
	c.expiry = time.AfterFunc(idleTimeout, func() { p.expire(address, c) })
	p.idle[address] = append(p.idle[address], c)
}

// isIdle reports whether the peer has neither closed the connection nor sent any
// unsolicited bytes.
func isIdle(c *conn) bool {
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
	idle := false
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && idle
}

// IsGone reports whether nothing accepts connections at an address. A connection that
// opens is kept for the next request. Without an answer within goneTimeout the result is
// false, because packets may be lost on the way.
func (p *Pool) IsGone(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, goneTimeout)
	defer cancel()
	c, err := p.dial(ctx, address)
	if err == nil {
		p.put(address, c, defaultIdleTimeout)
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	c, err := tcp.NewDialer(dialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}
