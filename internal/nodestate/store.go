package nodestate

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"jasperpin/internal/membership"
)

// Why a note is rejected.
var (
	// ErrNote rejects a malformed note, or one of an unknown kind, such as a later version's.
	ErrNote = errors.New("the note cannot be used")
	// ErrNotCounted rejects a note of a member that the view does not count.
	ErrNotCounted = errors.New("the note's member is not counted")
)

// maxAge bounds the age that a note may claim: no kind is kept for longer.
const maxAge = 24 * time.Hour

// Kind is a kind of notes.
type Kind struct {
	Name     string
	MaxBytes int           // the size of a note's body, in bytes
	TTL      time.Duration // the age beyond which a note is dropped, up to a day
}

// Note is what one member published of a kind, as it is sent.
type Note struct {
	Origin membership.ID
	Kind   string
	Seq    uint64        // counts the notes of one origin and kind from 1
	Age    time.Duration // the time that all members held it which passed it on
	Body   []byte
}

// noteKey identifies the note that another replaces.
type noteKey struct {
	origin membership.ID
	kind   string
}

// storedNote is a note with its age as a time on the reader's clock.
type storedNote struct {
	seq       uint64
	published time.Duration
	body      []byte
}

// Store holds the newest notes of all members. It is not safe for concurrent use.
type Store struct {
	self  membership.ID
	view  *membership.View
	kinds map[string]Kind
	notes map[noteKey]storedNote
}

// New makes an empty store of one member. Its view decides whose notes are stored.
func New(self membership.ID, view *membership.View, kinds ...Kind) *Store {
	s := &Store{self: self, view: view, kinds: make(map[string]Kind), notes: make(map[noteKey]storedNote)}
	for _, k := range kinds {
		s.kinds[k.Name] = k
	}
	return s
}

// Publish replaces this member's own note of a kind, and returns it for sending.
func (s *Store) Publish(now time.Duration, kind string, body []byte) (Note, error) {
	key := noteKey{origin: s.self, kind: kind}
	n := Note{Origin: s.self, Kind: kind, Seq: s.notes[key].seq + 1, Body: slices.Clone(body)}
	if err := s.check(n); err != nil {
		return Note{}, err
	}
	s.notes[key] = storedNote{seq: n.Seq, published: now, body: n.Body}
	return n, nil
}

// Merge takes a note that arrived by any way. It returns whether it was new, and so has to be passed on.
// With an error nothing has changed.
func (s *Store) Merge(now time.Duration, n Note) (isNew bool, err error) {
	if err := s.check(n); err != nil {
		return false, err
	}
	if n.Origin == s.self {
		return false, nil // its own, passed on by others
	}
	if !s.view.IsCounted(n.Origin) {
		return false, fmt.Errorf("%w: %s", ErrNotCounted, n.Origin.Name)
	}
	key := noteKey{origin: n.Origin, kind: n.Kind}
	merged := storedNote{seq: n.Seq, published: now - n.Age}
	stored, found := s.notes[key]
	switch {
	case found && n.Seq < stored.seq, n.Age > s.kinds[n.Kind].TTL:
		return false, nil
	case found && n.Seq == stored.seq:
		stored.published = min(stored.published, merged.published)
		s.notes[key] = stored
		return false, nil
	}
	merged.body = slices.Clone(n.Body)
	s.notes[key] = merged
	return true, nil
}

// check rejects a note that no member of this version would send.
func (s *Store) check(n Note) error {
	k, known := s.kinds[n.Kind]
	switch {
	case !known:
		return fmt.Errorf("%w: its kind %.40q is unknown", ErrNote, n.Kind)
	case len(n.Body) > k.MaxBytes:
		return fmt.Errorf("%w: it has %d bytes of %s, which may have %d", ErrNote, len(n.Body), n.Kind, k.MaxBytes)
	case n.Seq == 0 || n.Age < 0 || n.Age > maxAge:
		return fmt.Errorf("%w: its number is %d and its age %v, want a number above 0 and an age up to %v", ErrNote, n.Seq, n.Age, maxAge)
	}
	return nil
}

// Tick drops the notes that are too old and those of members that are counted no more.
func (s *Store) Tick(now time.Duration) {
	for key, n := range s.notes {
		if key.origin != s.self && (now-n.published > s.kinds[key.kind].TTL || !s.view.IsCounted(key.origin)) {
			delete(s.notes, key)
		}
	}
}

// All returns all notes, for a full state exchange.
func (s *Store) All(now time.Duration) []Note {
	all := make([]Note, 0, len(s.notes))
	for key, n := range s.notes {
		all = append(all, Note{Origin: key.origin, Kind: key.kind, Seq: n.seq, Age: max(0, now-n.published), Body: n.body})
	}
	return all
}

// Value is what one member published.
type Value struct {
	Age  time.Duration
	Body []byte
}

// Reading is what all members published of one kind.
type Reading struct {
	Values map[membership.ID]Value
	// Coverage is the part, by weight, of all that may be serving that Values are of, from 0 to 1.
	// Of the rest nothing is known.
	Coverage float64
	Oldest   time.Duration // the greatest age of the values
}

// Read returns what the members that may be serving published of a kind.
func (s *Store) Read(now time.Duration, kind string) Reading {
	r := Reading{Values: make(map[membership.ID]Value)}
	var all, covered float64
	for _, m := range s.view.MayServe() {
		all += m.Weight
		n, found := s.notes[noteKey{origin: m.ID, kind: kind}]
		age := max(0, now-n.published)
		if !found || age > s.kinds[kind].TTL {
			continue
		}
		r.Values[m.ID] = Value{Age: age, Body: n.body}
		r.Oldest = max(r.Oldest, age)
		covered += m.Weight
	}
	if all > 0 {
		r.Coverage = covered / all
	}
	return r
}
