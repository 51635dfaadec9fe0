// Package operatorapi implements the Connect API for operators.
package operatorapi

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"sort"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	pb "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
	"laburnumroad.dev/laburnumroad/gen/laburnumroad/v1/laburnumroadv1connect"
	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/pending"
)

const (
	// replyTimeout limits the wait for the control thread's reply. It is longer than
	// the timeout of a platform call, because a top-up waits for the platform.
	replyTimeout = 15 * time.Second
	// maxRequestBytes leaves room for a configuration of 1 MB.
	maxRequestBytes = 2 << 20
)

// Server implements the OperatorService.
type Server struct {
	// Post sends an event to the control thread.
	Post func(event.Event)
	// KeyHashes are the SHA-256 hashes of the operators' keys.
	KeyHashes []table.KeyHash
	Config    ConfigStore

	// The fields below hold the handlers that wait for each kind of reply.
	TopUpReplies   pending.Replies[command.TopUpReply]
	BudgetReplies  pending.Replies[command.BudgetReply]
	StatusReplies  pending.Replies[command.StatusReply]
	ExplainReplies pending.Replies[command.ExplainReply]
	DrainReplies   pending.Replies[command.DrainReply]
}

// Handler returns the HTTP handler of the operator API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(laburnumroadv1connect.NewOperatorServiceHandler(s, connect.WithReadMaxBytes(maxRequestBytes)))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.authorized(r) {
			http.Error(w, `{"code":"unauthenticated","message":"the operator key is missing or wrong"}`, http.StatusUnauthorized)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// authorized reports whether the request has an operator's key. It compares with every
// key, so that the response time doesn't reveal which one matched.
func (s *Server) authorized(r *http.Request) bool {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return false
	}
	hash := sha256.Sum256([]byte(key))
	match := 0
	for _, k := range s.KeyHashes {
		match |= subtle.ConstantTimeCompare(k[:], hash[:])
	}
	return match == 1
}

// awaitReply calls send with a new reply id and waits for the control thread's reply.
func awaitReply[T any](ctx context.Context, replies *pending.Replies[T], send func(replyID uint64)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	reply, err := replies.Await(ctx, send)
	if err != nil {
		err = connect.NewError(connect.CodeUnavailable, errors.Wrap(err, "no answer in time"))
	}
	return reply, err
}

// TopUp implements OperatorService. Without an id from the operator it generates one.
func (s *Server) TopUp(ctx context.Context, req *connect.Request[pb.TopUpRequest]) (*connect.Response[pb.TopUpResponse], error) {
	msg := req.Msg
	if err := validateTopUp(msg); err != nil {
		return nil, err
	}
	id := msg.Id
	if id == "" {
		id = rand.Text()
	}
	reply, err := awaitReply(ctx, &s.TopUpReplies, func(replyID uint64) {
		s.Post(event.TopUp{
			ReplyID: replyID, Budget: table.MakeBudgetID(table.CustomerID(msg.Customer), budgetNameOrDefault(msg.Budget)),
			Amount: table.Tokens(msg.Amount), ID: id,
		})
	})
	if err != nil {
		return nil, err
	}
	if !reply.OK {
		return nil, topUpError(reply, id)
	}
	return connect.NewResponse(&pb.TopUpResponse{
		Id: id, Deposited: int64(reply.Deposited), Settled: int64(reply.Settled),
	}), nil
}

func validateTopUp(msg *pb.TopUpRequest) error {
	// maxAmount keeps sums of deposits well below an overflow.
	const maxAmount = 1 << 50
	var problems []string
	if msg.Customer == "" || strings.Contains(msg.Customer, "/") {
		problems = append(problems, "customer: is empty or has a slash")
	}
	if strings.Contains(msg.Budget, "/") {
		problems = append(problems, "budget: has a slash")
	}
	if msg.Amount <= 0 || msg.Amount > maxAmount {
		problems = append(problems, "amount: is not between 1 and 2^50")
	}
	if len(problems) > 0 {
		return connect.NewError(connect.CodeInvalidArgument, errors.New(strings.Join(problems, "; ")))
	}
	return nil
}

