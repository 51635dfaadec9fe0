package daemon

import (
	"sync"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/wire"
)

// peers finds the open session of a process and turns frames into events.
type peers struct {
	post    func(event.Event)
	receive func(s *wire.Session, f wire.Frame) error
	closed  func(s *wire.Session)

	mu       sync.Mutex
	sessions map[table.ProcessID]*wire.Session
	dialing  map[table.ProcessID]bool
}

func newPeers(post func(event.Event)) *peers {
	return &peers{post: post, sessions: map[table.ProcessID]*wire.Session{}, dialing: map[table.ProcessID]bool{}}
}

// Opened implements wire.Handler. A newer session replaces an older one.
func (p *peers) Opened(s *wire.Session) {
	id := s.Holder().Process
	p.mu.Lock()
	old := p.sessions[id]
	p.sessions[id] = s
	p.mu.Unlock()
	if old != nil {
		old.Close()
	}
	p.post(event.SessionUp{Session: s.ID, Process: s.Peer.Process, Clock: s.Peer.Clock, Endpoints: s.Peer.Endpoints})
}

// Received implements wire.Handler. A frame that cannot be decoded ends the
// session: what follows could not be trusted.
func (p *peers) Received(s *wire.Session, f wire.Frame) {
	if err := p.receive(s, f); err != nil {
		s.Close()
	}
}

// Closed implements wire.Handler.
func (p *peers) Closed(s *wire.Session) {
	id := s.Holder().Process
	p.mu.Lock()
	if p.sessions[id] == s {
		delete(p.sessions, id)
	}
	p.mu.Unlock()
	if p.closed != nil {
		p.closed(s)
	}
	p.post(event.SessionDown{Session: s.ID, Peer: s.Holder()})
}

func (p *peers) get(id table.ProcessID) *wire.Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sessions[id]
}

func (p *peers) all() []*wire.Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*wire.Session, 0, len(p.sessions))
	for _, s := range p.sessions {
		out = append(out, s)
	}
	return out
}

// send drops a message to a process without a session; every protocol step
// that needs an answer has a timeout of its own.
func (p *peers) send(id table.ProcessID, t wire.Type, body any) {
	if s := p.get(id); s != nil {
		_ = s.Send(t, body)
	}
}

// sendHolder is send for one incarnation only.
func (p *peers) sendHolder(h table.Holder, t wire.Type, body any) error {
	s := p.get(h.Process)
	if s == nil || s.Holder() != h {
		return wire.ErrClosed
	}
	return s.Send(t, body)
}

// beginDial reports whether a dial to id may start.
func (p *peers) beginDial(id table.ProcessID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialing[id] || p.sessions[id] != nil {
		return false
	}
	p.dialing[id] = true
	return true
}

func (p *peers) endDial(id table.ProcessID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.dialing, id)
}
