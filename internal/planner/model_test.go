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

// A model of a tier: forwarders with modules of their own, planners, and servers
// that run what they get, all in virtual time. Words between the levels are late,
// and connections break; planners die, pause and come back. The model keeps its own
// account of what the rules promise.
type model struct {
	t     failer
	g     *rand.Rand
	now   time.Duration
	seq   int
	queue []event
	fs    []*modelForwarder
	ps    []*modelPlanner
	gone  map[decide.ServerID]time.Duration
	sent  map[decide.ServerID]int
	since map[decide.ServerID]time.Duration // its last start, if not long ago
	conns int                               // made so far
	calm  bool                              // no word takes long

	planned, alone int // first attempts, by who chose the server
}

// failer is a test, of either kind.
type failer interface {
	Errorf(format string, args ...any)
	Fatalf(format string, args ...any)
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

func (w *model) after(d time.Duration, do func()) {
	w.seq++
	w.queue = append(w.queue, event{w.now + max(d, 0), w.seq, do})
}

// run plays what is due until a time.
func (w *model) run(until time.Duration) {
	for {
		best := -1
		for i, e := range w.queue {
			if e.at <= until && (best < 0 || e.at < w.queue[best].at || e.at == w.queue[best].at && e.seq < w.queue[best].seq) {
				best = i
			}
		}
		if best < 0 {
			w.now = until
			return
		}
		e := w.queue[best]
		w.queue = slices.Delete(w.queue, best, best+1)
		w.now = max(w.now, e.at)
		e.do()
	}
}

// way is how long a word takes.
func (w *model) way() time.Duration {
	if !w.calm && w.g.IntN(10) == 0 {
		return time.Duration(w.g.IntN(60)) * time.Millisecond
	}
	return time.Duration(100+w.g.IntN(900)) * time.Microsecond
}

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

// modelForwarder is a forwarder: the module, and the life of requests round it.
type modelForwarder struct {
	w    *model
	i    int
	b    *decide.Balancer
	f    *Forwarder
	reqs map[decide.RequestID]*modelRequest
	last decide.RequestID
	conn []int // of each planner: the number of the connection, 0 for none
	tail []time.Duration
}

type modelRequest struct {
	id       decide.RequestID
	class    int
	due      time.Duration
	asking   bool
	answers  int
	settled  bool
	out      int
	mayRun   int // attempts that ran or may have
	planned  decide.ServerID
	attempts []decide.ServerID
	ended    []bool
}

func (f *modelForwarder) Send(id decide.RequestID, to decide.ServerID, timeout time.Duration) {
	w, r := f.w, f.reqs[id]
	if r == nil || r.answers > 0 || r.settled {
		w.t.Fatalf("request %d is sent after its answer", id)
	}
	if at, left := w.gone[to]; left && w.now > at+grace {
		w.t.Fatalf("sent to server %d, %v after it began to drain", to, w.now-at)
	}
	n := len(r.attempts)
	r.attempts, r.ended = append(r.attempts, to), append(r.ended, false)
	r.out++
	r.mayRun++
	if r.class == 1 && r.mayRun > 1 {
		w.t.Fatalf("unsafe request %d may run %d times", id, r.mayRun)
	}
	w.sent[to]++
	if n == 0 && to == r.planned {
		w.planned++
	} else if n == 0 {
		w.alone++
	}
	f.f.Sent(w.now, id, n, to)
	result, took := decide.OK, time.Duration(5+w.g.IntN(60))*time.Millisecond
	switch w.g.IntN(12) {
	case 0:
		result = decide.Overloaded
	case 1:
		result = decide.ConnectionReset
	case 2:
		took = time.Hour // silent
	case 3:
		result, took = decide.ConnectFailed, time.Millisecond
	}
	wait := min(timeout, r.due-w.now)
	if took > wait {
		result, took = decide.TimedOut, wait
	}
	w.after(took, func() { f.end(r, n, result) })
}

func (f *modelForwarder) end(r *modelRequest, n int, result decide.Result) {
	if r.ended[n] {
		return
	}
	r.ended[n] = true
	r.out--
	if result == decide.Overloaded || result == decide.ConnectFailed {
		r.mayRun--
	}
	if result == decide.OK && !r.settled {
		r.settled = true
		r.answers++
	}
	f.f.Ended(r.id, n, result)
	f.b.AttemptFinished(f.w.now, decide.Outcome{ID: r.id, Attempt: n, Result: result, Final: r.settled})
	f.release(r)
}

func (f *modelForwarder) release(r *modelRequest) {
	if r.settled && r.out == 0 && f.reqs[r.id] == r {
		delete(f.reqs, r.id)
		f.f.Closed(r.id)
	}
}

func (f *modelForwarder) Cancel(id decide.RequestID, n int) {
	if r := f.reqs[id]; r != nil {
		f.w.after(0, func() { f.end(r, n, decide.Cancelled) })
	}
}

func (f *modelForwarder) Reject(id decide.RequestID, _ time.Duration) { f.final(id, true) }
func (f *modelForwarder) Fail(id decide.RequestID)                    { f.final(id, false) }

func (f *modelForwarder) final(id decide.RequestID, refused bool) {
	r := f.reqs[id]
	if r == nil || r.settled {
		return
	}
	if refused && r.class == 1 && r.mayRun > 0 {
		f.w.t.Fatalf("unsafe request %d is refused and may have run", id)
	}
	r.settled = true
	r.answers++
	f.w.after(0, func() { f.release(r) })
}

func (f *modelForwarder) SetTimer(token uint64, at time.Duration) {
	f.w.after(at-f.w.now, func() { f.b.TimerFired(f.w.now, token) })
}
func (f *modelForwarder) WatchEndpoints(bool) {}
func (f *modelForwarder) Log(string)          {}

// arrive takes a client's request.
func (f *modelForwarder) arrive(class int) {
	w := f.w
	f.last++
	r := &modelRequest{id: f.last, class: class, due: w.now + time.Second}
	f.reqs[r.id] = r
	w.after(time.Second+time.Millisecond, func() {
		if r.answers != 1 {
			w.t.Fatalf("request %d of forwarder %d has %d answers when its time is up", r.id, f.i, r.answers)
		}
	})
	q := Question{Class: class, Key: uint64(w.g.IntN(20)), Hint: 20 * time.Millisecond, Left: time.Second}
	if r.asking = f.f.Ask(w.now, r.id, q); !r.asking {
		f.go_(r, 0)
	}
}

func (f *modelForwarder) go_(r *modelRequest, server decide.ServerID) {
	r.asking, r.planned = false, server
	f.b.Arrive(f.w.now, decide.Request{ID: r.id, Class: r.class, WorkHint: 20 * time.Millisecond, Deadline: r.due, PlannedServer: server})
}

// side is a forwarder's ForwarderEffects.
type side struct{ *modelForwarder }

func (s side) Go(id decide.RequestID, server decide.ServerID) {
	r := s.reqs[id]
	if r == nil || !r.asking {
		s.w.t.Fatalf("request %d is let go twice, or after its end", id)
	}
	r.asking = false
	s.w.after(0, func() { s.go_(r, server) })
}

func (s side) SetTimer(id decide.RequestID, at time.Duration) {
	s.w.after(at-s.w.now, func() { s.f.Late(s.w.now, id) })
}

// Tell brings a word to a planner, in order, if the connection still stands then.
func (s side) Tell(n int, m Message) {
	w, conn, p := s.w, s.conn[n], s.w.ps[n]
	if conn == 0 {
		w.t.Fatalf("planner %d is told something that it cannot hear", n)
	}
	s.tail[n] = max(s.tail[n], w.now+w.way())
	w.after(s.tail[n]-w.now, func() { p.hear(conn, m) })
}

// modelPlanner is a planner with its connections.
type modelPlanner struct {
	w      *model
	n      int
	p      *Planner
	life   int
	paused time.Duration
	from   map[int]Source // by connection
	to     map[Source]int
	who    map[int]*modelForwarder
	tail   map[int]time.Duration
	dead   bool
}

func (p *modelPlanner) start() {
	p.dead, p.life = false, p.life+1
	p.from, p.to, p.who, p.tail = make(map[int]Source), make(map[Source]int), make(map[int]*modelForwarder), make(map[int]time.Duration)
	p.p = NewPlanner(modelSettings(), false, uint64(p.n), p.w.now, planSide{p, p.life})
	p.list()
}

func (p *modelPlanner) list() {
	if !p.dead {
		p.p.Listed(p.w.now, decide.UpdateFull, p.w.list())
	}
}

// awake has something happen once the planner is not paused.
func (p *modelPlanner) awake(do func()) {
	life := p.life
	if p.w.now < p.paused {
		p.w.after(p.paused-p.w.now, func() {
			if p.life == life && !p.dead {
				do()
			}
		})
		return
	}
	if !p.dead {
		do()
	}
}

func (p *modelPlanner) hear(conn int, m Message) {
	p.awake(func() {
		if src, ok := p.from[conn]; ok {
			p.p.Take(p.w.now, src, m)
		}
	})
}

// connect joins a forwarder, and tries again as long as it cannot.
func (p *modelPlanner) connect(f *modelForwarder) {
	if p.dead || p.w.now < p.paused {
		p.w.after(100*time.Millisecond, func() { p.connect(f) })
		return
	}
	p.w.conns++
	conn := p.w.conns
	src := p.p.Join(p.w.now, fmt.Sprint("f", f.i))
	p.from[conn], p.to[src], p.who[conn] = src, conn, f
	f.conn[p.n], f.tail[p.n] = conn, p.w.now
	f.f.Up(p.w.now, p.n)
}

// cut ends a connection: both sides hear of it.
func (p *modelPlanner) cut(f *modelForwarder) {
	conn := f.conn[p.n]
	if conn == 0 {
		return
	}
	f.conn[p.n] = 0
	src := p.from[conn]
	delete(p.from, conn)
	delete(p.to, src)
	delete(p.who, conn)
	p.awake(func() { p.p.Leave(p.w.now, src) })
	f.f.Broke(p.w.now, p.n)
	p.w.after(p.w.way()+50*time.Millisecond, func() { p.connect(f) })
}

func (p *modelPlanner) kill() {
	p.dead = true
	for _, f := range p.w.fs {
		p.cut(f)
	}
}

type planSide struct {
	*modelPlanner
	life int
}

func (p planSide) Tell(to Source, m Message) {
	conn, ok := p.to[to]
	if !ok {
		return
	}
	f := p.who[conn]
	p.tail[conn] = max(p.tail[conn], p.w.now+p.w.way())
	p.w.after(p.tail[conn]-p.w.now, func() {
		if f.conn[p.n] == conn {
			f.f.Answer(p.w.now, p.n, m)
			if p.w.g.IntN(20) == 0 {
				f.f.Answer(p.w.now, p.n, m) // twice
			}
		}
	})
}

func (p planSide) SetTimer(t Timer, at time.Duration) {
	p.w.after(at-p.w.now, func() {
		if p.modelPlanner.life == p.life {
			p.awake(func() { p.p.Timer(p.w.now, t) })
		}
	})
}
func (p planSide) WatchEndpoints(bool) {}
func (p planSide) Log(string)          {}
func (p planSide) Reset() {
	p.w.after(0, func() {
		for _, f := range p.w.fs {
			p.cut(f)
		}
	})
}

const modelServers = 8

func (w *model) list() (list []decide.Server) {
	for id := decide.ServerID(1); id <= modelServers; id++ {
		s := decide.Server{ID: id, State: decide.Ready, Capacity: 1, StartedAt: w.since[id]}
		if _, gone := w.gone[id]; gone {
			s.State = decide.Draining
		}
		list = append(list, s)
	}
	return list
}

// build makes the planners and the forwarders, and connects them.
func (w *model) build(forwarders, planners int) {
	for n := range planners {
		p := &modelPlanner{w: w, n: n}
		w.ps = append(w.ps, p)
		p.start()
	}
	for i := range forwarders {
		f := &modelForwarder{
			w: w, i: i, reqs: make(map[decide.RequestID]*modelRequest), conn: make([]int, planners), tail: make([]time.Duration, planners),
		}
		w.fs = append(w.fs, f)
		set := modelSettings()
		set.NodeIndex, set.NodeCount = i, forwarders
		f.b = decide.New(set, uint64(i), w.now, f)
		f.b.UpdateEndpoints(w.now, decide.UpdateCached, w.list())
		f.f = NewForwarder(Defaults, planners, uint64(i), side{f})
		for _, p := range w.ps {
			p.connect(f)
		}
	}
}

// tell tells all of the servers at once.
func (w *model) tell() {
	for _, f := range w.fs {
		f.b.UpdateEndpoints(w.now, decide.UpdateFull, w.list())
	}
	for _, p := range w.ps {
		p.awake(p.list)
	}
}

// TestTierModel plays random tiers: one answer a request and in time, no unsafe
// request that may run twice or is refused though it may have run, nothing to a
// server after its grace, and no attempt believed to be out once all is quiet.
func TestTierModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &model{
			t: t, g: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: 1000 * time.Second,
			gone: make(map[decide.ServerID]time.Duration), sent: make(map[decide.ServerID]int), since: make(map[decide.ServerID]time.Duration),
		}
		planners := rapid.IntRange(0, 3).Draw(t, "planners")
		w.build(rapid.IntRange(1, 3).Draw(t, "forwarders"), planners)
		steps := rapid.SliceOfN(rapid.IntRange(0, 99), 20, 150).Draw(t, "steps")
		for _, step := range steps {
			w.run(w.now + time.Duration(w.g.IntN(40))*time.Millisecond)
			f := w.fs[w.g.IntN(len(w.fs))]
			switch {
			case step < 80:
				for range 1 + step%8 {
					f.arrive(w.g.IntN(2))
				}
			case step < 84: // a server drains; forwarders and planners hear of it at different times
				id := decide.ServerID(1 + w.g.IntN(modelServers))
				if _, gone := w.gone[id]; !gone && len(w.gone) < modelServers-2 {
					w.gone[id] = w.now
					for _, f := range w.fs {
						w.after(time.Duration(w.g.Int64N(int64(grace))), func() { f.b.UpdateEndpoints(w.now, decide.UpdateFull, w.list()) })
					}
					for _, p := range w.ps {
						w.after(time.Duration(w.g.IntN(3000))*time.Millisecond, func() { p.awake(p.list) })
					}
				}
			case planners == 0:
			case step < 88:
				p := w.ps[w.g.IntN(planners)]
				if !p.dead {
					p.kill()
					w.after(time.Duration(w.g.IntN(3000))*time.Millisecond, p.start)
				}
			case step < 92:
				p := w.ps[w.g.IntN(planners)]
				p.paused = w.now + time.Duration(w.g.IntN(3000))*time.Millisecond
			default:
				w.ps[w.g.IntN(planners)].cut(f)
			}
		}
		w.run(w.now + 6*time.Second)
		for _, f := range w.fs {
			if len(f.reqs) > 0 || f.f.Open() > 0 {
				t.Fatalf("forwarder %d holds %d requests and %d turns when all is quiet", f.i, len(f.reqs), f.f.Open())
			}
		}
		for _, p := range w.ps {
			if !p.dead && p.p.Out() != 0 {
				t.Fatalf("planner %d believes that %d attempts are out when all is quiet", p.n, p.p.Out())
			}
		}
	})
}

