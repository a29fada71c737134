package decide

import (
	"slices"
	"testing"
	"time"
)

// Answers are fast, and one has not arrived after two thirds of its time. The attempt is hedged if its
// class allows that. Once the hedge is answered, the lost attempt counts as a failure of its server.
func TestHedgeOfLostAnswer(t *testing.T) {
	for name, tc := range map[string]struct {
		class  int
		signal float64
		sends  int
	}{
		"idempotent":          {0, 0, 2},
		"idempotent with key": {1, 0, 2},
		"not idempotent":      {2, 0, 1},
		"answers are slow":    {0, overloadSignal, 1},
		"timer is late":       {0, 0, 1},
	} {
		settings := testSettings()
		settings.Hedging = true
		settings.Classes[1].DedupScope = DedupAll
		b, effects := start(settings, 6)
		b.latencySignal = tc.signal
		b.classes[tc.class].meanLatency = float64(20 * time.Millisecond)
		b.Arrive(b.now, Request{ID: 1, Class: tc.class, Deadline: b.now + second})
		lostServer := b.requests[1].attempts[0].server
		hedgeAt := b.now + settings.Classes[tc.class].LatencyObjective*2/3
		timerSet := slices.ContainsFunc(effects.timers, func(set timer) bool { return set == timer{hedgeAt, 1<<4 | timerHedge} })
		if name == "timer is late" {
			hedgeAt += 2 * maxHedgeTimerDelay
		}
		b.TimerFired(hedgeAt, 1<<4|timerHedge)
		if !timerSet || len(effects.sends) != tc.sends {
			t.Errorf("%s: hedging timer is set: %v; request was sent %d times, want %d", name, timerSet, len(effects.sends), tc.sends)
		}
		if tc.sends < 2 {
			continue
		}
		b.AttemptFinished(hedgeAt+10*time.Millisecond, Outcome{ID: 1, Attempt: 1, Result: OK, Final: true})
		b.AttemptFinished(hedgeAt+10*time.Millisecond, Outcome{ID: 1, Attempt: 0, Result: Cancelled, Final: true})
		if lostServer.consecutiveFailures != 1 || len(b.requests) != 0 {
			t.Errorf("%s: the server of the lost attempt has %d consecutive failures, want 1; %d requests are stored, want 0", name, lostServer.consecutiveFailures, len(b.requests))
		}
	}
}
