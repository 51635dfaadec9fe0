package front_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// Guards against a request that reaches an endpoint which left between the decision
// and the first byte, for example while the connection was opened.
func TestRequestIsNotSentToEndpointThatLeft(t *testing.T) {
	endpoint := startEndpoint(t, echo)
	control := startServer(t, false, endpoint)
	control.server.SetEndpointUse(command.SetEndpointUse{Endpoint: "i-1"})
	resp, _, err := control.send(t, "r1", "", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Equal(t, event.DirectNotSent, control.attemptEnd(0).Status)
	require.True(t, control.attemptEnd(0).Withheld)
	require.Empty(t, endpoint.receivedRequests())
	control.server.SetEndpointUse(command.SetEndpointUse{Endpoint: "i-1", Allowed: true})
	resp, _, err = control.send(t, "r2", "", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// Guards against the bytes of a request that was given up and that still wait for the
// link: a plain close sends them later.
func TestStoppedAttemptDropsUnsentBytes(t *testing.T) {
	received, stopped := make(chan struct{}), make(chan struct{})
	readError := make(chan error, 1)
	endpoint := startEndpoint(t, func(r *receivedRequest) bool {
		close(received)
		<-stopped
		_, err := io.Copy(io.Discard, r.Body)
		readError <- err
		return false
	})
	control := startServer(t, false, endpoint)
	go func() {
		req := newPost(control.url, "r1")
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 3<<20))), 3<<20
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
		}
	}()
	<-received
	control.server.StopAttempt(command.StopAttempt{Exchange: 1, Attempt: 1})
	require.Eventually(t, func() bool {
		control.mu.Lock()
		defer control.mu.Unlock()
		return len(control.attemptEnds) > 0
	}, time.Minute, time.Millisecond)
	close(stopped)
	require.ErrorIs(t, <-readError, syscall.ECONNRESET)
	require.Equal(t, table.ExchangeID(1), control.attemptEnd(0).Exchange)
}

// Guards against an endpoint that gets more time than the caller has left, because
// the opening of the connection is not counted.
func TestTimeBeforeFirstByteIsSubtracted(t *testing.T) {
	endpoint := startEndpoint(t, echo)
	control := startServer(t, false, endpoint)
	step, now := 300*time.Millisecond, time.Time{}
	control.server.Now = func() time.Time {
		now = now.Add(step)
		return now
	}
	_, _, err := control.send(t, "r1", "", nil)
	require.NoError(t, err)
	require.Equal(t, "59700", endpoint.receivedRequests()[0].Header.Get("Deadline-Ms"))
	step = 2 * time.Minute
	_, _, err = control.send(t, "r2", "", nil)
	require.NoError(t, err)
	require.Equal(t, event.DirectNotSent, control.attemptEnd(1).Status)
	require.True(t, control.attemptEnd(1).Withheld)
	require.Len(t, endpoint.receivedRequests(), 1)
}

// deadlineRecorder is a response writer that records the write deadline in force at
// each write and after the last one.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
	atWrite  []time.Time
}

func (d *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	d.deadline = t
	return nil
}

func (d *deadlineRecorder) Write(p []byte) (int, error) {
	d.atWrite = append(d.atWrite, d.deadline)
	return d.ResponseRecorder.Write(p)
}

// Guards against a client that reads a byte now and then and so keeps the memory of
// its answer for good, and against a deadline that cuts off a later answer.
func TestBufferedAnswerHasWriteDeadline(t *testing.T) {
	endpoint := startEndpoint(t, func(r *receivedRequest) bool {
		r.readBody()
		r.respond(r.requestID(), strings.Repeat("x", 1<<20))
		return true
	})
	control := startServer(t, false, endpoint)
	before := time.Now()
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	req := httptest.NewRequest(http.MethodPost, "/shop/", nil)
	req.Header.Set("Attempt-Id", "r1")
	control.server.ServeHTTP(w, req)
	require.Equal(t, http.StatusOK, w.Code)
	require.NotEmpty(t, w.atWrite)
	// One megabyte at 64 KB a second takes 16 seconds.
	require.True(t, w.atWrite[0].After(before.Add(20*time.Second)))
	require.True(t, w.deadline.IsZero())
}

// Guards against a deadline that outlives an answer without a body: it would cut off
// the next answer on the connection.
func TestDeadlineIsClearedAfterAnswerToHead(t *testing.T) {
	endpoint := startEndpoint(t, func(r *receivedRequest) bool {
		r.respond(r.requestID(), "")
		return true
	})
	control := startServer(t, false, endpoint)
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	req := httptest.NewRequest(http.MethodHead, "/shop/", nil)
	req.Header.Set("Attempt-Id", "r1")
	control.server.ServeHTTP(w, req)
	require.Equal(t, http.StatusOK, w.Code)
	require.Empty(t, w.atWrite)
	require.True(t, w.deadline.IsZero())
}
