package configlog

import (
	"iter"
	"slices"

	"github.com/google/btree"
)

const (
	// ChunkBytes is the least size of a snapshot's chunk, but for the last. It is exceeded by less than one
	// record or change.
	ChunkBytes = 64 << 10
	// MaxChunk bounds an encoded chunk, in bytes.
	MaxChunk = 2*MaxLogBytes + MaxChunkWithoutLog
	// MaxChunkWithoutLog bounds an encoded chunk of a snapshot without the log, in bytes.
	MaxChunkWithoutLog = 4 * ChunkBytes
)

// chunkBytes is smaller in tests.
var chunkBytes = ChunkBytes

// Snapshot is a state at one version. It is immutable and safe for concurrent use. It costs no more than the
// log's length to make: the records are a copy-on-write tree.
type Snapshot struct {
	header  SnapshotHeader
	records *btree.BTreeG[*entry]
	log     []*logEntry
}

// SnapshotHeader identifies the state of a snapshot and where its log begins.
type SnapshotHeader struct {
	Version                 uint64
	Digest, Chain           Digest
	FloorDigest, FloorChain Digest // before the log's first change
}

// SnapshotChunk is a part of a snapshot: some records in the order of their keys, and after the last record
// some changes of the log. The chunks of a snapshot follow each other without gaps.
type SnapshotChunk struct {
	SnapshotHeader
	After     Key    // the last key of the chunks before; "" in the first
	LogOffset uint64 // the number of changes in the chunks before
	Records   []VersionedRecord
	Changes   []LoggedChange
	Last      bool
}

// VersionedRecord is a record and the version of its last change.
type VersionedRecord struct {
	Record
	ModVersion uint64
}

// LoggedChange is a change of the log, and what its records were before it: without a Value and at version 0
// for a record that did not exist.
type LoggedChange struct {
	Change
	Before []VersionedRecord
}

// Snapshot returns the state as it is, with its log, which voters and relays need.
func (s *State) Snapshot() Snapshot {
	return Snapshot{
		header: SnapshotHeader{
			Version:     s.version,
			Digest:      s.digest,
			Chain:       s.chain,
			FloorDigest: s.floor.digest,
			FloorChain:  s.floor.chain,
		},
		records: s.records.Clone(),
		log:     slices.Clone(s.log),
	}
}

// WithoutLog returns the snapshot without its log, for nodes, which serve no followers.
func (s Snapshot) WithoutLog() Snapshot {
	s.log = nil
	s.header.FloorDigest, s.header.FloorChain = s.header.Digest, s.header.Chain
	return s
}

// Version is that of the state.
func (s Snapshot) Version() uint64 { return s.header.Version }

// Digest is that of the state.
func (s Snapshot) Digest() Digest { return s.header.Digest }

// Len is the number of records.
func (s Snapshot) Len() int { return s.records.Len() }

// WithPrefix returns the records whose keys begin with a prefix, ordered by key.
func (s Snapshot) WithPrefix(prefix Key) iter.Seq[Record] {
	return recordsWithPrefix(s.records, prefix)
}

// Chunk returns the chunk that follows another, or the first after the zero value.
func (s Snapshot) Chunk(previous SnapshotChunk) SnapshotChunk {
	c := SnapshotChunk{
		SnapshotHeader: s.header,
		After:          previous.lastKey(),
		LogOffset:      previous.LogOffset + uint64(len(previous.Changes)),
	}
	size := 0
	s.records.AscendGreaterOrEqual(searchEntry(c.After), func(e *entry) bool {
		if e.key() == c.After {
			return true
		}
		c.Records = append(c.Records, e.versionedRecord())
		size += len(e.text)
		return size < chunkBytes
	})
	for i := c.LogOffset; size < chunkBytes && i < uint64(len(s.log)); i++ {
		c.Changes = append(c.Changes, s.log[i].loggedChange())
		size += s.log[i].bytes
	}
	c.Last = size < chunkBytes
	return c
}

// lastKey is the key after which the next chunk begins.
func (c SnapshotChunk) lastKey() Key {
	if n := len(c.Records); n > 0 {
		return c.Records[n-1].Key
	}
	return c.After
}

func (l *logEntry) loggedChange() LoggedChange {
	c := LoggedChange{Change: l.Change, Before: make([]VersionedRecord, len(l.before))}
	for i, e := range l.before {
		c.Before[i].Key = l.Records[i].Key
		if e != nil {
			c.Before[i] = e.versionedRecord()
		}
	}
	return c
}
