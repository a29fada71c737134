package config

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"jasperpin/internal/configlog"
	"jasperpin/internal/route"
)

// rejectFor returns a rejection of a record for what stands in another, which it needs to change, or
// "".
func rejectFor(key, needs configlog.Key, format string, args ...any) *rejection {
	return &rejection{errors: Errors{{string(key), 0, fmt.Sprintf(format, args...)}}, needs: needs}
}

// conflicts returns the accepted records that do not go with the others.
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

// conflictOf returns why a record does not go with the others, or nil.
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
		return rejectFor(key, serviceKey, "is not allowed without %s, which is not there", serviceKey)
	}
	if r.kind == configlog.Tenant {
		if service.TenantHeader == "" {
			return rejectFor(key, serviceKey, "is in a service whose tenant_header %s", noTenantHeader)
		}
		return nil
	}
	return p.routeConflict(key, r)
}

// routeConflict returns which pool of a route is not there or does not have its classes.
func (p *plan) routeConflict(key configlog.Key, r *parsedRecord) *rejection {
	for _, target := range r.rules[0].Targets {
		poolKey := configlog.PoolKey(target.Pool)
		pool := p.poolAfter(target.Pool)
		if pool == nil {
			return rejectFor(key, poolKey, "pool %q is no pool of this configuration", target.Pool)
		}
		if missing := pool.missingClasses(r.rules[0]); len(missing) > 0 {
			return rejectFor(key, poolKey, "pool %s", missing[0])
		}
	}
	return nil
}

// poolConflict returns which route that stays as it is needs a pool as it was.
func (p *plan) poolConflict(key configlog.Key, r *parsedRecord) *rejection {
	was := p.pools[r.name]
	if was == nil {
		return nil
	}
	for _, user := range slices.Sorted(maps.Keys(was.users)) {
		if p.accepted[user] != nil {
			continue
		}
		if r.isDeletion() {
			return rejectFor(key, user, "is to be deleted, and %s leads to it", user)
		}
		_, service, name, _ := user.Split() // it was split when it was accepted
		if missing := r.pool.missingClasses(p.services[service].routes[name][0]); len(missing) > 0 {
			return rejectFor(key, user, "class does not go with %s: %s", user, missing[0])
		}
	}
	return nil
}

// serviceConflict returns which tenant or route that stays as it is needs a service as it was.
func (p *plan) serviceConflict(key configlog.Key, r *parsedRecord) *rejection {
	was := p.services[r.name]
	if was == nil || !r.isDeletion() && r.head.TenantHeader != "" {
		return nil
	}
	for name := range was.tenants {
		tenant := tenantKey(r.name, name)
		if p.accepted[tenant] != nil {
			continue
		}
		if r.isDeletion() {
			return rejectFor(key, tenant, "is to be deleted, and %s is not", tenant)
		}
		return rejectFor(key, tenant, "tenant_header %s", noTenantHeader)
	}
	if !r.isDeletion() {
		return nil
	}
	for name := range was.routes {
		if route := configlog.RouteKey(r.name, name); p.accepted[route] == nil {
			return rejectFor(key, route, "is to be deleted, and %s is not", route)
		}
	}
	return nil
}

// Guaranteed parts are added up as whole numbers, so that the same pools have the same sum in any
// order.
const (
	// wholeShare is the number that stands for all of the limits.
	wholeShare = 1e12
	// wholeShareSlack is by how much rounding may exceed it.
	wholeShareSlack = 1e3
)

// poolTotals are totals over all pools.
type poolTotals struct {
	shares  int64 // named guaranteed parts, of wholeShare
	unnamed int   // pools that name no share
	pools   int
	watched int // pools that watch a discovery
}

// add adds a pool's part of the totals so many times, which may be -1.
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

// shareOfUnnamed is the guaranteed part, 0 to 1, of each pool that names none.
func (t *poolTotals) shareOfUnnamed() float64 {
	return shareOfUnnamed(float64(t.shares)/wholeShare, t.unnamed)
}

// rejectShares rejects pools, the last ones first, that name more than there is to be guaranteed.
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
		if was := p.pools[r.name]; was != nil {
			before, _ := was.shareOfWhole()
			more -= before
		}
		if more > 0 {
			rejected[key] = *rejectFor(key, "", "share is %g: all pools' shares add up to %.3g with it, want 1 at the most, since each is guaranteed",
				r.pool.Share, float64(shares)/wholeShare)
			shares -= more
		}
	}
}

// rejectRoutes makes the route table, and rejects the routes that it cannot take.
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
		r := rejectFor(key, "", "%v", rule.Err)
		if same := (*route.DuplicateRuleError)(nil); errors.As(e, &same) {
			r.needs = configlog.Key(same.Origin)
		}
		rejected[key] = *r
	}
}

// changedRules returns the rules that the plan removes from the route table, and those that it adds.
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

func appendPointers(to []*route.Rule, rules []route.Rule) []*route.Rule {
	for i := range rules {
		to = append(to, &rules[i])
	}
	return to
}

// rejectServicesWithoutRoutes rejects services that the plan leaves without a route, as a file's
// reader does. Those whose route is rejected for its own mistake are not to blame.
func (p *plan) rejectServicesWithoutRoutes() {
	for service, count := range p.routeCounts() {
		key := configlog.ServiceKey(service)
		if _, known := p.rejected[key]; count == 0 && !known && p.serviceAfter(service) != nil {
			p.rejected[key] = *rejectFor(key, "", "route %s", noRoute)
		}
	}
	for unreadable := range p.unreadable {
		kind, service, _, err := unreadable.Split()
		if err != nil || kind != configlog.Route {
			continue
		}
		if key := configlog.ServiceKey(service); p.accepted[key] != nil {
			delete(p.rejected, key)
		}
	}
}

// routeCounts returns the number of routes, after the plan, of each service that it changes.
func (p *plan) routeCounts() map[string]int {
	counts := make(map[string]int)
	begin := func(service string) {
		if _, begun := counts[service]; begun {
			return
		}
		counts[service] = 0
		if was := p.services[service]; was != nil {
			counts[service] = len(was.routes)
		}
	}
	for _, key := range p.keys {
		switch r := p.accepted[key]; r.kind {
		case configlog.Service:
			begin(r.name)
		case configlog.Route:
			begin(r.service)
			was := p.services[r.service]
			inForce := was != nil && was.routes[r.name] != nil
			if inForce && r.isDeletion() {
				counts[r.service]--
			} else if !inForce && !r.isDeletion() {
				counts[r.service]++
			}
		}
	}
	return counts
}
