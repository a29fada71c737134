package decide

import (
	"strings"
	"testing"
	"time"
)

// A node among many sends a server so little that it seldom has another answer within a time-out. A first
// time-out shows overload all the same, while a server that goes on failing does not.
func TestFirstTimeoutShowsOverload(t *testing.T) {
	b, _ := start(testSettings(), 10)
	s := b.ready[0]
	timeout := func(id RequestID) float64 {
		before := b.latencyPressure
		r := &request{Request: Request{ID: id}, attempts: []attempt{{server: s, sentAt: b.now, expectedLatency: second, inFlight: true}}}
		b.now += second
		b.recordOutcome(r, &r.attempts[0], Outcome{ID: id, Result: TimedOut})
		return b.latencyPressure - before
	}
	if timeout(1) <= 0 {
		t.Error("a first time-out did not raise the pressure")
	}
	if timeout(2) > 0 {
		t.Error("a second time-out in a row at one server counted as overload")
	}
}

// Servers can take two or three calls at a time, so some are full at any time. That is no overload, and is
// retried elsewhere without a budget; that all of them are full is overload.
func TestOverloadedServersAreRetriedElsewhere(t *testing.T) {
	b, effects := start(testSettings(), 6)
	b.retryBudget = 0
	for id := RequestID(1); id <= 40; id++ {
		b.now += 200 * time.Millisecond
		effects.sends = nil
		b.Arrive(b.now, Request{ID: id, Class: 2, Deadline: b.now + second})
		b.AttemptFinished(b.now, Outcome{ID: id, Result: Overloaded})
		if len(effects.sends) != 2 {
			t.Fatalf("request %d, turned away by a full server, was sent %d times", id, len(effects.sends))
		}
		b.AttemptFinished(b.now, Outcome{ID: id, Attempt: 1, Result: OK, Final: true})
	}
	if b.latencyPressure > 0 {
		t.Errorf("some full servers among others gave a pressure of %.2f", b.latencyPressure)
	}
	for id := RequestID(50); id <= 90; id++ { // now all are full
		b.now += 200 * time.Millisecond
		b.Arrive(b.now, Request{ID: id, Deadline: b.now + second})
		for n := range 3 {
			b.AttemptFinished(b.now, Outcome{ID: id, Attempt: n, Result: Overloaded})
		}
		if effects.rejected[id] != 1 {
			t.Fatalf("request %d has %d answers", id, effects.rejected[id])
		}
	}
	if b.latencyPressure < targetPressure {
		t.Errorf("a full fleet gave a pressure of %.2f only", b.latencyPressure)
	}
}

// A fleet loses half its speed. What is in flight is itself too much then, so the limit goes below it, or
// answers would stay late.
func TestLimitFallsBelowInFlightWhenMostIsLate(t *testing.T) {
	for pressure, most := range map[float64]float64{0.3: 100, 0.8: 45} {
		b, _ := start(testSettings(), 6)
		b.concurrencyLimit, b.smoothedInFlight, b.local.inFlight = 200, 100, 100
		for range 100 {
			b.latencyPressure = pressure
			b.updateConcurrencyLimit()
		}
		if b.concurrencyLimit > most || b.concurrencyLimit < most/2 {
			t.Errorf("pressure %.1f with 100 calls in flight: limit of %.0f, want %.0f at most", pressure, b.concurrencyLimit, most)
		}
	}
}

// A node hears from a server less than once in the time of a call. A first time-out weighed less for want
// of another answer, and such nodes shed half of what they should have. Further ones at a server that has
// answered nobody since are its own fault.
func TestFirstTimeoutCountsInFull(t *testing.T) {
	for _, c := range []struct {
		failures      int  // of the server, in a row
		answersOthers bool // the server has responded since
		want          float64
	}{{0, false, weightedTimeoutPressure}, {0, true, weightedTimeoutPressure}, {1, false, 0}, {1, true, weightedTimeoutPressure}} {
		b, _ := start(testSettings(), 6)
		b.Arrive(b.now, Request{ID: 1, Deadline: b.now + second})
		s := b.requests[1].attempts[0].server
		s.consecutiveFailures = c.failures
		b.now += second / 2
		if c.answersOthers {
			s.lastResponseAt = b.now
		}
		b.AttemptFinished(b.now, Outcome{ID: 1, Result: TimedOut})
		if want := c.want * pressureGain; b.latencyPressure < want-1e-9 || b.latencyPressure > want+1e-9 {
			t.Errorf("after %d failures, answers others %v: pressure %.3f, want %.3f", c.failures, c.answersOthers, b.latencyPressure, want)
		}
	}
}

// A node has two calls in flight on average, and twice as many for a moment: that is chance, where with
// forty it is overload. Nodes shed a fifth by chance alone.
func TestFewCallsInFlightAreSmoothedLonger(t *testing.T) {
	for _, c := range []struct{ calls, least, most float64 }{{2, 0.05, 0.2}, {40, 0.25, 0.35}} {
		b, _ := start(testSettings(), 5)
		b.smoothedInFlight, b.local.inFlight = c.calls, int(2*c.calls)
		b.updateConcurrencyLimit()
		if rise := (b.smoothedInFlight - c.calls) / c.calls; rise < c.least || rise > c.most {
			t.Errorf("%v calls: the smoothed count rose by %.2f of the rise in calls", c.calls, rise)
		}
	}
}

// A late retry is cut off at what is left of its objective, and times out. Nodes that took this for
// overload went on shedding with the fleet idle.
func TestTimeoutCutShortIsNoOverload(t *testing.T) {
	for waited, counts := range map[time.Duration]bool{100 * time.Millisecond: false, 500 * time.Millisecond: true} {
		b, _ := start(testSettings(), 6)
		b.Arrive(b.now, Request{ID: 1, Deadline: b.now + second})
		b.AttemptFinished(b.now+waited, Outcome{ID: 1, Result: TimedOut})
		if counts != (b.latencyPressure > 0) {
			t.Errorf("after %v: pressure is %.3f", waited, b.latencyPressure)
		}
	}
}

// One answer in ten is lost while the others take a twentieth of their objective. Each lost one passed for
// load, and half of the requests were rejected; where answers are slow they do count.
func TestLostAnswersAreNoOverload(t *testing.T) {
	for took, shed := range map[time.Duration]bool{10 * time.Millisecond: false, 300 * time.Millisecond: true} {
		settings := testSettings()
		b, effects := start(settings, 6)
		b.classes[0].unloadedLatency = float64(10 * time.Millisecond)
		id := RequestID(0)
		for range 400 {
			id++
			b.Arrive(b.now, Request{ID: id, Deadline: b.now + second})
			if id%10 == 0 {
				b.AttemptFinished(b.now+settings.Classes[0].LatencyObjective, Outcome{ID: id, Result: TimedOut})
			} else {
				b.AttemptFinished(b.now+took, Outcome{ID: id, Result: OK, Final: true})
			}
			b.updateConcurrencyLimit()
		}
		if got := strings.Contains(strings.Join(effects.logs, " "), "shedding begins"); got != shed {
			t.Errorf("answers after %v: shedding is %v, pressure %.2f", took, got, b.latencyPressure)
		}
	}
}
