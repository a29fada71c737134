package core

import (
	"slices"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/invariant"
)

// deadlineMargin is how much less time a server is given than its client has left: clocks and the
// network may shift by as much, and a node may be held up as it writes.
const deadlineMargin = 5 * time.Millisecond

// withheldReason says why an attempt is not written, for the log.
type withheldReason string

// Why an attempt is withheld.
const (
	withheldSettled       withheldReason = "its request has ended, or its client has left"
	withheldCancelled     withheldReason = "it was cancelled, or its time is over"
	withheldServerChanged withheldReason = "its server drains, has gone or has restarted"
	withheldUnsafeRepeat  withheldReason = "another attempt may have run"
	withheldDedupExpired  withheldReason = "servers may have forgotten an earlier attempt's idempotency key"
)

// Begin reports whether the attempt may be written, and by when. It asks whether the client still waits,
// ahead of the lock as that looks at the client's socket, and then mayBegin: what was decided when the
// attempt was sent may have changed in the wait for its connection.
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
		case ClientUnknown:
			p.clientUnknown(now, a.request)
		}
		a.withheld = p.mayBegin(now, a)
		a.begun = a.withheld == ""
		a.begunAt = time.Now()
	})
	if !a.begun {
		p.settings.Log.Debug("attempt withheld", "request_id", a.request.ID, "attempt", a.number, "reason", string(a.withheld))
	}
	return a.deadlines, a.begun
}

// mayBegin is the one rule for whether an attempt may be written now. It returns why not, or "" with the
// attempt's deadlines set. Called under the lock, with a connection at hand and nothing written.
//
// An attempt is withheld where
//   - its request is settled: nobody would get its answer;
//   - its context has ended: it was cancelled or has timed out;
//   - its server is no longer as it was when it was chosen: what drains must get nothing new, and the
//     address of one that restarted may be another process's;
//   - mayRepeat forbids it: the request could run twice;
//   - the Balancer's window for repeats under an idempotency key is over: servers may have forgotten the
//     earlier attempt, and would run this one as well;
//   - no time is left of its client's deadline.
func (p *Pool) mayBegin(now time.Duration, a *attempt) withheldReason {
	r := a.request
	switch {
	case r.settled.Load():
		return withheldSettled
	case a.ctx.Err() != nil:
		return withheldCancelled
	case !a.serverUnchanged():
		return withheldServerChanged
	case !p.mayRepeat(a):
		p.settings.Violations.Record(invariant.NonIdempotentRepeated, r.ID, "attempt", a.number)
		return withheldUnsafeRepeat
	}
	if writeBy := p.balancer.AttemptConnected(now, r.id, a.number); writeBy > 0 {
		if writeBy <= now {
			return withheldDedupExpired
		}
		a.deadlines.WriteBy = p.wallTime(writeBy)
	}
	a.deadlines.ClientDeadline = p.clientDeadline(a).Add(-deadlineMargin)
	if !a.deadlines.ClientDeadline.After(time.Now()) {
		return withheldCancelled
	}
	return ""
}

// mayRepeat checks once more what the Balancer has decided by its own records: behind an attempt that may
// have run, or is in flight, no attempt may begin of a request whose class is not idempotent.
func (p *Pool) mayRepeat(a *attempt) bool {
	if p.settings.Balancer.Classes[a.request.Class].Idempotency != decide.NotIdempotent {
		return true
	}
	return !slices.ContainsFunc(a.request.attempts, func(other *attempt) bool {
		return other != a && other.mayHaveRun()
	})
}

// clientDeadline is until when an attempt's client waits: the sooner of the attempt's own timeout and
// the request's deadline. The timeout of a client that still sends its request starts with the last
// byte: no more than the whole of it, counted from now, may be promised to the server.
func (p *Pool) clientDeadline(a *attempt) time.Time {
	until := a.deadlines.ClientDeadline
	if deadline := p.wallTime(a.request.deadline); deadline.Before(until) {
		until = deadline
	}
	if a.request.StreamedBody != nil {
		if timeout := time.Now().Add(a.request.Timeout); timeout.Before(until) {
			until = timeout
		}
	}
	return until
}

// StillValid reports whether what Begin has allowed still holds. It takes no lock, as its caller is about
// to write: the wait for one would make the answer old. The clock is read last, for the same reason.
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

// Wrote notes that an attempt's last byte is written. The timeouts of a streamed request start then.
func (a *attempt) Wrote(serverTimeout time.Duration) {
	p := a.pool
	if p.settings.RequestWritten != nil {
		p.settings.RequestWritten(a.request.Class)
	}
	p.checkInvariants(a, serverTimeout)
	if a.request.StreamedBody == nil {
		return
	}
	p.handle(eventWritten, func(now time.Duration) {
		r := a.request
		r.deadline = p.capDeadline(now + r.Timeout)
		if left := p.balancer.SetDeadline(now, r.id, r.deadline); left > 0 {
			a.timer.Reset(left)
		}
	})
}

// checkInvariants counts the invariants that an attempt has broken by the time its last byte is written.
// ServerTimeout is the time that its server was given.
func (p *Pool) checkInvariants(a *attempt, serverTimeout time.Duration) {
	now := time.Now()
	streaming := a.request.StreamedBody != nil // its client's time has yet to start
	broken := func(rule invariant.Rule, attrs ...any) {
		p.settings.Violations.Record(rule, a.request.ID, append([]any{"attempt", a.number}, attrs...)...)
	}
	if writeBy := a.deadlines.WriteBy; !writeBy.IsZero() && now.After(writeBy) {
		broken(invariant.RepeatedAfterDedupWindow, "duration", now.Sub(writeBy))
	}
	if late := now.Sub(a.deadlines.ClientDeadline) - deadlineMargin; !streaming && late > invariant.WriteSlack {
		broken(invariant.WrittenLate, "duration", late)
	}
	if left := a.deadlines.ClientDeadline.Sub(now); !streaming && serverTimeout > left+invariant.DeadlineSlack {
		broken(invariant.DeadlineOverstated, "promised", serverTimeout, "remaining", left)
	}
	p.mu.Lock()
	disconnected, disconnectedAt := a.request.clientDisconnected, a.request.clientDisconnectedAt
	p.mu.Unlock()
	if after := a.begunAt.Sub(disconnectedAt); disconnected && after > invariant.DisconnectSlack {
		broken(invariant.BegunAfterClientDisconnected, "duration", after)
	}
}
