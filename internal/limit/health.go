package limit

import (
	"math"
	"time"
)

const (
	// healthTimeConstant is the time after which an end of a request counts 1/e of a new one: a pool
	// whose servers all fail is to stop borrowing within seconds, and one hiccup must not stop it.
	healthTimeConstant = 2 * time.Second
	// faultyFrom and healthyFrom are fractions of failed requests. They lie apart so that the state does
	// not flap: at faultyFrom a pool becomes faulty, at healthyFrom it is healthy again.
	faultyFrom  = 0.5
	healthyFrom = 0.2
	// minFaultySamples is the least number of weighted ends by which a pool is called faulty: fewer say
	// nothing.
	minFaultySamples = 10
)

// Health reports whether a pool is faulty, by how its requests end. The zero value is healthy.
type Health struct {
	served, failed float64 // weighted by age
	updatedAt      time.Duration
	faulty         bool
}

// Record notes the end of a request, served or not, and reports whether the pool is faulty now: it becomes so
// once faultyFrom of at least minFaultySamples ends have failed, and stays so until no more than
// healthyFrom have.
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
