package decide

import "time"

const (
	// Each request adds retryBudgetPerRequest to the budget of retries and hedges, up to maxRetryBudget,
	// so that retries stay a small part of the load in an outage.
	retryBudgetPerRequest = 0.15
	maxRetryBudget        = 20.0
	// usableDedupWindow is the share of a dedup window within which repeats are sent.
	usableDedupWindow = 0.9
	// minDedupWindowReserve is the minimum time left unused at the end of the window. A node may be
	// paused for that long between reading the clock and writing, in addition to the 50 ms by which
	// servers' windows exceed the stated length.
	minDedupWindowReserve = 100 * time.Millisecond
)

// creditRetryBudget adds an arriving request's credit to the retry budget.
func (b *Balancer) creditRetryBudget() {
	b.retryBudget = min(maxRetryBudget, b.retryBudget+retryBudgetPerRequest)
}

// maySend reports whether another attempt may be sent to a server, given the attempts so far: within
// Settings.MaxAttempts, in parallel only if Settings.Hedging is set, and never if the request could take
// effect twice.
//
// After an attempt that counts as run, an Idempotent request may be sent to any server, an
// IdempotentWithKey one to servers that deduplicate repeats of that attempt, and a NotIdempotent one to
// none. A Streaming request's body is consumed by its first attempt.
func (b *Balancer) maySend(r *request, target *server) bool {
	if len(r.attempts) >= b.settings.MaxAttempts {
		return false
	}
	if r.Streaming && len(r.attempts) > 0 {
		return false
	}
	if r.attemptInFlight() && !b.settings.Hedging {
		return false
	}
	first := r.firstCountedAsRun()
	if first == nil {
		return true
	}
	switch class := &b.settings.Classes[r.Class]; class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return b.now <= class.dedupUntil(first) && class.sharesDedup(first.server, target)
	default:
		return false
	}
}

// sharesDedup reports whether s and first share a dedup scope, so that s deduplicates a repeat of an attempt
// that was sent to first.
func (c *Class) sharesDedup(first, s *server) bool {
	switch c.DedupScope {
	case DedupAll:
		return true
	case DedupZone:
		return s.Zone == first.Zone
	case DedupCell:
		return s.Zone == first.Zone && s.Cell == first.Cell
	default:
		return false
	}
}

// dedupUntil returns the time until which servers reliably deduplicate repeats of an attempt.
func (c *Class) dedupUntil(first *attempt) time.Duration {
	usable := time.Duration(usableDedupWindow * float64(c.DedupWindow))
	return first.startedAt + min(usable, c.DedupWindow-minDedupWindowReserve)
}

// mayReject reports whether a request may be rejected. A rejection tells the client that a retry does no
// harm, so either no attempt counts as run, or repeats are harmless at every server.
func (b *Balancer) mayReject(r *request) bool {
	first := r.firstCountedAsRun()
	if first == nil {
		return true
	}
	switch class := &b.settings.Classes[r.Class]; class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return class.DedupScope == DedupAll && b.now <= class.dedupUntil(first)
	default:
		return false
	}
}

// mayRetry reports whether a request without an attempt in flight may get another one. If no attempt may have
// run, it always may, since the attempts cost no server any work. Otherwise it may while an answer is still
// useful and the retry budget lasts.
func (b *Balancer) mayRetry(r *request) bool {
	return r.firstCountedAsRun() == nil || b.now < r.objectiveAt && b.retryBudget >= 1
}
