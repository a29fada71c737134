package configlog

import (
	"fmt"
	"runtime"
	"testing"
)

// The size stated for two years from now.
const (
	services = 1300
	routes   = 37000
	tenants  = 140000
)

// stateOfSize returns a state of one part-th of that size, without its log.
func stateOfSize(t testing.TB, part int) *State {
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
	s, err := throughChunks(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestMemoryIsBoundedByRecords compares the memory of a state, at a tenth of the size, with three times the bytes of its
// records. The hash tree takes some 230 kB at any size.
func TestMemoryIsBoundedByRecords(t *testing.T) {
	before := heapBytes()
	s := stateOfSize(t, 10)
	took := heapBytes() - before
	t.Logf("%d records of %d bytes take %d bytes", s.Len(), s.Bytes(), took)
	if took > 3*uint64(s.Bytes()) {
		t.Errorf("%d records of %d bytes take %d bytes", s.Len(), s.Bytes(), took)
	}
	runtime.KeepAlive(s)
}

func BenchmarkPropose(b *testing.B) {
	for _, part := range []int{100, 10, 1} {
		s := stateOfSize(b, part)
		b.Run(fmt.Sprint("records=", s.Len()), func(b *testing.B) {
			for i := range b.N {
				propose(b, s, s.Version(), put(PoolKey(fmt.Sprintf("service-%04d", i%10)), fmt.Sprintf(`{"n":%d}`, i)))
			}
		})
	}
}

func BenchmarkApply(b *testing.B) {
	for _, part := range []int{100, 10, 1} {
		voter := stateOfSize(b, part)
		follower, err := throughChunks(voter.Snapshot())
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
	text := stateOfSize(b, 1).Snapshot().Encode()
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, err := Restore(text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSnapshotPieces(b *testing.B) {
	s := stateOfSize(b, 1).Snapshot().WithoutLog()
	for b.Loop() {
		for p := (SnapshotChunk{}); !p.Last; {
			p = s.Chunk(p)
			AppendChunk(nil, p)
		}
	}
}

// TestCostOfChangeIsIndependentOfSize commits a change of one record at a hundredth and a tenth of the size: it
// recomputes one leaf and one branch, and allocates the same.
func TestCostOfChangeIsIndependentOfSize(t *testing.T) {
	var allocs []float64
	for _, part := range []int{100, 10} {
		s := stateOfSize(t, part)
		n := 0
		one := func() Record {
			n++
			return put(PoolKey(fmt.Sprintf("service-%04d", n%10)), fmt.Sprintf(`{"n":%d}`, n))
		}
		leaves, branches := s.tree.leaves, s.tree.branches
		propose(t, s, s.Version(), one())
		recomputed := 0
		for i := range leaves {
			if leaves[i] != s.tree.leaves[i] {
				recomputed++
			}
		}
		for i := range branches {
			if branches[i] != s.tree.branches[i] {
				recomputed++
			}
		}
		if recomputed != 2 {
			t.Errorf("%d leaves and branches were recomputed at %d records", recomputed, s.Len())
		}
		allocs = append(allocs, testing.AllocsPerRun(100, func() { propose(t, s, s.Version(), one()) }))
	}
	if allocs[1] > allocs[0]+3 {
		t.Errorf("%v allocations at a hundredth and a tenth of the size", allocs)
	}
}
