package decide

import (
	"testing"
	"time"
)

// Clients that were rejected under overload retry with little remaining time, too late for their latency
// objective. A fifth of the fleet's work was spent on such retries. Under overload such retries must not be sent.
func TestRetryTooLateForObjectiveIsNotSent(t *testing.T) {
	const clientTimeout = time.Second
	for name, tc := range map[string]struct {
		limit     float64
		remaining time.Duration
		sent      int
		timeout   time.Duration
	}{
		"new request":                    {1e6, clientTimeout, 1, 400 * time.Millisecond},
		"retry too late":                 {1e6, 450 * time.Millisecond, 0, 0},
		"retry in time":                  {1e6, 1400 * time.Millisecond, 1, 300 * time.Millisecond},
		"less time than an answer takes": {1e6, 1250 * time.Millisecond, 0, 0},
		"retry too late, no overload":    {0, 450 * time.Millisecond, 1, 400 * time.Millisecond},
	} {
		settings := testSettings()
		settings.Classes[0].LatencyObjective, settings.Classes[0].Deadline = 400*time.Millisecond, 1500*time.Millisecond
		settings.MaxRetryAfter = 2 * second
		b, effects := start(settings, 6)
		for id := RequestID(1); id <= 20; id++ {
			b.Arrive(b.now, Request{ID: id, Deadline: b.now + clientTimeout})
			b.AttemptFinished(b.now, Outcome{ID: id, Result: OK, Final: true})
		}
		b.concurrencyLimit, effects.sends = tc.limit, nil
		b.classes[0].meanLatency = float64(200 * time.Millisecond)
		b.Arrive(b.now, Request{ID: 99, Deadline: b.now + tc.remaining})
		if len(effects.sends) != tc.sent || tc.sent == 1 && effects.sends[0].timeout != tc.timeout {
			t.Errorf("%s: attempts sent are %+v, want %d with a timeout of %v", name, effects.sends, tc.sent, tc.timeout)
		}
		if got := effects.rejected[99]; got != 1-tc.sent {
			t.Errorf("%s: request was rejected on arrival %d times, want %d", name, got, 1-tc.sent)
		}
		if tc.sent == 1 { // the request gets its answer when its objective passes, not at its deadline
			b.AttemptFinished(b.now+tc.timeout, Outcome{ID: 99, Result: TimedOut})
		}
		if effects.rejected[99] != 1 || effects.retryAfters[len(effects.retryAfters)-1] != settings.MaxRetryAfter {
			t.Errorf("%s: request was rejected %d times with Retry-After %v, want one rejection with MaxRetryAfter", name, effects.rejected[99], effects.retryAfters)
		}
		b.TimerFired(b.now+tc.remaining, 99<<4|timerDeadline)
		if effects.rejected[99] != 1 {
			t.Errorf("%s: %d answers after the deadline, want 1", name, effects.rejected[99])
		}
	}
}

// In a retry storm three of four requests are retries with less remaining time. The client timeout that
// was learned before must stay, or late retries would count as new requests.
func TestRetryStormKeepsClientTimeout(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Deadline = 1200 * time.Millisecond
	b, _ := start(settings, 6)
	id := RequestID(0)
	for ; id < 20; id++ { // requests before the storm
		b.Arrive(b.now, Request{ID: id, Deadline: b.now + 1200*time.Millisecond})
	}
	for range 60 {
		for _, remaining := range []time.Duration{1200, 1040, 880, 720} {
			id++
			b.Arrive(b.now, Request{ID: id, Deadline: b.now + remaining*time.Millisecond})
		}
	}
	b.concurrencyLimit = 1e6
	c := &b.classes[0]
	if c.clientTimeout != 1200*time.Millisecond || c.clientTimeoutVotes < trustedClientTimeoutVotes {
		t.Fatalf("client timeout is %v with %d votes, want 1.2s and at least the trusted votes", c.clientTimeout, c.clientTimeoutVotes)
	}
	r := &request{Request: Request{Deadline: b.now + 880*time.Millisecond}}
	if age := b.requestAge(r); age != 320*time.Millisecond {
		t.Errorf("age of a request with 880 ms remaining is %v, want 320 ms", age)
	}
}
