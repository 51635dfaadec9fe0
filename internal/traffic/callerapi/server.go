// Package callerapi implements the Connect API for callers.
package callerapi

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	pb "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/guard"
	"laburnumroad.dev/laburnumroad/internal/traffic/pending"
	"laburnumroad.dev/laburnumroad/internal/traffic/relay"
)

// maxNameBytes is the maximum length of the keys and names that callers choose.
const maxNameBytes = 256

// replyTimeout limits the wait for the control thread's reply to a key or cancel
// request.
const replyTimeout = 5 * time.Second

// Server implements the CallerService.
type Server struct {
	Relay *relay.Relay
	// Post sends an event to the control thread.
	Post   func(event.Event)
	Tracer trace.Tracer
	// Guard bounds what callers make the process hold.
	Guard *guard.Guard
	// MaxPromptBytes and MaxBodyBytes limit the size of prompts and call bodies.
	MaxPromptBytes int
	MaxBodyBytes   int

	// CancelReplies and KeyReplies hold the handlers that wait for the control thread.
	CancelReplies pending.Replies[command.CancelReply]
	KeyReplies    pending.Replies[command.KeyReply]
}

// Generate implements CallerService.
func (s *Server) Generate(ctx context.Context, req *connect.Request[pb.GenerateRequest], stream *connect.ServerStream[pb.GenerateResponse]) error {
	clearReadDeadline(ctx)
	msg := req.Msg
	if err := s.validateGenerate(msg); err != nil {
		return err
	}
	arrival := event.Arrival{
		KeyHash:            hashAPIKey(req.Header().Get("Authorization")),
		Service:            table.ServiceName(msg.Service),
		BudgetName:         msg.Budget,
		Kind:               table.ServiceModel,
		Fingerprint:        fingerprint(msg.Service, "", msg.Prompt, msg.MaxOutputTokens),
		PromptTokens:       estimatePromptTokens(msg.Prompt),
		MaxOutput:          table.Tokens(msg.MaxOutputTokens),
		FirstTokenDeadline: time.Duration(msg.DeadlineMs) * time.Millisecond,
		Priority:           int(msg.Priority),
		CallerRetry:        msg.Retry,
		ResumePosition:     table.Tokens(msg.ResumePosition),
	}
	setIdempotencyKey(&arrival, msg.IdempotencyKey)
	ctx, span := s.startSpan(ctx, "router.generate", arrival)
	defer span.End()
	result := s.Relay.Run(ctx, arrival, relay.Payload{Prompt: msg.Prompt}, &generateWriter{ctx: ctx, stream: stream, key: arrival.Key})
	if !result.Outcome.OK {
		span.SetStatus(codes.Error, string(result.Outcome.Code))
		return refusalError(result.Request, result.Outcome)
	}
	setWriteDeadline(ctx)
	return stream.Send(&pb.GenerateResponse{Event: &pb.GenerateResponse_Finished{Finished: &pb.Finished{
		PromptTokens: int64(result.Outcome.PromptTokens),
		OutputTokens: int64(result.Outcome.OutputTokens),
		Charged:      int64(result.Outcome.Charged),
		Checksum:     fmt.Sprintf("%016x", result.Checksum),
	}}})
}

func (s *Server) validateGenerate(msg *pb.GenerateRequest) error {
	var problems []string
	problems = validateName(problems, "service", msg.Service, true)
	problems = validateName(problems, "budget", msg.Budget, false)
	problems = validateName(problems, "idempotency_key", msg.IdempotencyKey, false)
	problems = validateCommon(problems, msg.DeadlineMs, msg.Priority)
	if msg.Prompt == "" {
		problems = append(problems, "prompt: is empty")
	}
	if len(msg.Prompt) > s.MaxPromptBytes {
		problems = append(problems, fmt.Sprintf("prompt: has %d bytes, the limit is %d", len(msg.Prompt), s.MaxPromptBytes))
	}
	if msg.MaxOutputTokens < 0 {
		problems = append(problems, "max_output_tokens: is negative")
	}
	if msg.ResumePosition < 0 {
		problems = append(problems, "resume_position: is negative")
	}
	return problemsError(problems)
}

