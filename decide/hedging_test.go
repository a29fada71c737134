package decide

import (
	"slices"
	"testing"
	"time"
)

// TestHedgeOfLostAnswer: Answers come quickly, and one does not come by two thirds of its time. It is hedged
// where its class allows that, and the server that lost it is charged with a failure once the hedge is
// answered.
func TestHedgeOfLostAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		class int
		crowd float64
		sends int
	}{
		"free":        {0, 0, 2},
		"guarded":     {1, 0, 2},
		"single shot": {2, 0, 1},
		"crowded":     {0, overloadSignal, 1},
		"node behind": {0, 0, 1},
	} {
		set := testSettings()
		set.Hedging = true
		set.Classes[1].DedupScope = DedupAll
		b, tape := start(set, 6)
		b.latencySignal = c.crowd
		b.classes[c.class].meanLatency = float64(20 * time.Millisecond)
		b.Arrive(b.now, Request{ID: 1, Class: c.class, Deadline: b.now + second})
		lost := b.requests[1].attempts[0].server
		late := b.now + set.Classes[c.class].LatencyObjective*2/3
		due := slices.ContainsFunc(tape.timers, func(w timer) bool { return w == timer{late, 1<<4 | timerHedge} })
		if name == "node behind" {
			late += 2 * maxHedgeTimerDelay
		}
		b.TimerFired(late, 1<<4|timerHedge)
		if !due || len(tape.sends) != c.sends {
			t.Errorf("%s: due in time: %v, sent %d times, want %d", name, due, len(tape.sends), c.sends)
		}
		if c.sends < 2 {
			continue
		}
		b.AttemptFinished(late+10*time.Millisecond, Outcome{ID: 1, Attempt: 1, Result: OK, Final: true})
		b.AttemptFinished(late+10*time.Millisecond, Outcome{ID: 1, Attempt: 0, Result: Cancelled, Final: true})
		if lost.consecutiveFailures != 1 || len(b.requests) != 0 {
			t.Errorf("%s: the server that lost it has a run of %d failures, %d requests held", name, lost.consecutiveFailures, len(b.requests))
		}
	}
}
