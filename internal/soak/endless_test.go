package soak

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/testproc"
)

// endlessAnswers are the parts of an answer that an endpoint may send without end: what
// comes first, and what is repeated.
var endlessAnswers = []struct{ start, repeated string }{
	{"HTTP/1.1 200 ", "OK"},
	{"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n", "X-More: 1\r\n"},
	{"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n\r\n", "abcd"},
	{"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
	{"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: 1\r\n"},
	{"HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n\r\n", "abcd"},
}

// Guards against a process that runs out of memory, and ends with the requests of all its
// clients, because endpoints send bytes without end to many requests at once.
func TestEndlessAnswersDoNotEndProcess(t *testing.T) {
	const requestsPerKind = 16
	p, store := newSingleProcess(t, testproc.BuildDaemon(t), 24)
	kinds := make(chan int, requestsPerKind*len(endlessAnswers))
	for range requestsPerKind {
		for kind := range endlessAnswers {
			kinds <- kind
		}
	}
	close(kinds)
	addDesk(t, store, func(w http.ResponseWriter, r *http.Request) {
		kind, left := <-kinds
		if !left {
			_, _ = io.WriteString(w, "booked")
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		answer := endlessAnswers[kind]
		_, err = io.WriteString(conn, strings.Replace(answer.start, "%s", r.Header.Get("Attempt-Id"), 1))
		for block := []byte(strings.Repeat(answer.repeated, 4<<10)); err == nil; {
			_, err = conn.Write(block)
		}
	})
	p.start(t)
	require.Eventually(t, p.isReady, waitTimeout, tickInterval)
	var wg sync.WaitGroup
	for n := range cap(kinds) {
		receive := p.sendBookingAs(t, fmt.Sprintf("endless-%d", n))
		wg.Add(1)
		go func() {
			defer wg.Done()
			receive()
		}()
	}
	wg.Wait()
	// A request that finds no memory for its body is refused; others take its place.
	more := 0
	require.Eventually(t, func() bool {
		if len(kinds) > 0 {
			more++
			p.sendBookingAs(t, fmt.Sprintf("more-%d", more))()
		}
		return len(kinds) == 0
	}, waitTimeout, tickInterval)
	sound := 0
	require.Eventually(t, func() bool {
		sound++
		status, body := p.sendBookingAs(t, fmt.Sprintf("sound-%d", sound))()
		return status == http.StatusOK && body == "booked"
	}, waitTimeout, tickInterval)
	require.False(t, p.HasExited())
	require.Less(t, p.PeakMemory(t), memoryLimit)
	t.Logf("peak memory: %d MB", p.PeakMemory(t)>>20)
}
