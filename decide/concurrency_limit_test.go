package decide

import (
	"strings"
	"testing"
	"time"
)

// A node of many sends a server so few requests that it seldom gets another answer within a timeout. A first
// timeout is a sign of overload nevertheless; further timeouts of a server that keeps failing are not.
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
		t.Error("first timeout did not raise the pressure, want it raised")
	}
	if timeout(2) > 0 {
		t.Error("second consecutive timeout of one server counted as overload, want it ignored")
	}
}

// Servers handle two or three calls at a time, so some are always at capacity. That is no overload, and
// their requests are retried elsewhere without using the retry budget. All servers at capacity is overload.
func TestOverloadedServersAreRetriedElsewhere(t *testing.T) {
	b, effects := start(testSettings(), 6)
	b.retryBudget = 0
	for id := RequestID(1); id <= 40; id++ {
		b.now += 200 * time.Millisecond
		effects.sends = nil
		b.Arrive(b.now, Request{ID: id, Class: 2, Deadline: b.now + second})
		b.AttemptFinished(b.now, Outcome{ID: id, Result: Overloaded})
		if len(effects.sends) != 2 {
			t.Fatalf("request %d, declined by a server at capacity, was sent %d times, want 2", id, len(effects.sends))
		}
		b.AttemptFinished(b.now, Outcome{ID: id, Attempt: 1, Result: OK, Final: true})
	}
	if b.latencyPressure > 0 {
		t.Errorf("pressure is %.2f with some servers at capacity, want at most 0", b.latencyPressure)
	}
	for id := RequestID(50); id <= 90; id++ { // all servers are at capacity
		b.now += 200 * time.Millisecond
		b.Arrive(b.now, Request{ID: id, Deadline: b.now + second})
		for n := range 3 {
			b.AttemptFinished(b.now, Outcome{ID: id, Attempt: n, Result: Overloaded})
		}
		if effects.rejected[id] != 1 {
			t.Fatalf("request %d has %d final answers, want 1", id, effects.rejected[id])
		}
	}
	if b.latencyPressure < targetPressure {
		t.Errorf("pressure is %.2f with all servers at capacity, want at least %.2f", b.latencyPressure, targetPressure)
	}
}

// A fleet runs at half its speed. The number of attempts in flight is itself too high then, so the limit
// falls below that number; otherwise answers would stay late.
func TestLimitFallsBelowInFlightWhenMostIsLate(t *testing.T) {
	for pressure, maxLimit := range map[float64]float64{0.3: 100, 0.8: 45} {
		b, _ := start(testSettings(), 6)
		b.concurrencyLimit, b.smoothedInFlight, b.local.inFlight = 200, 100, 100
		for range 100 {
			b.latencyPressure = pressure
			b.updateConcurrencyLimit()
		}
		if b.concurrencyLimit > maxLimit || b.concurrencyLimit < maxLimit/2 {
			t.Errorf("pressure %.1f with 100 calls in flight: limit is %.0f, want at most %.0f", pressure, b.concurrencyLimit, maxLimit)
		}
	}
}

// A node gets less than one answer per server within the duration of a call. A first timeout had less
// weight because no other answer had arrived, and such nodes shed half of what they should have. Further
// timeouts of a server that has answered no request since are caused by that server.
func TestFirstTimeoutCountsInFull(t *testing.T) {
	for _, tc := range []struct {
		failures       int  // consecutive failures of the server
		respondedSince bool // the server has responded to another request since
		want           float64
	}{{0, false, weightedTimeoutPressure}, {0, true, weightedTimeoutPressure}, {1, false, 0}, {1, true, weightedTimeoutPressure}} {
		b, _ := start(testSettings(), 6)
		b.Arrive(b.now, Request{ID: 1, Deadline: b.now + second})
		s := b.requests[1].attempts[0].server
		s.consecutiveFailures = tc.failures
		b.now += second / 2
		if tc.respondedSince {
			s.lastResponseAt = b.now
		}
		b.AttemptFinished(b.now, Outcome{ID: 1, Result: TimedOut})
		if want := tc.want * pressureGain; b.latencyPressure < want-1e-9 || b.latencyPressure > want+1e-9 {
			t.Errorf("after %d failures, responded since %v: pressure %.3f, want %.3f", tc.failures, tc.respondedSince, b.latencyPressure, want)
		}
	}
}

// A node has two calls in flight on average and twice as many for a moment. Such a rise is chance, whereas with
// forty calls it is overload. Nodes shed a fifth of their requests by chance alone.
func TestFewCallsInFlightAreSmoothedLonger(t *testing.T) {
	for _, tc := range []struct{ calls, minRise, maxRise float64 }{{2, 0.05, 0.2}, {40, 0.25, 0.35}} {
		b, _ := start(testSettings(), 5)
		b.smoothedInFlight, b.local.inFlight = tc.calls, int(2*tc.calls)
		b.updateConcurrencyLimit()
		if rise := (b.smoothedInFlight - tc.calls) / tc.calls; rise < tc.minRise || rise > tc.maxRise {
			t.Errorf("%v calls, then twice as many: the smoothed count rose by %.2f of the true rise, want %.2f to %.2f", tc.calls, rise, tc.minRise, tc.maxRise)
		}
	}
}

// A late retry has a timeout shortened to the time until its objective. Nodes that treated such a timeout
// as overload continued to shed while the fleet was idle.
func TestTimeoutCutShortIsNoOverload(t *testing.T) {
	for waited, counts := range map[time.Duration]bool{100 * time.Millisecond: false, 500 * time.Millisecond: true} {
		b, _ := start(testSettings(), 6)
		b.Arrive(b.now, Request{ID: 1, Deadline: b.now + second})
		b.AttemptFinished(b.now+waited, Outcome{ID: 1, Result: TimedOut})
		if counts != (b.latencyPressure > 0) {
			t.Errorf("timeout after %v: pressure is %.3f, want above 0: %v", waited, b.latencyPressure, counts)
		}
	}
}

// One of ten answers is lost while the others take a twentieth of their objective. Each lost answer
// counted as load, and half of the requests were rejected. If answers are slow, lost answers do count.
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
			t.Errorf("answers after %v: shedding is %v, want %v, pressure %.2f", took, got, shed, b.latencyPressure)
		}
	}
}
