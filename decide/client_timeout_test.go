package decide

import (
	"testing"
	"time"
)

// TestRetryTooLateForObjectiveIsNotSent: Clients rejected under overload come back with little time left, too
// late for their objective. A fifth of the fleet's work went into such retries; under overload they are not
// sent.
func TestRetryTooLateForObjectiveIsNotSent(t *testing.T) {
	const usual = time.Second
	for name, c := range map[string]struct {
		window  float64
		left    time.Duration
		sent    int
		timeout time.Duration
	}{
		"first try":               {1e6, usual, 1, 400 * time.Millisecond},
		"come back too late":      {1e6, 450 * time.Millisecond, 0, 0},
		"come back in time":       {1e6, 1400 * time.Millisecond, 1, 300 * time.Millisecond},
		"less left than it takes": {1e6, 1250 * time.Millisecond, 0, 0},
		"late, but no overload":   {0, 450 * time.Millisecond, 1, 400 * time.Millisecond},
	} {
		set := testSettings()
		set.Classes[0].LatencyObjective, set.Classes[0].Deadline = 400*time.Millisecond, 1500*time.Millisecond
		set.MaxRetryAfter = 2 * second
		b, tape := start(set, 6)
		for id := RequestID(1); id <= 20; id++ {
			b.Arrive(b.now, Request{ID: id, Deadline: b.now + usual})
			b.AttemptFinished(b.now, Outcome{ID: id, Result: OK, Final: true})
		}
		b.concurrencyLimit, tape.sends = c.window, nil
		b.classes[0].meanLatency = float64(200 * time.Millisecond)
		b.Arrive(b.now, Request{ID: 99, Deadline: b.now + c.left})
		if len(tape.sends) != c.sent || c.sent == 1 && tape.sends[0].timeout != c.timeout {
			t.Errorf("%s: sent %+v, want %d with a time-out of %v", name, tape.sends, c.sent, c.timeout)
		}
		if got := tape.rejected[99]; got != 1-c.sent {
			t.Errorf("%s: refused %d times on arrival, want %d", name, got, 1-c.sent)
		}
		if c.sent == 1 { // its aim passes: given up, and not held until its deadline
			b.AttemptFinished(b.now+c.timeout, Outcome{ID: 99, Result: TimedOut})
		}
		if tape.rejected[99] != 1 || tape.retryAfters[len(tape.retryAfters)-1] != set.MaxRetryAfter {
			t.Errorf("%s: refused %d times, told to stay away for %v", name, tape.rejected[99], tape.retryAfters)
		}
		b.TimerFired(b.now+c.left, 99<<4|timerDeadline)
		if tape.rejected[99] != 1 {
			t.Errorf("%s: %d answers after its deadline", name, tape.rejected[99])
		}
	}
}

// TestRetryStormKeepsClientTimeout: In a retry storm three of four requests are retries, with less time left.
// The client timeout that was learned before stays, or late retries would count as new.
func TestRetryStormKeepsClientTimeout(t *testing.T) {
	set := testSettings()
	set.Classes[0].Deadline = 1200 * time.Millisecond
	b, _ := start(set, 6)
	id := RequestID(0)
	for ; id < 20; id++ { // before the storm
		b.Arrive(b.now, Request{ID: id, Deadline: b.now + 1200*time.Millisecond})
	}
	for range 60 {
		for _, left := range []time.Duration{1200, 1040, 880, 720} {
			id++
			b.Arrive(b.now, Request{ID: id, Deadline: b.now + left*time.Millisecond})
		}
	}
	b.concurrencyLimit = 1e6
	c := &b.classes[0]
	if c.clientTimeout != 1200*time.Millisecond || c.clientTimeoutVotes < clientTimeoutTrusted {
		t.Fatalf("usual wait is %v with %d votes", c.clientTimeout, c.clientTimeoutVotes)
	}
	r := &request{Request: Request{Deadline: b.now + 880*time.Millisecond}}
	if age := b.requestAge(r); age != 320*time.Millisecond {
		t.Errorf("a third try is %v old, want 320 ms", age)
	}
}
