package planner

import (
	"testing"
	"time"

	"jasperpin/decide"
)

// recorder is a PlannerEffects that records what it is asked for.
type recorder struct {
	planned, declined int
	at                map[decide.ServerID]int
	resets            int
	timers            []Timer
	due               []time.Duration // of timers
}

func (r *recorder) Send(_ ConnectionID, m Message) {
	if m.Kind == KindDeclined {
		r.declined++
		return
	}
	r.planned++
	r.at[m.Server]++
}
func (r *recorder) SetTimer(t Timer, at time.Duration) {
	r.timers, r.due = append(r.timers, t), append(r.due, at)
}
func (r *recorder) WatchEndpoints(bool) {}
func (r *recorder) Reset()              { r.resets++ }
func (r *recorder) Log(string)          {}

// twoZones returns servers 1, 3, 5.. of zone 0 and 2, 4, 6.. of zone 1.
func twoZones(n int) (list []decide.Server) {
	for i := range n {
		list = append(list, decide.Server{ID: decide.ServerID(i + 1), Zone: i % 2, State: decide.Ready, Capacity: 1})
	}
	return list
}

// synchronized returns a planner of zone 0 with a forwarder, which places requests.
func synchronized(t *testing.T, zoned bool) (*Planner, *recorder, ConnectionID, time.Duration) {
	t.Helper()
	r := &recorder{at: make(map[decide.ServerID]int)}
	now := 100 * time.Second
	p := NewPlanner(modelSettings(), zoned, 1, now, r)
	p.UpdateEndpoints(now, decide.UpdateCached, twoZones(12))
	conn := p.ForwarderConnected(now, "f")
	p.Receive(now, conn, Message{Kind: KindPlace, ID: 1, RequestInfo: RequestInfo{TimeLeft: time.Second}})
	p.Receive(now, conn, Message{Kind: KindSynced})
	p.Receive(now, conn, Message{Kind: KindPlace, ID: 2, RequestInfo: RequestInfo{TimeLeft: time.Second}})
	if r.declined != 2 || r.planned != 0 {
		t.Fatalf("before it is synchronized: %d plans, %d declined", r.planned, r.declined)
	}
	r.declined = 0
	for range 12 { // its own timers
		now += 100 * time.Millisecond
		p.TimerFired(now, r.timers[0])
	}
	return p, r, conn, now
}

// serve places requests one after another, each of which ends at once.
func serve(p *Planner, conn ConnectionID, now time.Duration, n int) {
	for id := decide.RequestID(10); id < decide.RequestID(10+n); id++ {
		p.Receive(now, conn, Message{Kind: KindPlace, ID: id, RequestInfo: RequestInfo{TimeLeft: time.Second}})
		p.Receive(now, conn, Message{Kind: KindAttemptEnded, ID: id, Result: decide.OK})
	}
}

// TestZonedPlanner places requests in its own zone, and declines what it would send to the other
// once its own has lost most of its servers.
func TestZonedPlanner(t *testing.T) {
	p, r, conn, now := synchronized(t, true)
	serve(p, conn, now, 100)
	if r.planned != 100 || r.declined != 0 || r.at[2]+r.at[4]+r.at[6]+r.at[8]+r.at[10]+r.at[12] != 0 {
		t.Errorf("%d plans, %d declined, at %v", r.planned, r.declined, r.at)
	}
	list := twoZones(12)
	for i := 2; i < 12; i += 2 {
		list[i].State = decide.Draining
	}
	p.UpdateEndpoints(now, decide.UpdateDelta, list)
	r.planned, r.at = 0, make(map[decide.ServerID]int)
	for id := decide.RequestID(1000); id < 1100; id++ { // all at once: one server cannot have them
		p.Receive(now, conn, Message{Kind: KindPlace, ID: id, RequestInfo: RequestInfo{TimeLeft: time.Second}})
	}
	if r.planned+r.declined != 100 || r.declined < 50 || r.planned != r.at[1] {
		t.Errorf("with one server left: %d plans, %d declined, at %v", r.planned, r.declined, r.at)
	}
	if p.AttemptsInFlight() != r.planned {
		t.Errorf("%d attempts in flight of %d planned", p.AttemptsInFlight(), r.planned)
	}
	r.declined = 0
	p.UpdateEndpoints(now, decide.UpdateFull, twoZones(12)) // they are back
	if p.zones.short {
		t.Error("short of servers that it has")
	}
}

// TestZoneInSlowStartIsShort restarts half of a zone's servers: the zone is short of servers until
// they have left slow start, although nothing else is listed.
func TestZoneInSlowStartIsShort(t *testing.T) {
	p, r, _, now := synchronized(t, true)
	list := twoZones(12)
	for i := 0; i < 6; i += 2 {
		list[i].StartedAt = now
	}
	p.UpdateEndpoints(now, decide.UpdateDelta, list)
	if !p.zones.short {
		t.Error("with half of the servers cold: not short")
	}
	for end := now + modelSettings().SlowStartWindow + reassessInterval; now < end; now += 100 * time.Millisecond {
		p.TimerFired(now, r.timers[0])
	}
	if p.zones.short || r.resets != 0 {
		t.Errorf("with all of them warm: short %v, %d resets", p.zones.short, r.resets)
	}
}

