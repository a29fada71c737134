package configlog

import (
	"cmp"
	"fmt"
	"slices"
)

const (
	// MaxLog bounds the number of changes that a state retains: for followers that lag slightly, for rollbacks, and
	// to detect conflicts.
	MaxLog = 4096
	// MaxLogBytes bounds the retained changes and the records that they replaced, in bytes.
	MaxLogBytes = 8 << 20
	// versionGap is the number by which BumpVersion increases the version. No cluster commits as many changes
	// between a backup and its loss.
	versionGap = 1 << 32
	// bumpLimit is the lowest version that BumpVersion rejects: a further increase could overflow.
	bumpLimit = 1 << 63
)

// maxLog is MaxLog, or a smaller limit in tests.
var maxLog = MaxLog

// logEntry is a change that the state retains.
type logEntry struct {
	Change
	before []*entry    // the entries that its records replaced, in the same order; nil for a record that did not exist
	after  fingerprint // the fingerprint of the state after the change
	bytes  int         // the size by which it counts against MaxLogBytes
}

// appendLog appends a change to the log, and compacts the log if it exceeds its bounds.
func (s *State) appendLog(c Change, before []*entry) {
	l := &logEntry{Change: c, before: before, after: s.fingerprint(), bytes: c.size()}
	for _, e := range before {
		if e != nil {
			l.bytes += len(e.text)
		}
	}
	s.log = append(s.log, l)
	s.logBytes += l.bytes
	for len(s.log) > maxLog || s.logBytes > MaxLogBytes {
		s.dropOldest()
	}
}

// dropOldest drops the log's first change, and the deletions that only that change records.
func (s *State) dropOldest() {
	oldest := s.log[0]
	s.log[0] = nil
	s.log = s.log[1:]
	s.logBytes -= oldest.bytes
	s.floor = oldest.after
	for _, r := range oldest.Records {
		if r.Value == nil && s.deleted[r.Key] == oldest.Version {
			delete(s.deleted, r.Key)
		}
	}
}

// CompactedVersion returns the version before the log's first change. It is the oldest version that ChangesSince and
// Revert accept.
func (s *State) CompactedVersion() uint64 { return s.version - uint64(len(s.log)) }

// ChangesSince returns the changes after a version, oldest first. It returns false if some of them are no longer
// retained, or if the version is higher than the state's. The changes are shared and must not be modified.
func (s *State) ChangesSince(version uint64) ([]Change, bool) {
	if version < s.CompactedVersion() || version > s.version {
		return nil, false
	}
	entries := s.log[version-s.CompactedVersion():]
	changes := make([]Change, len(entries))
	for i, l := range entries {
		changes[i] = l.Change
	}
	return changes, true
}

// DigestAt returns the digest that the state had at a version, and false if that digest is not retained.
func (s *State) DigestAt(version uint64) (Digest, bool) {
	switch floor := s.CompactedVersion(); {
	case version == s.version:
		return s.digest, true
	case version == floor:
		return s.floor.digest, true
	case version > floor && version < s.version:
		return s.log[version-floor-1].Digest, true
	}
	return Digest{}, false
}

// Revert returns a proposal that restores all records as they were at a version. The proposal is based on the newest
// version. The error wraps ErrCompacted if the log no longer retains the changes since that version, and ErrMalformed
// if no record differs from that version.
func (s *State) Revert(to uint64) (Change, error) {
	if to >= s.version || to < s.CompactedVersion() {
		return Change{}, fmt.Errorf("%w: %d, want a version from %d to %d", ErrCompacted, to, s.CompactedVersion(), s.version-min(s.version, 1))
	}
	c := Change{BaseVersion: s.version, Reverts: to}
	for k, old := range s.entriesAt(to) {
		current, exists := s.records.Get(searchEntry(k))
		switch {
		case old == nil && exists:
			c.Records = append(c.Records, Record{Key: k})
		case old != nil && (!exists || current.value() != old.value()):
			c.Records = append(c.Records, old.record())
		}
	}
	if len(c.Records) == 0 {
		return Change{}, fmt.Errorf("%w: no record differs from version %d", ErrMalformed, to)
	}
	slices.SortFunc(c.Records, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return c, nil
}

// entriesAt returns, for each record that has changed since a version, its entry at that version; nil for a record
// that did not exist.
func (s *State) entriesAt(version uint64) map[Key]*entry {
	entries := make(map[Key]*entry)
	for _, l := range s.log[version-s.CompactedVersion():] {
		for i, r := range l.Records {
			if _, found := entries[r.Key]; !found {
				entries[r.Key] = l.before[i]
			}
		}
	}
	return entries
}

// BumpVersion prepares the state of a backup for a cluster whose nodes may have applied changes made after the
// backup. It increases the version beyond any version of those nodes and drops the log, so that all nodes install the state
// as a whole. The error wraps ErrMalformed if the version would overflow.
func (s *State) BumpVersion() error {
	if s.version >= bumpLimit {
		return fmt.Errorf("%w: version %d is too high to be increased for another restore", ErrMalformed, s.version)
	}
	s.chain = nextChain(s.chain, s.digest, Change{Version: s.version + versionGap, BaseVersion: s.version})
	s.version += versionGap
	s.digest = stateDigest(s.version, s.tree.root(), s.chain)
	s.log, s.logBytes, s.floor = nil, 0, s.fingerprint()
	clear(s.deleted)
	return nil
}
