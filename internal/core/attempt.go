package core

import (
	"context"
	"time"

	"jasperpin/decide"
)

// attempt is the state of one attempt of a request at one server. It implements the AttemptGate that Server.Send
// receives.
type attempt struct {
	pool        *Pool
	number      int // index among the request's attempts, from 0
	request     *OpenRequest
	server      *server // nil if the server was removed before the attempt was sent
	serverEpoch uint64  // the server's epoch when it was chosen
	sentAt      time.Time
	ctx         context.Context
	cancel      context.CancelCauseFunc
	timer       *time.Timer // cancels the attempt at the attempt's own timeout

	// deadlines starts with the end of the attempt's own timeout as ClientDeadline. mayBegin lowers
	// ClientDeadline and sets WriteBy; no other goroutine reads deadlines until Begin has returned.
	deadlines AttemptDeadlines

	// The following fields are guarded by Pool.mu.
	begun           bool // the first byte of the attempt may be written
	begunAt         time.Time
	refusal         refusalReason // empty unless the attempt was refused
	unwanted        bool          // the attempt must not begin, as no client or duplicate request waits for the answer
	ended           bool          // the outcome has been reported
	endedMayHaveRun bool          // the attempt has ended and may have run
	result          decide.Result // valid once ended
	duration        time.Duration // time from sentAt to the end of the attempt; valid once ended
}

// mayHaveRun reports whether the server may have executed the attempt: it has begun and is in flight, or it
// ended without proof that it never ran.
func (a *attempt) mayHaveRun() bool { return a.endedMayHaveRun || a.begun && !a.ended }

// serverUnchanged reports whether the choice of the attempt's server is still valid; see server.epoch.
func (a *attempt) serverUnchanged() bool { return a.server.epoch.Load() == a.serverEpoch }

// runAttempt sends one attempt and reports its outcome. It runs in its own goroutine.
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

// finishAttempt reports an attempt's outcome to the Balancer. The first attempt with an answer settles its
// request, and that answer is sent to the client.
func (p *Pool) finishAttempt(attempt *attempt, result decide.Result, answer *Answer) {
	p.handle(eventOutcome, func(now time.Duration) {
		r := attempt.request
		if attempt.ended {
			p.afterUnlock(answer.drop)
			return
		}
		attempt.ended = true
		r.outstanding--
		if (r.clientDisconnected || attempt.unwanted) && !attempt.begun {
			result = decide.Abandoned // the client's disconnection is no evidence about the server
		}
		attempt.endedMayHaveRun, attempt.result, attempt.duration = !result.NeverRan(), result, time.Since(attempt.sentAt)
		if result == decide.OK && !r.settled.Load() {
			r.settled.Store(true)
			p.trackAnswer(r, answer)
			r.final <- Final{Status: Served, Answer: answer}
			p.cancelUnbegun(r)
		} else {
			p.afterUnlock(answer.drop)
		}
		if p.settings.Placer != nil { // the Placer is notified before the Balancer, which may send the next attempt or end the request
			p.settings.Placer.AttemptEnded(r.id, attempt.number, result)
		}
		p.balancer.AttemptFinished(now, decide.Outcome{ID: r.id, Attempt: attempt.number, Result: result, Final: r.settled.Load()})
		p.release(r)
	})
	attempt.cancel(nil)
	attempt.timer.Stop()
}
