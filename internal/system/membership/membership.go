// Package membership decides which processes and endpoints are live, suspect,
// leaving or gone, and keeps sessions and heartbeats going.
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
	// suspectAfter is the number of silent heartbeat intervals after which a
	// process is suspect.
	suspectAfter = 3
	// goneAfter is how long a process must be silent and off the platform's
	// list before it counts as gone.
	goneAfter = 10 * time.Second
	// manySessions is the number of sessions above which heartbeats slow down,
	// to keep control traffic within 20 KB/s.
	manySessions = 100
	slowFactor   = 3
	// learnInterval is how often a router that cannot reach the platform asks
	// another router for the processes it knows.
	learnInterval = 5 * time.Second
	// firstRedial and lastRedial bound the delay between attempts to connect.
	firstRedial = 200 * time.Millisecond
	lastRedial  = 5 * time.Second
)

// System keeps the schedule of heartbeats and dials.
type System struct {
	nextBeat table.Instant
	dials    table.Table[table.ProcessID, dial]
	// nextDial is when the next dial is due, or Never.
	nextDial  table.Instant
	nextLearn table.Instant
	// leaving is what the last heartbeat said, so that a change is sent at once.
	leaving bool
}

type dial struct {
	next  table.Instant
	delay time.Duration
}

// New returns the system.
func New() *System { return &System{nextDial: table.Never} }

// Run implements world.System.
func (s *System) Run(w *world.World) {
	readLists(w)
	readSessions(w)
	readHeartbeats(w)
	readPlatform(w)
	readRegistered(w)
	changed := s.readDrains(w)
	if now := w.Now; now >= s.nextBeat || changed || s.leaving != w.Draining {
		s.updateStates(w)
		s.dialPeers(w)
		s.learnFromPeers(w)
		s.sendHeartbeat(w)
		s.nextBeat = now.Add(interval(w))
	} else if len(w.In.SessionUps)+len(w.In.SessionDowns)+len(w.In.ProcessLists)+len(w.In.MemberLists) > 0 {
		s.updateStates(w)
		s.dialPeers(w)
	} else {
		updateHeard(w)
		if now >= s.nextDial {
			s.dialPeers(w)
		}
	}
	w.WakeAt(s.nextBeat)
	w.WakeAt(s.nextDial)
}

