package decide

import (
	"slices"
	"testing"
	"time"
)

// Without any server, a request is rejected at once.
func TestNoServerRejectsAtOnce(t *testing.T) {
	b, effects := start(testSettings(), 0)
	b.Arrive(b.now, Request{ID: 1, Deadline: b.now + second})
	if effects.rejected[1] != 1 || len(effects.sends) != 0 {
		t.Errorf("request without a server was rejected %d times and sent %d times, want one rejection and nothing sent", effects.rejected[1], len(effects.sends))
	}
}

// A rejection has a Retry-After: a mean latency while the objective has not passed, at most
// MaxRetryAfter, and none if MaxRetryAfter is 0.
func TestRejectionHasRetryAfter(t *testing.T) {
	for maxRetryAfter, want := range map[time.Duration]time.Duration{
		0: 0, 50 * time.Millisecond: 50 * time.Millisecond, 2 * second: 125 * time.Millisecond,
	} {
		settings := testSettings()
		settings.MaxRetryAfter = maxRetryAfter
		b, effects := start(settings, 0)
		b.Arrive(b.now, Request{ID: 1, Deadline: b.now + second})
		if len(effects.retryAfters) != 1 || effects.retryAfters[0] != want {
			t.Errorf("MaxRetryAfter %v: rejection has Retry-After %v, want %v", maxRetryAfter, effects.retryAfters, want)
		}
	}
}

// A node shuts down before the deadlines of its requests. Each request gets its final answer before the
// shutdown: Reject if a retry is harmless, Fail if the request may have run.
func TestDrainMovesDeadlinesForward(t *testing.T) {
	settings := testSettings()
	for i := range settings.Classes {
		settings.Classes[i].LatencyObjective = 20 * second
	}
	b, effects := start(settings, 6)
	b.Arrive(b.now, Request{ID: 1, Class: 0, Deadline: b.now + 20*second})
	b.Arrive(b.now, Request{ID: 2, Class: 2, Deadline: b.now + 20*second})
	shutdownAt := b.now + second
	for id := RequestID(1); id <= 2; id++ {
		if got := b.SetDeadline(b.now, id, shutdownAt); got != second {
			t.Errorf("attempts of request %d may take %v, want 1s", id, got)
		}
		if !slices.ContainsFunc(effects.timers, func(set timer) bool { return set.token == uint64(id)<<4|timerDeadline && set.at == shutdownAt }) {
			t.Errorf("request %d has no timer for its deadline, want one", id)
		}
	}
	b.TimerFired(shutdownAt, 1<<4|timerDeadline)
	b.TimerFired(shutdownAt, 2<<4|timerDeadline)
	if effects.rejected[1] != 1 || effects.failed[2] != 1 || len(effects.cancels) != 2 {
		t.Errorf("requests rejected: %v, failed: %v; attempts cancelled: %d; want request 1 rejected, request 2 failed and 2 attempts cancelled", effects.rejected, effects.failed, len(effects.cancels))
	}
}
