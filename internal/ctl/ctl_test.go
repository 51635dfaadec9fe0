package ctl

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	v1 "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
	"laburnumroad.dev/laburnumroad/internal/fleetconfig"
	"laburnumroad.dev/laburnumroad/internal/keyhash"
)

const validConfig = `services:
  - {name: tutor, kind: model}
customers:
  - {id: small, keys: [], services: [tutor]}
exceptions:
  - {customer: small, setting: burst, value: 7, reason: exam week, until: 2020-01-31}
`

// Guards against an invalid file that is applied or reported as success.
func TestInvalidFileExitsWithFindings(t *testing.T) {
	file := writeFile(t, "services: 5\n")
	server := &fakeServer{generation: 1, yaml: validConfig}
	for _, command := range []string{"validate", "apply"} {
		r := server.run(t, command, file)
		require.Equal(t, ExitFindings, r.code)
		require.Contains(t, r.stderr, file+":1:11: services: must be a list")
	}
	require.EqualValues(t, 1, server.generation)
	r := server.run(t, "validate", "-o", "json", file)
	require.Equal(t, ExitFindings, r.code)
	require.True(t, json.Valid([]byte(r.stdout)), r.stdout)
	require.Equal(t, ExitOK, server.run(t, "validate", writeFile(t, validConfig)).code)
	require.Equal(t, ExitFailed, server.run(t, "validate", "/does/not/exist").code)
}

// Guards against an apply that overwrites another operator's change.
func TestApplyWithStaleGenerationExitsWithConflict(t *testing.T) {
	server := &fakeServer{generation: 4, yaml: validConfig}
	changed := writeFile(t, strings.Replace(validConfig, "value: 7", "value: 8", 1))
	r := server.run(t, "apply", changed, "-expect", "3")
	require.Equal(t, ExitConflict, r.code)
	require.Contains(t, r.stdout, "+  - {customer: small, setting: burst, value: 7")
	require.Contains(t, r.stderr, "the current generation is 4")
	require.Equal(t, validConfig, server.yaml)

	r = server.run(t, "apply", changed)
	require.Equal(t, ExitOK, r.code, r.stderr)
	require.Equal(t, "accepted as generation 5\n", r.stdout)
}

// Guards against a diff in the wrong direction.
func TestDiffIsFromCurrentToFile(t *testing.T) {
	server := &fakeServer{generation: 4, yaml: validConfig}
	r := server.run(t, "diff", writeFile(t, validConfig+"# end\n"))
	require.Equal(t, ExitOK, r.code)
	require.Contains(t, r.stdout, "\n+# end\n")
	require.Equal(t, "no difference from generation 4\n", server.run(t, "diff", writeFile(t, validConfig)).stdout)
	require.Equal(t, validConfig, server.run(t, "get", "config").stdout)
	require.Equal(t, ExitUsage, server.run(t, "get", "status").code)
}

// Guards against a new customer whose printed key does not work.
func TestCreatedCustomerHasThePrintedKey(t *testing.T) {
	for _, responseLost := range []bool{false, true} {
		server := &fakeServer{generation: 4, yaml: validConfig, dropResponse: responseLost}
		r := server.run(t, "customer", "create", "new", "-services", "tutor", "-weight", "2", "-o", "json")
		require.Equal(t, ExitOK, r.code, r.stderr)
		var got newCustomerJSON
		require.NoError(t, json.Unmarshal([]byte(r.stdout), &got))
		require.EqualValues(t, 5, got.Generation)
		c, findings := fleetconfig.Load("f", server.yaml)
		require.NoError(t, findings.Err())
		require.True(t, c.Customer("new").Keys[0].Equal(keyhash.Of(got.Key)))
		require.NotContains(t, server.yaml, got.Key)
	}
	server := &fakeServer{generation: 4, yaml: validConfig}
	require.Equal(t, ExitFailed, server.run(t, "customer", "create", "small", "-services", "tutor").code)
	require.Equal(t, ExitUsage, server.run(t, "customer", "create", "new").code)
}

