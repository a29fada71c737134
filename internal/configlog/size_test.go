package configlog

import (
	"fmt"
	"runtime"
	"testing"
)

// at two years' size: 1,300 services and pools, 37,000 routes, 140,000 tenants.
const (
	services = 1300
	routes   = 37000
	tenants  = 140000
)

// large is a state of that size, or a part of it, without its log.
func large(t testing.TB, part int) *State {
	t.Helper()
	s := New()
	var records []Record
	flush := func() {
		propose(t, s, s.Version(), records...)
		records = records[:0]
	}
	add := func(k Key, value string) {
		if records = append(records, put(k, value)); len(records) == MaxChangeRecords {
			flush()
		}
	}
	of := func(i int) string { return fmt.Sprintf("service-%04d", i%(services/part)) }
	for i := range services / part {
		add(PoolKey(of(i)), fmt.Sprintf(`{"discovery":"127.0.0.1:9700","name":"%s"}`, of(i)))
		add(ServiceKey(of(i)), fmt.Sprintf(`{"burst":100,"concurrent":120,"name":"%s","rate":400}`, of(i)))
	}
	for i := range routes / part {
		add(RouteKey(of(i), fmt.Sprint(i)), fmt.Sprintf(`{"hosts":["h%d.example.org"],"path":"/p%d","pool":"%s"}`, i, i, of(i)))
	}
	for i := range tenants / part {
		add(TenantKey(of(i), fmt.Sprintf("tenant-%06d", i)), `{"rate":100,"weight":2}`)
	}
	flush()
	s, err := bare(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestMemory holds what a state takes to three times its records' bytes, at a tenth of the size: beside
// them it has its tree, of some 230 kB whatever the size.
func TestMemory(t *testing.T) {
	before := heap()
	s := large(t, 10)
	took := heap() - before
	t.Logf("%d records of %d bytes take %d bytes", s.Len(), s.Bytes(), took)
	if took > 3*uint64(s.Bytes()) {
		t.Errorf("%d records of %d bytes take %d bytes", s.Len(), s.Bytes(), took)
	}
	runtime.KeepAlive(s)
}

func BenchmarkPropose(b *testing.B) {
	for _, part := range []int{100, 10, 1} {
		s := large(b, part)
		b.Run(fmt.Sprint("records=", s.Len()), func(b *testing.B) {
			for i := range b.N {
				propose(b, s, s.Version(), put(PoolKey(fmt.Sprintf("service-%04d", i%10)), fmt.Sprintf(`{"n":%d}`, i)))
			}
		})
	}
}

func BenchmarkApply(b *testing.B) {
	for _, part := range []int{100, 10, 1} {
		voter := large(b, part)
		follower, err := bare(voter.Snapshot())
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("records=", voter.Len()), func(b *testing.B) {
			for i := range b.N {
				b.StopTimer()
				c := propose(b, voter, voter.Version(), put(PoolKey(fmt.Sprintf("service-%04d", i%10)), fmt.Sprintf(`{"n":%d}`, i)))
				b.StartTimer()
				if err := follower.Apply(c); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkRestore(b *testing.B) {
	text := large(b, 1).Snapshot().Encode()
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, err := Restore(text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSnapshotPieces(b *testing.B) {
	s := large(b, 1).Snapshot().Bare()
	for b.Loop() {
		for p := (Piece{}); !p.Last; {
			p = s.Piece(p)
			AppendPiece(nil, p)
		}
	}
}

// TestCostIsTheChanges counts the work of a change of one record, at a hundredth and a tenth of the size: it draws one leaf
// and one branch, and allocates the same.
func TestCostIsTheChanges(t *testing.T) {
	var allocs []float64
	for _, part := range []int{100, 10} {
		s := large(t, part)
		n := 0
		one := func() Record {
			n++
			return put(PoolKey(fmt.Sprintf("service-%04d", n%10)), fmt.Sprintf(`{"n":%d}`, n))
		}
		leaves, branches := s.tree.leaves, s.tree.branches
		propose(t, s, s.Version(), one())
		drawn := 0
		for i := range leaves {
			if leaves[i] != s.tree.leaves[i] {
				drawn++
			}
		}
		for i := range branches {
			if branches[i] != s.tree.branches[i] {
				drawn++
			}
		}
		if drawn != 2 {
			t.Errorf("%d leaves and branches changed at %d records", drawn, s.Len())
		}
		allocs = append(allocs, testing.AllocsPerRun(100, func() { propose(t, s, s.Version(), one()) }))
	}
	if allocs[1] > allocs[0]+3 {
		t.Errorf("%v allocations at a hundredth and a tenth of the size", allocs)
	}
}
