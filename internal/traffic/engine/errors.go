package engine

import (
	"context"
	stderrors "errors"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"laburnumroad.dev/laburnumroad/internal/traffic/sendtrack"
)

// Errors returned by Client and Stream, to be checked with errors.Is. An error can match two of
// them: a refused connection is ErrNotRun and ErrUnavailable, a broken stream is ErrTruncated and
// ErrUnavailable.
var (
	// ErrNotRun means that the engine certainly didn't run the request.
	ErrNotRun = stderrors.New("engine: not run")
	// ErrTruncated means that the response is incomplete. The request may have run.
	ErrTruncated = stderrors.New("engine: response truncated")
	// ErrUnavailable means that the engine can't be reached, the connection broke or the
	// response was invalid. The request may have run unless the error is ErrNotRun as well.
	ErrUnavailable = stderrors.New("engine: unavailable")
	// ErrPromptTooLong means that the prompt exceeds MaxTotalTokens and that nothing ran.
	ErrPromptTooLong = stderrors.New("engine: prompt too long")
)

// errResponseTooLarge is the cause when a response exceeds a size limit of this client.
var errResponseTooLarge = stderrors.New("response too large")

// wrapError returns an error that wraps both a sentinel error and its cause.
func wrapError(sentinel, cause error) error {
	return errors.WithStack(fmt.Errorf("%w: %w", sentinel, cause))
}

// checkGenerateResponse returns nil if the engine accepted the request and the body is a stream. A
// stated refusal says that nothing ran; with any other status, the request may have run.
func checkGenerateResponse(resp *http.Response) error {
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	if err := parseRefusal(resp); err != nil {
		return err
	}
	return wrapError(ErrUnavailable, errors.Errorf("status %d", resp.StatusCode))
}

// checkCallResponse returns an error if the service rejected the call or didn't answer it. Statuses
// 502, 503 and 504 may come from a proxy that can't reach the service, so they don't say whether
// the call ran. A final answer has no status under 200.
func checkCallResponse(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK {
		return wrapError(ErrUnavailable, errors.Errorf("invalid status %q", resp.Status))
	}
	if err := parseRefusal(resp); err != nil {
		return err
	}
	switch resp.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return wrapError(ErrUnavailable, errors.Errorf("status %d", resp.StatusCode))
	}
	return nil
}

// parseRefusal returns an error if the response has a Refusal header, which an engine or service
// sends only if it didn't run the request.
func parseRefusal(resp *http.Response) error {
	cause := errors.Errorf("status %d", resp.StatusCode)
	switch resp.Header.Get(refusalHeader) {
	case "not_run":
		return wrapError(ErrNotRun, cause)
	case "prompt_too_long":
		return wrapError(ErrPromptTooLong, cause)
	}
	return nil
}

// readErrorCause returns why a response could not be read to its end. The cause is ErrUnavailable
// unless the caller cancelled or a size limit was exceeded, which isn't a failure of the engine.
func readErrorCause(ctx context.Context, err error) error {
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.Is(err, errResponseTooLarge):
		return err
	}
	return wrapError(ErrUnavailable, err)
}

// classifyRequestError returns the error for a request without a response. If the caller
// cancelled, it isn't ErrUnavailable, because this isn't a failure of the engine.
func classifyRequestError(ctx context.Context, tracker *sendtrack.Tracker, cause error) error {
	notSent := tracker.NotSent(cause)
	cancelled := ctx.Err() != nil
	switch {
	case notSent && cancelled:
		return wrapError(ErrNotRun, cause)
	case notSent:
		return wrapError(ErrNotRun, wrapError(ErrUnavailable, cause))
	case cancelled:
		return wrapError(ErrTruncated, cause)
	}
	return wrapError(ErrUnavailable, cause)
}
