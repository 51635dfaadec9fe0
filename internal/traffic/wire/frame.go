// Package wire implements the protocol between processes of the fleet: TCP sessions that carry
// length-prefixed msgpack frames.
package wire

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxFrame is the largest accepted frame in bytes, without its length field. It bounds the
// memory that a peer can make this process allocate, and has room for a 1 MiB prompt and the
// answer text so far that is sent with a continued attempt.
const MaxFrame = 4 << 20

// maxHelloFrame is the largest frame that a peer may send before it is known. A Hello lists at most
// the endpoints of one agent.
const maxHelloFrame = 256 << 10

const (
	lengthFieldSize = 4
	typeFieldSize   = 1
)

// ErrFrameTooLong is returned for frames larger than MaxFrame, or than maxHelloFrame before the
// peer is known.
var ErrFrameTooLong = errors.New("frame is too long")

// Frame is one message: a type and its encoded body.
type Frame struct {
	Type Type
	Body []byte
}

// AppendFrame encodes a message and appends its frame to buf: a 4-byte big-endian length of
// type and body, one byte for the type, and the body.
func AppendFrame(buf []byte, t Type, body any) ([]byte, error) {
	encoded, err := encode(body)
	if err != nil {
		return buf, errors.Wrapf(err, "encode %s", t)
	}
	if len(encoded)+typeFieldSize > MaxFrame {
		return buf, ErrFrameTooLong
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(encoded)+typeFieldSize))
	buf = append(buf, byte(t))
	return append(buf, encoded...), nil
}

// ReadFrame reads one frame.
func ReadFrame(r io.Reader) (Frame, error) {
	return readFrame(r, MaxFrame, func(int64) error { return nil })
}

// readFrame reads one frame of at most maxBytes. It calls admit with its size before it reads
// the body.
func readFrame(r io.Reader, maxBytes uint32, admit func(n int64) error) (Frame, error) {
	var header [lengthFieldSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxBytes {
		return Frame{}, ErrFrameTooLong
	}
	if size < typeFieldSize {
		return Frame{}, errors.New("frame has no type")
	}
	if err := admit(int64(size)); err != nil {
		return Frame{}, err
	}
	var body bytes.Buffer
	// The buffer grows with the data received, so a peer that only announces a large frame
	// can't make this process allocate memory for it.
	if _, err := io.CopyN(&body, r, int64(size)); err != nil {
		return Frame{}, errors.Wrap(err, "read frame body")
	}
	return Frame{Type: Type(body.Bytes()[0]), Body: body.Bytes()[typeFieldSize:]}, nil
}

// Decode decodes the body of a frame into a T. Fields that T doesn't have are ignored.
func Decode[T any](f Frame) (T, error) {
	var message T
	err := msgpack.Unmarshal(f.Body, &message)
	return message, errors.Wrapf(err, "decode %s", f.Type)
}

// encode writes structs as maps keyed by field name and omits zero values, so that processes of
// different releases can exchange messages after a field was added.
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
