package nodestate

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"jasperpin/internal/membership"
)

// Errors for a rejected note.
var (
	// ErrNote rejects a malformed note, or one of an unknown kind, for example of a later version.
	ErrNote = errors.New("malformed note")
	// ErrNotCounted rejects a note of a member that the view does not count.
	ErrNotCounted = errors.New("note of a member that is not counted")
)

// maxAge bounds the age of a note. No kind has a longer TTL.
const maxAge = 24 * time.Hour

// Kind describes a kind of notes.
type Kind struct {
	Name     string
	MaxBytes int           // maximum size of a note's body, in bytes
	TTL      time.Duration // the age above which a note is dropped, at most a day
}

// Note is a value that one member published, in the form in which it is sent.
type Note struct {
	Origin membership.ID
	Kind   string
	Seq    uint64        // sequence number of the note among those of its origin and kind, from 1
	Age    time.Duration // the total time for which the members that passed it on stored it
	Body   []byte
}

// noteKey identifies the notes that replace each other.
type noteKey struct {
	origin membership.ID
	kind   string
}

// storedNote is a note whose age is stored as the time of its publication on the local clock.
type storedNote struct {
	seq       uint64
	published time.Duration
	body      []byte
}

// Store stores the newest notes of all members. It is not safe for concurrent use.
type Store struct {
	self  membership.ID
	view  *membership.View
	kinds map[string]Kind
	notes map[noteKey]storedNote
}

// New returns the empty store of the member self. It stores only notes of members that view counts.
func New(self membership.ID, view *membership.View, kinds ...Kind) *Store {
	s := &Store{self: self, view: view, kinds: make(map[string]Kind), notes: make(map[noteKey]storedNote)}
	for _, k := range kinds {
		s.kinds[k.Name] = k
	}
	return s
}

// Publish replaces this member's own note of a kind, and returns the new note, which the caller sends.
func (s *Store) Publish(now time.Duration, kind string, body []byte) (Note, error) {
	key := noteKey{origin: s.self, kind: kind}
	n := Note{Origin: s.self, Kind: kind, Seq: s.notes[key].seq + 1, Body: slices.Clone(body)}
	if err := s.check(n); err != nil {
		return Note{}, err
	}
	s.notes[key] = storedNote{seq: n.Seq, published: now, body: n.Body}
	return n, nil
}

// Merge merges a received note into the store. It returns whether the note was new; the caller must then send it to other
// members. If it returns an error, the store has not changed.
func (s *Store) Merge(now time.Duration, n Note) (isNew bool, err error) {
	if err := s.check(n); err != nil {
		return false, err
	}
	if n.Origin == s.self {
		return false, nil // this member's own note, passed on by others
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

// check returns an error for a note that no correct member of this version sends.
func (s *Store) check(n Note) error {
	k, known := s.kinds[n.Kind]
	switch {
	case !known:
		return fmt.Errorf("%w: unknown kind %.40q", ErrNote, n.Kind)
	case len(n.Body) > k.MaxBytes:
		return fmt.Errorf("%w: %d bytes of kind %s, want at most %d", ErrNote, len(n.Body), n.Kind, k.MaxBytes)
	case n.Seq == 0 || n.Age < 0 || n.Age > maxAge:
		return fmt.Errorf("%w: sequence number %d and age %v, want a number above 0 and an age from 0 to %v", ErrNote, n.Seq, n.Age, maxAge)
	}
	return nil
}

// Tick drops the notes whose TTL has passed and those of members that are no longer counted.
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

// Value is the body of a member's newest note, with its age.
type Value struct {
	Age  time.Duration
	Body []byte
}

// Reading has the newest values of all members for one kind.
type Reading struct {
	Values map[membership.ID]Value
	// Coverage is the fraction, by weight, of the members that may be serving for which Values has a value, from 0
	// to 1. The values of the other members are unknown.
	Coverage float64
	Oldest   time.Duration // the greatest age in Values
}

// Read returns the values of a kind that the members that may be serving have published.
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
