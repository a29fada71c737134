package config

import (
	"reflect"

	"jasperpin/internal/configlog"
	"jasperpin/internal/limit"
	"jasperpin/internal/route"
)

// parsedRecord is a record with its parsed value. The kind determines which of the last four fields is set;
// a deletion has none of them.
type parsedRecord struct {
	configlog.Record
	kind          configlog.Kind
	service, name string // service is "" for a pool or service
	pool          *Pool
	head          Service
	tenant        limit.TenantSettings
	rules         []route.Rule
}

func (r *parsedRecord) isDeletion() bool { return len(r.Value) == 0 }

// tenantName returns the name of a tenant as in limit.GateSettings.Tenants.
func (r *parsedRecord) tenantName() string {
	if r.name == anyTenant {
		return limit.OtherTenantsKey
	}
	return r.name
}

// parse parses a record in the same way as a table of a file. Its error is Errors.
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
		t.failValue("name", is, "the name in the record's key, or no name")
	}
	values["name"] = name
	switch kind {
	case configlog.Pool:
		p := readPool(t)
		p.Settings.NodeIndex, p.Settings.NodeCount = a.nodeIndex, a.nodeCount
		parsed.pool = &p
	case configlog.Service:
		parsed.head = readServiceHead(t)
		t.reportUnknownKeys()
	case configlog.Tenant:
		parsed.name, parsed.tenant = readTenant(t)
	case configlog.Route:
		_, parsed.rules = readRoute(t, service, nil)
	}
	return parsed, r.result()
}

// isCurrent reports whether a record equals the current one, or deletes one that does not exist.
func (a *Assembly) isCurrent(r *parsedRecord) bool {
	switch r.kind {
	case configlog.Pool:
		current := a.pools[r.name]
		return current == nil && r.isDeletion() || current != nil && !r.isDeletion() && reflect.DeepEqual(current.Pool, r.pool)
	case configlog.Service:
		current := a.services[r.name]
		return current == nil && r.isDeletion() || current != nil && !r.isDeletion() && reflect.DeepEqual(current.head, r.head)
	}
	s := a.services[r.service]
	if s == nil {
		return r.isDeletion()
	}
	switch r.kind {
	case configlog.Tenant:
		current, ok := s.tenants[r.tenantName()]
		return ok != r.isDeletion() && current == r.tenant
	default: // a route
		current, ok := s.routes[r.name]
		return ok != r.isDeletion() && reflect.DeepEqual(current, r.rules)
	}
}
