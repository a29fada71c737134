package configlog

import (
	"cmp"
	"fmt"
	"slices"
)

const (
	// MaxLog bounds the changes that a state retains: for followers that lag a little, for rollbacks, and
	// for finding conflicts.
	MaxLog = 4096
	// MaxLogBytes bounds them in bytes, with the records that they replaced.
	MaxLogBytes = 8 << 20
	// versionGap is how far BumpVersion moves the version. No cluster makes as many changes between a
	// back-up and its loss.
	versionGap = 1 << 32
	// maxBumpable is the first version that is not moved again, before it would overflow.
	maxBumpable = 1 << 63
)

// maxLog is smaller in tests.
var maxLog = MaxLog

// logEntry is a change that the state retains.
type logEntry struct {
	Change
	before []*entry    // what its records replaced, in their order; nil for a record that did not exist
	after  fingerprint // of the state after it
	bytes  int         // what it counts for in the log
}

// appendLog retains a change, and compacts the log where it exceeds its bounds.
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

// dropOldest drops the log's first change, and with it the deletions that only that one knows.
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

// CompactedVersion is the version before the log's first change: Since and Revert go back that far.
func (s *State) CompactedVersion() uint64 { return s.version - uint64(len(s.log)) }

// Since returns the changes after a version, the oldest first. It returns false where some are no longer
// retained, or the version is beyond the state's. The changes are shared and must not be modified.
func (s *State) Since(version uint64) ([]Change, bool) {
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

// DigestAt returns the digest that the state had at a version, and false where that is no longer known.
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

// Revert returns the proposal that restores all records as they were at a version. It is based on the newest
// version and makes a new one. The error wraps ErrCompacted where the log does not go back that far, and
// ErrMalformed where nothing has changed since.
func (s *State) Revert(to uint64) (Change, error) {
	if to >= s.version || to < s.CompactedVersion() {
		return Change{}, fmt.Errorf("%w: %d; those from %d to %d can be restored", ErrCompacted, to, s.CompactedVersion(), s.version-min(s.version, 1))
	}
	c := Change{BaseVersion: s.version, Reverts: to}
	for k, then := range s.entriesAt(to) {
		now, exists := s.records.Get(searchEntry(k))
		switch {
		case then == nil && exists:
			c.Records = append(c.Records, Record{Key: k})
		case then != nil && (!exists || now.value() != then.value()):
			c.Records = append(c.Records, then.record())
		}
	}
	if len(c.Records) == 0 {
		return Change{}, fmt.Errorf("%w: all records are as they were at version %d", ErrMalformed, to)
	}
	slices.SortFunc(c.Records, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return c, nil
}

// entriesAt returns what the records that have changed since a version were then; nil for one that did not
// exist.
func (s *State) entriesAt(version uint64) map[Key]*entry {
	then := make(map[Key]*entry)
	for _, l := range s.log[version-s.CompactedVersion():] {
		for i, r := range l.Records {
			if _, found := then[r.Key]; !found {
				then[r.Key] = l.before[i]
			}
		}
	}
	return then
}

// BumpVersion makes the state of a back-up usable in a cluster, or for nodes, that may have made changes since. It
// moves the version beyond any of theirs and drops the log, so that all of them install it as a whole.
func (s *State) BumpVersion() error {
	if s.version >= maxBumpable {
		return fmt.Errorf("%w: at version %d it has been revived too often", ErrMalformed, s.version)
	}
	s.chain = nextChain(s.chain, s.digest, Change{Version: s.version + versionGap, BaseVersion: s.version})
	s.version += versionGap
	s.digest = stateDigest(s.version, s.tree.root(), s.chain)
	s.log, s.logBytes, s.floor = nil, 0, s.fingerprint()
	clear(s.deleted)
	return nil
}
