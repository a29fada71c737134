package decide

import "time"

// noAttempt stands for none of a request's attempts.
const noAttempt = -1

// advance takes a request without an attempt in flight to its next step: another attempt, or its final
// answer.
func (b *Balancer) advance(r *request) {
	if b.mayRetry(r) && b.send(r, b.pick(r)) {
		return
	}
	if len(r.attempts) > 0 && r.firstPossiblyRun() == nil {
		// no attempt may have run: each was declined, not connected or abandoned
		b.observePressure(r, Overloaded, 0, true)
	}
	b.rejectOrFail(r)
}

// send sends an attempt to a server, and reports whether it did. It is the only place that sends, and
// checks the rules once more. A nil server is none.
func (b *Balancer) send(r *request, s *server) bool {
	if s == nil || r.finished || s.State != Ready || b.now >= r.objectiveAt || !b.maySend(r, s) {
		return false
	}
	if r.firstPossiblyRun() != nil { // where nothing ran, another attempt costs no server any work
		b.retryBudget--
	}
	expected := time.Duration(b.expectedLatency(r))
	s.slowStartTokens -= float64(expected) / max(b.classes[r.Class].meanLatency, 1)
	s.inFlight++
	b.groupOf(s).inFlight++
	b.sendRate.add(b.now, 1)
	r.attempts = append(r.attempts, attempt{
		server: s, sentAt: b.now, startedAt: b.now, expectedLatency: expected, inFlight: true, mayHaveRun: true,
	})
	b.effects.Send(r.ID, s.ID, r.objectiveAt-b.now)
	r.hedgeAt = b.hedgeTime(r, expected)
	b.effects.SetTimer(requestTimer(timerHedge, r.ID), r.hedgeAt)
	return true
}

// rejectOrFail gives a request its final answer where no server did: rejected where its client may try
// again without harm, failed where it may have run. It is the only place that does.
func (b *Balancer) rejectOrFail(r *request) {
	if b.mayReject(r) {
		b.effects.Reject(r.ID, b.retryAfter(r))
	} else {
		b.effects.Fail(r.ID)
	}
	b.finish(r, noAttempt)
}

// retryAfter returns when a rejected client should try again: once what is in flight now is answered, which
// takes a latency of its class. Where its objective has passed it is the longest wait that the settings
// allow, since a retry would be late, too.
func (b *Balancer) retryAfter(r *request) time.Duration {
	if b.now >= r.objectiveAt {
		return b.settings.MaxRetryAfter
	}
	return min(b.settings.MaxRetryAfter, time.Duration(b.classes[r.Class].meanLatency))
}

// finish notes that a request has its final answer or needs none, and cancels the attempts in flight but
// one.
func (b *Balancer) finish(r *request, except int) {
	r.finished = true
	for i := range r.attempts {
		if b.settings.CancelAttempts && i != except && r.attempts[i].inFlight {
			b.effects.Cancel(r.ID, i)
		}
	}
	b.forgetIfDone(r)
}
