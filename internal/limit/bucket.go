package limit

import (
	"math"
	"time"
)

// Bucket is a token bucket: Rate tokens a second, Burst of them at the most, and never less than one. The
// zero value limits nothing.
type Bucket struct {
	Rate, Burst float64

	tokens   float64
	filledAt time.Duration
	started  bool
}

// Take takes a token. Where there is none it says how long until there is one.
func (b *Bucket) Take(now time.Duration) (ok bool, wait time.Duration) {
	if b.Rate <= 0 {
		return true, 0
	}
	capacity := max(b.Burst, 1)
	if !b.started {
		b.started, b.tokens, b.filledAt = true, capacity, now
	}
	// A clock that stands still or runs back brings no tokens and takes none.
	if now > b.filledAt {
		b.tokens = min(capacity, b.tokens+b.Rate*(now-b.filledAt).Seconds())
		b.filledAt = now
	}
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	wait = time.Duration(math.Ceil((1 - b.tokens) / b.Rate * float64(time.Second)))
	return false, wait + 1 // a nanosecond more for what rounding loses
}

// Return puts a token back that was taken for a request which another limit rejected.
func (b *Bucket) Return() {
	if b.Rate > 0 {
		b.tokens = min(max(b.Burst, 1), b.tokens+1)
	}
}
