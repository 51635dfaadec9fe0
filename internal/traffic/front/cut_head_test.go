package front_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
)

// Guards against an answer whose head is cut off anywhere and that reaches the client as a
// success with an empty or short body.
func TestAnswerCutInHeadIsNoSuccess(t *testing.T) {
	const proven = "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n"
	for name, c := range map[string]struct {
		head   string
		stream bool
	}{
		"length":         {proven + "Content-Length: 120\r\n\r\n", false},
		"chunks":         {proven + "Transfer-Encoding: chunked\r\n\r\n", false},
		"unframed":       {proven + "Connection: close\r\n\r\n", false},
		"interim":        {"HTTP/1.1 100 Continue\r\n\r\n" + proven + "Content-Length: 4\r\n\r\n", false},
		"HTTP/1.0":       {strings.Replace(proven, "1.1", "1.0", 1) + "\r\n", false},
		"bare newlines":  {strings.ReplaceAll(proven+"\r\n", "\r\n", "\n"), false},
		"stream":         {proven + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		"unframed event": {proven + "Content-Type: text/event-stream\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := startEndpoint(t, func(r *receivedRequest) bool {
				r.readBody()
				head := fmt.Sprintf(c.head, r.requestID())
				length, err := strconv.Atoi(r.requestID())
				require.NoError(t, err)
				_, err = io.WriteString(r.Conn, head[:length])
				require.NoError(t, err)
				return false
			})
			control := startServer(t, c.stream, endpoint)
			for length := range len(fmt.Sprintf(c.head, "100")) {
				resp, _, err := control.send(t, fmt.Sprintf("%03d", length), "", nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusBadGateway, resp.StatusCode, "%d bytes", length)
				require.Empty(t, resp.Header.Get("Server-Seal"))
				require.Equal(t, event.DirectOutcomeUnknown, control.attemptEnd(length).Status)
			}
		})
	}
}
