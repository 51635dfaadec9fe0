package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// longGrace is a grace period that no test reaches.
	longGrace = 5 * time.Minute
	// afterCloseTimeout is a pause that outlasts serverCloseTimeout.
	afterCloseTimeout = 3 * serverCloseTimeout
)

// rawClient is a client's connection to a gateway.
type rawClient struct {
	*net.TCPConn
	t *testing.T
	r *bufio.Reader
}

func (gw *testGateway) connect() *rawClient {
	conn, err := net.Dial("tcp", gw.settings.ClientAddress)
	require.NoError(gw.t, err)
	gw.t.Cleanup(func() { conn.Close() })
	return &rawClient{TCPConn: conn.(*net.TCPConn), t: gw.t, r: bufio.NewReader(conn)}
}

// connectServed returns a connection on which a request was served.
func (gw *testGateway) connectServed() *rawClient {
	var c *rawClient
	// On a busy host the gateway refuses requests when it finds its link congested.
	require.Eventually(gw.t, func() bool {
		c = gw.connect()
		c.send(wholeBookingRequest("r-first"))
		resp, _, err := c.receive()
		return err == nil && resp.StatusCode == http.StatusOK && !resp.Close
	}, time.Minute, time.Millisecond)
	return c
}

// bookingRequest returns the bytes of a request whose body has two halves of equal
// length.
func bookingRequest(id string) (firstHalf, secondHalf string) {
	return fmt.Sprintf("POST /booking/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nKey: key-1\r\nDeadline-Ms: 60000\r\nContent-Length: 8\r\n\r\nfour", id), "more"
}

func wholeBookingRequest(id string) string {
	firstHalf, secondHalf := bookingRequest(id)
	return firstHalf + secondHalf
}

