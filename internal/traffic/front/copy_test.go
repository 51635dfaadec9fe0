package front_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a second copy of an answer on a connection that is in use again: the
// next caller must get its own answer or none, for each moment at which the copy may
// arrive, whole or torn, with and without proof, buffered or streamed.
func TestSecondCopyIsNeverTakenForNextAnswer(t *testing.T) {
	answer := func(id, body, proof string, stream bool) string {
		head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\n" + proof
		if stream {
			event := "id: 1\ndata: " + body + "\n\n"
			return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(event), event)
		}
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	for _, stream := range []bool{false, true} {
		for _, proof := range []string{"Server-Seal: s\r\n", ""} {
			for _, moment := range []string{"with the answer", "before the body", "after the request"} {
				for _, torn := range []int{0, 1, 20, 60} {
					name := fmt.Sprintf("stream=%t/proof=%t/%s/torn=%d", stream, proof != "", moment, torn)
					t.Run(name, func(t *testing.T) {
						endpoint := startEndpoint(t, func(r *receivedRequest) bool {
							again := answer("r1", "first", proof, stream)
							again = again[:max(0, len(again)-torn)]
							write := func(text string) { _, _ = io.WriteString(r.Conn, text) }
							if r.requestID() == "r1" {
								r.readBody()
								text := answer("r1", "first", "Server-Seal: s\r\n", stream)
								if moment == "with the answer" {
									text += again
								}
								write(text)
								return true
							}
							if moment == "before the body" && r.requestNumber > 1 {
								write(again)
							}
							r.readBody()
							if moment == "after the request" && r.requestNumber > 1 {
								write(again)
							}
							write(answer(r.requestID(), "second", "Server-Seal: s\r\n", stream))
							return true
						})
						control := startServer(t, stream, endpoint)
						_, body, err := control.send(t, "r1", "x", nil)
						require.NoError(t, err)
						require.Contains(t, body, "first")
						resp, body, err := control.send(t, "r2", "x", nil)
						require.NotContains(t, body, "first")
						if err == nil && resp.StatusCode == 200 {
							require.Contains(t, body, "second")
							require.Equal(t, "r2", resp.Header.Get("Attempt-Id"))
						}
					})
				}
			}
		}
	}
}
