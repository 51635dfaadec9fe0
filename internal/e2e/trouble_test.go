package e2e

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
)

// callTimeout bounds a call: an endpoint that fails often gets none for a while.
const callTimeout = 2 * time.Second

// newFleetWithRawService starts a fleet whose only service answers each connection with
// respond. It returns the number of calls that arrived there.
func newFleetWithRawService(t *testing.T, respond func(c *net.TCPConn, r *bufio.Reader)) (*fleet, *atomic.Int64) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	calls := &atomic.Int64{}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReaderSize(c, 16)
				if method, err := r.Peek(1); err != nil || method[0] != 'P' {
					// A request for the load.
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
					return
				}
				calls.Add(1)
				respond(c.(*net.TCPConn), r)
			}()
		}
	}()
	f := newFleet(t, 1, 0)
	f.agents[0].Kill()
	f.startAgent("agent-raw", "classroom-1", "classroom-app", "http://"+listener.Addr().String())
	return f, calls
}

// requireNoAnswer makes calls until some have arrived at the service, and requires that none
// has an answer. An endpoint that fails gets no calls for a while.
func (f *fleet) requireNoAnswer(arrived *atomic.Int64) {
	calls := 0
	waitFor(f.t, "a call to arrive", func() bool {
		calls++
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		resp, err := f.callerClient(0).Call(ctx, newRequest(callerKey, &pb.CallRequest{
			Service: "classroom-app", Operation: "bookings", Body: make([]byte, 200<<10), IdempotencyKey: fmt.Sprintf("trouble-%d", calls),
		}))
		if err == nil {
			require.Failf(f.t, "an answer", "%q was returned as the answer", resp.Msg.Body)
		}
		return arrived.Load() > 0
	})
}

// Guards against a part of an answer that a caller gets as the whole: the service answers
// without a length and resets the connection while the call is still being sent.
func TestResetAnswerOfServiceIsNoAnswer(t *testing.T) {
	f, arrived := newFleetWithRawService(t, func(c *net.TCPConn, _ *bufio.Reader) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart of the answer")
		_ = c.SetLinger(0)
	})
	f.requireNoAnswer(arrived)
}

// Guards against an answer whose status is none that a caller gets as the result of a call.
func TestAnswerOfServiceWithoutStatusIsNoAnswer(t *testing.T) {
	f, arrived := newFleetWithRawService(t, func(c *net.TCPConn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		_, _ = io.WriteString(c, "HTTP/1.1 000 Trouble\r\nContent-Length: 7\r\n\r\ntrouble")
	})
	f.requireNoAnswer(arrived)
}
