package wire

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// Guards against fields that are lost or swapped by the encoding, in particular fields of
// embedded structs.
func TestDispatchRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		want := Dispatch{
			Dispatch: event.Dispatch{
				Holder:         table.Holder{Process: "router-1", Incarnation: table.Incarnation(rapid.Uint64().Draw(rt, "incarnation"))},
				Request:        table.RequestID(rapid.String().Draw(rt, "request")),
				Attempt:        rapid.Uint32().Draw(rt, "attempt"),
				ChargeLimit:    table.Tokens(rapid.Int64().Draw(rt, "limit")),
				StartPosition:  table.Tokens(rapid.Int64().Draw(rt, "position")),
				GrantExpiresAt: table.Instant(rapid.Int64().Draw(rt, "expires")),
			},
			Prompt: rapid.String().Draw(rt, "prompt"),
			Prefix: rapid.String().Draw(rt, "prefix"),
			Body:   rapid.SliceOfN(rapid.Byte(), 1, 64).Draw(rt, "body"),
		}
		buf, err := AppendFrame(nil, TypeDispatch, &want)
		require.NoError(rt, err)
		f, err := ReadFrame(bytes.NewReader(buf))
		require.NoError(rt, err)
		require.Equal(rt, TypeDispatch, f.Type)
		got, err := Decode[Dispatch](f)
		require.NoError(rt, err)
		require.Equal(rt, want, got)
	})
}

// Guards against allocating memory for a frame that a peer announces but doesn't send.
func TestOversizedFrameIsRejectedBeforeBodyIsRead(t *testing.T) {
	header := binary.BigEndian.AppendUint32(nil, MaxFrame+1)
	_, err := ReadFrame(io.MultiReader(bytes.NewReader(header), unexpectedReader{t}))
	require.ErrorIs(t, err, ErrFrameTooLong)
}

// unexpectedReader fails the test when it is read.
type unexpectedReader struct{ t *testing.T }

func (r unexpectedReader) Read([]byte) (int, error) {
	r.t.Error("the body of an oversized frame was read")
	return 0, io.EOF
}

// Guards against accepting a partial frame after the connection was closed in the middle of it.
func TestTruncatedFrameIsAnError(t *testing.T) {
	buf, err := AppendFrame(nil, TypeHeartbeat, &event.Heartbeat{Clock: 1})
	require.NoError(t, err)
	for length := 1; length < len(buf); length++ {
		_, err := ReadFrame(bytes.NewReader(buf[:length]))
		require.Error(t, err)
	}
}

// Guards against decode errors at older peers when a newer release adds a field to a message.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	type extendedCancel struct {
		Request table.RequestID
		Attempt uint32
		Extra   string
	}
	buf, err := AppendFrame(nil, TypeCancel, &extendedCancel{Request: "c/k", Attempt: 2, Extra: "new"})
	require.NoError(t, err)
	f, err := ReadFrame(bytes.NewReader(buf))
	require.NoError(t, err)
	got, err := Decode[Cancel](f)
	require.NoError(t, err)
	require.Equal(t, Cancel{Request: "c/k", Attempt: 2}, got)
}

// FuzzReadFrame guards against input that makes the decoder panic or allocate far more memory
// than the size of the input.
func FuzzReadFrame(f *testing.F) {
	for _, body := range []any{&event.Heartbeat{Clock: 5}, &Dispatch{Prompt: "p"}, &Hello{Version: Version}} {
		buf, err := AppendFrame(nil, TypeDispatch, body)
		require.NoError(f, err)
		f.Add(buf)
	}
	f.Add([]byte{0, 0, 0, 1, 0xc1})
	f.Add([]byte{0, 0, 0, 5, 0x92, 0xcc, 3, 0xdd, 0xff})
	f.Add([]byte{0, 0, 0, 7, 0x92, 3, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, input []byte) {
		frame, err := ReadFrame(bytes.NewReader(input))
		if err != nil {
			return
		}
		// The decoders may return an error but must not panic or hang.
		_, _ = Decode[Dispatch](frame)
		_, _ = Decode[Hello](frame)
		_, _ = Decode[event.Heartbeat](frame)
	})
}
