package limit

import (
	"math"
	"time"
)

// Bucket is a token bucket. It gains Rate tokens a second and holds at most Burst tokens, or one if Burst is less
// than 1. The zero value limits nothing. A Bucket is not safe for concurrent use.
type Bucket struct {
	Rate, Burst float64

	tokens   float64
	filledAt time.Duration
	started  bool
}

// Take takes a token. If there is none, it returns false and the time until there is one.
func (b *Bucket) Take(now time.Duration) (ok bool, wait time.Duration) {
	if b.Rate <= 0 {
		return true, 0
	}
	capacity := max(b.Burst, 1)
	if !b.started {
		b.started, b.tokens, b.filledAt = true, capacity, now
	}
	// A clock that stands still or runs backwards adds no tokens and removes none.
	if now > b.filledAt {
		b.tokens = min(capacity, b.tokens+b.Rate*(now-b.filledAt).Seconds())
		b.filledAt = now
	}
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	wait = time.Duration(math.Ceil((1 - b.tokens) / b.Rate * float64(time.Second)))
	return false, wait + 1 // the wait is one nanosecond longer, against rounding errors
}

// Return returns a token that was taken for a request that another limit then rejected.
func (b *Bucket) Return() {
	if b.Rate > 0 {
		b.tokens = min(max(b.Burst, 1), b.tokens+1)
	}
}
