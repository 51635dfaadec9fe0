package front_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/front"
	"laburnumroad.dev/laburnumroad/internal/traffic/guard"
	"laburnumroad.dev/laburnumroad/internal/traffic/tracing"
	"laburnumroad.dev/laburnumroad/internal/traffic/upstream"
	"laburnumroad.dev/laburnumroad/platform"
)

// testEndpoint is a raw TCP server. It passes each request to handle, which writes
// the response and returns false to close the connection.
type testEndpoint struct {
	t         *testing.T
	listener  net.Listener
	handle    func(r *receivedRequest) bool
	mu        sync.Mutex
	received  []*receivedRequest
	connCount int
}

// receivedRequest is a request that an endpoint received. Connections are numbered
// per endpoint and requests per connection, both from 1.
type receivedRequest struct {
	net.Conn
	*http.Request
	connNumber, requestNumber int
	body                      string
	reader                    *bufio.Reader
}

// respond writes a complete response with the endpoint's proof.
func (r *receivedRequest) respond(requestID, body string) {
	fmt.Fprintf(r.Conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nContent-Length: %d\r\n\r\n%s", requestID, len(body), body)
}

func (r *receivedRequest) requestID() string { return r.Header.Get("Attempt-Id") }

func startEndpoint(t *testing.T, handle func(r *receivedRequest) bool) *testEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &testEndpoint{t: t, listener: listener, handle: handle}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.connCount++
			connNumber := e.connCount
			e.mu.Unlock()
			go e.serve(conn, connNumber)
		}
	}()
	return e
}

func (e *testEndpoint) serve(conn net.Conn, connNumber int) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := 1; ; i++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		r := &receivedRequest{Conn: conn, Request: req, connNumber: connNumber, requestNumber: i, reader: reader}
		e.mu.Lock()
		e.received = append(e.received, r)
		e.mu.Unlock()
		if !e.handle(r) {
			return
		}
	}
}

// readBody reads the rest of the request. Handlers that respond early skip or delay it.
func (r *receivedRequest) readBody() {
	b, err := io.ReadAll(r.Body)
	if err == nil {
		r.body = string(b)
	}
}

func (e *testEndpoint) receivedRequests() []*receivedRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*receivedRequest(nil), e.received...)
}

// fakeControl stands in for the control thread: it sends each request to the
// endpoints in order until one returns a complete response.
type fakeControl struct {
	server       *front.Server
	url          string
	endpoints    []*testEndpoint
	streaming    bool
	mu           sync.Mutex
	attemptEnds  []event.DirectAttemptEnd
	disconnected chan table.ExchangeID
}

func startServer(t *testing.T, streaming bool, endpoints ...*testEndpoint) *fakeControl {
	c := &fakeControl{endpoints: endpoints, streaming: streaming, disconnected: make(chan table.ExchangeID, 16)}
	c.server = &front.Server{Tracer: tracing.Noop(), Codec: platform.Headers{}, Pool: upstream.NewPool(), Log: zerolog.Nop(), Guard: guard.New(guard.Limits{}, guard.Policy{}), Post: c.post}
	httpServer := httptest.NewServer(c.server)
	t.Cleanup(httpServer.Close)
	c.url = httpServer.URL
	return c
}

func (c *fakeControl) post(e event.Event) {
	switch e := e.(type) {
	case event.HTTPArrival:
		c.callEndpoint(e.Exchange, 1)
	case event.DirectAttemptEnd:
		c.mu.Lock()
		c.attemptEnds = append(c.attemptEnds, e)
		c.mu.Unlock()
		switch {
		case e.Status == event.DirectAnswered:
			c.server.FinishExchange(command.FinishExchange{Exchange: e.Exchange, Deliver: true})
		case e.Attempt < len(c.endpoints):
			c.callEndpoint(e.Exchange, e.Attempt+1)
		default:
			c.server.FinishExchange(command.FinishExchange{
				Exchange: e.Exchange, Outcome: table.Outcome{Code: table.CodeEndpointFailed, Ran: table.RanUnknown},
			})
		}
	case event.ClientDisconnect:
		c.server.StopAttempt(command.StopAttempt{Exchange: e.Exchange, Attempt: 1})
		c.disconnected <- e.Exchange
	}
}