// Guards against a top-up that is applied twice because it is repeated with
// another id.
func TestTopUpWithUnknownOutcomeNamesItsID(t *testing.T) {
	server := &fakeServer{topUpErr: connect.NewError(connect.CodeUnavailable, errors.New("connection lost"))}
	r := server.run(t, "customer", "topup", "small", "500")
	require.Equal(t, ExitFailed, r.code)
	id := server.topUps[0].GetId()
	require.NotEmpty(t, id)
	require.Contains(t, r.stderr, "repeat it with -id "+id)

	server.topUpErr = nil
	r = server.run(t, "customer", "topup", "small/lessons", "500", "-id", id)
	require.Equal(t, ExitOK, r.code, r.stderr)
	require.Equal(t, id, server.topUps[1].GetId())
	require.Equal(t, "lessons", server.topUps[1].GetBudget())
	require.Equal(t, "default", server.topUps[0].GetBudget())

	server.topUpErr = errorWithDetail(connect.CodeFailedPrecondition, &v1.Refusal{Code: "BAD", Ran: v1.Ran_RAN_NOT_RUN})
	require.NotContains(t, server.run(t, "customer", "topup", "small", "500").stderr, "repeat it")
	for _, amount := range []string{"0", "-5", "x", "99999999999999999999"} {
		require.Equal(t, ExitUsage, server.run(t, "customer", "topup", "small", "--", amount).code, amount)
	}
}

// Guards against tables that omit values that operators need for decisions.
func TestReportsShowRelevantValues(t *testing.T) {
	server := &fakeServer{generation: 4, yaml: validConfig}
	cases := []struct {
		args []string
		want []string
	}{
		{[]string{"budgets", "small"}, []string{"small/default", "100", "UNGRANTED", "45"}},
		{[]string{"exceptions"}, []string{"exam week", "2020-01-31", "ended", "burst", "7"}},
		{[]string{"status"}, []string{"platform: unreachable for 1m30s", "r1", "ejected", "slow"}},
		{[]string{"explain", "small/k1"}, []string{"admission", "accepted", "a=1 b=2"}},
		{[]string{"issue-key", "tutor"}, []string{"issued"}},
		{[]string{"call", "desk", "bookings", "body"}, []string{"body"}},
	}
	for _, c := range cases {
		r := server.run(t, c.args...)
		require.Equal(t, ExitOK, r.code, r.stderr)
		for _, want := range c.want {
			require.Contains(t, r.stdout, want)
		}
		r = server.run(t, append(c.args, "-o", "json")...)
		require.True(t, json.Valid([]byte(r.stdout)), r.stdout)
	}
	require.Equal(t, ExitFailed, server.run(t, "explain", "small/k2").code)
}

// Guards against a drain without a recorded reason.
func TestDrainRequiresReason(t *testing.T) {
	server := &fakeServer{}
	require.Equal(t, ExitUsage, server.run(t, "drain", "e1").code)
	require.Nil(t, server.drainRequest)
	require.Equal(t, ExitOK, server.run(t, "drain", "e1", "-undo", "-reason", "repaired").code)
	require.True(t, server.drainRequest.GetUndo())
	require.Equal(t, "repaired", server.drainRequest.GetReason())
}

// Guards against a printed refusal that omits what a caller needs to know before a
// retry.
func TestRefusalIsPrintedCompletely(t *testing.T) {
	refusal := &v1.Refusal{Code: "DEADLINE", Reason: "queue is long", Ran: v1.Ran_RAN_NOT_RUN, RetryAfterMs: 1500, RequestId: "small/k"}
	server := &fakeServer{callErr: errorWithDetail(connect.CodeUnavailable, refusal)}
	r := server.run(t, "call", "desk", "bookings")
	require.Equal(t, ExitFailed, r.code)
	require.Equal(t, "refused: DEADLINE\nreason: queue is long\nran: NOT_RUN\nretry after: 1.5s\nrequest: small/k\n", r.stderr)
	r = server.run(t, "call", "desk", "bookings", "-o", "json")
	require.Contains(t, r.stdout, `"code": "DEADLINE"`)
}

