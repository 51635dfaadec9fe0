package guard

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/table"
)

// Guards against a body that is refused although there is memory for it, because another
// one that is too large for the rest asks at the same time.
func TestRefusedBodyTakesNoMemoryFromOthers(t *testing.T) {
	const rounds = 200_000
	g := New(Limits{MemoryBytes: 10}, Policy{})
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				if g.acquire(11, 10) {
					panic("more memory than there is")
				}
			}
		}
	}()
	refused := 0
	for range rounds {
		if !g.acquire(10, 10) {
			refused++
			continue
		}
		g.used.Add(-10)
	}
	close(stop)
	<-stopped
	require.Zero(t, refused)
	require.Zero(t, g.Used())
}

// endAllForMemory and endFirst are policies that end what they can.
func endAllForMemory(rows []table.Holding, _ int64) (ids []table.HoldingID) {
	for _, h := range rows {
		if h.Phase != table.HoldingWorking {
			ids = append(ids, h.ID)
		}
	}
	return ids
}

func endFirst(rows []table.Holding, class table.ListenerClass) (table.HoldingID, bool) {
	for _, h := range rows {
		if h.Class == class && h.Connection && h.Phase != table.HoldingWorking {
			return h.ID, true
		}
	}
	return 0, false
}

// startServer serves a handler behind a guard on loopback.
func startServer(t *testing.T, g *Guard, h http.HandlerFunc) (address string) {
	l, err := g.ListenHTTP("127.0.0.1:0", table.ClientListener)
	require.NoError(t, err)
	server := &http.Server{Handler: g.Handler(h, HandlerOptions{})}
	g.Attach(server)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

func dial(t *testing.T, address, text string) net.Conn {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	return c
}

func readStatus(t *testing.T, c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against memory and connections that stay charged when their clients are gone, and
// that the process lacks in the end.
func TestAllIsGivenBack(t *testing.T) {
	g := New(Limits{}, Policy{})
	address := startServer(t, g, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	fields := strings.Repeat("a: b\r\n", 1000)
	for i, request := range []string{
		"", "GET / HTTP/1.1\r\nHost: a\r\n" + fields, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n" + fields + "\r\nabc",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n" + fields + "\r\nabcGET / HTTP/1.1\r\nHost: a\r\n\r\n", "no request\r\n\r\n",
	} {
		c := dial(t, address, request)
		require.Eventually(t, func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.lastID == table.HoldingID(i+1)
		}, time.Minute, time.Millisecond, "the connection is not charged")
		c.Close()
		require.Eventually(t, func() bool { return g.Used() == 0 && g.Stats().Connections[table.ClientListener] == 0 }, time.Minute, time.Millisecond, request)
	}
}

// Guards against heads whose cost shows only when they are parsed: the number of their
// fields decides, not their bytes.
func TestHeadOfManyFieldsIsChargedAsItArrives(t *testing.T) {
	const fields = 5000
	g := New(Limits{}, Policy{})
	address := startServer(t, g, func(http.ResponseWriter, *http.Request) {})
	dial(t, address, "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", fields))
	require.Eventually(t, func() bool { return g.Used() > fields*fieldBytes }, time.Minute, time.Millisecond)
}

// Guards against a crowd that keeps others out: a stalled head ends, with the word that the
// request did not run, when another request needs its memory or its connection.
func TestStalledHeadMakesRoom(t *testing.T) {
	const fields = 4000
	small := "GET / HTTP/1.1\r\nHost: a\r\n"
	large := small + strings.Repeat("a:\r\n", fields)
	for name, c := range map[string]struct {
		limits Limits
		first  string
		second string
	}{
		"memory":     {Limits{MemoryBytes: 800 << 10}, large, large},
		"connection": {Limits{Connections: [table.ListenerClasses]int{1, 1}}, small, small},
	} {
		t.Run(name, func(t *testing.T) {
			g := New(c.limits, Policy{ForMemory: endAllForMemory, ForConnection: endFirst})
			address := startServer(t, g, func(http.ResponseWriter, *http.Request) {})
			first := dial(t, address, c.first)
			// All of the first head has arrived.
			require.Eventually(t, func() bool { return g.Used() > fields*fieldBytes || name == "connection" && g.Used() > 0 }, time.Minute, time.Millisecond)
			if name == "connection" {
				require.Eventually(t, func() bool {
					g.mu.Lock()
					defer g.mu.Unlock()
					rows := g.rows(0)
					return len(rows) == 1 && rows[0].Phase == table.HoldingReceiving
				}, time.Minute, time.Millisecond)
			}
			second := dial(t, address, c.second+"\r\n")
			require.Equal(t, http.StatusServiceUnavailable, readStatus(t, first))
			require.Equal(t, http.StatusOK, readStatus(t, second))
			s := g.Stats()
			require.EqualValues(t, 1, s.EndedForMemory+s.EndedForConnections)
		})
	}
}

// Guards against a request that ends although it is being worked on, because another one
// needs memory: that one is refused, and told that it did not run.
func TestWorkIsNotEndedForMemory(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	g := New(Limits{MemoryBytes: 800 << 10}, Policy{ForMemory: endAllForMemory})
	address := startServer(t, g, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			close(arrived)
			<-release
		}
	})
	fields := strings.Repeat("a:\r\n", 4000)
	first := dial(t, address, "GET /first HTTP/1.1\r\nHost: a\r\n"+fields+"\r\n")
	<-arrived
	second := dial(t, address, "GET /second HTTP/1.1\r\nHost: a\r\n"+fields+"\r\n")
	require.Equal(t, http.StatusServiceUnavailable, readStatus(t, second))
	close(release)
	require.Equal(t, http.StatusOK, readStatus(t, first))
}

