package front

import (
	"net"
	"net/http"
	"sync"
)

// UnusedConns are the connections on which no request has been read. A server that shuts
// down waits for them, although their clients may never send one. The zero value is
// empty and ready to use.
type UnusedConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Track records a change of a connection's state. It is the ConnState callback of a
// server.
func (u *UnusedConns) Track(c net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state != http.StateNew {
		delete(u.conns, c)
		return
	}
	if u.conns == nil {
		u.conns = make(map[net.Conn]struct{})
	}
	u.conns[c] = struct{}{}
}

// Close closes the connections.
func (u *UnusedConns) Close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		// The server removes a connection when it fails to read from it.
		_ = c.Close()
	}
}
