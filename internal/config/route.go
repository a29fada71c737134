package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"jasperpin/internal/route"
)

// poolSet are the pools of a file, to which its routes may lead.
type poolSet struct {
	byName map[string]*Pool
	names  string // list for error messages; built for the first route to an unknown pool
}

// readRoute reads a [[service.route]] table or a route's record. It returns the route's name, which may be
// "", and one rule for each of its hosts. If pools is nil, as for a record, targets are not checked.
func readRoute(t *table, service string, pools *poolSet) (name string, rules []route.Rule) {
	name = t.text("name", "", wantName, isName)
	r := route.Rule{
		Service:       service,
		Path:          t.text("path", "", "a prefix that begins with /", func(s string) bool { return strings.HasPrefix(s, "/") }),
		Method:        t.text("method", "", "a method in upper case such as GET", isMethod),
		Class:         t.text("class", "", "the name of a class", isName),
		AssignedClass: t.text("as", "", "the name of a class", isName),
		Origin:        t.origin(),
	}
	hosts := t.texts("hosts", "a host such as orders.example.org or *.example.org", isNotEmpty)
	readTargets(t, &r, pools)
	t.reportUnknownKeys()
	if len(hosts) == 0 {
		hosts = []string{""}
	}
	for _, host := range hosts {
		r.Host = host
		rules = append(rules, r)
	}
	return name, rules
}

// readTargets reads the pools that a route leads to.
func readTargets(t *table, r *route.Rule, pools *poolSet) {
	if pool := t.text("pool", "", "the name of a pool", isName); pool != "" {
		r.Targets = []route.Target{{Pool: pool, Weight: 1}}
		pools.check(t, "pool", pool, *r)
	}
	for entry := range t.tables("pools") {
		target := route.Target{Pool: entry.name(""), Weight: entry.count("weight", 1, 0, route.MaxWeight)}
		pools.check(entry, "name", target.Pool, *r)
		entry.reportUnknownKeys()
		r.Targets = append(r.Targets, target)
	}
	switch {
	case len(r.Targets) == 0:
		t.fail("pool", "is missing: want pool = \"NAME\" or pools = [{ name = \"NAME\", weight = 1 }]")
	case t.values["pool"] != nil && t.values["pools"] != nil:
		t.fail("pools", "is not allowed together with pool: want one of the two")
	}
}

// check reports a target pool that does not exist or lacks the route's class. The targets of records are
// checked by routeConflict instead.
func (s *poolSet) check(t *table, key, pool string, r route.Rule) {
	if s == nil {
		return
	}
	p := s.byName[pool]
	if p == nil {
		if pool != "" {
			if s.names == "" {
				s.names = oneOf(slices.Sorted(maps.Keys(s.byName)))
			}
			t.fail(key, "%q is not a pool of this file: want %s", pool, s.names)
		}
		return
	}
	for _, text := range p.missingClasses(r) {
		t.fail(key, "%s", text)
	}
}

// missingClasses returns an error text for each class of a route that the pool lacks.
func (p *Pool) missingClasses(r route.Rule) (all []string) {
	for _, class := range []string{r.AssignedClass, r.Class} {
		if class == "" || class != r.AssignedClass && r.AssignedClass != "" {
			continue // the key as overrides class
		}
		if _, ok := p.Classes[class]; !ok {
			all = append(all, fmt.Sprintf("%q has no class %q: want %s", p.Name, class, oneOf(slices.Sorted(maps.Keys(p.Classes)))))
		}
	}
	return all
}
