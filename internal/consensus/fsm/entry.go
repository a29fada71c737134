package fsm

import "slices"

// Entry is one key of the table with its value.
type Entry struct {
	Key      string `json:"Key"`
	Value    []byte `json:"Value"`
	Revision uint64 `json:"Rev"` // the revision of the entry's last change
}

// size is the number of bytes that the entry counts toward MaxBytes.
func (e Entry) size() int { return len(e.Key) + len(e.Value) }

// applyEntry executes Put and Delete.
func (s *State) applyEntry(command Command) Result {
	old, exists := s.entries[command.Name]
	if len(command.Value) > MaxValue {
		return Result{Code: codeMalformed}
	}
	if old.Revision != command.IfRevision {
		return Result{Code: codeRevisionMismatch}
	}
	if command.Op == Delete {
		if !exists {
			return Result{Code: codeRevisionMismatch}
		}
		s.entryBytes -= old.size()
		s.recordEvent(Event{Name: command.Name, Deleted: true})
		delete(s.entries, command.Name)
		return Result{}
	}
	entry := Entry{Key: command.Name, Value: slices.Clone(command.Value)}
	grown := s.entryBytes + entry.size() - old.size()
	if !exists && len(s.entries) >= MaxKeys || grown > MaxBytes {
		return Result{Code: codeFull}
	}
	s.entryBytes = grown
	s.recordEvent(Event{Name: command.Name})
	entry.Revision = s.revision
	s.entries[command.Name] = entry
	return Result{}
}

// Entry returns the entry of a key, and false if there is none.
func (s *State) Entry(key string) (Entry, bool) {
	e, ok := s.entries[key]
	return e, ok
}

// Entries returns the entries whose keys begin with prefix, ordered by key.
func (s *State) Entries(prefix string) []Entry { return withPrefix(s.entries, prefix) }
