package configlog

import (
	"cmp"
	"fmt"
	"iter"
	"slices"
	"strings"

	"github.com/google/btree"
)

// State is a configuration: its records, its version, and the last changes. One owner at a time uses
// it; its snapshots are anybody's.
type State struct {
	version uint64
	digest  Digest
	chain   Digest // over all changes: see chained
	records *btree.BTreeG[*entry]
	bytes   int
	tree    tree
	log     []*logged      // the last changes, one version after another, up to the state's own
	logged  int            // bytes of the log
	floor   mark           // what the state was before the log's first change
	deleted map[Key]uint64 // when, for what the log's changes deleted
}

// maxLog is smaller in tests.
var maxLog = MaxLog

// logged is a change, and what its records were before it.
type logged struct {
	Change
	before []*entry // by the change's records; nil for none
	after  mark
	bytes  int
}

// mark is by what a state at a version is known, and what the chain goes on from.
type mark struct{ digest, chain Digest }

// New is a configuration without records, at version 0.
func New() *State {
	s := &State{records: btree.NewG(32, less), deleted: make(map[Key]uint64), tree: tree{stale: make(map[int]bool)}}
	empty := over(s.tree.leaves[:fanout])
	for i := range s.tree.branches {
		s.tree.branches[i] = empty
	}
	s.digest = digest(0, s.tree.root(), s.chain)
	s.floor = s.mark()
	return s
}

// Version is that of the last change.
func (s *State) Version() uint64 { return s.version }

// Digest stands for the whole state.
func (s *State) Digest() Digest { return s.digest }

func (s *State) mark() mark { return mark{s.digest, s.chain} }

// Len is how many records there are, and Bytes what their keys and values take.
func (s *State) Len() int   { return s.records.Len() }
func (s *State) Bytes() int { return s.bytes }

// Floor is the oldest version from which the log goes on.
func (s *State) Floor() uint64 { return s.version - uint64(len(s.log)) }

// Get gives the value of a key, and the version that changed it last.
func (s *State) Get(k Key) (value []byte, changed uint64, ok bool) {
	e, ok := s.records.Get(pivot(k))
	if !ok {
		return nil, 0, false
	}
	return []byte(e.value()), e.changed, true
}

// Under are the records whose keys begin with a prefix, by key. The state must not change meanwhile.
func (s *State) Under(prefix Key) iter.Seq[Record] { return under(s.records, prefix) }

func under(records *btree.BTreeG[*entry], prefix Key) iter.Seq[Record] {
	return func(yield func(Record) bool) {
		records.AscendGreaterOrEqual(pivot(prefix), func(e *entry) bool {
			return strings.HasPrefix(e.text[:e.cut], string(prefix)) && yield(e.record())
		})
	}
}

// Propose takes a proposal in, or turns it down, and gives the change that it became: numbered and
// with its digest. It does the same on every voter: it asks no clock, and draws nothing. ErrConflict is
// for one that rests on what another has changed since.
func (s *State) Propose(c Change) (Change, error) {
	if c.Version != 0 || c.Digest != (Digest{}) {
		return Change{}, fmt.Errorf("%w: a proposal has no version and no digest", ErrMalformed)
	}
	c, err := c.check()
	if err != nil {
		return Change{}, err
	}
	if err := s.rests(c); err != nil {
		return Change{}, err
	}
	if err := s.fits(c); err != nil {
		return Change{}, err
	}
	c.Version = s.version + 1
	before, root := s.swap(c)
	chain := chained(s.chain, s.digest, c)
	c.Digest = digest(c.Version, root, chain)
	s.take(c, before, chain)
	return c, nil
}

// Apply has the next change in force, as the voters made it. With an error nothing has changed.
func (s *State) Apply(c Change) error {
	switch {
	case c.Version <= s.version:
		return fmt.Errorf("%w: version %d, at %d", ErrStale, c.Version, s.version)
	case c.Version > s.version+1:
		return fmt.Errorf("%w: version %d, at %d", ErrGap, c.Version, s.version)
	case c.Base >= c.Version:
		return fmt.Errorf("%w: version %d rests on %d", ErrMalformed, c.Version, c.Base)
	}
	c, err := c.check()
	if err != nil {
		return err
	}
	if err := s.fits(c); err != nil {
		return err
	}
	before, root := s.swap(c)
	chain := chained(s.chain, s.digest, c)
	if digest(c.Version, root, chain) != c.Digest {
		s.undo(c, before)
		return fmt.Errorf("%w: after version %d", ErrDigest, c.Version)
	}
	s.take(c, before, chain)
	return nil
}

