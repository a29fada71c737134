package config

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"jasperpin/internal/configlog"
	"jasperpin/internal/route"
)

// newRejection returns a rejection of a record. A change of the record dependsOn, or "" for none, may make the
// rejected one valid.
func newRejection(key, dependsOn configlog.Key, format string, args ...any) *rejection {
	return &rejection{errors: Errors{{string(key), 0, fmt.Sprintf(format, args...)}}, dependsOn: dependsOn}
}

// conflicts returns the rejections of accepted records that conflict with other records.
func (p *plan) conflicts() map[configlog.Key]rejection {
	rejected := make(map[configlog.Key]rejection)
	for _, key := range p.keys {
		if r := p.conflictOf(key, p.accepted[key]); r != nil {
			rejected[key] = *r
		}
	}
	p.rejectShares(rejected)
	if len(rejected) == 0 {
		p.rejectRoutes(rejected)
	}
	return rejected
}

// conflictOf returns the rejection of a record that conflicts with other records, or nil.
func (p *plan) conflictOf(key configlog.Key, r *parsedRecord) *rejection {
	switch {
	case r.kind == configlog.Pool:
		return p.poolConflict(key, r)
	case r.kind == configlog.Service:
		return p.serviceConflict(key, r)
	case r.isDeletion():
		return nil
	}
	serviceKey := configlog.ServiceKey(r.service)
	service := p.serviceAfter(r.service)
	if service == nil {
		return newRejection(key, serviceKey, "is not allowed without %s, which does not exist", serviceKey)
	}
	if r.kind == configlog.Tenant {
		if service.TenantHeader == "" {
			return newRejection(key, serviceKey, "is in a service whose tenant_header %s", noTenantHeader)
		}
		return nil
	}
	return p.routeConflict(key, r)
}

// routeConflict returns the rejection of a route to a pool that does not exist or lacks the route's class,
// or nil.
func (p *plan) routeConflict(key configlog.Key, r *parsedRecord) *rejection {
	for _, target := range r.rules[0].Targets {
		poolKey := configlog.PoolKey(target.Pool)
		pool := p.poolAfter(target.Pool)
		if pool == nil {
			return newRejection(key, poolKey, "pool %q is not a pool of this configuration", target.Pool)
		}
		if missing := pool.missingClasses(r.rules[0]); len(missing) > 0 {
			return newRejection(key, poolKey, "pool %s", missing[0])
		}
	}
	return nil
}

// poolConflict returns the rejection of a pool's change that an unchanged route conflicts with, or nil.
func (p *plan) poolConflict(key configlog.Key, r *parsedRecord) *rejection {
	current := p.pools[r.name]
	if current == nil {
		return nil
	}
	for _, routeKey := range slices.Sorted(maps.Keys(current.routeKeys)) {
		if p.accepted[routeKey] != nil {
			continue
		}
		if r.isDeletion() {
			return newRejection(key, routeKey, "cannot be deleted while %s leads to it", routeKey)
		}
		_, service, name, _ := routeKey.Split() // cannot fail: the key was split when the record was accepted
		if missing := r.pool.missingClasses(p.services[service].routes[name][0]); len(missing) > 0 {
			return newRejection(key, routeKey, "class conflicts with %s: %s", routeKey, missing[0])
		}
	}
	return nil
}

// serviceConflict returns the rejection of a service's change that an unchanged tenant or route conflicts
// with, or nil.
func (p *plan) serviceConflict(key configlog.Key, r *parsedRecord) *rejection {
	current := p.services[r.name]
	if current == nil || !r.isDeletion() && r.head.TenantHeader != "" {
		return nil
	}
	for name := range current.tenants {
		tenant := tenantKey(r.name, name)
		if p.accepted[tenant] != nil {
			continue
		}
		if r.isDeletion() {
			return newRejection(key, tenant, "cannot be deleted without %s", tenant)
		}
		return newRejection(key, tenant, "tenant_header %s", noTenantHeader)
	}
	if !r.isDeletion() {
		return nil
	}
	for name := range current.routes {
		if route := configlog.RouteKey(r.name, name); p.accepted[route] == nil {
			return newRejection(key, route, "cannot be deleted without %s", route)
		}
	}
	return nil
}

// Guaranteed shares are added as integers, so that the sum of the same pools does not depend on their
// order.
const (
	// wholeShare is the integer that represents a share of 1, all of the limits.
	wholeShare = 1e12
	// wholeShareSlack is the rounding error by which a sum of shares may exceed wholeShare.
	wholeShareSlack = 1e3
)

// poolTotals are totals over all pools.
type poolTotals struct {
	shares  int64 // sum of the explicit guaranteed shares, in units of 1/wholeShare
	unnamed int   // number of pools without an explicit share
	pools   int
	watched int // number of pools that use discovery
}

