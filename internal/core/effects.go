package core

import (
	"context"
	"time"

	"jasperpin/decide"
)

// effects implements decide.Effects for a pool: it carries out the Balancer's decisions. The Balancer calls
// each method with Pool.mu held.
type effects struct{ *Pool }

// Reject ends a request that never ran, or that may run again without harm. The rejection has a Retry-After
// if retryAfter is above 0. A request with a stored key that may have run fails instead: a rejection releases its key, and
// the Balancer knows only for how long servers drop repeats, not for how long the key is stored.
func (e effects) Reject(id decide.RequestID, retryAfter time.Duration) {
	if r := e.requests[id]; r != nil && r.hasStoredKey() && r.mayHaveRun() {
		e.Fail(id)
		return
	}
	e.explain(id, logRejected)
	e.settle(id, Final{Status: Rejected, RetryAfter: retryAfter})
}

// Fail ends a request that may have run.
func (e effects) Fail(id decide.RequestID) {
	e.explain(id, logFailed)
	e.settle(id, Final{Status: Failed})
}

// Send starts an attempt. The attempt ends at the request's deadline, or after timeout if timeout is above 0
// and ends earlier.
func (e effects) Send(id decide.RequestID, to decide.ServerID, timeout time.Duration) {
	r := e.requests[id]
	if r == nil {
		return
	}
	wait := r.deadline - e.clockTime(time.Now())
	if timeout != 0 {
		wait = min(wait, timeout)
	}
	now := time.Now()
	attempt := &attempt{
		pool:      e.Pool,
		number:    len(r.attempts),
		request:   r,
		server:    e.serversByID[to],
		sentAt:    now,
		deadlines: AttemptDeadlines{ClientDeadline: now.Add(wait)},
	}
	if attempt.server != nil {
		attempt.serverEpoch = attempt.server.epoch.Load()
	}
	attempt.ctx, attempt.cancel = context.WithCancelCause(context.Background())
	cancel := attempt.cancel // the runtime may keep a stopped timer, which must not keep the request and its body
	attempt.timer = time.AfterFunc(max(wait, 0), func() { cancel(ErrTimedOut) })
	r.attempts = append(r.attempts, attempt)
	r.outstanding++
	if e.settings.Placer != nil {
		e.settings.Placer.AttemptSent(id, attempt.number, to)
	}
	e.afterUnlock(func() {
		if attempt.server == nil || wait <= 0 {
			e.finishAttempt(attempt, decide.Abandoned, nil)
			return
		}
		go e.runAttempt(attempt)
	})
}

// Cancel cancels the attempt with a number, counted from 0.
func (e effects) Cancel(id decide.RequestID, number int) {
	if r := e.requests[id]; r != nil && number >= 0 && number < len(r.attempts) {
		e.afterUnlock(func() { r.attempts[number].cancel(ErrCancelled) })
	}
}

// SetTimer calls the Balancer's TimerFired with token at a time on the Balancer's clock.
func (e effects) SetTimer(token uint64, at time.Duration) {
	time.AfterFunc(at-e.clockTime(time.Now()), func() {
		late := e.clockTime(time.Now()) - at
		e.handle(eventTimer, func(now time.Duration) {
			if e.closed { // each timer sets the next one: without this check they would never end
				return
			}
			e.noteTimerDelay(late)
			e.balancer.TimerFired(now, token)
		})
	})
}

// WatchEndpoints starts a watch on discovery. A watch ends only when it fails: a call with on false does
// nothing.
func (e effects) WatchEndpoints(on bool) {
	if on && e.settings.WatchEndpoints != nil {
		e.settings.WatchEndpoints()
	}
}

// Log logs a decision that concerns no single request.
func (e effects) Log(text string) { e.afterUnlock(func() { e.settings.Log.Info(text) }) }
