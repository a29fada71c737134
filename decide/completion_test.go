package decide

import (
	"slices"
	"testing"
	"time"
)

// No server is known: a request is rejected at once.
func TestNoServerRejectsAtOnce(t *testing.T) {
	b, effects := start(testSettings(), 0)
	b.Arrive(b.now, Request{ID: 1, Deadline: b.now + second})
	if effects.rejected[1] != 1 || len(effects.sends) != 0 {
		t.Errorf("rejected %d times, %d sends", effects.rejected[1], len(effects.sends))
	}
}

// A rejected client is told when to retry: soon while its objective lies ahead, no longer than clients
// wait, and not at all where the settings name no time.
func TestRejectionHasRetryAfter(t *testing.T) {
	for most, want := range map[time.Duration]time.Duration{
		0: 0, 50 * time.Millisecond: 50 * time.Millisecond, 2 * second: 125 * time.Millisecond,
	} {
		settings := testSettings()
		settings.MaxRetryAfter = most
		b, effects := start(settings, 0)
		b.Arrive(b.now, Request{ID: 1, Deadline: b.now + second})
		if len(effects.retryAfters) != 1 || effects.retryAfters[0] != want {
			t.Errorf("at most %v: Retry-After %v, want %v", most, effects.retryAfters, want)
		}
	}
}

// A node shuts down before its requests' deadlines. Each is answered by then: rejected where it is harmless
// to retry, failed where it may have run.
func TestDrainMovesDeadlinesForward(t *testing.T) {
	settings := testSettings()
	for i := range settings.Classes {
		settings.Classes[i].LatencyObjective = 20 * second
	}
	b, effects := start(settings, 6)
	b.Arrive(b.now, Request{ID: 1, Class: 0, Deadline: b.now + 20*second})
	b.Arrive(b.now, Request{ID: 2, Class: 2, Deadline: b.now + 20*second})
	by := b.now + second
	for id := RequestID(1); id <= 2; id++ {
		if got := b.SetDeadline(b.now, id, by); got != second {
			t.Errorf("request %d has %v left", id, got)
		}
		if !slices.ContainsFunc(effects.timers, func(w timer) bool { return w.token == uint64(id)<<4|timerDeadline && w.at == by }) {
			t.Errorf("request %d has no timer", id)
		}
	}
	b.TimerFired(by, 1<<4|timerDeadline)
	b.TimerFired(by, 2<<4|timerDeadline)
	if effects.rejected[1] != 1 || effects.failed[2] != 1 || len(effects.cancels) != 2 {
		t.Errorf("rejected %v, failed %v, %d cancelled", effects.rejected, effects.failed, len(effects.cancels))
	}
}
