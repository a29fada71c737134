package config

import (
	"errors"
	"maps"
	"slices"

	"jasperpin/internal/configlog"
	"jasperpin/internal/limit"
	"jasperpin/internal/route"
)

// plan is what becomes of the records of an update beside those in force: which are accepted, and
// why the others are rejected. Commit puts it in force.
type plan struct {
	*Assembly
	considered map[configlog.Key]bool // records of the update, and those that waited for them
	accepted   map[configlog.Key]*parsedRecord
	keys       []configlog.Key // of accepted, in order
	rejected   map[configlog.Key]rejection
	unreadable map[configlog.Key]bool // rejected for what they say by themselves
	routes     *route.Table           // with the accepted routes
	// tenants are, from changes on, those of the services that change.
	tenants map[string]map[string]limit.TenantSettings
	// ownTenants are services whose entry in tenants is the plan's own, and not that in force.
	ownTenants map[string]bool
}

// plan finds which of some records, and of those that have waited for them, can be in force.
func (a *Assembly) plan(records []configlog.Record) *plan {
	p := &plan{
		Assembly: a, considered: make(map[configlog.Key]bool, len(records)),
		accepted: make(map[configlog.Key]*parsedRecord, len(records)),
		rejected: make(map[configlog.Key]rejection), unreadable: make(map[configlog.Key]bool),
		ownTenants: make(map[string]bool),
	}
	p.parseAll(p.withWaiting(records))
	for {
		p.keys = slices.Sorted(maps.Keys(p.accepted))
		rejected := p.conflicts()
		if len(rejected) == 0 {
			return p
		}
		p.reject(rejected) // and with it, perhaps, what others need
	}
}

// withWaiting adds the records that waited for some records, and those that waited for these in turn.
func (p *plan) withWaiting(records []configlog.Record) []configlog.Record {
	all := slices.Clone(records)
	for _, r := range records {
		p.considered[r.Key] = true
	}
	for i := 0; i < len(all); i++ { // all grows meanwhile
		for key := range p.waiting[all[i].Key] {
			if !p.considered[key] {
				p.considered[key] = true
				all = append(all, configlog.Record{Key: key, Value: p.Assembly.rejected[key].value})
			}
		}
	}
	return all
}

// parseAll accepts the records that can be read and are not in force as they are.
func (p *plan) parseAll(records []configlog.Record) {
	for _, rec := range records {
		r, err := p.parse(rec)
		if es := (Errors)(nil); errors.As(err, &es) {
			p.rejected[rec.Key] = rejection{errors: es}
			p.unreadable[rec.Key] = true
			continue
		}
		if !p.isInForce(r) {
			p.accepted[rec.Key] = r
		}
	}
}

// reject moves records from the accepted to the rejected. Those that need another one keep their
// values, to be tried again.
func (p *plan) reject(rejected map[configlog.Key]rejection) {
	for key, r := range rejected {
		if r.needs != "" {
			r.value = p.accepted[key].Value
		}
		p.rejected[key] = r
		delete(p.accepted, key)
	}
}

// poolAfter returns a pool as it is after the plan, or nil.
func (p *plan) poolAfter(name string) *Pool {
	if r := p.accepted[configlog.PoolKey(name)]; r != nil {
		return r.pool
	}
	if was := p.pools[name]; was != nil {
		return was.Pool
	}
	return nil
}

// serviceAfter returns a service, without tenants and routes, as it is after the plan, or nil.
func (p *plan) serviceAfter(name string) *Service {
	if r := p.accepted[configlog.ServiceKey(name)]; r != nil {
		if r.isDeletion() {
			return nil
		}
		return &r.head
	}
	if was := p.services[name]; was != nil {
		return &was.head
	}
	return nil
}

// totalsAfter returns the totals of all pools as they are after the plan.
func (p *plan) totalsAfter() poolTotals {
	totals := p.totals
	for _, r := range p.accepted {
		if r.kind != configlog.Pool {
			continue
		}
		if was := p.pools[r.name]; was != nil {
			totals.add(was.Pool, -1)
		}
		if !r.isDeletion() {
			totals.add(r.pool, 1)
		}
	}
	return totals
}

