package callerapi

import (
	"connectrpc.com/connect"
	"github.com/pkg/errors"

	pb "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// statusCodes maps refusal codes to Connect codes; others are Unavailable.
var statusCodes = map[table.Code]connect.Code{
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

// refusal makes the error that a caller gets for an outcome.
func refusal(id table.RequestID, o table.Outcome) *connect.Error {
	code, ok := statusCodes[o.Code]
	if !ok {
		code = connect.CodeUnavailable
	}
	err := connect.NewError(code, errors.Errorf("%s: %s", o.Code, o.Reason))
	detail, detailErr := connect.NewErrorDetail(&pb.Refusal{
		Code:         string(o.Code),
		Reason:       o.Reason,
		Ran:          pb.Ran(o.Ran),
		RetryAfterMs: o.RetryAfter.Milliseconds(),
		RequestId:    string(id),
	})
	if detailErr == nil {
		err.AddDetail(detail)
	}
	return err
}

func badRequest(reason string) *connect.Error {
	return refusal("", table.Outcome{Code: table.CodeBadRequest, Reason: reason, Ran: table.NotRun})
}
