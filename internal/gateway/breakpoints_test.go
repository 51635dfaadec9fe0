package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against work that runs again, or that the caller is told did not run, after
// its answer was lost: for each kind of request and each point at which the connection
// can break.
func TestLostAnswerIsNeverReportedAsNotRun(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nContent-Length: 6\r\n\r\nbooked"
	breakPoints := map[string]int{
		"before the answer": 0, "in the status line": 8, "after the status line": 17, "in a header": 30,
		"before the body": len(whole) - 6, "in the body": len(whole) - 3,
	}
	const maxRefusals = 600
	for name, length := range breakPoints {
		for _, reset := range []bool{false, true} {
			for _, path := range []string{"/booking/1", "/review/1"} {
				t.Run(fmt.Sprintf("%s/reset=%t%s", name, reset, path), func(t *testing.T) {
					var mu sync.Mutex
					runs := map[string]int{}
					breakOff := func(w http.ResponseWriter, r *http.Request) {
						_, err := io.Copy(io.Discard, r.Body)
						if err != nil {
							return
						}
						id := r.Header.Get("Attempt-Id")
						mu.Lock()
						runs[id]++
						mu.Unlock()
						conn, _, err := w.(http.Hijacker).Hijack()
						if err != nil {
							return
						}
						text := fmt.Sprintf(whole, id)
						_, _ = io.WriteString(conn, text[:min(length, len(text)-1)])
						if reset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
						conn.Close()
					}
					c := newTestCluster(t)
					c.startEndpoint("i-1", "desk", breakOff)
					c.startEndpoint("i-2", "desk", breakOff)
					c.startEndpoint("i-3", "model", breakOff)
					c.startEndpoint("i-4", "model", breakOff)
					c.putConfig(1, 100_000)
					gw := c.startGateway("edge-1")
					gw.waitReady()
					runsOf := func(id string) int {
						mu.Lock()
						defer mu.Unlock()
						return runs[id]
					}
					var refused []string
					for ended := 0; ended < 3; {
						id := fmt.Sprintf("r-%d-%d", ended, len(refused))
						status, _, err := gw.postRequest(path, id, "10,10")
						if err == nil && status == http.StatusTooManyRequests && ended == 0 {
							// The router has no limit in the ledger yet.
							refused = append(refused, id)
							require.Less(t, len(refused), maxRefusals)
							continue
						}
						if err == nil {
							require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, status)
						}
						require.Equal(t, 1, runsOf(id))
						ended++
					}
					gw.requestExit(0)
					require.NoError(t, <-gw.exited)
					for _, id := range refused {
						require.Zero(t, runsOf(id), "a refused request never runs")
					}
				})
			}
		}
	}
}
