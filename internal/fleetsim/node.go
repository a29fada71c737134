package fleetsim

import (
	"math"
	"time"

	"jasperpin/decide"
)

// request is a client's request, with all its tries.
type request struct {
	class    int
	key      uint64
	work     time.Duration
	zone     int
	began    time.Duration
	tries    int
	runs     int
	unserved bool // a try found no running node in its zone
}

// balancerNode is a decide.Balancer: that of a node, or that of a planner that decides for many nodes.
type balancerNode struct {
	sim       *sim
	balancer  *decide.Balancer
	forwarder *forwarder // the node's side of planning; nil without planners
	zone      int
	remote    bool // the balancer is a planner's: messages between planner and nodes have networkDelay
	nodeState      // unused for planners
	lastID    decide.RequestID
	requests  map[decide.RequestID]*openRequest
}

// openRequest is one try of a request at its balancer.
type openRequest struct {
	*request
	id       decide.RequestID
	attempts []*attempt
	answered bool
	inFlight int
	hint     time.Duration
	deadline time.Duration
}

// attempt is an attempt of a request, as its node stores it.
type attempt struct {
	index  int
	job    *job
	server *server
	ended  bool
}

// networkDelay returns the delay of a message between the balancer and a request's node.
func (b *balancerNode) networkDelay(r *request) time.Duration {
	if !b.remote {
		return 0
	}
	return oneWay(b.zone, r.zone)
}

// submit sends a client's try to its balancer.
func (s *sim) submit(r *request) {
	r.tries++
	b := s.balancerFor(r)
	if b == nil { // no node of the request's zone is running
		r.unserved = true
		s.retryOrCount(r, &s.res.Failed, 0)
		return
	}
	arrived := s.now
	s.after(b.networkDelay(r), func() {
		for b.lastID++; b.requests[b.lastID] != nil; b.lastID++ {
		}
		open := &openRequest{request: r, id: b.lastID, deadline: min(arrived, r.began) + classes[r.class].Deadline}
		open.hint = time.Duration(float64(r.work) * math.Exp(0.3*s.rng.NormFloat64()))
		b.requests[open.id] = open
		if b.forwarder == nil || !b.forwarder.place(open) {
			b.decide(open, 0)
		}
	})
}

// decide passes a request to the balancer, with the server that a planner chose or 0.
func (b *balancerNode) decide(open *openRequest, planned decide.ServerID) {
	b.balancer.Arrive(b.sim.now, decide.Request{
		ID: open.id, Class: open.class, Key: open.key, WorkHint: open.hint, ClientRetry: open.tries > 1, Deadline: open.deadline, PlannedServer: planned,
	})
}

// balancerFor returns the balancer of a request: the balancer of a node of its zone, with ZonePlanners the balancer of
// its zone's planner, and with Planners the balancer of a planner that its key selects, so that one planner gets all
// requests of a key. It returns
// nil if no node of the zone is running.
func (s *sim) balancerFor(r *request) *balancerNode {
	switch {
	case s.set.ZonePlanners:
		return s.balancers[r.zone]
	case s.set.Planners > 0:
		return s.balancers[int(r.key%uint64(len(s.balancers)))]
	}
	// The load balancer in front of a zone distributes its requests over the zone's nodes.
	if s.set.isScenario() {
		return s.pickNode(r.zone)
	}
	own := (len(s.balancers) - r.zone + s.zones - 1) / s.zones
	return s.balancers[r.zone+s.zones*s.rng.IntN(own)]
}

// Send and the methods below implement decide.Effects.
func (b *balancerNode) Send(id decide.RequestID, to decide.ServerID, timeout time.Duration) {
	open := b.requests[id]
	v := b.sim.servers[to-1]
	a := &attempt{index: len(open.attempts), server: v}
	open.attempts = append(open.attempts, a)
	open.inFlight++
	if b.forwarder != nil {
		b.forwarder.protocol.AttemptSent(b.sim.now, id, a.index, to)
	}
	b.sim.after(b.networkDelay(open.request), func() { b.deliver(open, a, timeout) })
}

// deliver sends an attempt from the node to its server.
func (b *balancerNode) deliver(open *openRequest, sent *attempt, timeout time.Duration) {
	if open.answered {
		b.endAttempt(open, sent, decide.Abandoned)
		return
	}
	sim := b.sim
	sim.res.Attempts++
	if sent.server.zone != open.zone {
		sim.res.CrossZone++
	}
	trip := oneWay(open.zone, sent.server.zone)
	b.recordSend(sent.server)
	if sent.server.state == decide.Gone { // the connection is refused immediately
		sent.job = &job{req: open.request, dropped: true}
		sim.after(trip, func() { b.endAttempt(open, sent, decide.ConnectFailed) })
		return
	}
	if sent.server.unreachable || sim.partitioned(open.zone, sent.server.zone) {
		sent.job = &job{req: open.request, dropped: true}
		sim.after(min(dialTimeout, timeout), func() { b.endAttempt(open, sent, decide.ConnectFailed) })
		return
	}
	sent.job = &job{req: open.request, work: open.work, informed: b.knowsStart(sent.server), done: func(r decide.Result) {
		if lost, reset := sim.drawAnswerFault(); lost || sim.partitioned(open.zone, sent.server.zone) {
			return
		} else if reset {
			r = decide.ConnectionReset
		} else if r == decide.OK && sent.server.faulty && sim.rng.IntN(2) == 0 {
			r = decide.Failed
		}
		sim.after(trip, func() { b.endAttempt(open, sent, r) })
	}}
	sim.after(trip, func() { sent.server.arrive(sent.job) })
	if timeout > 0 {
		sim.after(timeout, func() {
			if !sent.ended {
				b.cancelAttempt(open, sent, decide.TimedOut)
			}
		})
	}
}

