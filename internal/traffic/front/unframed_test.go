package front_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
)

// unframed is the head of an answer with neither a length nor chunks.
const unframed = responseHead + "\r\n"

// respondUnframed returns a handler that sends a response and then closes the
// connection, or resets it.
func respondUnframed(t *testing.T, response string, reset bool) func(r *receivedRequest) bool {
	return func(r *receivedRequest) bool {
		r.readBody()
		_, err := io.WriteString(r.Conn, response)
		require.NoError(t, err)
		if reset {
			require.NoError(t, r.Conn.(*net.TCPConn).SetLinger(0))
		}
		return false
	}
}

// Guards against a whole stream that is cut off at the client, or sent to a second
// endpoint, because it has neither a length nor chunks.
func TestUnframedStreamIsCompleteBetweenEvents(t *testing.T) {
	for name, stream := range map[string]string{
		"HTTP/1.1":         unframed + sseEvents(3),
		"HTTP/1.0":         "HTTP/1.0 200 OK\r\nAttempt-Id: r1\r\nServer-Seal: s\r\n\r\n" + sseEvents(3),
		"Connection close": responseHead + "Connection: close\r\n\r\n" + sseEvents(3),
		"keep-alive":       responseHead + "Connection: keep-alive\r\nKeep-Alive: timeout=60\r\n\r\n" + sseEvents(3),
		"carriage returns": unframed + "id: 1\r\ndata: token 1\r\n\r\n",
		"field of its own": unframed + "weights-changed: 3\nid: 1\ndata: a\n\n",
		"all fields":       unframed + ": comment\n\nevent: token\nretry: 5\nid: 1\ndata: a\ndata\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			first := startEndpoint(t, respondUnframed(t, stream, false))
			second := startEndpoint(t, func(r *receivedRequest) bool { return writeStream(r, 4, 4, true, "") })
			control := startServer(t, true, first, second)
			resp, body, err := control.send(t, "r1", "prompt", nil)
			require.NoError(t, err)
			require.Equal(t, stream[len(stream)-len(body):], body)
			require.NotEmpty(t, body)
			require.Equal(t, []string{"chunked"}, resp.TransferEncoding)
			require.Equal(t, event.DirectAnswered, control.attemptEnd(0).Status)
			require.False(t, control.attemptEnd(0).ConnectionLost)
			require.Empty(t, second.receivedRequests())
		})
	}
}

// Guards against a truncated stream without framing that looks complete to the client,
// and against a crash that is not counted because the connection was closed in order.
func TestTruncatedUnframedStreamIsNotComplete(t *testing.T) {
	for name, c := range map[string]struct {
		stream string
		reset  bool
		events int
	}{
		"after the id":            {sseEvents(2) + "id: 3", false, 2},
		"after the id line":       {sseEvents(2) + "id: 3\n", false, 2},
		"after the data":          {sseEvents(2) + "id: 3\ndata: token 3", false, 2},
		"after the data line":     {sseEvents(2) + "id: 3\ndata: token 3\n", false, 2},
		"in the blank line":       {sseEvents(2) + "id: 3\r\ndata: token 3\r\n\r", false, 2},
		"reset between events":    {sseEvents(2), true, 2},
		"reset in an event":       {sseEvents(2) + "id: 3\nda", true, 2},
		"in the first event":      {"id: 1\nda", false, 0},
		"no events":               {"", false, 0},
		"reset without events":    {"", true, 0},
		"a comment and no events": {": waiting\n\n", false, 0},
		"a blank line":            {"\n", false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := startEndpoint(t, respondUnframed(t, unframed+c.stream, c.reset))
			control := startServer(t, true, endpoint)
			resp, body, err := control.send(t, "r1", "prompt", nil)
			end := control.attemptEnd(0)
			require.Equal(t, event.DirectOutcomeUnknown, end.Status)
			require.True(t, end.ConnectionLost)
			if !end.HeaderDelivered {
				require.NoError(t, err)
				require.Equal(t, http.StatusBadGateway, resp.StatusCode)
				require.Zero(t, c.events)
				return
			}
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			if c.events > 0 {
				require.Equal(t, sseEvents(c.events), body)
			}
		})
	}
}