func (c *fakeControl) callEndpoint(exchange table.ExchangeID, attempt int) {
	c.server.CallEndpoint(command.CallEndpoint{
		Exchange: exchange, Attempt: attempt, Endpoint: "i-1", Address: c.endpoints[attempt-1].listener.Addr().String(),
		Customer: "workshop", TimeLeft: time.Minute, Stream: c.streaming,
	})
}

func (c *fakeControl) attemptEnd(i int) event.DirectAttemptEnd {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attemptEnds[i]
}

func (c *fakeControl) send(t *testing.T, requestID, body string, header http.Header) (*http.Response, string, error) {
	req, err := http.NewRequest(http.MethodPost, c.url+"/shop/a%2Fb/?q=1&q=%20", strings.NewReader(body))
	require.NoError(t, err)
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Attempt-Id", requestID)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

func echo(r *receivedRequest) bool {
	r.readBody()
	r.respond(r.requestID(), r.requestID()+" "+r.body)
	return true
}

// Guards against a request whose method, path, query or body is modified, whose API
// key is forwarded, or whose client chooses the customer or the endpoint by a header.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	endpoint := startEndpoint(t, echo)
	control := startServer(t, false, endpoint)
	control.server.Now = func() time.Time { return time.Time{} }
	header := http.Header{
		"Key": {"secret"}, "Tenant": {"other"}, "Expect-Instance": {"other"}, "Hold": {"1"}, "Pin-Ms": {"5"},
		"Kv-From": {"x"}, "Kv-Backup": {"x"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-Kept": {"1"}, "Model": {"m"},
		"Prefix-Hash": {"a:1,b:2"}, "Token-Count": {"3,4"},
	}
	resp, body, err := control.send(t, "r1", "payload", header)
	require.NoError(t, err)
	require.Equal(t, "r1 payload", body)
	require.Equal(t, "s", resp.Header.Get("Server-Seal"))
	got := endpoint.receivedRequests()[0]
	require.Equal(t, http.MethodPost, got.Method)
	require.Equal(t, "/shop/a%2Fb/?q=1&q=%20", got.RequestURI)
	for _, name := range []string{"Key", "Hold", "Pin-Ms", "Kv-From", "Kv-Backup", "X-Hop"} {
		require.Empty(t, got.Header.Values(name), name)
	}
	require.Equal(t, "workshop", got.Header.Get("Tenant"))
	require.Equal(t, "i-1", got.Header.Get("Expect-Instance"))
	for name, value := range map[string]string{"X-Kept": "1", "Model": "m", "Prefix-Hash": "a:1,b:2", "Token-Count": "3,4", "Deadline-Ms": "60000"} {
		require.Equal(t, value, got.Header.Get(name))
	}
}

// Guards against a client that gets the response to another request because it
// arrived late on a reused connection.
func TestLateResponseToAnotherRequestIsDiscarded(t *testing.T) {
	endpoint := startEndpoint(t, func(r *receivedRequest) bool {
		r.readBody()
		if r.requestNumber == 2 {
			r.respond("r1", "late")
		}
		r.respond(r.requestID(), "for "+r.requestID())
		return true
	})
	control := startServer(t, false, endpoint)
	for _, id := range []string{"r1", "r2"} {
		_, body, err := control.send(t, id, "", nil)
		require.NoError(t, err)
		require.Equal(t, "for "+id, body)
	}
}

// Guards against a duplicate response that is taken for the response to the next
// request on the connection.
func TestExtraResponseClosesConnection(t *testing.T) {
	endpoint := startEndpoint(t, func(r *receivedRequest) bool {
		r.readBody()
		var b bytes.Buffer
		for range 2 {
			fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\n%s", r.requestID(), r.requestID())
		}
		_, err := r.Conn.Write(b.Bytes())
		return err == nil
	})
	control := startServer(t, false, endpoint)
	for _, id := range []string{"r1", "r2", "r3"} {
		_, body, err := control.send(t, id, "", nil)
		require.NoError(t, err)
		require.Equal(t, id, body)
	}
	require.Equal(t, 3, endpoint.receivedRequests()[2].connNumber)
}

// Guards against a truncated or unproven response that is forwarded as a complete
// one, for each kind of framing.
func TestTruncatedResponseIsNotForwarded(t *testing.T) {
	for name, text := range map[string]string{
		"length":                   "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nServer-Seal: s\r\nContent-Length: 50\r\n\r\nhalf",
		"chunked":                  "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"head":                     "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nServer-",
		"garbage":                  "\x00\x01\x02\r\n\r\n",
		"empty":                    "",
		"no Server-Seal":           "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nContent-Length: 4\r\n\r\nhalf",
		"503 without Not-Executed": "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: r1\r\nServer-Seal: s\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := startEndpoint(t, func(r *receivedRequest) bool {
				r.readBody()
				_, err := io.WriteString(r.Conn, text)
				require.NoError(t, err)
				return false
			})
			control := startServer(t, false, endpoint)
			resp, _, err := control.send(t, "r1", "", nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, resp.StatusCode)
			require.Empty(t, resp.Header.Get("Server-Seal"))
			require.Equal(t, event.DirectOutcomeUnknown, control.attemptEnd(0).Status)
		})
	}
}

