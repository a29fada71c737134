package decide

import (
	"testing"
	"time"
)

// A streaming request gets one attempt and no hedge. Its deadline and objective start only when its last
// byte has been sent.
func TestStreamingRequestHasOneAttempt(t *testing.T) {
	settings := testSettings()
	settings.Hedging, settings.Classes[1].DedupScope = true, DedupAll
	b, effects := start(settings, 6)
	distant := b.now + time.Hour
	b.Arrive(b.now, Request{ID: 1, Class: 1, Deadline: distant, Streaming: true})
	if len(effects.sends) != 1 || effects.sends[0].timeout != time.Hour {
		t.Fatalf("attempts sent on arrival: %+v, want one with a timeout of an hour", effects.sends)
	}
	b.TimerFired(b.now+10*second, 1<<4|timerHedge)
	b.TimerFired(b.now, 1<<4|timerDeadline)
	deadline := b.now + 2*second
	if got := b.SetDeadline(b.now, 1, deadline); got != settings.Classes[1].LatencyObjective {
		t.Errorf("after its last byte the request may take %v, want its latency objective", got)
	}
	b.AttemptFinished(b.now+settings.Classes[1].LatencyObjective/2, Outcome{ID: 1, Result: ConnectFailed})
	if len(effects.sends) != 1 || effects.rejected[1] != 1 || len(b.requests) != 0 {
		t.Errorf("request was sent %d times, rejections are %v, %d requests are stored; want 1, one rejection and 0", len(effects.sends), effects.rejected, len(b.requests))
	}
	b.Arrive(b.now, Request{ID: 2, Class: 2, Deadline: distant, Streaming: true})
	b.SetDeadline(b.now, 2, deadline)
	b.TimerFired(deadline, 2<<4|timerDeadline)
	if effects.failed[2] != 1 || len(effects.cancels) != 1 {
		t.Errorf("effects after the deadline: %+v, want one failed request and one cancelled attempt", effects)
	}
	if b.SetDeadline(b.now, 9, deadline) != 0 || b.SetDeadline(b.now, 1, deadline) != 0 {
		t.Error("an unknown request has remaining time, want none")
	}
}

// Each combination of idempotency, dedup scope, first outcome, location of the next server and age is
// checked against the rules, implemented a second time.
func TestSendAndRejectRules(t *testing.T) {
	for _, idempotency := range []Idempotency{Idempotent, IdempotentWithKey, NotIdempotent} {
		for _, scope := range []DedupScope{DedupAll, DedupZone, DedupCell} {
			for _, hedging := range []bool{false, true} {
				for outcome := stillInFlight; outcome < len(firstOutcomes); outcome++ {
					for place := range nextServers {
						for _, late := range []bool{false, true} {
							repeatCase{idempotency, scope, hedging, outcome, place, late}.check(t)
						}
					}
				}
			}
		}
	}
}

// stillInFlight is the index of a first attempt without an outcome; other values index firstOutcomes.
const stillInFlight = -1

var firstOutcomes = []Result{Failed, Overloaded, TimedOut, ConnectFailed, ConnectionReset, Cancelled, Abandoned}

// Locations of the next server, relative to that of the first attempt.
const (
	sameCell = iota
	sameZone
	otherZone
)

var nextServers = []Server{sameCell: {Zone: 1, Cell: 1}, sameZone: {Zone: 1, Cell: 2}, otherZone: {Zone: 2, Cell: 3}}

// repeatCase is a request whose first attempt was sent to a server in zone 1 and cell 1.
type repeatCase struct {
	idempotency Idempotency
	scope       DedupScope
	hedging     bool // attempts may be sent while others are in flight
	outcome     int  // index into firstOutcomes, or stillInFlight
	place       int  // location of the next server
	late        bool // the dedup window has passed
}

// want returns whether the request may be sent to the next server, and whether it may be rejected.
func (c repeatCase) want() (send, reject bool) {
	inFlight := c.outcome == stillInFlight
	send, reject = true, true
	if inFlight || !firstOutcomes[c.outcome].NeverRan() {
		switch c.idempotency {
		case IdempotentWithKey:
			inScope := c.scope == DedupAll || c.place == sameCell || c.scope == DedupZone && c.place == sameZone
			send = inScope && !c.late
			reject = c.scope == DedupAll && !c.late
		case NotIdempotent:
			send, reject = false, false
		}
	}
	if inFlight && !c.hedging {
		send = false
	}
	return send, reject
}