// learnFromPeers asks a random live router for its configuration and processes
// while the platform is away. One answer is not enough: the peer may not have
// known all processes when it gave it.
func (s *System) learnFromPeers(w *world.World) {
	if w.PlatformUp || w.Params.Self.Role != table.RoleRouter || w.Now < s.nextLearn {
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
	s.nextLearn = w.Now.Add(learnInterval)
	to := routers[w.Rand.IntN(len(routers))]
	w.Out.ConfigAsks = append(w.Out.ConfigAsks, command.AskConfig{To: to})
	w.Count("processes_asked")
}

// wanted returns the interval that suits this process's number of sessions.
func wanted(w *world.World) time.Duration {
	connected := 0
	w.Processes.Each(func(_ table.ProcessID, p *table.Process) {
		if p.Connected {
			connected++
		}
	})
	if connected > manySessions {
		return w.Params.HeartbeatInterval * slowFactor
	}
	return w.Params.HeartbeatInterval
}

// interval returns the time between heartbeats: what this process and each of
// its peers want, so that a process with many sessions gets few heartbeats.
func interval(w *world.World) time.Duration {
	longest := wanted(w)
	w.Processes.Each(func(_ table.ProcessID, p *table.Process) {
		if p.Connected {
			longest = max(longest, min(p.Wanted, w.Params.HeartbeatInterval*slowFactor))
		}
	})
	return longest
}

// silence returns how long a process may be silent before it is suspect.
func silence(w *world.World, p *table.Process) time.Duration {
	told := min(p.Interval, w.Params.HeartbeatInterval*slowFactor)
	return max(told, w.Params.HeartbeatInterval) * suspectAfter
}

func readLists(w *world.World) {
	for _, l := range w.In.ProcessLists {
		for _, p := range l.Processes {
			upsertListed(w, p)
		}
		for _, e := range l.Endpoints {
			upsertEndpoint(w, e)
		}
	}
	for _, l := range w.In.MemberLists {
		readMembers(w, l)
	}
}

func readMembers(w *world.World, l event.MemberList) {
	w.Processes.Each(func(_ table.ProcessID, p *table.Process) { p.Unlisted, p.ListedLeaving = true, false })
	for _, m := range l.Members {
		if p := w.Processes.Get(m.Process); p != nil {
			p.Unlisted, p.ListedLeaving = false, m.Leaving
		}
	}
}

// upsertListed takes a process object. An object is older than what the process
// says itself, so a connected process keeps its row.
func upsertListed(w *world.World, p table.Process) {
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

// readRegistered notes this process's own start number.
func readRegistered(w *world.World) {
	for _, e := range w.In.Registered {
		w.AwaitRegistration = false
		w.Change("process", string(w.Self().Process), "starting", "registered", "start "+strconv.FormatUint(e.Start, 10))
		w.Params.Self.Start = e.Start
		if self := w.Processes.Get(w.Self().Process); self != nil {
			self.Start = e.Start
		}
	}
}

func readSessions(w *world.World) {
	for _, up := range w.In.SessionUps {
		p := up.Process
		p.Connected, p.Session, p.LastHeard, p.State = true, up.Session, w.Now, table.ProcessLive
		p.PeerClock, p.PeerClockAt = up.Clock, w.Now
		if old := w.Processes.Get(p.ID()); old != nil {
			p.Unlisted, p.ListedLeaving = old.Unlisted, old.ListedLeaving
			reportState(w, old, p.State, "session opened")
		}
		w.Processes.Put(p.ID(), p)
		for _, e := range up.Endpoints {
			upsertEndpoint(w, e)
		}
	}
	for _, down := range w.In.SessionDowns {
		if p := w.Processes.Get(down.Peer.Process); p != nil && p.Session == down.Session {
			p.Connected = false
		}
	}
}

func readHeartbeats(w *world.World) {
	for _, h := range w.In.Heartbeats {
		p := w.Processes.Get(h.Peer.Process)
		if p == nil || p.Holder != h.Peer {
			continue
		}
		p.LastHeard, p.Generation, p.NoticeLeaving = w.Now, h.Generation, h.Leaving
		p.Interval, p.Wanted = h.Interval, h.Wanted
		p.PeerClock, p.PeerClockAt = h.Clock, w.Now
		for _, l := range h.Endpoints {
			readLoad(w, p, l)
		}
	}
}

func readLoad(w *world.World, p *table.Process, l event.EndpointLoad) {
	e := w.Endpoints.Get(l.Endpoint)
	if e == nil || e.Agent != p.ID() {
		return
	}
	e.Slots, e.AgentInFlight, e.AgentTokens, e.AgentHeard = l.Slots, l.InFlight, l.InFlightTokens, w.Now
	e.ReportTokens, e.ReportAge = l.ReportTokens, l.ReportAge
	setEndpointState(w, e, l.State, "agent's heartbeat")
}

func readPlatform(w *world.World) {
	for _, p := range w.In.PlatformStates {
		if p.Reachable == w.PlatformUp {
			continue
		}
		from, to := "reachable", "unreachable"
		if p.Reachable {
			from, to = to, from
		}
		w.PlatformUp, w.PlatformSince = p.Reachable, w.Now
		w.Change("platform", "object API", from, to, "last call")
		w.Count("platform_" + to)
	}
}

func setEndpointState(w *world.World, e *table.Endpoint, s table.EndpointState, reason string) {
	if e.State == s {
		return
	}
	w.Change("endpoint", string(e.ID), e.State.String(), s.String(), reason)
	w.Count("endpoint_" + s.String())
	e.State, e.Reason = s, reason
}

// readDrains marks own endpoints as leaving by order of an operator. A router
// passes the order on to the endpoint's agent.
func (s *System) readDrains(w *world.World) bool {
	changed := false
	for _, d := range w.In.Drains {
		if w.Params.Self.Role == table.RoleAgent {
			s.drainOwn(w, d)
			changed = true
			continue
		}
		forwardDrain(w, d)
	}
	return changed
}

// drainOwn takes the id of one endpoint, or of this agent for all of them.
func (s *System) drainOwn(w *world.World, d event.DrainOrder) {
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
	reply := command.DrainReply{Reply: d.Reply}
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
		w.Out.Drains = append(w.Out.Drains, command.SendDrain{To: agent, Order: d})
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
	state, reason := stateOf(w, p)
	reportState(w, p, state, reason)
	p.State = state
}

// updateHeard looks only at the processes that sent a heartbeat. A look at all
// of them per heartbeat would grow with the square of the fleet.
func updateHeard(w *world.World) {
	for _, h := range w.In.Heartbeats {
		if p := w.Processes.Get(h.Peer.Process); p != nil && p.Holder == h.Peer {
			updateState(w, p)
		}
	}
}

func stateOf(w *world.World, p *table.Process) (table.ProcessState, string) {
	quiet := w.Now.Sub(p.LastHeard)
	switch {
	case !p.Connected && p.Left:
		return table.ProcessGone, "ended gracefully"
	case !p.Connected && p.Unlisted && quiet > goneAfter:
		return table.ProcessGone, "off the platform's list and silent"
	case p.NoticeLeaving:
		return table.ProcessLeaving, "leaving notice"
	case p.ListedLeaving:
		return table.ProcessLeaving, "platform's list"
	case quiet > silence(w, p):
		return table.ProcessSuspect, "no heartbeat"
	case p.Connected:
		return table.ProcessLive, "heartbeat"
	case p.State == table.ProcessUnknown:
		return table.ProcessUnknown, "listed"
	default:
		return table.ProcessSuspect, "session closed"
	}
}

func reportState(w *world.World, p *table.Process, s table.ProcessState, reason string) {
	if p.State == s {
		return
	}
	w.Change("process", string(p.ID()), p.State.String(), s.String(), reason)
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
		if p.Connected || p.State == table.ProcessGone || p.Address == "" || !dials(w.Self().Process, p) {
			s.dials.Delete(id)
			return
		}
		s.dialPeer(w, p)
	})
}

