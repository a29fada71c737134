package config

import (
	"fmt"
	"iter"
	"slices"
	"strconv"
	"strings"
)

// table is one table of a file or a record, from which values are read by key. Without values, as one
// that is not there, all its keys have their defaults.
type table struct {
	*document
	path   string // from the file's root, such as pool[0].class[1]
	values map[string]any
	read   []string // keys
}

// usualKeys is room for the keys of most tables.
const usualKeys = 8

// get returns the value of a key, or nil, and counts it as read.
func (t *table) get(key string) any {
	if t.read == nil {
		t.read = make([]string, 0, usualKeys)
	}
	if !slices.Contains(t.read, key) {
		t.read = append(t.read, key)
	}
	return t.values[key]
}

// done reports the keys that nothing has read: they are no keys of this table.
func (t *table) done() {
	var unknown []string
	for key := range t.values {
		if !slices.Contains(t.read, key) {
			unknown = append(unknown, key)
		}
	}
	if len(unknown) == 0 {
		return
	}
	slices.Sort(unknown)
	known := slices.Sorted(slices.Values(t.read))
	for _, key := range unknown {
		if near := nearest(key, known); near != "" {
			t.fail(key, "is no key of this table: did you mean %s?", near)
		} else {
			t.fail(key, "is no key of this table: want %s", oneOf(known))
		}
	}
}

// fail reports a mistake of a key, at its line or, where it is not there, at the table's. A record has
// no lines: its mistakes have the key's path.
func (t *table) fail(key, format string, args ...any) {
	if t.isRecord {
		t.add(0, "%s %s", join(t.path, key), fmt.Sprintf(format, args...))
		return
	}
	line, ok := t.line(join(t.path, key))
	if !ok {
		line, _ = t.line(t.path)
	}
	t.add(line, "%s %s", key, fmt.Sprintf(format, args...))
}

// failValue reports a value that is not what was wanted.
func (t *table) failValue(key string, value any, want string) {
	t.fail(key, "is %s: want %s", show(value), want)
}

// require reports those of some keys that are missing.
func (t *table) require(keys ...string) {
	for _, key := range keys {
		if t.values[key] == nil {
			t.fail(key, "is missing")
		}
	}
}

// origin is where the table stands: FILE:LINE, or the record's key.
func (t *table) origin() string {
	if t.isRecord {
		return t.file
	}
	line, _ := t.line(t.path)
	return t.file + ":" + strconv.Itoa(line)
}

// table returns the table under a key, without values where there is none.
func (t *table) table(key string) *table {
	sub := &table{document: t.document, path: join(t.path, key)}
	switch v := t.get(key).(type) {
	case nil:
	case map[string]any:
		sub.values = v
	default:
		t.failValue(key, v, "a table ["+sub.path+"]")
	}
	return sub
}

// tables returns the tables of an array one by one. Those at the root of a large file are documents of
// their own, each of which is decoded when its turn comes: only one at a time is in memory.
func (t *table) tables(key string) iter.Seq[*table] {
	value := t.get(key)
	list, isList := value.([]any)
	array, isArray := value.(*documentArray)
	if value != nil && !isList && !isArray {
		t.failValue(key, value, "tables in double brackets [["+join(withoutPositions(t.path), key)+"]]")
	}
	count := len(list)
	if isArray {
		count = len(array.documents)
	}
	return func(yield func(*table) bool) {
		switch {
		case count > maxEntries:
			t.fail(key, "is there %d times: want %d at the most", count, maxEntries)
		case isArray:
			array.tables(yield)
		default:
			t.listTables(key, list, yield)
		}
	}
}

// listTables yields the tables of an array that has been decoded.
func (t *table) listTables(key string, list []any, yield func(*table) bool) {
	for i, element := range list {
		values, ok := element.(map[string]any)
		if !ok {
			t.failValue(key, element, "a table")
			continue
		}
		if !yield(&table{document: t.document, path: elementPath(join(t.path, key), i), values: values}) {
			return
		}
	}
}

// join is the path of a key in the table of a path.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// elementPath is the path of an array's element.
func elementPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

// withoutPositions is a path without the positions of elements.
func withoutPositions(path string) string {
	var b strings.Builder
	for i, piece := range strings.Split(path, "[") {
		if i > 0 {
			_, piece, _ = strings.Cut(piece, "]")
		}
		b.WriteString(piece)
	}
	return b.String()
}
