package decide

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxListDelay is by how much the endpoint list may be behind, by the protocol: later a restart has
	// been announced.
	maxListDelay = 6 * time.Second
	// minCapacity and maxCapacity bound the capacities that are believed: sums over all servers would
	// otherwise be lost to rounding.
	minCapacity = 1e-3
	maxCapacity = 1e6
	// neverStarted is the start of a server whose entry has not been taken over yet.
	neverStarted = -1
)

// server is what the node knows of one server.
type server struct {
	Server
	outlierState

	inFlight       int           // this node's attempts
	lastResponseAt time.Duration // when it last responded, and a connection was last idle; 0 for never

	latencyRatio   float64 // smoothed, at latencyRatioAt
	latencyRatioAt time.Duration

	overloadedUntil     time.Duration // it declined an attempt, and gets none until then
	connectBackoffUntil time.Duration // it took no connection, and is used only where there is no other

	// connectionLostAt is when it, or its zone, was last found to take no connection, so that it may have
	// restarted since; 0 for never.
	connectionLostAt time.Duration
	// suspicionEndsAt is when the suspicion of a restart ends, as the endpoint list must have announced it
	// by then; 0 until the server responds.
	suspicionEndsAt time.Duration
	zoneSuspicions  uint64 // those of restartSuspicion that it has taken over

	slowStartTokens   float64 // what it may still get, in average requests, at slowStartTokensAt
	slowStartTokensAt time.Duration

	position     position
	contribution contribution
}

// UpdateEndpoints takes an update of the endpoint list from discovery, or that a poll of discovery failed.
// Unlike UpdateServers it removes the servers that a complete list leaves out, and sees to the next poll.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind UpdateKind, list []Server) {
	b.advanceClock(now)
	if kind == UpdateFailed {
		b.schedulePollRetry()
		return
	}
	if kind != UpdateCached {
		b.recordPollSuccess()
	}
	if kind != UpdateDelta {
		b.removeUnlisted(list)
		// Random draws follow this order, so it must not depend on the caller's.
		list = slices.SortedFunc(slices.Values(list), func(x, y Server) int { return cmp.Compare(x.ID, y.ID) })
	}
	b.UpdateServers(now, list)
}

// UpdateServers takes what is known of some servers from another source than discovery. Its cost grows with
// the servers it names, and not with those that are known.
func (b *Balancer) UpdateServers(now time.Duration, list []Server) {
	b.advanceClock(now)
	for _, e := range list {
		b.updateServer(e)
	}
	b.updateConnectionCost()
}

// removeUnlisted removes the servers that a complete list leaves out.
func (b *Balancer) removeUnlisted(list []Server) {
	listed := make(map[ServerID]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
	}
	b.examined += uint64(len(list) + len(b.serversByID))
	var unlisted []*server
	for id, s := range b.serversByID {
		if !listed[id] {
			unlisted = append(unlisted, s)
		}
	}
	// In order of their ids: the order of a map is random, and that of the servers ready decides on draws.
	slices.SortFunc(unlisted, func(x, y *server) int { return cmp.Compare(x.ID, y.ID) })
	for _, s := range unlisted {
		b.remove(s)
	}
}

// remove removes a server. Attempts in flight still point to it, so it is marked as gone.
func (b *Balancer) remove(s *server) {
	b.removeReady(s)
	s.outlierState = outlierState{}
	s.State = Gone
	delete(b.serversByID, s.ID)
}

// updateServer takes over one entry of the endpoint list. An entry that changes nothing costs a comparison.
func (b *Balancer) updateServer(e Server) {
	b.examined++
	e.Capacity = validCapacity(e.Capacity)
	s := b.serversByID[e.ID]
	switch {
	case e.State == Gone:
		if s != nil {
			b.remove(s)
		}
		return
	case s == nil:
		s = &server{Server: Server{StartedAt: neverStarted}}
		b.serversByID[e.ID] = s
	case s.Server == e:
		return
	default:
		b.removeReady(s)
		if e.Zone != s.Zone {
			s.zoneSuspicions = b.zoneSuspicions // those it has missed were of another zone
		}
	}
	if e.StartedAt != s.StartedAt {
		b.beginIncarnation(s)
	}
	s.Server = e
	if s.State == Ready {
		b.addReady(s)
	} else {
		s.outlierState = outlierState{}
	}
}

// beginIncarnation forgets what was learned of a server's former process. Attempts in flight still count.
func (b *Balancer) beginIncarnation(s *server) {
	*s = server{latencyRatio: 1, inFlight: s.inFlight, zoneSuspicions: b.zoneSuspicions}
	b.beginSlowStart(s)
}

// validCapacity is a capacity as it counts: 1 where none is given (0, negative or not a number), and within
// bounds.
func validCapacity(capacity float64) float64 {
	if !(capacity > 0) {
		return 1
	}
	return min(max(capacity, minCapacity), maxCapacity)
}
