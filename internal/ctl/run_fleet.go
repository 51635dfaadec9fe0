package ctl

import (
	"context"
	"strings"

	v1 "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
)

func runBudgets(ctx context.Context, inv *invocation, _ *commandFlags, args []string) Outcome {
	client, err := inv.operatorClient()
	if err != nil {
		return failure(err)
	}
	m, err := callUnary(ctx, client.ListBudgets, &v1.ListBudgetsRequest{Customer: strings.Join(args, "")})
	if err != nil {
		return errorOutcome(err)
	}
	return reportBudgets(m)
}

func runStatus(ctx context.Context, inv *invocation, _ *commandFlags, _ []string) Outcome {
	client, err := inv.operatorClient()
	if err != nil {
		return failure(err)
	}
	m, err := callUnary(ctx, client.Status, &v1.StatusRequest{})
	if err != nil {
		return errorOutcome(err)
	}
	return reportStatus(m)
}

func runDrain(ctx context.Context, inv *invocation, flags *commandFlags, args []string) Outcome {
	if strings.TrimSpace(flags.reason) == "" {
		return usageError("drain requires -reason TEXT")
	}
	client, err := inv.operatorClient()
	if err != nil {
		return failure(err)
	}
	m, err := callUnary(ctx, client.Drain, &v1.DrainRequest{Target: args[0], Undo: flags.undo, Reason: flags.reason})
	if err != nil {
		return errorOutcome(err)
	}
	return reportDrain(args[0], flags.undo, m)
}

func runExplain(ctx context.Context, inv *invocation, _ *commandFlags, args []string) Outcome {
	client, err := inv.operatorClient()
	if err != nil {
		return failure(err)
	}
	m, err := callUnary(ctx, client.Explain, &v1.ExplainRequest{RequestId: args[0]})
	if err != nil {
		return errorOutcome(err)
	}
	return reportExplain(m)
}