// calmTier is a model of forwarders and planners that are all connected, with a
// steady load for a time.
func calmTier(t failer, forwarders, planners int) *model {
	w := &model{
		t: t, g: rand.New(rand.NewPCG(5, 1)), now: 1000 * time.Second, calm: true,
		gone: make(map[decide.ServerID]time.Duration), sent: make(map[decide.ServerID]int), since: make(map[decide.ServerID]time.Duration),
	}
	w.build(forwarders, planners)
	return w
}

// load has requests arrive at a rate over all forwarders, evenly.
func (w *model) load(rate int, span time.Duration) {
	for until := w.now + span; w.now < until; w.run(w.now + time.Second/time.Duration(rate)) {
		w.fs[w.g.IntN(len(w.fs))].arrive(0)
	}
}

// TestCalmTierGoesByPlans has the model's planners place nearly all that comes, once
// they have settled, for all that fails in it: the model is no proof if nothing is planned in it.
func TestCalmTierGoesByPlans(t *testing.T) {
	w := calmTier(t, 3, 2)
	w.load(200, 5*time.Second)
	w.planned, w.alone = 0, 0
	w.load(200, 2*time.Second)
	if share := float64(w.planned) / float64(w.planned+w.alone); share < 0.6 {
		t.Errorf("%.2f of the first attempts went by a plan", share)
	}
	out := 0
	for _, f := range w.fs {
		for _, r := range f.reqs {
			out += r.out
		}
	}
	for _, p := range w.ps { // some words are on their way
		if got := p.p.Out(); out == 0 || got < out/2 || got > 2*out+5 {
			t.Errorf("planner %d believes that %d attempts are out, and %d are", p.n, got, out)
		}
	}
	// The first planner dies: the second knows what all have out, and goes on.
	w.ps[0].kill()
	w.load(200, 100*time.Millisecond)
	w.planned, w.alone = 0, 0
	w.load(200, 3*time.Second)
	if share := float64(w.planned) / float64(w.planned+w.alone); share < 0.5 {
		t.Errorf("without the first planner %.2f of the first attempts went by a plan", share)
	}
}

// TestColdServerIsSparedByAllTogether restarts a server under load: forwarders and
// planners together send it no more than its budget.
func TestColdServerIsSparedByAllTogether(t *testing.T) {
	for planners := range 3 {
		w := calmTier(t, 3, planners)
		w.load(400, 5*time.Second)
		w.sent = make(map[decide.ServerID]int)
		w.load(400, 2*time.Second)
		usual := 0
		for id := range decide.ServerID(modelServers) {
			usual += w.sent[id+1]
		}
		usual /= modelServers
		w.since[1] = w.now
		w.tell()
		w.sent = make(map[decide.ServerID]int)
		w.load(400, 2*time.Second)
		set := modelSettings()
		part := set.SlowStartShare + (1-set.SlowStartShare)*0.5*2/set.SlowStartWindow.Seconds() // of its capacity, on average
		if most := int(part*set.OverloadMultiple*float64(usual)) + 5; w.sent[1] > most || w.sent[1] == 0 {
			t.Errorf("with %d planners a cold server was sent %d in 2 s, others %d; %d are the most", planners, w.sent[1], usual, most)
		}
	}
}
