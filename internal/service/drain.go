package service

import (
	"context"
	"errors"
	"time"

	"jasperpin/internal/core"
)

// retire retires a pool, and closes it once its open requests have ended. It is called with s.mu held. It starts
// a goroutine that ends after the pool's last request; Close does not wait for it, as it closes the pool itself.
func (s *Set) retire(p *Pool) {
	p.Retire()
	if !s.drainDeadline.IsZero() {
		p.DrainBy(s.drainDeadline)
	}
	s.draining[p.runtime] = true
	s.log.Info("pool is draining", "pool", p.Name)
	go func() {
		<-p.Drained()
		p.runtime.close()
		s.mu.Lock()
		delete(s.draining, p.runtime)
		s.mu.Unlock()
		s.log.Info("pool drained", "pool", p.Name)
	}()
}

// ErrEnding is the cause of a context of UntilEnd that is done as the process ends.
var ErrEnding = errors.New("the node is shutting down")

// DrainBy limits the deadlines of all requests to t, by which the process ends. Requests that wait for admission then
// are rejected, and the contexts of UntilEnd are done.
func (s *Set) DrainBy(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainDeadline = t
	s.eachPool(func(p *core.Pool) { p.DrainBy(t) })
	time.AfterFunc(time.Until(t), func() { s.end(ErrEnding) })
}

// UntilEnd returns a context for a wait of a request that no pool has yet. It is done with ctx, or once the time of a
// drain is over. The caller must call stop.
func (s *Set) UntilEnd(ctx context.Context) (until context.Context, stop func()) {
	until, cancel := context.WithCancelCause(ctx)
	unregister := context.AfterFunc(s.ending, func() { cancel(ErrEnding) })
	return until, func() {
		unregister()
		cancel(nil)
	}
}

// Ending returns a channel that is closed once the time of a drain is over: a wait of a request that no pool has yet ends
// then.
func (s *Set) Ending() <-chan struct{} { return s.ending.Done() }

// ReleaseQuota ends the use of the node's quota of fleet-wide limits in all pools, as another process takes over.
func (s *Set) ReleaseQuota() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eachPool((*core.Pool).ReleaseQuota)
}

// SetFleetPosition sets the node's position in its fleet, for all present and future pools.
func (s *Set) SetFleetPosition(position core.FleetPosition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleetPosition = &position
	s.eachPool(func(p *core.Pool) { p.SetFleetPosition(position) })
}

// eachPool calls do for all pools, including draining ones. It is called with s.mu held.
func (s *Set) eachPool(do func(*core.Pool)) {
	for p := range s.current.Load().pools.all() {
		do(p.Pool.Pool)
	}
	for r := range s.draining {
		do(r.core)
	}
}
