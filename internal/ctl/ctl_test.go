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

const config = `services:
  - {name: tutor, kind: model}
customers:
  - {id: small, keys: [], services: [tutor]}
exceptions:
  - {customer: small, setting: burst, value: 7, reason: exam week, until: 2020-01-31}
`

// Guards against a faulty file that is sent or reported as success.
func TestFaultyFileExitsWithFindings(t *testing.T) {
	file := writeFile(t, "services: 5\n")
	f := &fleet{generation: 1, yaml: config}
	for _, command := range []string{"validate", "apply"} {
		r := f.run(t, command, file)
		require.Equal(t, ExitFindings, r.code)
		require.Contains(t, r.err, file+":1:11: services: must be a list")
	}
	require.EqualValues(t, 1, f.generation)
	r := f.run(t, "validate", "-o", "json", file)
	require.Equal(t, ExitFindings, r.code)
	require.True(t, json.Valid([]byte(r.out)), r.out)
	require.Equal(t, ExitOK, f.run(t, "validate", writeFile(t, config)).code)
	require.Equal(t, ExitFailed, f.run(t, "validate", "/does/not/exist").code)
}

// Guards against an apply that overwrites another operator's change.
func TestApplyThatLosesARaceExitsWithConflict(t *testing.T) {
	f := &fleet{generation: 4, yaml: config}
	changed := writeFile(t, strings.Replace(config, "value: 7", "value: 8", 1))
	r := f.run(t, "apply", changed, "-expect", "3")
	require.Equal(t, ExitConflict, r.code)
	require.Contains(t, r.out, "+  - {customer: small, setting: burst, value: 7")
	require.Contains(t, r.err, "the current generation is 4")
	require.Equal(t, config, f.yaml)

	r = f.run(t, "apply", changed)
	require.Equal(t, ExitOK, r.code, r.err)
	require.Equal(t, "accepted as generation 5\n", r.out)
}

// Guards against a diff in the wrong direction.
func TestDiffLeadsFromCurrentToFile(t *testing.T) {
	f := &fleet{generation: 4, yaml: config}
	r := f.run(t, "diff", writeFile(t, config+"# end\n"))
	require.Equal(t, ExitOK, r.code)
	require.Contains(t, r.out, "\n+# end\n")
	require.Equal(t, "no difference to generation 4\n", f.run(t, "diff", writeFile(t, config)).out)
	require.Equal(t, config, f.run(t, "get", "config").out)
	require.Equal(t, ExitUsage, f.run(t, "get", "status").code)
}

// Guards against a new customer whose printed key does not work.
func TestCreatedCustomerHasThePrintedKey(t *testing.T) {
	for _, lost := range []bool{false, true} {
		f := &fleet{generation: 4, yaml: config, loseAnswer: lost}
		r := f.run(t, "customer", "create", "new", "-services", "tutor", "-weight", "2", "-o", "json")
		require.Equal(t, ExitOK, r.code, r.err)
		var got newCustomerJSON
		require.NoError(t, json.Unmarshal([]byte(r.out), &got))
		require.EqualValues(t, 5, got.Generation)
		c, found := fleetconfig.Load("f", f.yaml)
		require.NoError(t, found.Err())
		require.True(t, c.Customer("new").Keys[0].Equal(keyhash.Of(got.Key)))
		require.NotContains(t, f.yaml, got.Key)
	}
	f := &fleet{generation: 4, yaml: config}
	require.Equal(t, ExitFailed, f.run(t, "customer", "create", "small", "-services", "tutor").code)
	require.Equal(t, ExitUsage, f.run(t, "customer", "create", "new").code)
}