// Guards against a truncated stream without framing that another endpoint does not
// continue after the last complete event.
func TestTruncatedUnframedStreamResumes(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			first := startEndpoint(t, respondUnframed(t, unframed+sseEvents(3)+"id: 4\ndata: hal", reset))
			second := startEndpoint(t, respondUnframed(t, unframed+sseEvent(4)+sseEvent(5), false))
			control := startServer(t, true, first, second)
			_, body, err := control.send(t, "r1", "prompt", nil)
			require.NoError(t, err)
			require.Equal(t, sseEvents(5), body)
			require.Equal(t, "3", second.receivedRequests()[0].Header.Get("Last-Event-Id"))
		})
	}
}

// Guards against bytes after a stream without framing that reach the client as a part
// of it: a second answer, or bytes of a faulty endpoint.
func TestUnframedStreamWithOtherBytesIsNotComplete(t *testing.T) {
	for name, extra := range map[string]string{
		"second answer": unframed + sseEvents(2),
		"other bytes":   "\x00\x01\x02\r\n\r\n",
		"repeated":      sseEvents(2),
		"skipped":       sseEvent(4),
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := startEndpoint(t, respondUnframed(t, unframed+sseEvents(2)+extra, false))
			control := startServer(t, true, endpoint)
			_, body, err := control.send(t, "r1", "prompt", nil)
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			require.Equal(t, sseEvents(2), body)
			require.Equal(t, event.DirectOutcomeUnknown, control.attemptEnd(0).Status)
		})
	}
}

// unreadBody is a request body that the socket buffers of a connection can't hold.
var unreadBody = strings.Repeat("x", 12<<20)

// Guards against an answer without framing that counts as complete although its
// connection was reset: the error of a reset is reported once, and a request that is
// still being written may be what receives it. The answer then ends like one that was
// closed in order.
func TestResetOfUnframedAnswerIsDetectedWhileRequestIsWritten(t *testing.T) {
	for name, stream := range map[string]bool{"plain": false, "stream": true} {
		t.Run(name, func(t *testing.T) {
			endpoint := startEndpoint(t, func(r *receivedRequest) bool {
				_, err := io.WriteString(r.Conn, unframed+sseEvents(2))
				require.NoError(t, err)
				require.NoError(t, r.Conn.(*net.TCPConn).SetLinger(0))
				return false
			})
			control := startServer(t, stream, endpoint)
			control.server.BodyLimit.Store(int64(len(unreadBody)))
			for i := range 5 {
				resp, _, err := control.send(t, "r1", unreadBody, nil)
				end := control.attemptEnd(i)
				require.Equal(t, event.DirectOutcomeUnknown, end.Status)
				require.True(t, end.ConnectionLost)
				if end.HeaderDelivered {
					require.ErrorIs(t, err, io.ErrUnexpectedEOF)
				} else {
					require.Equal(t, http.StatusBadGateway, resp.StatusCode)
				}
			}
		})
	}
}

// Guards against an answer without framing that is discarded, or held back, because the
// endpoint sent it before it has read the whole request.
func TestUnframedAnswerBeforeEndOfRequestIsComplete(t *testing.T) {
	answered := make(chan struct{})
	defer close(answered)
	endpoint := startEndpoint(t, func(r *receivedRequest) bool {
		_, err := io.WriteString(r.Conn, unframed+"early")
		require.NoError(t, err)
		require.NoError(t, r.Conn.(*net.TCPConn).CloseWrite())
		<-answered
		return false
	})
	control := startServer(t, false, endpoint)
	control.server.BodyLimit.Store(int64(len(unreadBody)))
	resp, body, err := control.send(t, "r1", unreadBody, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "early", body)
}

// sendMethod sends a request without a body.
func (c *fakeControl) sendMethod(t *testing.T, method string) (*http.Response, string) {
	req, err := http.NewRequest(method, c.url+"/shop/", nil)
	require.NoError(t, err)
	req.Header.Set("Attempt-Id", "r1")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(body)
}

