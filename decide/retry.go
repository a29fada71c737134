package decide

import "time"

const (
	// retryBudgetPerRequest is how many retries and hedges each request pays for, and maxRetryBudget how
	// many may be saved up: in an outage retries stay a small part of the load.
	retryBudgetPerRequest = 0.15
	maxRetryBudget        = 20.0
	// usableDedupWindow is the share of a dedup window within which repeats begin.
	usableDedupWindow = 0.9
	// minDedupWindowReserve is the least time kept free before the window's end. A node may be stopped
	// between reading the clock and writing for so long, on top of the 50 ms by which servers' windows are
	// longer than stated.
	minDedupWindowReserve = 100 * time.Millisecond
)

// creditRetryBudget lets a request that arrives pay its part into the retry budget.
func (b *Balancer) creditRetryBudget() {
	b.retryBudget = min(maxRetryBudget, b.retryBudget+retryBudgetPerRequest)
}

// maySend reports whether the attempts so far allow another one at a server: within Settings.MaxAttempts,
// with one in flight only by Settings.Hedging, and never where the request could take effect twice.
//
// After an attempt that may have run, an Idempotent request may go anywhere, an IdempotentWithKey one to
// servers that drop repeats of that attempt, a NotIdempotent one nowhere. A Streaming request's body is
// gone with its first attempt.
func (b *Balancer) maySend(r *request, s *server) bool {
	if len(r.attempts) >= b.settings.MaxAttempts {
		return false
	}
	if r.Streaming && len(r.attempts) > 0 {
		return false
	}
	if r.attemptInFlight() && !b.settings.Hedging {
		return false
	}
	first := r.firstPossiblyRun()
	if first == nil {
		return true
	}
	switch class := &b.settings.Classes[r.Class]; class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return b.now <= class.dedupUntil(first) && class.sharesDedup(first.server, s)
	default:
		return false
	}
}

// sharesDedup reports whether a server drops repeats of an attempt at another.
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

// dedupUntil returns until when servers surely drop repeats of an attempt.
func (c *Class) dedupUntil(first *attempt) time.Duration {
	usable := time.Duration(usableDedupWindow * float64(c.DedupWindow))
	return first.startedAt + min(usable, c.DedupWindow-minDedupWindowReserve)
}

// mayReject reports whether a request may be rejected, which tells its client that to try again does no
// harm: nothing may have run, or repeats do no harm wherever they go.
func (b *Balancer) mayReject(r *request) bool {
	first := r.firstPossiblyRun()
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

// mayRetry reports whether a request without an attempt in flight gets another one: at once where no
// attempt may have run, since that cost no server any work; else while an answer is still wanted and the
// retry budget lasts.
func (b *Balancer) mayRetry(r *request) bool {
	return r.firstPossiblyRun() == nil || b.now < r.objectiveAt && b.retryBudget >= 1
}