// Guards against a response without a length that counts as complete although its
// connection was reset.
func TestResetOfCloseDelimitedResponseIsDetected(t *testing.T) {
	endpoint := startEndpoint(t, func(r *receivedRequest) bool {
		r.readBody()
		_, err := io.WriteString(r.Conn, "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nServer-Seal: s\r\n\r\nhalf")
		require.NoError(t, err)
		require.NoError(t, r.Conn.(*net.TCPConn).SetLinger(0))
		return false
	})
	control := startServer(t, false, endpoint)
	resp, _, err := control.send(t, "r1", "", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
}

// Guards against a declined request that is reported as one that may have run, and
// the reverse.
func TestDeclinedAndMisdirectedAreReported(t *testing.T) {
	for status, headers := range map[string]string{
		"503 Service Unavailable": "Not-Executed: 1\r\n", "421 Misdirected Request": "",
	} {
		endpoint := startEndpoint(t, func(r *receivedRequest) bool {
			r.readBody()
			_, err := fmt.Fprintf(r.Conn, "HTTP/1.1 %s\r\nAttempt-Id: %s\r\n%sContent-Length: 0\r\n\r\n", status, r.requestID(), headers)
			return err == nil
		})
		control := startServer(t, false, endpoint)
		_, _, err := control.send(t, "r1", "", nil)
		require.NoError(t, err)
		require.Equal(t, event.DirectDeclined, control.attemptEnd(0).Status)
		require.Equal(t, strings.HasPrefix(status, "421"), control.attemptEnd(0).Misdirected)
	}
}

// Guards against an answer that a living endpoint lost and that counts as a crash of the
// endpoint, and against a crash that counts as a lost answer.
func TestCrashedEndpointIsToldFromLostAnswer(t *testing.T) {
	const firstEvent = "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nid: 1\n\n\n\n\r\n"
	const secondEvent, thirdEvent = "7\r\nid: 2\n\n\r\n", "7\r\nid: 3\n\n\r\n"
	for name, test := range map[string]struct {
		text   string
		stops  bool
		expect bool
	}{
		"lost answer":              {"", false, false},
		"crash":                    {"", true, true},
		"crash after first event":  {firstEvent, true, true},
		"crash after two events":   {firstEvent + secondEvent, true, true},
		"crash after three events": {firstEvent + secondEvent + thirdEvent, true, false},
		"lost after first event":   {firstEvent, false, false},
		"crash of undelimited":     {"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nServer-Seal: s\r\n\r\nid: 1\ndata: a\n\n", true, true},
	} {
		t.Run(name, func(t *testing.T) {
			var endpoint *testEndpoint
			endpoint = startEndpoint(t, func(r *receivedRequest) bool {
				r.readBody()
				if test.stops {
					endpoint.listener.Close()
				}
				_, err := io.WriteString(r.Conn, test.text)
				require.NoError(t, err)
				return false
			})
			control := startServer(t, true, endpoint)
			req, err := http.NewRequest(http.MethodPost, control.url+"/shop/", nil)
			require.NoError(t, err)
			req.Header.Set("Attempt-Id", "r1")
			resp, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			end := control.attemptEnd(0)
			require.True(t, end.ConnectionLost || end.Undelimited)
			require.Equal(t, test.expect, end.EndpointGone)
		})
	}
}

// Guards against a connection that is opened only to see whether the endpoint is there,
// and not used.
func TestCheckedConnectionIsUsedNext(t *testing.T) {
	endpoint := startEndpoint(t, func(r *receivedRequest) bool {
		if r.requestID() == "r1" {
			return false
		}
		return echo(r)
	})
	control := startServer(t, false, endpoint)
	_, _, err := control.send(t, "r1", "", nil)
	require.NoError(t, err)
	require.False(t, control.attemptEnd(0).EndpointGone)
	_, body, err := control.send(t, "r2", "", nil)
	require.NoError(t, err)
	require.Equal(t, "r2 ", body)
	require.Equal(t, 2, endpoint.receivedRequests()[1].connNumber)
}

// Guards against a request that counts as sent although the connection was refused.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	endpoint := startEndpoint(t, echo)
	endpoint.listener.Close()
	control := startServer(t, false, endpoint)
	_, _, err := control.send(t, "r1", "", nil)
	require.NoError(t, err)
	require.Equal(t, event.DirectNotSent, control.attemptEnd(0).Status)
	require.False(t, control.attemptEnd(0).Withheld)
}

