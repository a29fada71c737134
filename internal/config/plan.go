package config

import (
	"errors"
	"maps"
	"slices"

	"jasperpin/internal/configlog"
	"jasperpin/internal/limit"
	"jasperpin/internal/route"
)

// plan is the result of checking the records of an update against the current ones: the accepted records,
// and the rejected ones with the reasons. commit applies it.
type plan struct {
	*Assembly
	considered map[configlog.Key]bool // records of the update, and rejected records that depend on them
	accepted   map[configlog.Key]*parsedRecord
	keys       []configlog.Key // keys of accepted, sorted
	rejected   map[configlog.Key]rejection
	invalid    map[configlog.Key]bool // records rejected for errors of their own
	routes     *route.Table           // route table with the accepted routes
	// tenants are the tenants, by name, of each service that changes, by name. The method changes sets it.
	tenants map[string]map[string]limit.TenantSettings
	// copiedTenants are the names of services whose entry in tenants is a copy of the current map, which the plan
	// may modify.
	copiedTenants map[string]bool
}

// plan determines which records of an update, and which rejected records that depend on them, can be applied.
func (a *Assembly) plan(records []configlog.Record) *plan {
	p := &plan{
		Assembly: a, considered: make(map[configlog.Key]bool, len(records)),
		accepted: make(map[configlog.Key]*parsedRecord, len(records)),
		rejected: make(map[configlog.Key]rejection), invalid: make(map[configlog.Key]bool),
		copiedTenants: make(map[string]bool),
	}
	p.parseAll(p.withDependents(records))
	for {
		p.keys = slices.Sorted(maps.Keys(p.accepted))
		rejected := p.conflicts()
		if len(rejected) == 0 {
			return p
		}
		p.reject(rejected) // accepted records that depend on these may conflict now
	}
}

// withDependents returns some records and the rejected records that depend on them, directly or indirectly.
func (p *plan) withDependents(records []configlog.Record) []configlog.Record {
	all := slices.Clone(records)
	for _, r := range records {
		p.considered[r.Key] = true
	}
	for i := 0; i < len(all); i++ { // all grows in the loop
		for key := range p.dependents[all[i].Key] {
			if !p.considered[key] {
				p.considered[key] = true
				all = append(all, configlog.Record{Key: key, Value: p.Assembly.rejected[key].value})
			}
		}
	}
	return all
}

// parseAll accepts the valid records that differ from the current ones.
func (p *plan) parseAll(records []configlog.Record) {
	for _, rec := range records {
		r, err := p.parse(rec)
		if es := (Errors)(nil); errors.As(err, &es) {
			p.rejected[rec.Key] = rejection{errors: es}
			p.invalid[rec.Key] = true
			continue
		}
		if !p.isCurrent(r) {
			p.accepted[rec.Key] = r
		}
	}
}

// reject moves records from accepted to rejected. Records that depend on another record keep their values,
// to be retried.
func (p *plan) reject(rejected map[configlog.Key]rejection) {
	for key, r := range rejected {
		if r.dependsOn != "" {
			r.value = p.accepted[key].Value
		}
		p.rejected[key] = r
		delete(p.accepted, key)
	}
}

// poolAfter returns a pool as it will be once the plan is applied, or nil if it will not exist.
func (p *plan) poolAfter(name string) *Pool {
	if r := p.accepted[configlog.PoolKey(name)]; r != nil {
		return r.pool
	}
	if current := p.pools[name]; current != nil {
		return current.Pool
	}
	return nil
}

// serviceAfter returns a service, without its tenants and routes, as it will be once the plan is applied, or
// nil if it will not exist.
func (p *plan) serviceAfter(name string) *Service {
	if r := p.accepted[configlog.ServiceKey(name)]; r != nil {
		if r.isDeletion() {
			return nil
		}
		return &r.head
	}
	if current := p.services[name]; current != nil {
		return &current.head
	}
	return nil
}

// totalsAfter returns the totals over all pools as they will be once the plan is applied.
func (p *plan) totalsAfter() poolTotals {
	totals := p.totals
	for _, r := range p.accepted {
		if r.kind != configlog.Pool {
			continue
		}
		if current := p.pools[r.name]; current != nil {
			totals.add(current.Pool, -1)
		}
		if !r.isDeletion() {
			totals.add(r.pool, 1)
		}
	}
	return totals
}

