package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// linkMode is what a link does to the bytes on it.
type linkMode int

const (
	linkPasses linkMode = iota
	// linkDelays adds linkDelay in each direction.
	linkDelays
	// linkCutThere and linkCutBack hold the bytes of one direction, linkCut of both:
	// connections stay open and fall silent.
	linkCutThere
	linkCutBack
	linkCut
	// linkResets resets open connections and refuses new ones.
	linkResets
	linkModes
)

// linkDelay is far above the round trip of a data center and below the objectives.
const linkDelay = 60 * time.Millisecond

// link is a loopback proxy in front of one address.
type link struct {
	address string
	target  string

	mu      sync.Mutex
	changed *sync.Cond
	mode    linkMode
	closed  bool
	open    map[*net.TCPConn]bool
}

func newLink(t *testing.T, target string) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	k := &link{address: l.Addr().String(), target: target, open: map[*net.TCPConn]bool{}}
	k.changed = sync.NewCond(&k.mu)
	var done sync.WaitGroup
	done.Add(1)
	go func() {
		defer done.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			done.Add(1)
			go func() {
				defer done.Done()
				k.serve(c.(*net.TCPConn))
			}()
		}
	}()
	t.Cleanup(func() {
		l.Close()
		k.mu.Lock()
		k.closed = true
		k.mu.Unlock()
		k.set(linkResets)
		done.Wait()
	})
	return k
}

// set changes the mode for all connections.
func (k *link) set(m linkMode) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mode = m
	if m == linkResets {
		for c := range k.open {
			// A reset instead of an orderly end.
			c.SetLinger(0)
			c.Close()
		}
		clear(k.open)
	}
	k.changed.Broadcast()
}

func (k *link) serve(c *net.TCPConn) {
	s, err := net.Dial("tcp", k.target)
	if err != nil || !k.add(c, s.(*net.TCPConn)) {
		c.SetLinger(0)
		c.Close()
		if s != nil {
			s.Close()
		}
		return
	}
	var done sync.WaitGroup
	done.Add(2)
	copyAll := func(to, from *net.TCPConn, cut linkMode) {
		defer done.Done()
		k.copy(to, from, cut)
		to.CloseWrite()
	}
	go copyAll(s.(*net.TCPConn), c, linkCutThere)
	go copyAll(c, s.(*net.TCPConn), linkCutBack)
	done.Wait()
	k.remove(c, s.(*net.TCPConn))
}

func (k *link) add(conns ...*net.TCPConn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.mode == linkResets || k.closed {
		return false
	}
	for _, c := range conns {
		k.open[c] = true
	}
	return true
}

func (k *link) remove(conns ...*net.TCPConn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(k.open, c)
	}
}

// copy moves bytes until either side ends; cut is the mode that holds them.
func (k *link) copy(to, from *net.TCPConn, cut linkMode) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			k.hold(cut)
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				k.hold(cut)
			}
			return
		}
	}
}

// hold waits while the link holds the direction of cut back.
func (k *link) hold(cut linkMode) {
	k.mu.Lock()
	for k.mode == cut || k.mode == linkCut {
		k.changed.Wait()
	}
	delay := k.mode == linkDelays
	k.mu.Unlock()
	if delay {
		time.Sleep(linkDelay)
	}
}
