package planner

import (
	"testing"
	"time"

	"jasperpin/decide"
)

// recorder is a PlannerEffects that records the calls of its methods.
type recorder struct {
	planned, declined int
	placedAt          map[decide.ServerID]int
	resets            int
	timers            []Timer
	due               []time.Duration // when each of timers expires
}

func (r *recorder) Send(_ ConnectionID, m Message) {
	if m.Kind == KindDeclined {
		r.declined++
		return
	}
	r.planned++
	r.placedAt[m.Server]++
}
func (r *recorder) SetTimer(t Timer, at time.Duration) {
	r.timers, r.due = append(r.timers, t), append(r.due, at)
}
func (r *recorder) WatchEndpoints(bool) {}
func (r *recorder) Reset()              { r.resets++ }
func (r *recorder) Log(string)          {}

// twoZones returns n servers: 1, 3, 5, ... in zone 0 and 2, 4, 6, ... in zone 1.
func twoZones(n int) (list []decide.Server) {
	for i := range n {
		list = append(list, decide.Server{ID: decide.ServerID(i + 1), Zone: i % 2, State: decide.Ready, Capacity: 1})
	}
	return list
}

// newSynchronizedPlanner returns a planner of zone 0 that places requests, with its effects, the connection of
// a synchronized forwarder, and the current time.
func newSynchronizedPlanner(t *testing.T, zoned bool) (*Planner, *recorder, ConnectionID, time.Duration) {
	t.Helper()
	r := &recorder{placedAt: make(map[decide.ServerID]int)}
	now := 100 * time.Second
	p := NewPlanner(modelSettings(), zoned, 1, now, r)
	p.UpdateEndpoints(now, decide.UpdateCached, twoZones(12))
	conn := p.ForwarderConnected(now, "f")
	p.Receive(now, conn, Message{Kind: KindPlace, ID: 1, RequestInfo: RequestInfo{Remaining: time.Second}})
	p.Receive(now, conn, Message{Kind: KindSynced})
	p.Receive(now, conn, Message{Kind: KindPlace, ID: 2, RequestInfo: RequestInfo{Remaining: time.Second}})
	if r.declined != 2 || r.planned != 0 {
		t.Fatalf("right after the start of the planner %d requests are planned and %d declined, want 0 and 2", r.planned, r.declined)
	}
	r.declined = 0
	for range 12 { // the planner's own timers
		now += 100 * time.Millisecond
		p.TimerFired(now, r.timers[0])
	}
	return p, r, conn, now
}

// placeAndEnd places n requests one after another, and ends the attempt of each at once.
func placeAndEnd(p *Planner, conn ConnectionID, now time.Duration, n int) {
	for id := decide.RequestID(10); id < decide.RequestID(10+n); id++ {
		p.Receive(now, conn, Message{Kind: KindPlace, ID: id, RequestInfo: RequestInfo{Remaining: time.Second}})
		p.Receive(now, conn, Message{Kind: KindAttemptEnded, ID: id, Result: decide.OK})
	}
}

// TestZonedPlanner checks that a zoned planner places requests in its own zone. Once this zone has lost
// most of its servers, the planner declines the requests that it would send to the other zone.
func TestZonedPlanner(t *testing.T) {
	planner, r, conn, now := newSynchronizedPlanner(t, true)
	placeAndEnd(planner, conn, now, 100)
	if r.planned != 100 || r.declined != 0 || r.placedAt[2]+r.placedAt[4]+r.placedAt[6]+r.placedAt[8]+r.placedAt[10]+r.placedAt[12] != 0 {
		t.Errorf("%d requests are planned and %d declined, placements by server %v; want 100 planned, all in zone 0", r.planned, r.declined, r.placedAt)
	}
	list := twoZones(12)
	for i := 2; i < 12; i += 2 {
		list[i].State = decide.Draining
	}
	planner.UpdateEndpoints(now, decide.UpdateDelta, list)
	r.planned, r.placedAt = 0, make(map[decide.ServerID]int)
	for id := decide.RequestID(1000); id < 1100; id++ { // all at once, too many for one server
		planner.Receive(now, conn, Message{Kind: KindPlace, ID: id, RequestInfo: RequestInfo{Remaining: time.Second}})
	}
	if r.planned+r.declined != 100 || r.declined < 50 || r.planned != r.placedAt[1] {
		t.Errorf("with one server left: %d requests are planned and %d declined, placements by server %v; want at least 50 declined and all others at server 1", r.planned, r.declined, r.placedAt)
	}
	if planner.AttemptsInFlight() != r.planned {
		t.Errorf("the planner counts %d attempts in flight, want the number of planned requests, %d", planner.AttemptsInFlight(), r.planned)
	}
	r.declined = 0
	planner.UpdateEndpoints(now, decide.UpdateFull, twoZones(12)) // all servers are ready again
	if planner.zones.short {
		t.Error("zone counts as short of servers although all of them are ready")
	}
}

// TestZoneInSlowStartIsShort restarts half of a zone's servers: the zone is short of servers until they
// have left slow start, although the endpoint list does not change again.
func TestZoneInSlowStartIsShort(t *testing.T) {
	planner, r, _, now := newSynchronizedPlanner(t, true)
	list := twoZones(12)
	for i := 0; i < 6; i += 2 {
		list[i].StartedAt = now
	}
	planner.UpdateEndpoints(now, decide.UpdateDelta, list)
	if !planner.zones.short {
		t.Error("zone with half of its servers cold does not count as short of servers")
	}
	for end := now + modelSettings().SlowStartWindow + reassessInterval; now < end; now += 100 * time.Millisecond {
		planner.TimerFired(now, r.timers[0])
	}
	if planner.zones.short || r.resets != 0 {
		t.Errorf("after slow start: short %v, %d resets, want false and 0", planner.zones.short, r.resets)
	}
}

