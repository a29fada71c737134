package core

import (
	"math"
	"slices"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/invariant"
)

// deadlineMargin is subtracted from the client's remaining time to get the server's timeout: it covers
// differences between clocks, variation in network delay and delays of the node while it writes.
const deadlineMargin = 5 * time.Millisecond

// forwardMargin is how long before the end of the first attempt an answer without a length is forwarded as far as it has
// arrived: enough for the node to be held up meanwhile.
const forwardMargin = 100 * time.Millisecond

// refusalReason is why an attempt was not allowed to begin, for the log.
type refusalReason string

// The reasons to refuse an attempt.
const (
	refusalRequestSettled     refusalReason = "the request has ended, or its client has disconnected"
	refusalCancelled          refusalReason = "the attempt was cancelled, or its deadline has passed"
	refusalServerChanged      refusalReason = "the server is draining, is gone or has restarted"
	refusalUnsafeRepeat       refusalReason = "another attempt may have run"
	refusalDedupWindowExpired refusalReason = "the dedup window is over: servers may have forgotten the idempotency key of an earlier attempt"
)

// Begin reports whether the attempt may be written, and its deadlines. It first checks whether the client
// still waits, before it locks Pool.mu, as that check reads the client's socket. It then checks mayBegin:
// the conditions under which the attempt was sent may have changed while it waited for its connection.
func (a *attempt) Begin() (AttemptDeadlines, bool) {
	client := ClientWaiting
	if a.request.Presence != nil {
		client = a.request.Presence()
	}
	p := a.pool
	p.handle(eventBegin, func(now time.Duration) {
		switch client {
		case ClientDisconnected:
			p.clientDisconnected(now, a.request)
		case ClientPresenceUnknown:
			p.clientUnknown(now, a.request)
		}
		a.refusal = p.mayBegin(now, a)
		a.begun = a.refusal == ""
		a.begunAt = time.Now()
	})
	if !a.begun {
		p.settings.Log.Debug("attempt refused", "request_id", a.request.ID, "attempt", a.number, "reason", string(a.refusal))
	}
	return a.deadlines, a.begun
}

// mayBegin is the only rule that allows or refuses an attempt. It returns the reason of a refusal, or "" with
// the attempt's deadlines set. It is called with Pool.mu held, once the attempt has a connection and before
// anything is written.
//
// An attempt is refused if
//   - its request is settled: the answer would be dropped;
//   - its context is done: it was cancelled or has timed out;
//   - its server has changed since it was chosen: a draining server must get no new requests, and the
//     address of a restarted one may belong to another process;
//   - mayRepeat forbids it: the request could run twice;
//   - the Balancer's dedup window is over: servers may have forgotten the idempotency key of an earlier
//     attempt, and would run this one as well;
//   - its client's deadline has passed.
func (p *Pool) mayBegin(now time.Duration, attempt *attempt) refusalReason {
	r := attempt.request
	switch {
	case r.settled.Load():
		return refusalRequestSettled
	case attempt.ctx.Err() != nil:
		return refusalCancelled
	case !attempt.serverUnchanged():
		return refusalServerChanged
	case !p.mayRepeat(attempt):
		p.settings.Violations.Record(invariant.NonIdempotentRepeated, r.ID, "attempt", attempt.number)
		return refusalUnsafeRepeat
	}
	if writeBy := p.balancer.AttemptConnected(now, r.id, attempt.number); writeBy > 0 {
		if writeBy <= now {
			return refusalDedupWindowExpired
		}
		attempt.deadlines.WriteBy = p.wallTime(writeBy)
	}
	attempt.deadlines.AnswerBy = p.answerBy(r)
	attempt.deadlines.TimeoutShare = math.Pow(slowWriteShare, float64(r.slowWrites))
	attempt.deadlines.ClientDeadline = p.clientDeadline(attempt).Add(-deadlineMargin)
	attempt.deadlines.ForwardFrom = attempt.deadlines.ClientDeadline.Add(-forwardMargin / time.Duration(attempt.number+1))
	if !attempt.deadlines.ClientDeadline.After(time.Now()) {
		return refusalCancelled
	}
	return ""
}

// mayRepeat reports whether the request may run another time: if its class is not idempotent, no attempt may
// begin after another one that may have run or is in flight. The Balancer has already decided this by its
// own records; mayRepeat checks that decision by the pool's own records.
func (p *Pool) mayRepeat(a *attempt) bool {
	if p.settings.Balancer.Classes[a.request.Class].Idempotency != decide.NotIdempotent {
		return true
	}
	return !slices.ContainsFunc(a.request.attempts, func(other *attempt) bool {
		return other != a && other.mayHaveRun()
	})
}

// clientDeadline returns until when the client waits for an attempt: the earlier of the attempt's own timeout
// and the request's deadline.
func (p *Pool) clientDeadline(a *attempt) time.Time {
	until := a.deadlines.ClientDeadline
	if deadline := a.deadlines.AnswerBy; deadline.Before(until) {
		until = deadline
	}
	return until
}

