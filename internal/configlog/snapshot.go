package configlog

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"iter"
	"slices"

	"github.com/google/btree"
)

// ErrSnapshot says that a snapshot is not whole, or not of one state.
var ErrSnapshot = errors.New("the snapshot cannot be used")

// PieceBytes is what a piece of a snapshot holds at least, unless it is the last, and goes beyond by less
// than one record or change of the log.
const PieceBytes = 64 << 10

// pieceBytes is smaller in tests.
var pieceBytes = PieceBytes

// MaxPiece is what an encoded piece takes at most, and MaxBare one of a bare snapshot.
const (
	MaxPiece = 2*MaxLogBytes + MaxBare
	MaxBare  = 4 * PieceBytes
)

// Snapshot is a state as it was. It costs nothing to make, never changes, and may be read by many at once.
type Snapshot struct {
	head    Head
	records *btree.BTreeG[*entry]
	log     []*logged
}

// Snapshot gives the state as it is, with its log, which voters and relays want.
func (s *State) Snapshot() Snapshot {
	h := Head{s.version, s.digest, s.chain, s.floor.digest, s.floor.chain}
	return Snapshot{h, s.records.Clone(), slices.Clone(s.log)}
}

// Bare is a snapshot without the log, for who only follows.
func (s Snapshot) Bare() Snapshot {
	s.log, s.head.FloorDigest, s.head.FloorChain = nil, s.head.Digest, s.head.Chain
	return s
}

// Version and Digest are those of the state.
func (s Snapshot) Version() uint64 { return s.head.Version }
func (s Snapshot) Digest() Digest  { return s.head.Digest }

// Len is how many records there are.
func (s Snapshot) Len() int { return s.records.Len() }

// Under are the records whose keys begin with a prefix, by key.
func (s Snapshot) Under(prefix Key) iter.Seq[Record] { return under(s.records, prefix) }

// Piece is a part of a snapshot: some records in the order of keys, then some of the log. The pieces of
// one follow each other from an empty After on.
type Piece struct {
	Head
	// After and Log say where it goes on: behind a key, and how many of the log were given.
	After   Key
	Log     uint64
	Records []Held
	Changes []Past
	Last    bool
}

// Head is by what a state is known, and what its log goes on from: the chain over all changes, and both
// before the log's first.
type Head struct {
	Version                 uint64
	Digest, Chain           Digest
	FloorDigest, FloorChain Digest
}

// Held is a record that is there, and the version of its last change.
type Held struct {
	Record
	Changed uint64
}

// Past is a change of the log, and what its records were before it: no Value and 0 where there were none.
type Past struct {
	Change
	Before []Held
}

// Piece gives the one that goes on behind another, or the first behind the zero one.
func (s Snapshot) Piece(behind Piece) Piece {
	p := Piece{Head: s.head, After: behind.last(), Log: behind.Log + uint64(len(behind.Changes))}
	bytes := 0
	s.records.AscendGreaterOrEqual(pivot(p.After), func(e *entry) bool {
		if e.key() == p.After {
			return true
		}
		p.Records = append(p.Records, Held{e.record(), e.changed})
		bytes += len(e.text)
		return bytes < pieceBytes
	})
	for at := p.Log; bytes < pieceBytes && at < uint64(len(s.log)); at++ {
		past := s.log[at].past()
		p.Changes = append(p.Changes, past)
		bytes += s.log[at].bytes
	}
	p.Last = bytes < pieceBytes
	return p
}

// last is the key behind which the next piece goes on.
func (p Piece) last() Key {
	if n := len(p.Records); n > 0 {
		return p.Records[n-1].Key
	}
	return p.After
}

func (l *logged) past() Past {
	p := Past{l.Change, make([]Held, len(l.before))}
	for i, e := range l.before {
		if p.Before[i].Key = l.Records[i].Key; e != nil {
			p.Before[i] = Held{e.record(), e.changed}
		}
	}
	return p
}

