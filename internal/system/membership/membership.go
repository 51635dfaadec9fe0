// Package membership decides which processes and endpoints are live, suspect,
// leaving or gone. It opens sessions to peers and sends heartbeats.
package membership

import (
	"strconv"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// suspectIntervals is the number of heartbeat intervals without a heartbeat
	// after which a process is suspect.
	suspectIntervals = 3
	// goneAfter is how long a process must be silent, and missing from the
	// platform's list, before it counts as gone.
	goneAfter = 10 * time.Second
	// slowHeartbeatSessions is the number of sessions above which heartbeats are
	// slowed down by slowHeartbeatFactor, to keep control traffic within 20 KB/s.
	slowHeartbeatSessions = 100
	slowHeartbeatFactor   = 3
	// peerQueryInterval is how often a router that cannot reach the platform asks
	// another router for the processes that it knows.
	peerQueryInterval = 5 * time.Second
	// minRedialDelay and maxRedialDelay bound the delay between attempts to
	// connect.
	minRedialDelay = 200 * time.Millisecond
	maxRedialDelay = 5 * time.Second
)

// System schedules heartbeats and dials.
type System struct {
	nextHeartbeat table.Instant
	dials         table.Table[table.ProcessID, dialState]
	// nextDial is when the next dial is due, or Never.
	nextDial      table.Instant
	nextPeerQuery table.Instant
	// sentLeaving is the leaving flag of the last heartbeat. A change is sent
	// immediately.
	sentLeaving bool
}

// dialState is when to dial a process next and the delay after that.
type dialState struct {
	next  table.Instant
	delay time.Duration
}

// New returns the membership system.
func New() *System { return &System{nextDial: table.Never} }

// Run implements world.System.
func (s *System) Run(w *world.World) {
	applyLists(w)
	applySessions(w)
	applyHeartbeats(w)
	applyPlatformState(w)
	applyRegistration(w)
	changed := s.applyDrainOrders(w)
	if now := w.Now; now >= s.nextHeartbeat || changed || s.sentLeaving != w.Draining {
		s.updateStates(w)
		s.dialPeers(w)
		s.queryPeers(w)
		s.sendHeartbeat(w)
		s.nextHeartbeat = now.Add(heartbeatInterval(w))
	} else if len(w.In.SessionsOpened)+len(w.In.SessionsClosed)+len(w.In.ProcessLists)+len(w.In.MemberLists) > 0 {
		s.updateStates(w)
		s.dialPeers(w)
	} else {
		updateHeartbeatSenders(w)
		if now >= s.nextDial {
			s.dialPeers(w)
		}
	}
	w.WakeAt(s.nextHeartbeat)
	w.WakeAt(s.nextDial)
}

// queryPeers asks a random connected router for its configuration and processes
// while the platform is unreachable. It repeats the query because a peer may not
// have known all processes when it answered.
func (s *System) queryPeers(w *world.World) {
	if w.PlatformReachable || w.Params.Self.Role != table.RoleRouter || w.Now < s.nextPeerQuery {
		return
	}
	var routers []table.ProcessID
	w.Processes.Each(func(id table.ProcessID, p *table.Process) {
		if p.Connected && p.Role == table.RoleRouter {
			routers = append(routers, id)
		}
	})
	if len(routers) == 0 {
		return
	}
	s.nextPeerQuery = w.Now.Add(peerQueryInterval)
	to := routers[w.Rand.IntN(len(routers))]
	w.Out.ConfigRequests = append(w.Out.ConfigRequests, command.RequestConfig{To: to})
	w.Count("processes_asked")
}

// wantedInterval returns the heartbeat interval for this process's number of
// sessions.
func wantedInterval(w *world.World) time.Duration {
	connected := 0
	w.Processes.Each(func(_ table.ProcessID, p *table.Process) {
		if p.Connected {
			connected++
		}
	})
	if connected > slowHeartbeatSessions {
		return w.Params.HeartbeatInterval * slowHeartbeatFactor
	}
	return w.Params.HeartbeatInterval
}

