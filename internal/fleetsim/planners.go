package fleetsim

import (
	"fmt"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/planner"
)

// reconnect is how long a forwarder takes to connect to a planner again.
const reconnect = 100 * time.Millisecond

// forwarder is a node's side of planning. It asks its site's planners, and no others:
// the module knows one site as its own, and a planner with the work of three would
// send all of it to a third of the servers.
type forwarder struct {
	*balancerNode
	i        int // among all
	name     string
	plan     *planner.Forwarder
	planners []*placementNode
	conn     []int // of each: the number of the connection, 0 for none
}

// forwarder gives a brain the planners of its site.
func (s *sim) forwarder(i int, b *balancerNode) {
	f := &forwarder{balancerNode: b, i: i, name: fmt.Sprint("f", i)}
	for n := b.site; n < len(s.planners); n += zoneCount {
		f.planners = append(f.planners, s.planners[n])
	}
	f.conn = make([]int, len(f.planners))
	f.plan = planner.NewForwarder(planner.DefaultChooserSettings, len(f.planners), s.set.Seed+uint64(i), forwarderEffects{f})
	b.f = f
	for n := range f.planners {
		f.connect(n)
	}
}

// connect joins a planner, and tries again for as long as it cannot.
func (f *forwarder) connect(n int) {
	s, p := f.sim, f.planners[n]
	if p.dead || s.now < p.paused || p.cuts(f) {
		if !s.last || s.open > 0 {
			s.after(reconnect, func() { f.connect(n) })
		}
		return
	}
	s.conns++
	conn := s.conns
	p.peers[p.p.ForwarderConnected(s.now, f.name)] = peer{f, n, conn}
	f.conn[n] = conn
	f.plan.PlannerConnected(s.now, n)
}

// broke says that a connection has ended.
func (f *forwarder) broke(n int) {
	if f.conn[n] != 0 {
		f.conn[n] = 0
		f.plan.PlannerDisconnected(f.sim.now, n)
		f.sim.after(reconnect, func() { f.connect(n) })
	}
}

// ask says whether to wait for a plan.
func (f *forwarder) ask(x *openRequest) bool {
	return f.plan.Place(f.sim.now, x.id, planner.RequestInfo{Class: x.class, Key: x.key, WorkHint: x.hint, Remaining: x.due - f.sim.now, ClientRetry: x.tries > 1})
}

// forwarderEffects is plan.ForwarderEffects.
type forwarderEffects struct{ *forwarder }

func (f forwarderEffects) Send(n int, m planner.Message) {
	p, conn := f.planners[n], f.conn[n]
	p.hear(sameZoneDelay, func() {
		for src, peer := range p.peers {
			if peer.conn == conn {
				p.p.Receive(p.sim.now, src, m)
				return
			}
		}
	})
}

func (f forwarderEffects) Proceed(id decide.RequestID, server decide.ServerID) {
	f.sim.after(0, func() {
		if x := f.reqs[id]; x != nil {
			f.decide(x, server)
		}
	})
}

func (f forwarderEffects) SetTimer(id decide.RequestID, at time.Duration) {
	f.sim.after(at-f.sim.now, func() { f.plan.TimerFired(f.sim.now, id) })
}

// placementNode is a site's planner. Each word to or from it takes a way.
type placementNode struct {
	sim    *sim
	i      int // of the site and, by sites, of its place there
	p      *planner.Planner
	life   int
	peers  map[planner.ConnectionID]peer
	last   time.Duration // when the last word reaches it: they keep their order
	dead   bool          // nothing that is said to it or that it set arrives
	paused time.Duration
	cut    time.Duration // until when some forwarders find no way to it
	slow   bool
}

// cuts says whether a forwarder is one of those.
func (p *placementNode) cuts(f *forwarder) bool { return p.sim.now < p.cut && f.i/zoneCount%2 == 0 }

// peer is a forwarder's connection at a planner.
type peer struct {
	f       *forwarder
	n, conn int
}

