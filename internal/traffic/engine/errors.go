package engine

import (
	"context"
	stderrors "errors"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"laburnumroad.dev/laburnumroad/internal/traffic/sendtrack"
)

// Errors of a call, for errors.Is. An error can match two of them: a refused
// connection is ErrNotRun and ErrDown, a broken stream ErrTruncated and ErrDown.
var (
	// ErrNotRun: the engine certainly ran nothing.
	ErrNotRun = stderrors.New("engine: not run")
	// ErrTruncated: the answer did not arrive whole; the work may have run.
	ErrTruncated = stderrors.New("engine: answer truncated")
	// ErrDown: the engine cannot be reached or the connection broke. Without
	// ErrNotRun, the work may have run.
	ErrDown = stderrors.New("engine: down")
	// ErrPromptTooLong: the prompt exceeds MaxTotalTokens; nothing ran.
	ErrPromptTooLong = stderrors.New("engine: prompt too long")
)

// errTooLong is the cause of a failure at a size limit of this client.
var errTooLong = stderrors.New("the answer is too long")

// failure joins a sentinel error with its cause.
func failure(kind, cause error) error {
	return errors.WithStack(fmt.Errorf("%w: %w", kind, cause))
}

// generateRefusal classifies the head of an answer; it returns nil for a stream.
func generateRefusal(resp *http.Response) error {
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	if err := statedRefusal(resp); err != nil {
		return err
	}
	return failure(ErrDown, errors.Errorf("status %d", resp.StatusCode))
}

// callRefusal classifies the head of a service's answer. Statuses that a
// device in between uses for an unreachable service state no outcome.
func callRefusal(resp *http.Response) error {
	if err := statedRefusal(resp); err != nil {
		return err
	}
	switch resp.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return failure(ErrDown, errors.Errorf("status %d", resp.StatusCode))
	}
	return nil
}

// statedRefusal reads the Refusal header, which only an engine or service
// that ran nothing sends.
func statedRefusal(resp *http.Response) error {
	cause := errors.Errorf("status %d", resp.StatusCode)
	switch resp.Header.Get(refusalHeader) {
	case "not_run":
		return failure(ErrNotRun, cause)
	case "prompt_too_long":
		return failure(ErrPromptTooLong, cause)
	}
	return nil
}

// breakCause says why an answer could not be read to its end. A caller that
// gave up and a size limit say nothing about the engine.
func breakCause(ctx context.Context, err error) error {
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.Is(err, errTooLong):
		return err
	}
	return failure(ErrDown, err)
}

// unanswered classifies a request that got no answer. A caller that gave up says
// nothing about the engine.
func unanswered(ctx context.Context, sent *sendtrack.Tracker, cause error) error {
	notSent := sent.NotSent(cause)
	gaveUp := ctx.Err() != nil
	switch {
	case notSent && gaveUp:
		return failure(ErrNotRun, cause)
	case notSent:
		return failure(ErrNotRun, failure(ErrDown, cause))
	case gaveUp:
		return failure(ErrTruncated, cause)
	}
	return failure(ErrDown, cause)
}
