// Package fleetsim plays a whole tier in virtual time and one goroutine: clients,
// nodes, planners and servers with queues, all driven by one seed. The decisions
// are those of the decide module; everything else is an event in a queue.
package fleetsim

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/slowstart"
)

// Settings are one run.
type Settings struct {
	Nodes, Servers int
	// Load is the work offered, as a part of what the servers can do.
	Load float64
	For  time.Duration
	Seed uint64
	// Planners is how many planners decide for all nodes; 0 for one level, where
	// each node decides for itself. With SitePlanners each site has one of its own.
	Planners     int
	SitePlanners bool
	// Forward is how many planners each site has, whose forwarders the nodes are, as
	// package plan has both; 0 for none.
	Forward int
	Faults  []Fault
	// Trouble has servers restart, and so be cold: Restart of them at a time,
	// each RestartEvery.
	Restart float64
	// SmallSite is the part of its servers that the first site has; the others have
	// the rest. 0 stands for all of them.
	SmallSite    float64
	RestartEvery time.Duration
	// Hot is the part of all requests that one key has in every other second.
	Hot float64
	// Lost is a loss of the first site.
	Lost Loss
	// Sites is how many there are, 3 where it is 0. Planners know of three.
	Sites int
	Mass
}

// Loss has a site's servers fall silent from At on, For so long, and come back cold, which
// the list tells later. With Nodes those of the site die with it and begin anew as it comes
// back, with the list that they had.
type Loss struct {
	At, For time.Duration
	Nodes   bool
}

// Fault is something that befalls a planner, or all of them.
type Fault struct {
	Planner int // or All
	Kind    FaultKind
	At, For time.Duration
}

// All stands for every planner.
const All = -1

// FaultKind is what befalls a planner.
type FaultKind uint8

// A planner is killed and comes back knowing nothing; is paused and comes back with
// old beliefs and all that was said to it meanwhile; or takes slowBy for every word.
const (
	Killed FaultKind = iota
	Paused
	Slow
	// Cut has every other forwarder lose its connection, and find no way for a time.
	Cut
)

const slowBy = 50 * time.Millisecond

// The world, after the operators' brief: three sites, three kinds of servers, four
// classes of requests, keys of unlike popularity.
const (
	sites        = 3
	sameSite     = 150 * time.Microsecond
	otherSite    = 600 * time.Microsecond
	queueSlots   = 8 // a core
	keyCount     = 1000
	keySpan      = 6 * time.Second // how long a server is quicker with a key
	keySaves     = 0.45
	coldFrom     = 0.13
	fallMultiple = 2.5
	fallWithin   = time.Second
	coldFor      = 23 * time.Second
	listLate     = time.Second // how late the list tells of a restart
	keepAlive    = 15 * time.Second
	dialWait     = 250 * time.Millisecond // how long a node waits for a connection
	watchTakes   = 100 * time.Millisecond // discovery's answer to the first call of a watch
	retries      = 1
	retryPause   = 100 * time.Millisecond
)

type class struct {
	decide.Class
	share float64
	work  time.Duration // mean, on the yardstick
}

var classes = []class{
	{decide.Class{Idempotency: decide.Idempotent, LatencyObjective: 750 * time.Millisecond, Deadline: 2500 * time.Millisecond, PriorityWeight: 1}, 0.45, 76 * time.Millisecond},
	{decide.Class{Idempotency: decide.Idempotent, LatencyObjective: 800 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 1}, 0.27, 101 * time.Millisecond},
	{decide.Class{Idempotency: decide.IdempotentWithKey, DedupWindow: 12 * time.Second, LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 5}, 0.18, 170 * time.Millisecond},
	{decide.Class{Idempotency: decide.NotIdempotent, LatencyObjective: 2500 * time.Millisecond, Deadline: 6 * time.Second, PriorityWeight: 3}, 0.10, 200 * time.Millisecond},
}

type kind struct {
	share      float64
	cores      int
	slow, fast float64 // speed of a core, from and to
}