// Guards against an HTTP client that resends a request on its own when a reused
// connection turns out to be closed.
func TestRequestIsNotResentOnClosedConnection(t *testing.T) {
	endpoint := startEndpoint(t, func(r *receivedRequest) bool {
		r.readBody()
		if r.requestNumber == 2 {
			return false
		}
		r.respond(r.requestID(), "ok")
		return true
	})
	control := startServer(t, false, endpoint)
	_, _, err := control.send(t, "r1", "", nil)
	require.NoError(t, err)
	resp, _, err := control.send(t, "r2", "", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Len(t, endpoint.receivedRequests(), 2)
}

// Guards against the reuse of a connection whose endpoint responded before it read
// the complete body: it would read the next request as the rest of that body.
func TestConnectionIsNotReusedAfterEarlyResponse(t *testing.T) {
	endpoint := startEndpoint(t, func(r *receivedRequest) bool {
		if r.requestNumber == 1 && r.requestID() == "r1" {
			r.respond("r1", "early")
			time.Sleep(50 * time.Millisecond)
		}
		r.readBody()
		if r.requestID() != "r1" {
			r.respond(r.requestID(), "ok")
		}
		return true
	})
	control := startServer(t, false, endpoint)
	_, body, err := control.send(t, "r1", strings.Repeat("x", 2<<20), nil)
	require.NoError(t, err)
	require.Equal(t, "early", body)
	_, body, err = control.send(t, "r2", "small", nil)
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	for _, r := range endpoint.receivedRequests() {
		require.Contains(t, []string{"r1", "r2"}, r.requestID())
	}
}

// sseEvent returns the server-sent event with id n.
func sseEvent(n int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n) }

// writeStream sends a chunked stream of the events from..to, then the bytes of
// partialEvent, and the final chunk if complete is set.
func writeStream(r *receivedRequest, from, to int, complete bool, partialEvent string) bool {
	r.readBody()
	fmt.Fprintf(r.Conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: seal-%d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.requestID(), from)
	for n := from; n <= to; n++ {
		fmt.Fprintf(r.Conn, "%x\r\n%s\r\n", len(sseEvent(n)), sseEvent(n))
	}
	if partialEvent != "" {
		fmt.Fprintf(r.Conn, "%x\r\n%s\r\n", len(partialEvent), partialEvent)
	}
	if complete {
		_, err := io.WriteString(r.Conn, "0\r\n\r\n")
		return err == nil
	}
	return false
}

// sseEvents returns the events 1..to.
func sseEvents(to int) string {
	var b strings.Builder
	for n := 1; n <= to; n++ {
		b.WriteString(sseEvent(n))
	}
	return b.String()
}

