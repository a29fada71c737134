package requestid

import (
	"bytes"
	"fmt"
	"testing"

	_ "jasperpin/internal/seeded"

	"pgregory.net/rapid"
)

// TestNeighborsNeverOpenTheSameID: two processes open and end request ids at random, and sometimes send each other
// updates. An id that one process has sent as open is never opened by the other; one that it has sent as ended is
// free again; and no process rejects an id that is not in use.
func TestNeighborsNeverOpenTheSameID(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		registries := [2]*Registry{New(), New()}
		sides := [2]Neighbor{Successor, Predecessor} // which neighbor the other process is of each
		open := [2]map[string]bool{{}, {}}
		sent := [2]map[string]bool{{}, {}}
		for range rapid.IntRange(1, 300).Draw(r, "steps") {
			i := rapid.IntRange(0, 1).Draw(r, "process")
			name := fmt.Sprint("r", rapid.IntRange(0, 12).Draw(r, "name"))
			switch rapid.IntRange(0, 9).Draw(r, "event") {
			case 0, 1, 2, 3:
				got := registries[i].Open(name)
				if want := !open[i][name] && !sent[1-i][name]; got != want {
					r.Fatalf("process %d opens %s: %v, want %v; it has open %v, the other process has sent %v", i, name, got, want, open[i], sent[1-i])
				}
				if got {
					open[i][name] = true
				}
			case 4, 5, 6:
				registries[i].Close(name)
				delete(open[i], name)
			case 7, 8:
				update := registries[i].Changes()
				if rapid.IntRange(0, 3).Draw(r, "complete") == 0 {
					update = registries[i].All()
				}
				if err := registries[1-i].ApplyPeer(sides[1-i], update); err != nil {
					r.Fatal(err)
				}
				sent[i] = make(map[string]bool)
				for n := range open[i] {
					sent[i][n] = true
				}
			case 9: // the other process ends and a new one starts
				registries[1-i], open[1-i], sent[1-i] = New(), map[string]bool{}, map[string]bool{}
				registries[i].ForgetPeer(sides[i])
				registries[i].StopTracking()
				if err := registries[1-i].ApplyPeer(sides[1-i], registries[i].All()); err != nil {
					r.Fatal(err)
				}
				sent[i] = make(map[string]bool)
				for n := range open[i] {
					sent[i][n] = true
				}
			}
		}
	})
}

// TestUpdateIsBounded: more ids are opened than maxChanges. The next update is complete.
func TestUpdateIsBounded(t *testing.T) {
	a, b := New(), New()
	a.Changes()
	for i := range 2 * maxChanges {
		a.Open(fmt.Sprint(i))
		if len(a.changed) > maxChanges {
			t.Fatalf("%d changes are stored, want at most %d", len(a.changed), maxChanges)
		}
	}
	update := a.Changes()
	if err := b.ApplyPeer(Predecessor, update); err != nil || !update.Complete || b.Open("0") || b.Open(fmt.Sprint(2*maxChanges-1)) || !b.Open("new") {
		t.Errorf("error %v, or the update (complete: %v) does not contain all open ids only", err, update.Complete)
	}
	a.StopTracking()
	if a.Open("x"); a.changed != nil {
		t.Error("a change is stored after StopTracking")
	}
}

// FuzzHear applies any update with ApplyPeer: no update corrupts a registry, or makes it store more ids than the
// update contains.
func FuzzHear(f *testing.F) {
	id := Hash("a")
	f.Add(true, id[:], []byte{})
	f.Add(false, []byte{1}, id[:])
	f.Add(false, bytes.Repeat([]byte{7}, 64), id[:3])
	f.Fuzz(func(t *testing.T, whole bool, opened, ended []byte) {
		b := New()
		b.Open("mine")
		err := b.ApplyPeer(Successor, Update{whole, opened, ended})
		if bad := len(opened)%hashSize != 0 || len(ended)%hashSize != 0; bad != (err != nil) {
			t.Fatalf("update of %d and %d bytes: got error %v, malformed: %v", len(opened), len(ended), err, bad)
		}
		if len(b.peers[Successor]) > len(opened)/hashSize || b.Open("mine") {
			t.Fatal("the registry stores ids that no update contained, or has lost its own")
		}
	})
}
