package fleetsim

import (
	"math"
	"time"

	"jasperpin/decide"
)

// request is a client's request over all its tries.
type request struct {
	class int
	key   uint64
	work  time.Duration
	site  int
	began time.Duration
	tries int
	ran   int
	unmet bool // a try found no node of its site up
}

// balancerNode is one decide.Balancer: a node's own, or a planner's that decides all for
// many nodes.
type balancerNode struct {
	sim  *sim
	b    *decide.Balancer
	f    *forwarder // its planners, if it has any
	site int
	far  bool // a planner: each word to or from it takes a way
	node      // what a node alone has
	last decide.RequestID
	reqs map[decide.RequestID]*openRequest
}

// openRequest is one try at the brain that decides on it.
type openRequest struct {
	*request
	id       decide.RequestID
	attempts []*attempt
	settled  bool
	out      int
	hint     time.Duration
	due      time.Duration
}

type attempt struct {
	n     int
	job   *job
	srv   *server
	ended bool
}

// networkDelay is how long a word takes between a brain and the node of a request.
func (b *balancerNode) networkDelay(r *request) time.Duration {
	if !b.far {
		return 0
	}
	return oneWay(b.site, r.site)
}

// submit brings a client's try to who decides on it.
func (s *sim) submit(r *request) {
	r.tries++
	b := s.balancerFor(r)
	if b == nil { // none of its site is up
		r.unmet = true
		s.countRejection(r, &s.res.Failed, 0)
		return
	}
	arrived := s.now
	s.after(b.networkDelay(r), func() {
		for b.last++; b.reqs[b.last] != nil; b.last++ {
		}
		x := &openRequest{request: r, id: b.last, due: min(arrived, r.began) + classes[r.class].Deadline}
		x.hint = time.Duration(float64(r.work) * math.Exp(0.3*s.rng.NormFloat64()))
		b.reqs[x.id] = x
		if b.f == nil || !b.f.ask(x) {
			b.decide(x, 0)
		}
	})
}

// decide has the module decide on a request, with a server planned for it or 0.
func (b *balancerNode) decide(x *openRequest, planned decide.ServerID) {
	b.b.Arrive(b.sim.now, decide.Request{
		ID: x.id, Class: x.class, Key: x.key, WorkHint: x.hint, ClientRetry: x.tries > 1, Deadline: x.due, PlannedServer: planned,
	})
}

// balancerFor is who decides on a request: its node, or a planner by its key's hash,
// so that a key's requests meet in one place.
func (s *sim) balancerFor(r *request) *balancerNode {
	switch {
	case s.set.SitePlanners:
		return s.balancers[r.site]
	case s.set.Planners > 0:
		return s.balancers[int(r.key%uint64(len(s.balancers)))]
	}
	// The front of a site deals its requests out among the site's nodes.
	if s.set.trial() {
		return s.front(r.site)
	}
	own := (len(s.balancers) - r.site + s.sites - 1) / s.sites
	return s.balancers[r.site+s.sites*s.rng.IntN(own)]
}

// Send, with the methods that follow, is decide.Effects.
func (b *balancerNode) Send(id decide.RequestID, to decide.ServerID, timeout time.Duration) {
	x := b.reqs[id]
	v := b.sim.servers[to-1]
	a := &attempt{n: len(x.attempts), srv: v}
	x.attempts = append(x.attempts, a)
	x.out++
	if b.f != nil {
		b.f.plan.AttemptSent(b.sim.now, id, a.n, to)
	}
	b.sim.after(b.networkDelay(x.request), func() { b.deliver(x, a, timeout) })
}

// deliver carries an attempt out at the node.
func (b *balancerNode) deliver(x *openRequest, a *attempt, timeout time.Duration) {
	if x.settled {
		b.end(x, a, decide.Abandoned)
		return
	}
	s := b.sim
	s.res.Attempts++
	if a.srv.site != x.site {
		s.res.Crossed++
	}
	trip := oneWay(x.site, a.srv.site)
	b.watch(a.srv)
	if a.srv.state == decide.Gone { // refused at once
		a.job = &job{req: x.request, dead: true}
		s.after(trip, func() { b.end(x, a, decide.ConnectFailed) })
		return
	}
	if a.srv.silent || s.cut(x.site, a.srv.site) {
		a.job = &job{req: x.request, dead: true}
		s.after(min(dialTimeout, timeout), func() { b.end(x, a, decide.ConnectFailed) })
		return
	}
	a.job = &job{req: x.request, work: x.work, told: b.told(a.srv), done: func(r decide.Result) {
		if lost, reset := s.spoilt(); lost || s.cut(x.site, a.srv.site) {
			return
		} else if reset {
			r = decide.ConnectionReset
		} else if r == decide.OK && a.srv.faulty && s.rng.IntN(2) == 0 {
			r = decide.Failed
		}
		s.after(trip, func() { b.end(x, a, r) })
	}}
	s.after(trip, func() { a.srv.arrive(a.job) })
	if timeout > 0 {
		s.after(timeout, func() {
			if !a.ended {
				b.cancelAttempt(x, a, decide.TimedOut)
			}
		})
	}
}

