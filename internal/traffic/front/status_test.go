package front_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
)

// Guards against an answer of an endpoint in trouble that reaches the client although its
// status is none, and against bytes behind it that are taken for the answer.
func TestAnswerWithInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "00", "0", "1000", "2x0", "-200", "0200"} {
		for name, following := range map[string]string{"alone": "", "before an answer": responseHead + "Content-Length: 5\r\n\r\nwrong"} {
			t.Run(status+" "+name, func(t *testing.T) {
				endpoint := startEndpoint(t, func(r *receivedRequest) bool {
					r.readBody()
					_, err := io.WriteString(r.Conn, "HTTP/1.1 "+status+" Trouble\r\nAttempt-Id: r1\r\nServer-Seal: s\r\n\r\n"+following)
					require.NoError(t, err)
					return false
				})
				control := startServer(t, false, endpoint)
				resp, body, err := control.send(t, "r1", "", nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusBadGateway, resp.StatusCode)
				require.NotContains(t, body, "wrong")
				require.Equal(t, event.DirectOutcomeUnknown, control.attemptEnd(0).Status)
			})
		}
	}
}

// Guards against a continued stream whose last part counts as complete although its
// connection was reset while the request was still being written there.
func TestResetOfContinuationIsDetectedWhileRequestIsWritten(t *testing.T) {
	first := startEndpoint(t, func(r *receivedRequest) bool {
		r.readBody()
		_, err := io.WriteString(r.Conn, unframed+sseEvents(2)+"id: 3\nda")
		require.NoError(t, err)
		return false
	})
	second := startEndpoint(t, func(r *receivedRequest) bool {
		_, err := io.WriteString(r.Conn, unframed+sseEvent(3))
		require.NoError(t, err)
		require.NoError(t, r.Conn.(*net.TCPConn).SetLinger(0))
		return false
	})
	control := startServer(t, true, first, second)
	control.server.BodyLimit.Store(int64(len(unreadBody)))
	for i := range 10 {
		_, body, err := control.send(t, "r1", unreadBody, nil)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		require.Contains(t, []string{sseEvents(2), sseEvents(3)}, body)
		require.Equal(t, event.DirectOutcomeUnknown, control.attemptEnd(2*i+1).Status)
	}
}
