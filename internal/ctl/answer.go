package ctl

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	v1 "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
)

// answer collects one stream of Generate and checks that it is whole.
type answer struct {
	started  *v1.Started
	finished *v1.Finished
	// next is the position of the next token.
	next int64
	// text is the answer so far, with the part received earlier if it is known.
	text strings.Builder
	// partial is true if the answer resumes behind text that is not known, so
	// that its checksum cannot be compared.
	partial bool
	// faulty is true if text was lost or changed, so that it cannot be resumed.
	faulty bool
}

// newAnswer starts at a position; received is the text before it.
func newAnswer(position int64, received string) *answer {
	a := &answer{next: position, partial: position > 0 && received == ""}
	a.text.WriteString(received)
	return a
}

// accept takes the next message of the stream and returns the text to print.
func (a *answer) accept(m *v1.GenerateResponse) (string, error) {
	text, err := a.take(m)
	a.faulty = a.faulty || err != nil
	return text, err
}

func (a *answer) take(m *v1.GenerateResponse) (string, error) {
	if a.finished != nil {
		return "", errors.New("a message follows the end of the answer")
	}
	switch e := m.GetEvent().(type) {
	case *v1.GenerateResponse_Started:
		a.started = e.Started
	case *v1.GenerateResponse_Finished:
		a.finished = e.Finished
	case *v1.GenerateResponse_Chunk:
		return a.acceptChunk(e.Chunk)
	}
	return "", nil
}

func (a *answer) acceptChunk(c *v1.Chunk) (string, error) {
	if c.GetPosition() != a.next {
		return "", errors.Errorf("a chunk starts at token %d; token %d is next", c.GetPosition(), a.next)
	}
	if c.GetTokens() < 0 {
		return "", errors.Errorf("a chunk has %d tokens", c.GetTokens())
	}
	a.next += c.GetTokens()
	a.text.WriteString(c.GetText())
	return c.GetText(), nil
}

// check returns why the answer is not whole, or nil.
func (a *answer) check() error {
	if a.finished == nil {
		return errors.New("the stream ended without its end marker")
	}
	if want := a.finished.GetOutputTokens(); a.next != want {
		a.faulty = true
		return errors.Errorf("%d tokens arrived; the end marker says %d", a.next, want)
	}
	if a.partial {
		return nil
	}
	sum := fmt.Sprintf("%016x", xxhash.Sum64String(a.text.String()))
	if want := a.finished.GetChecksum(); sum != want {
		a.faulty = true
		return errors.Errorf("the checksum of the text is %s; the end marker says %s", sum, want)
	}
	return nil
}

// answerJSON is an answer in JSON output.
type answerJSON struct {
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key"`
	Text           string `json:"text"`
	Tokens         int64  `json:"tokens"`
	Charged        int64  `json:"charged"`
	Whole          bool   `json:"whole"`
	// ChecksumCompared is false for an answer that resumed behind unknown text.
	ChecksumCompared bool   `json:"checksum_compared"`
	Problem          string `json:"problem,omitempty"`
	// Failure is the server's refusal or the failure of the stream.
	Failure any `json:"failure,omitempty"`
}

// report decides on the answer after the stream has ended. streamErr is the
// error of the API, fault the one of accept; both may be nil.
func (a *answer) report(streamErr, fault error) Outcome {
	if streamErr != nil && a.started == nil {
		return refusedWork(streamErr)
	}
	j := a.json()
	if streamErr != nil {
		out := refusedWork(streamErr)
		j.Problem, j.Failure = "the stream failed", out.JSON
		out.JSON, out.Message = j, a.incomplete("the stream failed")+"\n"+out.Message
		return out
	}
	if fault == nil {
		fault = a.check()
	}
	if fault != nil {
		j.Problem = fault.Error()
		return Outcome{Exit: ExitFailed, JSON: j, Message: a.incomplete(fault.Error())}
	}
	j.Whole = true
	j.ChecksumCompared = !a.partial
	return Outcome{JSON: j, Message: a.summary()}
}

func (a *answer) json() answerJSON {
	return answerJSON{
		RequestID:      a.started.GetRequestId(),
		IdempotencyKey: a.started.GetIdempotencyKey(),
		Text:           a.text.String(),
		Tokens:         a.next,
		Charged:        a.finished.GetCharged(),
	}
}

// incomplete says how to get the rest of the answer, or all of it if the text
// received so far cannot be trusted.
func (a *answer) incomplete(why string) string {
	text := "the answer is incomplete: " + why
	key := a.started.GetIdempotencyKey()
	switch {
	case key == "":
	case a.faulty:
		text += fmt.Sprintf("\nto read it again: -key %s -retry", key)
	default:
		text += fmt.Sprintf("\nto resume: -key %s -retry -position %d", key, a.next)
	}
	return text
}

func (a *answer) summary() string {
	f := a.finished
	text := fmt.Sprintf("request %s, key %s: %d prompt tokens, %d output tokens, charged %d",
		a.started.GetRequestId(), a.started.GetIdempotencyKey(), f.GetPromptTokens(), f.GetOutputTokens(), f.GetCharged())
	if a.partial {
		text += "\nthe checksum was not compared: the text before the position is not known (see -received)"
	}
	return text
}
