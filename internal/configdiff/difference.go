package configdiff

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"jasperpin/internal/configlog"
)

// Edit is how one record differs.
type Edit struct {
	Key configlog.Key
	Old []byte // nil for a new record
	New []byte // nil for one that is to be deleted
}

func (e Edit) record() configlog.Record { return configlog.Record{Key: e.Key, Value: e.New} }

// Difference returns the edits after which a state has the given records and no others. The records are ordered
// by key.
func Difference(s *configlog.State, records []configlog.Record) (edits []Edit) {
	i := 0
	for old := range s.WithPrefix("") {
		for ; i < len(records) && records[i].Key < old.Key; i++ {
			edits = append(edits, Edit{Key: records[i].Key, New: records[i].Value})
		}
		if i == len(records) || records[i].Key != old.Key {
			edits = append(edits, Edit{Key: old.Key, Old: old.Value})
			continue
		}
		if !bytes.Equal(old.Value, records[i].Value) {
			edits = append(edits, Edit{Key: old.Key, Old: old.Value, New: records[i].Value})
		}
		i++
	}
	for ; i < len(records); i++ {
		edits = append(edits, Edit{Key: records[i].Key, New: records[i].Value})
	}
	return edits
}

// Field is how one field of a record differs.
type Field struct {
	Path string          `json:"Path"`          // names of nested tables, joined by dots
	Old  json.RawMessage `json:"Was,omitempty"` // nil for a new field
	New  json.RawMessage `json:"Is,omitempty"`  // nil for one that is removed
}

// Fields returns the fields in which a record differs, ordered by path.
func (e Edit) Fields() []Field { return appendFields(nil, "", e.Old, e.New) }

// appendFields appends the differences of two values: of two tables field by field, else as a whole.
func appendFields(fields []Field, path string, was, is json.RawMessage) []Field {
	if bytes.Equal(was, is) {
		return fields
	}
	oldTable, newTable, ok := tables(was, is)
	if !ok {
		return append(fields, Field{Path: path, Old: was, New: is})
	}
	names := make(map[string]json.RawMessage, len(oldTable)+len(newTable))
	maps.Copy(names, oldTable)
	maps.Copy(names, newTable)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		fieldPath := name
		if path != "" {
			fieldPath = path + "." + name
		}
		fields = appendFields(fields, fieldPath, oldTable[name], newTable[name])
	}
	return fields
}

// tables decodes two values, of which one may be nil. It returns false where either is no table.
func tables(was, is json.RawMessage) (oldTable, newTable map[string]json.RawMessage, ok bool) {
	if was != nil && json.Unmarshal(was, &oldTable) != nil {
		return nil, nil, false
	}
	if is != nil && json.Unmarshal(is, &newTable) != nil {
		return nil, nil, false
	}
	return oldTable, newTable, oldTable != nil || newTable != nil
}
