package membership

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// rank orders members for a key by weighted rendezvous hashing. All that know the same members compute the
// same order, so that members can divide keys among them without agreement. No program does yet.
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

// TestRankMovesOnlyKeysOfLeaver ranks 40 members for 6,000 keys, with and without one of them: the keys that
// it was first for move, and no others. Each member is first for keys in proportion to its weight.
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
			t.Fatalf("key %d moved from %v to %v as another member left", key, first.ID, got.ID)
		}
	}
	for _, m := range all {
		if want := 100 * m.Weight; float64(keys[m.Name]) < want*0.6 || float64(keys[m.Name]) > want*1.5 {
			t.Errorf("%s of weight %v is first for %d of 6,000 keys", m.Name, m.Weight, keys[m.Name])
		}
	}
}
