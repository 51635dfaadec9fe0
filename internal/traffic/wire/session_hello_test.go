package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against memory that an unknown peer makes the process allocate: a first message is
// bounded, and read only if there is room for the length that it announces.
func TestHelloIsAdmittedBeforeItIsRead(t *testing.T) {
	refused := errors.New("no room")
	for name, c := range map[string]struct {
		size uint32
		err  error
	}{"too long": {maxHelloFrame + 1, ErrFrameTooLong}, "no room": {maxHelloFrame, refused}} {
		t.Run(name, func(t *testing.T) {
			r := bytes.NewReader(append(binary.BigEndian.AppendUint32(nil, c.size), make([]byte, c.size)...))
			_, err := readFrame(r, maxHelloFrame, func(n int64) error {
				require.EqualValues(t, c.size, n)
				return refused
			})
			require.ErrorIs(t, err, c.err)
			require.EqualValues(t, c.size, r.Len(), "bytes of the message were read")
		})
	}
}