// Builder makes a state of a snapshot's pieces. What others send costs it no more than the bounds.
type Builder struct {
	s    *State
	next Piece // its head, and where the next piece goes on
	any  bool
	done bool
}

// NewBuilder waits for a snapshot's first piece.
func NewBuilder() *Builder { return &Builder{s: New()} }

// Version and Digest are those of the snapshot of which pieces were taken; 0 before the first.
func (b *Builder) Version() uint64 { return b.next.Version }
func (b *Builder) Digest() Digest  { return b.next.Digest }

// Add takes the next piece. It gives the state once it is whole and its digest comes out, and nil until
// then. After an error, ErrSnapshot or ErrDigest, the builder is of no use any more.
func (b *Builder) Add(p Piece) (*State, error) {
	if b.done {
		return nil, fmt.Errorf("%w: a piece behind the end", ErrSnapshot)
	}
	if !b.any {
		b.any, b.next = true, Piece{Head: p.Head}
		b.s.floor = mark{p.FloorDigest, p.FloorChain}
	}
	n := b.next
	if p.Head != n.Head || p.After != n.After || p.Log != n.Log {
		b.done = true
		return nil, fmt.Errorf("%w: a piece of version %d behind %q is not the next one", ErrSnapshot, p.Version, p.After)
	}
	if err := b.add(p); err != nil {
		b.done = true
		return nil, err
	}
	b.next.After, b.next.Log = p.last(), p.Log+uint64(len(p.Changes))
	if !p.Last {
		if len(p.Records)+len(p.Changes) == 0 {
			b.done = true
			return nil, fmt.Errorf("%w: an empty piece that is not the last", ErrSnapshot)
		}
		return nil, nil
	}
	b.done = true
	if err := b.whole(); err != nil {
		return nil, err
	}
	return b.s, nil
}

func (b *Builder) add(p Piece) error {
	s, after := b.s, p.After
	if p.Log > 0 && len(p.Records) > 0 {
		return fmt.Errorf("%w: records behind the log", ErrSnapshot)
	}
	for _, r := range p.Records {
		if r.Key <= after || len(r.Value) == 0 || len(r.Value) > MaxValue || r.Changed == 0 || r.Changed > p.Version {
			return fmt.Errorf("%w: record %.80q of version %d", ErrSnapshot, r.Key, r.Changed)
		}
		if _, _, _, err := r.Key.Split(); err != nil {
			return fmt.Errorf("%w: %w", ErrSnapshot, err)
		}
		if parent := r.Key.parent(); parent != "" && !s.records.Has(pivot(parent)) { // it sorts before
			return fmt.Errorf("%w: %s without %s", ErrSnapshot, r.Key, parent)
		}
		s.set(r.Key, newEntry(r.Record, r.Changed))
		if after = r.Key; s.records.Len() > MaxRecords || s.bytes > MaxBytes {
			return fmt.Errorf("%w: it is beyond the bounds", ErrSnapshot)
		}
	}
	for i, past := range p.Changes {
		c, err := past.check()
		if err != nil {
			return fmt.Errorf("%w: %w", ErrSnapshot, err)
		}
		if n := len(s.log); n >= MaxLog || n > 0 && c.Version != s.log[n-1].Version+1 || c.Version == 0 || len(past.Before) != len(c.Records) {
			return fmt.Errorf("%w: change %d of the log", ErrSnapshot, c.Version)
		}
		before := make([]*entry, len(c.Records))
		for j, r := range past.Before {
			if r.Key != c.Records[j].Key || len(r.Value) > MaxValue || (r.Changed == 0) != (len(r.Value) == 0) || r.Changed >= c.Version {
				return fmt.Errorf("%w: change %d of the log, %s", ErrSnapshot, c.Version, c.Records[j].Key)
			}
			if len(r.Value) > 0 {
				before[j] = newEntry(r.Record, r.Changed)
			}
		}
		was := s.mark()
		if len(s.log) == 0 {
			was = s.floor
		}
		s.take(c, before, chained(was.chain, was.digest, c))
		if uint64(len(s.log)) != p.Log+uint64(i)+1 { // something was forgotten
			return fmt.Errorf("%w: its log is beyond the bounds", ErrSnapshot)
		}
	}
	return nil
}