// heartbeatInterval returns the time between heartbeats: the longest interval that
// this process or a connected peer wants, so that a process with many sessions
// receives few heartbeats.
func heartbeatInterval(w *world.World) time.Duration {
	longest := wantedInterval(w)
	w.Processes.Each(func(_ table.ProcessID, p *table.Process) {
		if p.Connected {
			longest = max(longest, min(p.WantedInterval, w.Params.HeartbeatInterval*slowHeartbeatFactor))
		}
	})
	return longest
}

// suspectTimeout returns how long a process may be silent before it is suspect.
func suspectTimeout(w *world.World, p *table.Process) time.Duration {
	announced := min(p.Interval, w.Params.HeartbeatInterval*slowHeartbeatFactor)
	return max(announced, w.Params.HeartbeatInterval) * suspectIntervals
}

func applyLists(w *world.World) {
	for _, l := range w.In.ProcessLists {
		for _, p := range l.Processes {
			upsertListedProcess(w, p)
		}
		for _, e := range l.Endpoints {
			upsertEndpoint(w, e)
		}
	}
	for _, l := range w.In.MemberLists {
		applyMemberList(w, l)
	}
}

func applyMemberList(w *world.World, l event.MemberList) {
	w.Processes.Each(func(_ table.ProcessID, p *table.Process) { p.Unlisted, p.ListedLeaving = true, false })
	for _, m := range l.Members {
		if p := w.Processes.Get(m.Process); p != nil {
			p.Unlisted, p.ListedLeaving = false, m.Leaving
		}
	}
}

// upsertListedProcess inserts or updates a process from its object on the platform.
// The object is older than what the process itself reports, so the row of a
// connected process is kept.
func upsertListedProcess(w *world.World, p table.Process) {
	if p.ID() == w.Self().Process {
		return
	}
	p.State, p.Connected, p.Session = table.ProcessUnknown, false, 0
	old := w.Processes.Get(p.ID())
	if old == nil {
		p.LastHeard = w.Now
		w.Processes.Put(p.ID(), p)
		return
	}
	if old.Incarnation == p.Incarnation {
		old.Left = p.Left
		return
	}
	if old.Connected {
		return
	}
	p.Unlisted, p.ListedLeaving, p.LastHeard = old.Unlisted, old.ListedLeaving, w.Now
	*old = p
}

func upsertEndpoint(w *world.World, e table.Endpoint) {
	old := w.Endpoints.Get(e.ID)
	if old == nil {
		w.Endpoints.Put(e.ID, e)
		return
	}
	old.Agent, old.Service, old.Slots = e.Agent, e.Service, e.Slots
	old.Region, old.Domain, old.ChecksFencing = e.Region, e.Domain, e.ChecksFencing
}

// applyRegistration records this process's own start number.
func applyRegistration(w *world.World) {
	for _, e := range w.In.Registrations {
		w.AwaitingRegistration = false
		w.RecordStateChange("process", string(w.Self().Process), "starting", "registered", "start "+strconv.FormatUint(e.StartNumber, 10))
		w.Params.Self.StartNumber = e.StartNumber
		if self := w.Processes.Get(w.Self().Process); self != nil {
			self.StartNumber = e.StartNumber
		}
	}
}

func applySessions(w *world.World) {
	for _, opened := range w.In.SessionsOpened {
		p := opened.Process
		p.Connected, p.Session, p.LastHeard, p.State = true, opened.Session, w.Now, table.ProcessLive
		p.PeerClock, p.PeerClockAt = opened.PeerClock, w.Now
		if old := w.Processes.Get(p.ID()); old != nil {
			p.Unlisted, p.ListedLeaving = old.Unlisted, old.ListedLeaving
			recordStateChange(w, old, p.State, "session opened")
		}
		w.Processes.Put(p.ID(), p)
		for _, e := range opened.Endpoints {
			upsertEndpoint(w, e)
		}
	}
	for _, closed := range w.In.SessionsClosed {
		if p := w.Processes.Get(closed.Peer.Process); p != nil && p.Session == closed.Session {
			p.Connected = false
		}
	}
}

