package ctl

import (
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	v1 "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
	"laburnumroad.dev/laburnumroad/internal/finding"
)

// ExitCode is the exit status of the process.
type ExitCode int

// Exit codes.
const (
	ExitOK ExitCode = iota
	// ExitFailed is for a request that was refused or failed.
	ExitFailed
	// ExitUsage is for invalid arguments.
	ExitUsage
	// ExitConflict is for a configuration change that conflicts with another one.
	ExitConflict
	// ExitFindings is for an invalid configuration.
	ExitFindings
)

// Outcome is what a command prints and its exit code.
type Outcome struct {
	Exit ExitCode
	// Text and Tables are printed to standard output in table format, in this
	// order.
	Text   string
	Tables []Table
	// JSON is printed to standard output in JSON format: a proto.Message or a
	// value for encoding/json. It is nil if there is nothing to print.
	JSON any
	// Message is printed to standard error; in JSON format only if JSON is nil.
	Message string
}

// Table is a header and the rows of a table.
type Table struct {
	Header []string
	Rows   [][]string
}

// usageError returns the outcome for invalid arguments.
func usageError(format string, args ...any) Outcome {
	return Outcome{Exit: ExitUsage, Message: "usage: " + fmt.Sprintf(format, args...)}
}

// failure returns the outcome for an error without an error detail from the server.
func failure(err error) Outcome {
	text := err.Error()
	return Outcome{Exit: ExitFailed, Message: "failed: " + text, JSON: failureJSON{Reason: text}}
}

// failureJSON is the JSON output for an error without an error detail from the server.
type failureJSON struct {
	Code   string `json:"code,omitempty"`
	Reason string `json:"reason"`
	Ran    string `json:"ran,omitempty"`
}

// findingsOutcome is the outcome for an invalid configuration.
func findingsOutcome(list finding.List) Outcome {
	return Outcome{Exit: ExitFindings, Message: list.Error(), JSON: findingsToProto(list)}
}

func findingsToProto(list finding.List) *v1.Findings {
	m := &v1.Findings{}
	for _, f := range list {
		m.Findings = append(m.Findings, &v1.Finding{
			File: f.File, Line: int32(f.Line), Column: int32(f.Column), Path: f.Path, Message: f.Message,
		})
	}
	return m
}

func findingsFromProto(m *v1.Findings) finding.List {
	var list finding.List
	for _, f := range m.GetFindings() {
		list.Add(finding.Finding{
			File: f.GetFile(), Line: int(f.GetLine()), Column: int(f.GetColumn()), Path: f.GetPath(), Message: f.GetMessage(),
		})
	}
	return list
}

// errorOutcome returns the outcome for the error of an API call, based on the
// error detail.
func errorOutcome(err error) Outcome {
	switch detail := errorDetail(err).(type) {
	case *v1.Refusal:
		return Outcome{Exit: ExitFailed, Message: refusalText(detail), JSON: detail}
	case *v1.Conflict:
		return conflictOutcome(detail)
	case *v1.Findings:
		return findingsOutcome(findingsFromProto(detail))
	}
	return failure(err)
}

// workErrorOutcome is errorOutcome for calls that run work. Without an error
// detail from the server it is unknown whether the work ran.
func workErrorOutcome(err error) Outcome {
	out := errorOutcome(err)
	if errorDetail(err) == nil {
		out.Message += "\nran: UNKNOWN"
		out.JSON = failureJSON{Code: connect.CodeOf(err).String(), Reason: err.Error(), Ran: ranText(v1.Ran_RAN_UNKNOWN)}
	}
	return out
}

// isRejection reports whether an error is a rejection by the server. After any
// other error the change may have been made.
func isRejection(err error) bool {
	if errorDetail(err) != nil {
		return true
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeInvalidArgument, connect.CodeUnimplemented:
		return true
	}
	return false
}

// errorDetail returns the first error detail of a supported type, or nil.
func errorDetail(err error) proto.Message {
	var e *connect.Error
	if !errors.As(err, &e) {
		return nil
	}
	for _, d := range e.Details() {
		value, err := d.Value()
		if err != nil {
			continue
		}
		switch m := value.(type) {
		case *v1.Refusal, *v1.Conflict, *v1.Findings:
			return m
		}
	}
	return nil
}

func conflictOutcome(m *v1.Conflict) Outcome {
	return Outcome{
		Exit:    ExitConflict,
		Text:    m.GetDiff(),
		Message: fmt.Sprintf("conflict: the current generation is %d; nothing was changed", m.GetCurrentGeneration()),
		JSON:    m,
	}
}

func refusalText(m *v1.Refusal) string {
	lines := []string{
		"refused: " + m.GetCode(),
		"reason: " + m.GetReason(),
		"ran: " + ranText(m.GetRan()),
	}
	if ms := m.GetRetryAfterMs(); ms > 0 {
		lines = append(lines, "retry after: "+(time.Duration(ms)*time.Millisecond).String())
	}
	if id := m.GetRequestId(); id != "" {
		lines = append(lines, "request: "+id)
	}
	return strings.Join(lines, "\n")
}

// ranText returns the name of a Ran value. An unset value is UNKNOWN, because a
// caller may repeat work that is reported as NOT_RUN.
func ranText(r v1.Ran) string {
	switch r {
	case v1.Ran_RAN_NOT_RUN:
		return "NOT_RUN"
	case v1.Ran_RAN_RAN:
		return "RAN"
	default:
		return "UNKNOWN"
	}
}
