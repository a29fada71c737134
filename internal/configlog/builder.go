package configlog

import (
	"errors"
	"fmt"
)

// ErrSnapshot is returned for a snapshot that is incomplete, or whose chunks are not of the same state.
var ErrSnapshot = errors.New("invalid snapshot")

// SnapshotBuilder builds a state from a snapshot's chunks. Chunks of an untrusted peer cannot make it use more memory
// than the bounds of a state.
type SnapshotBuilder struct {
	state   *State
	next    SnapshotChunk // the header and position that the next chunk must have
	started bool
	done    bool
}

// NewSnapshotBuilder returns a builder for one snapshot. Its next chunk must be the snapshot's first.
func NewSnapshotBuilder() *SnapshotBuilder { return &SnapshotBuilder{state: New()} }

// Version returns the snapshot's version; 0 before the first chunk.
func (b *SnapshotBuilder) Version() uint64 { return b.next.Version }

// Digest returns the snapshot's digest; zero before the first chunk.
func (b *SnapshotBuilder) Digest() Digest { return b.next.Digest }

// Add adds the next chunk. It returns nil until the last chunk, and then the complete state, whose digest is
// verified. The error wraps ErrSnapshot or ErrDigestMismatch; after an error the builder must not be used again.
func (b *SnapshotBuilder) Add(chunk SnapshotChunk) (*State, error) {
	if b.done {
		return nil, fmt.Errorf("%w: chunk after the last chunk or after an error", ErrSnapshot)
	}
	b.done = true // reset below if the chunk is valid and not the last
	if !b.started {
		b.started = true
		b.next.SnapshotHeader = chunk.SnapshotHeader
		b.state.floor = fingerprint{digest: chunk.FloorDigest, chain: chunk.FloorChain}
	}
	if chunk.SnapshotHeader != b.next.SnapshotHeader || chunk.After != b.next.After || chunk.LogOffset != b.next.LogOffset {
		return nil, fmt.Errorf("%w: chunk of version %d after %q is not the next one", ErrSnapshot, chunk.Version, chunk.After)
	}
	if err := b.addRecords(chunk); err != nil {
		return nil, err
	}
	if err := b.addChanges(chunk); err != nil {
		return nil, err
	}
	b.next.After, b.next.LogOffset = chunk.lastKey(), chunk.LogOffset+uint64(len(chunk.Changes))
	if chunk.Last {
		return b.finish()
	}
	if len(chunk.Records)+len(chunk.Changes) == 0 {
		return nil, fmt.Errorf("%w: empty chunk that is not the last", ErrSnapshot)
	}
	b.done = false
	return nil, nil
}

// addRecords adds a chunk's records to the state.
func (b *SnapshotBuilder) addRecords(chunk SnapshotChunk) error {
	if chunk.LogOffset > 0 && len(chunk.Records) > 0 {
		return fmt.Errorf("%w: records follow the log", ErrSnapshot)
	}
	after := chunk.After
	for _, r := range chunk.Records {
		if err := b.checkRecord(r, after, chunk.Version); err != nil {
			return err
		}
		after = r.Key
		b.state.setEntry(r.Key, newEntry(r.Record, r.ModVersion))
		if b.state.records.Len() > MaxRecords || b.state.bytes > MaxBytes {
			return fmt.Errorf("%w: exceeds %d records or %d bytes", ErrSnapshot, MaxRecords, MaxBytes)
		}
	}
	return nil
}

// checkRecord returns an error for a record whose key does not sort after the previous key, or that is invalid in a
// state of the given version.
func (b *SnapshotBuilder) checkRecord(r VersionedRecord, after Key, version uint64) error {
	if r.Key <= after || len(r.Value) == 0 || len(r.Value) > MaxValue || r.ModVersion == 0 || r.ModVersion > version {
		return fmt.Errorf("%w: invalid record %.80q of version %d", ErrSnapshot, r.Key, r.ModVersion)
	}
	if _, _, _, err := r.Key.Split(); err != nil {
		return fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	if parent := r.Key.parent(); parent != "" && !b.state.records.Has(searchEntry(parent)) { // a parent sorts before its children
		return fmt.Errorf("%w: %s requires %s, which is missing", ErrSnapshot, r.Key, parent)
	}
	return nil
}

// addChanges adds a chunk's changes to the state's log.
func (b *SnapshotBuilder) addChanges(chunk SnapshotChunk) error {
	s := b.state
	for i, logged := range chunk.Changes {
		change, err := logged.check()
		if err != nil {
			return fmt.Errorf("%w: %w", ErrSnapshot, err)
		}
		before, err := b.decodeBefore(logged, change)
		if err != nil {
			return err
		}
		previous := s.fingerprint()
		if len(s.log) == 0 {
			previous = s.floor
		}
		s.commit(change, before, nextChain(previous.chain, previous.digest, change))
		if uint64(len(s.log)) != chunk.LogOffset+uint64(i)+1 { // commit has compacted the log
			return fmt.Errorf("%w: log exceeds %d changes or %d bytes", ErrSnapshot, MaxLog, MaxLogBytes)
		}
	}
	return nil
}

// decodeBefore returns the entries that a logged change replaced. It returns an error for a change whose version does
// not follow the last one of the log.
func (b *SnapshotBuilder) decodeBefore(logged LoggedChange, change Change) ([]*entry, error) {
	log := b.state.log
	follows := change.Version > 0 && (len(log) == 0 || change.Version == log[len(log)-1].Version+1)
	if !follows || len(log) >= MaxLog || len(logged.Before) != len(change.Records) {
		return nil, fmt.Errorf("%w: invalid change of version %d in the log", ErrSnapshot, change.Version)
	}
	before := make([]*entry, len(change.Records))
	for i, r := range logged.Before {
		existed := len(r.Value) > 0
		if r.Key != change.Records[i].Key || len(r.Value) > MaxValue || (r.ModVersion > 0) != existed || r.ModVersion >= change.Version {
			return nil, fmt.Errorf("%w: invalid change of version %d in the log: previous record of %s", ErrSnapshot, change.Version, change.Records[i].Key)
		}
		if existed {
			before[i] = newEntry(r.Record, r.ModVersion)
		}
	}
	return before, nil
}

// finish verifies that all chunks are of the same state, and returns that state. The log, applied from its floor, must
// result in the header's digest and chain, and the digest must match the records.
func (b *SnapshotBuilder) finish() (*State, error) {
	s, header := b.state, b.next.SnapshotHeader
	end := s.floor
	if len(s.log) > 0 {
		end = s.fingerprint()
	}
	if end != (fingerprint{digest: header.Digest, chain: header.Chain}) || len(s.log) > 0 && s.version != header.Version {
		return nil, fmt.Errorf("%w: log of the snapshot does not end at version %d", ErrDigestMismatch, header.Version)
	}
	s.version, s.digest, s.chain = header.Version, header.Digest, header.Chain
	if stateDigest(s.version, s.tree.root(), s.chain) != s.digest {
		return nil, fmt.Errorf("%w: snapshot of version %d", ErrDigestMismatch, s.version)
	}
	return s, nil
}