func (c repeatCase) check(t *testing.T) {
	t.Helper()
	settings := testSettings()
	settings.Hedging = c.hedging
	settings.Classes[0] = Class{Idempotency: c.idempotency, DedupScope: c.scope, DedupWindow: second}
	b := New(settings, 1, 100*second, newEffectLog())
	first := attempt{server: &server{Server: Server{Zone: 1, Cell: 1}}, sentAt: b.now, startedAt: b.now}
	if c.outcome == stillInFlight {
		first.inFlight, first.countsAsRun = true, true
	} else {
		first.countsAsRun = !firstOutcomes[c.outcome].NeverRan()
	}
	r := &request{attempts: []attempt{first}}
	if c.late {
		b.now += 2 * second
	}
	send, reject := c.want()
	if got := b.maySend(r, &server{Server: nextServers[c.place]}); got != send {
		t.Errorf("%+v: maySend is %v, want the opposite", c, got)
	}
	if got := b.mayReject(r); got != reject {
		t.Errorf("%+v: mayReject is %v, want the opposite", c, got)
	}
}

// A request that has had MaxAttempts attempts gets no other one.
func TestMaxAttempts(t *testing.T) {
	settings := testSettings()
	b := New(settings, 1, 0, newEffectLog())
	r := &request{attempts: make([]attempt, settings.MaxAttempts)}
	if b.maySend(r, &server{}) {
		t.Error("an attempt beyond MaxAttempts is allowed, want it refused")
	}
}

// Attempts of one request wait for their connections. No attempt of an IdempotentWithKey request is
// written after servers may have stopped deduplicating another attempt that counts as run.
func TestAttemptConnectedBoundsRepeats(t *testing.T) {
	const origin = 100 * second
	seconds := func(x float64) time.Duration { return time.Duration(x * float64(second)) }
	for name, tc := range map[string]struct {
		class     Class
		startedAt []time.Duration // start times of the other attempts, since origin; below 0 for an attempt that never ran
		now       float64
		want      float64 // 0 for no limit
	}{
		"only attempt":              {Class{Idempotency: IdempotentWithKey, DedupWindow: second}, nil, 0.5, 0.5 + usableDedupWindow},
		"after another":             {Class{Idempotency: IdempotentWithKey, DedupWindow: second}, []time.Duration{0}, 0.5, usableDedupWindow},
		"after the window":          {Class{Idempotency: IdempotentWithKey, DedupWindow: second}, []time.Duration{0}, 1, usableDedupWindow},
		"after two others":          {Class{Idempotency: IdempotentWithKey, DedupWindow: second}, []time.Duration{seconds(0.4), seconds(0.2)}, 0.5, 0.2 + usableDedupWindow},
		"the first never ran":       {Class{Idempotency: IdempotentWithKey, DedupWindow: second}, []time.Duration{-1, seconds(0.4)}, 0.5, 0.4 + usableDedupWindow},
		"idempotent":                {Class{Idempotency: Idempotent}, []time.Duration{0}, 5, 0},
		"not idempotent, never ran": {Class{Idempotency: NotIdempotent}, []time.Duration{-1}, 5, 0},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Classes[0] = tc.class
			b := New(settings, 1, origin, newEffectLog())
			r := &request{Request: Request{ID: 1}}
			for _, at := range tc.startedAt {
				r.attempts = append(r.attempts, attempt{startedAt: origin + at, inFlight: at >= 0, countsAsRun: at >= 0})
			}
			r.attempts = append(r.attempts, attempt{startedAt: origin, inFlight: true, countsAsRun: true})
			b.requests[1] = r
			want := time.Duration(0)
			if tc.want > 0 {
				want = origin + seconds(tc.want)
			}
			if got := b.AttemptConnected(origin+seconds(tc.now), 1, len(tc.startedAt)); got != want {
				t.Errorf("attempt must be written by %v, want %v", got-origin, want-origin)
			}
		})
	}
}

// A node is paused between reading the clock and writing. The last byte of a repeat must still be written
// before servers stop deduplicating the first attempt, however short their window.
func TestShortDedupWindowsAllowForPausedNode(t *testing.T) {
	const origin, pause, slack = 100 * second, 150 * time.Millisecond, 50 * time.Millisecond
	for _, window := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, second, 3 * second} {
		settings := testSettings()
		settings.Classes[0] = Class{Idempotency: IdempotentWithKey, DedupWindow: window}
		b := New(settings, 1, origin, newEffectLog())
		b.requests[1] = &request{Request: Request{ID: 1}, attempts: []attempt{{startedAt: origin, inFlight: true, countsAsRun: true}, {startedAt: origin, inFlight: true, countsAsRun: true}}}
		if latest := b.AttemptConnected(origin, 1, 1); latest+pause > origin+window+slack {
			t.Errorf("dedup window of %v: a repeat may be written until %v, or %v later after a pause, want at most 50 ms after the window in either case", window, latest-origin, pause)
		}
	}
}
