package decide

import (
	"slices"
	"testing"
	"time"
)

// TestNoServerRejectsAtOnce: No server is known: a request is rejected at once.
func TestNoServerRejectsAtOnce(t *testing.T) {
	b, tape := start(testSettings(), 0)
	b.Arrive(b.now, Request{ID: 1, Deadline: b.now + second})
	if tape.rejected[1] != 1 || len(tape.sends) != 0 {
		t.Errorf("refused %d times, %d sends", tape.rejected[1], len(tape.sends))
	}
}

// TestRejectionHasRetryAfter: A rejected client is told when to retry: soon while its objective lies ahead, no
// longer than clients wait, and not at all where the settings name no time.
func TestRejectionHasRetryAfter(t *testing.T) {
	for most, want := range map[time.Duration]time.Duration{
		0: 0, 50 * time.Millisecond: 50 * time.Millisecond, 2 * second: 125 * time.Millisecond,
	} {
		set := testSettings()
		set.MaxRetryAfter = most
		b, tape := start(set, 0)
		b.Arrive(b.now, Request{ID: 1, Deadline: b.now + second})
		if len(tape.retryAfters) != 1 || tape.retryAfters[0] != want {
			t.Errorf("at most %v: told %v, want %v", most, tape.retryAfters, want)
		}
	}
}

// TestDrainMovesDeadlinesForward: A node shuts down before its requests' deadlines. Each is answered by then:
// rejected where it is harmless to retry, failed where it may have run.
func TestDrainMovesDeadlinesForward(t *testing.T) {
	set := testSettings()
	for i := range set.Classes {
		set.Classes[i].LatencyObjective = 20 * second
	}
	b, tape := start(set, 6)
	b.Arrive(b.now, Request{ID: 1, Class: 0, Deadline: b.now + 20*second})
	b.Arrive(b.now, Request{ID: 2, Class: 2, Deadline: b.now + 20*second})
	by := b.now + second
	for id := RequestID(1); id <= 2; id++ {
		if got := b.SetDeadline(b.now, id, by); got != second {
			t.Errorf("request %d has %v left", id, got)
		}
		if !slices.ContainsFunc(tape.timers, func(w timer) bool { return w.token == uint64(id)<<4|timerDeadline && w.at == by }) {
			t.Errorf("request %d is not woken for", id)
		}
	}
	b.TimerFired(by, 1<<4|timerDeadline)
	b.TimerFired(by, 2<<4|timerDeadline)
	if tape.rejected[1] != 1 || tape.failed[2] != 1 || len(tape.cancels) != 2 {
		t.Errorf("refused %v, failed %v, %d called off", tape.rejected, tape.failed, len(tape.cancels))
	}
}
