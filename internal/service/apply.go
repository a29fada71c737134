package service

import (
	"errors"
	"fmt"
	"iter"

	"jasperpin/internal/config"
	"jasperpin/internal/core"
	"jasperpin/internal/limit"
)

// nodeSettings are what a configuration says of the node itself.
type nodeSettings struct {
	limits    limit.Machine
	seed      uint64
	keys      config.IdempotencyKeys
	mayDiffer bool // false where they are those in force
}

func nodeSettingsOf(cfg *config.Config) nodeSettings {
	return nodeSettings{limits: cfg.Limits, seed: cfg.Seed, keys: cfg.Keys, mayDiffer: true}
}

// Apply puts a whole configuration in force, or changes nothing and says why. A pool that did not change
// keeps all that it has learned; one that did, or that is gone, takes nothing more and ends what it has.
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
	return s.change(changes, nodeSettingsOf(cfg))
}

// replaceAll lists what a whole configuration names, and the names in force that it leaves out.
func replaceAll[C, T any](configured []C, name func(*C) string, current byName[T]) (all []*C, gone []string) {
	named := make(map[string]bool, len(configured))
	for i := range configured {
		named[name(&configured[i])] = true
		all = append(all, &configured[i])
	}
	for inForce := range current.names() {
		if !named[inForce] {
			gone = append(gone, inForce)
		}
	}
	return all, gone
}

// Change puts in force what differs, or changes nothing and says why. What the changes do not name stays
// the same, and costs nothing.
func (s *Set) Change(changes config.Changes) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.change(changes, nodeSettings{limits: s.limits, seed: s.seed, keys: s.keySettings})
}

// ApplyNodeSettings puts in force what a configuration says of the node itself: its limits and the bounds of
// idempotency keys, or changes nothing and says why. Pools and services stay as they are.
func (s *Set) ApplyNodeSettings(cfg *config.Config) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := config.Changes{Routes: s.current.Load().routes, SharesChanged: true, UnnamedShare: s.defaultShare}
	return s.change(changes, nodeSettingsOf(cfg))
}

// Resize divides what the pools share anew, for other limits of the machine. What is reserved stays so
// until it is given back.
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

// change puts changes in force. What may fail comes first; from there on nothing does. Called under the
// lock.
func (s *Set) change(changes config.Changes, node nodeSettings) error {
	current := s.current.Load()
	if err := s.reserve(current, changes, node); err != nil {
		return fmt.Errorf("applying a configuration: %w", err)
	}
	s.limits, s.seed, s.keySettings = node.limits, node.seed, node.keys
	if changes.SharesChanged {
		s.defaultShare = changes.UnnamedShare
	}
	next, replaced := s.nextTable(current, changes)
	if next.pools.tree.Len() > 0 {
		s.predecessor = nil
	}
	s.current.Store(next)
	for _, p := range replaced {
		s.retire(p)
	}
	return nil
}

// reserve configures the budgets and the store of idempotency keys for changes, or leaves both as they
// were.
func (s *Set) reserve(current *table, changes config.Changes, node nodeSettings) error {
	pools := poolsAfter(current, changes)
	if changes.SharesChanged {
		if err := s.divide(pools, node.limits, changes.UnnamedShare); err != nil {
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

// nextTable makes the table that changes lead to, and lists the pools that it replaces or leaves out.
func (s *Set) nextTable(current *table, changes config.Changes) (next *table, replaced []*Pool) {
	next = &table{routes: changes.Routes}
	pools := current.pools.tree.Txn()
	for _, c := range changes.Pools {
		old := current.pools.get(c.Name)
		p := s.updatePool(c, old)
		if old != nil && old.Pool != p {
			replaced = append(replaced, old.Pool)
		}
		pools.Insert([]byte(c.Name), &poolEntry{p, s.keyed(c)})
	}
	for _, name := range changes.RemovedPools {
		if old, ok := pools.Delete([]byte(name)); ok {
			replaced = append(replaced, old.Pool)
		}
	}
	services := current.services.tree.Txn()
	for _, c := range changes.Services {
		services.Insert([]byte(c.Name), current.services.get(c.Name).configure(c))
	}
	for _, name := range changes.RemovedServices {
		services.Delete([]byte(name))
	}
	next.pools.tree, next.services.tree = pools.Commit(), services.Commit()
	if s.budgets == nil && len(changes.Pools) == 1 && len(changes.Services) == 1 {
		next.only = &Target{
			Service: next.services.get(changes.Services[0].Name),
			Pool:    next.pools.get(changes.Pools[0].Name).Pool,
		}
	}
	return next, replaced
}

// updatePool gives the pool for a configuration: the one in force if it can go on, else one that replaces
// it. Old is nil where there is none in force.
func (s *Set) updatePool(c *config.Pool, old *poolEntry) *Pool {
	if old == nil {
		var known *core.Snapshot
		if snapshot, ok := s.predecessor[c.Name]; ok {
			known = &snapshot // of the process before
		}
		p := s.newPool(c, nil, known)
		p.queue = newAdmissionQueue(c.Gate)
		s.clearFault(c.Name)
		return p
	}
	old.queue.configure(c.Gate)
	if old.runtime.update(c) {
		return old.Pool
	}
	snapshot := old.Snapshot()
	p := s.newPool(c, old.Pool, &snapshot)
	p.queue = old.queue // requests of the old pool still take up places
	s.clearFault(c.Name)
	return p
}

// poolsAfter are the configurations of the pools once changes are in force.
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

// divide divides the connections and the other shared resources among pools; share is the guaranteed part
// of those that name none. Pools that drain are guaranteed nothing, but may still connect. Called under
// the lock.
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

// configure gives the service under a new configuration. Requests that are admitted or wait stay so; a
// service that was not there, or whose tenants are told apart by another header, starts anew.
func (s *Service) configure(c *config.Service) *Service {
	if s == nil || s.TenantHeader != c.TenantHeader {
		return &Service{Name: c.Name, TenantHeader: c.TenantHeader, queue: newAdmissionQueue(c.Gate)}
	}
	s.queue.configure(c.Gate)
	return s
}