// endAttempt records an attempt's outcome: the client gets its answer first, the balancer is notified next.
func (b *balancerNode) endAttempt(open *openRequest, a *attempt, r decide.Result) {
	if a.ended {
		return
	}
	a.ended = true
	if r == decide.OK && !open.answered {
		open.answered = true
		b.sim.recordAnswer(open.request)
	}
	answered := open.answered
	b.sim.after(b.networkDelay(open.request), func() {
		open.inFlight--
		if b.forwarder != nil {
			b.forwarder.protocol.AttemptEnded(open.id, a.index, r)
		}
		b.balancer.AttemptFinished(b.sim.now, decide.Outcome{ID: open.id, Attempt: a.index, Result: r, Final: answered})
		b.release(open)
	})
}

// cancelAttempt ends an attempt at the node. Its server drops the request from its queue; a request that is
// running runs on.
func (b *balancerNode) cancelAttempt(open *openRequest, a *attempt, r decide.Result) {
	b.sim.after(oneWay(open.zone, a.server.zone), func() { a.job.dropped = !a.job.started })
	b.endAttempt(open, a, r)
}

// release removes a request that has its final answer and no attempts in flight.
func (b *balancerNode) release(open *openRequest) {
	if open.answered && open.inFlight == 0 && b.requests[open.id] == open {
		delete(b.requests, open.id)
		if b.forwarder != nil {
			b.forwarder.protocol.RequestClosed(open.id)
		}
	}
}

func (b *balancerNode) Cancel(id decide.RequestID, n int) {
	if open := b.requests[id]; open != nil && n < len(open.attempts) {
		b.sim.after(b.networkDelay(open.request), func() {
			if !open.attempts[n].ended && open.attempts[n].job != nil {
				b.cancelAttempt(open, open.attempts[n], decide.Cancelled)
			}
		})
	}
}

func (b *balancerNode) Reject(id decide.RequestID, retryAfter time.Duration) {
	b.finish(id, func(r *request) { b.sim.retryOrCount(r, &b.sim.res.Rejected, retryAfter) })
}

func (b *balancerNode) Fail(id decide.RequestID) {
	b.finish(id, func(r *request) { b.sim.retryOrCount(r, &b.sim.res.Failed, 0) })
}

// finish records the final answer to a request, unless it already has one.
func (b *balancerNode) finish(id decide.RequestID, record func(*request)) {
	open := b.requests[id]
	if open == nil {
		return
	}
	b.sim.after(b.networkDelay(open.request), func() {
		if !open.answered {
			open.answered = true
			record(open.request)
		}
		b.release(open)
	})
}

func (b *balancerNode) SetTimer(token uint64, at time.Duration) {
	b.sim.after(max(at-b.sim.now, 0), func() {
		if !b.dead && (!b.sim.arrivalsEnded || b.sim.openRequests > 0) {
			b.balancer.TimerFired(b.sim.now, token)
		}
	})
}

// WatchEndpoints calls discovery, which answers with its list of that time; later lists are pushed.
func (b *balancerNode) WatchEndpoints(bool) {
	b.sim.callDiscovery(b)
}

func (b *balancerNode) Log(string) {}

func (s *sim) recordAnswer(r *request) {
	took := s.now - r.began
	s.res.Latencies = append(s.res.Latencies, took)
	s.closeRequest(r, took <= classes[r.class].LatencyObjective)
}

// retryOrCount schedules the client's retry of a rejected or failed request if a retry and time are left and the
// request may run again. Otherwise it counts the request and closes it.
func (s *sim) retryOrCount(r *request, count *int, after time.Duration) {
	wait := max(after, retryDelay)
	again := r.tries <= retries && s.now+wait < r.began+classes[r.class].Deadline
	if again && (count == &s.res.Rejected || classes[r.class].Idempotency != decide.NotIdempotent) {
		s.after(wait, func() { s.submit(r) })
		return
	}
	*count++
	s.closeRequest(r, false)
}

func (s *sim) closeRequest(r *request, inTime bool) {
	s.openRequests--
	worth := classes[r.class].PriorityWeight * r.work.Seconds()
	s.res.PriorityWeight += worth
	if !inTime {
		if r.unserved {
			s.res.NoNode++
		}
		s.res.Missed++
		s.res.PriorityWeightMissed += worth
	}
}
