// Package runner runs requests at the endpoints of an agent and keeps their
// answers for retries.
package runner

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/wire"
)

// Sender is the session that an answer goes to.
type Sender interface {
	Send(t wire.Type, body any) error
}

// subscriber is an attempt of a router that gets the answer.
type subscriber struct {
	session Sender
	attempt uint32
	// replay is true when another attempt started the run, which is billed there.
	replay bool
}

// answer is the output of one request id, complete from position 0. It is
// written by the goroutine of its run; readers may subscribe at any time.
type answer struct {
	request table.RequestID

	mu        sync.Mutex
	text      text
	position  table.Tokens
	hash      *xxhash.Digest
	end       *wire.End
	receivers []subscriber
}

func newAnswer(id table.RequestID, prefix string, position table.Tokens) *answer {
	a := &answer{request: id, hash: xxhash.New()}
	if position > 0 {
		a.append(position, prefix)
	}
	return a
}

// append adds text and sends it to all receivers.
func (a *answer) append(tokens table.Tokens, text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := wire.Chunk{Request: a.request, Position: a.position, Tokens: tokens, Text: text}
	a.text.append(tokens, text)
	a.position += tokens
	// Digest.WriteString never fails.
	_, _ = a.hash.WriteString(text)
	for _, r := range a.receivers {
		r.send(c)
	}
}

// finish completes the answer and returns its end as sent.
func (a *answer) finish(e wire.End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e.Request, e.Position, e.Checksum = a.request, a.position, a.hash.Sum64()
	if e.Body != nil {
		e.Checksum = xxhash.Sum64(e.Body)
	}
	a.end = &e
	a.text.clip()
	a.hash = nil
	for _, r := range a.receivers {
		r.finish(e)
	}
	a.receivers = nil
}

// subscribe sends what there is from a position on, then what follows.
func (a *answer) subscribe(r subscriber, from table.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.text.each(from, func(position, tokens table.Tokens, text string) {
		r.send(wire.Chunk{Request: a.request, Position: position, Tokens: tokens, Text: text})
	})
	if a.end == nil {
		a.receivers = append(a.receivers, r)
		return
	}
	r.finish(*a.end)
}

// A closed session is not an error for the run: its answer is kept.
func (r subscriber) send(c wire.Chunk) {
	c.Attempt = r.attempt
	_ = r.session.Send(wire.TypeChunk, &c)
}

func (r subscriber) finish(e wire.End) {
	e.Attempt, e.Replayed = r.attempt, r.replay
	_ = r.session.Send(wire.TypeEnd, &e)
}
