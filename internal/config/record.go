package config

import "jasperpin/internal/configlog"

// Record is one record from the keys of its table in TOML, without the table's head. Whether it can be
// used, Assembly.Check says.
func Record(key configlog.Key, file string, text []byte) (configlog.Record, error) {
	_, _, name, err := key.Split()
	if err != nil {
		return configlog.Record{}, err
	}
	r := &reader{file: file}
	p := &part{reader: r, spans: []span{{text: text, line: 1}}}
	m := p.decode()
	if m == nil {
		m = make(map[string]any) // an empty text, or it is told below
	}
	if m["name"] == name {
		delete(m, "name")
	}
	value, err := encode(m)
	if err != nil {
		r.add(0, "a value can stand in no record: %v", err)
	}
	if len(value) > configlog.MaxValue {
		r.add(0, "makes a record of %d bytes: want %d at the most", len(value), configlog.MaxValue)
	}
	return configlog.Record{Key: key, Value: value}, r.result()
}
