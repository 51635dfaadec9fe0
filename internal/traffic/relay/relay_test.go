package relay

import (
	"context"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/wire"
)

const requestID = table.RequestID("guild/k")

// harness runs requests on a relay. The test takes the place of the control thread.
type harness struct {
	t      *testing.T
	relay  *Relay
	events chan event.Event
	sent   chan *wire.Dispatch
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, events: make(chan event.Event, 64), sent: make(chan *wire.Dispatch, 4)}
	h.relay = &Relay{
		Directory: NewDirectory(),
		Post:      func(e event.Event) { h.events <- e },
		Send:      func(_ table.Holder, m *wire.Dispatch) error { h.sent <- m; return nil },
		Tracer:    noop.NewTracerProvider().Tracer(""),
	}
	return h
}

// recorder is a Writer that stores what it is sent and signals each chunk.
type recorder struct {
	text     strings.Builder
	position table.Tokens
	chunks   chan struct{}
}

func (r *recorder) Started(table.RequestID) error { return nil }

func (r *recorder) Chunk(position, tokens table.Tokens, text string) error {
	r.text.WriteString(text)
	r.position = position + tokens
	r.chunks <- struct{}{}
	return nil
}

func newRecorder() *recorder { return &recorder{chunks: make(chan struct{}, 64)} }

// run starts a request and returns its reply id and a channel for its result.
func (h *harness) run(ctx context.Context, w Writer, position table.Tokens) (uint64, <-chan Result) {
	done := make(chan Result, 1)
	go func() {
		done <- h.relay.Run(ctx, event.Arrival{ResumePosition: position}, Payload{Prompt: "p"}, w)
	}()
	return (<-h.events).(event.Arrival).ReplyID, done
}

// dispatch starts an attempt and returns the message sent to the agent.
func (h *harness) dispatch(attempt uint32) *wire.Dispatch {
	require.True(h.t, h.relay.Directory.Dispatch(command.Dispatch{Dispatch: event.Dispatch{Request: requestID, Attempt: attempt}}))
	return <-h.sent
}

func (h *harness) chunk(attempt uint32, position table.Tokens, text string) {
	h.relay.Directory.Chunk(wire.Chunk{Request: requestID, Attempt: attempt, Position: position, Tokens: 1, Text: text})
}

// end delivers the end of an attempt and returns the event that the relay posted for it.
func (h *harness) end(e wire.End) event.AttemptEnd {
	e.Request = requestID
	h.relay.Directory.End(e)
	for {
		if end, ok := (<-h.events).(event.AttemptEnd); ok {
			return end
		}
	}
}

// Guards against delivering chunks of an earlier attempt, or the same chunk twice, after a retry.
func TestChunksOfOtherAttemptsAreDropped(t *testing.T) {
	h := newHarness(t)
	writer := newRecorder()
	replyID, done := h.run(context.Background(), writer, 0)
	h.relay.Directory.Accept(command.Accept{ReplyID: replyID, Request: requestID})
	h.dispatch(1)
	h.chunk(1, 0, "a")
	<-writer.chunks
	require.Equal(t, event.AttemptBroken, h.end(wire.End{Attempt: 1, Status: event.AttemptBroken}).Status)
	m := h.dispatch(2)
	require.Equal(t, "a", m.Prefix)
	require.EqualValues(t, 1, m.StartPosition)
	h.chunk(1, 1, "late")
	h.chunk(2, 0, "a")
	h.chunk(2, 1, "b")
	h.chunk(2, 1, "b")
	end := h.end(wire.End{Attempt: 2, Status: event.AttemptDone, Position: 2, Checksum: xxhash.Sum64String("ab")})
	require.Equal(t, event.AttemptDone, end.Status)
	h.relay.Directory.Reply(command.Reply{ReplyID: replyID, Request: requestID, Outcome: table.Outcome{OK: true}})
	require.True(t, (<-done).Outcome.OK)
	require.Equal(t, "ab", writer.text.String())
}

// Guards against reporting a truncated or corrupted answer as successful.
func TestLengthOrChecksumMismatchBreaksAttempt(t *testing.T) {
	for name, e := range map[string]wire.End{
		"too short": {Position: 2, Checksum: xxhash.Sum64String("ab")},
		"changed":   {Position: 1, Checksum: xxhash.Sum64String("x")},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			writer := newRecorder()
			replyID, done := h.run(context.Background(), writer, 0)
			h.relay.Directory.Accept(command.Accept{ReplyID: replyID, Request: requestID})
			h.dispatch(1)
			h.chunk(1, 0, "a")
			e.Attempt, e.Status = 1, event.AttemptDone
			require.Equal(t, event.AttemptBroken, h.end(e).Status)
			h.relay.Directory.Reply(command.Reply{ReplyID: replyID, Request: requestID})
			<-done
		})
	}
}

// Guards against lost or repeated text when a caller reconnects to its running request after its
// connection broke.
func TestCallerReconnectsToRunningRequest(t *testing.T) {
	h := newHarness(t)
	first := newRecorder()
	ctx, disconnect := context.WithCancel(context.Background())
	replyID, done := h.run(ctx, first, 0)
	h.relay.Directory.Accept(command.Accept{ReplyID: replyID, Request: requestID})
	h.dispatch(1)
	for i, text := range []string{"a", "b", "c"} {
		h.chunk(1, table.Tokens(i), text)
		<-first.chunks
	}
	disconnect()
	for {
		if _, ok := (<-h.events).(event.CallerDisconnect); ok {
			break
		}
	}
	second := newRecorder()
	secondReplyID, secondDone := h.run(context.Background(), second, 2)
	h.relay.Directory.Accept(command.Accept{ReplyID: secondReplyID, Request: requestID, Attach: true, ResumePosition: 2})
	h.chunk(1, 3, "d")
	require.Equal(t, table.CodeCancelled, (<-done).Outcome.Code)
	end := h.end(wire.End{Attempt: 1, Status: event.AttemptDone, Position: 4, Checksum: xxhash.Sum64String("abcd")})
	require.Equal(t, event.AttemptDone, end.Status)
	h.relay.Directory.Reply(command.Reply{ReplyID: secondReplyID, Request: requestID, Outcome: table.Outcome{OK: true}})
	result := <-secondDone
	require.True(t, result.Outcome.OK)
	require.Equal(t, xxhash.Sum64String("abcd"), result.Checksum)
	require.Equal(t, "cd", second.text.String())
}