// Guards against a top-up that counts twice because its repeat has another id.
func TestUnclearTopUpNamesItsID(t *testing.T) {
	f := &fleet{topUpErr: connect.NewError(connect.CodeUnavailable, errors.New("connection lost"))}
	r := f.run(t, "customer", "topup", "small", "500")
	require.Equal(t, ExitFailed, r.code)
	id := f.topUps[0].GetId()
	require.NotEmpty(t, id)
	require.Contains(t, r.err, "repeat it with -id "+id)

	f.topUpErr = nil
	r = f.run(t, "customer", "topup", "small/lessons", "500", "-id", id)
	require.Equal(t, ExitOK, r.code, r.err)
	require.Equal(t, id, f.topUps[1].GetId())
	require.Equal(t, "lessons", f.topUps[1].GetBudget())
	require.Equal(t, "default", f.topUps[0].GetBudget())

	f.topUpErr = withDetail(connect.CodeFailedPrecondition, &v1.Refusal{Code: "BAD", Ran: v1.Ran_RAN_NOT_RUN})
	require.NotContains(t, f.run(t, "customer", "topup", "small", "500").err, "repeat it")
	for _, amount := range []string{"0", "-5", "x", "99999999999999999999"} {
		require.Equal(t, ExitUsage, f.run(t, "customer", "topup", "small", "--", amount).code, amount)
	}
}

// Guards against tables that miss the values operators decide by.
func TestReportsShowWhatOperatorsDecideBy(t *testing.T) {
	f := &fleet{generation: 4, yaml: config}
	cases := []struct {
		args []string
		want []string
	}{
		{[]string{"budgets", "small"}, []string{"small/default", "100", "UNGRANTED", "45"}},
		{[]string{"exceptions"}, []string{"exam week", "2020-01-31", "ended", "burst", "7"}},
		{[]string{"status"}, []string{"platform: unreachable since 1m30s", "r1", "ejected", "slow"}},
		{[]string{"explain", "small/k1"}, []string{"admission", "accepted", "a=1 b=2"}},
		{[]string{"issue-key", "tutor"}, []string{"issued"}},
		{[]string{"call", "desk", "bookings", "body"}, []string{"body"}},
	}
	for _, c := range cases {
		r := f.run(t, c.args...)
		require.Equal(t, ExitOK, r.code, r.err)
		for _, want := range c.want {
			require.Contains(t, r.out, want)
		}
		r = f.run(t, append(c.args, "-o", "json")...)
		require.True(t, json.Valid([]byte(r.out)), r.out)
	}
	require.Equal(t, ExitFailed, f.run(t, "explain", "small/k2").code)
}

// Guards against a drain that nobody can explain later.
func TestDrainNeedsAReason(t *testing.T) {
	f := &fleet{}
	require.Equal(t, ExitUsage, f.run(t, "drain", "e1").code)
	require.Nil(t, f.drained)
	require.Equal(t, ExitOK, f.run(t, "drain", "e1", "-undo", "-reason", "repaired").code)
	require.True(t, f.drained.GetUndo())
	require.Equal(t, "repaired", f.drained.GetReason())
}

// Guards against a refusal that is printed without what the caller must know
// before a retry.
func TestRefusalIsPrintedInFull(t *testing.T) {
	refusal := &v1.Refusal{Code: "DEADLINE", Reason: "queue is long", Ran: v1.Ran_RAN_NOT_RUN, RetryAfterMs: 1500, RequestId: "small/k"}
	f := &fleet{callErr: withDetail(connect.CodeUnavailable, refusal)}
	r := f.run(t, "call", "desk", "bookings")
	require.Equal(t, ExitFailed, r.code)
	require.Equal(t, "refused: DEADLINE\nreason: queue is long\nran: NOT_RUN\nretry after: 1.5s\nrequest: small/k\n", r.err)
	r = f.run(t, "call", "desk", "bookings", "-o", "json")
	require.Contains(t, r.out, `"code": "DEADLINE"`)
}

