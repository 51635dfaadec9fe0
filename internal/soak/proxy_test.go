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

// proxyMode is what a proxy does with connections and the bytes on them.
type proxyMode int

const (
	proxyForward proxyMode = iota
	// proxyDelay adds addedLatency in each direction.
	proxyDelay
	// proxyStallUpstream and proxyStallDownstream hold back the bytes of one
	// direction, proxyStall those of both. Connections stay open.
	proxyStallUpstream
	proxyStallDownstream
	proxyStall
	// proxyReset resets open connections and refuses new ones.
	proxyReset
	proxyModeCount
)

// addedLatency is far above the round-trip time in a data center and below the
// latency objectives.
const addedLatency = 60 * time.Millisecond

// faultProxy is a TCP proxy on loopback that injects network faults in front of one
// address.
type faultProxy struct {
	address string
	target  string

	mu          sync.Mutex
	modeChanged *sync.Cond
	mode        proxyMode
	closed      bool
	connections map[*net.TCPConn]bool
}

func newFaultProxy(t *testing.T, target string) *faultProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &faultProxy{address: listener.Addr().String(), target: target, connections: map[*net.TCPConn]bool{}}
	p.modeChanged = sync.NewCond(&p.mu)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				p.forward(c.(*net.TCPConn))
			}()
		}
	}()
	t.Cleanup(func() {
		listener.Close()
		p.mu.Lock()
		p.closed = true
		p.mu.Unlock()
		p.setMode(proxyReset)
		wg.Wait()
	})
	return p
}

// setMode changes the mode of all connections.
func (p *faultProxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == proxyReset {
		for c := range p.connections {
			// Makes Close reset the connection instead of shutting it down gracefully.
			c.SetLinger(0)
			c.Close()
		}
		clear(p.connections)
	}
	p.modeChanged.Broadcast()
}

func (p *faultProxy) forward(client *net.TCPConn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil || !p.addConnections(client, server.(*net.TCPConn)) {
		client.SetLinger(0)
		client.Close()
		if server != nil {
			server.Close()
		}
		return
	}
	var wg sync.WaitGroup
	wg.Add(2)
	copyDirection := func(dst, src *net.TCPConn, stallMode proxyMode) {
		defer wg.Done()
		if err := p.copyBytes(dst, src, stallMode); err != nil {
			// A reset must not become a graceful shutdown, which ends a response
			// without a length.
			dst.SetLinger(0)
			dst.Close()
			return
		}
		dst.CloseWrite()
	}
	go copyDirection(server.(*net.TCPConn), client, proxyStallUpstream)
	go copyDirection(client, server.(*net.TCPConn), proxyStallDownstream)
	wg.Wait()
	p.closeConnections(client, server.(*net.TCPConn))
}

func (p *faultProxy) addConnections(conns ...*net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == proxyReset || p.closed {
		return false
	}
	for _, c := range conns {
		p.connections[c] = true
	}
	return true
}

func (p *faultProxy) closeConnections(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(p.connections, c)
	}
}

// copyBytes copies from src to dst until either is closed, and returns an error unless
// src was shut down gracefully. stallMode is the mode that holds back this direction.
func (p *faultProxy) copyBytes(dst, src *net.TCPConn, stallMode proxyMode) error {
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			p.applyMode(stallMode)
			if _, err := dst.Write(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			p.applyMode(stallMode)
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// applyMode blocks while the direction with the given stallMode is held back, and adds
// the latency if the proxy delays.
func (p *faultProxy) applyMode(stallMode proxyMode) {
	p.mu.Lock()
	for p.mode == stallMode || p.mode == proxyStall {
		p.modeChanged.Wait()
	}
	delay := p.mode == proxyDelay
	p.mu.Unlock()
	if delay {
		time.Sleep(addedLatency)
	}
}