// Guards against reporting that work did not run when the response was lost.
func TestFailureWithoutRefusalReportsUnknownRun(t *testing.T) {
	server := &fakeServer{callErr: connect.NewError(connect.CodeUnavailable, errors.New("connection lost"))}
	r := server.run(t, "call", "desk", "bookings")
	require.Equal(t, ExitFailed, r.code)
	require.Contains(t, r.stderr, "ran: UNKNOWN")
	require.Equal(t, "UNKNOWN", ranText(v1.Ran_RAN_UNSPECIFIED))

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	r = runWithEnv(map[string]string{envCaller: "http://" + listener.Addr().String()}, "generate", "tutor", "hello")
	require.Equal(t, ExitFailed, r.code)
	require.Contains(t, r.stderr, "ran: UNKNOWN")
}

// Guards against keys in the output, and against a wrong key that is accepted.
func TestKeysAreSentAndNotPrinted(t *testing.T) {
	server := &fakeServer{generation: 1, yaml: validConfig}
	url := server.start(t).URL
	r := runWithEnv(nil, "-operator", url, "-operator-key", operatorKey, "get", "config")
	require.Equal(t, ExitOK, r.code, r.stderr)
	r = runWithEnv(nil, "status", "-operator", url, "-operator-key", "wrong-secret")
	require.Equal(t, ExitFailed, r.code)
	require.NotContains(t, r.stdout+r.stderr, "wrong-secret")
	for _, args := range [][]string{{"help", "status"}, {"help"}, {"flags"}, {"status", "-unknown"}} {
		r = runWithEnv(map[string]string{envOperatorKey: "hidden-secret"}, args...)
		require.NotContains(t, r.stdout+r.stderr, "hidden-secret")
	}
}

// Guards against running a command with invalid arguments.
func TestInvalidArgumentsExitWithUsage(t *testing.T) {
	server := &fakeServer{yaml: validConfig}
	for _, args := range [][]string{
		{}, {"unknown"}, {"-o", "xml", "status"}, {"status", "extra"}, {"apply"}, {"apply", "f", "-expect", "x"},
		{"generate", "tutor"}, {"generate", "tutor", "p", "-retry"}, {"generate", "tutor", "p", "-position", "3"},
		{"generate", "tutor", "p", "-max", "-1"}, {"customer", "remove", "x"}, {"call", "a", "b", "-retry"},
	} {
		require.Equal(t, ExitUsage, server.run(t, args...).code, "%v", args)
	}
	require.Equal(t, ExitFailed, runWithEnv(nil, "status").code)
}

func chunkMessage(position int64, text string) *v1.GenerateResponse {
	return &v1.GenerateResponse{Event: &v1.GenerateResponse_Chunk{
		Chunk: &v1.Chunk{Position: position, Tokens: int64(len(text)), Text: text},
	}}
}

func startedMessage() *v1.GenerateResponse {
	return &v1.GenerateResponse{Event: &v1.GenerateResponse_Started{
		Started: &v1.Started{RequestId: "small/k", IdempotencyKey: "k"},
	}}
}

func finishedMessage(tokens int64, text string) *v1.GenerateResponse {
	return &v1.GenerateResponse{Event: &v1.GenerateResponse_Finished{
		Finished: &v1.Finished{OutputTokens: tokens, Checksum: fmt.Sprintf("%016x", xxhash.Sum64String(text))},
	}}
}