// Guards against a client that is told that its request did not run although it does: the
// decision that it ends falls while its last bytes arrive.
func TestRequestThatArrivesAsItEndsIsNotWorkedOn(t *testing.T) {
	for range 2000 {
		g := New(Limits{}, Policy{})
		told := false
		h := &Holding{class: table.ClientListener}
		h.end = func() { told = h.phaseIs(table.HoldingReceiving) }
		require.True(t, g.openConnection(h))
		h.setPhase(table.HoldingReceiving)
		worked := make(chan bool)
		go func() { worked <- h.work() == nil }()
		g.mu.Lock()
		ended := g.markLocked(&g.counts.endedForMemory, h.id)
		g.mu.Unlock()
		endAll(ended)
		require.False(t, <-worked && told)
		require.False(t, len(ended) > 0 && h.work() == nil)
	}
}

// Guards against a client that holds its body back and never ends to make room, because the
// server has written "100 Continue" to it.
func TestClientThatIsToldToContinueStillSends(t *testing.T) {
	g := New(Limits{}, Policy{})
	address := startServer(t, g, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	c := dial(t, address, "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	_, err := io.ReadFull(c, make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n")))
	require.NoError(t, err)
	_, err = io.WriteString(c, "a")
	require.NoError(t, err)
	row := func() table.Holding {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.rows(0)[0]
	}
	require.Eventually(t, func() bool { return row().Moved > 0 }, time.Minute, time.Millisecond)
	require.Equal(t, table.HoldingReceiving, row().Phase)
}

// Guards against connections with streams that hold their places for good: all of their
// requests wait for the rest of a body.
func TestConnectionWithStalledStreamsMakesRoom(t *testing.T) {
	g := New(Limits{Connections: [table.ListenerClasses]int{1, 1}}, Policy{ForConnection: endFirst})
	l, err := g.ListenHTTP("127.0.0.1:0", table.ClientListener)
	require.NoError(t, err)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Protocols: protocols, Handler: g.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	}), HandlerOptions{})}
	g.Attach(server)
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	streams := new(http.Protocols)
	streams.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: streams, MaxConnsPerHost: 1}}
	ended := make(chan error, 2)
	for range 2 {
		body, send := io.Pipe()
		defer send.Close()
		go func() { _, _ = send.Write([]byte("a")) }()
		go func() {
			_, err := client.Post("http://"+l.Addr().String(), "text/plain", body)
			ended <- err
		}()
	}
	require.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		receiving := 0
		for _, h := range g.rows(0) {
			if h.Phase == table.HoldingReceiving {
				receiving++
			}
		}
		return receiving == 3
	}, time.Minute, time.Millisecond, "two streams and their connection wait for the client")
	require.Equal(t, http.StatusOK, readStatus(t, dial(t, l.Addr().String(), "GET / HTTP/1.1\r\nHost: a\r\n\r\n")))
	for range 2 {
		require.Error(t, <-ended)
	}
}