var kinds = []kind{{0.36, 2, 1.1, 1.5}, {0.31, 3, 0.85, 1.1}, {0.33, 2, 0.59, 0.8}}

// Result is what clients saw.
type Result struct {
	Asked, Missed, Refused, Failed int
	Attempts, Crossed              int // crossed between sites
	Planned, Alone                 int // first attempts by a plan, and by a forwarder's own choice
	Twice                          int // unsafe requests that ran twice
	Open                           int // requests or attempts that never ended
	Worth, WorthMissed             float64
	ColdUse, WarmUse               float64         // the part of their cores' time that servers worked, while cold and otherwise
	ColdMost                       float64         // the most sent to a cold server in a second, in what it could do then
	BackMost                       float64         // likewise to one of a lost site from its first moment on
	Fell                           int             // of these, how many were sent more than fallMultiple
	ColdCalls, ColdWork            slowstart.Sum   // the starts of servers held to their budgets, by calls and by their work
	Unmet                          int             // of those missed, how many found no node of their site up
	AfterGrace                     int             // sends to servers that drain, when the node had been told for drainGrace
	Calls, CallsFailed, Lines      int             // of discovery: first calls of watches, those that it failed, lines in its answers
	Connects                       int             // connections opened, at the least
	Latencies                      []time.Duration // of answers, sorted
}

// MissedShare is the part of requests without an answer within their aim.
func (r *Result) MissedShare() float64 { return float64(r.Missed) / float64(max(r.Asked, 1)) }

// Quantile is a quantile of the latencies of answers.
func (r *Result) Quantile(q float64) time.Duration {
	if len(r.Latencies) == 0 {
		return 0
	}
	return r.Latencies[min(int(q*float64(len(r.Latencies))), len(r.Latencies)-1)]
}

// event is something that happens at a time; events of one time happen in the
// order in which they were set.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type sim struct {
	set     Settings
	sites   int
	rng     *rand.Rand
	now     time.Duration
	seq     int
	queue   events
	servers []*server
	brains  []*brain // who decides: nodes, or planners

	forward  []*forwarder
	planners []*placementNode // of forwarders
	conns    int              // between these so far
	lives    int              // nodes that began anew

	res  Result
	open int
	last bool // no more arrivals

	coldTime  float64 // core seconds in which servers were cold
	told      []decide.Server
	discovery time.Duration // until when it has work
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, do})
}

// oneWay is the time between two sites.
func oneWay(a, b int) time.Duration {
	if a == b {
		return sameSite
	}
	return otherSite
}

// server is one box: cores, a queue, and the keys it met lately.
type server struct {
	sim       *sim
	id        decide.ServerID
	site      int
	cores     int
	speed     float64
	born      time.Duration // 0 for long ago
	busy      int
	running   []*job
	waiting   []*job
	keys      map[uint64]time.Duration
	calls     slowstart.Watch // of what came while it was cold, by calls
	works     slowstart.Watch // likewise by their work
	known     slowstart.Watch // by calls, once all may know of it, or from the first moment for one that was away
	away      bool            // it says nothing
	back      bool            // it was away
	fell      bool            // it was sent too much since
	bad       bool            // it fails half of what it gets
	condition decide.ServerState
}

// cold says whether a server has not been up for long.
func (v *server) cold() bool { return v.born > 0 && v.sim.now-v.born < coldFor }

// pace is how fast each of its cores works now.
func (v *server) pace() float64 {
	if !v.cold() {
		return v.speed
	}
	return v.speed * (coldFrom + (1-coldFrom)*float64(v.sim.now-v.born)/float64(coldFor))
}

// coldRule is what pushes a cold server over.
var coldRule = slowstart.Rule{Multiple: fallMultiple, Window: fallWithin}

