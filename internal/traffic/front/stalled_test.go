package front_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
)

// clientWriteTime is how long a client may take to read an event of a stream.
const clientWriteTime = 5 * time.Second

// stalledClient reads some events of a stream and then none. A write to it fails when the
// test lets the write deadline pass.
type stalledClient struct {
	deadlineRecorder
	reads            int
	stalled, expired chan struct{}
	// latest is the latest deadline that the write which stalls may have.
	latest time.Time
}

func (c *stalledClient) Write(p []byte) (int, error) {
	if c.reads > 0 {
		c.reads--
		return c.deadlineRecorder.Write(p)
	}
	c.latest = time.Now().Add(clientWriteTime)
	close(c.stalled)
	<-c.expired
	return 0, os.ErrDeadlineExceeded
}

// Guards against a stream whose client does not read: it would occupy its endpoint for
// good, take memory for what the endpoint sends on, hold up other requests, or count as a
// failure of the endpoint.
func TestStreamEndsWhenClientDoesNotRead(t *testing.T) {
	const eventsRead = 3
	closed := make(chan struct{})
	endpoint := startEndpoint(t, func(r *receivedRequest) bool {
		r.readBody()
		if r.requestID() != "stalled" {
			_, err := fmt.Fprintf(r.Conn, responseHead+"Content-Length: 13\r\n\r\nid: 1\ndata\n\n\n")
			return err == nil
		}
		defer close(closed)
		_, err := io.WriteString(r.Conn, "HTTP/1.1 200 OK\r\nAttempt-Id: stalled\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n")
		filler := strings.Repeat("x", 1<<10)
		for i := 1; err == nil; i++ {
			text := fmt.Sprintf("id: %d\ndata: %s\n\n", i, filler)
			_, err = fmt.Fprintf(r.Conn, "%x\r\n%s\r\n", len(text), text)
		}
		return false
	})
	control := startServer(t, true, endpoint)
	client := &stalledClient{
		deadlineRecorder: deadlineRecorder{ResponseRecorder: httptest.NewRecorder()},
		reads:            eventsRead, stalled: make(chan struct{}), expired: make(chan struct{}),
	}
	earliest := time.Now().Add(clientWriteTime)
	ended := make(chan any)
	go func() {
		defer func() { ended <- recover() }()
		req := httptest.NewRequest(http.MethodPost, "/shop/", nil)
		req.Header.Set("Attempt-Id", "stalled")
		control.server.ServeHTTP(client, req)
	}()
	<-client.stalled
	require.False(t, client.deadline.Before(earliest))
	require.False(t, client.deadline.After(client.latest))
	require.Zero(t, control.server.Guard.Used())
	resp, _, err := control.send(t, "r1", "", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, event.DirectAnswered, control.attemptEnd(0).Status)
	close(client.expired)
	// The client must not take what it has for a complete answer.
	require.Equal(t, http.ErrAbortHandler, <-ended)
	<-closed
	end := control.attemptEnd(1)
	require.Equal(t, event.DirectOutcomeUnknown, end.Status)
	require.True(t, end.ClientLost)
	require.False(t, end.ConnectionLost)
	require.EqualValues(t, eventsRead, end.DeliveredEvents)
}
