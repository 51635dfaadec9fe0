package link

import (
	"strconv"
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// A router leaves the rotation after the link was congested for leaveTime, or under
	// pressure for pressureTime. It returns after a time without either: after spareTime if
	// it was under pressure and others have room, else after returnTime. If it has to leave
	// again within relapseTime, the clients that come back are too many: it stays away for
	// twice as long, at most maxSpareTime.
	leaveTime    = time.Second
	pressureTime = 200 * time.Millisecond
	returnTime   = 3 * time.Second
	spareTime    = 10 * time.Second
	relapseTime  = 10 * time.Second
	maxSpareTime = 30 * time.Second
	// The link is under pressure if the demand on it, averaged over demandPeriod, exceeds
	// maxUtilization of its rate: it may double until the load balancer has noticed.
	maxUtilization = 0.5
	demandPeriod   = 500 * time.Millisecond
	// Above minUtilization it is under pressure too if most connections take longer to open
	// than the tightest latency objective divided by connectObjectiveDivisor, at least
	// minSlowConnect: a request and its answer pass the host twice as often, so half the
	// objective would be gone. This shows a processor that is busy as well. With less
	// demand, slow connections are the endpoints'.
	minUtilization          = 0.35
	connectObjectiveDivisor = 4
	minSlowConnect          = 30 * time.Millisecond
	slowConnectWeight       = 0.2
	maxSlowConnectShare     = 0.5
)

// observeConnect adds the time that a connection took to the share of slow ones.
func observeConnect(w *world.World, d time.Duration) {
	slow := 0.0
	if d > slowConnect(w) {
		slow = 1
	}
	w.Link.SlowConnectShare += slowConnectWeight * (slow - w.Link.SlowConnectShare)
}

// slowConnect returns the time above which the opening of a connection is slow.
func slowConnect(w *world.World) time.Duration {
	tightest := maxConnectTime * connectObjectiveDivisor
	for i := range w.Manifest.Routes {
		if o := w.Manifest.Routes[i].LatencyObjective; o > 0 {
			tightest = min(tightest, o)
		}
	}
	return max(minSlowConnect, tightest/connectObjectiveDivisor)
}

// underPressure reports whether the link or the processor of this host is close to full.
func underPressure(w *world.World) bool {
	l := &w.Link
	l.Demand.Add(w.Now, 0, demandPeriod)
	rate := w.Params.Front.LinkBytesPerSecond
	if rate <= 0 || l.Demand.PerSecond < minUtilization*rate {
		return false
	}
	slowConnects := l.SlowConnectShare > maxSlowConnectShare && w.Now.Sub(l.SampledAt) <= sampleLifetime
	return slowConnects || l.Demand.PerSecond > maxUtilization*rate
}

// updateRotation takes the router out of the rotation, or back, with hysteresis: the
// clients that leave would otherwise come back at once. The load balancer chooses by
// client, so that only leaving moves them; it takes a second or two to notice, in which a
// full link collects a queue. The router therefore leaves under pressure already, as long
// as most routers of its failure domain have room.
func updateRotation(w *world.World) {
	l := &w.Link
	pressed := underPressure(w)
	if !pressed {
		l.PressedSince = 0
	} else if l.PressedSince == 0 {
		l.PressedSince = w.Now
	}
	switch {
	case !l.OutOfRotation && l.Congested && w.DueOrWake(l.CongestedSince.Add(leaveTime)):
		leaveRotation(w, "congested", pressed)
	case !l.OutOfRotation && pressed && domainHasRoom(w) && w.DueOrWake(l.PressedSince.Add(pressureTime)):
		leaveRotation(w, "under pressure", pressed)
	case l.OutOfRotation && pressed:
		l.ClearSince = w.Now
		w.WakeAt(w.Now.Add(demandPeriod))
	case l.OutOfRotation && !l.Congested && w.DueOrWake(l.ClearSince.Add(awayTime(w))):
		w.RecordStateChange("link", string(w.Self().Process), "out of rotation", "ready", "no congestion for "+w.Now.Sub(l.ClearSince).Round(time.Millisecond).String())
		l.OutOfRotation, l.CongestedSince, l.ReturnedAt = false, 0, w.Now
	}
}

func leaveRotation(w *world.World, cause string, pressed bool) {
	l := &w.Link
	switch {
	case !pressed:
		l.ReturnTime = returnTime
	case l.ReturnedAt != 0 && w.Now.Sub(l.ReturnedAt) < relapseTime:
		l.ReturnTime = max(spareTime, min(2*l.ReturnTime, maxSpareTime))
	default:
		l.ReturnTime = spareTime
	}
	l.OutOfRotation, l.PressedSince = true, 0
	if !l.Congested {
		l.ClearSince = w.Now
	}
	w.Count("link.left_rotation")
	w.RecordStateChange("link", string(w.Self().Process), "ready", "out of rotation", cause+": connections take "+
		l.MeanConnectTime.Round(time.Millisecond).String()+", demand is "+strconv.FormatInt(int64(l.Demand.PerSecond), 10)+" bytes/s")
}

// awayTime returns for how long the link has to be free before the router returns.
func awayTime(w *world.World) time.Duration {
	if domainHasRoom(w) {
		return w.Link.ReturnTime
	}
	return returnTime
}

// domainHasRoom reports whether the routers of this failure domain that have room, without
// this one, are at least half of all: with fewer, the load balancer sends clients to all.
func domainHasRoom(w *world.World) bool {
	total, room := 1, 0
	w.RouterPeers.Each(func(_ table.ProcessID, p *table.RouterPeer) {
		if !p.Connected || p.Domain != w.Params.Self.Domain {
			return
		}
		total++
		if !p.LinkFull {
			room++
		}
	})
	return 2*room >= total
}
