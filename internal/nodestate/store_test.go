package nodestate

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"jasperpin/internal/membership"
	_ "jasperpin/internal/seeded"

	"pgregory.net/rapid"
)

func id(i int) membership.ID {
	return membership.ID{Identity: membership.Identity{Name: fmt.Sprint("n", i)}, Incarnation: 1}
}

// newStore returns the store and the view of one of three members that count each other.
func newStore(t interface{ Fatal(...any) }, self int) (*Store, *membership.View) {
	v, err := membership.New(membership.Options{FirstMember: true, ReachableFor: time.Second}, membership.Record{ID: id(self), Weight: 1}, 1)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		if _, err := v.Merge(1, membership.Record{ID: id(i), Seq: 1, Weight: 1, State: membership.Serving}); err != nil {
			t.Fatal(err)
		}
	}
	return New(id(self), v, Kind{"load", 8, time.Minute}, Kind{"else", 8, time.Minute}), v
}

// TestMergeIsIndependentOfOrder merges notes into one store, and twice and in another order into a second store. Both
// stores must have the same notes.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		note := rapid.Custom(func(t *rapid.T) Note {
			seq := rapid.Uint64Range(1, 4).Draw(t, "seq")
			kind := rapid.SampledFrom([]string{"load", "else"}).Draw(t, "kind")
			origin := rapid.IntRange(1, 2).Draw(t, "of")
			return Note{id(origin), kind, seq, time.Duration(rapid.IntRange(0, 50).Draw(t, "age")) * time.Second, []byte{byte(seq), byte(origin)}}
		})
		notes := rapid.SliceOfN(note, 0, 12).Draw(t, "notes")
		again := append(rapid.Permutation(notes).Draw(t, "order"), notes...)
		a, _ := newStore(t, 0)
		b, _ := newStore(t, 0)
		for _, n := range notes {
			if _, err := a.Merge(time.Hour, n); err != nil {
				t.Fatal(err)
			}
		}
		for _, n := range again {
			if _, err := b.Merge(time.Hour, n); err != nil {
				t.Fatal(err)
			}
		}
		if !reflect.DeepEqual(a.notes, b.notes) {
			t.Fatalf("the stored notes are %v after one order of merges and %v after another, want equal notes", a.notes, b.notes)
		}
	})
}

// TestAgeAddsUpOverHops passes a note from one member to a second and from there to a third, whose clocks differ. The
// note's age must add up, and the coverage must be the fraction of the fleet with a value. The note must be dropped
// after its TTL, and after its member has ended.
func TestAgeAddsUpOverHops(t *testing.T) {
	first, _ := newStore(t, 0)
	second, _ := newStore(t, 1)
	third, view := newStore(t, 2)
	if _, err := first.Publish(10*time.Second, "load", []byte("7")); err != nil {
		t.Fatal(err)
	}
	pass := func(from, to *Store, fromNow, toNow time.Duration) { // each time is on the clock of its own store
		for _, n := range from.All(fromNow) {
			if _, err := to.Merge(toNow, n); err != nil {
				t.Fatal(err)
			}
		}
	}
	pass(first, second, 15*time.Second, 100*time.Second)
	pass(second, third, 110*time.Second, 3*time.Hour)
	r := third.Read(3*time.Hour+time.Second, "load")
	if v := r.Values[id(0)]; v.Age != 16*time.Second || string(v.Body) != "7" || r.Coverage != 1.0/3 || r.Oldest != v.Age {
		t.Errorf("reading the notes: got %+v, want the note with an age of 16 s and a third of the coverage", r)
	}
	if got := third.Read(3*time.Hour+time.Minute, "load"); len(got.Values) != 0 || got.Coverage != 0 {
		t.Errorf("reading the notes after the TTL: got %+v, want none", got)
	}
	view.MarkEnded(id(0))
	third.Tick(3*time.Hour + time.Second)
	if len(third.notes) != 0 {
		t.Errorf("got notes %v of a member that has ended, want none", third.notes)
	}
	for name, n := range map[string]Note{
		"kind": {id(1), "none", 1, 0, nil}, "length": {id(1), "load", 1, 0, make([]byte, 9)}, "number": {id(1), "load", 0, 0, nil}, "age": {id(1), "load", 1, -1, nil},
	} {
		if _, err := third.Merge(0, n); !errors.Is(err, ErrNote) {
			t.Errorf("merging a note with an invalid %s: got error %v, want ErrNote", name, err)
		}
	}
	if _, err := third.Merge(0, Note{id(9), "load", 1, 0, nil}); !errors.Is(err, ErrNotCounted) {
		t.Errorf("merging a note of an unknown member: got error %v, want ErrNotCounted", err)
	}
}
