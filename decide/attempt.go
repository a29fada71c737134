package decide

import (
	"cmp"
	"time"
)

const (
	// retryShare of the first tries may be repeated, retryBurst at once: in a
	// storm retries stay a small part of the load.
	retryShare   = 0.15
	retryBurst   = 20.0
	windowMargin = 0.9 // keeps repeats of guarded requests clear of the window's end
	// heldUp is the least that is kept clear: for so long, beside the 50 ms that each limit is longer
	// by, a node may be held up between its look at the clock and its write.
	heldUp = 100 * time.Millisecond
	// copyAfter latencies, and two thirds of the time to its aim, an attempt must have
	// been out for a second copy: it is then lost rather than slow.
	copyAfter    = 4
	copyLate     = 10 * time.Millisecond  // a node that comes to it later is behind with answers, too
	connectRetry = 500 * time.Millisecond // doubled thrice: so long one without a connection is passed over
)

// first returns the attempt that began first of those that may have run, or nil.
func (r *request) first() (f *attempt) {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.mayRun && (f == nil || a.at < f.at) {
			f = a
		}
	}
	return f
}

// maySend is the effect rule: whether the attempts so far allow another one at this server.
func (b *Balancer) maySend(r *request, s *server) bool {
	if len(r.attempts) >= b.set.MaxAttempts || r.Streaming && len(r.attempts) > 0 || r.pending() && !b.set.Hedging {
		return false
	}
	c := &b.set.Classes[r.Class]
	f := r.first()
	if c.Idempotency == Idempotent || f == nil {
		return true
	}
	near := s.Zone == f.srv.Zone
	return c.Idempotency == IdempotentWithKey && b.now <= c.dropsUntil(f) &&
		(c.DedupScope == DedupAll || near && (c.DedupScope == DedupZone || c.DedupScope == DedupCell && s.Cell == f.srv.Cell))
}

// dropsUntil is how long servers surely drop repeats of a guarded attempt.
func (c *Class) dropsUntil(f *attempt) time.Duration {
	return f.at + min(time.Duration(windowMargin*float64(c.DedupWindow)), c.DedupWindow-heldUp)
}

// AttemptConnected takes note that an attempt has its connection, and says by when its last byte must go out, 0
// for no bound: whichever of a guarded request's attempts waits, its server must still drop repeats
// of the others. What is late already may not begin.
func (b *Balancer) AttemptConnected(now time.Duration, id RequestID, n int) time.Duration {
	b.now = max(b.now, now)
	r := b.reqs[id]
	r.attempts[n].at = b.now
	if c := &b.set.Classes[r.Class]; c.Idempotency == IdempotentWithKey && !r.Streaming {
		return c.dropsUntil(r.first())
	}
	return 0
}

// mayRefuse says whether a refusal is truthful: trying again does no harm.
func (b *Balancer) mayRefuse(r *request) bool {
	c, f := &b.set.Classes[r.Class], r.first()
	return c.Idempotency == Idempotent || f == nil || c.Idempotency == IdempotentWithKey && c.DedupScope == DedupAll && b.now <= c.dropsUntil(f)
}

// step moves a request with nothing outstanding on: another attempt, or its end.
func (b *Balancer) step(r *request) {
	if (r.first() == nil || b.now < r.aimAt && b.budget >= 1) && b.send(r, b.pick(r)) {
		return
	}
	if len(r.attempts) > 0 && r.first() == nil {
		b.feel(r, Overloaded, 0, true) // turned away wherever it went
	}
	b.finish(r)
}

// send is the only place that sends, to the server picked if any; it checks the rules once more.
func (b *Balancer) send(r *request, s *server) bool {
	if s == nil || r.ended || s.State != Ready || b.now >= r.aimAt || !b.maySend(r, s) {
		return false
	}
	if r.first() != nil { // where nothing ran, trying again costs no work
		b.budget--
	}
	expect := time.Duration(b.expected(r))
	s.tokens -= float64(expect) / max(b.classes[r.Class].latency, 1) // counts while it is cold
	b.sent.add(b.now, 1)
	s.out++
	b.poolOf(s).out++
	r.attempts = append(r.attempts, attempt{srv: s, sentAt: b.now, at: b.now, expect: expect, out: true, mayRun: true})
	b.out.Send(r.ID, s.ID, r.aimAt-b.now)
	r.copyAt = b.now + max((r.aimAt-b.now)*2/3, copyAfter*expect)
	b.out.SetTimer(uint64(r.ID)<<4|tokenCopy, r.copyAt)
	return true
}

// finish is the only place that gives a final answer.
func (b *Balancer) finish(r *request) {
	if b.mayRefuse(r) {
		// Until what is out now is answered, or, its aim past, for as long as it will.
		wait := time.Duration(b.classes[r.Class].latency)
		if b.now >= r.aimAt {
			wait = b.set.MaxRetryAfter
		}
		b.out.Reject(r.ID, min(b.set.MaxRetryAfter, wait))
	} else {
		b.out.Fail(r.ID)
	}
	b.end(r, -1)
}

// end takes note that nothing more is owed, and calls off what is still out, but for one attempt.
func (b *Balancer) end(r *request, but int) {
	r.ended = true
	for i := range r.attempts {
		if b.set.CancelAttempts && i != but && r.attempts[i].out {
			b.out.Cancel(r.ID, i)
		}
	}
	b.release(r)
}

// observe books an outcome with outlier detection, the picker and shedding.
func (b *Balancer) observe(r *request, a *attempt, o Outcome) {
	s := a.srv
	took := b.now - a.sentAt
	b.learnDoubts(s)
	if o.Result == OK || o.Result == Failed || o.Result == Overloaded {
		s.sureAt = cmp.Or(s.sureAt, b.now+listLate)
		s.lastAnswer = b.now
	}
	if o.Result == Cancelled && r.ended && len(r.attempts) > 1 && took > copyAfter*a.expect {
		o.Result = TimedOut // its second copy was answered first
	}
	if o.Result == OK && s.Zone == b.set.Zone {
		b.local.answers.add(b.now, 1)
		b.silence = 0
	}
	alive := s.lastAnswer > a.sentAt
	if o.Result == OK || o.Result == TimedOut {
		b.learn(r, a, float64(took), o.Result == TimedOut)
		// A first time-out counts as load even with no other answer from the
		// server: a node among many seldom gets one, and would be blind.
		b.feel(r, o.Result, took, alive || s.run == 0)
	} else if o.Result == Overloaded {
		// A full server would look idle: it rests for as long as a call takes.
		// Only a request that finds no room elsewhere (step) tells of overload.
		s.restUntil = b.now + time.Duration(b.classes[r.Class].latency)
	} else if o.Result == ConnectFailed && b.now-s.lastAnswer > connectRetry { // not one among answers
		b.away(s, took)
		s.downUntil = b.now + time.Duration(float64(connectRetry<<min(s.run, 3))*(0.5+b.rng.Float64()))
	}
	// A full queue is the load's fault; own cancellations and moot attempts say nothing. A time-out
	// where others are answered, and no sooner than it should, is load too: it shows in the stretch.
	bad := o.Result == Failed || o.Result == TimedOut || o.Result == ConnectFailed || o.Result == ConnectionReset
	if (bad || o.Result == OK) && (o.Result != TimedOut || !alive || b.crowd < crowdQuick) {
		b.record(s, bad)
	}
}
