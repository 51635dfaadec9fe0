package ctl

import (
	"context"
	"strings"

	v1 "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
)

func runBudgets(ctx context.Context, s *session, _ *inputs, args []string) Outcome {
	client, err := s.operator()
	if err != nil {
		return failed(err)
	}
	m, err := call(ctx, client.ListBudgets, &v1.ListBudgetsRequest{Customer: strings.Join(args, "")})
	if err != nil {
		return refusedBy(err)
	}
	return reportBudgets(m)
}

func runStatus(ctx context.Context, s *session, _ *inputs, _ []string) Outcome {
	client, err := s.operator()
	if err != nil {
		return failed(err)
	}
	m, err := call(ctx, client.Status, &v1.StatusRequest{})
	if err != nil {
		return refusedBy(err)
	}
	return reportStatus(m)
}

func runDrain(ctx context.Context, s *session, in *inputs, args []string) Outcome {
	if strings.TrimSpace(in.reason) == "" {
		return usage("drain needs -reason TEXT")
	}
	client, err := s.operator()
	if err != nil {
		return failed(err)
	}
	m, err := call(ctx, client.Drain, &v1.DrainRequest{Target: args[0], Undo: in.undo, Reason: in.reason})
	if err != nil {
		return refusedBy(err)
	}
	return reportDrained(args[0], in.undo, m)
}

func runExplain(ctx context.Context, s *session, _ *inputs, args []string) Outcome {
	client, err := s.operator()
	if err != nil {
		return failed(err)
	}
	m, err := call(ctx, client.Explain, &v1.ExplainRequest{RequestId: args[0]})
	if err != nil {
		return refusedBy(err)
	}
	return reportExplain(m)
}
