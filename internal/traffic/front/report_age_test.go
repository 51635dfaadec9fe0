package front_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
)

// Guards against the load report in the head of a stream that counts as new at its end.
func TestReportAtTheEndOfAStreamIsAsOldAsItsHead(t *testing.T) {
	const duration = 20 * time.Millisecond
	started := make(chan struct{})
	endpoint := startEndpoint(t, func(r *receivedRequest) bool {
		r.readBody()
		fmt.Fprintf(r.Conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nServer-Load: 3,1,64\r\nContent-Type: text/event-stream\r\n"+
			"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", r.requestID(), len(sseEvent(1)), sseEvent(1))
		<-started
		time.Sleep(duration)
		_, err := io.WriteString(r.Conn, "0\r\n\r\n")
		return err == nil
	})
	control := startServer(t, true, endpoint)
	post := control.server.Post
	control.server.Post = func(e event.Event) {
		if _, ok := e.(event.DirectAnswerStarted); ok {
			close(started)
		}
		post(e)
	}
	_, _, err := control.send(t, "r1", "prompt", nil)
	require.NoError(t, err)
	end := control.attemptEnd(0)
	require.Equal(t, 3, end.Report.Running)
	require.GreaterOrEqual(t, end.Report.Age, duration)
}
