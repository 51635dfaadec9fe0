package guard

import (
	"context"
	"net"
	"net/http"
)

// Attach makes a server charge the connections that it accepts from a Listener of the guard.
// It must be called before the server is used. A ConnState function of the server is kept.
func (g *Guard) Attach(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if conn, ok := c.(*Conn); ok {
			return context.WithValue(ctx, connKey{}, conn)
		}
		return ctx
	}
	next := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if conn, ok := c.(*Conn); ok && state == http.StateIdle {
			conn.idle()
		}
		if next != nil {
			next(c, state)
		}
	}
}