// add adds a pool to the totals (times 1) or subtracts it (times -1).
func (t *poolTotals) add(p *Pool, times int) {
	if share, named := p.shareOfWhole(); named {
		t.shares += int64(times) * share
	} else {
		t.unnamed += times
	}
	t.pools += times
	if p.Discovery != "" {
		t.watched += times
	}
}

// shareOfUnnamed returns the guaranteed share, 0 to 1, of each pool without an explicit share.
func (t *poolTotals) shareOfUnnamed() float64 {
	return shareOfUnnamed(float64(t.shares)/wholeShare, t.unnamed)
}

// rejectShares rejects pools, the last ones first, until the sum of the guaranteed shares is at most 1.
func (p *plan) rejectShares(rejected map[configlog.Key]rejection) {
	shares := p.totalsAfter().shares
	for _, key := range slices.Backward(p.keys) {
		if shares <= wholeShare+wholeShareSlack {
			return
		}
		r := p.accepted[key]
		if r.kind != configlog.Pool || r.isDeletion() {
			continue
		}
		more, _ := r.pool.shareOfWhole()
		if current := p.pools[r.name]; current != nil {
			before, _ := current.shareOfWhole()
			more -= before
		}
		if more > 0 {
			rejected[key] = *newRejection(key, "", "share is %g: the shares of all pools add up to %.3g with it, want at most 1, since each is guaranteed",
				r.pool.Share, float64(shares)/wholeShare)
			shares -= more
		}
	}
}

// rejectRoutes builds the route table, and rejects the routes that are invalid in it.
func (p *plan) rejectRoutes(rejected map[configlog.Key]rejection) {
	removed, added := p.changedRules()
	p.routes = p.Assembly.routes
	if len(removed)+len(added) == 0 {
		return
	}
	var err error
	if p.routes, err = p.Assembly.routes.Change(removed, added); err == nil {
		return
	}
	for _, e := range joinedErrors(err) {
		rule := (*route.RuleError)(nil)
		if !errors.As(e, &rule) {
			continue
		}
		key := configlog.Key(rule.Origin)
		r := newRejection(key, "", "%v", rule.Err)
		if same := (*route.DuplicateRuleError)(nil); errors.As(e, &same) {
			r.dependsOn = configlog.Key(same.Origin)
		}
		rejected[key] = *r
	}
}

// changedRules returns the rules that the plan removes from the route table, and the rules that it adds.
func (p *plan) changedRules() (removed, added []*route.Rule) {
	for _, key := range p.keys {
		r := p.accepted[key]
		if r.kind != configlog.Route {
			continue
		}
		if s := p.services[r.service]; s != nil {
			removed = appendPointers(removed, s.routes[r.name])
		}
		added = appendPointers(added, r.rules)
	}
	return removed, added
}

// appendPointers appends a pointer to each rule.
func appendPointers(to []*route.Rule, rules []route.Rule) []*route.Rule {
	for i := range rules {
		to = append(to, &rules[i])
	}
	return to
}

// rejectServicesWithoutRoutes rejects services that have no route after the plan, as the file reader does.
// A service with a route that is rejected for an error of its own is not rejected.
func (p *plan) rejectServicesWithoutRoutes() {
	for service, count := range p.routeCounts() {
		key := configlog.ServiceKey(service)
		if _, known := p.rejected[key]; count == 0 && !known && p.serviceAfter(service) != nil {
			p.rejected[key] = *newRejection(key, "", "route %s", noRoute)
		}
	}
	for invalidKey := range p.invalid {
		kind, service, _, err := invalidKey.Split()
		if err != nil || kind != configlog.Route {
			continue
		}
		if key := configlog.ServiceKey(service); p.accepted[key] != nil {
			delete(p.rejected, key)
		}
	}
}

// routeCounts returns the number of routes, after the plan, of each service that the plan changes.
func (p *plan) routeCounts() map[string]int {
	counts := make(map[string]int)
	begin := func(service string) {
		if _, begun := counts[service]; begun {
			return
		}
		counts[service] = 0
		if current := p.services[service]; current != nil {
			counts[service] = len(current.routes)
		}
	}
	for _, key := range p.keys {
		switch r := p.accepted[key]; r.kind {
		case configlog.Service:
			begin(r.name)
		case configlog.Route:
			begin(r.service)
			current := p.services[r.service]
			exists := current != nil && current.routes[r.name] != nil
			if exists && r.isDeletion() {
				counts[r.service]--
			} else if !exists && !r.isDeletion() {
				counts[r.service]++
			}
		}
	}
	return counts
}