// Guards against a lost answer that is taken for work that did not run.
func TestFailureWithoutRefusalIsUnknown(t *testing.T) {
	f := &fleet{callErr: connect.NewError(connect.CodeUnavailable, errors.New("connection lost"))}
	r := f.run(t, "call", "desk", "bookings")
	require.Equal(t, ExitFailed, r.code)
	require.Contains(t, r.err, "ran: UNKNOWN")
	require.Equal(t, "UNKNOWN", ranText(v1.Ran_RAN_UNSPECIFIED))

	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	r = runWith(map[string]string{envCaller: "http://" + closed.Addr().String()}, "generate", "tutor", "hello")
	require.Equal(t, ExitFailed, r.code)
	require.Contains(t, r.err, "ran: UNKNOWN")
}

// Guards against keys in the output, and against a wrong key that works.
func TestKeysAreSentAndNotPrinted(t *testing.T) {
	f := &fleet{generation: 1, yaml: config}
	url := f.start(t).URL
	r := runWith(nil, "-operator", url, "-operator-key", operatorKey, "get", "config")
	require.Equal(t, ExitOK, r.code, r.err)
	r = runWith(nil, "status", "-operator", url, "-operator-key", "wrong-secret")
	require.Equal(t, ExitFailed, r.code)
	require.NotContains(t, r.out+r.err, "wrong-secret")
	for _, args := range [][]string{{"help", "status"}, {"help"}, {"flags"}, {"status", "-unknown"}} {
		r = runWith(map[string]string{envOperatorKey: "hidden-secret"}, args...)
		require.NotContains(t, r.out+r.err, "hidden-secret")
	}
}

// Guards against wrong arguments that run a command.
func TestWrongArgumentsExitWithUsage(t *testing.T) {
	f := &fleet{yaml: config}
	for _, args := range [][]string{
		{}, {"unknown"}, {"-o", "xml", "status"}, {"status", "extra"}, {"apply"}, {"apply", "f", "-expect", "x"},
		{"generate", "tutor"}, {"generate", "tutor", "p", "-retry"}, {"generate", "tutor", "p", "-position", "3"},
		{"generate", "tutor", "p", "-max", "-1"}, {"customer", "remove", "x"}, {"call", "a", "b", "-retry"},
	} {
		require.Equal(t, ExitUsage, f.run(t, args...).code, "%v", args)
	}
	require.Equal(t, ExitFailed, runWith(nil, "status").code)
}

func chunk(position int64, text string) *v1.GenerateResponse {
	return &v1.GenerateResponse{Event: &v1.GenerateResponse_Chunk{
		Chunk: &v1.Chunk{Position: position, Tokens: int64(len(text)), Text: text},
	}}
}

func started() *v1.GenerateResponse {
	return &v1.GenerateResponse{Event: &v1.GenerateResponse_Started{
		Started: &v1.Started{RequestId: "small/k", IdempotencyKey: "k"},
	}}
}

func finished(tokens int64, text string) *v1.GenerateResponse {
	return &v1.GenerateResponse{Event: &v1.GenerateResponse_Finished{
		Finished: &v1.Finished{OutputTokens: tokens, Checksum: fmt.Sprintf("%016x", xxhash.Sum64String(text))},
	}}
}