func (c *rawClient) send(text string) {
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

// receive reads one response and its whole body.
func (c *rawClient) receive() (*http.Response, string, error) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func (c *rawClient) requireServed(want string) *http.Response {
	resp, body, err := c.receive()
	require.NoError(c.t, err)
	require.Equal(c.t, http.StatusOK, resp.StatusCode, body)
	require.True(c.t, body == want, "the body has %d bytes, want %d", len(body), len(want))
	return resp
}

func (c *rawClient) requireRefused() {
	resp, body, err := c.receive()
	require.NoError(c.t, err)
	require.Equal(c.t, http.StatusServiceUnavailable, resp.StatusCode, body)
	require.NotEmpty(c.t, resp.Header.Get("Retry-After"))
}

// desk is an endpoint that records the requests that reach it.
type desk struct {
	mu   sync.Mutex
	ids  map[string]bool
	body string
	// delay is how long a request takes.
	delay atomic.Int64
	// arrived receives a value for each request that waits for hold to be closed.
	arrived, hold chan struct{}
}

func newDesk() *desk { return &desk{ids: map[string]bool{}, body: "booked"} }

// newHoldingDesk returns a desk that answers when its field hold is closed.
func newHoldingDesk(body string) *desk {
	return &desk{ids: map[string]bool{}, body: body, arrived: make(chan struct{}, 1), hold: make(chan struct{})}
}

func (d *desk) serve(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.ids[r.Header.Get("Attempt-Id")] = true
	d.mu.Unlock()
	if d.hold != nil {
		d.arrived <- struct{}{}
		<-d.hold
	}
	time.Sleep(time.Duration(d.delay.Load()))
	_, _ = io.WriteString(w, d.body)
}

func (d *desk) received(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ids[id]
}

func startStoppableGateway(t *testing.T, d *desk, grace time.Duration) *testGateway {
	t.Parallel()
	c := newTestCluster(t)
	c.startEndpoint("i-desk", "desk", d.serve)
	c.putConfig(1, 100_000)
	gw := c.startGatewayWithGrace("edge-1", grace)
	gw.waitReady()
	return gw
}

// startShutdown returns when the drain has begun.
func (gw *testGateway) startShutdown() {
	gw.Shutdown()
	require.Eventually(gw.t, func() bool { return !gw.ready.Load() }, time.Minute, time.Millisecond)
}

// Guards against a request that is lost because its body arrives after the stop began.
func TestRequestHalfReadAtStopIsServed(t *testing.T) {
	gw := startStoppableGateway(t, newDesk(), longGrace)
	client := gw.connect()
	firstHalf, secondHalf := bookingRequest("r-1")
	client.send(firstHalf)
	gw.startShutdown()
	client.send(secondHalf)
	client.requireServed("booked")
	require.NoError(t, <-gw.exited)
}

// Guards against a request that is cut without an answer because its body arrives when the
// process has finished its other work.
func TestRequestHalfReadAtExitIsRefused(t *testing.T) {
	d := newDesk()
	gw := startStoppableGateway(t, d, longGrace)
	clients := []*rawClient{gw.connect(), gw.connect()}
	firstHalf, secondHalf := bookingRequest("r-1")
	for _, c := range clients {
		c.send(firstHalf)
	}
	gw.startShutdown()
	<-gw.logs.drained
	clients[0].send(secondHalf)
	clients[0].requireRefused()
	time.Sleep(afterCloseTimeout)
	clients[1].send(secondHalf)
	clients[1].requireRefused()
	require.NoError(t, <-gw.exited)
	require.False(t, d.received("r-1"))
}

// Guards against a process that waits beyond its grace period for a body that never
// arrives, and against a caller that gets no answer then.
func TestRequestHalfReadForeverDoesNotOutlastGrace(t *testing.T) {
	d := newDesk()
	gw := startStoppableGateway(t, d, 4*time.Second)
	client := gw.connect()
	firstHalf, _ := bookingRequest("r-1")
	client.send(firstHalf)
	gw.startShutdown()
	client.requireRefused()
	require.NoError(t, <-gw.exited)
	require.False(t, d.received("r-1"))
}

// Guards against an exit that is delayed until the end of the grace period by a
// connection without a request.
func TestUnusedConnectionDoesNotDelayExit(t *testing.T) {
	gw := startStoppableGateway(t, newDesk(), longGrace)
	gw.startShutdown()
	client := gw.connect()
	<-gw.logs.drained
	_, _, err := client.receive()
	require.Error(t, err)
	require.NoError(t, <-gw.exited)
}

// Guards against an answer that is cut because the process exits while a slow client still
// reads it.
func TestAnswerToSlowReaderIsCompletedBeforeExit(t *testing.T) {
	d := newHoldingDesk(strings.Repeat("x", 7<<20))
	gw := startStoppableGateway(t, d, longGrace)
	client := gw.connect()
	require.NoError(t, client.SetReadBuffer(64<<10))
	client.send(wholeBookingRequest("r-1"))
	<-d.arrived
	gw.startShutdown()
	close(d.hold)
	<-gw.logs.drained
	time.Sleep(afterCloseTimeout)
	client.requireServed(d.body)
	require.NoError(t, <-gw.exited)
}

// Guards against a request on an open connection that reaches an endpoint but gets no
// answer, or is refused although it ran, because the process exits at that moment.
func TestRequestsAtExitAreAnsweredOrNotRun(t *testing.T) {
	t.Parallel()
	t.Run("work finished", func(t *testing.T) { testRequestsAtExit(t, minDrainTime, longGrace) })
	t.Run("time used up", func(t *testing.T) {
		// The grace period is too short for minDrainTime.
		const grace = 2 * time.Second
		testRequestsAtExit(t, grace-shutdownMargin, grace)
	})
}

// testRequestsAtExit sends requests around the end of a drain, which is expected
// drainTime after its begin.
func testRequestsAtExit(t *testing.T, drainTime, grace time.Duration) {
	const connections = 200
	d := newDesk()
	gw := startStoppableGateway(t, d, grace)
	rng := rand.New(rand.NewPCG(1, 1))
	var wg sync.WaitGroup
	started := make(chan struct{})
	for n := range connections {
		client := gw.connectServed()
		// Half of the requests come about at the end of the drain, the others just after
		// the order to exit.
		trigger, delay := (<-chan struct{})(started), drainTime-50*time.Millisecond+time.Duration(rng.Int64N(int64(100*time.Millisecond)))
		if n%2 == 0 {
			trigger, delay = gw.logs.drained, time.Duration(rng.Int64N(int64(3*time.Millisecond)))
		}
		wg.Go(func() {
			<-trigger
			time.Sleep(delay)
			id := fmt.Sprintf("r-%d", n)
			// The gateway may have closed the connection.
			_, _ = io.WriteString(client, wholeBookingRequest(id))
			resp, body, err := client.receive()
			switch {
			case err != nil:
				if d.received(id) {
					t.Errorf("%s ran and got no answer: %v", id, err)
				}
			case resp.StatusCode == http.StatusOK:
				if body != "booked" {
					t.Errorf("%s got the body %q", id, body)
				}
			case resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || d.received(id):
				t.Errorf("%s got status %d, ran: %t", id, resp.StatusCode, d.received(id))
			}
		})
	}
	d.delay.Store(int64(afterCloseTimeout))
	gw.startShutdown()
	close(started)
	require.NoError(t, <-gw.exited)
	wg.Wait()
}

// Guards against a pipelined request that runs without an answer when the stop begins, and
// against an answer that is lost with it.
func TestPipelinedRequestAtStopIsAnsweredOrNotRun(t *testing.T) {
	d := newHoldingDesk("booked")
	gw := startStoppableGateway(t, d, longGrace)
	client := gw.connect()
	client.send(wholeBookingRequest("r-1") + wholeBookingRequest("r-2"))
	<-d.arrived
	gw.startShutdown()
	close(d.hold)
	resp := client.requireServed("booked")
	require.True(t, resp.Close, "the first answer must announce that the second request is not processed")
	_, _, err := client.receive()
	require.Error(t, err)
	require.NoError(t, <-gw.exited)
	require.False(t, d.received("r-2"))
}

// Guards against pipelined requests that run without an answer when the process exits.
func TestPipelinedRequestsAtExitAreRefusedOrNotRun(t *testing.T) {
	d := newDesk()
	gw := startStoppableGateway(t, d, longGrace)
	client := gw.connect()
	firstHalf, secondHalf := bookingRequest("r-1")
	client.send(firstHalf)
	gw.startShutdown()
	<-gw.logs.drained
	client.send(secondHalf + wholeBookingRequest("r-2"))
	client.requireRefused()
	_, _, err := client.receive()
	require.Error(t, err)
	require.NoError(t, <-gw.exited)
	require.False(t, d.received("r-1") || d.received("r-2"))
}

// Guards against an answer whose end is discarded because the client has sent another
// request that is not read any more.
func TestAnswerSurvivesUnreadRequestBehindIt(t *testing.T) {
	d := newHoldingDesk(strings.Repeat("x", 1<<20))
	gw := startStoppableGateway(t, d, longGrace)
	client := gw.connect()
	require.NoError(t, client.SetReadBuffer(64<<10))
	client.send(wholeBookingRequest("r-1"))
	<-d.arrived
	gw.startShutdown()
	client.send(wholeBookingRequest("r-2"))
	close(d.hold)
	<-gw.logs.drained
	client.requireServed(d.body)
	require.NoError(t, <-gw.exited)
	require.False(t, d.received("r-2"))
}

// Guards against a repeated order to stop that cuts work in progress or begins the drain
// anew.
func TestRepeatedShutdownChangesNothing(t *testing.T) {
	d := newHoldingDesk("booked")
	gw := startStoppableGateway(t, d, longGrace)
	client := gw.connect()
	client.send(wholeBookingRequest("r-1"))
	<-d.arrived
	gw.startShutdown()
	gw.Shutdown()
	gw.Shutdown()
	close(d.hold)
	client.requireServed("booked")
	require.NoError(t, <-gw.exited)
	require.Equal(t, 1, strings.Count(gw.logs.text(), `"to":"draining"`))
}