// changes returns what the plan changes.
func (p *plan) changes() Changes {
	totals := p.totalsAfter()
	d := Changes{Routes: p.routes, UnnamedShare: totals.shareOfUnnamed(), PoolCount: totals.pools, WatchedPools: totals.watched}
	p.tenants = make(map[string]map[string]limit.TenantSettings)
	for _, key := range p.keys {
		switch r := p.accepted[key]; r.kind {
		case configlog.Pool:
			p.addPool(&d, r)
		case configlog.Service:
			if r.isDeletion() {
				d.RemovedServices = append(d.RemovedServices, r.name)
				continue
			}
			p.tenants[r.name] = nil
			if was := p.services[r.name]; was != nil {
				p.tenants[r.name] = was.tenants
			}
		case configlog.Tenant:
			p.setTenant(r)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.tenants)) {
		s := *p.serviceAfter(name)
		s.Gate.Tenants = p.tenants[name]
		d.Services = append(d.Services, &s)
	}
	return d
}

// addPool adds a pool's change to the Changes.
func (p *plan) addPool(d *Changes, r *parsedRecord) {
	if was := p.pools[r.name]; was == nil || r.isDeletion() || was.Share != r.pool.Share {
		d.SharesChanged = true
	}
	if r.isDeletion() {
		d.RemovedPools = append(d.RemovedPools, r.name)
	} else {
		d.Pools = append(d.Pools, r.pool)
	}
}

// setTenant sets a tenant in the plan's copy of its service's tenants: those in force are shared with
// what earlier Changes share.
func (p *plan) setTenant(r *parsedRecord) {
	if p.serviceAfter(r.service) == nil {
		return // it goes with its service
	}
	if !p.ownTenants[r.service] {
		p.ownTenants[r.service] = true
		tenants := make(map[string]limit.TenantSettings)
		if was := p.services[r.service]; was != nil {
			maps.Copy(tenants, was.tenants)
		}
		p.tenants[r.service] = tenants
	}
	if r.isDeletion() {
		delete(p.tenants[r.service], r.tenantName())
	} else {
		p.tenants[r.service][r.tenantName()] = r.tenant
	}
}

// commit puts the plan in force, and returns what is wrong with the records that are not.
func (p *plan) commit() Errors {
	a := p.Assembly
	a.totals = p.totalsAfter()
	if p.routes != nil {
		a.routes = p.routes
	}
	p.commitPoolsAndServices()
	for service, tenants := range p.tenants {
		a.services[service].tenants = tenants
	}
	for _, key := range p.keys {
		if r := p.accepted[key]; r.kind == configlog.Route {
			a.setRoute(r)
		}
	}
	for _, key := range p.keys { // only now: a service's routes have left their pools
		if r := p.accepted[key]; r.kind == configlog.Service && r.isDeletion() {
			delete(a.services, r.name)
		}
	}
	for key := range p.considered {
		a.forgetRejection(key)
	}
	p.recordRejections()
	return p.errors()
}

// commitPoolsAndServices puts pools and services in force, but for the deletion of services.
func (p *plan) commitPoolsAndServices() {
	a := p.Assembly
	for _, key := range p.keys {
		r := p.accepted[key]
		switch {
		case r.kind == configlog.Pool && r.isDeletion():
			delete(a.pools, r.name)
		case r.kind == configlog.Pool:
			if was := a.pools[r.name]; was != nil {
				was.Pool = r.pool
			} else {
				a.pools[r.name] = &assembledPool{r.pool, make(map[configlog.Key]bool)}
			}
		case r.kind == configlog.Service && !r.isDeletion():
			if was := a.services[r.name]; was != nil {
				was.head = r.head
			} else {
				a.services[r.name] = &assembledService{head: r.head, routes: make(map[string][]route.Rule)}
			}
		}
	}
}

// postpone has the plan tried again with the next update, since it could not be used.
func (p *plan) postpone(err error) {
	for key := range p.considered {
		p.forgetRejection(key)
	}
	for key, r := range p.accepted {
		p.Assembly.rejected[key] = rejection{errors: Errors{{string(key), 0, err.Error()}}, value: r.Value}
		p.unused[key] = true
	}
	p.recordRejections()
}

// recordRejections notes the plan's rejections in the Assembly.
func (p *plan) recordRejections() {
	for key, r := range p.rejected {
		p.Assembly.rejected[key] = r
		if r.needs == "" {
			continue
		}
		if p.waiting[r.needs] == nil {
			p.waiting[r.needs] = make(map[configlog.Key]bool)
		}
		p.waiting[r.needs][key] = true
	}
}

// errors returns what is wrong with the records that the plan rejects.
func (p *plan) errors() (all Errors) {
	for _, r := range p.rejected {
		all = append(all, r.errors...)
	}
	return all.sortByKey()
}
