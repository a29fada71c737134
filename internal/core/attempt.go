package core

import (
	"context"
	"slices"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/invariant"
)

// attempt is one send of a request to a server.
type attempt struct {
	pool     *Pool
	n        int
	req      *Exchange
	srv      *server
	stay     uint64        // the server's when it was chosen
	begun    bool          // its first byte may be written from now on
	begunAt  time.Time     // when that was decided
	withheld string        // why it was not; nothing where it was
	idle     bool          // nobody waits for what it would bring: it is not to begin
	mayRun   bool          // it has ended, and may have run
	result   decide.Result // once it has ended
	sentAt   time.Time
	took     time.Duration    // until its outcome
	start    AttemptDeadlines // GiveUpAt from the beginning on, the rest once it has begun
	ctx      context.Context
	giveUp   context.CancelCauseFunc
	timer    *time.Timer
	ended    bool // its outcome has been told
}

// end tells the module an attempt's outcome. The first that is served settles
// its request and goes to the client.
func (p *Pool) end(a *attempt, result decide.Result, ans *Answer) {
	p.do(eventOutcome, func(now time.Duration) {
		r := a.req
		if a.ended {
			p.later(ans.drop)
			return
		}
		a.ended = true
		r.out--
		if (r.left || a.idle) && !a.begun {
			result = decide.Abandoned // its client's going says nothing of the server
		}
		a.mayRun, a.result, a.took = !result.NeverRan(), result, time.Since(a.sentAt)
		if result == decide.OK && !r.settled.Load() {
			r.settled.Store(true)
			r.final <- Final{Status: Served, Answer: ans}
			p.withdraw(r)
		} else {
			p.later(ans.drop)
		}
		if p.set.Placer != nil { // before the module may send the next, or end all
			p.set.Placer.AttemptEnded(r.id, a.n, result)
		}
		p.b.AttemptFinished(now, decide.Outcome{ID: r.id, Attempt: a.n, Result: result, Final: r.settled.Load()})
		p.release(r)
	})
	a.giveUp(nil)
	a.timer.Stop()
}

func (p effects) Send(id decide.RequestID, to decide.ServerID, timeout time.Duration) {
	r := p.reqs[id]
	if r == nil {
		return
	}
	wait := r.due - p.since(time.Now())
	if timeout != 0 {
		wait = min(wait, timeout)
	}
	now := time.Now()
	a := &attempt{pool: p.Pool, n: len(r.attempts), req: r, srv: p.byID[to], sentAt: now, start: AttemptDeadlines{ClientDeadline: now.Add(wait)}}
	if a.srv != nil {
		a.stay = a.srv.stay.Load()
	}
	a.ctx, a.giveUp = context.WithCancelCause(context.Background())
	a.timer = time.AfterFunc(max(wait, 0), func() { a.giveUp(ErrTimedOut) })
	r.attempts = append(r.attempts, a)
	r.out++
	if p.set.Placer != nil {
		p.set.Placer.AttemptSent(id, a.n, to)
	}
	p.later(func() {
		if a.srv == nil || wait <= 0 {
			p.end(a, decide.Abandoned, nil)
			return
		}
		go p.attempt(a)
	})
}

// attempt has one attempt carried out.
func (p *Pool) attempt(a *attempt) {
	p.mu.Lock()
	addr, over := a.srv.Addr, a.req.settled.Load()
	p.mu.Unlock()
	result, ans := decide.Abandoned, (*Answer)(nil)
	if !over {
		result, ans = a.srv.up.Send(a.ctx, addr, &a.req.Message, a)
	}
	p.end(a, result, ans)
}

// Begin is the one place that decides whether an attempt may be written. What was decided when
// it was sent may have changed in the wait for its connection.
func (a *attempt) Begin() (AttemptDeadlines, bool) {
	client := ClientWaiting
	if a.req.Presence != nil {
		client = a.req.Presence()
	}
	p := a.pool
	p.do(eventBegin, func(now time.Duration) {
		switch client {
		case ClientGone:
			p.gone(now, a.req)
		case ClientUnknown:
			p.dismiss(now, a.req)
		}
		a.withheld = p.mayBegin(now, a)
		a.begun = a.withheld == ""
		a.begunAt = time.Now()
	})
	if !a.begun {
		p.set.Log.Debug("an attempt is withheld", "request", a.req.ID, "attempt", a.n, "why", a.withheld)
	}
	return a.start, a.begun
}

// Why an attempt is withheld.
const (
	withheldEnded   = "its request has ended, or its client has left"
	withheldGivenUp = "it was called off, or its time is over"
	withheldAbsent  = "its server drains, is gone or has begun anew"
	withheldUnsafe  = "another attempt may have run"
	withheldLate    = "servers may have forgotten an earlier attempt"
)

