package configlog

import (
	"fmt"
	"runtime"
	"testing"
)

// Numbers of objects in the largest configuration that must be supported: the stated size for two years from now.
const (
	services = 1300
	routes   = 37000
	tenants  = 140000
)

// stateOfSize returns a state of that size divided by divisor, without its log.
func stateOfSize(t testing.TB, divisor int) *State {
	t.Helper()
	state := New()
	var records []Record
	flush := func() {
		propose(t, state, state.Version(), records...)
		records = records[:0]
	}
	add := func(k Key, value string) {
		if records = append(records, put(k, value)); len(records) == MaxChangeRecords {
			flush()
		}
	}
	serviceName := func(i int) string { return fmt.Sprintf("service-%04d", i%(services/divisor)) }
	for i := range services / divisor {
		add(PoolKey(serviceName(i)), fmt.Sprintf(`{"discovery":"127.0.0.1:9700","name":"%s"}`, serviceName(i)))
		add(ServiceKey(serviceName(i)), fmt.Sprintf(`{"burst":100,"concurrent":120,"name":"%s","rate":400}`, serviceName(i)))
	}
	for i := range routes / divisor {
		add(RouteKey(serviceName(i), fmt.Sprint(i)), fmt.Sprintf(`{"hosts":["h%d.example.org"],"path":"/p%d","pool":"%s"}`, i, i, serviceName(i)))
	}
	for i := range tenants / divisor {
		add(TenantKey(serviceName(i), fmt.Sprintf("tenant-%06d", i)), `{"rate":100,"weight":2}`)
	}
	flush()
	state, err := throughChunks(state.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	return state
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestMemoryIsBoundedByRecords builds a state of a tenth of the size. It must use at most three times the bytes of its
// records. The hash tree uses about 230 kB at any size.
func TestMemoryIsBoundedByRecords(t *testing.T) {
	before := heapBytes()
	s := stateOfSize(t, 10)
	used := heapBytes() - before
	t.Logf("%d records of %d bytes use %d bytes of memory", s.Len(), s.Bytes(), used)
	if used > 3*uint64(s.Bytes()) {
		t.Errorf("%d records of %d bytes use %d bytes of memory, want at most three times the size", s.Len(), s.Bytes(), used)
	}
	runtime.KeepAlive(s)
}

func BenchmarkPropose(b *testing.B) {
	for _, divisor := range []int{100, 10, 1} {
		s := stateOfSize(b, divisor)
		b.Run(fmt.Sprint("records=", s.Len()), func(b *testing.B) {
			for i := range b.N {
				propose(b, s, s.Version(), put(PoolKey(fmt.Sprintf("service-%04d", i%10)), fmt.Sprintf(`{"n":%d}`, i)))
			}
		})
	}
}

func BenchmarkApply(b *testing.B) {
	for _, divisor := range []int{100, 10, 1} {
		voter := stateOfSize(b, divisor)
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

func BenchmarkSnapshotChunks(b *testing.B) {
	s := stateOfSize(b, 1).Snapshot().WithoutLog()
	for b.Loop() {
		for chunk := (SnapshotChunk{}); !chunk.Last; {
			chunk = s.Chunk(chunk)
			AppendChunk(nil, chunk)
		}
	}
}

// TestCostOfChangeIsIndependentOfSize commits a change of one record at a hundredth and at a tenth of the size. It must
// recompute only one leaf and one branch, and make the same number of allocations at both sizes.
func TestCostOfChangeIsIndependentOfSize(t *testing.T) {
	var allocs []float64
	for _, divisor := range []int{100, 10} {
		state := stateOfSize(t, divisor)
		n := 0
		nextRecord := func() Record {
			n++
			return put(PoolKey(fmt.Sprintf("service-%04d", n%10)), fmt.Sprintf(`{"n":%d}`, n))
		}
		leaves, branches := state.tree.leaves, state.tree.branches
		propose(t, state, state.Version(), nextRecord())
		recomputed := 0
		for i := range leaves {
			if leaves[i] != state.tree.leaves[i] {
				recomputed++
			}
		}
		for i := range branches {
			if branches[i] != state.tree.branches[i] {
				recomputed++
			}
		}
		if recomputed != 2 {
			t.Errorf("recomputed %d leaves and branches at %d records, want 2", recomputed, state.Len())
		}
		allocs = append(allocs, testing.AllocsPerRun(100, func() { propose(t, state, state.Version(), nextRecord()) }))
	}
	if allocs[1] > allocs[0]+3 {
		t.Errorf("allocations at a hundredth and a tenth of the size are %v, want them equal", allocs)
	}
}