// Call implements CallerService.
func (s *Server) Call(ctx context.Context, req *connect.Request[pb.CallRequest]) (*connect.Response[pb.CallResponse], error) {
	clearReadDeadline(ctx)
	msg := req.Msg
	if err := s.validateCall(msg); err != nil {
		return nil, err
	}
	arrival := event.Arrival{
		KeyHash:            hashAPIKey(req.Header().Get("Authorization")),
		Service:            table.ServiceName(msg.Service),
		BudgetName:         msg.Budget,
		Kind:               table.ServicePlain,
		Operation:          msg.Operation,
		Fingerprint:        fingerprint(msg.Service, msg.Operation, string(msg.Body), 0),
		FirstTokenDeadline: time.Duration(msg.DeadlineMs) * time.Millisecond,
		Priority:           int(msg.Priority),
		CallerRetry:        msg.Retry,
	}
	setIdempotencyKey(&arrival, msg.IdempotencyKey)
	ctx, span := s.startSpan(ctx, "router.call", arrival)
	defer span.End()
	result := s.Relay.Run(ctx, arrival, relay.Payload{Body: msg.Body}, discardWriter{})
	if !result.Outcome.OK {
		span.SetStatus(codes.Error, string(result.Outcome.Code))
		return nil, refusalError(result.Request, result.Outcome)
	}
	return connect.NewResponse(&pb.CallResponse{
		RequestId:      string(result.Request),
		IdempotencyKey: arrival.Key,
		Body:           result.Body,
		Charged:        int64(result.Outcome.Charged),
		Replayed:       result.Outcome.Replayed,
	}), nil
}

func (s *Server) validateCall(msg *pb.CallRequest) error {
	var problems []string
	problems = validateName(problems, "service", msg.Service, true)
	problems = validateName(problems, "operation", msg.Operation, true)
	problems = validateName(problems, "budget", msg.Budget, false)
	problems = validateName(problems, "idempotency_key", msg.IdempotencyKey, false)
	problems = validateCommon(problems, msg.DeadlineMs, msg.Priority)
	if len(msg.Body) > s.MaxBodyBytes {
		problems = append(problems, fmt.Sprintf("body: has %d bytes, the limit is %d", len(msg.Body), s.MaxBodyBytes))
	}
	return problemsError(problems)
}