// whole says whether all that came is one state: its digest comes out over the records and the chain,
// and the chain over the log.
func (b *Builder) whole() error {
	s, h := b.s, b.next.Head
	led := s.floor
	if len(s.log) > 0 {
		led = s.mark()
	}
	if led != (mark{h.Digest, h.Chain}) || len(s.log) > 0 && s.version != h.Version {
		return fmt.Errorf("%w: the log does not lead to version %d", ErrDigest, h.Version)
	}
	s.version, s.digest, s.chain = h.Version, h.Digest, h.Chain
	if digest(s.version, s.tree.root(), s.chain) != s.digest {
		return fmt.Errorf("%w: of a snapshot of version %d", ErrDigest, s.version)
	}
	return nil
}

// AppendPiece encodes a piece behind b.
func AppendPiece(b []byte, p Piece) []byte {
	b = binary.AppendUvarint(b, p.Version)
	for _, x := range [...]Digest{p.Digest, p.Chain, p.FloorDigest, p.FloorChain} {
		b = append(b, x[:]...)
	}
	b = appendText(b, p.After)
	b = binary.AppendUvarint(b, p.Log)
	b = appendBool(b, p.Last)
	b = appendHeld(b, p.Records)
	b = binary.AppendUvarint(b, uint64(len(p.Changes)))
	for _, c := range p.Changes {
		b = AppendChange(b, c.Change)
		b = appendHeld(b, c.Before)
	}
	return b
}

func appendHeld(b []byte, all []Held) []byte {
	b = binary.AppendUvarint(b, uint64(len(all)))
	for _, r := range all {
		b = appendText(b, r.Key)
		b = appendText(b, r.Value)
		b = binary.AppendUvarint(b, r.Changed)
	}
	return b
}

// DecodePiece reads what AppendPiece made, and nothing else.
func DecodePiece(b []byte) (Piece, error) {
	d := decoder{b: b}
	p := Piece{Head: Head{d.number(), d.digest(), d.digest(), d.digest(), d.digest()}, After: Key(d.text(MaxKey)), Log: d.number(), Last: d.bool()}
	p.Records = d.held(MaxRecords)
	for range d.count(MaxLog, minChange) {
		p.Changes = append(p.Changes, Past{d.change(), d.held(MaxChangeRecords)})
	}
	return p, d.end()
}

func (d *decoder) held(most int) (all []Held) {
	if n := d.count(most, 9); n > 0 {
		all = make([]Held, n)
	}
	for i := range all {
		all[i] = Held{d.record(), d.number()}
	}
	return all
}

// Encode gives a whole snapshot as bytes, for a copy on disk. They end with a hash over them all: what was
// there before the log's changes is not in the digest.
func (s Snapshot) Encode() []byte {
	var b []byte
	for p := (Piece{}); !p.Last; {
		p = s.Piece(p)
		b = appendText(b, AppendPiece(nil, p))
	}
	sum := sha256.Sum256(b)
	return append(b, sum[:]...)
}

// Restore makes the state that an encoded snapshot holds, whole, or says what is wrong with it.
func Restore(b []byte) (*State, error) {
	if len(b) < sha256.Size {
		return nil, fmt.Errorf("%w: it is cut", ErrEncoding)
	}
	b, sum := b[:len(b)-sha256.Size], Digest(b[len(b)-sha256.Size:])
	if sha256.Sum256(b) != sum {
		return nil, fmt.Errorf("%w: it is cut or damaged", ErrEncoding)
	}
	d, build := decoder{b: b}, NewBuilder()
	for {
		text := d.text(MaxPiece)
		if d.err != nil {
			return nil, d.err
		}
		p, err := DecodePiece(text)
		if err != nil {
			return nil, err
		}
		s, err := build.Add(p)
		if err != nil {
			return nil, err
		}
		if s != nil {
			return s, d.end()
		}
	}
}
