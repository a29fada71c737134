// Package nodestate is what members tell each other beside who they are: of each and each kind the
// newest note, with how old it is. It is pure; its times are the reader's own monotonic ones.
//
// Merging is by number, and at one number by the greater age, so that notes may come lost, doubled,
// late, in any order and by any way. A note ends with the life of who told it.
package nodestate

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"jasperpin/internal/membership"
)

// What is wrong with a note, which then changes nothing.
var (
	ErrNote     = errors.New("the note cannot be used")
	ErrStranger = errors.New("the note is of nobody who is counted")
)

// maxAge bounds the age that a note may have by its own word.
const maxAge = 24 * time.Hour

// Kind is what notes are about.
type Kind struct {
	Name string
	Most int           // bytes of a note
	Keep time.Duration // after which it says nothing any more
}

// Note is one member's, as it is told.
type Note struct {
	Of   membership.ID
	Kind string
	Seq  uint64
	Age  time.Duration // by all who passed it on, without its time on the way
	Body []byte
}

// key is whose and which.
type key struct {
	of   membership.ID
	kind string
}

// held is a note as it is held.
type held struct {
	seq  uint64
	made time.Duration
	body []byte
}

// Book is what a member holds of all. It is not safe for use by several goroutines at once.
type Book struct {
	self  membership.ID
	view  *membership.View
	kinds map[string]Kind
	notes map[key]held
}

// New makes an empty book of one member, which counts by the view.
func New(self membership.ID, view *membership.View, kinds ...Kind) *Book {
	b := &Book{self: self, view: view, kinds: make(map[string]Kind), notes: make(map[key]held)}
	for _, k := range kinds {
		b.kinds[k.Name] = k
	}
	return b
}

// Tell puts a note of the member's own in the place of the one before, and gives it as it is to
// be told.
func (b *Book) Tell(now time.Duration, kind string, body []byte) (Note, error) {
	k := key{b.self, kind}
	n := Note{Of: b.self, Kind: kind, Seq: b.notes[k].seq + 1, Body: slices.Clone(body)}
	if err := b.check(n); err != nil {
		return Note{}, err
	}
	b.notes[k] = held{n.Seq, now, n.Body}
	return n, nil
}

// Hear takes a note that came from wherever, and says whether it was news.
func (b *Book) Hear(now time.Duration, n Note) (news bool, err error) {
	if err := b.check(n); err != nil {
		return false, err
	}
	if n.Of == b.self {
		return false, nil // its own, on its way back
	}
	if !b.view.Counts(n.Of) {
		return false, fmt.Errorf("%w: %s", ErrStranger, n.Of.Name)
	}
	k, made := key{n.Of, n.Kind}, now-n.Age
	was, known := b.notes[k]
	switch {
	case known && n.Seq < was.seq, n.Age > b.kinds[n.Kind].Keep:
		return false, nil
	case known && n.Seq == was.seq:
		was.made = min(was.made, made)
		b.notes[k] = was
		return false, nil
	}
	b.notes[k] = held{n.Seq, made, slices.Clone(n.Body)}
	return true, nil
}

func (b *Book) check(n Note) error {
	k, known := b.kinds[n.Kind]
	switch {
	case !known:
		return fmt.Errorf("%w: no kind %.40q", ErrNote, n.Kind)
	case len(n.Body) > k.Most:
		return fmt.Errorf("%w: %d bytes of %s, which has %d at the most", ErrNote, len(n.Body), n.Kind, k.Most)
	case n.Seq == 0 || n.Age < 0 || n.Age > maxAge:
		return fmt.Errorf("%w: a number above 0 and an age up to %v are wanted", ErrNote, maxAge)
	}
	return nil
}

// Tick lets go of what is too old, and of what those told who are not counted any more.
func (b *Book) Tick(now time.Duration) {
	for k, n := range b.notes {
		if k.of != b.self && (now-n.made > b.kinds[k.kind].Keep || !b.view.Counts(k.of)) {
			delete(b.notes, k)
		}
	}
}

// All is what this member holds, for a full exchange.
func (b *Book) All(now time.Duration) []Note {
	all := make([]Note, 0, len(b.notes))
	for k, n := range b.notes {
		all = append(all, Note{k.of, k.kind, n.seq, max(0, now-n.made), n.body})
	}
	return all
}

// Value is what one member told.
type Value struct {
	Age  time.Duration
	Body []byte
}

// Reading is what all told of a kind.
type Reading struct {
	Values map[membership.ID]Value
	// Covered is the part of all who may be serving, by weight, whose word this is: what it says
	// of the fleet says nothing of the rest.
	Covered float64
	Oldest  time.Duration // of the values
}

// Read gives what those who may be serving told of a kind.
func (b *Book) Read(now time.Duration, kind string) Reading {
	r := Reading{Values: make(map[membership.ID]Value)}
	var sum, covered float64
	for _, m := range b.view.MayServe() {
		sum += m.Weight
		n, known := b.notes[key{m.ID, kind}]
		if age := max(0, now-n.made); known && age <= b.kinds[kind].Keep {
			r.Values[m.ID] = Value{age, n.body}
			r.Oldest = max(r.Oldest, age)
			covered += m.Weight
		}
	}
	if sum > 0 {
		r.Covered = covered / sum
	}
	return r
}
