// Package peering manages the sessions with other processes of the fleet.
package peering

import (
	"context"
	"sync"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/wire"
)

// Peers holds at most one open session per process and posts events for sessions and received
// frames. It implements wire.Handler and is safe for concurrent use.
type Peers struct {
	// Post queues an event for the control thread.
	Post func(event.Event)
	// HandleFrame processes a received frame. If it returns an error, the session is closed.
	HandleFrame func(s *wire.Session, f wire.Frame) error
	// OnSessionClosed, if set, is called when a session was closed, before the event is posted.
	OnSessionClosed func(s *wire.Session)
	// OnDialError, if set, is called when a dial failed to open a session.
	OnDialError func(id table.ProcessID, err error)

	mu       sync.Mutex
	sessions map[table.ProcessID]*wire.Session
	dialing  map[table.ProcessID]bool
}

// New returns a Peers with no sessions.
func New(post func(event.Event)) *Peers {
	return &Peers{Post: post, sessions: map[table.ProcessID]*wire.Session{}, dialing: map[table.ProcessID]bool{}}
}

// Opened implements wire.Handler. A new session replaces and closes an earlier one with the
// same process.
func (p *Peers) Opened(s *wire.Session) {
	id := s.Holder().Process
	p.mu.Lock()
	previous := p.sessions[id]
	p.sessions[id] = s
	p.mu.Unlock()
	if previous != nil {
		previous.Close()
	}
	p.Post(event.SessionOpened{Session: s.ID, Process: s.Peer.Process, PeerClock: s.Peer.Clock, Endpoints: s.Peer.Endpoints})
}

// Received implements wire.Handler. It closes the session on a frame that can't be decoded,
// because later frames can't be trusted either.
func (p *Peers) Received(s *wire.Session, f wire.Frame) {
	if err := p.HandleFrame(s, f); err != nil {
		s.Close()
	}
}

// Closed implements wire.Handler.
func (p *Peers) Closed(s *wire.Session) {
	id := s.Holder().Process
	p.mu.Lock()
	if p.sessions[id] == s {
		delete(p.sessions, id)
	}
	p.mu.Unlock()
	if p.OnSessionClosed != nil {
		p.OnSessionClosed(s)
	}
	p.Post(event.SessionClosed{Session: s.ID, Peer: s.Holder()})
}

// sessionOf returns the open session with a process, or nil.
func (p *Peers) sessionOf(id table.ProcessID) *wire.Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sessions[id]
}

// Sessions returns the open sessions.
func (p *Peers) Sessions() []*wire.Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	sessions := make([]*wire.Session, 0, len(p.sessions))
	for _, s := range p.sessions {
		sessions = append(sessions, s)
	}
	return sessions
}

// Send queues a message to a process. Without an open session the message is dropped; every
// request that expects a response has a timeout.
func (p *Peers) Send(id table.ProcessID, t wire.Type, body any) {
	if s := p.sessionOf(id); s != nil {
		_ = s.Send(t, body)
	}
}

// SendToIncarnation queues a message only if the session belongs to the given incarnation of
// the process. An error means that the message was not queued.
func (p *Peers) SendToIncarnation(h table.Holder, t wire.Type, body any) error {
	s := p.sessionOf(h.Process)
	if s == nil || s.Holder() != h {
		return wire.ErrClosed
	}
	return s.Send(t, body)
}

// Dial opens a session with a process in the background, unless one is open or being opened.
// Failed dials are not repeated here: the systems of the control thread retry and record their
// decisions about unreachable processes.
func (p *Peers) Dial(ctx context.Context, node *wire.Node, c command.Dial) {
	if !p.startDial(c.Process) {
		return
	}
	go func() {
		defer p.finishDial(c.Process)
		if err := node.Dial(ctx, c.Address); err != nil && p.OnDialError != nil {
			p.OnDialError(c.Process, err)
		}
	}()
}

// startDial marks a process as being dialed. It returns false if it already is or if a session
// is open.
func (p *Peers) startDial(id table.ProcessID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialing[id] || p.sessions[id] != nil {
		return false
	}
	p.dialing[id] = true
	return true
}

// finishDial clears the mark set by startDial.
func (p *Peers) finishDial(id table.ProcessID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.dialing, id)
}

// PostDecoded decodes the body of a frame as an event and posts it. Before that it calls
// complete, which sets the fields that come from the session, such as the sender's identity.
func PostDecoded[E event.Event](p *Peers, f wire.Frame, complete func(*E)) error {
	e, err := wire.Decode[E](f)
	if err != nil {
		return err
	}
	complete(&e)
	p.Post(e)
	return nil
}
