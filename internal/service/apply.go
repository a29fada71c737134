package service

import (
	"errors"
	"fmt"
	"iter"

	"jasperpin/internal/config"
	"jasperpin/internal/core"
	"jasperpin/internal/limit"
)

// nodeSettings are the settings of the node itself in a configuration.
type nodeSettings struct {
	limits    limit.Machine
	seed      uint64
	keys      config.IdempotencyKeys
	mayDiffer bool // false if the settings are the current ones
}

func nodeSettingsOf(cfg *config.Config) nodeSettings {
	return nodeSettings{limits: cfg.Limits, seed: cfg.Seed, keys: cfg.Keys, mayDiffer: true}
}

// Apply applies a complete configuration, or changes nothing and returns an error. A pool that did not change
// keeps all that it has learned; one that must be replaced or is no longer configured is retired.
func (s *Set) Apply(cfg *config.Config) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	routes, err := cfg.Table()
	if err != nil {
		return fmt.Errorf("applying a configuration: %w", err)
	}
	current := s.current.Load()
	changes := config.Changes{Routes: routes, SharesChanged: true}
	changes.Pools, changes.RemovedPools = replaceAll(cfg.Pools, func(c *config.Pool) string { return c.Name }, current.pools)
	changes.Services, changes.RemovedServices = replaceAll(cfg.Services, func(c *config.Service) string { return c.Name }, current.services)
	s.shared.removeUnused()
	return s.change(changes, nodeSettingsOf(cfg))
}

// replaceAll returns all entries of a complete configuration, and the current names that it does not contain.
func replaceAll[C, T any](configured []C, name func(*C) string, current byName[T]) (all []*C, removed []string) {
	named := make(map[string]bool, len(configured))
	for i := range configured {
		named[name(&configured[i])] = true
		all = append(all, &configured[i])
	}
	for currentName := range current.names() {
		if !named[currentName] {
			removed = append(removed, currentName)
		}
	}
	return all, removed
}

// Change applies changes, or changes nothing and returns an error. What the changes do not name stays the same
// and costs nothing.
func (s *Set) Change(changes config.Changes) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.change(changes, nodeSettings{limits: s.limits, seed: s.seed, keys: s.keySettings})
}

// ApplyNodeSettings applies a configuration's settings of the node itself: its limits and the bounds of
// idempotency keys. Pools and services stay as they are. If the error is not nil, nothing has changed.
func (s *Set) ApplyNodeSettings(cfg *config.Config) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := config.Changes{Routes: s.current.Load().routes, SharesChanged: true, DefaultShare: s.defaultShare}
	return s.change(changes, nodeSettingsOf(cfg))
}

// Resize applies other limits of the machine to the shared resources of the pools. Existing reservations stay
// until they are released.
func (s *Set) Resize(machine limit.Machine) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	pools := poolsAfter(s.current.Load(), config.Changes{})
	if err := s.divide(pools, machine, s.defaultShare); err != nil {
		return err
	}
	s.limits = machine
	return nil
}

// change applies changes. The steps that may fail come first, before anything has changed. It is called with
// s.mu held.
func (s *Set) change(changes config.Changes, node nodeSettings) error {
	current := s.current.Load()
	if err := s.reserve(current, changes, node); err != nil {
		return fmt.Errorf("applying a configuration: %w", err)
	}
	s.limits, s.seed, s.keySettings = node.limits, node.seed, node.keys
	if changes.SharesChanged {
		s.defaultShare = changes.DefaultShare
	}
	next, replaced := s.nextTable(current, changes)
	if next.pools.tree.Len() > 0 {
		s.predecessor = nil
	}
	s.current.Store(next)
	for _, p := range replaced {
		s.retire(p)
	}
	for r := range s.draining {
		if current := next.pools.get(r.name); current != nil {
			r.follow(current.runtime.feed)
		}
	}
	return nil
}

// reserve configures the budgets and the store of idempotency keys for changes, or leaves both unchanged and
// returns an error.
func (s *Set) reserve(current *table, changes config.Changes, node nodeSettings) error {
	pools := poolsAfter(current, changes)
	if changes.SharesChanged {
		if err := s.divide(pools, node.limits, changes.DefaultShare); err != nil {
			return err
		}
	}
	if !node.mayDiffer && !keysDiffer(current, changes) {
		return nil
	}
	err := s.configureKeys(node.keys, pools)
	if err != nil && changes.SharesChanged {
		err = errors.Join(err, s.divide(poolsAfter(current, config.Changes{}), s.limits, s.defaultShare))
	}
	return err
}

