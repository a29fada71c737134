package decide

import (
	"fmt"
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

// Every idempotency, scope, first outcome, place of the next server and age, against the rules written out
// a second time.
func TestSendAndRejectRules(t *testing.T) {
	results := []Result{Failed, Overloaded, TimedOut, ConnectFailed, ConnectionReset, Cancelled, Abandoned}
	for _, idempotency := range []Idempotency{Idempotent, IdempotentWithKey, NotIdempotent} {
		for _, scope := range []DedupScope{DedupAll, DedupZone, DedupCell} {
			for _, hedging := range []bool{false, true} {
				for outcome := -1; outcome < len(results); outcome++ { // -1: in flight
					for place := range 3 { // same cell, same zone, elsewhere
						for _, late := range []bool{false, true} {
							settings := testSettings()
							settings.Hedging = hedging
							settings.Classes[0] = Class{Idempotency: idempotency, DedupScope: scope, DedupWindow: second}
							b := New(settings, 1, 100*second, newEffectLog())
							a := attempt{server: &server{Server: Server{Zone: 1, Cell: 1}}, sentAt: b.now, startedAt: b.now}
							ran := true
							if outcome < 0 {
								a.inFlight, a.mayHaveRun = true, true
							} else {
								a.mayHaveRun = !results[outcome].NeverRan()
								ran = a.mayHaveRun
							}
							r := &request{attempts: []attempt{a}}
							s := &server{Server: []Server{{Zone: 1, Cell: 1}, {Zone: 1, Cell: 2}, {Zone: 2, Cell: 3}}[place]}
							if late {
								b.now += 2 * second
							}
							send, reject := true, true
							if ran {
								switch idempotency {
								case IdempotentWithKey:
									inside := scope == DedupAll || place == 0 || scope == DedupZone && place == 1
									send = inside && !late
									reject = scope == DedupAll && !late
								case NotIdempotent:
									send, reject = false, false
								}
							}
							if outcome < 0 && !hedging {
								send = false
							}
							name := fmt.Sprintf("idempotency %d scope %d hedging %v outcome %d place %d late %v", idempotency, scope, hedging, outcome, place, late)
							if got := b.maySend(r, s); got != send {
								t.Errorf("%s: maySend is %v", name, got)
							}
							if got := b.mayReject(r); got != reject {
								t.Errorf("%s: mayReject is %v", name, got)
							}
						}
					}
				}
			}
		}
	}
	settings := testSettings()
	b := New(settings, 1, 0, newEffectLog())
	full := &request{attempts: make([]attempt, settings.MaxAttempts)}
	if b.maySend(full, &server{}) {
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
		"alone":                     {Class{Idempotency: IdempotentWithKey, DedupWindow: second}, nil, 0.5, 0.5 + dedupWindowMargin},
		"behind another":            {Class{Idempotency: IdempotentWithKey, DedupWindow: second}, []time.Duration{0}, 0.5, dedupWindowMargin},
		"too late":                  {Class{Idempotency: IdempotentWithKey, DedupWindow: second}, []time.Duration{0}, 1, dedupWindowMargin},
		"behind the first of two":   {Class{Idempotency: IdempotentWithKey, DedupWindow: second}, []time.Duration{part(0.4), part(0.2)}, 0.5, 0.2 + dedupWindowMargin},
		"the first never ran":       {Class{Idempotency: IdempotentWithKey, DedupWindow: second}, []time.Duration{-1, part(0.4)}, 0.5, 0.4 + dedupWindowMargin},
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
