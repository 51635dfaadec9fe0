package front_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/traffic/guard"
)

const responseHead = "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nServer-Seal: s\r\n"

// Guards against an endpoint that sends bytes without end: the router would read them
// until its host has no memory left. The router has to close the connection itself.
func TestEndlessResponseIsCutOff(t *testing.T) {
	for name, c := range map[string]struct {
		start, repeated string
		stream          bool
		reason          string
	}{
		"status line":       {"HTTP/1.1 200 ", "OK", false, "head"},
		"header value":      {responseHead + "X-Long: ", "abcd", false, "head"},
		"header name":       {responseHead, "abcd", false, "head"},
		"headers":           {responseHead, "X-More: 1\r\n", false, "head"},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n", false, "answers belong to other requests"},
		"other answers":     {"", "HTTP/1.1 200 OK\r\nAttempt-Id: r0\r\nContent-Length: 0\r\n\r\n", false, "answers belong to other requests"},
		"chunk size":        {responseHead + "Transfer-Encoding: chunked\r\n\r\n", "0", false, "answer cut off"},
		"chunk extension":   {responseHead + "Transfer-Encoding: chunked\r\n\r\n1;", "abcd", false, "answer cut off"},
		"trailer":           {responseHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: 1\r\n", false, "answer cut off"},
		"chunks":            {responseHead + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", false, "too large"},
		"body":              {responseHead + "\r\n", "abcd", false, "too large"},
		"event":             {responseHead + "\r\ndata: ", "abcd", true, "an event is too long"},
		"stream head":       {responseHead, "X-More: 1\r\n", true, "head"},
		"events":            {responseHead + "\r\n", "data: x\n\n", true, "more events than the request may have tokens"},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			endpoint := startEndpoint(t, func(r *receivedRequest) bool {
				defer close(closed)
				r.readBody()
				if _, err := io.WriteString(r.Conn, c.start); err != nil {
					return false
				}
				block := []byte(strings.Repeat(c.repeated, 4<<10))
				for {
					if _, err := r.Conn.Write(block); err != nil {
						return false
					}
				}
			})
			control := startServer(t, c.stream, endpoint)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			sendUntilCut(t, control)
			<-closed
			runtime.ReadMemStats(&after)
			end := control.attemptEnd(0)
			require.Equal(t, event.DirectOutcomeUnknown, end.Status)
			require.Contains(t, end.Reason, c.reason)
			// The largest response has 8 MB, and a buffer that doubles takes four times that.
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(32<<20))
		})
	}
}

// sendUntilCut sends a request that may be answered with 20 tokens and reads the
// response, which may be cut off.
func sendUntilCut(t *testing.T, control *fakeControl) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(control.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /shop/ HTTP/1.1\r\nHost: x\r\nAttempt-Id: r1\r\nToken-Count: 3,20\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	require.NoError(t, err)
	n, err := io.Copy(io.Discard, conn)
	if err == nil {
		require.Less(t, n, int64(1<<20))
	}
}

// Guards against a few large responses at the same time that take more memory than the
// host has, and against memory that is not given back.
func TestBufferedResponsesShareMemory(t *testing.T) {
	const size = 1 << 20
	body := bytes.Repeat([]byte("x"), size)
	release := make(chan struct{})
	finish := sync.OnceFunc(func() { close(release) })
	defer finish()
	endpoint := startEndpoint(t, func(r *receivedRequest) bool {
		r.readBody()
		if r.requestID() == "waiting" {
			fmt.Fprintf(r.Conn, "HTTP/1.1 200 OK\r\nAttempt-Id: waiting\r\nServer-Seal: s\r\nContent-Length: %d\r\n\r\n", size)
			_, _ = r.Conn.Write(body[1:])
			<-release
			_, _ = r.Conn.Write(body[:1])
			return true
		}
		r.respond(r.requestID(), string(body))
		return true
	})
	control := startServer(t, false, endpoint)
	control.server.Guard = guard.New(guard.Limits{MemoryBytes: size + size/2}, guard.Policy{})
	// The server reads the next request of a connection after the handler of the one
	// before has returned, and with it the memory.
	transport := &http.Transport{MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	length := func(id string) int {
		resp, err := client.Do(newPost(control.url, id))
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		n, err := io.Copy(io.Discard, resp.Body)
		if err != nil || resp.StatusCode != http.StatusOK {
			return 0
		}
		return int(n)
	}
	done := make(chan int)
	go func() { done <- length("waiting") }()
	// What the endpoint has written may still be on the way. Until the server has the
	// memory for all of it, it may be the first response that does not fit.
	require.Eventually(t, func() bool { return control.server.Guard.Used() == size }, time.Minute, time.Millisecond)
	// A response that fits alone does not fit beside the first one.
	resp, _, err := control.send(t, "beside", "", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	finish()
	require.Equal(t, size, <-done)
	require.Equal(t, size, length("later"))
}

func newPost(url, id string) *http.Request {
	req, err := http.NewRequest(http.MethodPost, url, nil)
	if err != nil {
		panic(err)
	}
	req.Header.Set("Attempt-Id", id)
	return req
}

// Guards against callers whose bodies take all memory: the refusal says that the
// request did not run and when to come back.
func TestRequestWithoutMemoryIsRefused(t *testing.T) {
	endpoint := startEndpoint(t, echo)
	control := startServer(t, false, endpoint)
	control.server.Guard = guard.New(guard.Limits{MemoryBytes: 1 << 10}, guard.Policy{})
	resp, _, err := control.send(t, "r1", strings.Repeat("x", 2<<10), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Empty(t, endpoint.receivedRequests())
	resp, _, err = control.send(t, "r2", "", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode, "the response needs memory as well")
}

// Guards against a request that waits for the body of a refusal, which may never end,
// instead of going to another endpoint at once.
func TestRefusalWithoutEndDoesNotHoldRequest(t *testing.T) {
	for name, body := range map[string]string{"stalled": "full", "without end": strings.Repeat("full", 1<<20)} {
		t.Run(name, func(t *testing.T) {
			answered := make(chan struct{})
			declining := startEndpoint(t, func(r *receivedRequest) bool {
				r.readBody()
				_, _ = io.WriteString(r.Conn, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: r1\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
				_, _ = fmt.Fprintf(r.Conn, "%x\r\n%s\r\n", len(body), body)
				<-answered
				return false
			})
			control := startServer(t, false, declining, startEndpoint(t, echo))
			resp, _, err := control.send(t, "r1", "", nil)
			close(answered)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Equal(t, event.DirectDeclined, control.attemptEnd(0).Status)
		})
	}
}
