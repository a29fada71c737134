package planner

import (
	"testing"
	"time"

	"jasperpin/decide"
)

// desk records a Planner's effects.
type desk struct {
	plans, backs int
	at           map[decide.ServerID]int
	resets       int
	wakes        []Timer
	due          []time.Duration // of wakes
}

func (d *desk) Tell(_ Source, m Message) {
	if m.Kind == Back {
		d.backs++
		return
	}
	d.plans++
	d.at[m.Server]++
}
func (d *desk) SetTimer(t Timer, at time.Duration) {
	d.wakes, d.due = append(d.wakes, t), append(d.due, at)
}
func (d *desk) WatchEndpoints(bool) {}
func (d *desk) Reset()              { d.resets++ }
func (d *desk) Log(string)          {}

// sites are servers 1, 3, 5.. of zone 0 and 2, 4, 6.. of zone 1.
func sites(n int) (list []decide.Server) {
	for i := range n {
		list = append(list, decide.Server{ID: decide.ServerID(i + 1), Zone: i % 2, State: decide.Ready, Capacity: 1})
	}
	return list
}

// settled is a planner of zone 0 that has settled, with a forwarder.
func settled(t *testing.T, zoned bool) (*Planner, *desk, Source, time.Duration) {
	t.Helper()
	d := &desk{at: make(map[decide.ServerID]int)}
	now := 100 * time.Second
	p := NewPlanner(modelSettings(), zoned, 1, now, d)
	p.Listed(now, decide.UpdateCached, sites(12))
	src := p.Join(now, "f")
	p.Take(now, src, Message{Kind: Ask, ID: 1, Question: Question{Left: time.Second}})
	p.Take(now, src, Message{Kind: Synced})
	p.Take(now, src, Message{Kind: Ask, ID: 2, Question: Question{Left: time.Second}})
	if d.backs != 2 || d.plans != 0 {
		t.Fatalf("before it has heard all and settled: %d plans, %d handed back", d.plans, d.backs)
	}
	d.backs = 0
	for range 12 { // its own ticks
		now += 100 * time.Millisecond
		p.Timer(now, d.wakes[0])
	}
	return p, d, src, now
}

// serve asks for requests one after another, each of which is served at once.
func serve(p *Planner, src Source, now time.Duration, n int) {
	for id := decide.RequestID(10); id < decide.RequestID(10+n); id++ {
		p.Take(now, src, Message{Kind: Ask, ID: id, Question: Question{Left: time.Second}})
		p.Take(now, src, Message{Kind: Ended, ID: id, Result: decide.OK})
	}
}

// TestZonedPlanner keeps to its own zone, and hands back what it would send to the
// other where its own has lost most of its servers.
func TestZonedPlanner(t *testing.T) {
	p, d, src, now := settled(t, true)
	serve(p, src, now, 100)
	if d.plans != 100 || d.backs != 0 || d.at[2]+d.at[4]+d.at[6]+d.at[8]+d.at[10]+d.at[12] != 0 {
		t.Errorf("%d plans, %d handed back, at %v", d.plans, d.backs, d.at)
	}
	list := sites(12)
	for i := 2; i < 12; i += 2 {
		list[i].State = decide.Draining
	}
	p.Listed(now, decide.UpdateDelta, list)
	d.plans, d.at = 0, make(map[decide.ServerID]int)
	for id := decide.RequestID(1000); id < 1100; id++ { // all at once: one server cannot have them
		p.Take(now, src, Message{Kind: Ask, ID: id, Question: Question{Left: time.Second}})
	}
	if d.plans+d.backs != 100 || d.backs < 50 || d.plans != d.at[1] {
		t.Errorf("with one server left: %d plans, %d handed back, at %v", d.plans, d.backs, d.at)
	}
	if p.Out() != d.plans {
		t.Errorf("%d are believed to be out of %d planned", p.Out(), d.plans)
	}
	d.backs = 0
	p.Listed(now, decide.UpdateFull, sites(12)) // they are back
	if p.short {
		t.Error("short of servers that it has")
	}
}

