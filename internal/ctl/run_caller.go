package ctl

import (
	"context"
	"io"

	"connectrpc.com/connect"

	v1 "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
)

func runGenerate(ctx context.Context, inv *invocation, flags *commandFlags, args []string) Outcome {
	if problem := generateFlagsProblem(flags); problem != "" {
		return usageError("%s", problem)
	}
	received, err := flags.readReceivedText()
	if err != nil {
		return failure(err)
	}
	client, err := inv.callerClient()
	if err != nil {
		return failure(err)
	}
	stream, err := client.Generate(ctx, connect.NewRequest(&v1.GenerateRequest{
		Service: args[0], Prompt: args[1], Budget: flags.budget, MaxOutputTokens: flags.maxOutputTokens,
		IdempotencyKey: flags.idempotencyKey, Retry: flags.retry, ResumePosition: flags.position,
	}))
	if err != nil {
		return workErrorOutcome(err)
	}
	defer stream.Close()
	return inv.printStream(stream, newAnswer(flags.position, received))
}

// generateFlagsProblem returns why the flags are invalid, or an empty string.
func generateFlagsProblem(flags *commandFlags) string {
	switch {
	case flags.maxOutputTokens < 0 || flags.position < 0:
		return "-max and -position must not be negative"
	case flags.position > 0 && flags.idempotencyKey == "":
		return "-position requires the -key of the earlier request"
	case flags.receivedFile != "" && flags.position == 0:
		return "-received requires -position"
	case flags.retry && flags.idempotencyKey == "":
		return "-retry requires the -key of the earlier request"
	}
	return ""
}

// readReceivedText returns the text received before the position, or an empty
// string if no file is given.
func (flags *commandFlags) readReceivedText() (string, error) {
	if flags.receivedFile == "" {
		return "", nil
	}
	return readFile(flags.receivedFile)
}

// printStream prints the text as it arrives and returns the outcome of the answer.
// In JSON format the text is part of the final object instead.
func (inv *invocation) printStream(stream *connect.ServerStreamForClient[v1.GenerateResponse], a *answer) Outcome {
	w := inv.env.Out
	if inv.opts.format == formatJSON {
		w = io.Discard
	}
	for stream.Receive() {
		text, messageErr := a.addMessage(stream.Msg())
		if messageErr != nil {
			return a.outcome(nil, messageErr)
		}
		if _, err := io.WriteString(w, text); err != nil {
			return failure(err)
		}
	}
	_, _ = io.WriteString(w, "\n")
	return a.outcome(stream.Err(), nil)
}

func runCall(ctx context.Context, inv *invocation, flags *commandFlags, args []string) Outcome {
	if flags.retry && flags.idempotencyKey == "" {
		return usageError("-retry requires the -key of the earlier call")
	}
	client, err := inv.callerClient()
	if err != nil {
		return failure(err)
	}
	request := &v1.CallRequest{Service: args[0], Operation: args[1], Budget: flags.budget, IdempotencyKey: flags.idempotencyKey, Retry: flags.retry}
	if len(args) > 2 {
		request.Body = []byte(args[2])
	}
	m, err := callUnary(ctx, client.Call, request)
	if err != nil {
		return workErrorOutcome(err)
	}
	return reportCall(m)
}

func runIssueKey(ctx context.Context, inv *invocation, _ *commandFlags, args []string) Outcome {
	client, err := inv.callerClient()
	if err != nil {
		return failure(err)
	}
	m, err := callUnary(ctx, client.IssueKey, &v1.IssueKeyRequest{Service: args[0]})
	if err != nil {
		return errorOutcome(err)
	}
	return reportIssuedKey(m)
}
