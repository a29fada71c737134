package planner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jasperpin/decide"
)

// modelTier is a model of a tier in virtual time: forwarders with their own balancers, planners, and
// servers that run the attempts sent to them. Messages are delayed, connections are lost, and planners
// die, pause and restart. The model checks the guarantees with its own counts.
type modelTier struct {
	t          failer
	random     *rand.Rand
	now        time.Duration
	seq        int
	queue      []event
	forwarders []*modelForwarder
	planners   []*modelPlanner
	draining   map[decide.ServerID]time.Duration
	sent       map[decide.ServerID]int
	startedAt  map[decide.ServerID]time.Duration // time of the server's last start, if recent
	conns      int                               // number of connections so far
	steady     bool                              // no message is delayed by more than 1 ms

	planned, unplanned int // numbers of first attempts, by whether a planner chose the server
}

// failer is implemented by *testing.T and *rapid.T.
type failer interface {
	Errorf(format string, args ...any)
	Fatalf(format string, args ...any)
}

// event is a call at a time; seq orders events of the same time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

// after schedules a call after a delay.
func (tier *modelTier) after(d time.Duration, do func()) {
	tier.seq++
	tier.queue = append(tier.queue, event{tier.now + max(d, 0), tier.seq, do})
}

// run processes the events up to and including a time.
func (tier *modelTier) run(until time.Duration) {
	for {
		best := -1
		for i, e := range tier.queue {
			if e.at <= until && (best < 0 || e.at < tier.queue[best].at || e.at == tier.queue[best].at && e.seq < tier.queue[best].seq) {
				best = i
			}
		}
		if best < 0 {
			tier.now = until
			return
		}
		e := tier.queue[best]
		tier.queue = slices.Delete(tier.queue, best, best+1)
		tier.now = max(tier.now, e.at)
		e.do()
	}
}

// latency draws the time that a message takes.
func (tier *modelTier) latency() time.Duration {
	if !tier.steady && tier.random.IntN(10) == 0 {
		return time.Duration(tier.random.IntN(60)) * time.Millisecond
	}
	return time.Duration(100+tier.random.IntN(900)) * time.Microsecond
}

// grace is the time after the start of a drain for which a server may still get attempts.
const grace = 200 * time.Millisecond

func modelSettings() decide.Settings {
	return decide.Settings{
		NodeCount: 3, MaxAttempts: 3, Hedging: true, CancelAttempts: true, WeightByWork: true,
		Classes: []decide.Class{
			{Idempotency: decide.Idempotent, LatencyObjective: 400 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1},
			{Idempotency: decide.NotIdempotent, LatencyObjective: 400 * time.Millisecond, Deadline: time.Second, PriorityWeight: 3},
		},
		OverloadMultiple: 2.5, SlowStartShare: 0.2, SlowStartWindow: 5 * time.Second, MaxRetryAfter: time.Second, IdleTimeout: 15 * time.Second,
	}
}

// modelForwarder is a forwarder with its balancer and the state of its requests.
type modelForwarder struct {
	tier        *modelTier
	index       int
	balancer    *decide.Balancer
	forwarder   *Forwarder
	requests    map[decide.RequestID]*modelRequest
	lastID      decide.RequestID
	conn        []int // by planner: connection number, 0 for no connection
	lastArrival []time.Duration
}

type modelRequest struct {
	id       decide.RequestID
	class    int
	deadline time.Duration
	waiting  bool
	answers  int
	answered bool
	inFlight int
	mayRun   int // attempts that may have run
	planned  decide.ServerID
	attempts []decide.ServerID
	ended    []bool
}

func (f *modelForwarder) Send(id decide.RequestID, to decide.ServerID, timeout time.Duration) {
	tier, r := f.tier, f.requests[id]
	if r == nil || r.answers > 0 || r.answered {
		tier.t.Fatalf("request %d is sent after its final answer", id)
	}
	if at, draining := tier.draining[to]; draining && tier.now > at+grace {
		tier.t.Fatalf("an attempt is sent to server %d %v after the start of its drain, want none after the grace period", to, tier.now-at)
	}
	n := len(r.attempts)
	r.attempts, r.ended = append(r.attempts, to), append(r.ended, false)
	r.inFlight++
	r.mayRun++
	if r.class == 1 && r.mayRun > 1 {
		tier.t.Fatalf("non-idempotent request %d may run %d times", id, r.mayRun)
	}
	tier.sent[to]++
	if n == 0 && to == r.planned {
		tier.planned++
	} else if n == 0 {
		tier.unplanned++
	}
	f.forwarder.AttemptSent(tier.now, id, n, to)
	result, took := decide.OK, time.Duration(5+tier.random.IntN(60))*time.Millisecond
	switch tier.random.IntN(12) {
	case 0:
		result = decide.Overloaded
	case 1:
		result = decide.ConnectionReset
	case 2:
		took = time.Hour // no response
	case 3:
		result, took = decide.ConnectFailed, time.Millisecond
	}
	wait := min(timeout, r.deadline-tier.now)
	if took > wait {
		result, took = decide.TimedOut, wait
	}
	tier.after(took, func() { f.end(r, n, result) })
}

