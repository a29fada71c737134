package configlog

import (
	"fmt"
	"iter"
	"slices"
	"strings"

	"github.com/google/btree"
)

// btreeDegree is that of the records' tree. The package's documentation suggests it for in-memory use.
const btreeDegree = 32

// State is a configuration: its records, its version and the log of its last changes. It is not safe for
// concurrent use. Snapshots of it are.
type State struct {
	version uint64
	digest  Digest
	chain   Digest // the hash chain over all changes
	records *btree.BTreeG[*entry]
	bytes   int // of all keys and values
	tree    hashTree

	log      []*logEntry    // the last changes without gaps, up to version
	logBytes int            // of the log
	floor    fingerprint    // of the state before the log's first change
	deleted  map[Key]uint64 // the records that the log's changes deleted, by the version
}

// fingerprint identifies a state at a version, and is what the hash chain continues from.
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

// Version is that of the last change.
func (s *State) Version() uint64 { return s.version }

// Digest identifies the state and its history.
func (s *State) Digest() Digest { return s.digest }

func (s *State) fingerprint() fingerprint { return fingerprint{digest: s.digest, chain: s.chain} }

// Len is the number of records.
func (s *State) Len() int { return s.records.Len() }

// Bytes is the sum of all keys and values, in bytes.
func (s *State) Bytes() int { return s.bytes }

// Get returns the value of a key and the version that changed it last, and false where there is none.
func (s *State) Get(k Key) (value []byte, modVersion uint64, found bool) {
	e, found := s.records.Get(searchEntry(k))
	if !found {
		return nil, 0, false
	}
	return []byte(e.value()), e.modVersion, true
}

// WithPrefix returns the records whose keys begin with a prefix, ordered by key. The state must not change
// meanwhile.
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

// Propose executes a proposal and returns the change that it became, with its version and digest. The
// outcome depends on the state and the proposal alone. The error wraps ErrConflict, ErrMalformed or ErrFull;
// the state has not changed then.
func (s *State) Propose(c Change) (Change, error) {
	if c.Version != 0 || c.Digest != (Digest{}) {
		return Change{}, fmt.Errorf("%w: a proposal has no version and no digest", ErrMalformed)
	}
	c, err := c.check()
	if err != nil {
		return Change{}, err
	}
	if err := s.checkConflicts(c); err != nil {
		return Change{}, err
	}
	if err := s.checkRecords(c); err != nil {
		return Change{}, err
	}
	c.Version = s.version + 1
	before, root := s.replaceRecords(c)
	chain := nextChain(s.chain, s.digest, c)
	c.Digest = stateDigest(c.Version, root, chain)
	s.commit(c, before, chain)
	return c, nil
}

// Apply applies the next change, as the voters made it. The error wraps ErrStale, ErrGap, ErrMalformed, ErrFull
// or ErrDigestMismatch; the state has not changed then.
func (s *State) Apply(c Change) error {
	switch {
	case c.Version <= s.version:
		return fmt.Errorf("%w: version %d, at %d", ErrStale, c.Version, s.version)
	case c.Version > s.version+1:
		return fmt.Errorf("%w: version %d, at %d", ErrGap, c.Version, s.version)
	case c.BaseVersion >= c.Version:
		return fmt.Errorf("%w: version %d is based on %d", ErrMalformed, c.Version, c.BaseVersion)
	}
	c, err := c.check()
	if err != nil {
		return err
	}
	if err := s.checkRecords(c); err != nil {
		return err
	}
	before, root := s.replaceRecords(c)
	chain := nextChain(s.chain, s.digest, c)
	if stateDigest(c.Version, root, chain) != c.Digest {
		s.undoRecords(c, before)
		return fmt.Errorf("%w: after version %d", ErrDigestMismatch, c.Version)
	}
	s.commit(c, before, chain)
	return nil
}

// replaceRecords puts a change's records in place. It returns what they replaced, and the hash of all records.
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

// undoRecords takes back what replaceRecords has done.
func (s *State) undoRecords(c Change, before []*entry) {
	for i, r := range c.Records {
		s.setEntry(r.Key, before[i])
	}
	s.tree.root()
}

// setEntry replaces the entry of a key, nil to remove it, and returns the one before.
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

// commit makes a change whose records are in place the state's newest.
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