// changes returns the changes of the plan, and sets tenants.
func (p *plan) changes() Changes {
	totals := p.totalsAfter()
	changes := Changes{Routes: p.routes, DefaultShare: totals.shareOfUnnamed(), PoolCount: totals.pools, WatchedPools: totals.watched}
	p.tenants = make(map[string]map[string]limit.TenantSettings)
	for _, key := range p.keys {
		switch r := p.accepted[key]; r.kind {
		case configlog.Pool:
			p.addPool(&changes, r)
		case configlog.Service:
			if r.isDeletion() {
				changes.RemovedServices = append(changes.RemovedServices, r.name)
				continue
			}
			p.tenants[r.name] = nil
			if current := p.services[r.name]; current != nil {
				p.tenants[r.name] = current.tenants
			}
		case configlog.Tenant:
			p.setTenant(r)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.tenants)) {
		s := *p.serviceAfter(name)
		s.Gate.Tenants = p.tenants[name]
		changes.Services = append(changes.Services, &s)
	}
	return changes
}

// addPool adds the change of a pool to changes.
func (p *plan) addPool(d *Changes, r *parsedRecord) {
	if current := p.pools[r.name]; current == nil || r.isDeletion() || current.Share != r.pool.Share {
		d.SharesChanged = true
	}
	if r.isDeletion() {
		d.RemovedPools = append(d.RemovedPools, r.name)
	} else {
		d.Pools = append(d.Pools, r.pool)
	}
}

// setTenant sets or deletes a tenant in the plan's copy of its service's tenants. The current map must not
// be modified, since earlier Changes share it.
func (p *plan) setTenant(r *parsedRecord) {
	if p.serviceAfter(r.service) == nil {
		return // deleted together with its service
	}
	if !p.copiedTenants[r.service] {
		p.copiedTenants[r.service] = true
		tenants := make(map[string]limit.TenantSettings)
		if current := p.services[r.service]; current != nil {
			maps.Copy(tenants, current.tenants)
		}
		p.tenants[r.service] = tenants
	}
	if r.isDeletion() {
		delete(p.tenants[r.service], r.tenantName())
	} else {
		p.tenants[r.service][r.tenantName()] = r.tenant
	}
}

// commit applies the plan, and returns the errors of the rejected records.
func (p *plan) commit() Errors {
	assembly := p.Assembly
	assembly.totals = p.totalsAfter()
	if p.routes != nil {
		assembly.routes = p.routes
	}
	p.commitPoolsAndServices()
	for service, tenants := range p.tenants {
		assembly.services[service].tenants = tenants
	}
	for _, key := range p.keys {
		if r := p.accepted[key]; r.kind == configlog.Route {
			assembly.setRoute(r)
		}
	}
	for _, key := range p.keys { // after setRoute has removed the services' routes from their pools
		if r := p.accepted[key]; r.kind == configlog.Service && r.isDeletion() {
			delete(assembly.services, r.name)
		}
	}
	for key := range p.considered {
		assembly.clearRejection(key)
	}
	p.recordRejections()
	return p.errors()
}

// commitPoolsAndServices applies the changes of pools and services, except for the deletion of services.
func (p *plan) commitPoolsAndServices() {
	assembly := p.Assembly
	for _, key := range p.keys {
		r := p.accepted[key]
		switch {
		case r.kind == configlog.Pool && r.isDeletion():
			delete(assembly.pools, r.name)
		case r.kind == configlog.Pool:
			if current := assembly.pools[r.name]; current != nil {
				current.Pool = r.pool
			} else {
				assembly.pools[r.name] = &assembledPool{r.pool, make(map[configlog.Key]bool)}
			}
		case r.kind == configlog.Service && !r.isDeletion():
			if current := assembly.services[r.name]; current != nil {
				current.head = r.head
			} else {
				assembly.services[r.name] = &assembledService{head: r.head, routes: make(map[string][]route.Rule)}
			}
		}
	}
}

// postpone marks the accepted records for a retry with the next update, after use has failed with err.
func (p *plan) postpone(err error) {
	for key := range p.considered {
		p.clearRejection(key)
	}
	for key, r := range p.accepted {
		p.Assembly.rejected[key] = rejection{errors: Errors{{string(key), 0, err.Error()}}, value: r.Value}
		p.postponed[key] = true
	}
	p.recordRejections()
}

// recordRejections adds the plan's rejections to the Assembly.
func (p *plan) recordRejections() {
	for key, r := range p.rejected {
		p.Assembly.rejected[key] = r
		if r.dependsOn == "" {
			continue
		}
		if p.dependents[r.dependsOn] == nil {
			p.dependents[r.dependsOn] = make(map[configlog.Key]bool)
		}
		p.dependents[r.dependsOn][key] = true
	}
}

// errors returns the errors of the rejected records, sorted by key.
func (p *plan) errors() (all Errors) {
	for _, r := range p.rejected {
		all = append(all, r.errors...)
	}
	return all.sortByKey()
}