func (f *modelForwarder) end(r *modelRequest, n int, result decide.Result) {
	if r.ended[n] {
		return
	}
	r.ended[n] = true
	r.inFlight--
	if result == decide.Overloaded || result == decide.ConnectFailed {
		r.mayRun--
	}
	if result == decide.OK && !r.answered {
		r.answered = true
		r.answers++
	}
	f.forwarder.AttemptEnded(r.id, n, result)
	f.balancer.AttemptFinished(f.tier.now, decide.Outcome{ID: r.id, Attempt: n, Result: result, Final: r.answered})
	f.release(r)
}

func (f *modelForwarder) release(r *modelRequest) {
	if r.answered && r.inFlight == 0 && f.requests[r.id] == r {
		delete(f.requests, r.id)
		f.forwarder.RequestClosed(r.id)
	}
}

func (f *modelForwarder) Cancel(id decide.RequestID, n int) {
	if r := f.requests[id]; r != nil {
		f.tier.after(0, func() { f.end(r, n, decide.Cancelled) })
	}
}

func (f *modelForwarder) Reject(id decide.RequestID, _ time.Duration) { f.final(id, true) }
func (f *modelForwarder) Fail(id decide.RequestID)                    { f.final(id, false) }

func (f *modelForwarder) final(id decide.RequestID, rejected bool) {
	r := f.requests[id]
	if r == nil || r.answered {
		return
	}
	if rejected && r.class == 1 && r.mayRun > 0 {
		f.tier.t.Fatalf("non-idempotent request %d is rejected although it may have run", id)
	}
	r.answered = true
	r.answers++
	f.tier.after(0, func() { f.release(r) })
}

func (f *modelForwarder) SetTimer(token uint64, at time.Duration) {
	f.tier.after(at-f.tier.now, func() { f.balancer.TimerFired(f.tier.now, token) })
}
func (f *modelForwarder) WatchEndpoints(bool) {}
func (f *modelForwarder) Log(string)          {}

// arrive adds a client's request, and checks at its deadline that it has exactly one answer.
func (f *modelForwarder) arrive(class int) {
	tier := f.tier
	f.lastID++
	r := &modelRequest{id: f.lastID, class: class, deadline: tier.now + time.Second}
	f.requests[r.id] = r
	tier.after(time.Second+time.Millisecond, func() {
		if r.answers != 1 {
			tier.t.Fatalf("request %d of forwarder %d has %d answers at its deadline, want 1", r.id, f.index, r.answers)
		}
	})
	q := RequestInfo{Class: class, Key: uint64(tier.random.IntN(20)), WorkHint: 20 * time.Millisecond, Remaining: time.Second}
	if r.waiting = f.forwarder.Place(tier.now, r.id, q); !r.waiting {
		f.proceed(r, 0)
	}
}

func (f *modelForwarder) proceed(r *modelRequest, server decide.ServerID) {
	r.waiting, r.planned = false, server
	f.balancer.Arrive(f.tier.now, decide.Request{ID: r.id, Class: r.class, WorkHint: 20 * time.Millisecond, Deadline: r.deadline, PlannedServer: server})
}

// modelForwarderEffects implements ForwarderEffects for a modelForwarder.
type modelForwarderEffects struct{ *modelForwarder }

func (s modelForwarderEffects) Proceed(id decide.RequestID, server decide.ServerID) {
	r := s.requests[id]
	if r == nil || !r.waiting {
		s.tier.t.Fatalf("request %d proceeds twice or after its end", id)
	}
	r.waiting = false
	s.tier.after(0, func() { s.proceed(r, server) })
}

func (s modelForwarderEffects) SetTimer(id decide.RequestID, at time.Duration) {
	s.tier.after(at-s.tier.now, func() { s.forwarder.TimerFired(s.tier.now, id) })
}

