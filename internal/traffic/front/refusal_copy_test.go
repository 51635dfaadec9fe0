package front_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
)

const refusalFormat = "HTTP/1.1 503 Service Unavailable\r\n%sNot-Executed: 1\r\nServer-Seal: s\r\nContent-Length: 0\r\n\r\n"

// Guards against an endpoint's refusal of an earlier attempt that is taken for its answer
// to the next attempt of the same request: the request runs, and the client is told that
// it did not, or it runs again elsewhere.
func TestCopyOfEarlierRefusalIsNotTakenForNextAttempt(t *testing.T) {
	for _, stream := range []bool{false, true} {
		endpoint := startEndpoint(t, func(r *receivedRequest) bool {
			r.readBody()
			refusal := fmt.Sprintf(refusalFormat, "Attempt-Id: "+r.requestID()+"\r\n")
			if r.requestNumber > 1 || r.connNumber == 1 {
				_, _ = io.WriteString(r.Conn, refusal)
			}
			if r.requestNumber == 1 && r.connNumber == 1 {
				return true
			}
			if stream {
				_, _ = io.WriteString(r.Conn, "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n")
				return true
			}
			r.respond(r.requestID(), "done")
			return true
		})
		control := startServer(t, stream, endpoint, endpoint)
		resp, _, err := control.send(t, "r1", "x", nil)
		require.NoError(t, err)
		require.Equal(t, event.DirectDeclined, control.attemptEnd(0).Status)
		require.Equal(t, event.DirectAnswered, control.attemptEnd(1).Status, control.attemptEnd(1).Reason)
		require.Equal(t, 200, resp.StatusCode)
	}
}

// Guards against a refusal of an earlier request that is taken for the answer to the next
// request on the connection, with the id of the earlier one and without any.
func TestCopyOfRefusalOfOtherRequestIsSkipped(t *testing.T) {
	for _, id := range []string{"Attempt-Id: r1\r\n", ""} {
		endpoint := startEndpoint(t, func(r *receivedRequest) bool {
			r.readBody()
			if r.requestID() == "r1" {
				_, _ = fmt.Fprintf(r.Conn, refusalFormat, "Attempt-Id: r1\r\n")
				return true
			}
			if r.requestNumber > 1 {
				_, _ = fmt.Fprintf(r.Conn, refusalFormat, id)
			}
			r.respond(r.requestID(), "done")
			return true
		})
		control := startServer(t, false, endpoint)
		_, _, err := control.send(t, "r1", "x", nil)
		require.NoError(t, err)
		resp, body, err := control.send(t, "r2", "x", nil)
		require.NoError(t, err)
		require.Equal(t, 200, resp.StatusCode)
		require.Equal(t, "done", body)
	}
}
