package decide

import "time"

// noAttempt stands for "no attempt" where a function expects the index of an attempt.
const noAttempt = -1

// advance takes the next step for a request without an attempt in flight: it sends another attempt or
// gives the final answer.
func (b *Balancer) advance(r *request) {
	if b.mayRetry(r) && b.send(r, b.pick(r)) {
		return
	}
	if len(r.attempts) > 0 && r.firstCountedAsRun() == nil {
		// each attempt was declined, failed to connect or was abandoned
		b.observePressure(r, Overloaded, 0, true)
	}
	b.rejectOrFail(r)
}

// send sends an attempt to a server and reports whether it did. It sends nothing if target is nil. It is the
// only function that sends attempts, and it checks the rules once more.
func (b *Balancer) send(r *request, target *server) bool {
	if target == nil || r.finished || target.State != Ready || b.now >= r.objectiveAt || !b.maySend(r, target) {
		return false
	}
	if r.firstCountedAsRun() != nil { // if no attempt ran, another one costs no server any work
		b.retryBudget--
	}
	expected := time.Duration(b.expectedLatency(r))
	target.slowStartTokens -= float64(expected) / max(b.classes[r.Class].meanLatency, 1)
	target.inFlight++
	b.groupOf(target).inFlight++
	b.sendRate.add(b.now, 1)
	r.attempts = append(r.attempts, attempt{
		server: target, sentAt: b.now, startedAt: b.now, expectedLatency: expected, inFlight: true, countsAsRun: true,
	})
	b.effects.Send(r.ID, target.ID, r.objectiveAt-b.now)
	r.hedgeAt = b.hedgeTime(r, expected)
	b.effects.SetTimer(requestTimer(timerHedge, r.ID), r.hedgeAt)
	return true
}

// rejectOrFail gives a request that no server answered its final answer: Reject if its client may retry
// without harm, otherwise Fail because the request may have run. It is the only function that does so.
func (b *Balancer) rejectOrFail(r *request) {
	if b.mayReject(r) {
		b.effects.Reject(r.ID, b.retryAfter(r))
	} else {
		b.effects.Fail(r.ID)
	}
	b.finish(r, noAttempt)
}

// retryAfter returns how long a rejected client should wait before it retries: the mean latency of the
// class, after which the attempts now in flight are answered. If the objective has passed, a retry would
// be late as well, so it returns the maximum that the settings allow.
func (b *Balancer) retryAfter(r *request) time.Duration {
	if b.now >= r.objectiveAt {
		return b.settings.MaxRetryAfter
	}
	return min(b.settings.MaxRetryAfter, time.Duration(b.classes[r.Class].meanLatency))
}

// finish marks a request as finished, because it has its final answer or needs none, and cancels its
// attempts in flight, except for the one with the index except.
func (b *Balancer) finish(r *request, except int) {
	r.finished = true
	for i := range r.attempts {
		if b.settings.CancelAttempts && i != except && r.attempts[i].inFlight {
			b.effects.Cancel(r.ID, i)
		}
	}
	b.forgetIfDone(r)
}
