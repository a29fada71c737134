package config

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"jasperpin/internal/configlog"
	"jasperpin/internal/limit"
	"jasperpin/internal/route"
)

// plan is what becomes of some records beside those in force.
type plan struct {
	*Assembly
	in         map[configlog.Key]*parsed
	keys       []configlog.Key        // of in, in order
	named      map[configlog.Key]bool // all that were looked at
	refused    map[configlog.Key]refusal
	unreadable map[configlog.Key]bool // refused for what they say by themselves
	routes     *route.Table
	tenants    map[string]map[string]limit.TenantSettings // of services whose limits differ, from delta on
	edited     map[string]bool                            // of these, those whose tenants do
}

// plan finds which of some records, and of those that have waited for them, can be in force. One
// that is wrong by itself, or beside the others, is refused alone.
func (a *Assembly) plan(records []configlog.Record) *plan {
	p := &plan{Assembly: a, in: make(map[configlog.Key]*parsed, len(records)), refused: make(map[configlog.Key]refusal), unreadable: make(map[configlog.Key]bool), edited: make(map[string]bool), named: make(map[configlog.Key]bool, len(records))}
	all := slices.Clone(records)
	for _, r := range records {
		p.named[r.Key] = true
	}
	for i := 0; i < len(all); i++ {
		for k := range a.waiting[all[i].Key] {
			if !p.named[k] {
				p.named[k] = true
				all = append(all, configlog.Record{Key: k, Value: a.refused[k].value})
			}
		}
	}
	for _, rec := range all {
		r, err := a.parse(rec)
		if ms := (Mistakes)(nil); errors.As(err, &ms) {
			p.refused[rec.Key] = refusal{why: ms}
			p.unreadable[rec.Key] = true
			continue
		}
		if !a.has(r) {
			p.in[rec.Key] = r
		}
	}
	for {
		p.keys = slices.Sorted(maps.Keys(p.in))
		bad := p.unfit()
		if len(bad) == 0 {
			return p
		}
		for k, r := range bad {
			if r.wants != "" {
				r.value = p.in[k].Value
			}
			p.refused[k] = r
			delete(p.in, k)
		}
	}
}

// refuse words what is wrong with a record beside others.
func refuse(key, wants configlog.Key, format string, args ...any) refusal {
	return refusal{why: Mistakes{{string(key), 0, fmt.Sprintf(format, args...)}}, wants: wants}
}

// unfit finds the records of the plan that do not go with the others.
func (p *plan) unfit() map[configlog.Key]refusal {
	bad := make(map[configlog.Key]refusal)
	for _, k := range p.keys {
		r := p.in[k]
		if no, ok := p.beside(k, r); ok {
			bad[k] = no
		}
	}
	p.unfitShares(bad)
	if len(bad) == 0 {
		p.unfitRoutes(bad)
	}
	return bad
}

func (p *plan) beside(k configlog.Key, r *parsed) (refusal, bool) {
	switch {
	case r.kind == configlog.Pool:
		return p.poolBesideRoutes(k, r)
	case r.kind == configlog.Service:
		return p.serviceBesideParts(k, r)
	case r.gone():
		return refusal{}, false
	}
	head := p.head(r.service)
	at := configlog.ServiceKey(r.service)
	if head == nil {
		return refuse(k, at, "stands without %s, which is not there", at), true
	}
	if r.kind == configlog.Tenant {
		if head.TenantHeader == "" {
			return refuse(k, at, "stands in a service whose tenant_header %s", noTenantHeader), true
		}
		return refusal{}, false
	}
	for _, g := range r.rules[0].Targets {
		at := configlog.PoolKey(g.Pool)
		to := p.pool(g.Pool)
		if to == nil {
			return refuse(k, at, "pool %q is no pool of this configuration", g.Pool), true
		}
		if text := to.unknown(r.rules[0]); len(text) > 0 {
			return refuse(k, at, "pool %s", text[0]), true
		}
	}
	return refusal{}, false
}

// poolBesideRoutes holds a pool against the routes that lead to it and stay as they are.
func (p *plan) poolBesideRoutes(k configlog.Key, r *parsed) (refusal, bool) {
	was := p.pools[r.name]
	if was == nil {
		return refusal{}, false
	}
	for _, user := range slices.Sorted(maps.Keys(was.users)) {
		if p.in[user] != nil {
			continue
		}
		if r.gone() {
			return refuse(k, user, "is to be deleted, and %s leads to it", user), true
		}
		_, service, name, _ := user.Split()
		if text := r.pool.unknown(p.services[service].routes[name][0]); len(text) > 0 {
			return refuse(k, user, "class does not go with %s: %s", user, text[0]), true
		}
	}
	return refusal{}, false
}

