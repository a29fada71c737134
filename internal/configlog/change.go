package configlog

import (
	"cmp"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
)

// Bounds of a configuration and its changes. They bound what a node holds in memory and what one message
// carries. A change that exceeds them is rejected with ErrFull or ErrMalformed.
const (
	// MaxRecords bounds the records of a configuration.
	MaxRecords = 1 << 18
	// MaxKey bounds a key, in bytes.
	MaxKey = 1 << 10
	// MaxValue bounds a value, in bytes.
	MaxValue = 64 << 10
	// MaxBytes bounds the sum of all keys and values, in bytes.
	MaxBytes = 64 << 20
	// MaxChangeRecords bounds the records of a change.
	MaxChangeRecords = 4096
	// MaxChangeBytes bounds the sum of a change's keys and values, in bytes.
	MaxChangeBytes = 1 << 20
	// MaxText bounds an author, a note or a zone, in bytes.
	MaxText = 1 << 10
)

// Why a change is rejected.
var (
	// ErrMalformed rejects a change that no state would take; proposing it again does not help.
	ErrMalformed = errors.New("the change cannot be used")
	// ErrConflict rejects a proposal based on records that have changed since.
	ErrConflict = errors.New("another change came first")
	// ErrFull rejects a change beyond MaxRecords or MaxBytes.
	ErrFull = errors.New("the configuration is full")
	// ErrGap rejects a change whose predecessors are missing.
	ErrGap = errors.New("changes before this one are missing")
	// ErrStale rejects a change that is in force already.
	ErrStale = errors.New("the change is in force already")
	// ErrDigestMismatch says that what was received does not make the state that its digest is of.
	ErrDigestMismatch = errors.New("the digest does not match")
	// ErrCompacted says that the log no longer retains the changes that are needed. The operators' page
	// quotes its text.
	ErrCompacted = errors.New("the version is not remembered any more")
)

// Record is a key and the canonical JSON object of its table, as the operator's file has it. Without a
// Value the record is deleted.
type Record struct {
	Key   Key
	Value []byte
}

func (r Record) size() int { return len(r.Key) + len(r.Value) }

// Digest identifies a state and its history.
type Digest [sha256.Size]byte

// Stage is where a change is in force first; the zero value is everywhere at once. No node uses it yet.
type Stage struct {
	Zone string
}

// Change is one entry of the log, or a proposal for one.
type Change struct {
	Version     uint64   // from 1 without gaps; 0 in a proposal
	BaseVersion uint64   // the version that the proposal was made from
	Records     []Record // each key once, in any order
	Author      string
	Note        string
	UnixMillis  int64  // Unix time in milliseconds, for operators; never compared
	Reverts     uint64 // the version whose records it restores; 0 for none
	Stage       Stage
	Digest      Digest // of the state after it; zero in a proposal
}

// check rejects a change that no state would take, and returns it with its records ordered by key.
func (c Change) check() (Change, error) {
	if len(c.Records) == 0 || len(c.Records) > MaxChangeRecords {
		return c, fmt.Errorf("%w: it has %d records, want 1 to %d", ErrMalformed, len(c.Records), MaxChangeRecords)
	}
	if len(c.Author) > MaxText || len(c.Note) > MaxText || len(c.Stage.Zone) > MaxText {
		return c, fmt.Errorf("%w: an author, a note or a zone is longer than %d bytes", ErrMalformed, MaxText)
	}
	size := 0
	for _, r := range c.Records {
		if _, _, _, err := r.Key.Split(); err != nil {
			return c, err
		}
		if len(r.Value) > MaxValue {
			return c, fmt.Errorf("%w: %s has %d bytes, %d are allowed", ErrMalformed, r.Key, len(r.Value), MaxValue)
		}
		size += r.size()
	}
	if size > MaxChangeBytes {
		return c, fmt.Errorf("%w: it has %d bytes, %d are allowed", ErrMalformed, size, MaxChangeBytes)
	}
	c.Records = slices.Clone(c.Records)
	slices.SortFunc(c.Records, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	for i := range c.Records[1:] {
		if c.Records[i].Key == c.Records[i+1].Key {
			return c, fmt.Errorf("%w: %s is in it twice", ErrMalformed, c.Records[i].Key)
		}
	}
	return c, nil
}

// find returns the record of a key in a change that was checked.
func (c Change) find(k Key) (Record, bool) {
	i, found := slices.BinarySearchFunc(c.Records, k, func(r Record, k Key) int { return cmp.Compare(r.Key, k) })
	if !found {
		return Record{}, false
	}
	return c.Records[i], true
}

// size is what a change counts for in the log, in bytes.
func (c Change) size() int {
	size := len(c.Author) + len(c.Note) + len(c.Stage.Zone) + sha256.Size
	for _, r := range c.Records {
		size += r.size()
	}
	return size
}
