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

// maxListedConflicts bounds the conflicts that an error lists.
const maxListedConflicts = 8

// Conflict is a change of another operator that came first.
type Conflict struct {
	Key     configlog.Key // of the record that both change, or that the edit needs unchanged
	Version uint64
	Author  string
	Note    string
}

// ConflictError lists the changes that came first. It wraps configlog.ErrConflict.
type ConflictError []Conflict

// Error lists up to maxListedConflicts conflicts, one a line.
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

// Rebase leaves out the edits that would undo what only others have changed since a version. The edits were made
// from records of that version. The error wraps configlog.ErrCompacted where the version is no longer retained.
func Rebase(s *configlog.State, base uint64, edits []Edit) ([]Edit, error) {
	if base >= s.Version() {
		return edits, nil
	}
	revert, err := s.Revert(base)
	if errors.Is(err, configlog.ErrCompacted) {
		return nil, err
	}
	// Any other error says that nothing has changed since, and the change has no records.
	atBase := make(map[configlog.Key][]byte, len(revert.Records))
	for _, r := range revert.Records {
		atBase[r.Key] = r.Value
	}
	return slices.DeleteFunc(edits, func(e Edit) bool {
		value, changedSince := atBase[e.Key]
		return changedSince && bytes.Equal(value, e.New)
	}), nil
}

// Conflicts returns a ConflictError with the changes since a version that touch what the edits touch or need, as the
// voters would reject them; nil for none.
func Conflicts(s *configlog.State, base uint64, edits []Edit) error {
	changes, retained := s.Since(base)
	if !retained {
		return fmt.Errorf("%w: version %d is no longer retained; those from %d to %d are", configlog.ErrConflict, base, s.CompactedVersion(), s.Version())
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
	var lost ConflictError
	for _, k := range slices.Sorted(maps.Keys(conflicting)) {
		c := changedBy[k]
		lost = append(lost, Conflict{Key: k, Version: c.Version, Author: c.Author, Note: c.Note})
	}
	return lost
}

// changedChildren returns the changed routes and tenants that exist, by their service.
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

// parent is the service that a route or tenant belongs to; "" for other records.
func parent(k configlog.Key) configlog.Key {
	if _, service, _, err := k.Split(); err == nil && service != "" {
		return configlog.ServiceKey(service)
	}
	return ""
}