// Guards against a plain answer without framing that is discarded, changed, or passed
// on without a length, and against the reuse of its connection.
func TestUnframedAnswerIsComplete(t *testing.T) {
	long := strings.Repeat("long ", 100<<10)
	for name, c := range map[string]struct {
		response, body string
		status         int
	}{
		"body":             {unframed + "body", "body", http.StatusOK},
		"long body":        {unframed + long, long, http.StatusOK},
		"no body":          {unframed, "", http.StatusOK},
		"HTTP/1.0":         {"HTTP/1.0 200 OK\r\nAttempt-Id: r1\r\nServer-Seal: s\r\n\r\nbody", "body", http.StatusOK},
		"Connection close": {responseHead + "Connection: close\r\n\r\nbody", "body", http.StatusOK},
		"keep-alive":       {responseHead + "Connection: keep-alive\r\nKeep-Alive: timeout=60\r\n\r\nbody", "body", http.StatusOK},
		"after interim":    {"HTTP/1.1 100 Continue\r\n\r\n" + unframed + "body", "body", http.StatusOK},
		"server error":     {"HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: r1\r\nServer-Seal: s\r\n\r\nfault", "fault", http.StatusInternalServerError},
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+" "+method, func(t *testing.T) {
				endpoint := startEndpoint(t, respondUnframed(t, c.response, false))
				control := startServer(t, false, endpoint)
				for range 2 {
					resp, body := control.sendMethod(t, method)
					require.Equal(t, c.status, resp.StatusCode)
					require.Equal(t, c.body, body)
					require.EqualValues(t, len(c.body), resp.ContentLength)
					require.Equal(t, "s", resp.Header.Get("Server-Seal"))
				}
				require.Equal(t, 2, endpoint.receivedRequests()[1].connNumber)
			})
		}
	}
}

// Guards against an answer without framing whose reset is taken for its end, also where
// it has no body yet.
func TestResetOfUnframedAnswerIsDetected(t *testing.T) {
	for name, response := range map[string]string{"half": unframed + "half", "no body": unframed} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+" "+method, func(t *testing.T) {
				endpoint := startEndpoint(t, respondUnframed(t, response, true))
				control := startServer(t, false, endpoint)
				resp, _ := control.sendMethod(t, method)
				require.Equal(t, http.StatusBadGateway, resp.StatusCode)
				require.True(t, control.attemptEnd(0).ConnectionLost)
			})
		}
	}
}

// Guards against an answer that has no body by its status or method but is read until
// its connection ends: the request would wait, and the connection could not be reused.
func TestAnswerWithoutBodyKeepsConnection(t *testing.T) {
	for name, c := range map[string]struct {
		method, status string
	}{
		"HEAD": {http.MethodHead, "200 OK"},
		"204":  {http.MethodGet, "204 No Content"},
		"304":  {http.MethodGet, "304 Not Modified"},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := startEndpoint(t, func(r *receivedRequest) bool {
				_, err := io.WriteString(r.Conn, "HTTP/1.1 "+c.status+"\r\nAttempt-Id: r1\r\nServer-Seal: s\r\n\r\n")
				return err == nil
			})
			control := startServer(t, false, endpoint)
			for range 2 {
				resp, body := control.sendMethod(t, c.method)
				require.Equal(t, c.status, resp.Status)
				require.Empty(t, body)
			}
			require.Equal(t, 1, endpoint.receivedRequests()[1].connNumber)
		})
	}
}

// Guards against the late answer to another request that has no end of its own: all
// that follows, the own answer too, belongs to it.
func TestUnframedAnswerToAnotherRequestEndsAttempt(t *testing.T) {
	endpoint := startEndpoint(t, func(r *receivedRequest) bool {
		_, err := io.WriteString(r.Conn, "HTTP/1.1 200 OK\r\nAttempt-Id: r0\r\nServer-Seal: s\r\n\r\nother")
		require.NoError(t, err)
		r.respond("r1", "own")
		return false
	})
	control := startServer(t, false, endpoint)
	resp, body := control.sendMethod(t, http.MethodGet)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.NotContains(t, body, "own")
}

// Guards against a truncated answer that looks complete to a client whose protocol
// has no chunks: to it, an orderly close is the end of the answer.
func TestTruncatedStreamIsResetWithoutChunks(t *testing.T) {
	for name, complete := range map[string]bool{"complete": true, "truncated": false} {
		t.Run(name, func(t *testing.T) {
			endpoint := startEndpoint(t, func(r *receivedRequest) bool { return writeStream(r, 1, 3, complete, "") })
			control := startServer(t, true, endpoint)
			conn, err := net.Dial("tcp", strings.TrimPrefix(control.url, "http://"))
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST / HTTP/1.0\r\nHost: x\r\nAttempt-Id: r1\r\nContent-Length: 0\r\n\r\n")
			require.NoError(t, err)
			data, err := io.ReadAll(conn)
			if !complete {
				require.ErrorIs(t, err, syscall.ECONNRESET)
				return
			}
			require.NoError(t, err)
			require.True(t, strings.HasSuffix(string(data), "\r\n\r\n"+sseEvents(3)))
		})
	}
}
