package configlog

import (
	"fmt"
	"iter"
)

// checkConflicts returns an error if a record that the proposal touches has changed since its base version, or the
// parent of such a record, or a child of a record that it deletes. A base version before the log's floor is an error as
// well, because the log no longer retains earlier deletions.
func (s *State) checkConflicts(proposal Change) error {
	if proposal.BaseVersion > s.version {
		return fmt.Errorf("%w: base version %d is higher than the newest version %d", ErrMalformed, proposal.BaseVersion, s.version)
	}
	if proposal.BaseVersion < s.CompactedVersion() {
		return fmt.Errorf("%w: base version %d is no longer retained, the oldest is %d", ErrConflict, proposal.BaseVersion, s.CompactedVersion())
	}
	for _, r := range proposal.Records {
		for _, k := range []Key{r.Key, r.Key.parent()} {
			if at := s.lastChanged(k); at > proposal.BaseVersion {
				return conflictError(k, at, proposal.BaseVersion)
			}
		}
		if len(r.Value) > 0 {
			continue
		}
		for child := range s.children(r.Key) {
			if child.modVersion > proposal.BaseVersion {
				return conflictError(child.key(), child.modVersion, proposal.BaseVersion)
			}
			if _, found := proposal.find(child.key()); !found {
				break // checkRecords returns an error for the missing deletion
			}
		}
	}
	return nil
}

func conflictError(k Key, changedAt, base uint64) error {
	return fmt.Errorf("%w: %s changed at version %d, after base version %d", ErrConflict, k, changedAt, base)
}

// lastChanged returns the version that last changed or deleted a record; 0 if that version is not known.
func (s *State) lastChanged(k Key) uint64 {
	if e, found := s.records.Get(searchEntry(k)); found {
		return e.modVersion
	}
	return s.deleted[k]
}

// children returns the entries of a record's children. A child requires the record to exist.
func (s *State) children(k Key) iter.Seq[*entry] { return entriesWithPrefix(s.records, k+"/") }

// checkRecords returns an error if, after the change, the records would be inconsistent or exceed the bounds. In a
// consistent configuration each record's parent exists. A change must not delete a record that does not exist.
func (s *State) checkRecords(change Change) error {
	records, bytes := s.records.Len(), s.bytes
	for _, r := range change.Records {
		old, exists := s.records.Get(searchEntry(r.Key))
		if exists {
			records--
			bytes -= len(old.text)
		}
		if len(r.Value) == 0 {
			if err := s.checkDeletion(change, r.Key, exists); err != nil {
				return err
			}
			continue
		}
		records++
		bytes += r.size()
		if parent := r.Key.parent(); parent != "" && !s.existsAfter(change, parent) {
			return fmt.Errorf("%w: %s requires %s, which does not exist", ErrMalformed, r.Key, parent)
		}
	}
	if records > MaxRecords || bytes > MaxBytes {
		return fmt.Errorf("%w: %d records and %d bytes, want at most %d and %d", ErrFull, records, bytes, MaxRecords, MaxBytes)
	}
	return nil
}

// checkDeletion returns an error for the deletion of a record that does not exist, or that has a child after the
// change.
func (s *State) checkDeletion(change Change, k Key, exists bool) error {
	if !exists {
		return fmt.Errorf("%w: cannot delete %s, which does not exist", ErrMalformed, k)
	}
	for child := range s.children(k) {
		if _, found := change.find(child.key()); !found {
			return fmt.Errorf("%w: cannot delete %s, which %s requires", ErrMalformed, k, child.key())
		}
	}
	return nil
}

// existsAfter reports whether a record exists after a change.
func (s *State) existsAfter(change Change, k Key) bool {
	if r, found := change.find(k); found {
		return len(r.Value) > 0
	}
	return s.records.Has(searchEntry(k))
}
