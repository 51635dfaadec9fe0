package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/fake"
	"laburnumroad.dev/laburnumroad/internal/testproc"
	"laburnumroad.dev/laburnumroad/platform"
)

const (
	signalGrace = 60
	// shortGrace is shorter than the work of a request.
	shortGrace = 2
)

// newSingleProcess returns a process that is not started, and its store, which has no
// configuration.
func newSingleProcess(t *testing.T, binary string, index int) (*process, *platform.Client) {
	return newProcessWithGrace(t, binary, index, signalGrace)
}

func newProcessWithGrace(t *testing.T, binary string, index, grace int) (*process, *platform.Client) {
	t.Parallel()
	store := fake.NewPlatform(fake.PlatformConfig{})
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		store.Close()
		server.Close()
	})
	return newProcess(t, binary, strings.TrimPrefix(server.URL, "http://"), index, grace), platform.New(server.URL, platform.Options{})
}

// addDesk stores a configuration with one endpoint, which answers with h.
func addDesk(t *testing.T, store *platform.Client, h http.HandlerFunc) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Server-Seal", "seal")
		h(w, r)
	}))
	t.Cleanup(server.Close)
	_, err := store.Create(t.Context(), "servers", "i-desk", fmt.Appendf(nil, `{"backend":"desk","address":%q,"zone":"a","version":"v1","capacity":8,"state":"ready","cold_left_ms":0,"sequence":1,"born":1}`, server.Listener.Addr().String()))
	require.NoError(t, err)
	_, err = store.Create(t.Context(), "config", "main", []byte(`{"version":1,"backends":[{"name":"desk"}],"limits":{"max_body_bytes":100000},
		"routes":[{"name":"booking","hostname":"shop.example","path_prefix":"/booking/","route_type":"unsafe","timeout_ms":60000,"slo_ms":800,"backend":"desk","max_attempts":1}]}`))
	require.NoError(t, err)
}

// sendBooking sends a request on a new connection and returns a function that reads the
// answer.
func (p *process) sendBooking(t *testing.T) (receive func() (status int, body string)) {
	return p.sendBookingAs(t, "r-1")
}

// sendBookingAs sends a request with an id.
func (p *process) sendBookingAs(t *testing.T, id string) (receive func() (status int, body string)) {
	conn, err := net.Dial("tcp", p.clientAddress)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /booking/%[1]s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %[1]s\r\nDeadline-Ms: 60000\r\nContent-Length: 4\r\n\r\nbody", id)
	require.NoError(t, err)
	return func() (int, string) {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		return resp.StatusCode, string(body)
	}
}

// requireCleanExit waits until the process ends and checks that no signal ended it.
func (p *process) requireCleanExit(t *testing.T) {
	<-p.Exited()
	p.state = processDown
	require.True(t, p.State().Success(), p.State().String())
}

// startAndSignal starts the process and sends it a signal while it reads its settings.
func (p *process) startAndSignal(t *testing.T, sig syscall.Signal) {
	settings, err := os.ReadFile(p.settingsFile)
	require.NoError(t, err)
	require.NoError(t, os.Remove(p.settingsFile))
	require.NoError(t, syscall.Mkfifo(p.settingsFile, 0o600))
	p.start(t)
	// Blocks until the process has opened the other end.
	pipe, err := os.OpenFile(p.settingsFile, os.O_WRONLY, 0)
	require.NoError(t, err)
	require.NoError(t, os.Remove(p.settingsFile))
	require.NoError(t, os.WriteFile(p.settingsFile, settings, 0o600))
	p.signal(sig, processRunning)
	_, err = pipe.Write(settings)
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
}

