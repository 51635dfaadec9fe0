package ctl

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	v1 "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
)

// answer collects the messages of a Generate stream and verifies that the answer
// is complete.
type answer struct {
	started  *v1.Started
	finished *v1.Finished
	// nextPosition is the position of the next token.
	nextPosition int64
	// text is the answer so far, including the part received earlier if it is known.
	text strings.Builder
	// prefixUnknown is true if the answer resumes after text that is not known, so
	// that its checksum cannot be compared.
	prefixUnknown bool
	// corrupt is true if text was lost or changed, so that the answer cannot be resumed.
	corrupt bool
}

// newAnswer returns an answer that starts at a position; received is the text
// before it, or empty if it is not known.
func newAnswer(position int64, received string) *answer {
	a := &answer{nextPosition: position, prefixUnknown: position > 0 && received == ""}
	a.text.WriteString(received)
	return a
}

// addMessage processes the next message of the stream and returns the text to
// print. After an error the answer is corrupt.
func (a *answer) addMessage(m *v1.GenerateResponse) (string, error) {
	text, err := a.processMessage(m)
	a.corrupt = a.corrupt || err != nil
	return text, err
}

func (a *answer) processMessage(m *v1.GenerateResponse) (string, error) {
	if a.finished != nil {
		return "", errors.New("a message follows the end of the answer")
	}
	switch event := m.GetEvent().(type) {
	case *v1.GenerateResponse_Started:
		a.started = event.Started
	case *v1.GenerateResponse_Finished:
		a.finished = event.Finished
	case *v1.GenerateResponse_Chunk:
		return a.addChunk(event.Chunk)
	}
	return "", nil
}

func (a *answer) addChunk(c *v1.Chunk) (string, error) {
	if c.GetPosition() != a.nextPosition {
		return "", errors.Errorf("a chunk starts at token %d; token %d is next", c.GetPosition(), a.nextPosition)
	}
	if c.GetTokens() < 0 {
		return "", errors.Errorf("a chunk has %d tokens", c.GetTokens())
	}
	a.nextPosition += c.GetTokens()
	a.text.WriteString(c.GetText())
	return c.GetText(), nil
}

// verify returns an error if the answer is not complete.
func (a *answer) verify() error {
	if a.finished == nil {
		return errors.New("the stream ended without its end marker")
	}
	if want := a.finished.GetOutputTokens(); a.nextPosition != want {
		a.corrupt = true
		return errors.Errorf("received %d tokens; the end marker says %d", a.nextPosition, want)
	}
	if a.prefixUnknown {
		return nil
	}
	checksum := fmt.Sprintf("%016x", xxhash.Sum64String(a.text.String()))
	if want := a.finished.GetChecksum(); checksum != want {
		a.corrupt = true
		return errors.Errorf("the checksum of the text is %s; the end marker says %s", checksum, want)
	}
	return nil
}

// answerJSON is the JSON output for an answer.
type answerJSON struct {
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key"`
	Text           string `json:"text"`
	Tokens         int64  `json:"tokens"`
	Charged        int64  `json:"charged"`
	Complete       bool   `json:"whole"`
	// ChecksumCompared is false for an answer that resumed after unknown text.
	ChecksumCompared bool   `json:"checksum_compared"`
	Problem          string `json:"problem,omitempty"`
	// Failure is the server's refusal or the failure of the stream.
	Failure any `json:"failure,omitempty"`
}

// outcome returns the outcome after the stream has ended. streamErr is the error
// of the API and messageErr the error of addMessage; both may be nil.
func (a *answer) outcome(streamErr, messageErr error) Outcome {
	if streamErr != nil && a.started == nil {
		return workErrorOutcome(streamErr)
	}
	j := a.toJSON()
	if streamErr != nil {
		out := workErrorOutcome(streamErr)
		j.Problem, j.Failure = "the stream failed", out.JSON
		out.JSON, out.Message = j, a.incompleteMessage("the stream failed")+"\n"+out.Message
		return out
	}
	if messageErr == nil {
		messageErr = a.verify()
	}
	if messageErr != nil {
		j.Problem = messageErr.Error()
		return Outcome{Exit: ExitFailed, JSON: j, Message: a.incompleteMessage(messageErr.Error())}
	}
	j.Complete = true
	j.ChecksumCompared = !a.prefixUnknown
	return Outcome{JSON: j, Message: a.summaryMessage()}
}

func (a *answer) toJSON() answerJSON {
	return answerJSON{
		RequestID:      a.started.GetRequestId(),
		IdempotencyKey: a.started.GetIdempotencyKey(),
		Text:           a.text.String(),
		Tokens:         a.nextPosition,
		Charged:        a.finished.GetCharged(),
	}
}

// incompleteMessage tells the caller how to get the rest of the answer, or all of
// it if the text received so far is corrupt.
func (a *answer) incompleteMessage(reason string) string {
	message := "the answer is incomplete: " + reason
	key := a.started.GetIdempotencyKey()
	switch {
	case key == "":
	case a.corrupt:
		message += fmt.Sprintf("\nto read it from the start: -key %s -retry", key)
	default:
		message += fmt.Sprintf("\nto resume: -key %s -retry -position %d", key, a.nextPosition)
	}
	return message
}

func (a *answer) summaryMessage() string {
	f := a.finished
	message := fmt.Sprintf("request %s, key %s: %d prompt tokens, %d output tokens, charged %d",
		a.started.GetRequestId(), a.started.GetIdempotencyKey(), f.GetPromptTokens(), f.GetOutputTokens(), f.GetCharged())
	if a.prefixUnknown {
		message += "\nthe checksum was not compared: the text before the position is not known (see -received)"
	}
	return message
}
