package decide

import (
	"testing"
	"time"
)

// A request streams: it gets one attempt, no hedge, and no end until its last byte is sent, when its clocks
// start.
func TestStreamingRequestHasOneAttempt(t *testing.T) {
	settings := testSettings()
	settings.Hedging, settings.Classes[1].DedupScope = true, DedupAll
	b, effects := start(settings, 6)
	distant := b.now + time.Hour
	b.Arrive(b.now, Request{ID: 1, Class: 1, Deadline: distant, Streaming: true})
	if len(effects.sends) != 1 || effects.sends[0].timeout != time.Hour {
		t.Fatalf("on arrival: %+v", effects.sends)
	}
	b.TimerFired(b.now+10*second, 1<<4|timerHedge)
	b.TimerFired(b.now, 1<<4|timerDeadline)
	deadline := b.now + 2*second
	if got := b.SetDeadline(b.now, 1, deadline); got != settings.Classes[1].LatencyObjective {
		t.Errorf("from its last byte on it has %v", got)
	}
	b.AttemptFinished(b.now+settings.Classes[1].LatencyObjective/2, Outcome{ID: 1, Result: ConnectFailed})
	if len(effects.sends) != 1 || effects.rejected[1] != 1 || len(b.requests) != 0 {
		t.Errorf("%d sends, rejected %v, %d left", len(effects.sends), effects.rejected, len(b.requests))
	}
	b.Arrive(b.now, Request{ID: 2, Class: 2, Deadline: distant, Streaming: true})
	b.SetDeadline(b.now, 2, deadline)
	b.TimerFired(deadline, 2<<4|timerDeadline)
	if effects.failed[2] != 1 || len(effects.cancels) != 1 {
		t.Errorf("after its deadline: %+v", effects)
	}
	if b.SetDeadline(b.now, 9, deadline) != 0 || b.SetDeadline(b.now, 1, deadline) != 0 {
		t.Error("a request that is not known has time left")
	}
}

// Every idempotency, scope, first outcome, place of the next server and age, against the rules written out a
// second time.
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

// stillInFlight stands for no outcome yet of a first attempt, of which the others are by index.
const stillInFlight = -1

var firstOutcomes = []Result{Failed, Overloaded, TimedOut, ConnectFailed, ConnectionReset, Cancelled, Abandoned}

// Places of the next server, against that of the first attempt.
const (
	sameCell = iota
	sameZone
	otherZone
)

var nextServers = []Server{sameCell: {Zone: 1, Cell: 1}, sameZone: {Zone: 1, Cell: 2}, otherZone: {Zone: 2, Cell: 3}}

// repeatCase is a request after a first attempt, at a server of zone 1 and cell 1.
type repeatCase struct {
	idempotency Idempotency
	scope       DedupScope
	hedging     bool // attempts may be sent while others are in flight
	outcome     int  // of the first attempt
	place       int  // of the next server
	late        bool // the deduplication window is over
}

// want is whether the request may be sent to the next server, and whether it may be rejected.
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
		first.inFlight, first.mayHaveRun = true, true
	} else {
		first.mayHaveRun = !firstOutcomes[c.outcome].NeverRan()
	}
	r := &request{attempts: []attempt{first}}
	if c.late {
		b.now += 2 * second
	}
	send, reject := c.want()
	if got := b.maySend(r, &server{Server: nextServers[c.place]}); got != send {
		t.Errorf("%+v: maySend is %v", c, got)
	}
	if got := b.mayReject(r); got != reject {
		t.Errorf("%+v: mayReject is %v", c, got)
	}
}

// A request has had as many attempts as the settings allow. It gets no further one.
func TestMaxAttempts(t *testing.T) {
	settings := testSettings()
	b := New(settings, 1, 0, newEffectLog())
	r := &request{attempts: make([]attempt, settings.MaxAttempts)}
	if b.maySend(r, &server{}) {
		t.Error("an attempt beyond MaxAttempts is allowed")
	}
}

// Attempts of one request wait for their connections. None of an IdempotentWithKey request goes out once
// servers may have forgotten another that may have run.
func TestAttemptConnectedBoundsRepeats(t *testing.T) {
	const from = 100 * second
	part := func(x float64) time.Duration { return time.Duration(x * float64(second)) }
	for name, c := range map[string]struct {
		class Class
		began []time.Duration // of the others, in windows; below 0 for one that never ran
		now   float64
		want  float64 // 0 for no bound
	}{
		"alone":                     {Class{Idempotency: IdempotentWithKey, DedupWindow: second}, nil, 0.5, 0.5 + usableDedupWindow},
		"behind another":            {Class{Idempotency: IdempotentWithKey, DedupWindow: second}, []time.Duration{0}, 0.5, usableDedupWindow},
		"too late":                  {Class{Idempotency: IdempotentWithKey, DedupWindow: second}, []time.Duration{0}, 1, usableDedupWindow},
		"behind the first of two":   {Class{Idempotency: IdempotentWithKey, DedupWindow: second}, []time.Duration{part(0.4), part(0.2)}, 0.5, 0.2 + usableDedupWindow},
		"the first never ran":       {Class{Idempotency: IdempotentWithKey, DedupWindow: second}, []time.Duration{-1, part(0.4)}, 0.5, 0.4 + usableDedupWindow},
		"idempotent":                {Class{Idempotency: Idempotent}, []time.Duration{0}, 5, 0},
		"not idempotent, never ran": {Class{Idempotency: NotIdempotent}, []time.Duration{-1}, 5, 0},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Classes[0] = c.class
			b := New(settings, 1, from, newEffectLog())
			r := &request{Request: Request{ID: 1}}
			for _, at := range c.began {
				r.attempts = append(r.attempts, attempt{startedAt: from + at, inFlight: at >= 0, mayHaveRun: at >= 0})
			}
			r.attempts = append(r.attempts, attempt{startedAt: from, inFlight: true, mayHaveRun: true})
			b.requests[1] = r
			want := time.Duration(0)
			if c.want > 0 {
				want = from + part(c.want)
			}
			if got := b.AttemptConnected(from+part(c.now), 1, len(c.began)); got != want {
				t.Errorf("by %v, want %v", got-from, want-from)
			}
		})
	}
}

// A node is stopped between its look at the clock and its write. The last byte of a repeat is still out
// before servers forget the first attempt, however short their window.
func TestShortDedupWindowsAllowForStalledNode(t *testing.T) {
	const from, stall, slack = 100 * second, 150 * time.Millisecond, 50 * time.Millisecond
	for _, window := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, second, 3 * second} {
		settings := testSettings()
		settings.Classes[0] = Class{Idempotency: IdempotentWithKey, DedupWindow: window}
		b := New(settings, 1, from, newEffectLog())
		b.requests[1] = &request{Request: Request{ID: 1}, attempts: []attempt{{startedAt: from, inFlight: true, mayHaveRun: true}, {startedAt: from, inFlight: true, mayHaveRun: true}}}
		if by := b.AttemptConnected(from, 1, 1); by+stall > from+window+slack {
			t.Errorf("a window of %v: a repeat may be written until %v, and %v later", window, by-from, stall)
		}
	}
}
