package front

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// firstReadBytes is the size of the first buffer of a body, which doubles as it
	// fills.
	firstReadBytes = 4 << 10
	// defaultMemoryBytes bounds buffered bodies if the memory of the host is unknown.
	defaultMemoryBytes = 64 << 20
)

var (
	errBodyTooLarge = errors.New("the body is too large")
	errNoMemory     = errors.New("no memory is left for bodies")
)

// Memory bounds the bytes of request and response bodies that a server buffers at the
// same time: a few large ones would use up the memory of a small host. It is safe for
// concurrent use.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a budget of the given number of bytes; 0 means the default.
func NewMemory(limit int64) *Memory {
	if limit <= 0 {
		limit = defaultMemoryBytes
	}
	return &Memory{limit: limit}
}

// acquire takes bytes from the budget and reports whether there were enough. It takes
// nothing otherwise, not even for a moment: that would refuse others that have room.
func (m *Memory) acquire(n int64) bool {
	for {
		used := m.used.Load()
		if used+n > m.limit {
			return false
		}
		if m.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

func (m *Memory) release(n int64) { m.used.Add(-n) }

// readAll reads up to maxBytes until the end of r. It takes the memory for the buffer
// from the budget and returns how much it took, also with an error.
func (m *Memory) readAll(r io.Reader, maxBytes int64) (data []byte, taken int64, err error) {
	for {
		if len(data) == cap(data) {
			size := min(max(firstReadBytes, 2*int64(cap(data))), maxBytes+1)
			if !m.acquire(size - taken) {
				return nil, taken, errNoMemory
			}
			taken = size
			grown := make([]byte, len(data), size)
			copy(grown, data)
			data = grown
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > maxBytes:
			// The buffer has room for one byte more than allowed.
			return nil, taken, errBodyTooLarge
		case err == io.EOF:
			return data, taken, nil
		case err != nil:
			return nil, taken, err
		}
	}
}
