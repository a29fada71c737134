package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	"jasperpin/internal/configlog"
)

// nodeTables are the tables of a file that are a node's own.
var nodeTables = []string{"node", "limits", "planning", "keys", "cluster", "members", "config"}

// routeNameBytes is how much of a hash a route's name has: enough to set all routes of a service
// apart.
const routeNameBytes = 6

// Records splits an operator's file into the records of a configuration, by key: its pools, its
// services, and their routes and tenants. The node's own tables may be there and are not read. Its
// error is Errors where the text is at fault.
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
	root.done()
	root.decodeUnread()
	c.checkRoutes(r)
	if err := r.result(); err != nil {
		return nil, err
	}
	slices.SortFunc(all, func(a, b configlog.Record) int { return cmp.Compare(a.Key, b.Key) })
	return all, nil
}

// Record makes one record of the keys of its table in TOML, without the table's head. Assembly.Check
// reports whether it can be in force. Its error is Errors where the text is at fault.
func Record(key configlog.Key, file string, text []byte) (configlog.Record, error) {
	_, _, name, err := key.Split()
	if err != nil {
		return configlog.Record{}, err
	}
	r := &reader{file: file}
	d := &document{reader: r, spans: []span{{text: text, line: 1}}}
	values := d.decode()
	if values == nil {
		values = make(map[string]any) // an empty text, or one whose mistake the result has
	}
	if values["name"] == name {
		delete(values, "name")
	}
	value, err := encodeRecord(values)
	if err != nil {
		r.add(0, "a value can stand in no record: %v", err)
	}
	if len(value) > configlog.MaxValue {
		r.add(0, "makes a record of %d bytes: want %d at the most", len(value), configlog.MaxValue)
	}
	return configlog.Record{Key: key, Value: value}, r.result()
}

// records returns those of a pool's or a service's table. What is wrong with the table is for its
// reader to report.
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

// tablesIn returns the values of the tables in an array.
func (t *table) tablesIn(key string) (all []map[string]any) {
	list, _ := t.values[key].([]any)
	for _, element := range list {
		if values, ok := element.(map[string]any); ok {
			all = append(all, values)
		}
	}
	return all
}

// record makes a record of values without some keys, and without the name, which its key has. The
// pool or service of a name is blamed for what no record can hold.
func (t *table) record(name string, key configlog.Key, values map[string]any, without ...string) configlog.Record {
	values = maps.Clone(values)
	delete(values, "name")
	for _, k := range without {
		delete(values, k)
	}
	value, err := encodeRecord(values)
	if err != nil {
		t.fail("name", "%q has a value that no record can hold: %v", name, err)
	}
	if len(value) > configlog.MaxValue {
		t.fail("name", "%q makes a record of %d bytes: want %d at the most", name, len(value), configlog.MaxValue)
	}
	return configlog.Record{Key: key, Value: value}
}

// routeName returns a route's name. One without is named by what it matches, which sets it apart from
// all others.
func routeName(values map[string]any) string {
	if name, _ := values["name"].(string); name != "" {
		return name
	}
	match, _ := encodeRecord(map[string]any{ // what cannot be encoded is reported with the record
		"hosts": values["hosts"], "path": values["path"], "method": values["method"], "class": values["class"],
	})
	sum := sha256.Sum256(match)
	return "by-" + hex.EncodeToString(sum[:routeNameBytes])
}