// rests says whether all that a proposal rests on is as it was at its base.
func (s *State) rests(c Change) error {
	if c.Base > s.version {
		return fmt.Errorf("%w: it rests on version %d, the newest is %d", ErrMalformed, c.Base, s.version)
	}
	if c.Base < s.Floor() {
		return fmt.Errorf("%w: it rests on version %d, and changes are remembered from %d on", ErrConflict, c.Base, s.Floor())
	}
	for _, r := range c.Records {
		for _, k := range []Key{r.Key, r.Key.parent()} {
			if at := s.touched(k); at > c.Base {
				return fmt.Errorf("%w: %s changed at version %d, after %d", ErrConflict, k, at, c.Base)
			}
		}
		if len(r.Value) > 0 {
			continue
		}
		for e := range s.children(r.Key) {
			if e.changed > c.Base {
				return fmt.Errorf("%w: %s changed at version %d, after %d", ErrConflict, e.key(), e.changed, c.Base)
			}
			if _, ok := c.find(e.key()); !ok {
				break // fits will say so
			}
		}
	}
	return nil
}

// touched is the version that changed or deleted a record last, as far as it is remembered.
func (s *State) touched(k Key) uint64 {
	if e, ok := s.records.Get(pivot(k)); ok {
		return e.changed
	}
	return s.deleted[k]
}

// children are the records under one.
func (s *State) children(k Key) iter.Seq[*entry] {
	return func(yield func(*entry) bool) {
		s.records.AscendGreaterOrEqual(pivot(k+"/"), func(e *entry) bool {
			return strings.HasPrefix(e.text[:e.cut], string(k+"/")) && yield(e)
		})
	}
}

// fits says whether the records go together after a change: no record without its parent, none deleted
// that is not there, and no more of them than there is room for.
func (s *State) fits(c Change) error {
	records, bytes := s.records.Len(), s.bytes
	for _, r := range c.Records {
		was, ok := s.records.Get(pivot(r.Key))
		if ok {
			records--
			bytes -= len(was.text)
		}
		if len(r.Value) > 0 {
			records++
			bytes += r.size()
			if p := r.Key.parent(); p != "" && !s.stays(c, p) {
				return fmt.Errorf("%w: %s needs %s, which is not there", ErrMalformed, r.Key, p)
			}
			continue
		}
		if !ok {
			return fmt.Errorf("%w: %s is to be deleted and is not there", ErrMalformed, r.Key)
		}
		for e := range s.children(r.Key) {
			if _, ok := c.find(e.key()); !ok {
				return fmt.Errorf("%w: %s is to be deleted and %s needs it", ErrMalformed, r.Key, e.key())
			}
		}
	}
	if records > MaxRecords || bytes > MaxBytes {
		return fmt.Errorf("%w: %d records and %d bytes, of %d and %d", ErrFull, records, bytes, MaxRecords, MaxBytes)
	}
	return nil
}

// stays says whether a record is there after a change.
func (s *State) stays(c Change, k Key) bool {
	if r, ok := c.find(k); ok {
		return len(r.Value) > 0
	}
	_, ok := s.records.Get(pivot(k))
	return ok
}

// swap puts a change's records in, and gives what was there and the digest of all records.
func (s *State) swap(c Change) (before []*entry, root Digest) {
	before = make([]*entry, len(c.Records))
	for i, r := range c.Records {
		var is *entry
		if len(r.Value) > 0 {
			is = newEntry(r, c.Version)
		}
		before[i] = s.set(r.Key, is)
	}
	return before, s.tree.root()
}

func (s *State) undo(c Change, before []*entry) {
	for i, r := range c.Records {
		s.set(r.Key, before[i])
	}
	s.tree.root()
}

