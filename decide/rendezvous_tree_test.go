package decide

import (
	"math"
	"math/rand/v2"
	"testing"
)

// newKeyTree returns a tree over n servers, added in an order that a seed draws.
func newKeyTree(n int, seed uint64) (a *rendezvousTree, all []*server) {
	a = &rendezvousTree{}
	for _, e := range servers(n) {
		all = append(all, &server{Server: e})
	}
	order := rand.New(rand.NewPCG(seed, 0)).Perm(n)
	for _, i := range order {
		a.add(all[i])
	}
	return a, all
}

const testKeys = 40000

// Two nodes come to the same servers in different ways. They place keys alike, and each server gets keys by
// its capacity.
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
			t.Fatalf("key %d is assigned to %d by one node and to %d by the other", key, x.ID, y.ID)
		}
		got[x.ID]++
	}
	for _, s := range all {
		want := testKeys * s.Capacity / 52
		if math.Abs(got[s.ID]-want) > 5*math.Sqrt(want) {
			t.Errorf("server %d of capacity %v has %v keys, want some %.0f", s.ID, s.Capacity, got[s.ID], want)
		}
	}
}

// Some servers of many go. Besides their own keys, no more than log2(n)/2 times as many move, and some for
// chance.
func TestFewKeysMoveWhenServersGo(t *testing.T) {
	for _, n := range []int{20, 200, 3200} {
		a, all := newKeyTree(n, 3)
		was := make([]*server, testKeys)
		for key := range was {
			was[key], _ = a.choose(uint64(key)+1, 0)
		}
		const gone = 10
		for _, s := range all[:gone] {
			a.remove(s)
		}
		moved, orphaned := 0, 0
		for key, s := range was {
			is, _ := a.choose(uint64(key)+1, 0)
			switch {
			case s.ID <= gone:
				orphaned++
			case is != s:
				moved++
			}
		}
		t.Logf("of %d servers %d go: %d of %d keys were theirs, %d others move", n, gone, orphaned, testKeys, moved)
		if most := 1.5 * float64(orphaned) * math.Log2(float64(n)) / 2; float64(moved) > most {
			t.Errorf("%d keys moved besides the %d of the servers gone, of %d; want %.0f at the most", moved, orphaned, n, most)
		}
	}
}
