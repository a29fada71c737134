package decide

import (
	"fmt"
	"testing"
	"time"
)

// TestStreamingRequestHasOneAttempt: A request streams: it gets one attempt, no hedge, and no end until its
// last byte is sent, when its clocks start.
func TestStreamingRequestHasOneAttempt(t *testing.T) {
	set := testSettings()
	set.Hedging, set.Classes[1].DedupScope = true, DedupAll
	b, tape := start(set, 6)
	far := b.now + time.Hour
	b.Arrive(b.now, Request{ID: 1, Class: 1, Deadline: far, Streaming: true})
	if len(tape.sends) != 1 || tape.sends[0].timeout != time.Hour {
		t.Fatalf("on arrival: %+v", tape.sends)
	}
	b.TimerFired(b.now+10*second, 1<<4|timerHedge)
	b.TimerFired(b.now, 1<<4|timerDeadline)
	due := b.now + 2*second
	if got := b.SetDeadline(b.now, 1, due); got != set.Classes[1].LatencyObjective {
		t.Errorf("from its last byte on it has %v", got)
	}
	b.AttemptFinished(b.now+set.Classes[1].LatencyObjective/2, Outcome{ID: 1, Result: ConnectFailed})
	if len(tape.sends) != 1 || tape.rejected[1] != 1 || len(b.requests) != 0 {
		t.Errorf("%d sends, refused %v, %d held", len(tape.sends), tape.rejected, len(b.requests))
	}
	b.Arrive(b.now, Request{ID: 2, Class: 2, Deadline: far, Streaming: true})
	b.SetDeadline(b.now, 2, due)
	b.TimerFired(due, 2<<4|timerDeadline)
	if tape.failed[2] != 1 || len(tape.cancels) != 1 {
		t.Errorf("after its deadline: %+v", tape)
	}
	if b.SetDeadline(b.now, 9, due) != 0 || b.SetDeadline(b.now, 1, due) != 0 {
		t.Error("a request that is not there was written")
	}
}

// TestSendAndRejectRules: Every idempotency, scope, first outcome, place of the next server and age, against
// the rules written out a second time.
func TestSendAndRejectRules(t *testing.T) {
	results := []Result{Failed, Overloaded, TimedOut, ConnectFailed, ConnectionReset, Cancelled, Abandoned}
	for _, effect := range []Idempotency{Idempotent, IdempotentWithKey, NotIdempotent} {
		for _, scope := range []DedupScope{DedupAll, DedupZone, DedupCell} {
			for _, copies := range []bool{false, true} {
				for outcome := -1; outcome < len(results); outcome++ { // -1: still out
					for place := range 3 { // same cell, same zone, elsewhere
						for _, late := range []bool{false, true} {
							set := testSettings()
							set.Hedging = copies
							set.Classes[0] = Class{Idempotency: effect, DedupScope: scope, DedupWindow: second}
							b := New(set, 1, 100*second, newEffectLog())
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
							send, refuse := true, true
							if ran {
								switch effect {
								case IdempotentWithKey:
									inside := scope == DedupAll || place == 0 || scope == DedupZone && place == 1
									send = inside && !late
									refuse = scope == DedupAll && !late
								case NotIdempotent:
									send, refuse = false, false
								}
							}
							if outcome < 0 && !copies {
								send = false
							}
							name := fmt.Sprintf("effect %d scope %d copies %v outcome %d place %d late %v", effect, scope, copies, outcome, place, late)
							if got := b.maySend(r, s); got != send {
								t.Errorf("%s: maySend is %v", name, got)
							}
							if got := b.mayReject(r); got != refuse {
								t.Errorf("%s: mayRefuse is %v", name, got)
							}
						}
					}
				}
			}
		}
	}
	set := testSettings()
	b := New(set, 1, 0, newEffectLog())
	full := &request{attempts: make([]attempt, set.MaxAttempts)}
	if b.maySend(full, &server{}) {
		t.Error("an attempt beyond MaxAttempts is allowed")
	}
}

// TestAttemptConnectedBoundsRepeats: Attempts of one request wait for their connections. None of an
// IdempotentWithKey request goes out once servers may have forgotten another that may have run.
func TestAttemptConnectedBoundsRepeats(t *testing.T) {
	const from = 100 * second
	part := func(x float64) time.Duration { return time.Duration(x * float64(second)) }
	for name, c := range map[string]struct {
		class Class
		began []time.Duration // of the others, in windows; below 0 for one that never ran
		now   float64
		want  float64 // 0 for no bound
	}{
		"alone":                    {Class{Idempotency: IdempotentWithKey, DedupWindow: second}, nil, 0.5, 0.5 + dedupWindowMargin},
		"behind another":           {Class{Idempotency: IdempotentWithKey, DedupWindow: second}, []time.Duration{0}, 0.5, dedupWindowMargin},
		"too late":                 {Class{Idempotency: IdempotentWithKey, DedupWindow: second}, []time.Duration{0}, 1, dedupWindowMargin},
		"behind the first of two":  {Class{Idempotency: IdempotentWithKey, DedupWindow: second}, []time.Duration{part(0.4), part(0.2)}, 0.5, 0.2 + dedupWindowMargin},
		"the first never ran":      {Class{Idempotency: IdempotentWithKey, DedupWindow: second}, []time.Duration{-1, part(0.4)}, 0.5, 0.4 + dedupWindowMargin},
		"free":                     {Class{Idempotency: Idempotent}, []time.Duration{0}, 5, 0},
		"unsafe, of one never ran": {Class{Idempotency: NotIdempotent}, []time.Duration{-1}, 5, 0},
	} {
		t.Run(name, func(t *testing.T) {
			set := testSettings()
			set.Classes[0] = c.class
			b := New(set, 1, from, newEffectLog())
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

// TestShortDedupWindowsAllowForStalledNode: A node is stopped between its look at the clock and its write. The
// last byte of a repeat is still out before servers forget the first attempt, however short their window.
func TestShortDedupWindowsAllowForStalledNode(t *testing.T) {
	const from, heldUp, slack = 100 * second, 150 * time.Millisecond, 50 * time.Millisecond
	for _, window := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, second, 3 * second} {
		set := testSettings()
		set.Classes[0] = Class{Idempotency: IdempotentWithKey, DedupWindow: window}
		b := New(set, 1, from, newEffectLog())
		b.requests[1] = &request{Request: Request{ID: 1}, attempts: []attempt{{startedAt: from, inFlight: true, mayHaveRun: true}, {startedAt: from, inFlight: true, mayHaveRun: true}}}
		if by := b.AttemptConnected(from, 1, 1); by+heldUp > from+window+slack {
			t.Errorf("a window of %v: a repeat may be written until %v, and %v later", window, by-from, heldUp)
		}
	}
}