// set has an entry under a key, or none, and gives the one before it.
func (s *State) set(k Key, is *entry) (was *entry) {
	if is == nil {
		was, _ = s.records.Delete(pivot(k))
	} else {
		was, _ = s.records.ReplaceOrInsert(is)
		s.bytes += len(is.text)
	}
	if was != nil {
		s.bytes -= len(was.text)
	}
	s.tree.put(k, is)
	return was
}

// take has a change that was swapped in as the state's newest.
func (s *State) take(c Change, before []*entry, chain Digest) {
	for i, r := range c.Records {
		if c.Records[i].Value = slices.Clone(r.Value); len(r.Value) == 0 {
			c.Records[i].Value = nil
			s.deleted[r.Key] = c.Version
		} else {
			delete(s.deleted, r.Key)
		}
	}
	s.version, s.digest, s.chain = c.Version, c.Digest, chain
	s.remember(c, before)
}

// remember adds a change to the log, and forgets the oldest where there are too many.
func (s *State) remember(c Change, before []*entry) {
	l := &logged{c, before, s.mark(), c.size()}
	for _, e := range before {
		if e != nil {
			l.bytes += len(e.text)
		}
	}
	s.log = append(s.log, l)
	s.logged += l.bytes
	for len(s.log) > maxLog || s.logged > MaxLogBytes {
		old := s.log[0]
		s.log[0] = nil
		s.log = s.log[1:]
		s.logged -= old.bytes
		s.floor = old.after
		for _, r := range old.Records {
			if r.Value == nil && s.deleted[r.Key] == old.Version {
				delete(s.deleted, r.Key)
			}
		}
	}
}

// Since gives the changes after a version, the oldest first, and false where some of them are forgotten
// or the version is none of this state's: a snapshot is due, or the asker is ahead. They are shared
// and must not be changed.
func (s *State) Since(version uint64) ([]Change, bool) {
	if version < s.Floor() || version > s.version {
		return nil, false
	}
	after := s.log[version-s.Floor():]
	all := make([]Change, len(after))
	for i, l := range after {
		all[i] = l.Change
	}
	return all, true
}

// DigestAt gives the digest that the state had at a version, as far as it is remembered.
func (s *State) DigestAt(version uint64) (Digest, bool) {
	switch floor := s.Floor(); {
	case version == s.version:
		return s.digest, true
	case version == floor:
		return s.floor.digest, true
	case version > floor && version < s.version:
		return s.log[version-floor-1].Digest, true
	}
	return Digest{}, false
}

// Revert is the proposal that restores all records as they were at a version. It rests on the newest
// one; versions go on.
func (s *State) Revert(to uint64) (Change, error) {
	if to >= s.version || to < s.Floor() {
		return Change{}, fmt.Errorf("%w: %d; those from %d to %d can be restored", ErrForgotten, to, s.Floor(), s.version-min(s.version, 1))
	}
	were := make(map[Key]*entry)
	for _, l := range s.log[to-s.Floor():] {
		for i, r := range l.Records {
			if _, ok := were[r.Key]; !ok {
				were[r.Key] = l.before[i]
			}
		}
	}
	c := Change{Base: s.version, Reverts: to}
	for k, was := range were {
		switch is, ok := s.records.Get(pivot(k)); {
		case was == nil && ok:
			c.Records = append(c.Records, Record{Key: k})
		case was != nil && (!ok || is.value() != was.value()):
			c.Records = append(c.Records, was.record())
		}
	}
	if len(c.Records) == 0 {
		return Change{}, fmt.Errorf("%w: all records are as they were at version %d", ErrMalformed, to)
	}
	slices.SortFunc(c.Records, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return c, nil
}

// Revive is the state of a back-up that goes on in a group, or before nodes, that may have come further
// since: its version lies beyond any of theirs, and it remembers no change, so that all of them take it whole.
func (s *State) Revive() error {
	if s.version >= 1<<63 {
		return fmt.Errorf("%w: it has been revived too often", ErrMalformed)
	}
	s.chain = chained(s.chain, s.digest, Change{Version: s.version + revived, Base: s.version})
	s.version += revived
	s.digest = digest(s.version, s.tree.root(), s.chain)
	s.log, s.logged, s.floor = nil, 0, s.mark()
	clear(s.deleted)
	return nil
}
