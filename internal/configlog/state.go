package configlog

import (
	"fmt"
	"iter"
	"slices"
	"strings"

	"github.com/google/btree"
)

// btreeDegree is the degree of the records' B-tree. The btree package's documentation suggests 32 for in-memory use.
const btreeDegree = 32

// State is a configuration: its records, its version and the log of its last changes. It is not safe for
// concurrent use; its snapshots are.
type State struct {
	version uint64
	digest  Digest
	chain   Digest // the hash chain over all changes
	records *btree.BTreeG[*entry]
	bytes   int // the size of all keys and values
	tree    hashTree

	log      []*logEntry    // the last changes without gaps, up to version
	logBytes int            // the size of the log, bounded by MaxLogBytes
	floor    fingerprint    // the fingerprint of the state before the log's first change
	deleted  map[Key]uint64 // for each record that a change of the log deleted, the version of its last deletion
}

// fingerprint identifies a state at a version. The hash chain continues from it.
type fingerprint struct{ digest, chain Digest }

// New returns a configuration without records, at version 0.
func New() *State {
	s := &State{
		records: btree.NewG(btreeDegree, lessEntry),
		deleted: make(map[Key]uint64),
		tree:    hashTree{dirty: make(map[int]bool)},
	}
	emptyBranch := hashDigests(s.tree.leaves[:fanout])
	for i := range s.tree.branches {
		s.tree.branches[i] = emptyBranch
	}
	s.digest = stateDigest(0, s.tree.root(), s.chain)
	s.floor = s.fingerprint()
	return s
}

// Version returns the version of the last change; 0 for none.
func (s *State) Version() uint64 { return s.version }

// Digest returns the digest of the state and its history.
func (s *State) Digest() Digest { return s.digest }

func (s *State) fingerprint() fingerprint { return fingerprint{digest: s.digest, chain: s.chain} }

// Len returns the number of records.
func (s *State) Len() int { return s.records.Len() }

// Bytes returns the size of all keys and values, in bytes.
func (s *State) Bytes() int { return s.bytes }

// Get returns the value of a key and the version that last changed it, and false if there is no record of that key.
func (s *State) Get(k Key) (value []byte, modVersion uint64, found bool) {
	e, found := s.records.Get(searchEntry(k))
	if !found {
		return nil, 0, false
	}
	return []byte(e.value()), e.modVersion, true
}

// WithPrefix returns the records whose keys begin with a prefix, ordered by key. The state must not change during the
// iteration.
func (s *State) WithPrefix(prefix Key) iter.Seq[Record] { return recordsWithPrefix(s.records, prefix) }

func recordsWithPrefix(records *btree.BTreeG[*entry], prefix Key) iter.Seq[Record] {
	return func(yield func(Record) bool) {
		for e := range entriesWithPrefix(records, prefix) {
			if !yield(e.record()) {
				return
			}
		}
	}
}

func entriesWithPrefix(records *btree.BTreeG[*entry], prefix Key) iter.Seq[*entry] {
	return func(yield func(*entry) bool) {
		records.AscendGreaterOrEqual(searchEntry(prefix), func(e *entry) bool {
			return strings.HasPrefix(e.text[:e.keyLen], string(prefix)) && yield(e)
		})
	}
}

// Propose executes a proposal and returns the committed change, with its version and digest. The result depends only
// on the state and the proposal. The error wraps ErrConflict, ErrMalformed or ErrFull; after an error the state is
// unchanged.
func (s *State) Propose(change Change) (Change, error) {
	if change.Version != 0 || change.Digest != (Digest{}) {
		return Change{}, fmt.Errorf("%w: proposal has a version or a digest", ErrMalformed)
	}
	change, err := change.check()
	if err != nil {
		return Change{}, err
	}
	if err := s.checkConflicts(change); err != nil {
		return Change{}, err
	}
	if err := s.checkRecords(change); err != nil {
		return Change{}, err
	}
	change.Version = s.version + 1
	before, root := s.replaceRecords(change)
	chain := nextChain(s.chain, s.digest, change)
	change.Digest = stateDigest(change.Version, root, chain)
	s.commit(change, before, chain)
	return change, nil
}

// Apply applies the next committed change. The error wraps ErrStale, ErrGap, ErrMalformed, ErrFull or
// ErrDigestMismatch; after an error the state is unchanged.
func (s *State) Apply(change Change) error {
	switch {
	case change.Version <= s.version:
		return fmt.Errorf("%w: version %d, state is at version %d", ErrStale, change.Version, s.version)
	case change.Version > s.version+1:
		return fmt.Errorf("%w: version %d, state is at version %d", ErrGap, change.Version, s.version)
	case change.BaseVersion >= change.Version:
		return fmt.Errorf("%w: version %d is based on version %d", ErrMalformed, change.Version, change.BaseVersion)
	}
	change, err := change.check()
	if err != nil {
		return err
	}
	if err := s.checkRecords(change); err != nil {
		return err
	}
	before, root := s.replaceRecords(change)
	chain := nextChain(s.chain, s.digest, change)
	if stateDigest(change.Version, root, chain) != change.Digest {
		s.undoRecords(change, before)
		return fmt.Errorf("%w: state after version %d", ErrDigestMismatch, change.Version)
	}
	s.commit(change, before, chain)
	return nil
}

// replaceRecords replaces the entries of a change's records. It returns the previous entries, nil for a record that
// did not exist, and the hash of all records.
func (s *State) replaceRecords(c Change) (before []*entry, root Digest) {
	before = make([]*entry, len(c.Records))
	for i, r := range c.Records {
		var e *entry
		if len(r.Value) > 0 {
			e = newEntry(r, c.Version)
		}
		before[i] = s.setEntry(r.Key, e)
	}
	return before, s.tree.root()
}

// undoRecords restores the entries that replaceRecords replaced.
func (s *State) undoRecords(c Change, before []*entry) {
	for i, r := range c.Records {
		s.setEntry(r.Key, before[i])
	}
	s.tree.root()
}

// setEntry replaces the entry of a key and returns the previous one. A nil entry removes the key.
func (s *State) setEntry(k Key, e *entry) (before *entry) {
	if e == nil {
		before, _ = s.records.Delete(searchEntry(k))
	} else {
		before, _ = s.records.ReplaceOrInsert(e)
		s.bytes += len(e.text)
	}
	if before != nil {
		s.bytes -= len(before.text)
	}
	s.tree.put(k, e)
	return before
}

// commit sets the state's version, digest and chain to those of a change whose records are already replaced, and
// appends the change to the log.
func (s *State) commit(c Change, before []*entry, chain Digest) {
	for i, r := range c.Records {
		if len(r.Value) == 0 {
			c.Records[i].Value = nil
			s.deleted[r.Key] = c.Version
		} else {
			c.Records[i].Value = slices.Clone(r.Value)
			delete(s.deleted, r.Key)
		}
	}
	s.version, s.digest, s.chain = c.Version, c.Digest, chain
	s.appendLog(c, before)
}
