package fleet

import (
	"time"

	"jasperpin/decide"
	"jasperpin/internal/plan"
)

// forwarder is a node that asks its site's planner, and no other: the module knows
// one site as its own, and a planner with the work of three would send all of it
// to a third of the servers.
type forwarder struct {
	sim     *sim
	site    int
	own     *brain // decides where no planner does
	chooser *plan.Chooser
	open    []*turn // questions and what they became, oldest first
}

func (s *sim) forwarder(i int) *forwarder {
	return &forwarder{
		sim: s, site: i % sites, own: s.brain(i, s.set.Nodes, i%sites, false),
		chooser: plan.New(plan.Defaults, 1, s.set.Seed+uint64(i)),
	}
}

// forwarderOf deals a site's requests out among its forwarders.
func (s *sim) forwarderOf(r *request) *forwarder {
	own := (len(s.forward) - r.site + sites - 1) / sites
	return s.forward[r.site+sites*s.rng.IntN(own)]
}

// turn is one question to a planner and, once answered, the request in its hands.
type turn struct {
	f        *forwarder
	r        *request
	n        int // of the planner, in the forwarder's order
	asked    time.Duration
	x        *exchange // at the planner, once it has heard
	answered bool
	given    bool // taken back: whatever the planner still says changes nothing
}

// ask asks a planner behind the one named, or decides alone.
func (f *forwarder) ask(r *request, after int) {
	s := f.sim
	n, wait, ok := f.chooser.Ask(s.now, after)
	if !ok {
		s.res.Alone++
		f.own.take(r, nil)
		return
	}
	t := &turn{f: f, r: r, n: n, asked: s.now}
	b := s.brains[f.site]
	if b.dead { // the connection is refused
		s.after(b.way(r), func() {
			f.chooser.Broke(s.now, n)
			f.ask(r, n)
		})
		return
	}
	f.open = append(f.open, t)
	b.take(r, t)
	s.after(wait, func() {
		if t.answered || t.given {
			return
		}
		t.given = true
		f.chooser.Late(s.now, n)
		if f.chooser.Part(s.now, n) == 0 {
			f.giveUp(n)
		}
		f.ask(r, n)
	})
	s.after(r.began+classes[r.class].Deadline-s.now, func() { // the forwarder owes the answer
		if t.answered && !t.given && !t.x.settled {
			t.given, t.x.settled = true, true
			s.turnedAway(r, &s.res.Failed, 0)
		}
	})
}

// accept says whether what a planner says on a turn still counts, and notes that
// it has spoken. No turn at all is a brain of one level, which always counts.
func (t *turn) accept() bool {
	if t == nil {
		return true
	}
	if t.given {
		return false
	}
	if !t.answered {
		t.answered = true
		t.f.chooser.Answered(t.f.sim.now, t.n, t.f.sim.now-t.asked)
		t.f.sim.res.Planned++
	}
	return true
}

// waits says whether a turn that was taken back still has attempts out, whose ends
// the forwarder waits for.
func (t *turn) waits() bool { return t != nil && t.given && t.answered && !t.x.settled }

// ended notes the end of an attempt. A turn that was taken back from its planner
// with attempts out is decided by the forwarder once the last has ended.
func (t *turn) ended() {
	if t.waits() {
		t.resolve()
	}
}

// resolve ends a request taken back from its planner, or has the forwarder decide
// on it alone: never where it must not run twice and may have run.
func (t *turn) resolve() {
	for _, a := range t.x.attempts {
		if a.job != nil && !a.ended {
			return
		}
	}
	t.x.settled = true
	if t.r.mayHaveRun && classes[t.r.class].Effect == decide.SingleShot {
		t.f.sim.turnedAway(t.r, &t.f.sim.res.Failed, 0)
		return
	}
	t.f.sim.res.Alone++
	t.f.own.take(t.r, nil)
}

// handBack has the forwarder decide on a request that its planner has no room for:
// the other sites, which the planner does not know, may have some.
func (t *turn) handBack(r *request) {
	t.given = true
	t.f.sim.res.Alone++
	t.f.own.take(r, nil)
}

// giveUp takes back all that a planner holds of this forwarder.
func (f *forwarder) giveUp(n int) {
	open := f.open
	f.open = nil
	for _, t := range open {
		switch {
		case t.n != n:
			if !t.given && (t.x == nil || !t.x.settled) {
				f.open = append(f.open, t)
			}
		case t.given:
		case !t.answered:
			t.given = true
			f.ask(t.r, n)
		case !t.x.settled:
			t.given = true
			t.resolve()
		}
	}
}

// staleAfter is how long a planner may have been paused and still go by what it
// knew. What ended meanwhile it would take for that slow, and shed for seconds.
const staleAfter = 200 * time.Millisecond

// befall has a fault happen, and end.
func (s *sim) befall(f Fault) {
	for i := range s.brains {
		if f.Planner != All && f.Planner != i {
			continue
		}
		b := s.brains[i]
		switch f.Kind {
		case Paused:
			b.paused = s.now + f.For
			if f.For > staleAfter {
				s.after(f.For, func() {
					if s.brains[i] == b && !b.dead {
						s.kill(i)
						s.revive(i)
					}
				})
			}
		case Slow:
			b.slow = true
			s.after(f.For, func() { b.slow = false })
		case Killed:
			s.kill(i)
			s.after(f.For, func() { s.revive(i) })
		}
	}
}

// kill ends a planner: its forwarders see their connections end.
func (s *sim) kill(i int) {
	b := s.brains[i]
	b.dead = true
	for _, f := range s.forward {
		if f.site != i {
			continue
		}
		s.after(sameSite, func() {
			f.chooser.Broke(s.now, 0)
			f.giveUp(0)
		})
	}
}

// revive starts a planner that knows the servers and nothing else.
func (s *sim) revive(i int) {
	if b := s.brains[i]; b.dead {
		s.brains[i] = s.brain(i, len(s.brains), b.site, true)
		s.brains[i].listed()
	}
}