// Guards against events that are lost, repeated or merged when a stream resumes at
// another endpoint, and against headers of the second endpoint.
func TestStreamResumesAfterLastCompleteEvent(t *testing.T) {
	first := startEndpoint(t, func(r *receivedRequest) bool { return writeStream(r, 1, 3, false, "id: 4\ndata: hal") })
	second := startEndpoint(t, func(r *receivedRequest) bool { return writeStream(r, 4, 6, true, "") })
	control := startServer(t, true, first, second)
	resp, body, err := control.send(t, "r1", "prompt", nil)
	require.NoError(t, err)
	require.Equal(t, sseEvents(6), body)
	require.Equal(t, "seal-1", resp.Header.Get("Server-Seal"))
	require.Equal(t, "3", second.receivedRequests()[0].Header.Get("Last-Event-Id"))
	require.EqualValues(t, 6, control.attemptEnd(1).DeliveredEvents)
}

// Guards against forwarding events that don't follow the last one sent.
func TestEventsOutOfOrderEndAttempt(t *testing.T) {
	first := startEndpoint(t, func(r *receivedRequest) bool { return writeStream(r, 1, 2, false, "") })
	second := startEndpoint(t, func(r *receivedRequest) bool { return writeStream(r, 2, 5, true, "") })
	control := startServer(t, true, first, second)
	_, body, err := control.send(t, "r1", "prompt", nil)
	require.Error(t, err)
	require.Equal(t, sseEvents(2), body)
}

// Guards against a truncated stream that ends like a complete one.
func TestTruncatedStreamDoesNotLookComplete(t *testing.T) {
	endpoint := startEndpoint(t, func(r *receivedRequest) bool { return writeStream(r, 1, 3, false, "") })
	control := startServer(t, true, endpoint)
	_, body, err := control.send(t, "r1", "prompt", nil)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, sseEvents(3), body)
}

// Guards against an endpoint that keeps working after the client has disconnected.
func TestClientDisconnectClosesEndpointConnection(t *testing.T) {
	started, closed := make(chan struct{}), make(chan struct{})
	endpoint := startEndpoint(t, func(r *receivedRequest) bool {
		r.readBody()
		close(started)
		_, err := r.reader.ReadByte()
		require.Error(t, err)
		close(closed)
		return false
	})
	control := startServer(t, false, endpoint)
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, control.url, strings.NewReader("x"))
	require.NoError(t, err)
	req.Header.Set("Attempt-Id", "r1")
	done := make(chan error, 1)
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
		}
		done <- err
	}()
	<-started
	cancel()
	require.Error(t, <-done)
	<-control.disconnected
	<-closed
}

// Guards against request smuggling, wrong parsing of split or pipelined requests, and
// bodies over the limit.
func TestRawRequests(t *testing.T) {
	endpoint := startEndpoint(t, echo)
	control := startServer(t, false, endpoint)
	control.server.BodyLimit.Store(64)
	address := strings.TrimPrefix(control.url, "http://")
	send := func(parts ...string) string {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer conn.Close()
		for _, p := range parts {
			_, err := io.WriteString(conn, p)
			require.NoError(t, err)
		}
		data, err := io.ReadAll(conn)
		require.NoError(t, err)
		return string(data)
	}
	hidden := "0\r\n\r\nPOST /hidden HTTP/1.1\r\nHost: x\r\nAttempt-Id: hidden\r\nContent-Length: 0\r\n\r\n"
	send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nAttempt-Id: a\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n%s", len(hidden), hidden))
	send("POST / HTTP/1.1\r\nHost: x\r\nAttempt-Id: b\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!")
	send("POST / HTTP/1.1\r\nHost: x\r\nAttempt-Id: c\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n")
	for _, r := range endpoint.receivedRequests() {
		require.NotContains(t, []string{"hidden", "b", "c"}, r.requestID())
	}
	got := send("POST / HTTP/1.1\r\nHo", "st: x\r\nAttempt-Id: d\r\nConte", "nt-Length: 2\r\n\r\nh", "i"+
		"POST / HTTP/1.1\r\nHost: x\r\nAttempt-Id: e\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	require.Equal(t, 2, strings.Count(got, "HTTP/1.1 200 OK"))
	require.Contains(t, got, "d hi")
	got = send("POST / HTTP/1.1\r\nHost: x\r\nAttempt-Id: f\r\nContent-Length: 65\r\n\r\n", strings.Repeat("x", 65))
	require.Contains(t, got, "HTTP/1.1 413")
	got = send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	require.Contains(t, got, "HTTP/1.1 400")
}