// Send delivers a message to a planner, in order, unless the connection is lost before.
func (s modelForwarderEffects) Send(n int, m Message) {
	tier, conn, p := s.tier, s.conn[n], s.tier.planners[n]
	if conn == 0 {
		tier.t.Fatalf("message sent to planner %d, which is not connected", n)
	}
	s.lastArrival[n] = max(s.lastArrival[n], tier.now+tier.latency())
	tier.after(s.lastArrival[n]-tier.now, func() { p.receive(conn, m) })
}

// modelPlanner is a planner with its connections. From and to map connection numbers to the planner's IDs and back.
type modelPlanner struct {
	tier        *modelTier
	index       int
	planner     *Planner
	incarnation int
	pausedUntil time.Duration
	from        map[int]ConnectionID // by connection
	to          map[ConnectionID]int
	forwarders  map[int]*modelForwarder
	lastArrival map[int]time.Duration
	dead        bool
}

func (p *modelPlanner) start() {
	p.dead, p.incarnation = false, p.incarnation+1
	p.from, p.to, p.forwarders, p.lastArrival = make(map[int]ConnectionID), make(map[ConnectionID]int), make(map[int]*modelForwarder), make(map[int]time.Duration)
	p.planner = NewPlanner(modelSettings(), false, uint64(p.index), p.tier.now, modelPlannerEffects{p, p.incarnation})
	p.endpoints()
}

func (p *modelPlanner) endpoints() {
	if !p.dead {
		p.planner.UpdateEndpoints(p.tier.now, decide.UpdateFull, p.tier.endpoints())
	}
}

// whenRunning calls do once the planner is not paused, unless it is dead or has restarted by then.
func (p *modelPlanner) whenRunning(do func()) {
	incarnation := p.incarnation
	if p.tier.now < p.pausedUntil {
		p.tier.after(p.pausedUntil-p.tier.now, func() {
			if p.incarnation == incarnation && !p.dead {
				do()
			}
		})
		return
	}
	if !p.dead {
		do()
	}
}

func (p *modelPlanner) receive(conn int, m Message) {
	p.whenRunning(func() {
		if src, ok := p.from[conn]; ok {
			p.planner.Receive(p.tier.now, src, m)
		}
	})
}

// connect connects a forwarder, and retries while the planner is dead or paused.
func (p *modelPlanner) connect(f *modelForwarder) {
	if p.dead || p.tier.now < p.pausedUntil {
		p.tier.after(100*time.Millisecond, func() { p.connect(f) })
		return
	}
	p.tier.conns++
	conn := p.tier.conns
	src := p.planner.ForwarderConnected(p.tier.now, fmt.Sprint("f", f.index))
	p.from[conn], p.to[src], p.forwarders[conn] = src, conn, f
	f.conn[p.index], f.lastArrival[p.index] = conn, p.tier.now
	f.forwarder.PlannerConnected(p.tier.now, p.index)
}

// disconnect closes a connection and reports that to both ends.
func (p *modelPlanner) disconnect(f *modelForwarder) {
	conn := f.conn[p.index]
	if conn == 0 {
		return
	}
	f.conn[p.index] = 0
	src := p.from[conn]
	delete(p.from, conn)
	delete(p.to, src)
	delete(p.forwarders, conn)
	p.whenRunning(func() { p.planner.ForwarderDisconnected(p.tier.now, src) })
	f.forwarder.PlannerDisconnected(p.tier.now, p.index)
	p.tier.after(p.tier.latency()+50*time.Millisecond, func() { p.connect(f) })
}

// kill stops the planner and closes its connections.
func (p *modelPlanner) kill() {
	p.dead = true
	for _, f := range p.tier.forwarders {
		p.disconnect(f)
	}
}

type modelPlannerEffects struct {
	*modelPlanner
	incarnation int
}

func (p modelPlannerEffects) Send(to ConnectionID, m Message) {
	conn, ok := p.to[to]
	if !ok {
		return
	}
	f := p.forwarders[conn]
	p.lastArrival[conn] = max(p.lastArrival[conn], p.tier.now+p.tier.latency())
	p.tier.after(p.lastArrival[conn]-p.tier.now, func() {
		if f.conn[p.index] == conn {
			f.forwarder.AnswerReceived(p.tier.now, p.index, m)
			if p.tier.random.IntN(20) == 0 {
				f.forwarder.AnswerReceived(p.tier.now, p.index, m) // a duplicate
			}
		}
	})
}

