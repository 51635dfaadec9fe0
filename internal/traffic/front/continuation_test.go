package front_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
)

// Guards against a client that finds the text or the head of an error in the middle of its
// stream, or an end that looks complete, because the stream broke off and the next
// endpoint answered with an error.
func TestErrorAfterBrokenStreamDoesNotReachClient(t *testing.T) {
	sized := func(head, body string) string {
		return "HTTP/1.1 " + head + fmt.Sprintf("Attempt-Id: r1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	chunked := func(head, body string) string {
		return "HTTP/1.1 " + head + fmt.Sprintf("Attempt-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	const proof = "Server-Seal: s\r\n"
	for name, answer := range map[string]string{
		"500":                    sized("500 Internal Server Error\r\n"+proof, "error: out of memory\n\n"),
		"500 as events":          sized("500 Internal Server Error\r\n"+proof, "id: 3\ndata: out of memory\n\n"),
		"500 without proof":      sized("500 Internal Server Error\r\n", "error: out of memory\n\n"),
		"404":                    sized("404 Not Found\r\n"+proof, "error: no such path\n\n"),
		"declined":               sized("503 Service Unavailable\r\nNot-Executed: 1\r\n"+proof, "error: busy\n\n"),
		"503":                    sized("503 Service Unavailable\r\n"+proof, "error: busy\n\n"),
		"421":                    sized("421 Misdirected Request\r\n", "error: not here\n\n"),
		"204":                    "HTTP/1.1 204 No Content\r\nAttempt-Id: r1\r\n" + proof + "\r\n",
		"200 without proof":      sized("200 OK\r\n", "id: 3\ndata: x\n\n"),
		"200 with a text":        sized("200 OK\r\nContent-Type: text/plain\r\n"+proof, "error: out of memory\n\n"),
		"200 with chunked text":  chunked("200 OK\r\nContent-Type: text/plain\r\n"+proof, "error: out of memory\n\n"),
		"200 with JSON":          sized("200 OK\r\nContent-Type: application/json\r\n"+proof, "{\"error\": \"out of memory\"}\n\n"),
		"200 with a text event":  chunked("200 OK\r\nContent-Type: text/event-stream\r\n"+proof, "out of memory\n\n"),
		"200 with a head inside": chunked("200 OK\r\nContent-Type: text/event-stream\r\n"+proof, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"),
		"200 with an own field":  chunked("200 OK\r\nContent-Type: text/event-stream\r\n"+proof, "error: out of memory\n\n"),
		"200 with a later text":  chunked("200 OK\r\nContent-Type: text/event-stream\r\n"+proof, "out of memory\n\nid: 3\ndata: c\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			broken := startEndpoint(t, func(r *receivedRequest) bool {
				r.readBody()
				_, _ = io.WriteString(r.Conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: r1\r\n"+proof+
					"Transfer-Encoding: chunked\r\n\r\n1e\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n\r\n")
				return false
			})
			next := startEndpoint(t, func(r *receivedRequest) bool {
				r.readBody()
				_, _ = io.WriteString(r.Conn, answer)
				return false
			})
			control := startServer(t, true, broken, next)
			_, body, err := control.send(t, "r1", "x", nil)
			require.Error(t, err, "the end of the stream does not look complete")
			require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", body)
			require.NotEqual(t, event.DirectAnswered, control.attemptEnd(1).Status)
		})
	}
}
