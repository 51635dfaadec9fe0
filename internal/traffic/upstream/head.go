package upstream

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// maxHeadBytes bounds the status line and the headers of a response. Endpoints send
// less than one kilobyte; a faulty one may send bytes without end.
const maxHeadBytes = 64 << 10

// errHeadTooLong ends a response whose head exceeds maxHeadBytes.
var errHeadTooLong = errors.Errorf("the head of the answer exceeds %d bytes", maxHeadBytes)

// headLimit is a reader that fails after a number of bytes while a head is read.
// Without a limit, the parser of the head would allocate all that arrives.
type headLimit struct {
	source io.Reader
	// active is true while a head is read, of which remaining bytes may still arrive.
	active    bool
	remaining int
}

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.active {
		return l.source.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.source.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// readHead reads the status line and the headers of a response.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.limit.active, c.limit.remaining = true, maxHeadBytes
	defer func() { c.limit.active = false }()
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}