// nextTable returns the table after changes, and the pools that are replaced or removed by them.
func (s *Set) nextTable(current *table, changes config.Changes) (next *table, replaced []*Pool) {
	next = &table{routes: changes.Routes}
	pools := current.pools.tree.Txn()
	for _, c := range changes.Pools {
		old := current.pools.get(c.Name)
		p := s.updatePool(c, old)
		if old != nil && old.Pool != p {
			replaced = append(replaced, old.Pool)
		}
		pools.Insert([]byte(c.Name), &poolEntry{p, s.keyPolicies(c)})
	}
	for _, name := range changes.RemovedPools {
		if old, ok := pools.Delete([]byte(name)); ok {
			replaced = append(replaced, old.Pool)
			s.poolQueues[name] = old.queue
		}
	}
	services := current.services.tree.Txn()
	for _, c := range changes.Services {
		services.Insert([]byte(c.Name), s.updateService(c, current.services.get(c.Name)))
	}
	for _, name := range changes.RemovedServices {
		if old, ok := services.Delete([]byte(name)); ok {
			s.serviceQueues[name] = old.queue
		}
	}
	s.poolQueues.removeIdle()
	s.serviceQueues.removeIdle()
	next.pools.tree, next.services.tree = pools.Commit(), services.Commit()
	if s.budgets == nil && len(changes.Pools) == 1 && len(changes.Services) == 1 {
		next.only = &Target{
			Service: next.services.get(changes.Services[0].Name),
			Pool:    next.pools.get(changes.Pools[0].Name).Pool,
		}
	}
	return next, replaced
}

// updatePool returns the pool for a configuration: the current one if it can continue, otherwise a new one that
// replaces it. old is the current pool; nil for none.
func (s *Set) updatePool(configured *config.Pool, old *poolEntry) *Pool {
	if old == nil {
		var known *core.Snapshot
		if snapshot, ok := s.predecessor[configured.Name]; ok && !snapshot.Removed {
			known = &snapshot // snapshot of the pool in the predecessor process
		}
		p := s.newPool(configured, nil, known)
		p.queue = s.poolQueues.take(configured.Name, configured.Gate)
		s.clearFault(configured.Name)
		return p
	}
	old.queue.configure(configured.Gate)
	if old.runtime.update(configured) {
		return old.Pool
	}
	old.ReleaseQuota()
	snapshot := old.Snapshot()
	p := s.newPool(configured, old.Pool, &snapshot)
	p.queue = old.queue // requests of the old pool still use its slots
	s.clearFault(configured.Name)
	return p
}

// poolsAfter returns the configurations of the pools after changes are applied.
func poolsAfter(current *table, changes config.Changes) iter.Seq[*config.Pool] {
	return func(yield func(*config.Pool) bool) {
		changed := make(map[string]bool, len(changes.Pools)+len(changes.RemovedPools))
		for _, name := range changes.RemovedPools {
			changed[name] = true
		}
		for _, c := range changes.Pools {
			if changed[c.Name] = true; !yield(c) {
				return
			}
		}
		for p := range current.pools.all() {
			if !changed[p.Name] && !yield(p.runtime.config) {
				return
			}
		}
	}
}

// divide divides the connections and the other shared resources among pools; share is the guaranteed part of
// the pools that configure none. Draining pools have no guarantee, but may still connect. It is called with
// s.mu held.
func (s *Set) divide(pools iter.Seq[*config.Pool], machine limit.Machine, share float64) error {
	guarantees := func(total int) map[string]int {
		guaranteed := make(map[string]int)
		for c := range pools {
			guaranteed[c.Name] = c.GuaranteedUnits(total, share)
		}
		for p := range s.current.Load().pools.all() {
			guaranteed[p.Name] += 0
		}
		for r := range s.draining {
			guaranteed[r.name] += 0
		}
		return guaranteed
	}
	connections := machine.ServerConnections()
	if err := s.connections.Configure(connections, guarantees(connections)); err != nil {
		return fmt.Errorf("configuring the budget of connections: %w", err)
	}
	if s.budgets == nil {
		return nil
	}
	return s.budgets.configure(machine, guarantees)
}

// updateService returns the service for a configuration: the current one if it identifies tenants by the same header,
// otherwise a new one. Requests that the current or a removed service of the name has admitted or queued stay admitted
// or queued. old is the current service; nil for none.
func (s *Set) updateService(c *config.Service, old *Service) *Service {
	if old == nil {
		return &Service{Name: c.Name, TenantHeader: c.TenantHeader, queue: s.serviceQueues.take(c.Name, c.Gate)}
	}
	old.queue.configure(c.Gate)
	if old.TenantHeader == c.TenantHeader {
		return old
	}
	return &Service{Name: c.Name, TenantHeader: c.TenantHeader, queue: old.queue}
}
