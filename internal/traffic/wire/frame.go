// Package wire is the protocol between the project's own processes: TCP
// sessions with length-prefixed msgpack frames.
package wire

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxFrame is the longest accepted frame body in bytes. It bounds the memory
// that a peer can make this process allocate.
const MaxFrame = 1 << 20

const headerSize = 4

// ErrFrameTooLong is returned for frames above MaxFrame.
var ErrFrameTooLong = errors.New("frame exceeds 1 MiB")

// Frame is one message: a type and its encoded body.
type Frame struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec through reflection.
	Type     Type
	Body     msgpack.RawMessage
}

// AppendFrame encodes a message and appends its frame to buf.
func AppendFrame(buf []byte, t Type, body any) ([]byte, error) {
	raw, err := encode(body)
	if err != nil {
		return buf, errors.Wrapf(err, "encode %s", t)
	}
	frame, err := encode(&Frame{Type: t, Body: raw})
	if err != nil {
		return buf, errors.Wrapf(err, "encode frame of %s", t)
	}
	if len(frame) > MaxFrame {
		return buf, ErrFrameTooLong
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(frame)))
	return append(buf, frame...), nil
}

// ReadFrame reads one frame.
func ReadFrame(r io.Reader) (Frame, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrame {
		return Frame{}, ErrFrameTooLong
	}
	var body bytes.Buffer
	// Copying in steps keeps memory in proportion to what the peer really sent.
	if _, err := io.CopyN(&body, r, int64(size)); err != nil {
		return Frame{}, errors.Wrap(err, "read frame body")
	}
	return decodeFrame(body.Bytes())
}

func decodeFrame(b []byte) (Frame, error) {
	var f Frame
	if err := msgpack.Unmarshal(b, &f); err != nil {
		return Frame{}, errors.Wrap(err, "decode frame")
	}
	return f, nil
}

// Decode decodes the body of a frame.
func Decode[T any](f Frame) (T, error) {
	var v T
	err := msgpack.Unmarshal(f.Body, &v)
	return v, errors.Wrapf(err, "decode %s", f.Type)
}

// encode writes structs as arrays: bodies are short, and a field may be added
// at the end of a struct without breaking older peers.
func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}
