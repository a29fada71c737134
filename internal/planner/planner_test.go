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

func (r *recorder) Tell(_ Source, m Message) {
	if m.Kind == Back {
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
func synchronized(t *testing.T, zoned bool) (*Planner, *recorder, Source, time.Duration) {
	t.Helper()
	r := &recorder{at: make(map[decide.ServerID]int)}
	now := 100 * time.Second
	p := NewPlanner(modelSettings(), zoned, 1, now, r)
	p.Listed(now, decide.UpdateCached, twoZones(12))
	conn := p.Join(now, "f")
	p.Take(now, conn, Message{Kind: Ask, ID: 1, Question: Question{Left: time.Second}})
	p.Take(now, conn, Message{Kind: Synced})
	p.Take(now, conn, Message{Kind: Ask, ID: 2, Question: Question{Left: time.Second}})
	if r.declined != 2 || r.planned != 0 {
		t.Fatalf("before it is synchronized: %d plans, %d declined", r.planned, r.declined)
	}
	r.declined = 0
	for range 12 { // its own timers
		now += 100 * time.Millisecond
		p.Timer(now, r.timers[0])
	}
	return p, r, conn, now
}

// serve places requests one after another, each of which ends at once.
func serve(p *Planner, conn Source, now time.Duration, n int) {
	for id := decide.RequestID(10); id < decide.RequestID(10+n); id++ {
		p.Take(now, conn, Message{Kind: Ask, ID: id, Question: Question{Left: time.Second}})
		p.Take(now, conn, Message{Kind: Ended, ID: id, Result: decide.OK})
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
	p.Listed(now, decide.UpdateDelta, list)
	r.planned, r.at = 0, make(map[decide.ServerID]int)
	for id := decide.RequestID(1000); id < 1100; id++ { // all at once: one server cannot have them
		p.Take(now, conn, Message{Kind: Ask, ID: id, Question: Question{Left: time.Second}})
	}
	if r.planned+r.declined != 100 || r.declined < 50 || r.planned != r.at[1] {
		t.Errorf("with one server left: %d plans, %d declined, at %v", r.planned, r.declined, r.at)
	}
	if p.Out() != r.planned {
		t.Errorf("%d attempts in flight of %d planned", p.Out(), r.planned)
	}
	r.declined = 0
	p.Listed(now, decide.UpdateFull, twoZones(12)) // they are back
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
	p.Listed(now, decide.UpdateDelta, list)
	if !p.zones.short {
		t.Error("with half of the servers cold: not short")
	}
	for end := now + modelSettings().SlowStartWindow + reassessInterval; now < end; now += 100 * time.Millisecond {
		p.Timer(now, r.timers[0])
	}
	if p.zones.short || r.resets != 0 {
		t.Errorf("with all of them warm: short %v, %d resets", p.zones.short, r.resets)
	}
}

// TestPlannerWithoutZones places requests on the servers of all zones.
func TestPlannerWithoutZones(t *testing.T) {
	p, r, conn, now := synchronized(t, false)
	for id := decide.RequestID(10); id < 110; id++ {
		p.Take(now, conn, Message{Kind: Ask, ID: id, Question: Question{Left: time.Second}})
	}
	if r.planned < 50 || r.at[2]+r.at[4]+r.at[6] == 0 {
		t.Errorf("%d plans, at %v", r.planned, r.at)
	}
}

// TestPlannerResetsAfterPause gives a planner no timer for seconds: it forgets everything, closes
// its connections, and declines requests until it is synchronized again.
func TestPlannerResetsAfterPause(t *testing.T) {
	p, r, conn, now := synchronized(t, false)
	p.Take(now, conn, Message{Kind: Ask, ID: 5, Question: Question{Left: time.Second}})
	if p.Out() != 1 {
		t.Fatalf("%d out", p.Out())
	}
	now += 3 * time.Second
	p.Take(now, conn, Message{Kind: Ended, ID: 5})
	if r.resets != 1 || p.Out() != 0 || p.Forwarders() != 0 {
		t.Errorf("%d resets, %d out, %d forwarders", r.resets, p.Out(), p.Forwarders())
	}
	r.planned = 0
	conn = p.Join(now, "f")
	p.Take(now, conn, Message{Kind: Synced})
	p.Take(now, conn, Message{Kind: Ask, ID: 6, Question: Question{Left: time.Second}})
	if r.planned != 0 || r.declined == 0 {
		t.Errorf("%d plans, %d declined right after", r.planned, r.declined)
	}
	was := len(r.timers)
	p.Timer(now, r.timers[0]) // of the balancer before
	if len(r.timers) != was {
		t.Error("a timer of the balancer before goes on")
	}
}

// TestAttemptsInFlight reports attempts in any order and has forwarders vanish: attempts belong to
// one forwarder, and count until their clients have given up and a while longer.
func TestAttemptsInFlight(t *testing.T) {
	p, r, conn, now := synchronized(t, false)
	sent := func(id decide.RequestID, attempt int, server decide.ServerID) Message {
		return Message{Kind: Sent, ID: id, Attempt: attempt, Server: server, Question: Question{Left: time.Second}}
	}
	other := p.Join(now, "g")
	p.Take(now, conn, sent(1, 0, 3))
	p.Take(now, conn, sent(1, 0, 3)) // reported twice
	p.Take(now, conn, sent(1, 1, 4))
	p.Take(now, other, sent(1, 0, 3))
	p.Take(now, other, sent(2, 0, 99)) // at a server that is not known here
	p.Take(now, 77, sent(3, 0, 3))     // of no connection
	if p.Out() != 3 {
		t.Errorf("%d out, want 3", p.Out())
	}
	p.Take(now, other, Message{Kind: Ended, ID: 1, Attempt: 1}) // it has no such attempt
	p.Take(now, other, Message{Kind: Ended, ID: 1, Result: decide.OK})
	if p.Out() != 2 {
		t.Errorf("%d out, want 2", p.Out())
	}
	p.Leave(now, conn)
	if p.Out() != 2 || p.Forwarders() != 1 {
		t.Errorf("%d out after it left, %d forwarders", p.Out(), p.Forwarders())
	}
	again := p.Join(now, "f") // it tells what is out now
	if p.Out() != 0 {
		t.Errorf("%d out after it came back", p.Out())
	}
	p.Take(now, again, sent(9, 0, 3))
	p.Leave(now, again)
	due := now + time.Second
	for now < due+expiryDelay+300*time.Millisecond {
		now += 100 * time.Millisecond
		for i := 0; i < len(r.timers); i++ {
			if r.due[i] <= now && r.due[i] > now-100*time.Millisecond {
				p.Timer(now, r.timers[i])
			}
		}
		if p.Out() != 1 && now < due {
			t.Fatalf("%d out before its client has given up", p.Out())
		}
	}
	if p.Out() != 0 || len(p.forwarders) != 1 {
		t.Errorf("%d out in the end, %d sources", p.Out(), len(p.forwarders))
	}
}