// watch notes what came to a cold server within a second, against what it can do, and whether
// the node that sent it was told of the start.
func (v *server) watch(work time.Duration, told bool) {
	if !v.cold() {
		return
	}
	s, rate := v.sim, v.pace()*float64(v.cores)/meanWork()
	v.calls.Rule, v.works.Rule, v.known.Rule = coldRule, coldRule, coldRule
	v.calls.Arrive(s.now, rate, 1, told)
	v.works.Arrive(s.now, rate, work.Seconds()/meanWork(), told)
	if !v.back && s.now-v.born < listLate+fallWithin {
		return // nobody knew of it all that second
	}
	most := v.known.Arrive(s.now, rate, 1, told).Ratio() * fallMultiple
	if !v.back {
		s.res.ColdMost = max(s.res.ColdMost, most)
		return
	}
	s.res.BackMost = max(s.res.BackMost, most)
	if most > fallMultiple && !v.fell && s.now-v.born <= listLate+fallWithin {
		v.fell = true
		s.res.Fell++
	}
}

// watched ends the watch on a server's start.
func (v *server) watched() {
	v.sim.res.ColdCalls.Add(&v.calls)
	v.sim.res.ColdWork.Add(&v.works)
	v.calls, v.works, v.known = slowstart.Watch{}, slowstart.Watch{}, slowstart.Watch{}
}

// lose has the first site go, and come back.
func (s *sim) lose() {
	for _, v := range s.servers {
		if v.site == 0 {
			v.away = true
			v.born, v.busy, v.running, v.waiting = s.now, 0, nil, nil // what it held says nothing
		}
	}
	dies := func(b *brain) bool { return s.set.Lost.Nodes && b.site == 0 }
	for i, b := range s.brains {
		if dies(b) {
			s.kill(i)
		}
	}
	s.after(s.set.Lost.For, func() {
		for _, v := range s.servers {
			if v.away {
				// One after the other, within a second.
				s.after(time.Duration(s.rng.Float64()*float64(time.Second)), func() {
					v.watched()
					v.away, v.back, v.born, v.keys = false, true, s.now, make(map[uint64]time.Duration)
					v.chill()
					s.after(listLate, s.list)
				})
			}
		}
		for i, b := range s.brains {
			if dies(b) {
				s.begin(i)
			}
		}
	})
}

// meanWork is that of a request, in core seconds of the yardstick.
func meanWork() (mean float64) {
	for _, c := range classes {
		mean += c.share * c.work.Seconds()
	}
	return mean
}

// job is one attempt at its server.
type job struct {
	req     *request
	work    time.Duration
	told    bool // its node had been told of the server's start
	started bool
	dead    bool // called off before it began, or its server restarted
	done    func(decide.Result)
}

func (v *server) arrive(j *job) {
	v.watch(j.work, j.told)
	switch {
	case j.dead, v.away:
	case v.busy < v.cores:
		v.begin(j)
	case len(v.waiting) < queueSlots*v.cores:
		v.waiting = append(v.waiting, j)
	default:
		j.done(decide.Overloaded)
	}
}

func (v *server) begin(j *job) {
	j.started = true
	j.req.ran++
	if j.req.ran == 2 && classes[j.req.class].Idempotency == decide.NotIdempotent {
		v.sim.res.Twice++
	}
	v.running = append(v.running, j)
	v.busy++
	work := float64(j.work)
	if last, met := v.keys[j.req.key]; met && v.sim.now-last < keySpan {
		work *= 1 - keySaves
	}
	v.keys[j.req.key] = v.sim.now
	born, takes := v.born, time.Duration(work/v.pace())
	if v.cold() {
		v.sim.res.ColdUse += takes.Seconds()
	} else {
		v.sim.res.WarmUse += takes.Seconds()
	}
	v.sim.after(takes, func() {
		if v.born != born {
			return // it restarted meanwhile
		}
		v.busy--
		v.running = slices.DeleteFunc(v.running, func(o *job) bool { return o == j })
		j.done(decide.OK)
		for len(v.waiting) > 0 && v.busy < v.cores {
			next := v.waiting[0]
			v.waiting = v.waiting[1:]
			if !next.dead {
				v.begin(next)
			}
		}
	})
}

