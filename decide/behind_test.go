package decide

import (
	"testing"
	"time"
)

// TestNodeThatIsBehindRefusesEarly has ticks come late in a row, as to a node that does not get to run: a
// request that it could not answer in time is refused at once, while one with time is sent. A single late
// tick, as behind a pause, refuses nothing; nor do ticks in time.
func TestNodeThatIsBehindRefusesEarly(t *testing.T) {
	const late = 300 * time.Millisecond
	for name, c := range map[string]struct {
		ticks   []time.Duration // by how much each is late
		left    time.Duration
		refused int
	}{
		"in time":                  {[]time.Duration{0, 0, 0}, 200 * time.Millisecond, 0},
		"late once":                {[]time.Duration{0, late, 0}, 200 * time.Millisecond, 0},
		"late just now":            {[]time.Duration{0, 0, late}, 200 * time.Millisecond, 0},
		"late in a row":            {[]time.Duration{late, late}, 400 * time.Millisecond, 1},
		"late, with time":          {[]time.Duration{late, late}, second, 0},
		"late in a row, and again": {[]time.Duration{late, late, 0}, 400 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b, tape := start(testSettings(), 10)
			b.TimerFired(b.now, timerTick)
			for _, by := range c.ticks {
				b.TimerFired(b.now+tickInterval+by, timerTick)
			}
			b.Arrive(b.now, Request{ID: 1, Deadline: b.now + c.left})
			if tape.rejected[1] != c.refused || len(tape.sends) != 1-c.refused {
				t.Errorf("refused %d times, sent %d times", tape.rejected[1], len(tape.sends))
			}
		})
	}
}
