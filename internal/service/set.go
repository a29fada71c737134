package service

import (
	"context"
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

// ConnectionLimiter limits the connections to servers and divides them among the pools.
type ConnectionLimiter interface {
	Configure(total int, guarantees map[string]int) error
	// SetFaulty marks a pool as faulty or healthy. A faulty pool borrows nothing, except for one request
	// if it has none (limit.Budget.Take).
	SetFaulty(pool string, on bool)
}

// NewUpstream returns a new upstream for a pool.
type NewUpstream func(p *config.Pool) core.Upstream

// NewPlacer returns a new Placer for a pool.
type NewPlacer func(p *config.Pool) core.Placer

// Set holds the services and pools of a node. Its methods may be called concurrently.
type Set struct {
	Metrics *metrics.Registry

	log         *slog.Logger
	start       time.Time             // origin of the clock of gates and health
	shared      *sharedStates         // what outlives the pools of a name
	current     atomic.Pointer[table] // replaced with mu held, read without it
	connections ConnectionLimiter
	budgets     *budgets // nil if the node has a single pool, which shares nothing
	newUpstream NewUpstream
	newPlacer   NewPlacer // nil if pools choose all servers themselves

	mu            sync.Mutex // held while a configuration is applied; guards the following fields
	limits        limit.Machine
	seed          uint64
	defaultShare  float64         // the guaranteed part of pools that configure none, 0 to 1
	keys          *store.KeyStore // nil until the first configuration that has idempotency keys
	keySettings   config.IdempotencyKeys
	predecessor   map[string]core.Snapshot // snapshots of the predecessor process's pools, by name; nil once there are pools
	drainDeadline time.Time                // zero until a drain begins
	ending        context.Context          // done at drainDeadline, with the cause ErrEnding
	end           context.CancelCauseFunc
	fleetPosition *core.FleetPosition   // nil if the configuration sets the position
	draining      map[*poolRuntime]bool // retired pools with open requests
	poolQueues    removedQueues         // queues of removed pools
	serviceQueues removedQueues         // queues of removed services
}

// New returns a set with the services and pools of a configuration. placer may be nil. predecessor contains the
// snapshots of the predecessor process's pools, by name; nil if there was none.
func New(cfg *config.Config, connections ConnectionLimiter, upstream NewUpstream, placer NewPlacer, predecessor map[string]core.Snapshot, registry *metrics.Registry, log *slog.Logger) (*Set, error) {
	start := time.Now()
	s := &Set{
		Metrics: registry, log: log, start: start, shared: newSharedStates(start), connections: connections,
		newUpstream: upstream, newPlacer: placer, predecessor: predecessor, draining: make(map[*poolRuntime]bool),
		poolQueues: make(removedQueues), serviceQueues: make(removedQueues),
	}
	s.ending, s.end = context.WithCancelCause(context.Background())
	s.shared.restore(predecessor)
	if cfg.PoolsShareLimits {
		s.budgets = newBudgets()
	}
	s.current.Store(&table{services: newByName[*Service](), pools: newByName[*poolEntry]()})
	if err := s.Apply(cfg); err != nil {
		return nil, err
	}
	return s, nil
}

// clock returns the time on the clock of gates and health.
func (s *Set) clock() time.Duration { return time.Since(s.start) }

// LongestDeadline returns the longest deadline of any current class.
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

// Snapshot returns the learned state of the current pools, by name, and the excluded servers of all pools.
func (s *Set) Snapshot() map[string]core.Snapshot {
	snapshots := make(map[string]core.Snapshot)
	for name, p := range s.Pools() {
		snapshots[name] = p.Snapshot()
	}
	s.shared.each(func(name string, state *core.SharedState) {
		snapshot, current := snapshots[name]
		snapshot.Maintenance, snapshot.Removed = state.Maintenance(), !current
		if current || !snapshot.Maintenance.Empty() {
			snapshots[name] = snapshot
		}
	})
	return snapshots
}

// Pools returns the current pools, by name.
func (s *Set) Pools() iter.Seq2[string, *Pool] {
	return func(yield func(string, *Pool) bool) {
		for p := range s.current.Load().pools.all() {
			if !yield(p.Name, p.Pool) {
				return
			}
		}
	}
}

// Pool returns the current pool with a name, or nil.
func (s *Set) Pool(name string) *Pool {
	if p := s.current.Load().pools.get(name); p != nil {
		return p.Pool
	}
	return nil
}

// Close closes all pools, including draining ones, and the store of idempotency keys. No request may be open.
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
