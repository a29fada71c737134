package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBucketNeverExceedsItsRate: tokens are taken at random times, on a clock that may run backwards. Take succeeds
// at most as often as rate and burst allow, and it succeeds after the wait that it returns.
func TestBucketNeverExceedsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1, 1000).Draw(t, "rate"))
		burst := float64(rapid.IntRange(0, 50).Draw(t, "burst"))
		b := Bucket{Rate: rate, Burst: burst}
		var now, first time.Duration
		took := 0
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(-1000, int64(50*time.Millisecond)).Draw(t, "passes"))
			ok, wait := b.Take(now)
			if i == 0 {
				first = now
			}
			if ok {
				took++
			} else {
				if wait <= 0 {
					t.Fatalf("bucket without a token returned a wait of %v, want above 0", wait)
				}
				c := b
				if ok, _ := c.Take(max(now, b.filledAt) + wait); !ok {
					t.Fatalf("bucket has no token after the wait of %v, want one", wait)
				}
			}
			if most := max(burst, 1) + rate*(b.filledAt-first).Seconds() + 1e-6; float64(took) > most {
				t.Fatalf("bucket gave %d tokens in %v, want at most %.2f", took, b.filledAt-first, most)
			}
		}
	})
	var none Bucket
	if ok, _ := none.Take(0); !ok {
		t.Error("bucket without a limit gave no token, want one")
	}
}
