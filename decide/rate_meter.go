package decide

import (
	"math"
	"time"
)

// rateWindow is the time constant of rates. It is short, so that rates follow a change of the load within seconds.
const rateWindow = 3 * time.Second

// rateMeter measures a rate per second as an exponential moving average. The zero value measures 0.
type rateMeter struct {
	rate      float64 // rate per second, at updatedAt
	updatedAt time.Duration
}

// add counts n events now.
func (m *rateMeter) add(now time.Duration, n float64) {
	m.rate, m.updatedAt = m.rateAt(now)+n/rateWindow.Seconds(), now
}

// rateAt returns the rate per second at now, which must not be before the last event.
func (m *rateMeter) rateAt(now time.Duration) float64 {
	return m.rate * math.Exp(-float64(now-m.updatedAt)/float64(rateWindow))
}
