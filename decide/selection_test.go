package decide

import (
	"testing"
	"time"
)

// TestOverloadedServerRests: A full server turns calls away within a millisecond, so it looks idle and drew
// most of the traffic. It gets no call for as long as one takes.
func TestOverloadedServerRests(t *testing.T) {
	b, tape := start(testSettings(), 6)
	full := b.ready[0].ID
	sent := 0
	for id := RequestID(1); id <= 60; id++ {
		b.now += time.Millisecond
		tape.sends = nil
		b.classes[0].meanLatency = float64(100 * time.Millisecond)
		b.Arrive(b.now, Request{ID: id, Deadline: b.now + second})
		for n := 0; n < len(tape.sends); n++ {
			o := Outcome{ID: id, Attempt: n, Result: OK, Final: true}
			if tape.sends[n].server == full {
				sent++
				o = Outcome{ID: id, Attempt: n, Result: Overloaded}
			}
			b.AttemptFinished(b.now, o)
		}
	}
	if sent != 1 {
		t.Errorf("a full server was sent %d calls within 60 ms, want 1", sent)
	}
}

// TestNodeStaysWithConnectedServers: One call at a time over a hundred servers. Spread over all of them, the
// node heard from each once in seconds and could judge none; it stays with those it is connected to, unless all
// are ejected.
func TestNodeStaysWithConnectedServers(t *testing.T) {
	set := testSettings()
	set.IdleTimeout = 10 * second
	b, tape := start(set, 100)
	used := map[ServerID]bool{}
	for id := RequestID(1); id <= 400; id++ {
		b.refreshWeights()
		b.Arrive(b.now, Request{ID: id, Deadline: b.now + second})
		b.now += time.Duration(b.classes[0].meanLatency) // no server is faster
		b.AttemptFinished(b.now, Outcome{ID: id, Result: OK, Final: true})
		used[tape.sends[len(tape.sends)-1].server] = true
	}
	if len(used) > 40 {
		t.Errorf("one call at a time went to %d of 100 servers", len(used))
	}
	// With every known server ejected the others must serve.
	tape.sends = nil
	for id := range used {
		b.serversByID[id].ejected = true
	}
	b.refreshWeights()
	b.Arrive(b.now, Request{ID: 999, Deadline: b.now + second})
	if len(tape.sends) != 1 || used[tape.sends[0].server] {
		t.Errorf("with all known servers ejected: %+v", tape.sends)
	}
}

// TestServersInSlowStartAreDrawnWithoutConnection: In a release no new server has a connection. Drawn as seldom
// as others without one, they stayed idle while the last old ones were overrun.
func TestServersInSlowStartAreDrawnWithoutConnection(t *testing.T) {
	set := testSettings()
	set.IdleTimeout, set.OverloadMultiple = 10*second, 1e6 // no budget stands in the way here
	b, tape := start(set, 100)
	list := make([]Server, 50)
	for i := range list {
		list[i] = Server{ID: ServerID(1000 + i), Zone: i % 2, State: Ready, Capacity: 1, StartedAt: b.now - 2*second}
	}
	b.UpdateEndpoints(b.now, UpdateDelta, list)
	for i := range 400 {
		id := RequestID(i + 1)
		b.refreshWeights()
		b.Arrive(b.now, Request{ID: id, Deadline: b.now + second})
		b.now += 10 * time.Millisecond
		b.AttemptFinished(b.now, Outcome{ID: id, Result: OK, Final: true})
	}
	fresh := 0
	for _, s := range tape.sends {
		if s.server >= 1000 {
			fresh++
		}
	}
	// They have about a tenth of the capacity; without the exemption none went there.
	if fresh < 20 {
		t.Errorf("%d of 400 calls went to the 50 new servers", fresh)
	}
}

