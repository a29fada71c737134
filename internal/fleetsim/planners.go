package fleetsim

import (
	"fmt"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/planner"
)

// reconnectDelay is the time until a forwarder reconnects to a planner.
const reconnectDelay = 100 * time.Millisecond

// forwarder is a node's side of planning. It connects to the planners of its own zone only: the decide module
// has one local zone, and a planner that serves three zones would send all their requests to a third of the
// servers.
type forwarder struct {
	*balancerNode
	index    int // index of this forwarder among all forwarders
	name     string
	protocol *planner.Forwarder
	planners []*plannerNode
	conns    []int // number of the connection to each planner, 0 for none
}

// addForwarder connects a node to the planners of its zone.
func (s *sim) addForwarder(i int, b *balancerNode) {
	f := &forwarder{balancerNode: b, index: i, name: fmt.Sprint("f", i)}
	for n := b.zone; n < len(s.planners); n += zoneCount {
		f.planners = append(f.planners, s.planners[n])
	}
	f.conns = make([]int, len(f.planners))
	f.protocol = planner.NewForwarder(planner.DefaultChooserSettings, len(f.planners), s.set.Seed+uint64(i), forwarderEffects{f})
	b.forwarder = f
	for n := range f.planners {
		f.connect(n)
	}
}

// connect connects to a planner, and retries until it succeeds.
func (f *forwarder) connect(n int) {
	s, p := f.sim, f.planners[n]
	if p.dead || s.now < p.pausedUntil || p.isPartitioned(f) {
		if !s.arrivalsEnded || s.openRequests > 0 {
			s.after(reconnectDelay, func() { f.connect(n) })
		}
		return
	}
	s.connCount++
	conn := s.connCount
	p.peers[p.planner.ForwarderConnected(s.now, f.name)] = peer{f, n, conn}
	f.conns[n] = conn
	f.protocol.PlannerConnected(s.now, n)
}

// connectionLost handles the end of a connection to a planner.
func (f *forwarder) connectionLost(n int) {
	if f.conns[n] != 0 {
		f.conns[n] = 0
		f.protocol.PlannerDisconnected(f.sim.now, n)
		f.sim.after(reconnectDelay, func() { f.connect(n) })
	}
}

// place asks the planners for a server, and reports whether the request waits for their answer.
func (f *forwarder) place(open *openRequest) bool {
	return f.protocol.Place(f.sim.now, open.id, planner.RequestInfo{Class: open.class, Key: open.key, WorkHint: open.hint, Remaining: open.deadline - f.sim.now, ClientRetry: open.tries > 1})
}

// forwarderEffects implements planner.ForwarderEffects.
type forwarderEffects struct{ *forwarder }

func (f forwarderEffects) Send(n int, m planner.Message) {
	p, conn := f.planners[n], f.conns[n]
	p.deliver(sameZoneDelay, func() {
		for src, peer := range p.peers {
			if peer.conn == conn {
				p.planner.Receive(p.sim.now, src, m)
				return
			}
		}
	})
}

func (f forwarderEffects) Proceed(id decide.RequestID, server decide.ServerID) {
	f.sim.after(0, func() {
		if open := f.requests[id]; open != nil {
			f.decide(open, server)
		}
	})
}

func (f forwarderEffects) SetTimer(id decide.RequestID, at time.Duration) {
	f.sim.after(at-f.sim.now, func() { f.protocol.TimerFired(f.sim.now, id) })
}

// plannerNode is one of a zone's planners. Each message to or from it has a network delay.
type plannerNode struct {
	sim              *sim
	index            int // zone of the planner plus zoneCount times its index in that zone
	planner          *planner.Planner
	incarnation      int
	peers            map[planner.ConnectionID]peer
	lastArrival      time.Duration // arrival of the latest message: messages keep their order
	dead             bool          // messages to the planner and its timers are dropped
	pausedUntil      time.Duration
	partitionedUntil time.Duration // until this time some forwarders cannot reach the planner
	slow             bool
}

// isPartitioned reports whether a forwarder cannot reach the planner.
func (p *plannerNode) isPartitioned(f *forwarder) bool {
	return p.sim.now < p.partitionedUntil && f.index/zoneCount%2 == 0
}

// peer is a forwarder's connection, as the planner stores it.
type peer struct {
	f                  *forwarder
	plannerIndex, conn int
}

