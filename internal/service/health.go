package service

import (
	"sync"

	"jasperpin/internal/limit"
)

// poolHealth is how a pool's requests end. The rule that calls a pool faulty is limit.Health's.
type poolHealth struct {
	mu      sync.Mutex // guards what follows
	tracker limit.Health
	faulty  bool
}

// recordEnd notes how a request ended, and notifies the budgets where that changes whether its pool is
// faulty.
func (s *Set) recordEnd(r *poolRuntime, served bool) {
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

// setFaulty marks a pool as faulty or not. A faulty one borrows nothing, but for one request
// where it has none (limit.Budget.Take).
func (s *Set) setFaulty(pool string, faulty bool) {
	s.budgets.setFaulty(pool, faulty)
	s.connections.SetFaulty(pool, faulty)
}

// clearFault has the budgets forget a fault of a pool's name: the pool that had it before may have been
// faulty.
func (s *Set) clearFault(pool string) {
	if s.budgets != nil {
		s.setFaulty(pool, false)
	}
}
