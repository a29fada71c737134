package service

import (
	"iter"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"jasperpin/internal/config"
	"jasperpin/internal/core"
	"jasperpin/internal/idempotency/store"
	"jasperpin/internal/limit"
	"jasperpin/internal/metrics"
)

// ConnectionLimiter counts the connections to the servers of all pools, and divides them among these.
type ConnectionLimiter interface {
	Configure(total int, guarantees map[string]int) error
	// SetFaulty marks a pool as faulty or not. A faulty one borrows nothing, but for one request
	// where it has none (limit.Budget.Take).
	SetFaulty(pool string, on bool)
}

// NewUpstream makes a pool's upstream.
type NewUpstream func(p *config.Pool) core.Upstream

// NewPlacer makes a pool's Placer.
type NewPlacer func(p *config.Pool) core.Placer

// Set is all that a node serves. Its methods may be called concurrently.
type Set struct {
	Metrics *metrics.Registry

	log         *slog.Logger
	start       time.Time             // of the clock that gates and health use
	current     atomic.Pointer[table] // in force; replaced under mu, read without it
	connections ConnectionLimiter
	budgets     *budgets // nil where one pool has everything to itself
	newUpstream NewUpstream
	newPlacer   NewPlacer // nil where pools decide alone

	mu            sync.Mutex // held while a configuration is applied; guards what follows
	limits        limit.Machine
	seed          uint64
	defaultShare  float64         // the guaranteed part of pools that name none, 0 to 1
	keys          *store.KeyStore // nil until the first configuration that has idempotency keys
	keySettings   config.IdempotencyKeys
	predecessor   map[string]core.Snapshot // of the process before, until there are pools
	drainDeadline time.Time                // zero until a drain begins
	fleetPosition *core.FleetPosition      // nil where the configuration says it
	draining      map[*poolRuntime]bool    // retired pools that still have requests
}

// New makes a set of what a configuration names. Placer may be nil; predecessor is what the pools of the
// process before this one knew, by name, if there was one.
func New(cfg *config.Config, connections ConnectionLimiter, upstream NewUpstream, placer NewPlacer, predecessor map[string]core.Snapshot, registry *metrics.Registry, log *slog.Logger) (*Set, error) {
	s := &Set{
		Metrics: registry, log: log, start: time.Now(), connections: connections,
		newUpstream: upstream, newPlacer: placer, predecessor: predecessor, draining: make(map[*poolRuntime]bool),
	}
	if cfg.PoolsShareLimits {
		s.budgets = newBudgets()
	}
	s.current.Store(&table{services: newByName[*Service](), pools: newByName[*poolEntry]()})
	if err := s.Apply(cfg); err != nil {
		return nil, err
	}
	return s, nil
}

// clock is the time that gates and health use.
func (s *Set) clock() time.Duration { return time.Since(s.start) }

// LongestDeadline is the longest deadline of any class in force.
func (s *Set) LongestDeadline() (longest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.current.Load().pools.all() {
		for _, class := range p.runtime.config.Settings.Classes {
			longest = max(longest, class.Deadline)
		}
	}
	return longest
}

// Snapshot is what the pools in force know, by name.
func (s *Set) Snapshot() map[string]core.Snapshot {
	snapshots := make(map[string]core.Snapshot)
	for name, p := range s.Pools() {
		snapshots[name] = p.Snapshot()
	}
	return snapshots
}

// Pools are the pools in force, by name.
func (s *Set) Pools() iter.Seq2[string, *Pool] {
	return func(yield func(string, *Pool) bool) {
		for p := range s.current.Load().pools.all() {
			if !yield(p.Name, p.Pool) {
				return
			}
		}
	}
}

// Pool is the one in force under a name, or nil.
func (s *Set) Pool(name string) *Pool {
	if p := s.current.Load().pools.get(name); p != nil {
		return p.Pool
	}
	return nil
}

// Close ends all pools. No request may be open.
func (s *Set) Close() {
	s.mu.Lock()
	pools := s.Pools()
	draining := make([]*poolRuntime, 0, len(s.draining))
	for r := range s.draining {
		draining = append(draining, r)
	}
	s.mu.Unlock()
	for _, p := range pools {
		p.runtime.close()
	}
	for _, r := range draining {
		r.close()
	}
	if s.keys != nil {
		s.keys.Close()
	}
}