func dials(self table.ProcessID, p *table.Process) bool {
	return p.Role == table.RoleAgent || p.ID() > self
}

func (s *System) dialPeer(w *world.World, p *table.Process) {
	d := s.dials.Get(p.ID())
	if d == nil {
		d = s.dials.Put(p.ID(), dial{next: w.Now, delay: firstRedial})
	}
	if d.next <= w.Now {
		w.Out.Dials = append(w.Out.Dials, command.Dial{Process: p.ID(), Address: p.Address})
		w.Count("dials")
		jitter := time.Duration(w.Rand.Int64N(int64(d.delay)))
		d.next = w.Now.Add(d.delay + jitter)
		d.delay = min(2*d.delay, lastRedial)
	}
	s.nextDial = min(s.nextDial, d.next)
}

func (s *System) sendHeartbeat(w *world.World) {
	s.leaving = w.Draining
	if self := w.Processes.Get(w.Self().Process); self != nil {
		self.LastHeard, self.Generation, self.NoticeLeaving = w.Now, w.Fleet.Generation, w.Draining
	}
	w.Out.Heartbeats = append(w.Out.Heartbeats, command.SendHeartbeat{Heartbeat: event.Heartbeat{
		Peer:       w.Self(),
		Clock:      w.Now,
		Generation: w.Fleet.Generation,
		Leaving:    w.Draining,
		Interval:   interval(w),
		Wanted:     wanted(w),
		Endpoints:  ownLoads(w),
	}})
}

func ownLoads(w *world.World) []event.EndpointLoad {
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
			FirstTokenTime: e.FirstTokenTime, TokenTime: e.TokenTime, Observed: e.Observed,
		})
	})
	return loads
}