func applyHeartbeats(w *world.World) {
	for _, h := range w.In.Heartbeats {
		p := w.Processes.Get(h.Peer.Process)
		if p == nil || p.Holder != h.Peer {
			continue
		}
		p.LastHeard, p.Generation, p.AnnouncedLeaving = w.Now, h.Generation, h.Leaving
		p.Interval, p.WantedInterval = h.Interval, h.WantedInterval
		p.PeerClock, p.PeerClockAt = h.Clock, w.Now
		for _, l := range h.Endpoints {
			applyEndpointLoad(w, p, l)
		}
	}
}

func applyEndpointLoad(w *world.World, p *table.Process, l event.EndpointLoad) {
	e := w.Endpoints.Get(l.Endpoint)
	if e == nil || e.Agent != p.ID() {
		return
	}
	e.Slots, e.AgentInFlight, e.AgentTokens, e.AgentLoadAt = l.Slots, l.InFlight, l.InFlightTokens, w.Now
	e.ReportTokens, e.ReportAge = l.ReportTokens, l.ReportAge
	setEndpointState(w, e, l.State, "agent's heartbeat")
}

func applyPlatformState(w *world.World) {
	for _, p := range w.In.PlatformStates {
		if p.Reachable == w.PlatformReachable {
			continue
		}
		from, to := "reachable", "unreachable"
		if p.Reachable {
			from, to = to, from
		}
		w.PlatformReachable, w.PlatformStateSince = p.Reachable, w.Now
		w.RecordStateChange("platform", "object API", from, to, "last call")
		w.Count("platform_" + to)
	}
}

func setEndpointState(w *world.World, e *table.Endpoint, s table.EndpointState, reason string) {
	if e.State == s {
		return
	}
	w.RecordStateChange("endpoint", string(e.ID), e.State.String(), s.String(), reason)
	w.Count("endpoint_" + s.String())
	e.State, e.Reason = s, reason
}

// applyDrainOrders marks this agent's endpoints as leaving on an operator's order.
// A router forwards the order to the endpoint's agent.
func (s *System) applyDrainOrders(w *world.World) bool {
	changed := false
	for _, d := range w.In.DrainOrders {
		if w.Params.Self.Role == table.RoleAgent {
			s.drainOwnEndpoints(w, d)
			changed = true
			continue
		}
		forwardDrain(w, d)
	}
	return changed
}

// drainOwnEndpoints applies the order to one endpoint, or to all endpoints if the
// target is this agent.
func (s *System) drainOwnEndpoints(w *world.World, d event.DrainOrder) {
	w.Endpoints.Each(func(id table.EndpointID, e *table.Endpoint) {
		if d.Target != string(id) && d.Target != string(w.Self().Process) {
			return
		}
		if d.Undo {
			setEndpointState(w, e, table.EndpointLive, "drain taken back: "+d.Reason)
			return
		}
		setEndpointState(w, e, table.EndpointLeaving, "drained by operator: "+d.Reason)
	})
}

func forwardDrain(w *world.World, d event.DrainOrder) {
	reply := command.DrainReply{ReplyID: d.ReplyID}
	agent := table.ProcessID(d.Target)
	if e := w.Endpoints.Get(table.EndpointID(d.Target)); e != nil {
		agent = e.Agent
	}
	p := w.Processes.Get(agent)
	switch {
	case p == nil || p.Role != table.RoleAgent:
		reply.Reason = "no endpoint or agent has this id"
	case !p.Connected:
		reply.Reason = "no session with agent " + string(agent)
	default:
		w.Out.DrainOrders = append(w.Out.DrainOrders, command.SendDrainOrder{To: agent, Order: d})
	}
	w.Out.DrainReplies = append(w.Out.DrainReplies, reply)
}

func (s *System) updateStates(w *world.World) {
	w.Processes.Each(func(id table.ProcessID, p *table.Process) {
		if id != w.Self().Process {
			updateState(w, p)
		}
	})
}

func updateState(w *world.World, p *table.Process) {
	state, reason := evaluateState(w, p)
	recordStateChange(w, p, state, reason)
	p.State = state
}

// updateHeartbeatSenders updates only the processes that sent a heartbeat. Updating
// all processes on every heartbeat would cost time quadratic in the fleet size.
func updateHeartbeatSenders(w *world.World) {
	for _, h := range w.In.Heartbeats {
		if p := w.Processes.Get(h.Peer.Process); p != nil && p.Holder == h.Peer {
			updateState(w, p)
		}
	}
}