// serviceBesideParts holds a service against its tenants and routes that stay as they are.
func (p *plan) serviceBesideParts(k configlog.Key, r *parsed) (refusal, bool) {
	was := p.services[r.name]
	if was == nil || !r.gone() && r.head.TenantHeader != "" {
		return refusal{}, false
	}
	for tenant := range was.tenants {
		at := configlog.TenantKey(r.name, cmp.Or(tenant, "*"))
		if p.in[at] != nil {
			continue
		}
		if r.gone() {
			return refuse(k, at, "is to be deleted, and %s is not", at), true
		}
		return refuse(k, at, "tenant_header %s", noTenantHeader), true
	}
	for name := range was.routes {
		if at := configlog.RouteKey(r.name, name); r.gone() && p.in[at] == nil {
			return refuse(k, at, "is to be deleted, and %s is not", at), true
		}
	}
	return refusal{}, false
}

// part is a pool's guaranteed part, and whether its record names it.
func (p *Pool) part() (int64, bool) {
	if p.Share < 0 {
		return 0, false
	}
	return int64(math.Round(p.Share * wholePart)), true
}

// count is the tally of the pools as the plan has them.
func (p *plan) count() tally {
	t := p.tally
	for _, r := range p.in {
		if r.kind != configlog.Pool {
			continue
		}
		if was := p.pools[r.name]; was != nil {
			t.count(was.Pool, -1)
		}
		if !r.gone() {
			t.count(r.pool, 1)
		}
	}
	return t
}

// unfitShares refuses pools, the last first, that want more than there is to be guaranteed.
func (p *plan) unfitShares(bad map[configlog.Key]refusal) {
	parts := p.count().parts
	for _, k := range slices.Backward(p.keys) {
		r := p.in[k]
		if parts <= wholePart+slackPart {
			return
		}
		if r.kind != configlog.Pool || r.gone() {
			continue
		}
		more, _ := r.pool.part()
		if was := p.pools[r.name]; was != nil {
			before, _ := was.part()
			more -= before
		}
		if more > 0 {
			bad[k] = refuse(k, "", "share is %g: all pools' shares add up to %.3g with it, want 1 at the most, since each is guaranteed", r.pool.Share, float64(parts)/wholePart)
			parts -= more
		}
	}
}

// unfitRoutes makes the route table, and refuses the routes that it cannot take.
func (p *plan) unfitRoutes(bad map[configlog.Key]refusal) {
	var without, with []*route.Rule
	add := func(to []*route.Rule, rules []route.Rule) []*route.Rule {
		for i := range rules {
			to = append(to, &rules[i])
		}
		return to
	}
	for _, k := range p.keys {
		if r := p.in[k]; r.kind == configlog.Route {
			if s := p.services[r.service]; s != nil {
				without = add(without, s.routes[r.name])
			}
			with = add(with, r.rules)
		}
	}
	if p.routes = p.Assembly.routes; len(without)+len(with) == 0 {
		return
	}
	var err error
	p.routes, err = p.Assembly.routes.Change(without, with)
	if err == nil {
		return
	}
	for _, e := range err.(interface{ Unwrap() []error }).Unwrap() {
		var rule *route.RuleError
		var same *route.SameError
		if !errors.As(e, &rule) {
			continue
		}
		k := configlog.Key(rule.Origin)
		no := refuse(k, "", "%v", rule.Err)
		if errors.As(e, &same) {
			no.wants = configlog.Key(same.Origin)
		}
		bad[k] = no
	}
}

// pool is a pool as the plan has it, nil for none.
func (p *plan) pool(name string) *Pool {
	if r := p.in[configlog.PoolKey(name)]; r != nil {
		return r.pool
	}
	if was := p.pools[name]; was != nil {
		return was.Pool
	}
	return nil
}

// head is a service as the plan has it, nil for none.
func (p *plan) head(name string) *Service {
	if r := p.in[configlog.ServiceKey(name)]; r != nil {
		if r.gone() {
			return nil
		}
		return &r.head
	}
	if was := p.services[name]; was != nil {
		return &was.head
	}
	return nil
}

// lackRoutes complains of the services that the plan leaves without a route, as a file's reader does.
func (p *plan) lackRoutes() {
	for service, n := range p.routesOf() {
		k := configlog.ServiceKey(service)
		if _, known := p.refused[k]; n == 0 && !known && p.head(service) != nil {
			p.refused[k] = refuse(k, "", "route %s", noRoute)
		}
	}
	for k := range p.unreadable { // whose own mistake it is that there is none
		if kind, service, _, err := k.Split(); err == nil && kind == configlog.Route {
			if at := configlog.ServiceKey(service); p.in[at] != nil {
				delete(p.refused, at)
			}
		}
	}
}