func (p modelPlannerEffects) SetTimer(t Timer, at time.Duration) {
	p.tier.after(at-p.tier.now, func() {
		if p.modelPlanner.incarnation == p.incarnation {
			p.whenRunning(func() { p.planner.TimerFired(p.tier.now, t) })
		}
	})
}
func (p modelPlannerEffects) WatchEndpoints(bool) {}
func (p modelPlannerEffects) Log(string)          {}
func (p modelPlannerEffects) Reset() {
	p.tier.after(0, func() {
		for _, f := range p.tier.forwarders {
			p.disconnect(f)
		}
	})
}

const modelServers = 8

func (tier *modelTier) endpoints() (list []decide.Server) {
	for id := decide.ServerID(1); id <= modelServers; id++ {
		s := decide.Server{ID: id, State: decide.Ready, Capacity: 1, StartedAt: tier.startedAt[id]}
		if _, draining := tier.draining[id]; draining {
			s.State = decide.Draining
		}
		list = append(list, s)
	}
	return list
}

// build creates the planners and the forwarders, and connects them.
func (tier *modelTier) build(forwarders, planners int) {
	for n := range planners {
		p := &modelPlanner{tier: tier, index: n}
		tier.planners = append(tier.planners, p)
		p.start()
	}
	for i := range forwarders {
		f := &modelForwarder{
			tier: tier, index: i, requests: make(map[decide.RequestID]*modelRequest), conn: make([]int, planners), lastArrival: make([]time.Duration, planners),
		}
		tier.forwarders = append(tier.forwarders, f)
		set := modelSettings()
		set.NodeIndex, set.NodeCount = i, forwarders
		f.balancer = decide.New(set, uint64(i), tier.now, f)
		f.balancer.UpdateEndpoints(tier.now, decide.UpdateCached, tier.endpoints())
		f.forwarder = NewForwarder(DefaultChooserSettings, planners, uint64(i), modelForwarderEffects{f})
		for _, p := range tier.planners {
			p.connect(f)
		}
	}
}

// updateEndpoints passes the endpoint list to all forwarders and planners at once.
func (tier *modelTier) updateEndpoints() {
	for _, f := range tier.forwarders {
		f.balancer.UpdateEndpoints(tier.now, decide.UpdateFull, tier.endpoints())
	}
	for _, p := range tier.planners {
		p.whenRunning(p.endpoints)
	}
}

// TestTierModel runs random tiers in virtual time, with planners that die, pause and restart, connections
// that are lost, and servers that drain. Each request has one answer before its deadline. No
// non-idempotent request may run twice, or is rejected although it may have run. No server gets an attempt
// after its grace period. No attempt counts as in flight once all have ended.
func TestTierModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tier := &modelTier{
			t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: 1000 * time.Second,
			draining: make(map[decide.ServerID]time.Duration), sent: make(map[decide.ServerID]int), startedAt: make(map[decide.ServerID]time.Duration),
		}
		planners := rapid.IntRange(0, 3).Draw(t, "planners")
		tier.build(rapid.IntRange(1, 3).Draw(t, "forwarders"), planners)
		steps := rapid.SliceOfN(rapid.IntRange(0, 99), 20, 150).Draw(t, "steps")
		for _, step := range steps {
			tier.run(tier.now + time.Duration(tier.random.IntN(40))*time.Millisecond)
			forwarder := tier.forwarders[tier.random.IntN(len(tier.forwarders))]
			switch {
			case step < 80:
				for range 1 + step%8 {
					forwarder.arrive(tier.random.IntN(2))
				}
			case step < 84: // a server drains; forwarders and planners are notified at different times
				id := decide.ServerID(1 + tier.random.IntN(modelServers))
				if _, draining := tier.draining[id]; !draining && len(tier.draining) < modelServers-2 {
					tier.draining[id] = tier.now
					for _, f := range tier.forwarders {
						tier.after(time.Duration(tier.random.Int64N(int64(grace))), func() { f.balancer.UpdateEndpoints(tier.now, decide.UpdateFull, tier.endpoints()) })
					}
					for _, p := range tier.planners {
						tier.after(time.Duration(tier.random.IntN(3000))*time.Millisecond, func() { p.whenRunning(p.endpoints) })
					}
				}
			case planners == 0:
			case step < 88:
				p := tier.planners[tier.random.IntN(planners)]
				if !p.dead {
					p.kill()
					tier.after(time.Duration(tier.random.IntN(3000))*time.Millisecond, p.start)
				}
			case step < 92:
				p := tier.planners[tier.random.IntN(planners)]
				p.pausedUntil = tier.now + time.Duration(tier.random.IntN(3000))*time.Millisecond
			default:
				tier.planners[tier.random.IntN(planners)].disconnect(forwarder)
			}
		}
		tier.run(tier.now + 6*time.Second)
		for _, f := range tier.forwarders {
			if len(f.requests) > 0 || f.forwarder.OpenRequests() > 0 {
				t.Fatalf("forwarder %d has %d open requests, and its state machine %d, after all requests have ended", f.index, len(f.requests), f.forwarder.OpenRequests())
			}
		}
		for _, p := range tier.planners {
			if !p.dead && p.planner.AttemptsInFlight() != 0 {
				t.Fatalf("planner %d counts %d attempts in flight after all attempts have ended", p.index, p.planner.AttemptsInFlight())
			}
		}
	})
}