// TestColdZoneIsShort has half of a zone's servers restart: it is short of them until
// they are warm, as far as nothing else is told.
func TestColdZoneIsShort(t *testing.T) {
	p, d, _, now := settled(t, true)
	list := sites(12)
	for i := 0; i < 6; i += 2 {
		list[i].StartedAt = now
	}
	p.Listed(now, decide.UpdateDelta, list)
	if !p.short {
		t.Error("with half of the servers cold: not short")
	}
	for end := now + modelSettings().SlowStartWindow + seeEvery; now < end; now += 100 * time.Millisecond {
		p.Timer(now, d.wakes[0])
	}
	if p.short || d.resets != 0 {
		t.Errorf("with all of them warm: short %v, %d resets", p.short, d.resets)
	}
}

// TestPlannerWithoutZones places on all servers.
func TestPlannerWithoutZones(t *testing.T) {
	p, d, src, now := settled(t, false)
	for id := decide.RequestID(10); id < 110; id++ {
		p.Take(now, src, Message{Kind: Ask, ID: id, Question: Question{Left: time.Second}})
	}
	if d.plans < 50 || d.at[2]+d.at[4]+d.at[6] == 0 {
		t.Errorf("%d plans, at %v", d.plans, d.at)
	}
}

// TestPausedPlannerBeginsAnew forgets all after it has heard nothing for long, and
// hands back until it has settled again.
func TestPausedPlannerBeginsAnew(t *testing.T) {
	p, d, src, now := settled(t, false)
	p.Take(now, src, Message{Kind: Ask, ID: 5, Question: Question{Left: time.Second}})
	if p.Out() != 1 {
		t.Fatalf("%d out", p.Out())
	}
	now += 3 * time.Second
	p.Take(now, src, Message{Kind: Ended, ID: 5})
	if d.resets != 1 || p.Out() != 0 || p.Forwarders() != 0 {
		t.Errorf("%d resets, %d out, %d forwarders", d.resets, p.Out(), p.Forwarders())
	}
	d.plans = 0
	src = p.Join(now, "f")
	p.Take(now, src, Message{Kind: Synced})
	p.Take(now, src, Message{Kind: Ask, ID: 6, Question: Question{Left: time.Second}})
	if d.plans != 0 || d.backs == 0 {
		t.Errorf("%d plans, %d handed back right after", d.plans, d.backs)
	}
	was := len(d.wakes)
	p.Timer(now, d.wakes[0]) // of the life before
	if len(d.wakes) != was {
		t.Error("a timer of the life before goes on")
	}
}

// TestBeliefs fade, and are one forwarder's own.
func TestBeliefs(t *testing.T) {
	p, d, src, now := settled(t, false)
	sent := func(id decide.RequestID, attempt int, server decide.ServerID) Message {
		return Message{Kind: Sent, ID: id, Attempt: attempt, Server: server, Question: Question{Left: time.Second}}
	}
	other := p.Join(now, "g")
	p.Take(now, src, sent(1, 0, 3))
	p.Take(now, src, sent(1, 0, 3)) // told twice
	p.Take(now, src, sent(1, 1, 4))
	p.Take(now, other, sent(1, 0, 3))
	p.Take(now, other, sent(2, 0, 99)) // at a server that is not known here
	p.Take(now, 77, sent(3, 0, 3))     // of nobody
	if p.Out() != 3 {
		t.Errorf("%d out, want 3", p.Out())
	}
	p.Take(now, other, Message{Kind: Ended, ID: 1, Attempt: 1}) // it has no such attempt
	p.Take(now, other, Message{Kind: Ended, ID: 1, Result: decide.OK})
	if p.Out() != 2 {
		t.Errorf("%d out, want 2", p.Out())
	}
	p.Leave(now, src)
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
	for now < due+fadeAfter+300*time.Millisecond {
		now += 100 * time.Millisecond
		for i := 0; i < len(d.wakes); i++ {
			if d.due[i] <= now && d.due[i] > now-100*time.Millisecond {
				p.Timer(now, d.wakes[i])
			}
		}
		if p.Out() != 1 && now < due {
			t.Fatalf("%d out before its client has given up", p.Out())
		}
	}
	if p.Out() != 0 || len(p.sources) != 1 {
		t.Errorf("%d out in the end, %d sources", p.Out(), len(p.sources))
	}
}