// TestCrowdedZoneSpillsOverWhileShedding: Most traffic arrives in a zone with few servers. Its nodes stayed
// there by the cost of crossing and by their keys, and shed a third of the requests beside an idle zone. While
// they shed, they leave a slow zone.
func TestCrowdedZoneSpillsOverWhileShedding(t *testing.T) {
	for _, c := range []struct {
		name     string
		window   float64
		stretch  float64 // of the own zone's servers
		crossing bool    // what must be chosen
	}{
		{"not shedding", 0, 2, false},
		{"shedding, zones alike", 5, 1, false},
		{"shedding, own zone slow", 5, 2, true},
	} {
		set := testSettings()
		set.KeyAffinity, set.CrossZoneCost = true, 0.06
		b, _ := start(set, 20)
		for _, s := range b.local.servers {
			s.latencyRatio, s.latencyRatioAt = c.stretch, b.now
		}
		b.refreshWeights()
		b.concurrencyLimit = c.window
		r := &request{Request: Request{ID: 1, Deadline: b.now + second}, objectiveAt: b.now + second}
		expect := b.expectedLatency(r)
		own := b.cost(r, b.local.servers[0], expect, true)
		other := b.cost(r, b.remote.servers[0], expect, false)
		if c.crossing != (other < own) {
			t.Errorf("%s: own zone with the key costs %.4f, crossing %.4f", c.name, own, other)
		}
	}
}

// TestPlannedServer: A planner chose the server of a first attempt. It is taken in spite of shedding and slow
// start, but not against the endpoint list, an ejection or an overloaded server. What follows is the node's own
// choice.
func TestPlannedServer(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Balancer, *server)
		taken  bool
	}{
		"ready":    {func(*Balancer, *server) {}, true},
		"shedding": {func(b *Balancer, _ *server) { b.concurrencyLimit, b.local.inFlight = 1, 1000 }, true},
		"cold": {func(b *Balancer, s *server) {
			s.StartedAt, s.slowStartTokens, s.slowStartTokensAt = b.now, -5, b.now
		}, true},
		"draining": {func(_ *Balancer, s *server) { s.State = Draining }, false},
		"ejected":  {func(_ *Balancer, s *server) { s.ejected = true }, false},
		"full":     {func(b *Balancer, s *server) { s.overloadedUntil = b.now + second }, false},
		"unknown":  {func(b *Balancer, s *server) { delete(b.serversByID, s.ID) }, false},
	} {
		for class := range 3 {
			b, tape := start(testSettings(), 6)
			s := b.serversByID[4]
			c.change(b, s)
			b.Arrive(b.now, Request{ID: 1, Class: class, Deadline: b.now + second, PlannedServer: 4})
			if len(tape.sends) == 0 {
				t.Fatalf("%s, class %d: nothing was sent", name, class)
			}
			if taken := tape.sends[0].server == 4; c.taken && !taken {
				t.Errorf("%s, class %d: sent to %d", name, class, tape.sends[0].server)
			}
			if !c.taken && name != "unknown" && tape.sends[0].server == 4 {
				t.Errorf("%s, class %d: the plan was taken", name, class)
			}
			if !c.taken {
				continue
			}
			b.AttemptFinished(b.now, Outcome{ID: 1, Result: Overloaded})
			if len(tape.sends) != 2 || tape.sends[1].server == 4 {
				t.Errorf("%s, class %d: after it was full: %+v", name, class, tape.sends)
			}
		}
	}
}

// TestNoIdleConnectionBeforeTheFirst: A server that was never connected to has no idle connection, however
// early on the clock it is.
func TestNoIdleConnectionBeforeTheFirst(t *testing.T) {
	set := testSettings()
	set.IdleTimeout = 10 * second
	b := New(set, 1, 0, newEffectLog())
	b.UpdateEndpoints(0, UpdateCached, servers(2))
	b.Arrive(second, Request{ID: 1, Deadline: 2 * second})
	if b.hasIdleConnection(b.ready[0]) || b.hasIdleConnection(b.ready[1]) {
		t.Fatal("linked before anything was answered")
	}
	b.AttemptFinished(second, Outcome{ID: 1, Result: OK, Final: true})
	if b.hasIdleConnection(b.ready[0]) == b.hasIdleConnection(b.ready[1]) {
		t.Error("not one of two is linked after one answer")
	}
}