// Guards against exit code 0 for an answer that is truncated, repeated or changed.
func TestIncompleteAnswerExitsWithFailure(t *testing.T) {
	complete := []*v1.GenerateResponse{startedMessage(), chunkMessage(0, "abc"), chunkMessage(3, "def"), finishedMessage(6, "abcdef")}
	refusal := errorWithDetail(connect.CodeUnavailable, &v1.Refusal{Code: "ENDPOINT_LOST", Ran: v1.Ran_RAN_RAN})
	cases := []struct {
		name   string
		stream []*v1.GenerateResponse
		err    error
		want   string
	}{
		{"no end marker", complete[:3], nil, "without its end marker\nto resume: -key k -retry -position 6"},
		{"no message", nil, nil, "without its end marker"},
		{"lost chunk", []*v1.GenerateResponse{complete[0], complete[2], complete[3]}, nil, "a chunk starts at token 3; token 0 is next\nto read it from the start"},
		{"repeated chunk", []*v1.GenerateResponse{complete[0], complete[1], complete[1]}, nil, "a chunk starts at token 0; token 3 is next"},
		{"short", []*v1.GenerateResponse{complete[0], complete[1], complete[3]}, nil, "received 3 tokens; the end marker says 6"},
		{"changed text", []*v1.GenerateResponse{complete[0], chunkMessage(0, "abX"), complete[2], complete[3]}, nil, "the checksum of the text is"},
		{"text after the end", append(append([]*v1.GenerateResponse{}, complete...), chunkMessage(6, "g")), nil, "follows the end"},
		{"error after the end", complete, refusal, "refused: ENDPOINT_LOST"},
		{"error in the stream", complete[:2], refusal, "to resume: -key k -retry -position 3\nrefused: ENDPOINT_LOST"},
	}
	for _, c := range cases {
		server := &fakeServer{stream: c.stream, streamErr: c.err}
		r := server.run(t, "generate", "tutor", "hello")
		require.Equal(t, ExitFailed, r.code, c.name)
		require.Contains(t, r.stderr, "the answer is incomplete", c.name)
		require.Contains(t, r.stderr, c.want, c.name)
		r = server.run(t, "generate", "tutor", "hello", "-o", "json")
		require.Contains(t, r.stdout, `"whole": false`, c.name)
	}
	server := &fakeServer{stream: complete}
	r := server.run(t, "generate", "tutor", "hello")
	require.Equal(t, ExitOK, r.code, r.stderr)
	require.Equal(t, "abcdef\n", r.stdout)
	require.Contains(t, server.run(t, "generate", "tutor", "hello", "-o", "json").stdout, `"whole": true`)
}

// Guards against a resumed answer whose checksum is not compared although the first
// part is known.
func TestResumedAnswerIsComparedWithTheReceivedText(t *testing.T) {
	server := &fakeServer{stream: []*v1.GenerateResponse{startedMessage(), chunkMessage(3, "def"), finishedMessage(6, "abcdef")}}
	resumeArgs := []string{"generate", "tutor", "hello", "-key", "k", "-retry", "-position", "3"}
	r := server.run(t, resumeArgs...)
	require.Equal(t, ExitOK, r.code, r.stderr)
	require.Contains(t, r.stderr, "the checksum was not compared")
	require.Equal(t, ExitOK, server.run(t, append(resumeArgs, "-received", writeFile(t, "abc"))...).code)
	require.Equal(t, ExitFailed, server.run(t, append(resumeArgs, "-received", writeFile(t, "abX"))...).code)
}

// Guards against undetected loss or repetition of chunks, and against an answer
// without an end marker that is reported as complete.
func TestAnswerIsCompleteOnlyIfNoChunkIsLostOrRepeated(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		texts := rapid.SliceOfN(rapid.StringMatching(`[a-c]{1,4}`), 1, 8).Draw(rt, "chunks")
		stream := []*v1.GenerateResponse{startedMessage()}
		position := int64(0)
		for _, text := range texts {
			stream = append(stream, chunkMessage(position, text))
			position += int64(len(text))
		}
		stream = append(stream, finishedMessage(position, strings.Join(texts, "")))
		require.Equal(rt, ExitOK, processStream(stream).Exit)

		i := rapid.IntRange(1, len(texts)).Draw(rt, "chunk")
		dropped := append(append([]*v1.GenerateResponse{}, stream[:i]...), stream[i+1:]...)
		require.Equal(rt, ExitFailed, processStream(dropped).Exit)
		repeated := append(append([]*v1.GenerateResponse{}, stream[:i+1]...), stream[i:]...)
		require.Equal(rt, ExitFailed, processStream(repeated).Exit)
		require.Equal(rt, ExitFailed, processStream(stream[:len(stream)-1]).Exit)
	})
}

// processStream returns the outcome of a stream of messages.
func processStream(stream []*v1.GenerateResponse) Outcome {
	a := newAnswer(0, "")
	for _, m := range stream {
		if _, messageErr := a.addMessage(m); messageErr != nil {
			return a.outcome(nil, messageErr)
		}
	}
	return a.outcome(nil, nil)
}
