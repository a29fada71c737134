package config

import (
	"cmp"

	"jasperpin/internal/limit"
	"jasperpin/internal/route"
)

const (
	// minWeight and maxWeight bound a tenant's weight among the others.
	minWeight = 0.001
	maxWeight = 1e6
	// anyTenant is the name in a file of all tenants that are not named.
	anyTenant = "*"
)

// Mistakes of a service that its table and its records share.
const (
	noTenantHeader = `is missing: want the header that names the tenant, such as "Req-Owner"`
	noRoute        = "is missing: want one [[service.route]] or more"
)

// Service is what clients ask for under some hosts and paths.
type Service struct {
	Name         string
	Routes       []route.Rule
	Gate         limit.GateSettings
	TenantHeader string // in canonical form; "" where tenants are not told apart
}

// readService reads a [[service]] with its tenants and routes.
func readService(t *table, pools *poolSet) Service {
	s := readServiceHead(t)
	s.readTenants(t)
	s.readRoutes(t, pools)
	t.done()
	return s
}

// readServiceHead reads a service but for its tenants and routes, as its record has it.
func readServiceHead(t *table) Service {
	s := Service{Name: t.name(""), TenantHeader: canonicalHeader(t.text("tenant_header", "", "the name of a header", isWord))}
	s.Gate = readGate(t)
	s.Gate.Rate, s.Gate.Burst = t.number("rate", 0, 0, maxRate), t.number("burst", 0, 0, maxRate)
	return s
}

func (s *Service) readTenants(t *table) {
	s.Gate.Tenants = make(map[string]limit.TenantSettings)
	for tenant := range t.tables("tenant") {
		name, settings := readTenant(tenant)
		if _, twice := s.Gate.Tenants[name]; twice {
			tenant.fail("name", "%q is used twice in one service: want each tenant once", cmp.Or(name, anyTenant))
		}
		s.Gate.Tenants[name] = settings
	}
	if len(s.Gate.Tenants) > 0 && s.TenantHeader == "" {
		t.fail("tenant_header", noTenantHeader)
	}
}

func (s *Service) readRoutes(t *table, pools *poolSet) {
	names := make(map[string]bool)
	for r := range t.tables("route") {
		name, rules := readRoute(r, s.Name, pools)
		if names[name] && name != "" {
			r.fail("name", "%q is used twice in one service: want another name for each route", name)
		}
		names[name] = true
		s.Routes = append(s.Routes, rules...)
	}
	if len(s.Routes) == 0 {
		t.fail("route", noRoute)
	}
}

// readTenant reads a [[service.tenant]] or a tenant's record.
func readTenant(t *table) (name string, settings limit.TenantSettings) {
	name = t.text("name", "", "a tenant's name, or \"*\" for all others", func(s string) bool { return s == anyTenant || isWord(s) })
	t.require("name")
	if name == anyTenant {
		name = limit.OtherTenants
	}
	settings = limit.TenantSettings{
		Rate: t.number("rate", 0, 0, maxRate), Burst: t.number("burst", 0, 0, maxRate),
		Concurrent: t.count("concurrent", 0, 0, maxRequestsHeld), Weight: t.number("weight", 1, minWeight, maxWeight),
	}
	t.done()
	return name, settings
}

// readGate reads how many requests a service or a pool holds at a time, and the queue for their
// places.
func readGate(t *table) limit.GateSettings {
	g := limit.GateSettings{
		Concurrent: t.count("concurrent", 0, 0, maxRequestsHeld),
		Queue:      t.count("queue", 0, 0, maxRequestsHeld), QueueWait: t.time("queue_wait", defaultQueueWait, 0, maxShortTime),
	}
	if g.Queue > 0 && g.Concurrent == 0 {
		t.fail("queue", "has nothing to wait for: want concurrent beside it")
	}
	return g
}
