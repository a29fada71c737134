package requestid

import (
	"bytes"
	"fmt"
	"maps"
	"testing"

	_ "jasperpin/internal/seeded"

	"pgregory.net/rapid"
)

// chain is a model of a chain of processes: the ids that are open in each, and those that each was last sent by the
// processes on both sides.
type chain struct {
	registries [3]*Registry
	open       [3]map[string]bool
	sent       [3][neighborCount]map[string]bool // by receiver and side of the sender
}

// start replaces a process with a new one, to which its neighbors send what they know.
func (c *chain) start(r *rapid.T, process int) {
	c.registries[process], c.open[process] = New(), map[string]bool{}
	c.sent[process] = [neighborCount]map[string]bool{{}, {}}
	for side, other := range c.neighborsOf(process) {
		if c.registries[other] != nil {
			c.registries[other].ForgetPeer(side.other())
			c.sent[other][side.other()] = map[string]bool{}
			c.send(r, other, side.other(), c.registries[other].Complete(side.other()))
		}
	}
}

// neighborsOf returns the neighbors of a process, by side.
func (c *chain) neighborsOf(process int) map[Neighbor]int {
	neighbors := make(map[Neighbor]int)
	if process > 0 {
		neighbors[Predecessor] = process - 1
	}
	if process+1 < len(c.registries) {
		neighbors[Successor] = process + 1
	}
	return neighbors
}

// send applies an update of a process at its neighbor on one side.
func (c *chain) send(r *rapid.T, process int, to Neighbor, update Update) {
	receiver := c.neighborsOf(process)[to]
	if err := c.registries[receiver].ApplyPeer(to.other(), update); err != nil {
		r.Fatal(err)
	}
	sent := map[string]bool{}
	maps.Copy(sent, c.open[process])
	maps.Copy(sent, c.sent[process][to.other()])
	c.sent[receiver][to.other()] = sent
}

// TestChainNeverOpensTheSameID guards against an id that two processes open, up to two processes apart: three processes
// in a chain open and end request ids at random, end and are replaced, and sometimes send each other updates. An id that
// a process was sent as open, by any process beyond a neighbor, is never opened by it; one that it was sent as ended
// is free again; and no process rejects an id that is not in use.
func TestChainNeverOpensTheSameID(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var processes chain
		for i := range processes.registries {
			processes.start(r, i)
		}
		for range rapid.IntRange(1, 300).Draw(r, "steps") {
			i := rapid.IntRange(0, len(processes.registries)-1).Draw(r, "process")
			name := fmt.Sprint("r", rapid.IntRange(0, 12).Draw(r, "name"))
			switch rapid.IntRange(0, 9).Draw(r, "event") {
			case 0, 1, 2, 3:
				got := processes.registries[i].Open(name)
				sent := processes.sent[i]
				if want := !processes.open[i][name] && !sent[Predecessor][name] && !sent[Successor][name]; got != want {
					r.Fatalf("process %d opens %s: %v, want %v; it has open %v, the others have sent %v", i, name, got, want, processes.open[i], sent)
				}
				if got {
					processes.open[i][name] = true
				}
			case 4, 5, 6:
				processes.registries[i].Close(name)
				delete(processes.open[i], name)
			case 7, 8:
				to := Neighbor(rapid.IntRange(0, int(neighborCount)-1).Draw(r, "neighbor"))
				if _, ok := processes.neighborsOf(i)[to]; !ok {
					continue
				}
				update := processes.registries[i].Changes(to)
				if rapid.IntRange(0, 3).Draw(r, "complete") == 0 {
					update = processes.registries[i].Complete(to)
				}
				processes.send(r, i, to, update)
			case 9:
				processes.start(r, i)
			}
		}
	})
}

// TestEmptyRegistryOwesNoChange: a registry is empty only once no id is in use and its neighbors know so: a neighbor that
// is not sent the end of an id would reject the id for as long as it lives.
func TestEmptyRegistryOwesNoChange(t *testing.T) {
	r := New()
	r.Open("a")
	r.Complete(Successor)
	r.Close("a")
	if r.Empty() {
		t.Error("the registry is empty before the end of an id was sent, want it not empty")
	}
	r.Changes(Successor)
	if !r.Empty() {
		t.Error("the registry is not empty after the end of the last id was sent, want it empty")
	}
	id := Hash("b")
	if err := r.ApplyPeer(Predecessor, Update{Opened: id[:]}); err != nil || r.Empty() {
		t.Errorf("error %v, or the registry is empty with an id of a neighbor, want it not empty", err)
	}
	r.ForgetPeer(Predecessor)
	if r.Empty() {
		t.Error("the registry is empty before the end of a relayed id was sent, want it not empty")
	}
	if r.ForgetPeer(Successor); !r.Empty() {
		t.Error("the registry is not empty without neighbors and ids, want it empty")
	}
}

// TestIDsOfEndedPeerStayInUse guards against an id that runs twice: a process ends without ending the id of a request that
// may have run. The id stays in use here, and for the processes beyond, until it is released.
func TestIDsOfEndedPeerStayInUse(t *testing.T) {
	r, beyond := New(), New()
	id, other := Hash("a"), Hash("b")
	if err := r.ApplyPeer(Predecessor, Update{Opened: append(id[:], other[:]...)}); err != nil {
		t.Fatal(err)
	}
	if err := r.ApplyPeer(Predecessor, Update{Ended: other[:]}); err != nil {
		t.Fatal(err)
	}
	if ids := r.KeepPeer(Predecessor, 0); len(ids) != 0 {
		t.Errorf("%d ids are kept, want none beyond the limit", len(ids))
	}
	kept := r.KeepPeer(Predecessor, maxChanges)
	r.ForgetPeer(Predecessor)
	if r.Open("a") || !r.Open("b") || len(kept) != 1 {
		t.Errorf("%d ids are kept, or an id in use was opened, want only the one that was not ended", len(kept))
	}
	if err := beyond.ApplyPeer(Predecessor, r.Changes(Successor)); err != nil || beyond.Open("a") {
		t.Errorf("error %v, or a process beyond opens the id", err)
	}
	r.Release(kept)
	if err := beyond.ApplyPeer(Predecessor, r.Changes(Successor)); err != nil || !beyond.Open("a") || !r.Open("a") {
		t.Errorf("error %v, or the id is in use after its release", err)
	}
}

// TestUpdateIsBounded: more ids are opened than maxChanges. The next update is complete.
func TestUpdateIsBounded(t *testing.T) {
	a, b := New(), New()
	a.Changes(Successor)
	for i := range 2 * maxChanges {
		a.Open(fmt.Sprint(i))
		if stored := len(a.neighbors[Successor].changed); stored > maxChanges {
			t.Fatalf("%d changes are stored, want at most %d", stored, maxChanges)
		}
	}
	update := a.Changes(Successor)
	if err := b.ApplyPeer(Predecessor, update); err != nil || !update.Complete || b.Open("0") || b.Open(fmt.Sprint(2*maxChanges-1)) || !b.Open("new") {
		t.Errorf("error %v, or the update (complete: %v) does not contain all open ids only", err, update.Complete)
	}
	a.ForgetPeer(Successor)
	if a.Open("x"); a.hashes != nil || a.neighbors[Successor].changed != nil {
		t.Error("a change is stored after ForgetPeer")
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
		if len(b.neighbors[Successor].open) > len(opened)/hashSize || b.Open("mine") {
			t.Fatal("the registry stores ids that no update contained, or has lost its own")
		}
	})
}
