package config

import (
	"cmp"
	"iter"
	"slices"

	"jasperpin/internal/configlog"
	"jasperpin/internal/limit"
	"jasperpin/internal/route"
)

// Assembly builds services and pools from the records of a configuration that a cluster has agreed on. It
// parses records with the code that reads a file, and stores only the parsed values.
//
// Each update is a plan that decides which of its records can be applied together with the current ones.
// An invalid record is rejected alone, and its previous value stays current. If the rejected record depends
// on another record, such as a route on its pool, it is retried when the other record changes. An Assembly is not safe for
// concurrent use.
type Assembly struct {
	nodeIndex, nodeCount int // index of the node, and number of nodes
	pools                map[string]*assembledPool
	services             map[string]*assembledService
	routes               *route.Table
	totals               poolTotals
	rejected             map[configlog.Key]rejection
	// dependents are the keys of rejected records, by the key of the record on which they depend.
	dependents map[configlog.Key]map[configlog.Key]bool
	// postponed are the keys of valid records that could not be applied because use failed. The records are retried
	// with the next update.
	postponed map[configlog.Key]bool
}

// assembledPool is a current pool, with the keys of the routes that lead to it.
type assembledPool struct {
	*Pool
	routeKeys map[configlog.Key]bool
}

// assembledService is a current service. Its parts that a Changes value shares are never modified.
type assembledService struct {
	head    Service // the service without its routes and tenants
	tenants map[string]limit.TenantSettings
	routes  map[string][]route.Rule
}

// rejection is the reason why the last value of a record is not applied.
type rejection struct {
	errors    Errors
	dependsOn configlog.Key // the record whose change may make this one valid, or ""
	value     []byte        // the record's value, if the record is to be retried
}

// Changes are the changes of an update.
type Changes struct {
	Pools           []*Pool    // new or changed pools
	RemovedPools    []string   // names of removed pools
	Services        []*Service // new or changed services, without their routes; see Routes
	RemovedServices []string   // names of removed services
	Routes          *route.Table
	// SharesChanged reports whether guaranteed shares change. DefaultShare is the share, 0 to 1, of each pool
	// without an explicit share; Pool.Share of such a pool is below 0.
	SharesChanged bool
	DefaultShare  float64
	// PoolCount is the number of all pools, WatchedPools that of the pools that use discovery.
	PoolCount, WatchedPools int
}

// NewAssembly returns an Assembly without records for node nodeIndex, from 0, of nodeCount nodes.
func NewAssembly(nodeIndex, nodeCount int) *Assembly {
	routes, _ := route.New(nil) // cannot fail without rules
	return &Assembly{
		nodeIndex: nodeIndex, nodeCount: nodeCount,
		pools: make(map[string]*assembledPool), services: make(map[string]*assembledService), routes: routes,
		rejected: make(map[configlog.Key]rejection), dependents: make(map[configlog.Key]map[configlog.Key]bool), postponed: make(map[configlog.Key]bool),
	}
}

// Update applies a change, except for its invalid records, whose previous values stay current; their
// errors are returned as Errors, sorted by key. If any record changes, Update calls use with the changes.
// If use fails, nothing is applied, Update returns the error of use, and the records are retried with the
// next update, which may have no records of its own.
func (a *Assembly) Update(c configlog.Change, use func(Changes) error) (Errors, error) {
	return a.update(c.Records, use)
}

// Replace applies a complete configuration, which replaces all earlier records. Otherwise it behaves like
// Update.
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

// update implements Update and Replace.
func (a *Assembly) update(records []configlog.Record, use func(Changes) error) (Errors, error) {
	if len(a.postponed) > 0 {
		p := a.plan(a.withPostponed(records))
		if len(p.accepted) == 0 || use(p.changes()) == nil {
			return p.commit(), nil
		}
		// The postponed records still cannot be applied; the records of this update alone may be.
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

// withPostponed returns the records of an update and the postponed records with other keys.
func (a *Assembly) withPostponed(records []configlog.Record) []configlog.Record {
	all := slices.Clone(records)
	for key := range a.postponed {
		if !slices.ContainsFunc(records, func(r configlog.Record) bool { return r.Key == key }) {
			all = append(all, configlog.Record{Key: key, Value: a.rejected[key].value})
		}
	}
	return all
}

// Rejected returns the number of records whose last value is not applied.
func (a *Assembly) Rejected() int { return len(a.rejected) }

// Check returns all errors of a change as Errors, or nil. It applies nothing.
func (a *Assembly) Check(c configlog.Change) error {
	p := a.plan(c.Records)
	p.rejectServicesWithoutRoutes()
	var all Errors
	for _, r := range p.rejected {
		if r.dependsOn != "" && p.invalid[r.dependsOn] {
			continue // caused by the error of the other record, which is reported
		}
		all = append(all, r.errors...)
	}
	if len(all) == 0 {
		return nil
	}
	return all.sortByKey()
}

// keys yields the keys of all current records.
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

// yieldPartKeys yields the keys of a service's routes and tenants, and reports whether to continue.
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

// tenantKey returns the key of a tenant's record; tenant is its name as in limit.GateSettings.Tenants.
func tenantKey(service, tenant string) configlog.Key {
	return configlog.TenantKey(service, cmp.Or(tenant, anyTenant))
}

// setRoute sets or deletes a route, and records it in the pools that it leads to.
func (a *Assembly) setRoute(r *parsedRecord) {
	s := a.services[r.service]
	if s == nil {
		return
	}
	if current := s.routes[r.name]; current != nil {
		a.eachTarget(current, func(p *assembledPool) { delete(p.routeKeys, r.Key) })
		delete(s.routes, r.name)
	}
	if !r.isDeletion() {
		s.routes[r.name] = r.rules
		a.eachTarget(r.rules, func(p *assembledPool) { p.routeKeys[r.Key] = true })
	}
}

// eachTarget calls do with each current pool that a route leads to.
func (a *Assembly) eachTarget(rules []route.Rule, do func(*assembledPool)) {
	for _, target := range rules[0].Targets { // all rules of a route have the same targets
		if p := a.pools[target.Pool]; p != nil {
			do(p)
		}
	}
}

// clearRejection removes the rejection of a record, if there is one.
func (a *Assembly) clearRejection(key configlog.Key) {
	old, ok := a.rejected[key]
	if !ok {
		return
	}
	delete(a.rejected, key)
	delete(a.postponed, key)
	delete(a.dependents[old.dependsOn], key)
	if len(a.dependents[old.dependsOn]) == 0 {
		delete(a.dependents, old.dependsOn)
	}
}