// Guards against an answer that is cut, repeated or changed and still exits 0.
func TestIncompleteAnswerIsNotASuccess(t *testing.T) {
	whole := []*v1.GenerateResponse{started(), chunk(0, "abc"), chunk(3, "def"), finished(6, "abcdef")}
	refusal := withDetail(connect.CodeUnavailable, &v1.Refusal{Code: "ENDPOINT_LOST", Ran: v1.Ran_RAN_RAN})
	cases := []struct {
		name   string
		stream []*v1.GenerateResponse
		err    error
		want   string
	}{
		{"no end marker", whole[:3], nil, "without its end marker\nto resume: -key k -retry -position 6"},
		{"no message", nil, nil, "without its end marker"},
		{"lost chunk", []*v1.GenerateResponse{whole[0], whole[2], whole[3]}, nil, "a chunk starts at token 3; token 0 is next\nto read it again"},
		{"repeated chunk", []*v1.GenerateResponse{whole[0], whole[1], whole[1]}, nil, "a chunk starts at token 0; token 3 is next"},
		{"short", []*v1.GenerateResponse{whole[0], whole[1], whole[3]}, nil, "3 tokens arrived; the end marker says 6"},
		{"changed text", []*v1.GenerateResponse{whole[0], chunk(0, "abX"), whole[2], whole[3]}, nil, "the checksum of the text is"},
		{"text behind the end", append(append([]*v1.GenerateResponse{}, whole...), chunk(6, "g")), nil, "follows the end"},
		{"error after the end", whole, refusal, "refused: ENDPOINT_LOST"},
		{"error in the stream", whole[:2], refusal, "to resume: -key k -retry -position 3\nrefused: ENDPOINT_LOST"},
	}
	for _, c := range cases {
		f := &fleet{stream: c.stream, streamErr: c.err}
		r := f.run(t, "generate", "tutor", "hello")
		require.Equal(t, ExitFailed, r.code, c.name)
		require.Contains(t, r.err, "the answer is incomplete", c.name)
		require.Contains(t, r.err, c.want, c.name)
		r = f.run(t, "generate", "tutor", "hello", "-o", "json")
		require.Contains(t, r.out, `"whole": false`, c.name)
	}
	f := &fleet{stream: whole}
	r := f.run(t, "generate", "tutor", "hello")
	require.Equal(t, ExitOK, r.code, r.err)
	require.Equal(t, "abcdef\n", r.out)
	require.Contains(t, f.run(t, "generate", "tutor", "hello", "-o", "json").out, `"whole": true`)
}

// Guards against a resumed answer whose first part is not compared although it is known.
func TestResumedAnswerIsComparedWithTheReceivedText(t *testing.T) {
	f := &fleet{stream: []*v1.GenerateResponse{started(), chunk(3, "def"), finished(6, "abcdef")}}
	resume := []string{"generate", "tutor", "hello", "-key", "k", "-retry", "-position", "3"}
	r := f.run(t, resume...)
	require.Equal(t, ExitOK, r.code, r.err)
	require.Contains(t, r.err, "the checksum was not compared")
	require.Equal(t, ExitOK, f.run(t, append(resume, "-received", writeFile(t, "abc"))...).code)
	require.Equal(t, ExitFailed, f.run(t, append(resume, "-received", writeFile(t, "abX"))...).code)
}

// Guards against any loss, repetition or exchange of chunks that goes unnoticed.
func TestAnswerIsWholeOnlyIfNothingChanged(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		texts := rapid.SliceOfN(rapid.StringMatching(`[a-c]{1,4}`), 1, 8).Draw(rt, "chunks")
		stream := []*v1.GenerateResponse{started()}
		position := int64(0)
		for _, text := range texts {
			stream = append(stream, chunk(position, text))
			position += int64(len(text))
		}
		stream = append(stream, finished(position, strings.Join(texts, "")))
		require.Equal(rt, ExitOK, replay(stream).Exit)

		i := rapid.IntRange(1, len(texts)).Draw(rt, "chunk")
		dropped := append(append([]*v1.GenerateResponse{}, stream[:i]...), stream[i+1:]...)
		require.Equal(rt, ExitFailed, replay(dropped).Exit)
		repeated := append(append([]*v1.GenerateResponse{}, stream[:i+1]...), stream[i:]...)
		require.Equal(rt, ExitFailed, replay(repeated).Exit)
		require.Equal(rt, ExitFailed, replay(stream[:len(stream)-1]).Exit)
	})
}

func replay(stream []*v1.GenerateResponse) Outcome {
	a := newAnswer(0, "")
	for _, m := range stream {
		if _, fault := a.accept(m); fault != nil {
			return a.report(nil, fault)
		}
	}
	return a.report(nil, nil)
}
