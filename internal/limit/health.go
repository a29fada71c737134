package limit

import (
	"math"
	"time"
)

const (
	// healthTimeConstant is the age at which the outcome of a request counts 1/e of a new one: a pool whose
	// servers all fail must stop borrowing within seconds, but not because of one short disturbance.
	healthTimeConstant = 2 * time.Second
	// faultyFrom and healthyFrom are fractions of failed requests: at faultyFrom a pool becomes faulty, at
	// healthyFrom it becomes healthy again. They differ so that the state does not flap.
	faultyFrom  = 0.5
	healthyFrom = 0.2
	// minFaultySamples is the least weighted number of outcomes by which a pool becomes faulty: fewer are no
	// evidence.
	minFaultySamples = 10
)

// Health decides whether a pool is faulty, by the outcomes of its requests. The zero value is healthy. It is not
// safe for concurrent use.
type Health struct {
	served, failed float64 // numbers of outcomes, weighted by age
	updatedAt      time.Duration
	faulty         bool
}

// Record records the outcome of a request, and reports whether the pool is faulty now. The pool becomes faulty
// once the share of failures is at least faultyFrom, with at least minFaultySamples outcomes. It stays faulty
// until that share is at most healthyFrom.
func (h *Health) Record(now time.Duration, served bool) (faulty bool) {
	if now > h.updatedAt {
		weight := math.Exp(-float64(now-h.updatedAt) / float64(healthTimeConstant))
		h.served, h.failed, h.updatedAt = h.served*weight, h.failed*weight, now
	}
	if served {
		h.served++
	} else {
		h.failed++
	}
	samples := h.served + h.failed
	switch failedShare := h.failed / samples; {
	case failedShare >= faultyFrom && samples >= minFaultySamples:
		h.faulty = true
	case failedShare <= healthyFrom:
		h.faulty = false
	}
	return h.faulty
}
