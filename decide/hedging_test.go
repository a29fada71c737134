package decide

import (
	"slices"
	"testing"
	"time"
)

// Answers come quickly, and one does not come by two thirds of its time. It is hedged where its class
// allows that, and the server that lost it is charged with a failure once the hedge is answered.
func TestHedgeOfLostAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		class  int
		signal float64
		sends  int
	}{
		"idempotent":          {0, 0, 2},
		"idempotent with key": {1, 0, 2},
		"not idempotent":      {2, 0, 1},
		"answers are slow":    {0, overloadSignal, 1},
		"node is late":        {0, 0, 1},
	} {
		settings := testSettings()
		settings.Hedging = true
		settings.Classes[1].DedupScope = DedupAll
		b, effects := start(settings, 6)
		b.latencySignal = c.signal
		b.classes[c.class].meanLatency = float64(20 * time.Millisecond)
		b.Arrive(b.now, Request{ID: 1, Class: c.class, Deadline: b.now + second})
		lost := b.requests[1].attempts[0].server
		late := b.now + settings.Classes[c.class].LatencyObjective*2/3
		timerSet := slices.ContainsFunc(effects.timers, func(w timer) bool { return w == timer{late, 1<<4 | timerHedge} })
		if name == "node is late" {
			late += 2 * maxHedgeTimerDelay
		}
		b.TimerFired(late, 1<<4|timerHedge)
		if !timerSet || len(effects.sends) != c.sends {
			t.Errorf("%s: timer set: %v, sent %d times, want %d", name, timerSet, len(effects.sends), c.sends)
		}
		if c.sends < 2 {
			continue
		}
		b.AttemptFinished(late+10*time.Millisecond, Outcome{ID: 1, Attempt: 1, Result: OK, Final: true})
		b.AttemptFinished(late+10*time.Millisecond, Outcome{ID: 1, Attempt: 0, Result: Cancelled, Final: true})
		if lost.consecutiveFailures != 1 || len(b.requests) != 0 {
			t.Errorf("%s: the server that lost it has a run of %d failures, %d requests left", name, lost.consecutiveFailures, len(b.requests))
		}
	}
}
