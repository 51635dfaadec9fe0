package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startIdleEndpoint returns the address of an endpoint that answers one request on each
// connection, and a channel that receives a value when the router has closed one.
func startIdleEndpoint(t *testing.T, keepAlive string) (address string, closed chan struct{}) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	closed = make(chan struct{}, 64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				head := make([]byte, 512)
				if _, err := conn.Read(head); err != nil {
					return
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=%s\r\nContent-Length: 0\r\n\r\n", keepAlive)
				_, _ = io.Copy(io.Discard, conn)
				closed <- struct{}{}
			}()
		}
	}()
	return listener.Addr().String(), closed
}

func get(t *testing.T, p *Pool, address string) *Response {
	resp, err := p.Do(context.Background(), &Request{
		Address: address, Method: http.MethodGet, Target: "/", Host: "x",
		Prepare: func() (http.Header, error) { return http.Header{}, nil }, Matches: func(http.Header) bool { return true },
	})
	require.NoError(t, err)
	resp.Discard()
	return resp
}

// Guards against idle connections that stay open for good, because no request asks for
// their address again: after some releases no descriptor is left for clients.
func TestIdleConnectionsEndWithoutNextRequest(t *testing.T) {
	const connections = 5
	for name, c := range map[string]struct {
		keepAlive string
		end       func(p *Pool, address string)
	}{
		"expired":  {"1", func(*Pool, string) {}},
		"released": {"600", func(p *Pool, address string) { p.CloseIdle(address) }},
	} {
		t.Run(name, func(t *testing.T) {
			address, closed := startIdleEndpoint(t, c.keepAlive)
			p := NewPool()
			var responses []*Response
			for range connections {
				responses = append(responses, get(t, p, address))
			}
			for _, resp := range responses {
				resp.Close()
			}
			c.end(p, address)
			for range connections {
				<-closed
			}
			require.Eventually(t, func() bool {
				p.mu.Lock()
				defer p.mu.Unlock()
				return len(p.idle) == 0
			}, time.Minute, time.Millisecond)
		})
	}
}
