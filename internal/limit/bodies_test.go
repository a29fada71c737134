package limit

import (
	"testing"

	"pgregory.net/rapid"
)

// TestBodiesNeverExceedTheirMemory: bodies grow and end at random. The bytes in use never exceed the total, no body
// exceeds a quarter of the free memory or the limit of one body, and all bytes are released.
func TestBodiesNeverExceedTheirMemory(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := Machine{Memory: int64(rapid.IntRange(32, 512).Draw(r, "MB")) << 20, Descriptors: rapid.IntRange(MinNodeDescriptors, 4096).Draw(r, "descriptors")}
		b := NewBodyMemory(m)
		held := make([]int, 40)
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			i := rapid.IntRange(0, len(held)-1).Draw(r, "body")
			n := rapid.IntRange(0, 128<<10).Draw(r, "bytes")
			free := b.total - b.used
			switch {
			case rapid.Bool().Draw(r, "ends"):
				b.Release(held[i])
				held[i] = 0
			case b.Grow(held[i], n):
				held[i] += n
				if held[i] > MaxHeldBody-b.Guaranteed() || n > 0 && held[i] > (free+held[i])/bodyDivisor+n || b.used > b.total {
					r.Fatalf("a body has %d bytes with %d free; %d of %d are in use", held[i], free, b.used, b.total)
				}
			}
		}
		for _, n := range held {
			b.Release(n)
		}
		if b.used != 0 {
			r.Fatalf("%d bytes are in use after all bodies have ended", b.used)
		}
	})
	if b := NewBodyMemory(Machine{Memory: MinNodeMemory, Descriptors: 1024}); !b.Grow(0, MaxHeldBody/2) {
		t.Error("a node with the least memory cannot store a body of half of MaxHeldBody, want it stored")
	}
}
