package core

import (
	"context"
	"time"

	"jasperpin/decide"
)

// attempt is one send of a request to a server. It is the AttemptGate of whoever carries it out.
type attempt struct {
	pool        *Pool
	number      int // among the request's, from 0
	request     *OpenRequest
	server      *server // nil where it was removed before the attempt was sent
	serverEpoch uint64  // the server's when it was chosen
	sentAt      time.Time
	ctx         context.Context
	cancel      context.CancelCauseFunc
	timer       *time.Timer // cancels it at its own timeout

	// deadlines hold the attempt's own timeout as ClientDeadline from the start. mayBegin lowers that and
	// sets WriteBy; until Begin has returned nobody else reads them.
	deadlines AttemptDeadlines

	// What follows is guarded by the pool's lock.
	begun           bool // its first byte may be written from now on
	begunAt         time.Time
	withheld        withheldReason // empty where it was not withheld
	unwanted        bool           // not begun, and nobody waits for its answer: it is not to begin
	ended           bool           // its outcome has been reported
	endedMayHaveRun bool           // it has ended, and may have run
	result          decide.Result  // once it has ended
	duration        time.Duration  // until it ended
}

// mayHaveRun reports whether an attempt is in flight that has begun, or has ended with no proof that it
// never ran.
func (a *attempt) mayHaveRun() bool { return a.endedMayHaveRun || a.begun && !a.ended }

// serverUnchanged reports whether an attempt's server still is as it was when it was chosen.
func (a *attempt) serverUnchanged() bool { return a.server.epoch.Load() == a.serverEpoch }

// runAttempt carries one attempt out, in a goroutine of its own.
func (p *Pool) runAttempt(a *attempt) {
	p.mu.Lock()
	addr, settled := a.server.Addr, a.request.settled.Load()
	p.mu.Unlock()
	result, answer := decide.Abandoned, (*Answer)(nil)
	if !settled {
		result, answer = a.server.upstream.Send(a.ctx, addr, &a.request.Message, a)
	}
	p.finishAttempt(a, result, answer)
}

// finishAttempt reports an attempt's outcome to the Balancer. The first one that is served settles its
// request, and its answer goes to the client.
func (p *Pool) finishAttempt(a *attempt, result decide.Result, answer *Answer) {
	p.handle(eventOutcome, func(now time.Duration) {
		r := a.request
		if a.ended {
			p.afterUnlock(answer.drop)
			return
		}
		a.ended = true
		r.outstanding--
		if (r.clientDisconnected || a.unwanted) && !a.begun {
			result = decide.Abandoned // the client's leaving says nothing of the server
		}
		a.endedMayHaveRun, a.result, a.duration = !result.NeverRan(), result, time.Since(a.sentAt)
		if result == decide.OK && !r.settled.Load() {
			r.settled.Store(true)
			r.final <- Final{Status: Served, Answer: answer}
			p.cancelUnbegun(r)
		} else {
			p.afterUnlock(answer.drop)
		}
		if p.settings.Placer != nil { // ahead of the Balancer, which may send the next attempt or end all
			p.settings.Placer.AttemptEnded(r.id, a.number, result)
		}
		p.balancer.AttemptFinished(now, decide.Outcome{ID: r.id, Attempt: a.number, Result: result, Final: r.settled.Load()})
		p.release(r)
	})
	a.cancel(nil)
	a.timer.Stop()
}
