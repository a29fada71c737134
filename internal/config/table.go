package config

import (
	"fmt"
	"iter"
	"slices"
	"strconv"
	"strings"
)

// table is one table of a file or a record, from which values are read by key. In a missing table values is
// nil, and all keys have their defaults.
type table struct {
	*document
	path   string // from the file's root, such as pool[0].class[1]
	values map[string]any
	read   []string // the keys that have been read
}

// typicalKeyCount is the initial capacity of table.read, enough for most tables.
const typicalKeyCount = 8

// get returns the value of a key, or nil if it is missing, and marks the key as read.
func (t *table) get(key string) any {
	if t.read == nil {
		t.read = make([]string, 0, typicalKeyCount)
	}
	if !slices.Contains(t.read, key) {
		t.read = append(t.read, key)
	}
	return t.values[key]
}

// reportUnknownKeys reports the keys that have not been read, which are unknown in this table.
func (t *table) reportUnknownKeys() {
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
			t.fail(key, "is not a key of this table: did you mean %s?", near)
		} else {
			t.fail(key, "is not a key of this table: want %s", oneOf(known))
		}
	}
}

// fail reports an error of a key at the line of the key or, if the key is missing, at that of the table. A
// record has no lines, so its errors state the path of the key.
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

// failValue reports an invalid value; want describes valid ones.
func (t *table) failValue(key string, value any, want string) {
	t.fail(key, "is %s: want %s", formatValue(value), want)
}

// require reports each of the given keys that is missing.
func (t *table) require(keys ...string) {
	for _, key := range keys {
		if t.values[key] == nil {
			t.fail(key, "is missing")
		}
	}
}

// origin returns the location of the table: FILE:LINE, or the record's key.
func (t *table) origin() string {
	if t.isRecord {
		return t.file
	}
	line, _ := t.line(t.path)
	return t.file + ":" + strconv.Itoa(line)
}

// table returns the table of a key, with nil values if the key is missing.
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

// tables returns an iterator over the tables of an array. Tables of arrays at the root of a file are
// separate documents, each decoded when it is yielded, so that only one at a time is in memory.
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
			t.fail(key, "has %d entries: want at most %d", count, maxEntries)
		case isArray:
			array.tables(yield)
		default:
			t.listTables(key, list, yield)
		}
	}
}

// listTables yields the tables of a decoded array.
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

// join returns the path of a key in the table with the given path.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// elementPath returns the path of element i of an array.
func elementPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

// withoutPositions returns a path without the positions of array elements.
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
