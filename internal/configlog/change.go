package configlog

import (
	"cmp"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
)

// Bounds of a configuration and its changes. They limit a node's memory and the size of a message. A change that
// exceeds them is rejected with ErrFull or ErrMalformed.
const (
	// MaxRecords bounds the number of records of a configuration.
	MaxRecords = 1 << 18
	// MaxKey bounds a key, in bytes.
	MaxKey = 1 << 10
	// MaxValue bounds a value, in bytes.
	MaxValue = 64 << 10
	// MaxBytes bounds the sum of all keys and values, in bytes.
	MaxBytes = 64 << 20
	// MaxChangeRecords bounds the number of records of a change.
	MaxChangeRecords = 4096
	// MaxChangeBytes bounds the sum of a change's keys and values, in bytes.
	MaxChangeBytes = 1 << 20
	// MaxText bounds an author, a note or a zone, in bytes.
	MaxText = 1 << 10
)

// Errors of rejected changes and snapshots. Errors of this package wrap them.
var (
	// ErrMalformed is returned for a change that is invalid for every state. Proposing it again cannot succeed.
	ErrMalformed = errors.New("invalid change")
	// ErrConflict is returned for a proposal based on records that have changed since its base version.
	ErrConflict = errors.New("conflicts with an earlier change")
	// ErrFull is returned for a change after which the configuration would exceed MaxRecords or MaxBytes.
	ErrFull = errors.New("configuration is at capacity")
	// ErrGap is returned for a change whose predecessors are missing.
	ErrGap = errors.New("preceding changes are missing")
	// ErrStale is returned for a change that is already applied.
	ErrStale = errors.New("change is already applied")
	// ErrDigestMismatch is returned if the digest of a received change or snapshot does not match the state that
	// results from it.
	ErrDigestMismatch = errors.New("digest mismatch")
	// ErrCompacted is returned if the log no longer retains the required changes. The operators' page quotes its
	// text.
	ErrCompacted = errors.New("version is no longer retained")
)

// Record is a key and the table that it names, encoded as a canonical JSON object. A record without a Value is
// deleted.
type Record struct {
	Key   Key
	Value []byte
}

func (r Record) size() int { return len(r.Key) + len(r.Value) }

// Digest is a hash that identifies a state and its history.
type Digest [sha256.Size]byte

// Stage is the part of the fleet where a change is applied first; the zero value means all nodes at once. No node
// uses it yet.
type Stage struct {
	Zone string
}

// Change is one entry of the log, or a proposal for one.
type Change struct {
	Version     uint64   // the change's own version, from 1 without gaps; 0 in a proposal
	BaseVersion uint64   // the version that the proposal is based on
	Records     []Record // the changed records: each key once, in any order
	Author      string
	Note        string
	UnixMillis  int64  // Unix time in milliseconds, for operators; never compared
	Reverts     uint64 // the version whose records the change restores; 0 for none
	Stage       Stage
	Digest      Digest // the digest of the state after the change; zero in a proposal
}

// check returns the change with its records ordered by key, or an error if the change is invalid for every state.
func (c Change) check() (Change, error) {
	if len(c.Records) == 0 || len(c.Records) > MaxChangeRecords {
		return c, fmt.Errorf("%w: %d records, want 1 to %d", ErrMalformed, len(c.Records), MaxChangeRecords)
	}
	if len(c.Author) > MaxText || len(c.Note) > MaxText || len(c.Stage.Zone) > MaxText {
		return c, fmt.Errorf("%w: author, note or zone is longer than %d bytes", ErrMalformed, MaxText)
	}
	size := 0
	for _, r := range c.Records {
		if _, _, _, err := r.Key.Split(); err != nil {
			return c, err
		}
		if len(r.Value) > MaxValue {
			return c, fmt.Errorf("%w: value of %s has %d bytes, want at most %d", ErrMalformed, r.Key, len(r.Value), MaxValue)
		}
		size += r.size()
	}
	if size > MaxChangeBytes {
		return c, fmt.Errorf("%w: change has %d bytes, want at most %d", ErrMalformed, size, MaxChangeBytes)
	}
	c.Records = slices.Clone(c.Records)
	slices.SortFunc(c.Records, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	for i := range c.Records[1:] {
		if c.Records[i].Key == c.Records[i+1].Key {
			return c, fmt.Errorf("%w: duplicate record %s", ErrMalformed, c.Records[i].Key)
		}
	}
	return c, nil
}

// find returns the change's record of a key, and false if there is none. The records must be ordered by key, as
// check returns them.
func (c Change) find(k Key) (Record, bool) {
	i, found := slices.BinarySearchFunc(c.Records, k, func(r Record, k Key) int { return cmp.Compare(r.Key, k) })
	if !found {
		return Record{}, false
	}
	return c.Records[i], true
}

// size returns the size by which a change counts against MaxLogBytes, in bytes.
func (c Change) size() int {
	size := len(c.Author) + len(c.Note) + len(c.Stage.Zone) + sha256.Size
	for _, r := range c.Records {
		size += r.size()
	}
	return size
}
