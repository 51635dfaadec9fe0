package ctl

import (
	"context"
	"io"

	"connectrpc.com/connect"

	v1 "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
)

func runGenerate(ctx context.Context, s *session, in *inputs, args []string) Outcome {
	if problem := generateUsage(in); problem != "" {
		return usage("%s", problem)
	}
	received, err := in.receivedText()
	if err != nil {
		return failed(err)
	}
	client, err := s.caller()
	if err != nil {
		return failed(err)
	}
	stream, err := client.Generate(ctx, connect.NewRequest(&v1.GenerateRequest{
		Service: args[0], Prompt: args[1], Budget: in.budget, MaxOutputTokens: in.max,
		IdempotencyKey: in.key, Retry: in.retry, ResumePosition: in.position,
	}))
	if err != nil {
		return refusedWork(err)
	}
	defer stream.Close()
	return s.relay(stream, newAnswer(in.position, received))
}

// generateUsage returns what is wrong with the flags, or an empty string.
func generateUsage(in *inputs) string {
	switch {
	case in.max < 0 || in.position < 0:
		return "-max and -position must not be negative"
	case in.position > 0 && in.key == "":
		return "-position needs the -key of the earlier request"
	case in.received != "" && in.position == 0:
		return "-received needs -position"
	case in.retry && in.key == "":
		return "-retry needs the -key of the earlier request"
	}
	return ""
}

func (in *inputs) receivedText() (string, error) {
	if in.received == "" {
		return "", nil
	}
	return readFile(in.received)
}

// relay prints the text as it arrives and decides on the whole answer. In JSON
// format the text is part of the final object.
func (s *session) relay(stream *connect.ServerStreamForClient[v1.GenerateResponse], a *answer) Outcome {
	out := s.streams.Out
	if s.opts.format == formatJSON {
		out = io.Discard
	}
	for stream.Receive() {
		text, fault := a.accept(stream.Msg())
		if fault != nil {
			return a.report(nil, fault)
		}
		if _, err := io.WriteString(out, text); err != nil {
			return failed(err)
		}
	}
	_, _ = io.WriteString(out, "\n")
	return a.report(stream.Err(), nil)
}

func runCall(ctx context.Context, s *session, in *inputs, args []string) Outcome {
	if in.retry && in.key == "" {
		return usage("-retry needs the -key of the earlier call")
	}
	client, err := s.caller()
	if err != nil {
		return failed(err)
	}
	request := &v1.CallRequest{Service: args[0], Operation: args[1], Budget: in.budget, IdempotencyKey: in.key, Retry: in.retry}
	if len(args) > 2 {
		request.Body = []byte(args[2])
	}
	m, err := call(ctx, client.Call, request)
	if err != nil {
		return refusedWork(err)
	}
	return reportCall(m)
}

func runIssueKey(ctx context.Context, s *session, _ *inputs, args []string) Outcome {
	client, err := s.caller()
	if err != nil {
		return failed(err)
	}
	m, err := call(ctx, client.IssueKey, &v1.IssueKeyRequest{Service: args[0]})
	if err != nil {
		return refusedBy(err)
	}
	return reportIssuedKey(m)
}
