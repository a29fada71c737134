package decide

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	tickEvery = 100 * time.Millisecond // of housekeeping: short against aims, long against its cost
	classGain = 1.0 / 64               // smooths what is learned about a class over ~64 answers
	baseGain  = 1.0 / 4000             // lets the least latency recover from a chance low, over minutes
	// ageSlack is what clocks and the network may shift. A wait passes for the usual one from
	// ageVotes on; each sight adds ageFirst, any other takes one: there may be three for each.
	ageSlack = 25 * time.Millisecond
	ageVotes = 16
	ageFirst = 4
)

// attempt is one send of a request.
type attempt struct {
	srv    *server
	sentAt time.Duration
	at     time.Duration // when it began to go out, or was sent and has yet to begin
	expect time.Duration // the latency expected when it was sent
	out    bool          // no outcome yet
	mayRun bool          // out, or ended without proof that it never ran
}

// request is what the node holds for one client request.
type request struct {
	Request
	aimAt    time.Duration // an answer after this is worth nothing, or little
	attempts []attempt
	copyAt   time.Duration
	ended    bool // the final answer is out
}

// pending says whether an attempt is out.
func (r *request) pending() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.out })
}

// classStat is what the node has learned about a class.
type classStat struct {
	latency float64 // mean, ns
	base    float64 // the least mean seen: what an unloaded fleet takes
	hint    float64 // mean, ns
	answers int
	span    time.Duration // how long clients mostly wait for a try
	votes   int           // how often that was seen, less how often not
}

// Balancer decides for one node.
type Balancer struct {
	set  Settings
	seed uint64
	out  Effects
	rng  *rand.Rand
	now  time.Duration
	reqs map[RequestID]*request

	byID              map[ServerID]*server
	members                 // the list and what follows from it
	okMeter, badMeter meter // what the node's calls came to, a second
	classes           []classStat
	admission
	budget float64 // retry budget, in attempts
	sent   meter   // attempts per second

	// looked counts the servers that any step has looked at: the work that could grow with their number.
	looked uint64
}

// ServersExamined is how many servers have been looked at so far, over all events. What one event costs by it
// must not grow with the servers that are listed, but for ticks, sweeps and whole lists.
func (b *Balancer) ServersExamined() uint64 { return b.looked }

// New starts a node that knows no server yet.
func New(set Settings, seed uint64, now time.Duration, out Effects) *Balancer {
	b := &Balancer{
		set: set, seed: seed, out: out, rng: rand.New(rand.NewPCG(seed, 0)), now: now,
		reqs: make(map[RequestID]*request), byID: make(map[ServerID]*server),
		classes: make([]classStat, len(set.Classes)), budget: retryBurst,
		admission: admission{crowd: crowdFull, mix: make([]float64, len(set.Classes)+1), rank: make([]int, len(set.Classes)+1), keys: make(map[uint64]int)},
	}
	b.hot = make(map[uint64][]*server)
	for i := range b.classes {
		b.classes[i] = classStat{latency: float64(set.Classes[i].LatencyObjective) / 4, base: float64(set.Classes[i].LatencyObjective) / 2, hint: float64(set.Classes[i].LatencyObjective) / 8}
	}
	if set.PollDiscovery { // else the list is as new as can be
		b.provenBy = now + askMost + listLate
	}
	b.out.SetTimer(tokenTick, now+tickEvery)
	b.out.SetTimer(tokenSweep, now+sweepEvery)
	slot := (float64(set.NodeIndex) + b.rng.Float64()) * min(float64(askStep), float64(askMost)/float64(max(1, set.NodeCount)))
	b.out.SetTimer(tokenAsk, now+time.Duration(min(slot, askShare*float64(set.PollPeriod))))
	return b
}

// SetFleetPosition tells which of so many nodes this one is, and how much of its part of their bounds is withheld.
func (b *Balancer) SetFleetPosition(self, nodes int, withheld float64) {
	b.set.NodeIndex, b.set.NodeCount, b.set.WithheldShare = self, nodes, withheld
}

// Timer tokens: the low four bits say what for, the rest for which request.
const (
	tokenTick uint64 = iota
	tokenSweep
	tokenDue
	tokenAsk
	tokenCopy
)

// Arrive takes a client's request, which is owed one final answer.
func (b *Balancer) Arrive(now time.Duration, q Request) {
	b.now = max(b.now, now)
	if b.reqs[q.ID] != nil {
		return // ids are never repeated; a second one must not be answered twice
	}
	if q.Class < 0 || q.Class >= len(b.set.Classes) {
		b.out.Reject(q.ID, 0) // nothing ran, and nothing is known of such work
		return
	}
	r := &request{Request: q, aimAt: q.Deadline}
	if !q.Streaming {
		b.setAim(r, b.age(r))
	}
	b.reqs[q.ID] = r
	b.budget = min(retryBurst, b.budget+retryShare)
	if c := &b.classes[q.Class]; q.WorkHint > 0 {
		c.hint += (float64(q.WorkHint) - c.hint) * classGain
	}
	if shed := b.now < r.aimAt && b.shed(r) && q.PlannedServer == 0; shed || b.hopeless(q.Deadline-b.now) {
		b.finish(r)
		return
	}
	b.out.SetTimer(uint64(q.ID)<<4|tokenDue, q.Deadline)
	b.step(r)
}