// TestPlannerWithoutZones checks that a planner that is not zoned places requests on servers of all zones.
func TestPlannerWithoutZones(t *testing.T) {
	planner, r, conn, now := newSynchronizedPlanner(t, false)
	for id := decide.RequestID(10); id < 110; id++ {
		planner.Receive(now, conn, Message{Kind: KindPlace, ID: id, RequestInfo: RequestInfo{Remaining: time.Second}})
	}
	if r.planned < 50 || r.placedAt[2]+r.placedAt[4]+r.placedAt[6] == 0 {
		t.Errorf("%d requests are planned, placements by server %v; want at least 50, some in zone 1", r.planned, r.placedAt)
	}
}

// TestPlannerResetsAfterPause runs no timer of a planner for 3 s: it discards its state, closes its
// connections, and declines requests until it is synchronized again.
func TestPlannerResetsAfterPause(t *testing.T) {
	planner, r, conn, now := newSynchronizedPlanner(t, false)
	planner.Receive(now, conn, Message{Kind: KindPlace, ID: 5, RequestInfo: RequestInfo{Remaining: time.Second}})
	if planner.AttemptsInFlight() != 1 {
		t.Fatalf("the planner counts %d attempts in flight, want 1", planner.AttemptsInFlight())
	}
	now += 3 * time.Second
	planner.Receive(now, conn, Message{Kind: KindAttemptEnded, ID: 5})
	if r.resets != 1 || planner.AttemptsInFlight() != 0 || planner.Forwarders() != 0 {
		t.Errorf("%d resets, %d attempts in flight, %d forwarders; want 1, 0 and 0", r.resets, planner.AttemptsInFlight(), planner.Forwarders())
	}
	r.planned = 0
	conn = planner.ForwarderConnected(now, "f")
	planner.Receive(now, conn, Message{Kind: KindSynced})
	planner.Receive(now, conn, Message{Kind: KindPlace, ID: 6, RequestInfo: RequestInfo{Remaining: time.Second}})
	if r.planned != 0 || r.declined == 0 {
		t.Errorf("right after the reset: %d requests are planned and %d declined, want all declined", r.planned, r.declined)
	}
	was := len(r.timers)
	planner.TimerFired(now, r.timers[0]) // set by the balancer before the reset
	if len(r.timers) != was {
		t.Error("a timer of the balancer before the reset has an effect")
	}
}

// TestAttemptsInFlight reports attempts in any order and disconnects forwarders: an attempt belongs to one
// forwarder, and counts as in flight until expiryDelay after its client's deadline.
func TestAttemptsInFlight(t *testing.T) {
	planner, r, conn, now := newSynchronizedPlanner(t, false)
	sent := func(id decide.RequestID, attempt int, server decide.ServerID) Message {
		return Message{Kind: KindAttemptSent, ID: id, Attempt: attempt, Server: server, RequestInfo: RequestInfo{Remaining: time.Second}}
	}
	other := planner.ForwarderConnected(now, "g")
	planner.Receive(now, conn, sent(1, 0, 3))
	planner.Receive(now, conn, sent(1, 0, 3)) // reported twice
	planner.Receive(now, conn, sent(1, 1, 4))
	planner.Receive(now, other, sent(1, 0, 3))
	planner.Receive(now, other, sent(2, 0, 99)) // at an unknown server
	planner.Receive(now, 77, sent(3, 0, 3))     // of an unknown connection
	if planner.AttemptsInFlight() != 3 {
		t.Errorf("the planner counts %d attempts in flight, want 3", planner.AttemptsInFlight())
	}
	planner.Receive(now, other, Message{Kind: KindAttemptEnded, ID: 1, Attempt: 1}) // this forwarder has no such attempt
	planner.Receive(now, other, Message{Kind: KindAttemptEnded, ID: 1, Result: decide.OK})
	if planner.AttemptsInFlight() != 2 {
		t.Errorf("the planner counts %d attempts in flight, want 2", planner.AttemptsInFlight())
	}
	planner.ForwarderDisconnected(now, conn)
	if planner.AttemptsInFlight() != 2 || planner.Forwarders() != 1 {
		t.Errorf("after the disconnect: %d attempts in flight, %d forwarders; want 2 and 1", planner.AttemptsInFlight(), planner.Forwarders())
	}
	again := planner.ForwarderConnected(now, "f") // it reports its attempts in flight again
	if planner.AttemptsInFlight() != 0 {
		t.Errorf("after the reconnect: %d attempts in flight, want 0", planner.AttemptsInFlight())
	}
	planner.Receive(now, again, sent(9, 0, 3))
	planner.ForwarderDisconnected(now, again)
	due := now + time.Second
	for now < due+expiryDelay+300*time.Millisecond {
		now += 100 * time.Millisecond
		for i := 0; i < len(r.timers); i++ {
			if r.due[i] <= now && r.due[i] > now-100*time.Millisecond {
				planner.TimerFired(now, r.timers[i])
			}
		}
		if planner.AttemptsInFlight() != 1 && now < due {
			t.Fatalf("the planner counts %d attempts in flight before the client's deadline, want 1", planner.AttemptsInFlight())
		}
	}
	if planner.AttemptsInFlight() != 0 || len(planner.forwarders) != 1 {
		t.Errorf("at the end: %d attempts in flight, %d forwarder states, want 0 and 1", planner.AttemptsInFlight(), len(planner.forwarders))
	}
}