// Guards against a repeated SIGTERM, or a SIGHUP, that ends a draining process before its
// work is done.
func testSignalsDuringDrainCutNoWork(t *testing.T, binary string) {
	p, store := newSingleProcess(t, binary, 20)
	arrived, hold := make(chan struct{}), make(chan struct{})
	addDesk(t, store, func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-hold
		_, _ = io.WriteString(w, "booked")
	})
	p.start(t)
	require.Eventually(t, p.isReady, waitTimeout, tickInterval)
	receive := p.sendBooking(t)
	<-arrived
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		p.signal(sig, processTerminating)
		require.Eventually(t, func() bool { return !p.isReady() }, waitTimeout, tickInterval)
	}
	close(hold)
	status, body := receive()
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "booked", body)
	p.requireCleanExit(t)
}

// Guards against a request that may not be repeated and whose connection ends without an
// answer, because its work lasts longer than the grace period.
func testUnsafeRequestAtEndOfDrainIsAnswered(t *testing.T, binary string) {
	p, store := newProcessWithGrace(t, binary, 25, shortGrace)
	arrived := make(chan struct{})
	addDesk(t, store, func(_ http.ResponseWriter, r *http.Request) {
		// The server notices a closed connection once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		close(arrived)
		<-r.Context().Done()
	})
	p.start(t)
	require.Eventually(t, p.isReady, waitTimeout, tickInterval)
	receive := p.sendBooking(t)
	<-arrived
	p.signal(syscall.SIGTERM, processTerminating)
	status, _ := receive()
	require.Equal(t, http.StatusBadGateway, status)
	p.requireCleanExit(t)
}

// Guards against a change of the settings that kills a process which is starting.
func testSIGHUPDuringStartDoesNotEndProcess(t *testing.T, binary string) {
	p, store := newSingleProcess(t, binary, 21)
	addDesk(t, store, func(http.ResponseWriter, *http.Request) {})
	p.startAndSignal(t, syscall.SIGHUP)
	require.Eventually(t, func() bool { return p.isReady() || p.HasExited() }, waitTimeout, tickInterval)
	require.False(t, p.HasExited(), "the signal ended the process")
	p.signal(syscall.SIGTERM, processTerminating)
	p.requireCleanExit(t)
}

// Guards against a SIGTERM that kills a process which is starting instead of stopping it
// in order: it may have read requests already.
func testSIGTERMDuringStartStopsProcessInOrder(t *testing.T, binary string) {
	p, store := newSingleProcess(t, binary, 23)
	addDesk(t, store, func(http.ResponseWriter, *http.Request) {})
	p.startAndSignal(t, syscall.SIGTERM)
	p.requireCleanExit(t)
}

// Guards against a process without a configuration that does not answer, or does not exit,
// after SIGTERM.
func testSIGTERMWithoutConfigurationAnswersAndExits(t *testing.T, binary string) {
	p, _ := newSingleProcess(t, binary, 22)
	p.start(t)
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", p.clientAddress)
		if err == nil {
			conn.Close()
		}
		return err == nil
	}, waitTimeout, tickInterval)
	receive := p.sendBooking(t)
	p.signal(syscall.SIGTERM, processTerminating)
	status, _ := receive()
	require.Equal(t, http.StatusServiceUnavailable, status)
	receive = p.sendBooking(t)
	status, _ = receive()
	require.Equal(t, http.StatusServiceUnavailable, status)
	p.requireCleanExit(t)
}

func TestSignals(t *testing.T) {
	binary := testproc.BuildDaemon(t)
	for name, test := range map[string]func(*testing.T, string){
		"signals during the drain":               testSignalsDuringDrainCutNoWork,
		"unsafe request at the end of the drain": testUnsafeRequestAtEndOfDrainIsAnswered,
		"SIGHUP during the start":                testSIGHUPDuringStartDoesNotEndProcess,
		"SIGTERM during the start":               testSIGTERMDuringStartStopsProcessInOrder,
		"SIGTERM without a configuration":        testSIGTERMWithoutConfigurationAnswersAndExits,
	} {
		t.Run(name, func(t *testing.T) { test(t, binary) })
	}
}
