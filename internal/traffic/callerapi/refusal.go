package callerapi

import (
	"connectrpc.com/connect"
	"github.com/pkg/errors"

	pb "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// connectCodes maps refusal codes to Connect codes. Codes that are not listed map to
// Unavailable.
var connectCodes = map[table.Code]connect.Code{
	table.CodeUnauthenticated: connect.CodeUnauthenticated,
	table.CodeForbidden:       connect.CodePermissionDenied,
	table.CodeBadRequest:      connect.CodeInvalidArgument,
	table.CodePromptTooLong:   connect.CodeInvalidArgument,
	table.CodeUnknownService:  connect.CodeNotFound,
	table.CodeRateLimited:     connect.CodeResourceExhausted,
	table.CodeConcurrency:     connect.CodeResourceExhausted,
	table.CodeBudgetExhausted: connect.CodeResourceExhausted,
	table.CodeDeadline:        connect.CodeDeadlineExceeded,
	table.CodeQuarantined:     connect.CodeFailedPrecondition,
	table.CodeKeyMismatch:     connect.CodeFailedPrecondition,
	table.CodeKeyInUse:        connect.CodeAborted,
	table.CodeKeyLost:         connect.CodeDataLoss,
	table.CodeCancelled:       connect.CodeCanceled,
}

// refusalError returns the error that a caller gets for an outcome, with a Refusal
// message as its detail.
func refusalError(requestID table.RequestID, outcome table.Outcome) *connect.Error {
	code, ok := connectCodes[outcome.Code]
	if !ok {
		code = connect.CodeUnavailable
	}
	err := connect.NewError(code, errors.Errorf("%s: %s", outcome.Code, outcome.Reason))
	detail, detailErr := connect.NewErrorDetail(&pb.Refusal{
		Code:         string(outcome.Code),
		Reason:       outcome.Reason,
		Ran:          pb.Ran(outcome.Ran),
		RetryAfterMs: outcome.RetryAfter.Milliseconds(),
		RequestId:    string(requestID),
	})
	if detailErr == nil {
		err.AddDetail(detail)
	}
	return err
}

func badRequestError(reason string) *connect.Error {
	return refusalError("", table.Outcome{Code: table.CodeBadRequest, Reason: reason, Ran: table.NotRun})
}
