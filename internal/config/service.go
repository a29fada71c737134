package config

import (
	"cmp"

	"jasperpin/internal/limit"
	"jasperpin/internal/route"
)

const (
	// minWeight and maxWeight are the bounds of a tenant's weight.
	minWeight = 0.001
	maxWeight = 1e6
	// anyTenant is the name in a file for all tenants that are not listed.
	anyTenant = "*"
)

// Error texts for services in files and in records.
const (
	noTenantHeader = `is missing: want the header that names the tenant, such as "Req-Owner"`
	noRoute        = "is missing: want at least one [[service.route]]"
)

// Service is a service that clients reach under the hosts and paths of its routes.
type Service struct {
	Name         string
	Routes       []route.Rule
	Gate         limit.GateSettings
	TenantHeader string // in canonical form; "" if the service does not distinguish tenants
}

// readService reads a [[service]] table with its tenants and routes.
func readService(t *table, pools *poolSet) Service {
	s := readServiceHead(t)
	s.readTenants(t)
	s.readRoutes(t, pools)
	t.reportUnknownKeys()
	return s
}

// readServiceHead reads a service without its tenants and routes, which have records of their own.
func readServiceHead(t *table) Service {
	s := Service{Name: t.name(""), TenantHeader: canonicalHeader(t.text("tenant_header", "", "the name of a header", isName))}
	s.Gate = readGate(t)
	s.Gate.Rate, s.Gate.Burst = t.number("rate", 0, 0, maxRate), t.number("burst", 0, 0, maxRate)
	return s
}

func (s *Service) readTenants(t *table) {
	s.Gate.Tenants = make(map[string]limit.TenantSettings)
	for tenant := range t.tables("tenant") {
		name, settings := readTenant(tenant)
		if _, twice := s.Gate.Tenants[name]; twice {
			tenant.fail("name", "%q is used twice in one service: want a unique name for each tenant", cmp.Or(name, anyTenant))
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
			r.fail("name", "%q is used twice in one service: want a unique name for each route", name)
		}
		names[name] = true
		s.Routes = append(s.Routes, rules...)
	}
	if len(s.Routes) == 0 {
		t.fail("route", noRoute)
	}
}

// readTenant reads a [[service.tenant]] table or a tenant's record.
func readTenant(t *table) (name string, settings limit.TenantSettings) {
	name = t.text("name", "", "a tenant's name, or \"*\" for all others", func(s string) bool { return s == anyTenant || isName(s) })
	t.require("name")
	if name == anyTenant {
		name = limit.OtherTenantsKey
	}
	settings = limit.TenantSettings{
		Rate: t.number("rate", 0, 0, maxRate), Burst: t.number("burst", 0, 0, maxRate),
		Concurrent: t.count("concurrent", 0, 0, maxRequestsHeld), Weight: t.number("weight", 1, minWeight, maxWeight),
	}
	t.reportUnknownKeys()
	return name, settings
}

// readGate reads the concurrency limit of a service or a pool, and the settings of its admission queue.
func readGate(t *table) limit.GateSettings {
	g := limit.GateSettings{
		Concurrent: t.count("concurrent", 0, 0, maxRequestsHeld),
		Queue:      t.count("queue", 0, 0, maxRequestsHeld), QueueWait: t.time("queue_wait", defaultQueueWait, 0, maxShortTime),
	}
	if g.Queue > 0 && g.Concurrent == 0 {
		t.fail("queue", "is not allowed without concurrent: want both")
	}
	return g
}