// left is how long the run still takes requests.
func (s *sim) left() time.Duration { return max(s.set.For-s.now, 0) }

// chill counts the time in which a server that begins now is cold.
func (v *server) chill() { v.sim.coldTime += float64(v.cores) * min(coldFor, v.sim.left()).Seconds() }

// restart ends all that the server holds; it comes back cold.
func (v *server) restart() {
	if v.cold() {
		v.sim.coldTime -= float64(v.cores) * min(v.born+coldFor-v.sim.now, v.sim.left()).Seconds()
	}
	v.chill()
	v.watched()
	v.born, v.busy = v.sim.now, 0
	for _, j := range append(v.running, v.waiting...) {
		j.done(decide.ConnectionReset)
	}
	v.running, v.waiting, v.keys = nil, nil, make(map[uint64]time.Duration)
}

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

// brain is one decide.Balancer: a node's own, or a planner's that decides all for
// many nodes.
type brain struct {
	sim  *sim
	b    *decide.Balancer
	f    *forwarder // its planners, if it has any
	site int
	far  bool // a planner: each word to or from it takes a way
	node      // what a node alone has
	last decide.RequestID
	reqs map[decide.RequestID]*exchange
}

// exchange is one try at the brain that decides on it.
type exchange struct {
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

// way is how long a word takes between a brain and the node of a request.
func (b *brain) way(r *request) time.Duration {
	if !b.far {
		return 0
	}
	return oneWay(b.site, r.site)
}

// ask brings a client's try to who decides on it.
func (s *sim) ask(r *request) {
	r.tries++
	b := s.brainOf(r)
	if b == nil { // none of its site is up
		r.unmet = true
		s.turnedAway(r, &s.res.Failed, 0)
		return
	}
	arrived := s.now
	s.after(b.way(r), func() {
		for b.last++; b.reqs[b.last] != nil; b.last++ {
		}
		x := &exchange{request: r, id: b.last, due: min(arrived, r.began) + classes[r.class].Deadline}
		x.hint = time.Duration(float64(r.work) * math.Exp(0.3*s.rng.NormFloat64()))
		b.reqs[x.id] = x
		if b.f == nil || !b.f.ask(x) {
			b.decide(x, 0)
		}
	})
}

// decide has the module decide on a request, with a server planned for it or 0.
func (b *brain) decide(x *exchange, planned decide.ServerID) {
	b.b.Arrive(b.sim.now, decide.Request{
		ID: x.id, Class: x.class, Key: x.key, WorkHint: x.hint, ClientRetry: x.tries > 1, Deadline: x.due, PlannedServer: planned,
	})
}

// brainOf is who decides on a request: its node, or a planner by its key's hash,
// so that a key's requests meet in one place.
func (s *sim) brainOf(r *request) *brain {
	switch {
	case s.set.SitePlanners:
		return s.brains[r.site]
	case s.set.Planners > 0:
		return s.brains[int(r.key%uint64(len(s.brains)))]
	}
	// The front of a site deals its requests out among the site's nodes.
	if s.set.trial() {
		return s.front(r.site)
	}
	own := (len(s.brains) - r.site + s.sites - 1) / s.sites
	return s.brains[r.site+s.sites*s.rng.IntN(own)]
}

// Send, with the methods that follow, is decide.Effects.
func (b *brain) Send(id decide.RequestID, to decide.ServerID, timeout time.Duration) {
	x := b.reqs[id]
	v := b.sim.servers[to-1]
	a := &attempt{n: len(x.attempts), srv: v}
	x.attempts = append(x.attempts, a)
	x.out++
	if b.f != nil {
		b.f.plan.Sent(b.sim.now, id, a.n, to)
	}
	b.sim.after(b.way(x.request), func() { b.carry(x, a, timeout) })
}

// carry carries an attempt out at the node.
func (b *brain) carry(x *exchange, a *attempt, timeout time.Duration) {
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
	if a.srv.condition == decide.Gone { // refused at once
		a.job = &job{req: x.request, dead: true}
		s.after(trip, func() { b.end(x, a, decide.ConnectFailed) })
		return
	}
	if a.srv.away || s.cut(x.site, a.srv.site) {
		a.job = &job{req: x.request, dead: true}
		s.after(min(dialWait, timeout), func() { b.end(x, a, decide.ConnectFailed) })
		return
	}
	a.job = &job{req: x.request, work: x.work, told: b.told(a.srv), done: func(r decide.Result) {
		if lost, reset := s.spoilt(); lost || s.cut(x.site, a.srv.site) {
			return
		} else if reset {
			r = decide.ConnectionReset
		} else if r == decide.OK && a.srv.bad && s.rng.IntN(2) == 0 {
			r = decide.Failed
		}
		s.after(trip, func() { b.end(x, a, r) })
	}}
	s.after(trip, func() { a.srv.arrive(a.job) })
	if timeout > 0 {
		s.after(timeout, func() {
			if !a.ended {
				b.callOff(x, a, decide.TimedOut)
			}
		})
	}
}

// end takes the outcome of an attempt: the client first, then the brain.
func (b *brain) end(x *exchange, a *attempt, r decide.Result) {
	if a.ended {
		return
	}
	a.ended = true
	if r == decide.OK && !x.settled {
		x.settled = true
		b.sim.answered(x.request)
	}
	settled := x.settled
	b.sim.after(b.way(x.request), func() {
		x.out--
		if b.f != nil {
			b.f.plan.Ended(x.id, a.n, r)
		}
		b.b.AttemptFinished(b.sim.now, decide.Outcome{ID: x.id, Attempt: a.n, Result: r, Final: settled})
		b.release(x)
	})
}

// callOff ends an attempt from this side. What waits at the server is dropped, and
// what runs runs on.
func (b *brain) callOff(x *exchange, a *attempt, r decide.Result) {
	b.sim.after(oneWay(x.site, a.srv.site), func() { a.job.dead = !a.job.started })
	b.end(x, a, r)
}

func (b *brain) release(x *exchange) {
	if x.settled && x.out == 0 && b.reqs[x.id] == x {
		delete(b.reqs, x.id)
		if b.f != nil {
			b.f.plan.Closed(x.id)
		}
	}
}

func (b *brain) Cancel(id decide.RequestID, n int) {
	if x := b.reqs[id]; x != nil && n < len(x.attempts) {
		b.sim.after(b.way(x.request), func() {
			if !x.attempts[n].ended && x.attempts[n].job != nil {
				b.callOff(x, x.attempts[n], decide.Cancelled)
			}
		})
	}
}

func (b *brain) Reject(id decide.RequestID, retryAfter time.Duration) {
	b.final(id, func(r *request) { b.sim.turnedAway(r, &b.sim.res.Refused, retryAfter) })
}

func (b *brain) Fail(id decide.RequestID) {
	b.final(id, func(r *request) { b.sim.turnedAway(r, &b.sim.res.Failed, 0) })
}

func (b *brain) final(id decide.RequestID, tell func(*request)) {
	x := b.reqs[id]
	if x == nil {
		return
	}
	b.sim.after(b.way(x.request), func() {
		if !x.settled {
			x.settled = true
			tell(x.request)
		}
		b.release(x)
	})
}

func (b *brain) SetTimer(token uint64, at time.Duration) {
	b.sim.after(max(at-b.sim.now, 0), func() {
		if !b.dead && (!b.sim.last || b.sim.open > 0) {
			b.b.TimerFired(b.sim.now, token)
		}
	})
}

// WatchEndpoints has discovery answer with what it tells by then; later lists come by themselves.
func (b *brain) WatchEndpoints(bool) {
	b.sim.call(b)
}

func (b *brain) Log(string) {}

func (s *sim) answered(r *request) {
	took := s.now - r.began
	s.res.Latencies = append(s.res.Latencies, took)
	s.close(r, took <= classes[r.class].LatencyObjective)
}

// turnedAway has the client try again, if it has a try left and time.
func (s *sim) turnedAway(r *request, count *int, after time.Duration) {
	wait := max(after, retryPause)
	again := r.tries <= retries && s.now+wait < r.began+classes[r.class].Deadline
	if again && (count == &s.res.Refused || classes[r.class].Idempotency != decide.NotIdempotent) {
		s.after(wait, func() { s.ask(r) })
		return
	}
	*count++
	s.close(r, false)
}

func (s *sim) close(r *request, inTime bool) {
	s.open--
	worth := classes[r.class].PriorityWeight * r.work.Seconds()
	s.res.Worth += worth
	if !inTime {
		if r.unmet {
			s.res.Unmet++
		}
		s.res.Missed++
		s.res.WorthMissed += worth
	}
}

// Run plays one run to its last answer.
func Run(set Settings) (*Result, error) {
	n := cmp.Or(set.Sites, sites)
	if n < 1 || set.Nodes < n || set.Servers < n || !(set.Load > 0) || set.For <= 0 {
		return nil, fmt.Errorf("a fleet wants %d nodes and servers or more, a load and a time: %+v", n, set)
	}
	if n != sites && (set.Planners > 0 || set.SitePlanners || set.Forward > 0) {
		return nil, fmt.Errorf("planners know of %d sites, not %d", sites, n)
	}
	s := &sim{set: set, sites: n, rng: rand.New(rand.NewPCG(set.Seed, 2))}
	capacity := s.build()
	s.think()
	s.arrivals(set.Load * capacity / meanWork())
	for _, f := range set.Faults {
		s.after(f.At, func() { s.befall(f) })
	}
	if set.trial() {
		s.troubles()
	}
	if set.Lost.For > 0 {
		s.after(set.Lost.At, s.lose)
	}
	if set.Restart > 0 {
		s.after(set.RestartEvery, s.restarts)
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.res.Open = s.open
	for _, b := range s.brains {
		s.res.Open += len(b.reqs)
	}
	s.planned()
	whole := 0.0
	for _, v := range s.servers {
		v.watched()
		whole += float64(v.cores) * set.For.Seconds()
	}
	s.res.ColdUse /= max(s.coldTime, 1)
	s.res.WarmUse /= max(whole-s.coldTime, 1)
	slices.Sort(s.res.Latencies)
	return &s.res, nil
}

// build makes the servers and returns what they can do, in yardstick cores.
func (s *sim) build() (capacity float64) {
	for i := range s.set.Servers {
		at := (float64(i) + 0.5) / float64(s.set.Servers)
		k := kinds[len(kinds)-1]
		for _, o := range kinds {
			if at -= o.share; at < 0 {
				k = o
				break
			}
		}
		v := &server{
			sim: s, id: decide.ServerID(i + 1), site: i % s.sites, cores: k.cores,
			speed: k.slow + (k.fast-k.slow)*s.rng.Float64(), keys: make(map[uint64]time.Duration), condition: decide.Ready,
		}
		if n := i / sites; s.set.SmallSite > 0 && v.site == 0 && float64(n) >= s.set.SmallSite*float64(s.set.Servers)/sites {
			v.site = 1 + n%(sites-1)
		}
		s.servers = append(s.servers, v)
		capacity += float64(v.cores) * v.speed
	}
	return capacity
}

// think makes the brains and tells them of the servers.
func (s *sim) think() {
	n, far := s.set.Nodes, false
	switch {
	case s.set.SitePlanners:
		n, far = sites, true
	case s.set.Planners > 0:
		n, far = s.set.Planners, true
	}
	for i := range n {
		s.brains = append(s.brains, s.brain(i, n, i%s.sites, far))
	}
	for i := range s.set.Forward * sites {
		p := &placementNode{sim: s, i: i}
		s.planners = append(s.planners, p)
		p.begin()
	}
	s.list()
	for i, b := range s.brains {
		if s.set.Forward > 0 {
			s.forwarder(i, b)
			s.forward = append(s.forward, b.f)
		}
	}
}

// brain makes one of n that decide, at a site.
func (s *sim) brain(i, n, site int, far bool) *brain {
	b := &brain{sim: s, site: site, far: far, reqs: make(map[decide.RequestID]*exchange)}
	b.links, b.drained, b.weight = make(map[decide.ServerID]time.Duration), make(map[decide.ServerID]time.Duration), 1
	b.b = decide.New(s.settings(i, n, site), s.set.Seed+uint64(i)+uint64(s.lives)<<20, s.now, b)
	return b
}

// settings are what the module is told of one of n at a site.
func (s *sim) settings(i, n, site int) decide.Settings {
	set := decide.Settings{
		NodeIndex: i, NodeCount: n, Zone: site, ZoneCount: s.sites, MaxAttempts: 3, Hedging: true, CancelAttempts: true, WeightByWork: true, KeyAffinity: true,
		PollDiscovery: s.set.trial(), PollPeriod: 10 * time.Second,
		OverloadMultiple: fallMultiple, SlowStartShare: coldFrom, SlowStartWindow: coldFor, CrossZoneCost: 0.12, IdleTimeout: keepAlive, MaxRetryAfter: 2 * time.Second,
	}
	for _, c := range classes {
		set.Classes = append(set.Classes, c.Class)
	}
	return set
}

// entries is the list of servers.
func (s *sim) entries() (list []decide.Server) {
	for _, v := range s.servers {
		if v.condition == decide.Gone {
			continue
		}
		since := v.born
		if v.away {
			since = 0 // nothing has been heard of a loss
		}
		list = append(list, decide.Server{ID: v.id, Zone: v.site, State: v.condition, Capacity: float64(v.cores), StartedAt: since})
	}
	return list
}

// list tells all who decide of every server.
func (s *sim) list() {
	all := s.entries()
	s.told = all
	for _, b := range s.brains {
		list := all
		if s.set.SitePlanners { // as forwarders' planners are; see plan.NewPlanner
			list = slices.DeleteFunc(slices.Clone(all), func(e decide.Server) bool { return e.Zone != b.site })
		}
		s.after(0, func() {
			if !s.set.trial() || b.watching {
				b.listed(decide.UpdateFull, list)
			} else if b.had == nil {
				b.listed(decide.UpdateCached, list)
			}
		})
	}
	for _, p := range s.planners {
		p.listed()
	}
}

// restarts has the next part of the servers restart, and the list tell of it.
func (s *sim) restarts() {
	if s.last {
		return
	}
	for range int(s.set.Restart * float64(len(s.servers))) {
		s.servers[s.rng.IntN(len(s.servers))].restart()
	}
	s.after(listLate, s.list)
	s.after(s.set.RestartEvery, s.restarts)
}

// arrivals sets the requests off, each as the one before comes.
func (s *sim) arrivals(rate float64) {
	zipf := rand.NewZipf(s.rng, 1.1, 4, keyCount-1)
	var next func()
	next = func() {
		if s.now >= s.set.For {
			s.last = true
			return
		}
		r := &request{site: s.rng.IntN(s.sites), began: s.now, key: zipf.Uint64()*0x9e3779b97f4a7c15 + 1}
		if s.set.Hot > 0 && s.now/time.Second%2 == 1 && s.rng.Float64() < s.set.Hot {
			r.key = 1 + uint64(s.now/(2*time.Second)) // a new one each time
		}
		at := s.rng.Float64()
		for r.class = range classes {
			if at -= classes[r.class].share; at < 0 {
				break
			}
		}
		r.work = time.Duration(s.rng.ExpFloat64() * float64(classes[r.class].work))
		s.res.Asked++
		s.open++
		s.ask(r)
		times := 1.0
		if u := &s.set.Burst; s.now >= u.At && s.now < u.At+u.For {
			times = u.Times
		}
		s.after(time.Duration(s.rng.ExpFloat64()/(rate*times)*float64(time.Second)), next)
	}
	s.after(0, next)
}
