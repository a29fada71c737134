package config

import (
	"cmp"
	"iter"
	"slices"

	"jasperpin/internal/configlog"
	"jasperpin/internal/limit"
	"jasperpin/internal/route"
)

// Assembly makes services and pools of the records of an agreed configuration. It parses them with the
// code that reads a file, and keeps the parsed forms alone.
//
// Each update is a plan: which of its records can be put in force beside all others. A record that
// cannot is rejected alone, and stays as it was before; where it needs another record, such as the
// pool of a route, it is tried again with that. An Assembly is not safe for concurrent use.
type Assembly struct {
	number, nodes int // of the node
	pools         map[string]*assembledPool
	services      map[string]*assembledService
	routes        *route.Table
	totals        poolTotals
	rejected      map[configlog.Key]rejection
	// waiting are rejected records by the record that they need.
	waiting map[configlog.Key]map[configlog.Key]bool
	// unused are records that could not be used, although nothing is wrong with them: they are tried
	// again with the next update.
	unused map[configlog.Key]bool
}

// assembledPool is a pool in force, with the routes that lead to it.
type assembledPool struct {
	*Pool
	users map[configlog.Key]bool
}

// assembledService is a service in force. What a Changes value shares of it never changes.
type assembledService struct {
	head    Service // without routes and tenants
	tenants map[string]limit.TenantSettings
	routes  map[string][]route.Rule
}

// rejection is why a record is not in force as it was last written.
type rejection struct {
	errors Errors
	needs  configlog.Key // the record without which it cannot be in force, or ""
	value  []byte        // of the record, where it is to be tried again
}

// Changes is what an update changes.
type Changes struct {
	Pools           []*Pool    // new or changed
	RemovedPools    []string   // by name
	Services        []*Service // new or changed, without their routes
	RemovedServices []string   // by name
	Routes          *route.Table
	// SharesChanged says that guaranteed parts change. Share is that of each pool that names none, whose
	// own is below 0.
	SharesChanged bool
	UnnamedShare  float64
	// PoolCount is the number of all pools, Watched that of pools that watch a discovery.
	PoolCount, WatchedPools int
}

// NewAssembly returns an Assembly without records, for the node of a number among so many.
func NewAssembly(number, nodes int) *Assembly {
	routes, _ := route.New(nil) // without rules none can be wrong
	return &Assembly{
		number: number, nodes: nodes,
		pools: make(map[string]*assembledPool), services: make(map[string]*assembledService), routes: routes,
		rejected: make(map[configlog.Key]rejection), waiting: make(map[configlog.Key]map[configlog.Key]bool), unused: make(map[configlog.Key]bool),
	}
}

// Update puts a change in force, as far as its records can be. It calls use with what changes, if
// anything does. If use fails nothing has changed; its error is returned, and what changes is tried
// again with the next update, which may be one without records. The Errors are of records that stay as
// they were, by key.
func (a *Assembly) Update(c configlog.Change, use func(Changes) error) (Errors, error) {
	return a.update(c.Records, use)
}

// Replace puts a whole configuration in force, in place of all records before. Otherwise it is Update.
func (a *Assembly) Replace(records iter.Seq[configlog.Record], use func(Changes) error) (Errors, error) {
	deleted := make(map[configlog.Key]bool)
	for key := range a.keys() {
		deleted[key] = true
	}
	for key := range a.rejected {
		deleted[key] = true
	}
	var all []configlog.Record
	for r := range records {
		delete(deleted, r.Key)
		all = append(all, r)
	}
	for key := range deleted {
		all = append(all, configlog.Record{Key: key})
	}
	return a.update(all, use)
}

func (a *Assembly) update(records []configlog.Record, use func(Changes) error) (Errors, error) {
	if len(a.unused) > 0 {
		p := a.plan(a.withUnused(records))
		if len(p.accepted) == 0 || use(p.changes()) == nil {
			return p.commit(), nil
		}
		// They still cannot be used: the records of this update alone may.
	}
	p := a.plan(records)
	if len(p.accepted) > 0 {
		if err := use(p.changes()); err != nil {
			p.postpone(err)
			return nil, err
		}
	}
	return p.commit(), nil
}

// withUnused adds the unused records to those of an update that are not of the same keys.
func (a *Assembly) withUnused(records []configlog.Record) []configlog.Record {
	all := slices.Clone(records)
	for key := range a.unused {
		if !slices.ContainsFunc(records, func(r configlog.Record) bool { return r.Key == key }) {
			all = append(all, configlog.Record{Key: key, Value: a.rejected[key].value})
		}
	}
	return all
}

// Rejected returns the number of records that are not in force as they were last written.
func (a *Assembly) Rejected() int { return len(a.rejected) }

// Check returns all that is wrong with a change as Errors, or nil. It puts nothing in force.
func (a *Assembly) Check(c configlog.Change) error {
	p := a.plan(c.Records)
	p.rejectServicesWithoutRoutes()
	var all Errors
	for _, r := range p.rejected {
		if r.needs != "" && p.unreadable[r.needs] {
			continue // it follows from the other record's mistake, which is reported
		}
		all = append(all, r.errors...)
	}
	if len(all) == 0 {
		return nil
	}
	return all.sortByKey()
}

// keys are those of all records in force.
func (a *Assembly) keys() iter.Seq[configlog.Key] {
	return func(yield func(configlog.Key) bool) {
		for name := range a.pools {
			if !yield(configlog.PoolKey(name)) {
				return
			}
		}
		for name, s := range a.services {
			if !yield(configlog.ServiceKey(name)) || !s.yieldPartKeys(name, yield) {
				return
			}
		}
	}
}

// yieldPartKeys yields the keys of a service's routes and tenants, and reports whether to go on.
func (s *assembledService) yieldPartKeys(name string, yield func(configlog.Key) bool) bool {
	for route := range s.routes {
		if !yield(configlog.RouteKey(name, route)) {
			return false
		}
	}
	for tenant := range s.tenants {
		if !yield(tenantKey(name, tenant)) {
			return false
		}
	}
	return true
}

// tenantKey is the key of a tenant's record, by its name among limit.TenantSettings.
func tenantKey(service, tenant string) configlog.Key {
	return configlog.TenantKey(service, cmp.Or(tenant, anyTenant))
}

// setRoute puts a route in force or deletes it, and notes it with the pools that it leads to.
func (a *Assembly) setRoute(r *parsedRecord) {
	s := a.services[r.service]
	if s == nil {
		return
	}
	if was := s.routes[r.name]; was != nil {
		a.eachTarget(was, func(p *assembledPool) { delete(p.users, r.Key) })
		delete(s.routes, r.name)
	}
	if !r.isDeletion() {
		s.routes[r.name] = r.rules
		a.eachTarget(r.rules, func(p *assembledPool) { p.users[r.Key] = true })
	}
}

// eachTarget calls do with the pools in force that a route leads to.
func (a *Assembly) eachTarget(rules []route.Rule, do func(*assembledPool)) {
	for _, target := range rules[0].Targets { // all of a route's rules have the same
		if p := a.pools[target.Pool]; p != nil {
			do(p)
		}
	}
}

// forgetRejection forgets that a record was rejected.
func (a *Assembly) forgetRejection(key configlog.Key) {
	was, ok := a.rejected[key]
	if !ok {
		return
	}
	delete(a.rejected, key)
	delete(a.unused, key)
	delete(a.waiting[was.needs], key)
	if len(a.waiting[was.needs]) == 0 {
		delete(a.waiting, was.needs)
	}
}
