package configlog

import (
	"iter"
	"slices"

	"github.com/google/btree"
)

const (
	// ChunkBytes is the minimum size of a snapshot's chunk, except for the last chunk. A chunk exceeds it by less
	// than one record or change.
	ChunkBytes = 64 << 10
	// MaxChunk bounds an encoded chunk, in bytes.
	MaxChunk = 2*MaxLogBytes + MaxChunkWithoutLog
	// MaxChunkWithoutLog bounds an encoded chunk of a snapshot without the log, in bytes.
	MaxChunkWithoutLog = 4 * ChunkBytes
)

// chunkBytes is ChunkBytes, or a smaller size in tests.
var chunkBytes = ChunkBytes

// Snapshot is a state at one version. It is immutable and safe for concurrent use. The cost of making one is
// proportional to the log's length only, because the records are in a copy-on-write tree.
type Snapshot struct {
	header  SnapshotHeader
	records *btree.BTreeG[*entry]
	log     []*logEntry
}

// SnapshotHeader identifies the state of a snapshot and the start of its log.
type SnapshotHeader struct {
	Version                 uint64
	Digest, Chain           Digest
	FloorDigest, FloorChain Digest // the digest and chain of the state before the log's first change
}

// SnapshotChunk is a part of a snapshot: consecutive records ordered by key and, after the last record, consecutive
// changes of the log. Together the chunks of a snapshot contain all records and changes without gaps.
type SnapshotChunk struct {
	SnapshotHeader
	After     Key    // the last key of the previous chunks; "" in the first chunk
	LogOffset uint64 // the number of changes in the previous chunks
	Records   []VersionedRecord
	Changes   []LoggedChange
	Last      bool
}

// VersionedRecord is a record and the version that last changed it.
type VersionedRecord struct {
	Record
	ModVersion uint64
}

// LoggedChange is a change of the log and the records that it replaced. A record that did not exist before the change
// has no Value and ModVersion 0.
type LoggedChange struct {
	Change
	Before []VersionedRecord
}

// Snapshot returns a snapshot of the current state with its log, which voters and relays need.
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

// WithoutLog returns the snapshot without its log. Nodes serve no followers and do not need the log.
func (s Snapshot) WithoutLog() Snapshot {
	s.log = nil
	s.header.FloorDigest, s.header.FloorChain = s.header.Digest, s.header.Chain
	return s
}

// Version returns the version of the state.
func (s Snapshot) Version() uint64 { return s.header.Version }

// Digest returns the digest of the state.
func (s Snapshot) Digest() Digest { return s.header.Digest }

// Len returns the number of records.
func (s Snapshot) Len() int { return s.records.Len() }

// WithPrefix returns the records whose keys begin with a prefix, ordered by key.
func (s Snapshot) WithPrefix(prefix Key) iter.Seq[Record] {
	return recordsWithPrefix(s.records, prefix)
}

// Chunk returns the chunk that follows the previous one. For the zero value it returns the first chunk.
func (s Snapshot) Chunk(previous SnapshotChunk) SnapshotChunk {
	chunk := SnapshotChunk{
		SnapshotHeader: s.header,
		After:          previous.lastKey(),
		LogOffset:      previous.LogOffset + uint64(len(previous.Changes)),
	}
	size := 0
	s.records.AscendGreaterOrEqual(searchEntry(chunk.After), func(e *entry) bool {
		if e.key() == chunk.After {
			return true
		}
		chunk.Records = append(chunk.Records, e.versionedRecord())
		size += len(e.text)
		return size < chunkBytes
	})
	for i := chunk.LogOffset; size < chunkBytes && i < uint64(len(s.log)); i++ {
		chunk.Changes = append(chunk.Changes, s.log[i].loggedChange())
		size += s.log[i].bytes
	}
	chunk.Last = size < chunkBytes
	return chunk
}

// lastKey returns the key after which the next chunk begins.
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