// TestPlannerWithoutZones places requests on the servers of all zones.
func TestPlannerWithoutZones(t *testing.T) {
	p, r, conn, now := synchronized(t, false)
	for id := decide.RequestID(10); id < 110; id++ {
		p.Receive(now, conn, Message{Kind: KindPlace, ID: id, RequestInfo: RequestInfo{TimeLeft: time.Second}})
	}
	if r.planned < 50 || r.at[2]+r.at[4]+r.at[6] == 0 {
		t.Errorf("%d plans, at %v", r.planned, r.at)
	}
}

// TestPlannerResetsAfterPause gives a planner no timer for seconds: it forgets everything, closes
// its connections, and declines requests until it is synchronized again.
func TestPlannerResetsAfterPause(t *testing.T) {
	p, r, conn, now := synchronized(t, false)
	p.Receive(now, conn, Message{Kind: KindPlace, ID: 5, RequestInfo: RequestInfo{TimeLeft: time.Second}})
	if p.AttemptsInFlight() != 1 {
		t.Fatalf("%d out", p.AttemptsInFlight())
	}
	now += 3 * time.Second
	p.Receive(now, conn, Message{Kind: KindAttemptEnded, ID: 5})
	if r.resets != 1 || p.AttemptsInFlight() != 0 || p.Forwarders() != 0 {
		t.Errorf("%d resets, %d out, %d forwarders", r.resets, p.AttemptsInFlight(), p.Forwarders())
	}
	r.planned = 0
	conn = p.ForwarderConnected(now, "f")
	p.Receive(now, conn, Message{Kind: KindSynced})
	p.Receive(now, conn, Message{Kind: KindPlace, ID: 6, RequestInfo: RequestInfo{TimeLeft: time.Second}})
	if r.planned != 0 || r.declined == 0 {
		t.Errorf("%d plans, %d declined right after", r.planned, r.declined)
	}
	was := len(r.timers)
	p.TimerFired(now, r.timers[0]) // of the balancer before
	if len(r.timers) != was {
		t.Error("a timer of the balancer before goes on")
	}
}

// TestAttemptsInFlight reports attempts in any order and has forwarders vanish: attempts belong to
// one forwarder, and count until their clients have given up and a while longer.
func TestAttemptsInFlight(t *testing.T) {
	p, r, conn, now := synchronized(t, false)
	sent := func(id decide.RequestID, attempt int, server decide.ServerID) Message {
		return Message{Kind: KindAttemptSent, ID: id, Attempt: attempt, Server: server, RequestInfo: RequestInfo{TimeLeft: time.Second}}
	}
	other := p.ForwarderConnected(now, "g")
	p.Receive(now, conn, sent(1, 0, 3))
	p.Receive(now, conn, sent(1, 0, 3)) // reported twice
	p.Receive(now, conn, sent(1, 1, 4))
	p.Receive(now, other, sent(1, 0, 3))
	p.Receive(now, other, sent(2, 0, 99)) // at a server that is not known here
	p.Receive(now, 77, sent(3, 0, 3))     // of no connection
	if p.AttemptsInFlight() != 3 {
		t.Errorf("%d out, want 3", p.AttemptsInFlight())
	}
	p.Receive(now, other, Message{Kind: KindAttemptEnded, ID: 1, Attempt: 1}) // it has no such attempt
	p.Receive(now, other, Message{Kind: KindAttemptEnded, ID: 1, Result: decide.OK})
	if p.AttemptsInFlight() != 2 {
		t.Errorf("%d out, want 2", p.AttemptsInFlight())
	}
	p.ForwarderDisconnected(now, conn)
	if p.AttemptsInFlight() != 2 || p.Forwarders() != 1 {
		t.Errorf("%d out after it left, %d forwarders", p.AttemptsInFlight(), p.Forwarders())
	}
	again := p.ForwarderConnected(now, "f") // it tells what is out now
	if p.AttemptsInFlight() != 0 {
		t.Errorf("%d out after it came back", p.AttemptsInFlight())
	}
	p.Receive(now, again, sent(9, 0, 3))
	p.ForwarderDisconnected(now, again)
	due := now + time.Second
	for now < due+expiryDelay+300*time.Millisecond {
		now += 100 * time.Millisecond
		for i := 0; i < len(r.timers); i++ {
			if r.due[i] <= now && r.due[i] > now-100*time.Millisecond {
				p.TimerFired(now, r.timers[i])
			}
		}
		if p.AttemptsInFlight() != 1 && now < due {
			t.Fatalf("%d out before its client has given up", p.AttemptsInFlight())
		}
	}
	if p.AttemptsInFlight() != 0 || len(p.forwarders) != 1 {
		t.Errorf("%d out in the end, %d sources", p.AttemptsInFlight(), len(p.forwarders))
	}
}
