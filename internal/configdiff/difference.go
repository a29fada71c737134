package configdiff

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"jasperpin/internal/configlog"
)

// Edit is the change of one record.
type Edit struct {
	Key configlog.Key
	Old []byte // the value before; nil for a new record
	New []byte // the value after; nil to delete the record
}

func (e Edit) record() configlog.Record { return configlog.Record{Key: e.Key, Value: e.New} }

// Difference returns the edits after which a state contains exactly the given records. The records must be ordered by
// key.
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

// Field is the change of one field of a record.
type Field struct {
	Path string          `json:"Path"`          // the names of the field and of the tables around it, joined by dots
	Old  json.RawMessage `json:"Was,omitempty"` // the value before; nil for a new field
	New  json.RawMessage `json:"Is,omitempty"`  // the value after; nil for a removed field
}

// Fields returns the fields that the edit changes, ordered by path.
func (e Edit) Fields() []Field { return appendFields(nil, "", e.Old, e.New) }

// appendFields appends the differences between two values. It compares two tables field by field, and other values as
// a whole.
func appendFields(fields []Field, path string, oldValue, newValue json.RawMessage) []Field {
	if bytes.Equal(oldValue, newValue) {
		return fields
	}
	oldTable, newTable, ok := tables(oldValue, newValue)
	if !ok {
		return append(fields, Field{Path: path, Old: oldValue, New: newValue})
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

// tables decodes two values as tables. One of them may be nil. It returns false if a value is not a table.
func tables(oldValue, newValue json.RawMessage) (oldTable, newTable map[string]json.RawMessage, ok bool) {
	if oldValue != nil && json.Unmarshal(oldValue, &oldTable) != nil {
		return nil, nil, false
	}
	if newValue != nil && json.Unmarshal(newValue, &newTable) != nil {
		return nil, nil, false
	}
	return oldTable, newTable, oldTable != nil || newTable != nil
}