// begin starts a planner that knows the servers and nothing else.
func (p *placementNode) begin() {
	p.dead, p.life, p.peers = false, p.life+1, make(map[planner.ConnectionID]peer)
	p.p = planner.NewPlanner(p.sim.settings(p.i, zoneCount, p.i%zoneCount), true, p.sim.set.Seed+uint64(p.i), p.sim.now, plannerEffects{p, p.life})
	p.listed()
}

// listed tells a planner of all servers.
func (p *placementNode) listed() {
	list := p.sim.entries()
	p.hear(0, func() { p.p.UpdateEndpoints(p.sim.now, decide.UpdateFull, list) })
}

// hear has something reach the planner after a time: not at all if it is dead then,
// and once its pause is over if it is paused.
func (p *placementNode) hear(after time.Duration, do func()) {
	if p.slow {
		after += slowPlannerDelay
	}
	p.last = max(p.last, p.sim.now+after)
	p.arrive(p.last-p.sim.now, p.life, do)
}

func (p *placementNode) arrive(after time.Duration, life int, do func()) {
	p.sim.after(after, func() {
		switch {
		case p.dead || p.life != life:
		case p.sim.now < p.paused:
			p.arrive(p.paused-p.sim.now, life, do)
		default:
			do()
		}
	})
}

// part ends the connections of some forwarders.
func (p *placementNode) part(whose func(*forwarder) bool) {
	for _, f := range p.sim.forward { // in their order, as a map has none
		for src, peer := range p.peers {
			if peer.f == f && whose(f) {
				delete(p.peers, src)
				p.arrive(sameZoneDelay, p.life, func() { p.p.ForwarderDisconnected(p.sim.now, src) })
				p.sim.after(sameZoneDelay, func() {
					if f.conn[peer.n] == peer.conn {
						f.broke(peer.n)
					}
				})
			}
		}
	}
}

// plannerEffects is plan.PlannerEffects.
type plannerEffects struct {
	*placementNode
	life int
}

func (p plannerEffects) Send(to planner.ConnectionID, m planner.Message) {
	peer, ok := p.peers[to]
	if !ok {
		return
	}
	p.sim.after(sameZoneDelay, func() {
		if peer.f.conn[peer.n] == peer.conn {
			peer.f.plan.AnswerReceived(p.sim.now, peer.n, m)
		}
	})
}

func (p plannerEffects) SetTimer(t planner.Timer, at time.Duration) {
	p.arrive(max(at-p.sim.now, 0), p.life, func() {
		if !p.sim.last || p.sim.open > 0 || p.p.AttemptsInFlight() > 0 {
			p.p.TimerFired(p.sim.now, t)
		}
	})
}

func (p plannerEffects) Reset() { p.sim.after(0, func() { p.part(all) }) }

func all(*forwarder) bool { return true }

func (plannerEffects) WatchEndpoints(bool) {}
func (plannerEffects) Log(string)          {}

// befall has a fault happen, and end.
func (s *sim) befall(f Fault) {
	for i, p := range s.planners {
		if f.Planner != All && f.Planner != i {
			continue
		}
		switch f.Kind {
		case Paused:
			p.paused = max(p.paused, s.now+f.For)
		case Cut:
			p.cut = max(p.cut, s.now+f.For)
			p.part(p.cuts)
		case Slow:
			p.slow = true
			s.after(f.For, func() { p.slow = false })
		case Killed:
			p.dead = true
			p.part(all)
			s.after(f.For, func() {
				if p.dead {
					p.begin()
				}
			})
		}
	}
}

// planned sums who chose the servers of first attempts.
func (s *sim) planned() {
	for _, f := range s.forward {
		n := f.plan.Counts()
		s.res.Planned += n.Planned
		s.res.Alone += n.Unplanned
		s.res.Open += f.plan.OpenRequests()
	}
	for _, p := range s.planners {
		if !p.dead {
			s.res.Open += p.p.AttemptsInFlight()
		}
	}
}
