package config

import (
	"reflect"

	"jasperpin/internal/configlog"
	"jasperpin/internal/limit"
	"jasperpin/internal/route"
)

// parsedRecord is a record with what it says. Which of the last fields is set depends on its kind; a
// deletion has none.
type parsedRecord struct {
	configlog.Record
	kind          configlog.Kind
	service, name string // of a route or tenant; the name alone of a pool or service
	pool          *Pool
	head          Service
	tenant        limit.TenantSettings
	rules         []route.Rule
}

func (r *parsedRecord) isDeletion() bool { return len(r.Value) == 0 }

// tenantName is the name of a tenant among limit.TenantSettings.
func (r *parsedRecord) tenantName() string {
	if r.name == anyTenant {
		return limit.OtherTenants
	}
	return r.name
}

// parse parses a record as a table of a file is parsed. Its error is Errors.
func (a *Assembly) parse(rec configlog.Record) (*parsedRecord, error) {
	r := &reader{file: string(rec.Key)}
	kind, service, name, err := rec.Key.Split()
	if err != nil {
		return nil, Errors{{r.file, 0, err.Error()}}
	}
	parsed := &parsedRecord{Record: rec, kind: kind, service: service, name: name}
	if parsed.isDeletion() {
		return parsed, nil
	}
	values, err := decodeRecord(rec.Value)
	if err != nil {
		return nil, Errors{{r.file, 0, err.Error()}}
	}
	t := &table{document: &document{reader: r, isRecord: true}, values: values}
	if is := values["name"]; is != nil && is != name {
		t.failValue("name", is, "the name that the record's key has, or none")
	}
	values["name"] = name
	switch kind {
	case configlog.Pool:
		p := readPool(t)
		p.Settings.NodeIndex, p.Settings.NodeCount = a.number, a.nodes
		parsed.pool = &p
	case configlog.Service:
		parsed.head = readServiceHead(t)
		t.done()
	case configlog.Tenant:
		parsed.name, parsed.tenant = readTenant(t)
	case configlog.Route:
		_, parsed.rules = readRoute(t, service, nil)
	}
	return parsed, r.result()
}

// isInForce reports whether a record is in force as it is.
func (a *Assembly) isInForce(r *parsedRecord) bool {
	switch r.kind {
	case configlog.Pool:
		was := a.pools[r.name]
		return was == nil && r.isDeletion() || was != nil && !r.isDeletion() && reflect.DeepEqual(was.Pool, r.pool)
	case configlog.Service:
		was := a.services[r.name]
		return was == nil && r.isDeletion() || was != nil && !r.isDeletion() && reflect.DeepEqual(was.head, r.head)
	}
	s := a.services[r.service]
	if s == nil {
		return r.isDeletion()
	}
	switch r.kind {
	case configlog.Tenant:
		was, ok := s.tenants[r.tenantName()]
		return ok != r.isDeletion() && was == r.tenant
	default: // a route
		was, ok := s.routes[r.name]
		return ok != r.isDeletion() && reflect.DeepEqual(was, r.rules)
	}
}
