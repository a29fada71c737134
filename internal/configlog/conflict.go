package configlog

import (
	"fmt"
	"iter"
)

// checkConflicts rejects a proposal where what it touches has changed since its base: a record itself, the
// parent of one, or a child of one that it deletes. A base before the log's floor is rejected as well, since
// deletions from before are no longer known.
func (s *State) checkConflicts(c Change) error {
	if c.BaseVersion > s.version {
		return fmt.Errorf("%w: it is based on version %d, the newest is %d", ErrMalformed, c.BaseVersion, s.version)
	}
	if c.BaseVersion < s.CompactedVersion() {
		return fmt.Errorf("%w: it is based on version %d, and changes are retained from %d on", ErrConflict, c.BaseVersion, s.CompactedVersion())
	}
	for _, r := range c.Records {
		for _, k := range []Key{r.Key, r.Key.parent()} {
			if at := s.lastChanged(k); at > c.BaseVersion {
				return conflictError(k, at, c.BaseVersion)
			}
		}
		if len(r.Value) > 0 {
			continue
		}
		for child := range s.children(r.Key) {
			if child.modVersion > c.BaseVersion {
				return conflictError(child.key(), child.modVersion, c.BaseVersion)
			}
			if _, found := c.find(child.key()); !found {
				break // checkRecords rejects it
			}
		}
	}
	return nil
}

func conflictError(k Key, changedAt, base uint64) error {
	return fmt.Errorf("%w: %s changed at version %d, after %d", ErrConflict, k, changedAt, base)
}

// lastChanged is the version that changed or deleted a record last; 0 where that is not known.
func (s *State) lastChanged(k Key) uint64 {
	if e, found := s.records.Get(searchEntry(k)); found {
		return e.modVersion
	}
	return s.deleted[k]
}

// children returns the entries that need a record.
func (s *State) children(k Key) iter.Seq[*entry] { return entriesWithPrefix(s.records, k+"/") }

// checkRecords rejects a change after which the records would not be consistent, or exceed the bounds: each
// record has its parent, and none is deleted that does not exist.
func (s *State) checkRecords(c Change) error {
	records, bytes := s.records.Len(), s.bytes
	for _, r := range c.Records {
		old, exists := s.records.Get(searchEntry(r.Key))
		if exists {
			records--
			bytes -= len(old.text)
		}
		if len(r.Value) == 0 {
			if err := s.checkDeletion(c, r.Key, exists); err != nil {
				return err
			}
			continue
		}
		records++
		bytes += r.size()
		if parent := r.Key.parent(); parent != "" && !s.existsAfter(c, parent) {
			return fmt.Errorf("%w: %s needs %s, which does not exist", ErrMalformed, r.Key, parent)
		}
	}
	if records > MaxRecords || bytes > MaxBytes {
		return fmt.Errorf("%w: %d records and %d bytes, of %d and %d", ErrFull, records, bytes, MaxRecords, MaxBytes)
	}
	return nil
}

// checkDeletion rejects the deletion of a record that does not exist, or that another needs after the change.
func (s *State) checkDeletion(c Change, k Key, exists bool) error {
	if !exists {
		return fmt.Errorf("%w: %s is to be deleted and does not exist", ErrMalformed, k)
	}
	for child := range s.children(k) {
		if _, found := c.find(child.key()); !found {
			return fmt.Errorf("%w: %s is to be deleted and %s needs it", ErrMalformed, k, child.key())
		}
	}
	return nil
}

// existsAfter reports whether a record exists after a change.
func (s *State) existsAfter(c Change, k Key) bool {
	if r, found := c.find(k); found {
		return len(r.Value) > 0
	}
	return s.records.Has(searchEntry(k))
}