// mayBegin says why an attempt may not be written now, or nothing. Called under the lock.
func (p *Pool) mayBegin(now time.Duration, a *attempt) (why string) {
	r := a.req
	switch {
	case r.settled.Load():
		return withheldEnded
	case a.ctx.Err() != nil:
		return withheldGivenUp
	case !a.fit():
		return withheldAbsent
	case !p.mayRepeat(a):
		p.set.Violations.Broken(invariant.RepeatedUnsafe, r.ID, "attempt", a.n)
		return withheldUnsafe
	}
	if by := p.b.AttemptConnected(now, r.id, a.n); by > 0 {
		if by <= now {
			return withheldLate
		}
		a.start.WriteBy = p.moment(by)
	}
	a.start.ClientDeadline = p.patience(a).Add(-toldMargin)
	if !a.start.ClientDeadline.After(time.Now()) {
		return withheldGivenUp
	}
	return ""
}

// toldMargin is what a server is told less than its client has left, for what clocks and the network
// may shift: the rest of what is allowed is for a node that is held up as it writes.
const toldMargin = 5 * time.Millisecond

// patience is until when an attempt's client waits. The clock of one that still sends its request
// starts with the last byte: no more than it has from then on may be told ahead of it.
func (p *Pool) patience(a *attempt) time.Time {
	until := a.start.ClientDeadline
	if due := p.moment(a.req.due); due.Before(until) {
		until = due
	}
	if a.req.Rest != nil {
		if wait := time.Now().Add(a.req.Timeout); wait.Before(until) {
			until = wait
		}
	}
	return until
}

// mayRepeat looks once more at what the module has decided by its own books: behind an attempt
// that may have run, or is out, none of a request that must not run twice may begin.
func (p *Pool) mayRepeat(a *attempt) bool {
	if p.set.Balancer.Classes[a.req.Class].Idempotency != decide.NotIdempotent {
		return true
	}
	return !slices.ContainsFunc(a.req.attempts, func(other *attempt) bool {
		return other != a && other.mayHaveRun()
	})
}

// mayHaveRun says whether an attempt is out that has begun, or has ended with no proof that it never ran.
func (a *attempt) mayHaveRun() bool { return a.mayRun || a.begun && !a.ended }

// fit says whether an attempt's server still is as it was when it was chosen.
func (a *attempt) fit() bool { return a.srv.stay.Load() == a.stay }

// StillValid says whether what Begin has allowed still holds. It takes no lock, as whoever asks is about to
// write: a wait for one would make the answer old. The clock is looked at last.
func (a *attempt) StillValid() bool {
	if a.req.settled.Load() || a.ctx.Err() != nil || !a.fit() {
		return false
	}
	now := time.Now()
	if by := a.start.WriteBy; !by.IsZero() && !now.Before(by) {
		return false
	}
	return a.req.Rest != nil || now.Before(a.start.ClientDeadline)
}

// Wrote takes note that an attempt's last byte has gone. The clocks of a request that
// streams start then.
func (a *attempt) Wrote(told time.Duration) {
	p := a.pool
	if p.set.Wrote != nil {
		p.set.Wrote(a.req.Class)
	}
	p.verify(a, told)
	if a.req.Rest == nil {
		return
	}
	p.do(eventWritten, func(now time.Duration) {
		r := a.req
		r.due = p.within(now + r.Timeout)
		if left := p.b.SetDeadline(now, r.id, r.due); left > 0 {
			a.timer.Reset(left)
		}
	})
}

// verify counts the promises that an attempt has broken by the time its last byte has gone.
func (p *Pool) verify(a *attempt, told time.Duration) {
	now := time.Now()
	if by := a.start.WriteBy; !by.IsZero() && now.After(by) {
		p.set.Violations.Broken(invariant.RepeatedLate, a.req.ID, "attempt", a.n, "late", now.Sub(by))
	}
	if late := now.Sub(a.start.ClientDeadline) - toldMargin; a.req.Rest == nil && late > invariant.WriteSlack {
		p.set.Violations.Broken(invariant.WrittenLate, a.req.ID, "attempt", a.n, "late", late)
	}
	if left := a.start.ClientDeadline.Sub(now); a.req.Rest == nil && told > left+invariant.DeadlineSlack {
		p.set.Violations.Broken(invariant.DeadlineTold, a.req.ID, "attempt", a.n, "told", told, "left", left)
	}
	p.mu.Lock()
	left, leftAt := a.req.left, a.req.leftAt
	p.mu.Unlock()
	if left && a.begunAt.Sub(leftAt) > invariant.LeaveSlack {
		p.set.Violations.Broken(invariant.BegunForNobody, a.req.ID, "attempt", a.n, "after", a.begunAt.Sub(leftAt))
	}
}

func (p effects) Cancel(id decide.RequestID, n int) {
	if r := p.reqs[id]; r != nil && n >= 0 && n < len(r.attempts) {
		p.later(func() { r.attempts[n].giveUp(ErrCancelled) })
	}
}