// IssueKey implements CallerService.
func (s *Server) IssueKey(ctx context.Context, req *connect.Request[pb.IssueKeyRequest]) (*connect.Response[pb.IssueKeyResponse], error) {
	clearReadDeadline(ctx)
	if err := problemsError(validateName(nil, "service", req.Msg.Service, true)); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	reply, err := s.KeyReplies.Await(ctx, func(replyID uint64) {
		s.Post(event.KeyIssueRequest{
			ReplyID: replyID, KeyHash: hashAPIKey(req.Header().Get("Authorization")), Service: table.ServiceName(req.Msg.Service),
		})
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if reply.Key == "" {
		return nil, refusalError("", reply.Refusal)
	}
	return connect.NewResponse(&pb.IssueKeyResponse{
		IdempotencyKey: reply.Key, ValidSeconds: int64(reply.ValidFor.Seconds()),
	}), nil
}

// Cancel implements CallerService.
func (s *Server) Cancel(ctx context.Context, req *connect.Request[pb.CancelRequest]) (*connect.Response[pb.CancelResponse], error) {
	clearReadDeadline(ctx)
	if err := problemsError(validateName(nil, "idempotency_key", req.Msg.IdempotencyKey, true)); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	reply, err := s.CancelReplies.Await(ctx, func(replyID uint64) {
		s.Post(event.Cancel{
			ReplyID: replyID, KeyHash: hashAPIKey(req.Header().Get("Authorization")), Key: req.Msg.IdempotencyKey,
		})
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&pb.CancelResponse{Found: reply.Found}), nil
}

// startSpan starts the server span of a request.
func (s *Server) startSpan(ctx context.Context, spanName string, arrival event.Arrival) (context.Context, trace.Span) {
	return s.Tracer.Start(ctx, spanName, trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("service", string(arrival.Service))))
}

// setIdempotencyKey sets the caller's key, or a random one if the caller sent none.
func setIdempotencyKey(arrival *event.Arrival, callerKey string) {
	arrival.Key, arrival.CallerKey = callerKey, callerKey != ""
	if callerKey == "" {
		arrival.Key = table.GeneratedKey(rand.Text())
	}
}

// hashAPIKey hashes the key of an Authorization header. Without a bearer key it returns
// the zero hash, which belongs to no customer.
func hashAPIKey(header string) table.KeyHash {
	key, ok := strings.CutPrefix(header, "Bearer ")
	if !ok || key == "" {
		return table.KeyHash{}
	}
	return sha256.Sum256([]byte(key))
}

// estimatePromptTokens returns an upper bound of the prompt's tokens: a token of the
// engines has at least two bytes, including its separator.
func estimatePromptTokens(prompt string) table.Tokens { return table.Tokens(len(prompt)/2 + 1) }

// fingerprint hashes the content of a request without its idempotency key.
func fingerprint(service, operation, content string, maxOutputTokens int64) table.Fingerprint {
	digest := xxhash.New()
	for _, part := range []string{service, operation, content, fmt.Sprint(maxOutputTokens)} {
		// The length prefix keeps the boundaries of the parts unambiguous.
		// Digest.WriteString never fails.
		_, _ = digest.WriteString(fmt.Sprintf("%d:%s", len(part), part))
	}
	return table.Fingerprint(digest.Sum64())
}

// validateName appends the first problem of a key or name, if any, to problems.
func validateName(problems []string, field, value string, required bool) []string {
	switch {
	case value == "" && required:
		return append(problems, field+": is empty")
	case len(value) > maxNameBytes:
		return append(problems, fmt.Sprintf("%s: has %d bytes, the limit is %d", field, len(value), maxNameBytes))
	case strings.ContainsFunc(value, func(r rune) bool { return r < ' ' || r == 0x7f }):
		return append(problems, field+": has control characters")
	case field != "idempotency_key" && strings.Contains(value, "/"):
		return append(problems, field+": has a slash")
	}
	return problems
}

// validateCommon appends the problems of the fields that Generate and Call share.
func validateCommon(problems []string, deadlineMs int64, priority int32) []string {
	const maxDeadlineMs = int64(24 * time.Hour / time.Millisecond)
	if deadlineMs < 0 || deadlineMs > maxDeadlineMs {
		problems = append(problems, "deadline_ms: is not between 0 and 24 hours")
	}
	if priority < 0 || priority > 9 {
		problems = append(problems, "priority: is not between 0 and 9")
	}
	return problems
}

// problemsError returns a bad request error that lists the problems, or nil if there
// are none.
func problemsError(problems []string) error {
	if len(problems) == 0 {
		return nil
	}
	return badRequestError(strings.Join(problems, "; "))
}

// generateWriter streams the output of a Generate call to its caller.
type generateWriter struct {
	ctx    context.Context
	stream *connect.ServerStream[pb.GenerateResponse]
	key    string
}

func (w *generateWriter) Started(id table.RequestID) error {
	setWriteDeadline(w.ctx)
	return w.stream.Send(&pb.GenerateResponse{Event: &pb.GenerateResponse_Started{Started: &pb.Started{
		RequestId: string(id), IdempotencyKey: w.key,
	}}})
}

func (w *generateWriter) Chunk(position, tokens table.Tokens, text string) error {
	setWriteDeadline(w.ctx)
	return w.stream.Send(&pb.GenerateResponse{Event: &pb.GenerateResponse_Chunk{Chunk: &pb.Chunk{
		Position: int64(position), Tokens: int64(tokens), Text: text,
	}}})
}

// discardWriter ignores the progress of a Call, whose response is a single message.
type discardWriter struct{}

func (discardWriter) Started(table.RequestID) error                  { return nil }
func (discardWriter) Chunk(table.Tokens, table.Tokens, string) error { return nil }