// end takes the outcome of an attempt: the client first, then the brain.
func (b *balancerNode) end(x *openRequest, a *attempt, r decide.Result) {
	if a.ended {
		return
	}
	a.ended = true
	if r == decide.OK && !x.settled {
		x.settled = true
		b.sim.answered(x.request)
	}
	settled := x.settled
	b.sim.after(b.networkDelay(x.request), func() {
		x.out--
		if b.f != nil {
			b.f.plan.AttemptEnded(x.id, a.n, r)
		}
		b.b.AttemptFinished(b.sim.now, decide.Outcome{ID: x.id, Attempt: a.n, Result: r, Final: settled})
		b.release(x)
	})
}

// cancelAttempt ends an attempt from this side. What waits at the server is dropped, and
// what runs runs on.
func (b *balancerNode) cancelAttempt(x *openRequest, a *attempt, r decide.Result) {
	b.sim.after(oneWay(x.site, a.srv.site), func() { a.job.dead = !a.job.started })
	b.end(x, a, r)
}

func (b *balancerNode) release(x *openRequest) {
	if x.settled && x.out == 0 && b.reqs[x.id] == x {
		delete(b.reqs, x.id)
		if b.f != nil {
			b.f.plan.RequestClosed(x.id)
		}
	}
}

func (b *balancerNode) Cancel(id decide.RequestID, n int) {
	if x := b.reqs[id]; x != nil && n < len(x.attempts) {
		b.sim.after(b.networkDelay(x.request), func() {
			if !x.attempts[n].ended && x.attempts[n].job != nil {
				b.cancelAttempt(x, x.attempts[n], decide.Cancelled)
			}
		})
	}
}

func (b *balancerNode) Reject(id decide.RequestID, retryAfter time.Duration) {
	b.final(id, func(r *request) { b.sim.countRejection(r, &b.sim.res.Rejected, retryAfter) })
}

func (b *balancerNode) Fail(id decide.RequestID) {
	b.final(id, func(r *request) { b.sim.countRejection(r, &b.sim.res.Failed, 0) })
}

func (b *balancerNode) final(id decide.RequestID, tell func(*request)) {
	x := b.reqs[id]
	if x == nil {
		return
	}
	b.sim.after(b.networkDelay(x.request), func() {
		if !x.settled {
			x.settled = true
			tell(x.request)
		}
		b.release(x)
	})
}

func (b *balancerNode) SetTimer(token uint64, at time.Duration) {
	b.sim.after(max(at-b.sim.now, 0), func() {
		if !b.dead && (!b.sim.last || b.sim.open > 0) {
			b.b.TimerFired(b.sim.now, token)
		}
	})
}

// WatchEndpoints has discovery answer with what it tells by then; later lists come by themselves.
func (b *balancerNode) WatchEndpoints(bool) {
	b.sim.call(b)
}

func (b *balancerNode) Log(string) {}

func (s *sim) answered(r *request) {
	took := s.now - r.began
	s.res.Latencies = append(s.res.Latencies, took)
	s.close(r, took <= classes[r.class].LatencyObjective)
}

// countRejection has the client try again, if it has a try left and time.
func (s *sim) countRejection(r *request, count *int, after time.Duration) {
	wait := max(after, retryDelay)
	again := r.tries <= retries && s.now+wait < r.began+classes[r.class].Deadline
	if again && (count == &s.res.Rejected || classes[r.class].Idempotency != decide.NotIdempotent) {
		s.after(wait, func() { s.submit(r) })
		return
	}
	*count++
	s.close(r, false)
}

func (s *sim) close(r *request, inTime bool) {
	s.open--
	worth := classes[r.class].PriorityWeight * r.work.Seconds()
	s.res.PriorityWeight += worth
	if !inTime {
		if r.unmet {
			s.res.Unmet++
		}
		s.res.Missed++
		s.res.PriorityWeightMissed += worth
	}
}
