package decide

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxListDelay is the maximum delay of the endpoint list, by the protocol. Once it has passed, a
	// restart has been announced.
	maxListDelay = 6 * time.Second
	// minCapacity and maxCapacity bound the capacities that are accepted. More extreme values would make
	// sums over all servers meaningless through rounding.
	minCapacity = 1e-3
	maxCapacity = 1e6
	// neverStarted is the start time of a server whose entry has not been applied yet.
	neverStarted = -1
)

// server is the state that this node stores for one server.
type server struct {
	Server
	outlierState

	inFlight       int           // this node's attempts in flight at the server
	lastResponseAt time.Duration // when the server last responded and left a connection idle; 0 for never

	latencyRatio   float64 // smoothed latency ratio, as of latencyRatioAt
	latencyRatioAt time.Duration

	overloadedUntil     time.Duration // end of the time without attempts after the server declined one
	connectBackoffUntil time.Duration // the server accepted no connection; until this time only scan selects it

	// unreachableAt is when the server or its zone was last found unreachable, so that it may have
	// restarted since; 0 for never.
	unreachableAt time.Duration
	// suspicionEndsAt is when the suspicion of a restart ends, because the endpoint list must have
	// announced the restart by then; 0 until the server responds.
	suspicionEndsAt time.Duration
	zoneSuspicions  uint64 // the restartSuspicion.zoneSuspicions last applied to the server

	slowStartTokens   float64 // token bucket in average requests, as of slowStartTokensAt
	slowStartTokensAt time.Duration

	position     position
	contribution contribution
}

// UpdateEndpoints applies an update of the endpoint list from discovery, or handles a failed poll of
// discovery. Unlike UpdateServers, it removes the servers that are missing from a complete list, and
// schedules the next poll.
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
		// The order of the entries affects random draws, so it must not depend on the caller.
		list = slices.SortedFunc(slices.Values(list), func(x, y Server) int { return cmp.Compare(x.ID, y.ID) })
	}
	b.UpdateServers(now, list)
}

// UpdateServers applies entries from a source other than discovery. Its cost grows with the number of
// entries, not with the number of known servers.
func (b *Balancer) UpdateServers(now time.Duration, list []Server) {
	b.advanceClock(now)
	for _, e := range list {
		b.updateServer(e)
	}
	b.updateConnectionCost()
}

// removeUnlisted removes the servers that are missing from a complete list.
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
	// Remove in order of ID: map order is random, and the order of the ready servers affects random draws.
	slices.SortFunc(unlisted, func(x, y *server) int { return cmp.Compare(x.ID, y.ID) })
	for _, s := range unlisted {
		b.remove(s)
	}
}

// remove removes a server. Attempts in flight still refer to it, so it is marked as Gone.
func (b *Balancer) remove(s *server) {
	b.removeReady(s)
	s.outlierState = outlierState{}
	s.State = Gone
	delete(b.serversByID, s.ID)
}

// updateServer applies one entry of the endpoint list. An entry without changes costs one comparison.
func (b *Balancer) updateServer(entry Server) {
	b.examined++
	entry.Capacity = validCapacity(entry.Capacity)
	srv := b.serversByID[entry.ID]
	switch {
	case entry.State == Gone:
		if srv != nil {
			b.remove(srv)
		}
		return
	case srv == nil:
		srv = &server{Server: Server{StartedAt: neverStarted}}
		b.serversByID[entry.ID] = srv
	case srv.Server == entry:
		return
	default:
		b.removeReady(srv)
		if entry.Zone != srv.Zone {
			srv.zoneSuspicions = b.zoneSuspicions // earlier suspicions concerned another zone
		}
	}
	if entry.StartedAt != srv.StartedAt {
		b.beginIncarnation(srv)
	}
	srv.Server = entry
	if srv.State == Ready {
		b.addReady(srv)
	} else {
		srv.outlierState = outlierState{}
	}
}

// beginIncarnation resets what was learned about a server's previous process. Attempts in flight still count.
func (b *Balancer) beginIncarnation(s *server) {
	*s = server{latencyRatio: 1, inFlight: s.inFlight, zoneSuspicions: b.zoneSuspicions}
	b.beginSlowStart(s)
}

// validCapacity returns the capacity to use for a listed capacity: 1 if the listed one is 0, negative or not a
// number, otherwise the listed one limited to minCapacity and maxCapacity.
func validCapacity(capacity float64) float64 {
	if !(capacity > 0) {
		return 1
	}
	return min(max(capacity, minCapacity), maxCapacity)
}