// SetDeadline moves a request's deadline: its node ends by then, or the last byte of one that streams has
// gone and its client's clock starts. It gives the time that an attempt has from now on.
func (b *Balancer) SetDeadline(now time.Duration, id RequestID, due time.Duration) time.Duration {
	b.now = max(b.now, now)
	r := b.reqs[id]
	if r == nil {
		return 0
	}
	if r.Deadline = due; r.Streaming && len(r.attempts) > 0 {
		r.attempts[0].sentAt = b.now
		b.setAim(r, 0)
	}
	r.aimAt = min(r.aimAt, due)
	b.out.SetTimer(uint64(id)<<4|tokenDue, due)
	return r.aimAt - b.now
}

// AttemptFinished takes the outcome of an attempt.
func (b *Balancer) AttemptFinished(now time.Duration, o Outcome) {
	b.now = max(b.now, now)
	r := b.reqs[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].out {
		return
	}
	a := &r.attempts[o.Attempt]
	a.out, a.mayRun = false, !o.Result.NeverRan()
	a.srv.out--
	b.poolOf(a.srv).out--
	b.observe(r, a, o)
	if o.Final {
		b.end(r, o.Attempt)
	}
	if !r.ended && !r.pending() {
		b.step(r)
	}
	b.release(r)
}

// ClientDisconnected says that the client left: nothing more is owed.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) {
	b.now = max(b.now, now)
	if r := b.reqs[id]; r != nil {
		b.end(r, -1)
	}
}

// TimerFired says that a timer set through Effects.Wake has come due.
func (b *Balancer) TimerFired(now time.Duration, tok uint64) {
	b.now = max(b.now, now)
	switch tok & 15 {
	case tokenTick:
		b.ticked(b.now)
		b.reweigh()
		b.adjust()
		b.out.SetTimer(tokenTick, b.now+tickEvery)
	case tokenSweep:
		b.sweep()
		b.out.SetTimer(tokenSweep, b.now+sweepEvery)
	case tokenAsk:
		if b.set.PollDiscovery && !b.subscribed && !b.asking {
			b.asking = true
			b.out.WatchEndpoints(true)
		}
	case tokenCopy:
		if r := b.reqs[RequestID(tok>>4)]; r != nil && b.now < r.copyAt+copyLate && r.pending() && b.crowd < crowdQuick && b.budget >= 1 {
			b.send(r, b.pick(r))
		}
	case tokenDue:
		if r := b.reqs[RequestID(tok>>4)]; r != nil && !r.ended && (!r.Streaming || b.now >= r.Deadline) {
			b.finish(r)
		}
	}
}

// setAim sets until when an answer has its worth, for a request of some age.
func (b *Balancer) setAim(r *request, age time.Duration) {
	cls := &b.set.Classes[r.Class]
	r.aimAt = r.Deadline
	if cls.LatePriorityWeight == 0 && cls.LatencyObjective > 0 {
		r.aimAt = min(r.Deadline, b.now-age+cls.LatencyObjective+time.Duration(cls.ObjectiveWorkFactor*float64(r.WorkHint)))
		if r.aimAt < r.Deadline && float64(r.aimAt-b.now) < b.classes[r.Class].latency {
			r.aimAt = b.now // too old a try to be answered in time
		}
	}
}

// release forgets a request once it is answered and nothing is out for it.
func (b *Balancer) release(r *request) {
	if r.ended && !r.pending() && b.reqs[r.ID] == r {
		delete(b.reqs, r.ID)
	}
}

// expected is the latency to expect of a request at a server of normal speed.
func (b *Balancer) expected(r *request) float64 {
	c := &b.classes[r.Class]
	if r.WorkHint > 0 && c.hint > 0 {
		// Half of the latency follows the request's size: hints are rough.
		return c.latency * (0.5 + 0.5*float64(r.WorkHint)/c.hint)
	}
	return c.latency
}

// learn takes a latency (or, where late, the time waited in vain) into what is
// known of the class and the server.
func (b *Balancer) learn(r *request, a *attempt, took float64, late bool) {
	c := &b.classes[r.Class]
	ratio := min(took/float64(max(a.expect, time.Millisecond)), maxStretch)
	if b.now < b.provenBy && b.warmth(a.srv) == 1 {
		b.prove(r, a.srv, took)
	}
	if late {
		ratio = max(ratio, 1)
	} else {
		gain := max(classGain, 1/float64(c.answers+4))
		c.answers++
		// Without the bound a node started under overload came to expect 15 s.
		longest := float64(cmp.Or(b.set.Classes[r.Class].LatencyObjective, time.Hour))
		c.latency = min(c.latency*(1+gain*(min(ratio, 4)-1)), longest)
		if c.answers > 20 {
			c.base = min(c.base+max(c.latency-c.base, 0)*baseGain, c.latency)
		}
	}
	a.srv.saw(ratio, b.now)
}

// meter measures a rate per second with an exponential window.
type meter struct {
	rate float64
	last time.Duration
}

const meterSpan = 3 * time.Second

func (m *meter) add(now time.Duration, n float64) {
	m.rate, m.last = m.at(now)+n/meterSpan.Seconds(), now
}

func (m *meter) at(now time.Duration) float64 {
	return m.rate * math.Exp(-float64(now-m.last)/float64(meterSpan))
}

// age is how long ago the client first tried, as far as its patience tells: one
// that has tried before stops waiting at its deadline over all tries, not after
// the time that clients mostly give a try. Nodes that shed spare such tries.
func (b *Balancer) age(r *request) time.Duration {
	c := &b.classes[r.Class]
	left := r.Deadline - b.now
	switch d := left - c.span; {
	case max(d, -d) <= ageSlack:
		c.votes = min(c.votes+ageFirst, ageVotes*4)
	case c.votes <= 0:
		c.span, c.votes = left, 1
	default:
		if c.votes--; c.votes >= ageVotes && b.window > 0 {
			return max(0, b.set.Classes[r.Class].Deadline-left)
		}
	}
	return 0
}
