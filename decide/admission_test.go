package decide

import (
	"testing"
	"time"
)

// The fleet is overloaded. The class with the least value for its work is shed first, and the one with the
// most not for a passing peak.
func TestOverloadShedsLowValueFirst(t *testing.T) {
	settings := testSettings()
	settings.MaxAttempts = 1
	b, effects := start(settings, 6)
	id, low, high := RequestID(0), 0, 0
	type call struct {
		id RequestID
		at time.Duration
	}
	var inFlight []call
	for step := range 3000 {
		b.now += 5 * time.Millisecond
		for fireTimer(b, effects) {
		}
		id++
		class := step % 2
		b.Arrive(b.now, Request{ID: id, Class: class, Deadline: b.now + second})
		if effects.rejected[id] > 0 {
			if class == 0 {
				low++
			} else {
				high++
			}
		} else {
			// The more are in flight, the longer each takes: past its objective from 120 on.
			inFlight = append(inFlight, call{id, b.now + 60*time.Millisecond + time.Duration(len(inFlight))*4*time.Millisecond})
		}
		remaining := inFlight[:0]
		for _, c := range inFlight {
			if b.now >= c.at {
				b.AttemptFinished(b.now, Outcome{ID: c.id, Result: OK, Final: true})
			} else {
				remaining = append(remaining, c)
			}
		}
		inFlight = remaining
	}
	if low == 0 || high > low/4 {
		t.Errorf("rejected %d of low value and %d of high value", low, high)
	}
}

// Ticks come late in a row at a node that does not get to run. It rejects at once what it could not answer
// in time, and sends what has time. A single late tick, as after a pause, rejects nothing.
func TestStarvedNodeRejectsEarly(t *testing.T) {
	const late = 300 * time.Millisecond
	for name, c := range map[string]struct {
		ticks    []time.Duration // by how much each is late
		left     time.Duration
		rejected int
	}{
		"in time":                     {[]time.Duration{0, 0, 0}, 200 * time.Millisecond, 0},
		"late once":                   {[]time.Duration{0, late, 0}, 200 * time.Millisecond, 0},
		"late just now":               {[]time.Duration{0, 0, late}, 200 * time.Millisecond, 0},
		"late in a row":               {[]time.Duration{late, late}, 400 * time.Millisecond, 1},
		"late, with time":             {[]time.Duration{late, late}, second, 0},
		"late in a row, then in time": {[]time.Duration{late, late, 0}, 400 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b, effects := start(testSettings(), 10)
			b.TimerFired(b.now, timerTick)
			for _, by := range c.ticks {
				b.TimerFired(b.now+tickInterval+by, timerTick)
			}
			b.Arrive(b.now, Request{ID: 1, Deadline: b.now + c.left})
			if effects.rejected[1] != c.rejected || len(effects.sends) != 1-c.rejected {
				t.Errorf("rejected %d times, sent %d times", effects.rejected[1], len(effects.sends))
			}
		})
	}
}
