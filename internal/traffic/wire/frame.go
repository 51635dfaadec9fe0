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
// that a peer can make this process allocate, and holds a prompt of 1 MiB with
// the text delivered before a continuation.
const MaxFrame = 4 << 20

const (
	headerSize = 4
	typeSize   = 1
)

// ErrFrameTooLong is returned for frames above MaxFrame.
var ErrFrameTooLong = errors.New("frame exceeds 4 MiB")

// Frame is one message: a type and its encoded body.
type Frame struct {
	Type Type
	Body []byte
}

// AppendFrame encodes a message and appends its frame to buf: the length of
// what follows, the type in one byte, and the body.
func AppendFrame(buf []byte, t Type, body any) ([]byte, error) {
	raw, err := encode(body)
	if err != nil {
		return buf, errors.Wrapf(err, "encode %s", t)
	}
	if len(raw)+typeSize > MaxFrame {
		return buf, ErrFrameTooLong
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(raw)+typeSize))
	buf = append(buf, byte(t))
	return append(buf, raw...), nil
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
	if size < typeSize {
		return Frame{}, errors.New("frame has no type")
	}
	var body bytes.Buffer
	// Copying in steps keeps memory in proportion to what the peer really sent.
	if _, err := io.CopyN(&body, r, int64(size)); err != nil {
		return Frame{}, errors.Wrap(err, "read frame body")
	}
	return Frame{Type: Type(body.Bytes()[0]), Body: body.Bytes()[typeSize:]}, nil
}

// Decode decodes the body of a frame.
func Decode[T any](f Frame) (T, error) {
	var v T
	err := msgpack.Unmarshal(f.Body, &v)
	return v, errors.Wrapf(err, "decode %s", f.Type)
}

// encode writes structs as maps by field name without zero values, so that
// peers of different releases understand each other when a field is added.
func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.SetOmitEmpty(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}
