package service

import (
	"time"

	"jasperpin/internal/core"
)

// retire has a pool end what it has, and closes it then. Called under the lock. Its goroutine ends with
// the pool's last request; nobody waits for it, as Close ends the pool by itself.
func (s *Set) retire(p *Pool) {
	p.Retire()
	if !s.drainDeadline.IsZero() {
		p.DrainBy(s.drainDeadline)
	}
	s.draining[p.runtime] = true
	s.log.Info("pool drains", "pool", p.Name)
	go func() {
		<-p.Drained()
		p.runtime.close()
		s.mu.Lock()
		delete(s.draining, p.runtime)
		s.mu.Unlock()
		s.log.Info("pool drained", "pool", p.Name)
	}()
}

// DrainBy moves all later deadlines forward to t: the process ends by then.
func (s *Set) DrainBy(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainDeadline = t
	s.eachPool(func(p *core.Pool) { p.DrainBy(t) })
}

// SetFleetPosition sets the node's place in its fleet, for all pools and those to come.
func (s *Set) SetFleetPosition(position core.FleetPosition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleetPosition = &position
	s.eachPool(func(p *core.Pool) { p.SetFleetPosition(position) })
}

// eachPool calls do for all pools, those that drain too. Called under the lock.
func (s *Set) eachPool(do func(*core.Pool)) {
	for p := range s.current.Load().pools.all() {
		do(p.Pool.Pool)
	}
	for r := range s.draining {
		do(r.core)
	}
}
