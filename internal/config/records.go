package config

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"jasperpin/internal/configlog"
)

// Records splits an operator's file into the records of a configuration, by key: its pools, its
// services, and their routes and tenants. The node's own tables, which may be there, are not read.
// Its error is Mistakes where the text is at fault.
func Records(name string, text []byte) ([]configlog.Record, error) {
	r, root := open(name, text)
	if root == nil {
		return nil, r.result()
	}
	for _, own := range []string{"node", "limits", "planning", "keys", "cluster", "members", "config"} {
		root.get(own)
	}
	var all []configlog.Record
	c := &Config{}
	c.readServed(root, func(t *table) { all = append(all, t.records()...) })
	root.done()
	root.decodeUnread()
	c.checkRoutes(r)
	if err := r.result(); err != nil {
		return nil, err
	}
	slices.SortFunc(all, func(a, b configlog.Record) int { return cmp.Compare(a.Key, b.Key) })
	return all, nil
}

// records are those of a pool's or a service's table. What is wrong with it is for its reader to say.
func (t *table) records() (all []configlog.Record) {
	name, _ := t.m["name"].(string)
	add := func(key configlog.Key, m map[string]any, without ...string) {
		m = maps.Clone(m)
		delete(m, "name")
		for _, k := range without {
			delete(m, k)
		}
		value, err := encode(m)
		if err != nil {
			t.fail("name", "%q has a value that no record can hold: %v", name, err)
		}
		if len(value) > configlog.MaxValue {
			t.fail("name", "%q makes a record of %d bytes: want %d at the most", name, len(value), configlog.MaxValue)
		}
		all = append(all, configlog.Record{Key: key, Value: value})
	}
	if t.array == "pool" {
		add(configlog.PoolKey(name), t.m)
		return all
	}
	add(configlog.ServiceKey(name), t.m, "route", "tenant")
	each := func(key string, do func(m map[string]any)) {
		list, _ := t.m[key].([]any)
		for _, x := range list {
			if m, ok := x.(map[string]any); ok {
				do(m)
			}
		}
	}
	each("tenant", func(m map[string]any) {
		tenant, _ := m["name"].(string)
		add(configlog.TenantKey(name, tenant), m)
	})
	each("route", func(m map[string]any) { add(configlog.RouteKey(name, routeName(m)), m) })
	return all
}

// routeName is the name of a route, by what it matches where it has none: that sets it apart from
// all others.
func routeName(m map[string]any) string {
	if name, _ := m["name"].(string); name != "" {
		return name
	}
	by, _ := encode(map[string]any{"hosts": m["hosts"], "path": m["path"], "method": m["method"], "class": m["class"]})
	sum := sha256.Sum256(by)
	return "by-" + hex.EncodeToString(sum[:6])
}

// encode gives the one JSON of a table: keys in order, and nothing but them.
func encode(m map[string]any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(m); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

// errObject says that a record's value is none.
var errObject = errors.New("want one JSON object")

// decode gives the table of a record, with values as a file's have them.
func decode(value []byte) (map[string]any, error) {
	d := json.NewDecoder(bytes.NewReader(value))
	d.UseNumber()
	var m map[string]any
	if err := d.Decode(&m); err != nil {
		return nil, fmt.Errorf("%w: %w", errObject, err)
	}
	if _, err := d.Token(); err != io.EOF || m == nil {
		return nil, errObject
	}
	return m, plainNumbers(m)
}

// plainNumbers has whole numbers be so, as the file's reader wants them.
func plainNumbers(m map[string]any) error {
	var plain func(v any) (any, error)
	within := func(m map[string]any) (err error) {
		for k, v := range m {
			if m[k], err = plain(v); err != nil {
				return err
			}
		}
		return nil
	}
	plain = func(v any) (_ any, err error) {
		switch v := v.(type) {
		case map[string]any:
			return v, within(v)
		case []any:
			for i := range v {
				if v[i], err = plain(v[i]); err != nil {
					return nil, err
				}
			}
		case json.Number:
			if !strings.ContainsAny(v.String(), ".eE") {
				if n, err := v.Int64(); err == nil {
					return n, nil
				}
			}
			f, err := v.Float64()
			if err != nil {
				return nil, fmt.Errorf("%s is no number that can be used", v)
			}
			return f, nil
		}
		return v, nil
	}
	return within(m)
}
