package limit

import (
	"math"
	"time"
)

// Bucket is a token bucket: Rate tokens a second, Burst of them at the most. The
// zero value limits nothing.
type Bucket struct {
	Rate, Burst float64

	level float64
	at    time.Duration
	begun bool
}

// Take takes a token. Where there is none it says how long until there is one.
func (b *Bucket) Take(now time.Duration) (ok bool, wait time.Duration) {
	if b.Rate <= 0 {
		return true, 0
	}
	most := max(b.Burst, 1)
	if !b.begun {
		b.begun, b.level, b.at = true, most, now
	}
	// A clock that stands still or runs back brings no tokens and takes none.
	if now > b.at {
		b.level = min(most, b.level+b.Rate*(now-b.at).Seconds())
		b.at = now
	}
	if b.level >= 1 {
		b.level--
		return true, 0
	}
	// One more for what rounding loses.
	return false, time.Duration(math.Ceil((1-b.level)/b.Rate*float64(time.Second))) + 1
}

// Back puts a token back that was taken for a request which another limit refused.
func (b *Bucket) Back() {
	if b.Rate > 0 {
		b.level = min(max(b.Burst, 1), b.level+1)
	}
}

// Health tells whether a pool is in trouble from how its requests end.
type Health struct {
	good, bad float64
	at        time.Duration
	trouble   bool
}

const (
	// healthSpan is the time constant at which ends are forgotten.
	healthSpan = 2 * time.Second
	// A pool is in trouble from troubleFrom on and until troubleTo; of fewer than
	// healthLeast ends nothing is concluded.
	troubleFrom, troubleTo = 0.5, 0.2
	healthLeast            = 10
)

// Saw takes the end of a request, served or not, and says whether the pool is in
// trouble now.
func (h *Health) Saw(now time.Duration, served bool) bool {
	if now > h.at {
		fade := math.Exp(-float64(now-h.at) / float64(healthSpan))
		h.good, h.bad, h.at = h.good*fade, h.bad*fade, now
	}
	if served {
		h.good++
	} else {
		h.bad++
	}
	switch share, all := h.bad/(h.good+h.bad), h.good+h.bad; {
	case share >= troubleFrom && all >= healthLeast:
		h.trouble = true
	case share <= troubleTo:
		h.trouble = false
	}
	return h.trouble
}
