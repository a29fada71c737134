package service

import (
	"sync"

	"jasperpin/internal/limit"
)

// poolHealth tracks how a pool's requests end. limit.Health decides whether the pool is faulty.
type poolHealth struct {
	mu      sync.Mutex // guards the following fields
	tracker limit.Health
	faulty  bool
}

// recordOutcome records how a request ended, and updates the budgets if its pool became faulty or healthy by that.
func (s *Set) recordOutcome(r *poolRuntime, served bool) {
	h := &r.health
	h.mu.Lock()
	before := h.faulty
	h.faulty = h.tracker.Record(s.clock(), served)
	faulty := h.faulty
	h.mu.Unlock()
	if faulty == before {
		return
	}
	s.setFaulty(r.name, faulty)
	s.log.Info("pool fault state changed", "pool", r.name, "faulty", faulty)
}

// setFaulty marks a pool as faulty or healthy. A faulty pool borrows nothing, except for one request if it has
// none (limit.Budget.Take).
func (s *Set) setFaulty(pool string, faulty bool) {
	s.budgets.setFaulty(pool, faulty)
	s.connections.SetFaulty(pool, faulty)
}

// clearFault marks a pool's name as healthy in the budgets: the previous pool of that name may have been faulty.
func (s *Set) clearFault(pool string) {
	if s.budgets != nil {
		s.setFaulty(pool, false)
	}
}
