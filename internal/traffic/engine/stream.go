package engine

import (
	"bufio"
	"context"
	"encoding/json"
	stderrors "errors"
	"io"

	"github.com/pkg/errors"
)

const (
	// maxLineBytes bounds one line of a stream.
	maxLineBytes = 256 << 10
	// maxStreamBytes bounds a whole stream: room for 100,000 tokens.
	maxStreamBytes = 16 << 20
)

// errEnded is returned by Next after Done or Close. It is not io.EOF, which
// loops over readers take for a whole answer.
var errEnded = stderrors.New("engine: the stream has ended")

// Delta is one step of an answer.
type Delta struct {
	// Tokens is the number of tokens in Text.
	Tokens int64
	Text   string
	// Done marks the end of a whole answer; the counts below are set with it.
	Done bool
	// PromptTokens counts the prompt without the prefix.
	PromptTokens int64
	// OutputTokens counts the tokens of this run, without the prefix.
	OutputTokens int64
}

// Stream is a running generation. It belongs to one goroutine.
type Stream struct {
	ctx    context.Context
	cancel context.CancelFunc
	body   io.ReadCloser
	lines  *bufio.Scanner
	// tokens is the number of tokens received, which never exceeds limit.
	tokens, limit int64
	// ended is the error that Next returns from now on.
	ended error
}

func newStream(ctx context.Context, cancel context.CancelFunc, body io.ReadCloser, limit int64) *Stream {
	lines := bufio.NewScanner(io.LimitReader(body, maxStreamBytes))
	s := &Stream{ctx: ctx, cancel: cancel, body: body, lines: lines, limit: limit}
	s.lines.Buffer(nil, maxLineBytes)
	return s
}

// Next waits for the next step. A stream that ends without Done gives
// ErrTruncated; if the connection broke, the error is ErrDown as well.
func (s *Stream) Next() (Delta, error) {
	if s.ended != nil {
		return Delta{}, s.ended
	}
	if !s.lines.Scan() {
		return Delta{}, s.fail(s.endCause())
	}
	d, err := parseLine(s.lines.Bytes())
	if err != nil && s.lines.Err() != nil {
		// The line was cut where the connection broke.
		err = s.endCause()
	}
	if err != nil {
		return Delta{}, s.fail(err)
	}
	if d.Tokens > s.limit-s.tokens {
		return Delta{}, s.fail(errors.Errorf("the answer exceeds its limit of %d tokens", s.limit))
	}
	s.tokens += d.Tokens
	if !d.Done {
		return d, nil
	}
	if d.OutputTokens != s.tokens {
		return Delta{}, s.fail(errors.Errorf("the answer has %d tokens, its end says %d", s.tokens, d.OutputTokens))
	}
	s.end(errEnded)
	return d, nil
}

// Close cancels the run if it has not ended and frees the connection.
func (s *Stream) Close() {
	if s.ended == nil {
		s.end(errEnded)
	}
}

// endCause says why there is no further line.
func (s *Stream) endCause() error {
	err := s.lines.Err()
	switch {
	case err == nil && s.ctx.Err() == nil:
		return errors.New("the stream ended without an end mark")
	case errors.Is(err, bufio.ErrTooLong):
		err = errors.WithMessagef(errTooLong, "limit %d bytes in a line", maxLineBytes)
	}
	return breakCause(s.ctx, err)
}

func (s *Stream) fail(cause error) error {
	s.end(failure(ErrTruncated, cause))
	return s.ended
}

func (s *Stream) end(err error) {
	s.ended = err
	s.cancel()
	s.body.Close()
}

func parseLine(line []byte) (Delta, error) {
	var wire struct {
		Tokens       int64  `json:"tokens"`
		Text         string `json:"text"`
		Done         bool   `json:"done"`
		PromptTokens int64  `json:"prompt_tokens"`
		OutputTokens int64  `json:"output_tokens"`
		Error        string `json:"error"`
	}
	if err := json.Unmarshal(line, &wire); err != nil {
		return Delta{}, err
	}
	switch {
	case wire.Error != "":
		return Delta{}, errors.Errorf("the engine reports %q", wire.Error)
	case wire.Tokens < 0 || wire.PromptTokens < 0 || wire.OutputTokens < 0:
		return Delta{}, errors.New("a token count is negative")
	}
	return Delta{
		Tokens:       wire.Tokens,
		Text:         wire.Text,
		Done:         wire.Done,
		PromptTokens: wire.PromptTokens,
		OutputTokens: wire.OutputTokens,
	}, nil
}
