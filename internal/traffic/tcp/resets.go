package tcp

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errResetWhileWriting ends the reads of a connection that was reset.
var errResetWhileWriting = errors.New("the connection was reset while the request was written")

// DetectResets returns a connection whose reads end with io.EOF only if the peer has closed it
// in order. The system reports a reset once: if a write receives it, the next read returns
// io.EOF, and what the peer has sent so far looks complete.
func DetectResets(c net.Conn) net.Conn { return &resetDetector{Conn: c} }

type resetDetector struct {
	net.Conn
	// writing is held while a write is in progress.
	writing sync.Mutex
	// writeErr is the first error of a write. writing guards it.
	writeErr error
}

// Write implements net.Conn.
func (c *resetDetector) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *resetDetector) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	// The peer sends nothing more. A write that still waits for it ends here, without having
	// received a reset.
	if deadlineErr := c.SetWriteDeadline(time.Unix(1, 0)); deadlineErr != nil {
		return n, deadlineErr
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil && !errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return n, errResetWhileWriting
	}
	return n, io.EOF
}
