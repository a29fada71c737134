package membership

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// rank orders members for a key by weighted rendezvous hashing. All members with the same view compute the same
// order, so they can divide keys among themselves without coordination. No program uses it yet.
func rank(key uint64, members []Member) []Member {
	score := make(map[ID]float64, len(members))
	for _, m := range members {
		u := rand.New(rand.NewPCG(hash(0, m.Name), key)).Float64()
		score[m.ID] = -math.Log(u+1e-18) / m.Weight
	}
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int { return cmp.Or(cmp.Compare(score[a.ID], score[b.ID]), a.compare(b.ID)) })
	return ranked
}

// TestRankMovesOnlyKeysOfLeaver ranks 40 members for 6,000 keys, with and without one of them. Only the keys for which
// that member ranked first may move. The number of keys for which a member ranks first must be in proportion to its
// weight.
func TestRankMovesOnlyKeysOfLeaver(t *testing.T) {
	var all []Member
	for i := range 40 {
		all = append(all, Member{ID: ID{Identity{Name: fmt.Sprint("n", i)}, 1}, Weight: float64(1 + i%2)})
	}
	keys := make(map[string]int)
	for key := range uint64(6000) {
		first := rank(key, all)[0]
		keys[first.Name]++
		fewer := slices.DeleteFunc(slices.Clone(all), func(m Member) bool { return m.Name == "n7" })
		if got := rank(key, fewer)[0]; got.ID != first.ID && first.Name != "n7" {
			t.Fatalf("key %d moved from %v to %v when another member left", key, first.ID, got.ID)
		}
	}
	for _, m := range all {
		if want := 100 * m.Weight; float64(keys[m.Name]) < want*0.6 || float64(keys[m.Name]) > want*1.5 {
			t.Errorf("member %s of weight %v ranks first for %d of 6,000 keys, which is not in proportion to its weight", m.Name, m.Weight, keys[m.Name])
		}
	}
}