func evaluateState(w *world.World, p *table.Process) (table.ProcessState, string) {
	silence := w.Now.Sub(p.LastHeard)
	switch {
	case !p.Connected && p.Left:
		return table.ProcessGone, "ended gracefully"
	case !p.Connected && p.Unlisted && silence > goneAfter:
		return table.ProcessGone, "off the platform's list and silent"
	case p.AnnouncedLeaving:
		return table.ProcessLeaving, "leaving notice"
	case p.ListedLeaving:
		return table.ProcessLeaving, "platform's list"
	case silence > suspectTimeout(w, p):
		return table.ProcessSuspect, "no heartbeat"
	case p.Connected:
		return table.ProcessLive, "heartbeat"
	case p.State == table.ProcessUnknown:
		return table.ProcessUnknown, "listed"
	default:
		return table.ProcessSuspect, "session closed"
	}
}

func recordStateChange(w *world.World, p *table.Process, s table.ProcessState, reason string) {
	if p.State == s {
		return
	}
	w.RecordStateChange("process", string(p.ID()), p.State.String(), s.String(), reason)
	w.Count("process_" + s.String())
}

// dialPeers opens missing sessions. A router dials agents, and routers with a
// higher id, so that two processes never dial each other.
func (s *System) dialPeers(w *world.World) {
	s.nextDial = table.Never
	if w.Params.Self.Role != table.RoleRouter || w.Draining {
		return
	}
	w.Processes.Each(func(id table.ProcessID, p *table.Process) {
		if p.Connected || p.State == table.ProcessGone || p.Address == "" || !shouldDial(w.Self().Process, p) {
			s.dials.Delete(id)
			return
		}
		s.dialPeer(w, p)
	})
}

func shouldDial(self table.ProcessID, p *table.Process) bool {
	return p.Role == table.RoleAgent || p.ID() > self
}

func (s *System) dialPeer(w *world.World, p *table.Process) {
	d := s.dials.Get(p.ID())
	if d == nil {
		d = s.dials.Put(p.ID(), dialState{next: w.Now, delay: minRedialDelay})
	}
	if d.next <= w.Now {
		w.Out.Dials = append(w.Out.Dials, command.Dial{Process: p.ID(), Address: p.Address})
		w.Count("dials")
		jitter := time.Duration(w.Rand.Int64N(int64(d.delay)))
		d.next = w.Now.Add(d.delay + jitter)
		d.delay = min(2*d.delay, maxRedialDelay)
	}
	s.nextDial = min(s.nextDial, d.next)
}

func (s *System) sendHeartbeat(w *world.World) {
	s.sentLeaving = w.Draining
	if self := w.Processes.Get(w.Self().Process); self != nil {
		self.LastHeard, self.Generation, self.AnnouncedLeaving = w.Now, w.Config.Generation, w.Draining
	}
	w.Out.Heartbeats = append(w.Out.Heartbeats, command.SendHeartbeat{Heartbeat: event.Heartbeat{
		Peer:           w.Self(),
		Clock:          w.Now,
		Generation:     w.Config.Generation,
		Leaving:        w.Draining,
		Interval:       heartbeatInterval(w),
		WantedInterval: wantedInterval(w),
		Endpoints:      ownEndpointLoads(w),
	}})
}

func ownEndpointLoads(w *world.World) []event.EndpointLoad {
	if w.Params.Self.Role != table.RoleAgent {
		return nil
	}
	var loads []event.EndpointLoad
	w.Endpoints.Each(func(id table.EndpointID, e *table.Endpoint) {
		if e.Agent != w.Self().Process {
			return
		}
		state := e.State
		if w.Draining {
			state = table.EndpointLeaving
		}
		loads = append(loads, event.EndpointLoad{
			Endpoint: id, State: state, Slots: e.Slots, InFlight: e.InFlight, InFlightQuick: e.InFlightQuick,
			InFlightTokens: e.InFlightTokens, ReportTokens: e.ReportTokens, ReportAge: e.ReportAge,
			FirstTokenTime: e.FirstTokenTime, TokenTime: e.TokenTime, Samples: e.AgentSamples,
		})
	})
	return loads
}
