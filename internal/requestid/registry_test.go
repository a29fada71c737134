package requestid

import (
	"bytes"
	"fmt"
	"testing"

	_ "jasperpin/internal/seeded"

	"pgregory.net/rapid"
)

// TestTwoBooks has two processes open and end names at random and tell each other now and
// then: what one has open and has told, the other never opens; what has ended and been
// told is free again; and neither has a name of its own refused without cause.
func TestTwoBooks(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		books := [2]*Registry{New(), New()}
		sides := [2]Side{After, Before} // as each sees the other
		open := [2]map[string]bool{{}, {}}
		told := [2]map[string]bool{{}, {}}
		for range rapid.IntRange(1, 300).Draw(r, "steps") {
			i := rapid.IntRange(0, 1).Draw(r, "process")
			name := fmt.Sprint("r", rapid.IntRange(0, 12).Draw(r, "name"))
			switch rapid.IntRange(0, 9).Draw(r, "what") {
			case 0, 1, 2, 3:
				got := books[i].Open(name)
				if want := !open[i][name] && !told[1-i][name]; got != want {
					r.Fatalf("process %d opens %s: %v; it has %v, the other has told of %v", i, name, got, open[i], told[1-i])
				}
				if got {
					open[i][name] = true
				}
			case 4, 5, 6:
				books[i].End(name)
				delete(open[i], name)
			case 7, 8:
				news := books[i].Changes()
				if rapid.IntRange(0, 3).Draw(r, "whole") == 0 {
					news = books[i].All()
				}
				if err := books[1-i].ApplyPeer(sides[1-i], news); err != nil {
					r.Fatal(err)
				}
				told[i] = make(map[string]bool)
				for n := range open[i] {
					told[i][n] = true
				}
			case 9: // the other ends and a new one comes
				books[1-i], open[1-i], told[1-i] = New(), map[string]bool{}, map[string]bool{}
				books[i].ForgetPeer(sides[i])
				books[i].StopTracking()
				if err := books[1-i].ApplyPeer(sides[1-i], books[i].All()); err != nil {
					r.Fatal(err)
				}
				told[i] = make(map[string]bool)
				for n := range open[i] {
					told[i][n] = true
				}
			}
		}
	})
}

// TestNewsIsBounded opens more names than news holds: the neighbour is told of all.
func TestNewsIsBounded(t *testing.T) {
	a, b := New(), New()
	a.Changes()
	for i := range 2 * maxNews {
		a.Open(fmt.Sprint(i))
		if len(a.changed) > maxNews {
			t.Fatalf("%d names are kept for neighbours", len(a.changed))
		}
	}
	news := a.Changes()
	if err := b.ApplyPeer(Before, news); err != nil || !news.Complete || b.Open("0") || b.Open(fmt.Sprint(2*maxNews-1)) || !b.Open("new") {
		t.Errorf("whole %v, %v", news.Complete, err)
	}
	a.StopTracking()
	if a.Open("x"); a.changed != nil {
		t.Error("a mute book keeps news")
	}
}

// FuzzHear has no news break a book, nor make it hold more than its bound.
func FuzzHear(f *testing.F) {
	id := Of("a")
	f.Add(true, id[:], []byte{})
	f.Add(false, []byte{1}, id[:])
	f.Add(false, bytes.Repeat([]byte{7}, 64), id[:3])
	f.Fuzz(func(t *testing.T, whole bool, opened, ended []byte) {
		b := New()
		b.Open("mine")
		err := b.ApplyPeer(After, Update{whole, opened, ended})
		if bad := len(opened)%size != 0 || len(ended)%size != 0; bad != (err != nil) {
			t.Fatalf("%d and %d bytes: %v", len(opened), len(ended), err)
		}
		if len(b.theirs[After]) > len(opened)/size || b.Open("mine") {
			t.Fatal("the book is wrong")
		}
	})
}