// newSteadyTier returns a model without message delays above 1 ms, whose forwarders and planners are all
// connected.
func newSteadyTier(t failer, forwarders, planners int) *modelTier {
	tier := &modelTier{
		t: t, random: rand.New(rand.NewPCG(5, 1)), now: 1000 * time.Second, steady: true,
		draining: make(map[decide.ServerID]time.Duration), sent: make(map[decide.ServerID]int), startedAt: make(map[decide.ServerID]time.Duration),
	}
	tier.build(forwarders, planners)
	return tier
}

// load creates requests at a constant rate, at random forwarders, for the time span.
func (tier *modelTier) load(rate int, span time.Duration) {
	for until := tier.now + span; tier.now < until; tier.run(tier.now + time.Second/time.Duration(rate)) {
		tier.forwarders[tier.random.IntN(len(tier.forwarders))].arrive(0)
	}
}

// TestModelTierFollowsPlans runs a tier whose planners do not fail: once synchronized, they place most
// first attempts, although attempts fail. TestTierModel would prove nothing about planners if they placed
// no attempts in the model.
func TestModelTierFollowsPlans(t *testing.T) {
	tier := newSteadyTier(t, 3, 2)
	tier.load(200, 5*time.Second)
	tier.planned, tier.unplanned = 0, 0
	tier.load(200, 2*time.Second)
	if share := float64(tier.planned) / float64(tier.planned+tier.unplanned); share < 0.6 {
		t.Errorf("a share of %.2f of the first attempts was sent as planned, want at least 0.6", share)
	}
	inFlight := 0
	for _, f := range tier.forwarders {
		for _, r := range f.requests {
			inFlight += r.inFlight
		}
	}
	for _, p := range tier.planners { // some messages are in transit
		if got := p.planner.AttemptsInFlight(); inFlight == 0 || got < inFlight/2 || got > 2*inFlight+5 {
			t.Errorf("planner %d counts %d attempts in flight, want about the %d of the forwarders", p.index, got, inFlight)
		}
	}
	// The first planner dies: the second knows all attempts in flight, and takes over.
	tier.planners[0].kill()
	tier.load(200, 100*time.Millisecond)
	tier.planned, tier.unplanned = 0, 0
	tier.load(200, 3*time.Second)
	if share := float64(tier.planned) / float64(tier.planned+tier.unplanned); share < 0.5 {
		t.Errorf("without the first planner a share of %.2f of the first attempts was sent as planned, want at least 0.5", share)
	}
}

// TestSlowStartBudgetIsShared restarts a server under load: forwarders and planners together send it at
// most its slow-start budget.
func TestSlowStartBudgetIsShared(t *testing.T) {
	for planners := range 3 {
		tier := newSteadyTier(t, 3, planners)
		tier.load(400, 5*time.Second)
		tier.sent = make(map[decide.ServerID]int)
		tier.load(400, 2*time.Second)
		usual := 0
		for id := range decide.ServerID(modelServers) {
			usual += tier.sent[id+1]
		}
		usual /= modelServers
		tier.startedAt[1] = tier.now
		tier.updateEndpoints()
		tier.sent = make(map[decide.ServerID]int)
		tier.load(400, 2*time.Second)
		set := modelSettings()
		part := set.SlowStartShare + (1-set.SlowStartShare)*0.5*2/set.SlowStartWindow.Seconds() // mean fraction of its capacity
		if limit := int(part*set.OverloadMultiple*float64(usual)) + 5; tier.sent[1] > limit || tier.sent[1] == 0 {
			t.Errorf("with %d planners a cold server got %d attempts in 2 s, others %d; want 1 to %d", planners, tier.sent[1], usual, limit)
		}
	}
}
