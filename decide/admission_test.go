package decide

import (
	"testing"
	"time"
)

// Under overload the class with the lowest value per unit of work is shed first, and the class with the
// highest value is not shed for a short peak.
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
			// The more attempts are in flight, the longer each takes; from 120 attempts on, each takes longer than its objective.
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
		t.Errorf("rejected %d requests of low value and %d of high value, want some of low value and at most a quarter as many of high value", low, high)
	}
}

// A node whose ticks are late twice in a row is starved of CPU time. It rejects at once the
// requests that it could not answer before their deadlines, and sends the others. After a single late
// tick, as after a pause, it rejects nothing.
func TestStarvedNodeRejectsEarly(t *testing.T) {
	const late = 300 * time.Millisecond
	for name, tc := range map[string]struct {
		ticks     []time.Duration // how late each tick is
		remaining time.Duration
		rejected  int
	}{
		"ticks on time":                    {[]time.Duration{0, 0, 0}, 200 * time.Millisecond, 0},
		"one late tick":                    {[]time.Duration{0, late, 0}, 200 * time.Millisecond, 0},
		"last tick late":                   {[]time.Duration{0, 0, late}, 200 * time.Millisecond, 0},
		"two late ticks":                   {[]time.Duration{late, late}, 400 * time.Millisecond, 1},
		"two late ticks, long deadline":    {[]time.Duration{late, late}, second, 0},
		"two late ticks, then one on time": {[]time.Duration{late, late, 0}, 400 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b, effects := start(testSettings(), 10)
			b.TimerFired(b.now, timerTick)
			for _, by := range tc.ticks {
				b.TimerFired(b.now+tickInterval+by, timerTick)
			}
			b.Arrive(b.now, Request{ID: 1, Deadline: b.now + tc.remaining})
			if effects.rejected[1] != tc.rejected || len(effects.sends) != 1-tc.rejected {
				t.Errorf("request was rejected %d times and sent %d times, want the decision of the test case", effects.rejected[1], len(effects.sends))
			}
		})
	}
}
