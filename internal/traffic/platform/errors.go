package platform

import (
	"encoding/json"
	stderrors "errors"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"laburnumroad.dev/laburnumroad/internal/traffic/sendtrack"
)

// Each error of a call matches exactly one of these with errors.Is.
var (
	// ErrNotFound: the object does not exist.
	ErrNotFound = stderrors.New("platform: object not found")
	// ErrConflict: the object exists already or has another version.
	ErrConflict = stderrors.New("platform: version conflict")
	// ErrNotApplied: the call certainly had no effect.
	ErrNotApplied = stderrors.New("platform: call not applied")
	// ErrUnknown: the call may have taken effect; read back before a repeat.
	ErrUnknown = stderrors.New("platform: outcome unknown")
)

// failure joins a sentinel error with its cause.
func failure(kind, cause error) error {
	return errors.WithStack(fmt.Errorf("%w: %w", kind, cause))
}

// refusal classifies an answer outside 2xx. Only the statement of the API
// counts: an error page of something in between states no outcome.
func refusal(status int, body []byte) error {
	var statement struct {
		Code string `json:"code"`
	}
	cause := errors.Errorf("status %d", status)
	if err := json.Unmarshal(body, &statement); err != nil {
		statement.Code = ""
	}
	switch {
	case statement.Code == "not_found":
		return failure(ErrNotFound, cause)
	case statement.Code == "conflict":
		return failure(ErrConflict, cause)
	case statement.Code == "not_applied", status == http.StatusTooManyRequests:
		return failure(ErrNotApplied, cause)
	}
	return failure(ErrUnknown, cause)
}

// unanswered classifies a call that got no answer.
func unanswered(sent *sendtrack.Tracker, cause error) error {
	if sent.NotSent(cause) {
		return failure(ErrNotApplied, cause)
	}
	return failure(ErrUnknown, cause)
}