// routesOf counts the routes of each service that the plan touches.
func (p *plan) routesOf() map[string]int {
	count := make(map[string]int)
	touch := func(service string) {
		if _, ok := count[service]; !ok {
			count[service] = 0
			if was := p.services[service]; was != nil {
				count[service] = len(was.routes)
			}
		}
	}
	for _, k := range p.keys {
		switch r := p.in[k]; r.kind {
		case configlog.Service:
			touch(r.name)
		case configlog.Route:
			touch(r.service)
			was := p.services[r.service]
			there := was != nil && was.routes[r.name] != nil
			if there && r.gone() {
				count[r.service]--
			} else if !there && !r.gone() {
				count[r.service]++
			}
		}
	}
	return count
}

// delta is what the plan changes in force.
func (p *plan) delta() Delta {
	t := p.count()
	d := Delta{Routes: p.routes, Share: shareOf(float64(t.parts)/wholePart, t.unnamed), Count: t.pools, Watched: t.watched}
	p.tenants = make(map[string]map[string]limit.TenantSettings)
	for _, k := range p.keys {
		switch r := p.in[k]; r.kind {
		case configlog.Pool:
			if was := p.pools[r.name]; was == nil || r.gone() || was.Share != r.pool.Share {
				d.Shares = true
			}
			if r.gone() {
				d.GonePools = append(d.GonePools, r.name)
			} else {
				d.Pools = append(d.Pools, r.pool)
			}
		case configlog.Service:
			if r.gone() {
				d.GoneServices = append(d.GoneServices, r.name)
			} else if p.tenants[r.name] = nil; p.services[r.name] != nil {
				p.tenants[r.name] = p.services[r.name].tenants
			}
		case configlog.Tenant:
			p.setTenant(r)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.tenants)) {
		s := *p.head(name)
		s.Gate.Tenants = p.tenants[name]
		d.Services = append(d.Services, &s)
	}
	return d
}

// setTenant has a tenant be in the plan's settings, which those in force know nothing of.
func (p *plan) setTenant(r *parsed) {
	if p.head(r.service) == nil {
		return // it goes with its service
	}
	if !p.edited[r.service] {
		p.edited[r.service] = true
		set := make(map[string]limit.TenantSettings)
		if was := p.services[r.service]; was != nil {
			maps.Copy(set, was.tenants)
		}
		p.tenants[r.service] = set
	}
	if r.gone() {
		delete(p.tenants[r.service], r.tenantName())
	} else {
		p.tenants[r.service][r.tenantName()] = r.tenant
	}
}

// commit has the plan in force, and gives what is wrong with what is not.
func (p *plan) commit() Mistakes {
	a := p.Assembly
	a.tally = p.count()
	if p.routes != nil {
		a.routes = p.routes
	}
	for _, k := range p.keys {
		switch r := p.in[k]; r.kind {
		case configlog.Pool:
			was := a.pools[r.name]
			switch {
			case r.gone():
				delete(a.pools, r.name)
			case was != nil:
				was.Pool = r.pool
			default:
				a.pools[r.name] = &heldPool{r.pool, make(map[configlog.Key]bool)}
			}
		case configlog.Service:
			was := a.services[r.name]
			switch {
			case r.gone(): // its routes leave their pools below, and then it goes
			case was != nil:
				was.head = r.head
			default:
				a.services[r.name] = &heldService{head: r.head, routes: make(map[string][]route.Rule)}
			}
		}
	}
	for service, set := range p.tenants {
		a.services[service].tenants = set
	}
	for _, k := range p.keys {
		if r := p.in[k]; r.kind == configlog.Route {
			a.setRoute(r)
		}
	}
	for _, k := range p.keys {
		if r := p.in[k]; r.kind == configlog.Service && r.gone() {
			delete(a.services, r.name)
		}
	}
	for k := range p.named {
		a.settle(k)
	}
	return p.remember()
}

// remember has the assembly know what the plan refuses.
func (p *plan) remember() (all Mistakes) {
	for k, r := range p.refused {
		all = append(all, r.why...)
		p.Assembly.refused[k] = r
		if r.wants != "" {
			if p.waiting[r.wants] == nil {
				p.waiting[r.wants] = make(map[configlog.Key]bool)
			}
			p.waiting[r.wants][k] = true
		}
	}
	return all.sorted()
}

// shareOf is the guaranteed part of each pool that names none.
func shareOf(named float64, unnamed int) float64 {
	return max(0, min(defaultShareOf, 1-named)) / float64(max(1, unnamed))
}
