package configlog

import (
	"errors"
	"fmt"
)

// ErrSnapshot says that a snapshot is incomplete, or not that of one state.
var ErrSnapshot = errors.New("the snapshot cannot be used")

// SnapshotBuilder makes a state from a snapshot's chunks. What others send makes it use no more memory than the
// bounds of a state.
type SnapshotBuilder struct {
	state   *State
	next    SnapshotChunk // the header and position that the next chunk must have
	started bool
	done    bool
}

// NewSnapshotBuilder returns a builder that waits for a snapshot's first chunk.
func NewSnapshotBuilder() *SnapshotBuilder { return &SnapshotBuilder{state: New()} }

// Version is that of the snapshot; 0 before the first chunk.
func (b *SnapshotBuilder) Version() uint64 { return b.next.Version }

// Digest is that of the snapshot; zero before the first chunk.
func (b *SnapshotBuilder) Digest() Digest { return b.next.Digest }

// Add takes the next chunk. It returns the state after the last one, once its digest is verified, and nil until
// then. After an error, which wraps ErrSnapshot or ErrDigestMismatch, the builder cannot be used any more.
func (b *SnapshotBuilder) Add(c SnapshotChunk) (*State, error) {
	if b.done {
		return nil, fmt.Errorf("%w: a chunk follows the last one", ErrSnapshot)
	}
	b.done = true // until the chunk has turned out to be good, and not the last
	if !b.started {
		b.started = true
		b.next.SnapshotHeader = c.SnapshotHeader
		b.state.floor = fingerprint{digest: c.FloorDigest, chain: c.FloorChain}
	}
	if c.SnapshotHeader != b.next.SnapshotHeader || c.After != b.next.After || c.LogOffset != b.next.LogOffset {
		return nil, fmt.Errorf("%w: a chunk of version %d after %q is not the next one", ErrSnapshot, c.Version, c.After)
	}
	if err := b.addRecords(c); err != nil {
		return nil, err
	}
	if err := b.addChanges(c); err != nil {
		return nil, err
	}
	b.next.After, b.next.LogOffset = c.lastKey(), c.LogOffset+uint64(len(c.Changes))
	if c.Last {
		return b.finish()
	}
	if len(c.Records)+len(c.Changes) == 0 {
		return nil, fmt.Errorf("%w: an empty chunk that is not the last", ErrSnapshot)
	}
	b.done = false
	return nil, nil
}

// addRecords adds a chunk's records to the state.
func (b *SnapshotBuilder) addRecords(c SnapshotChunk) error {
	if c.LogOffset > 0 && len(c.Records) > 0 {
		return fmt.Errorf("%w: records follow the log", ErrSnapshot)
	}
	after := c.After
	for _, r := range c.Records {
		if err := b.checkRecord(r, after, c.Version); err != nil {
			return err
		}
		after = r.Key
		b.state.setEntry(r.Key, newEntry(r.Record, r.ModVersion))
		if b.state.records.Len() > MaxRecords || b.state.bytes > MaxBytes {
			return fmt.Errorf("%w: it exceeds %d records or %d bytes", ErrSnapshot, MaxRecords, MaxBytes)
		}
	}
	return nil
}

// checkRecord rejects a record that does not follow a key, or that no state at a version has.
func (b *SnapshotBuilder) checkRecord(r VersionedRecord, after Key, version uint64) error {
	if r.Key <= after || len(r.Value) == 0 || len(r.Value) > MaxValue || r.ModVersion == 0 || r.ModVersion > version {
		return fmt.Errorf("%w: record %.80q of version %d", ErrSnapshot, r.Key, r.ModVersion)
	}
	if _, _, _, err := r.Key.Split(); err != nil {
		return fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	if parent := r.Key.parent(); parent != "" && !b.state.records.Has(searchEntry(parent)) { // it sorts before
		return fmt.Errorf("%w: %s without %s", ErrSnapshot, r.Key, parent)
	}
	return nil
}

// addChanges adds a chunk's changes to the state's log.
func (b *SnapshotBuilder) addChanges(c SnapshotChunk) error {
	s := b.state
	for i, logged := range c.Changes {
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
		if uint64(len(s.log)) != c.LogOffset+uint64(i)+1 { // commit has compacted the log
			return fmt.Errorf("%w: its log exceeds %d changes or %d bytes", ErrSnapshot, MaxLog, MaxLogBytes)
		}
	}
	return nil
}

// decodeBefore returns what the records of a log's change replaced. It rejects a change that does not follow
// the one before it in the log.
func (b *SnapshotBuilder) decodeBefore(logged LoggedChange, change Change) ([]*entry, error) {
	log := b.state.log
	follows := change.Version > 0 && (len(log) == 0 || change.Version == log[len(log)-1].Version+1)
	if !follows || len(log) >= MaxLog || len(logged.Before) != len(change.Records) {
		return nil, fmt.Errorf("%w: change %d of the log", ErrSnapshot, change.Version)
	}
	before := make([]*entry, len(change.Records))
	for i, r := range logged.Before {
		existed := len(r.Value) > 0
		if r.Key != change.Records[i].Key || len(r.Value) > MaxValue || (r.ModVersion > 0) != existed || r.ModVersion >= change.Version {
			return nil, fmt.Errorf("%w: change %d of the log, %s", ErrSnapshot, change.Version, change.Records[i].Key)
		}
		if existed {
			before[i] = newEntry(r.Record, r.ModVersion)
		}
	}
	return before, nil
}

// finish verifies that all chunks are of one state: the log leads from its floor to the header's digest and
// chain, and that digest is the one of the records.
func (b *SnapshotBuilder) finish() (*State, error) {
	s, header := b.state, b.next.SnapshotHeader
	end := s.floor
	if len(s.log) > 0 {
		end = s.fingerprint()
	}
	if end != (fingerprint{digest: header.Digest, chain: header.Chain}) || len(s.log) > 0 && s.version != header.Version {
		return nil, fmt.Errorf("%w: the log does not lead to version %d", ErrDigestMismatch, header.Version)
	}
	s.version, s.digest, s.chain = header.Version, header.Digest, header.Chain
	if stateDigest(s.version, s.tree.root(), s.chain) != s.digest {
		return nil, fmt.Errorf("%w: of a snapshot of version %d", ErrDigestMismatch, s.version)
	}
	return s, nil
}