// start starts the planner with the endpoint list and no other state.
func (p *plannerNode) start() {
	p.dead, p.incarnation, p.peers = false, p.incarnation+1, make(map[planner.ConnectionID]peer)
	p.planner = planner.NewPlanner(p.sim.settings(p.index, zoneCount, p.index%zoneCount), true, p.sim.set.Seed+uint64(p.index), p.sim.now, plannerEffects{p, p.incarnation})
	p.updateEndpoints()
}

// updateEndpoints sends the planner the complete endpoint list.
func (p *plannerNode) updateEndpoints() {
	list := p.sim.endpointList()
	p.deliver(0, func() { p.planner.UpdateEndpoints(p.sim.now, decide.UpdateFull, list) })
}

// deliver delivers a message to the planner after a delay. The message is dropped if the planner is dead
// then, and waits for the end of a pause.
func (p *plannerNode) deliver(after time.Duration, do func()) {
	if p.slow {
		after += slowPlannerDelay
	}
	p.lastArrival = max(p.lastArrival, p.sim.now+after)
	p.schedule(p.lastArrival-p.sim.now, p.incarnation, do)
}

func (p *plannerNode) schedule(after time.Duration, incarnation int, do func()) {
	p.sim.after(after, func() {
		switch {
		case p.dead || p.incarnation != incarnation:
		case p.sim.now < p.pausedUntil:
			p.schedule(p.pausedUntil-p.sim.now, incarnation, do)
		default:
			do()
		}
	})
}

// disconnect ends the connections of the forwarders that match.
func (p *plannerNode) disconnect(match func(*forwarder) bool) {
	for _, f := range p.sim.forwarders { // the loop has a fixed order, because the iteration order of a map is random
		for src, peer := range p.peers {
			if peer.f == f && match(f) {
				delete(p.peers, src)
				p.schedule(sameZoneDelay, p.incarnation, func() { p.planner.ForwarderDisconnected(p.sim.now, src) })
				p.sim.after(sameZoneDelay, func() {
					if f.conns[peer.plannerIndex] == peer.conn {
						f.connectionLost(peer.plannerIndex)
					}
				})
			}
		}
	}
}

// plannerEffects implements planner.PlannerEffects.
type plannerEffects struct {
	*plannerNode
	incarnation int
}

func (p plannerEffects) Send(to planner.ConnectionID, m planner.Message) {
	peer, ok := p.peers[to]
	if !ok {
		return
	}
	p.sim.after(sameZoneDelay, func() {
		if peer.f.conns[peer.plannerIndex] == peer.conn {
			peer.f.protocol.AnswerReceived(p.sim.now, peer.plannerIndex, m)
		}
	})
}

func (p plannerEffects) SetTimer(t planner.Timer, at time.Duration) {
	p.schedule(max(at-p.sim.now, 0), p.incarnation, func() {
		if !p.sim.arrivalsEnded || p.sim.openRequests > 0 || p.planner.AttemptsInFlight() > 0 {
			p.planner.TimerFired(p.sim.now, t)
		}
	})
}

func (p plannerEffects) Reset() { p.sim.after(0, func() { p.disconnect(allForwarders) }) }

func allForwarders(*forwarder) bool { return true }

func (plannerEffects) WatchEndpoints(bool) {}
func (plannerEffects) Log(string)          {}

// injectFault starts a fault, and schedules its end.
func (s *sim) injectFault(fault Fault) {
	for i, target := range s.planners {
		if fault.Planner != All && fault.Planner != i {
			continue
		}
		switch fault.Kind {
		case Paused:
			target.pausedUntil = max(target.pausedUntil, s.now+fault.For)
		case Partitioned:
			target.partitionedUntil = max(target.partitionedUntil, s.now+fault.For)
			target.disconnect(target.isPartitioned)
		case Slow:
			target.slow = true
			s.after(fault.For, func() { target.slow = false })
		case Killed:
			target.dead = true
			target.disconnect(allForwarders)
			s.after(fault.For, func() {
				if target.dead {
					target.start()
				}
			})
		}
	}
}

// countPlanned adds up the forwarders' first attempts: those to planned servers, and those to servers that a
// forwarder chose alone.
func (s *sim) countPlanned() {
	for _, f := range s.forwarders {
		n := f.protocol.Counts()
		s.res.Planned += n.Planned
		s.res.Unplanned += n.Unplanned
		s.res.Unended += f.protocol.OpenRequests()
	}
	for _, p := range s.planners {
		if !p.dead {
			s.res.Unended += p.planner.AttemptsInFlight()
		}
	}
}
