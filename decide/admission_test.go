package decide

import (
	"testing"
	"time"
)

// TestOverloadShedsLowValueFirst: The fleet is overloaded. The class worth least for its work is shed first,
// and the one worth most not for a passing peak.
func TestOverloadShedsLowValueFirst(t *testing.T) {
	set := testSettings()
	set.MaxAttempts = 1
	b, tape := start(set, 6)
	id, low, high := RequestID(0), 0, 0
	type call struct {
		id RequestID
		at time.Duration
	}
	var out []call
	for step := range 3000 {
		b.now += 5 * time.Millisecond
		for b.tickDue(tape) {
		}
		id++
		class := step % 2
		b.Arrive(b.now, Request{ID: id, Class: class, Deadline: b.now + second})
		if tape.rejected[id] > 0 {
			if class == 0 {
				low++
			} else {
				high++
			}
		} else {
			// The more is out, the longer each takes: past its aim from 120 on.
			out = append(out, call{id, b.now + 60*time.Millisecond + time.Duration(len(out))*4*time.Millisecond})
		}
		keep := out[:0]
		for _, c := range out {
			if b.now >= c.at {
				b.AttemptFinished(b.now, Outcome{ID: c.id, Result: OK, Final: true})
			} else {
				keep = append(keep, c)
			}
		}
		out = keep
	}
	if low == 0 || high > low/4 {
		t.Errorf("refused %d of low worth and %d of high worth", low, high)
	}
}

// TestStarvedNodeRejectsEarly: Ticks come late in a row at a node that does not get to run. It rejects at once
// what it could not answer in time, and sends what has time. A single late tick, as after a pause, rejects
// nothing.
func TestStarvedNodeRejectsEarly(t *testing.T) {
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
