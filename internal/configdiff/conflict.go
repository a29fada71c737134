package configdiff

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"jasperpin/internal/configlog"
)

// maxListedConflicts bounds the number of conflicts that ConflictError.Error lists.
const maxListedConflicts = 8

// Conflict is an earlier change of another operator that conflicts with an edit.
type Conflict struct {
	Key     configlog.Key // the record that both change, or that must not have changed for the edit
	Version uint64
	Author  string
	Note    string
}

// ConflictError is the error for edits that conflict with earlier changes. It wraps configlog.ErrConflict.
type ConflictError []Conflict

// Error lists at most maxListedConflicts conflicts, one per line.
func (e ConflictError) Error() string {
	var b strings.Builder
	b.WriteString(configlog.ErrConflict.Error())
	for i, c := range e {
		if i == maxListedConflicts {
			fmt.Fprintf(&b, "\n%d more", len(e)-i)
			break
		}
		fmt.Fprintf(&b, "\n%s was changed at version %d by %q", c.Key, c.Version, c.Author)
		if c.Note != "" {
			fmt.Fprintf(&b, ": %q", c.Note)
		}
	}
	return b.String()
}

// Unwrap returns configlog.ErrConflict.
func (e ConflictError) Unwrap() error { return configlog.ErrConflict }

// Rebase removes the edits that would undo changes of other operators since the version base. The edits must be the
// difference between the state and records that are based on that version. The error wraps configlog.ErrCompacted if the
// version is no longer retained.
func Rebase(s *configlog.State, base uint64, edits []Edit) ([]Edit, error) {
	if base >= s.Version() {
		return edits, nil
	}
	revert, err := s.Revert(base)
	if errors.Is(err, configlog.ErrCompacted) {
		return nil, err
	}
	// Any other error means that no record differs from base. The revert then has no records.
	atBase := make(map[configlog.Key][]byte, len(revert.Records))
	for _, r := range revert.Records {
		atBase[r.Key] = r.Value
	}
	return slices.DeleteFunc(edits, func(e Edit) bool {
		value, changedSince := atBase[e.Key]
		return changedSince && bytes.Equal(value, e.New)
	}), nil
}

// Conflicts returns a ConflictError with the changes since the version base that touch a record that the edits touch or
// require; nil for none. The voters would reject the edits for the same conflicts. If the version is no longer
// retained, the error wraps configlog.ErrConflict.
func Conflicts(s *configlog.State, base uint64, edits []Edit) error {
	changes, retained := s.ChangesSince(base)
	if !retained {
		return fmt.Errorf("%w: version %d is no longer retained, want a version from %d to %d", configlog.ErrConflict, base, s.CompactedVersion(), s.Version())
	}
	changedBy := make(map[configlog.Key]configlog.Change) // the last change of each record
	for _, c := range changes {
		for _, r := range c.Records {
			changedBy[r.Key] = c
		}
	}
	children := changedChildren(s, changedBy)
	conflicting := make(map[configlog.Key]bool)
	for _, e := range edits {
		needed := []configlog.Key{e.Key, parent(e.Key)}
		if e.New == nil {
			needed = append(needed, children[e.Key]...)
		}
		for _, k := range needed {
			if _, changed := changedBy[k]; changed {
				conflicting[k] = true
			}
		}
	}
	if len(conflicting) == 0 {
		return nil
	}
	var conflicts ConflictError
	for _, k := range slices.Sorted(maps.Keys(conflicting)) {
		c := changedBy[k]
		conflicts = append(conflicts, Conflict{Key: k, Version: c.Version, Author: c.Author, Note: c.Note})
	}
	return conflicts
}

// changedChildren returns the changed routes and tenants that still exist, by service.
func changedChildren(s *configlog.State, changedBy map[configlog.Key]configlog.Change) map[configlog.Key][]configlog.Key {
	children := make(map[configlog.Key][]configlog.Key)
	for k := range changedBy {
		service := parent(k)
		if service == "" {
			continue
		}
		if _, _, exists := s.Get(k); exists {
			children[service] = append(children[service], k)
		}
	}
	return children
}

// parent returns the key of the service that a route or tenant belongs to; "" for other records.
func parent(k configlog.Key) configlog.Key {
	if _, service, _, err := k.Split(); err == nil && service != "" {
		return configlog.ServiceKey(service)
	}
	return ""
}
