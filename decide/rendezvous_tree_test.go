package decide

import (
	"math"
	"math/rand/v2"
	"testing"
)

// newKeyTree returns a tree of n servers, added in a random order drawn with the seed.
func newKeyTree(n int, seed uint64) (tree *rendezvousTree, all []*server) {
	tree = &rendezvousTree{}
	for _, e := range servers(n) {
		all = append(all, &server{Server: e})
	}
	order := rand.New(rand.NewPCG(seed, 0)).Perm(n)
	for _, i := range order {
		tree.add(all[i])
	}
	return tree, all
}

const testKeys = 40000

// Two nodes get the same servers through different updates. They assign keys identically, and each server
// gets keys in proportion to its capacity.
func TestNodesAgreeOnKeys(t *testing.T) {
	a, all := newKeyTree(50, 1)
	b, others := newKeyTree(90, 2)
	for _, s := range others[50:] {
		b.remove(s)
	}
	b.remove(others[7])
	a.remove(all[7])
	all[7].Capacity, others[7].Capacity = 3, 3
	a.add(all[7])
	b.add(others[7])
	got := make(map[ServerID]float64)
	for key := range uint64(testKeys) {
		x, _ := a.choose(key+1, 0)
		y, _ := b.choose(key+1, 0)
		if x.ID != y.ID {
			t.Fatalf("key %d is assigned to server %d by one node and to server %d by the other, want the same server", key, x.ID, y.ID)
		}
		got[x.ID]++
	}
	for _, s := range all {
		want := testKeys * s.Capacity / 52
		if math.Abs(got[s.ID]-want) > 5*math.Sqrt(want) {
			t.Errorf("server %d of capacity %v has %v keys, want about %.0f", s.ID, s.Capacity, got[s.ID], want)
		}
	}
}

// Some of many servers are removed. Besides their own keys, at most about log2(n)/2 times as many keys move.
func TestFewKeysMoveWhenServersAreRemoved(t *testing.T) {
	for _, n := range []int{20, 200, 3200} {
		a, all := newKeyTree(n, 3)
		before := make([]*server, testKeys)
		for key := range before {
			before[key], _ = a.choose(uint64(key)+1, 0)
		}
		const removed = 10
		for _, s := range all[:removed] {
			a.remove(s)
		}
		moved, orphaned := 0, 0
		for key, s := range before {
			after, _ := a.choose(uint64(key)+1, 0)
			switch {
			case s.ID <= removed:
				orphaned++
			case after != s:
				moved++
			}
		}
		t.Logf("%d of %d servers are removed: %d of %d keys were theirs, %d others move", removed, n, orphaned, testKeys, moved)
		if maxMoved := 1.5 * float64(orphaned) * math.Log2(float64(n)) / 2; float64(moved) > maxMoved {
			t.Errorf("%d keys moved besides the %d of the removed servers, of %d servers; want at most %.0f", moved, orphaned, n, maxMoved)
		}
	}
}