func topUpError(reply command.TopUpReply, id string) error {
	if reply.OutcomeUnknown {
		return connect.NewError(connect.CodeUnknown,
			errors.Errorf("it is not known whether the top-up took effect (%s); repeat it with id %s, which counts once", reply.Reason, id))
	}
	return connect.NewError(connect.CodeUnavailable, errors.Errorf("the top-up did not take effect: %s", reply.Reason))
}

func budgetNameOrDefault(name string) string {
	if name == "" {
		return "default"
	}
	return name
}

// ListBudgets implements OperatorService.
func (s *Server) ListBudgets(ctx context.Context, req *connect.Request[pb.ListBudgetsRequest]) (*connect.Response[pb.ListBudgetsResponse], error) {
	reply, err := awaitReply(ctx, &s.BudgetReplies, func(replyID uint64) {
		s.Post(event.BudgetQuery{ReplyID: replyID, Customer: table.CustomerID(req.Msg.Customer)})
	})
	if err != nil {
		return nil, err
	}
	if reply.Incomplete {
		return nil, connect.NewError(connect.CodeUnavailable,
			errors.Errorf("not all of the ledger could be read; %d budgets are known here", len(reply.Budgets)))
	}
	resp := &pb.ListBudgetsResponse{}
	for _, b := range reply.Budgets {
		resp.Budgets = append(resp.Budgets, budgetMessage(b))
	}
	sort.Slice(resp.Budgets, func(i, j int) bool { return resp.Budgets[i].Id < resp.Budgets[j].Id })
	return connect.NewResponse(resp), nil
}

func budgetMessage(budget command.BudgetInfo) *pb.Budget {
	msg := &pb.Budget{
		Id: string(budget.Ledger.ID), Deposited: int64(budget.Ledger.Deposited), Settled: int64(budget.Ledger.Settled),
		Withheld: int64(budget.Ledger.Withheld), SpentUnsettled: int64(budget.Local.Unsettled),
	}
	for _, g := range budget.Ledger.Grants {
		msg.Granted += int64(g.Amount)
		msg.Grants = append(msg.Grants, &pb.Grant{Holder: string(g.Holder.Process), Amount: int64(g.Amount)})
	}
	return msg
}

// Status implements OperatorService.
func (s *Server) Status(ctx context.Context, _ *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	reply, err := awaitReply(ctx, &s.StatusReplies, func(replyID uint64) { s.Post(event.StatusQuery{ReplyID: replyID}) })
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(statusMessage(reply)), nil
}

// Explain implements OperatorService.
func (s *Server) Explain(ctx context.Context, req *connect.Request[pb.ExplainRequest]) (*connect.Response[pb.ExplainResponse], error) {
	reply, err := awaitReply(ctx, &s.ExplainReplies, func(replyID uint64) {
		s.Post(event.ExplainQuery{ReplyID: replyID, Request: req.Msg.RequestId})
	})
	if err != nil {
		return nil, err
	}
	resp := &pb.ExplainResponse{RequestId: string(reply.Request), Found: len(reply.Decisions) > 0}
	for _, d := range reply.Decisions {
		resp.Steps = append(resp.Steps, stepMessage(reply.Self, d))
	}
	return connect.NewResponse(resp), nil
}

func stepMessage(self table.ProcessID, decision table.Decision) *pb.Step {
	step := &pb.Step{
		Process: string(self), AtMs: time.Duration(decision.At).Milliseconds(), System: decision.System, Decision: decision.Decision, Inputs: map[string]string{},
	}
	for _, in := range decision.Inputs {
		step.Inputs[in.Name] = in.Value
	}
	return step
}

// Drain implements OperatorService.
func (s *Server) Drain(ctx context.Context, req *connect.Request[pb.DrainRequest]) (*connect.Response[pb.DrainResponse], error) {
	msg := req.Msg
	if msg.Target == "" || strings.TrimSpace(msg.Reason) == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("target and reason are required"))
	}
	reply, err := awaitReply(ctx, &s.DrainReplies, func(replyID uint64) {
		s.Post(event.DrainOrder{ReplyID: replyID, Target: msg.Target, Undo: msg.Undo, Reason: msg.Reason})
	})
	if err != nil {
		return nil, err
	}
	if reply.Reason != "" {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New(reply.Reason))
	}
	return connect.NewResponse(&pb.DrainResponse{}), nil
}
