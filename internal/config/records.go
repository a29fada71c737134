package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	"jasperpin/internal/configlog"
)

// nodeTables are the tables of a file that configure a single node.
var nodeTables = []string{"node", "limits", "planning", "keys", "cluster", "members", "config"}

// routeNameBytes is the number of bytes of a hash that form the name of an unnamed route, enough to
// distinguish all routes of a service.
const routeNameBytes = 6

// Records splits an operator's file into the records of a configuration, sorted by key: pools, services,
// and the routes and tenants of services. The file may contain tables of a node, which are ignored. Errors
// in the text are returned as Errors.
func Records(name string, text []byte) ([]configlog.Record, error) {
	r, root := open(name, text)
	if root == nil {
		return nil, r.result()
	}
	for _, key := range nodeTables {
		root.get(key)
	}
	var all []configlog.Record
	c := &Config{}
	c.readPoolsAndServices(root, func(t *table) { all = append(all, t.records()...) })
	root.reportUnknownKeys()
	root.decodeUnread()
	c.checkRoutes(r)
	if err := r.result(); err != nil {
		return nil, err
	}
	slices.SortFunc(all, func(a, b configlog.Record) int { return cmp.Compare(a.Key, b.Key) })
	return all, nil
}

// Record builds one record from the keys of its table in TOML, without the table header. Assembly.Check
// reports whether the record can be applied. Errors in the text are returned as Errors.
func Record(key configlog.Key, file string, text []byte) (configlog.Record, error) {
	_, _, name, err := key.Split()
	if err != nil {
		return configlog.Record{}, err
	}
	r := &reader{file: file}
	d := &document{reader: r, spans: []span{{text: text, line: 1}}}
	values := d.decode()
	if values == nil {
		values = make(map[string]any) // after a syntax error, which result returns
	}
	if values["name"] == name {
		delete(values, "name")
	}
	value, err := encodeRecord(values)
	if err != nil {
		r.add(0, "a value cannot be encoded in a record: %v", err)
	}
	if len(value) > configlog.MaxValue {
		r.add(0, "record has %d bytes: want at most %d", len(value), configlog.MaxValue)
	}
	return configlog.Record{Key: key, Value: value}, r.result()
}

// records returns the records of a pool's or a service's table. Errors in the table are reported when it is
// read.
func (t *table) records() []configlog.Record {
	name, _ := t.values["name"].(string)
	if t.array == "pool" {
		return []configlog.Record{t.record(name, configlog.PoolKey(name), t.values)}
	}
	all := []configlog.Record{t.record(name, configlog.ServiceKey(name), t.values, "route", "tenant")}
	for _, tenant := range t.tablesIn("tenant") {
		tenantName, _ := tenant["name"].(string)
		all = append(all, t.record(name, configlog.TenantKey(name, tenantName), tenant))
	}
	for _, route := range t.tablesIn("route") {
		all = append(all, t.record(name, configlog.RouteKey(name, routeName(route)), route))
	}
	return all
}

// tablesIn returns the values of the tables in the array of a key.
func (t *table) tablesIn(key string) (all []map[string]any) {
	list, _ := t.values[key].([]any)
	for _, element := range list {
		if values, ok := element.(map[string]any); ok {
			all = append(all, values)
		}
	}
	return all
}

// record builds a record from values except for some keys, and without the name, which the record's key
// contains. Values that cannot be encoded are reported at name, the pool's or service's name.
func (t *table) record(name string, key configlog.Key, values map[string]any, without ...string) configlog.Record {
	values = maps.Clone(values)
	delete(values, "name")
	for _, k := range without {
		delete(values, k)
	}
	value, err := encodeRecord(values)
	if err != nil {
		t.fail("name", "%q has a value that cannot be encoded in a record: %v", name, err)
	}
	if len(value) > configlog.MaxValue {
		t.fail("name", "%q has a record of %d bytes: want at most %d", name, len(value), configlog.MaxValue)
	}
	return configlog.Record{Key: key, Value: value}
}

// routeName returns a route's name. The name of an unnamed route is derived from its match conditions,
// which are unique.
func routeName(values map[string]any) string {
	if name, _ := values["name"].(string); name != "" {
		return name
	}
	match, _ := encodeRecord(map[string]any{ // encoding errors are reported with the record
		"hosts": values["hosts"], "path": values["path"], "method": values["method"], "class": values["class"],
	})
	sum := sha256.Sum256(match)
	return "by-" + hex.EncodeToString(sum[:routeNameBytes])
}
