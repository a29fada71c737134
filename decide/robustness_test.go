package decide

import (
	"math"
	"testing"
	"time"
)

// Settings are empty, the class and the deadline are invalid, and events refer to unknown requests and
// servers. Each request still gets its final answer.
func TestInvalidInputIsAnswered(t *testing.T) {
	effects := newEffectLog()
	b := New(Settings{}, 0, 0, effects)
	b.UpdateEndpoints(0, UpdateFull, []Server{{ID: 1, State: Ready, Capacity: -1, StartedAt: 1 << 60}, {ID: 2, State: Ready}})
	b.Arrive(0, Request{ID: 1, Class: 9})
	b.AttemptFinished(0, Outcome{ID: 5, Attempt: -1})
	b.SetDeadline(0, 5, 70000)
	b.TimerFired(0, 1<<63)
	if effects.rejected[1] != 1 {
		t.Error("request of an unknown class is not rejected, want it rejected")
	}
	b, effects = start(testSettings(), 3)
	b.Arrive(b.now-time.Hour, Request{ID: 1, Deadline: b.now - second})
	if effects.rejected[1] != 1 {
		t.Error("request whose deadline has passed is not rejected, want it rejected")
	}
}

// Settings, servers, times and outcomes are invalid. Nothing panics, and each request gets exactly one final answer.
func TestInvalidInputWithAnySettings(t *testing.T) {
	for name, settings := range map[string]Settings{
		"zero settings":     {Classes: []Class{{}}},
		"negative settings": {NodeIndex: -1, NodeCount: -3, Classes: []Class{{LatencyObjective: -second, DedupWindow: -second}}, MaxAttempts: -1, OverloadMultiple: -2, SlowStartShare: -1, SlowStartWindow: -second, IdleTimeout: -second},
		"valid settings":    testSettings(),
	} {
		effects := newEffectLog()
		b := New(settings, 3, 50*second, effects)
		b.UpdateEndpoints(b.now, UpdateFull, []Server{
			{ID: 1, State: Ready, Capacity: -1, StartedAt: b.now + 1000*second},
			{ID: 2, State: ServerState(9)},
			{ID: 2, State: Ready, Zone: -4, Cell: 1 << 20},
			{ID: 3, State: Gone},
		})
		for id := RequestID(1); id <= 50; id++ { // the time does not advance, or decreases
			b.Arrive(b.now-second, Request{ID: id, Class: int(id)%3 - 1, WorkHint: -second, Deadline: b.now - second})
			b.Arrive(b.now, Request{ID: id + 100, Key: uint64(id), Deadline: b.now + second})
			b.AttemptFinished(0, Outcome{ID: id + 100, Attempt: int(id) - 2, Result: Result(id % 8), Final: id%8 == 0})
			b.TimerFired(0, uint64(id))
		}
		for id := range RequestID(151) {
			b.TimerFired(b.now+second, uint64(id)<<4|timerDeadline)
		}
		for id := RequestID(1); id <= 50; id++ {
			if got := effects.rejected[id] + effects.failed[id]; got != 1 {
				t.Errorf("%s: request %d has %d final answers, want 1", name, id, got)
			}
		}
	}
}

// A list of thousands of servers has invalid capacities, zones and start times. Every request is still
// answered within a bounded time, and no sum becomes NaN.
func TestHostileEndpointList(t *testing.T) {
	settings := testSettings()
	settings.CrossZoneCost, settings.HandshakeCost, settings.NodeCount, settings.ZoneCount = 0.1, 0.01, 300, 3
	b, effects := start(settings, 10)
	capacities := []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1), 1e300, 5e-324}
	startTimes := []time.Duration{0, -1, math.MaxInt64, math.MinInt64, b.now + time.Hour, b.now}
	var list []Server
	for i := range 5000 {
		list = append(list, Server{
			ID: ServerID(i + 1), Zone: i * 7919 % 1000, Cell: -i, State: ServerState(i % 4),
			Capacity: capacities[i%len(capacities)], StartedAt: startTimes[i%len(startTimes)],
		})
	}
	startedAt := time.Now()
	for _, kind := range []UpdateKind{UpdateFull, UpdateDelta, UpdateFull} {
		b.UpdateEndpoints(b.now, kind, list)
	}
	for id := range RequestID(200) {
		b.now += 5 * time.Millisecond
		b.TimerFired(b.now, timerTick)
		effects.sends = nil
		b.Arrive(b.now, Request{ID: id + 1, Key: uint64(id), WorkHint: second / 10, Deadline: b.now + second})
		for n := 0; n < len(effects.sends); n++ {
			b.AttemptFinished(b.now, Outcome{ID: id + 1, Attempt: n, Result: ConnectFailed})
		}
		if n := effects.rejected[id+1] + effects.failed[id+1]; n != 1 || b.requests[id+1] != nil {
			t.Fatalf("request %d has %d final answers, want 1, or is still stored", id+1, n)
		}
	}
	if took := time.Since(startedAt); took > 20*time.Second {
		t.Errorf("handling 200 requests and three lists of 5,000 servers took %v, want at most 20s", took)
	}
	b.UpdateEndpoints(b.now, UpdateFull, servers(10))
	if len(b.serversByID) != 10 || math.IsNaN(b.totalCapacity+b.local.warmCapacity+b.newConnectionCost) {
		t.Errorf("after a valid list: %d servers, capacities %v and %v, connection cost %v; want 10 servers and no NaN", len(b.serversByID), b.totalCapacity, b.local.warmCapacity, b.newConnectionCost)
	}
	effects.sends = nil
	b.Arrive(b.now, Request{ID: 1000, Deadline: b.now + second})
	if len(effects.sends) != 1 {
		t.Errorf("request after a valid list was sent %d times, want 1", len(effects.sends))
	}
}
