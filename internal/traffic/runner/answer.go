// Package runner runs requests at the endpoints of an agent. It keeps their answers, so that a
// retry can be answered without running the request again.
package runner

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/wire"
)

// Sender sends messages to a router. It is implemented by wire.Session.
type Sender interface {
	Send(t wire.Type, body any) error
}

// subscriber is an attempt that receives the answer.
type subscriber struct {
	sender  Sender
	attempt uint32
	// replay is true if another attempt started the run. The run is charged to that attempt.
	replay bool
}

// answer is the output for one request id, starting at position 0 even if the run continued the
// text of an earlier attempt. Only the goroutine of the run writes it; attempts may subscribe at
// any time, also after the end.
type answer struct {
	request table.RequestID

	mu          sync.Mutex
	text        chunkedText
	position    table.Tokens
	hash        *xxhash.Digest
	end         *wire.End
	subscribers []subscriber
}

// newAnswer returns an answer that starts with the text delivered by earlier attempts.
func newAnswer(id table.RequestID, prefix string, position table.Tokens) *answer {
	a := &answer{request: id, hash: xxhash.New()}
	if position > 0 {
		a.append(position, prefix)
	}
	return a
}

// append adds a chunk and sends it to all subscribers.
func (a *answer) append(tokens table.Tokens, text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	chunk := wire.Chunk{Request: a.request, Position: a.position, Tokens: tokens, Text: text}
	a.text.append(tokens, text)
	a.position += tokens
	// Digest.WriteString never fails.
	_, _ = a.hash.WriteString(text)
	for _, s := range a.subscribers {
		s.send(chunk)
	}
}

// finish sends the end of the answer, with its length and checksum, to all subscribers and
// stores it for later ones.
func (a *answer) finish(end wire.End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	end.Request, end.Position, end.Checksum = a.request, a.position, a.hash.Sum64()
	if end.Body != nil {
		end.Checksum = xxhash.Sum64(end.Body)
	}
	a.end = &end
	a.text.trimCapacity()
	a.hash = nil
	for _, s := range a.subscribers {
		s.finish(end)
	}
	a.subscribers = nil
}

// subscribe sends the chunks that reach beyond a position, then later chunks and the end as they
// come.
func (a *answer) subscribe(s subscriber, from table.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.text.forEachFrom(from, func(position, tokens table.Tokens, text string) {
		s.send(wire.Chunk{Request: a.request, Position: position, Tokens: tokens, Text: text})
	})
	if a.end == nil {
		a.subscribers = append(a.subscribers, s)
		return
	}
	s.finish(*a.end)
}

// send ignores errors: a run continues when a session is closed, and its answer is kept for
// retries.
func (s subscriber) send(chunk wire.Chunk) {
	chunk.Attempt = s.attempt
	_ = s.sender.Send(wire.TypeChunk, &chunk)
}

func (s subscriber) finish(end wire.End) {
	end.Attempt, end.Replayed = s.attempt, s.replay
	_ = s.sender.Send(wire.TypeEnd, &end)
}