// answerBy returns until when the client waits for its answer. While a body is streamed, the client's timeout has not
// started: it starts with the last byte. The client may then wait for the whole timeout, counted from now.
func (p *Pool) answerBy(r *OpenRequest) time.Time {
	until := p.wallTime(r.deadline)
	if r.StreamedBody != nil {
		if timeout := time.Now().Add(r.Timeout); timeout.Before(until) {
			until = timeout
		}
	}
	return until
}

// StillValid reports whether an attempt that Begin allowed may still be written. It locks nothing, as its caller
// is about to write: a wait for the lock would make the result outdated. It reads the clock last, for the
// same reason.
func (a *attempt) StillValid() bool {
	if a.request.settled.Load() || a.ctx.Err() != nil || !a.serverUnchanged() {
		return false
	}
	now := time.Now()
	if writeBy := a.deadlines.WriteBy; !writeBy.IsZero() && !now.Before(writeBy) {
		return false
	}
	return a.request.StreamedBody != nil || now.Before(a.deadlines.ClientDeadline)
}

// slowWriteShare is the part of the remaining time that a server is given after an attempt that was written too slowly.
const slowWriteShare = 0.5

// WriteTooSlow records that an attempt was ended because its server read it slowly.
func (a *attempt) WriteTooSlow() {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.request.slowWrites++
}

// AnswerMemory returns the memory of the attempt's answer.
func (a *attempt) AnswerMemory() AnswerMemory {
	if a.request.NewAnswerMemory == nil {
		return unlimitedMemory{}
	}
	return a.request.NewAnswerMemory()
}

// RequestWritten records that the attempt's last byte is written. The timeouts of a streamed request start then.
func (a *attempt) RequestWritten(written WrittenRequest) {
	p := a.pool
	if p.settings.RequestWritten != nil {
		p.settings.RequestWritten(a.request.Class)
	}
	p.checkInvariants(a, written)
	if a.request.StreamedBody == nil {
		return
	}
	p.handle(eventWritten, func(now time.Duration) {
		r := a.request
		r.deadline = p.capDeadline(p.clockTime(r.bodySentAt()) + r.Timeout)
		if remaining := p.balancer.SetDeadline(now, r.id, r.deadline); remaining > 0 {
			a.timer.Reset(remaining)
		}
	})
}

// bodySentAt returns the time from which the timeout of a streamed request counts.
func (r *OpenRequest) bodySentAt() time.Time {
	if r.BodySentAt == nil {
		return time.Now()
	}
	return r.BodySentAt()
}

// watchUpload ends a streamed request whose client may no longer wait although its body is not yet written to a server:
// the server reads it slowly, or the request waits for a connection. It checks again when more of the body has arrived
// since.
func (p *Pool) watchUpload(id decide.RequestID) {
	p.handle(eventTimer, func(now time.Duration) {
		r := p.requests[id]
		if r == nil || r.settled.Load() {
			return
		}
		if remaining := time.Until(r.BodySentAt().Add(r.Timeout)); remaining > 0 {
			r.uploadTimer.Reset(remaining)
			return
		}
		r.deadline = min(r.deadline, now)
		p.balancer.SetDeadline(now, r.id, r.deadline)
		for _, a := range r.attempts {
			p.afterUnlock(func() { a.cancel(ErrTimedOut) })
		}
	})
}

// checkInvariants records the invariants that an attempt has violated by the time its last byte is written.
func (p *Pool) checkInvariants(attempt *attempt, written WrittenRequest) {
	violations := attempt.timeViolations(time.Now(), written.Timeout)
	if len(violations) > 0 { // the node may have been busy since
		violations = attempt.timeViolations(written.LeftAt(), written.Timeout)
	}
	p.mu.Lock()
	disconnected, disconnectedAt := attempt.request.clientDisconnected, attempt.request.clientDisconnectedAt
	p.mu.Unlock()
	if after := attempt.begunAt.Sub(disconnectedAt); disconnected && after > invariant.DisconnectSlack {
		violations = append(violations, violation{invariant.BegunAfterClientDisconnected, []any{"duration", after}})
	}
	for _, violated := range violations {
		p.settings.Violations.Record(violated.rule, attempt.request.ID, append([]any{"attempt", attempt.number}, violated.attrs...)...)
	}
}

// violation is a violated invariant, with attributes for the log.
type violation struct {
	rule  invariant.Rule
	attrs []any
}

// timeViolations returns the invariants that the attempt has violated if its last byte was written at a time, and its
// server was given serverTimeout.
func (a *attempt) timeViolations(written time.Time, serverTimeout time.Duration) (violations []violation) {
	if writeBy := a.deadlines.WriteBy; !writeBy.IsZero() && written.After(writeBy) {
		violations = append(violations, violation{invariant.RepeatedAfterDedupWindow, []any{"duration", written.Sub(writeBy)}})
	}
	if a.request.StreamedBody != nil { // the client's timeout has not started yet
		return violations
	}
	if late := written.Sub(a.deadlines.ClientDeadline) - deadlineMargin; late > invariant.WriteSlack {
		violations = append(violations, violation{invariant.WrittenLate, []any{"duration", late}})
	}
	if remaining := a.deadlines.ClientDeadline.Sub(written); serverTimeout > remaining+invariant.DeadlineSlack {
		violations = append(violations, violation{invariant.DeadlineOverstated, []any{"promised", serverTimeout, "remaining", remaining}})
	}
	return violations
}
