package decide

import (
	"testing"
	"time"
)

// A full server turns calls away within a millisecond, so it looks idle and drew most of the traffic. It
// gets no call for as long as one takes.
func TestOverloadedServerRests(t *testing.T) {
	b, effects := start(testSettings(), 6)
	full := b.ready[0].ID
	sent := 0
	for id := RequestID(1); id <= 60; id++ {
		b.now += time.Millisecond
		effects.sends = nil
		b.classes[0].meanLatency = float64(100 * time.Millisecond)
		b.Arrive(b.now, Request{ID: id, Deadline: b.now + second})
		for n := 0; n < len(effects.sends); n++ {
			o := Outcome{ID: id, Attempt: n, Result: OK, Final: true}
			if effects.sends[n].server == full {
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

// One call at a time over a hundred servers. Spread over all of them, the node heard from each once in
// seconds and could judge none; it stays with those it is connected to, unless all are ejected.
func TestNodeStaysWithConnectedServers(t *testing.T) {
	settings := testSettings()
	settings.IdleTimeout = 10 * second
	b, effects := start(settings, 100)
	used := map[ServerID]bool{}
	for id := RequestID(1); id <= 400; id++ {
		b.refreshWeights()
		b.Arrive(b.now, Request{ID: id, Deadline: b.now + second})
		b.now += time.Duration(b.classes[0].meanLatency) // no server is faster
		b.AttemptFinished(b.now, Outcome{ID: id, Result: OK, Final: true})
		used[effects.sends[len(effects.sends)-1].server] = true
	}
	if len(used) > 40 {
		t.Errorf("one call at a time went to %d of 100 servers", len(used))
	}
	// With every known server ejected the others must serve.
	effects.sends = nil
	for id := range used {
		b.serversByID[id].ejected = true
	}
	b.refreshWeights()
	b.Arrive(b.now, Request{ID: 999, Deadline: b.now + second})
	if len(effects.sends) != 1 || used[effects.sends[0].server] {
		t.Errorf("with all known servers ejected: %+v", effects.sends)
	}
}

// In a release no new server has a connection. Drawn as seldom as others without one, they stayed idle
// while the last old ones were overrun.
func TestServersInSlowStartAreDrawnWithoutConnection(t *testing.T) {
	settings := testSettings()
	settings.IdleTimeout, settings.OverloadMultiple = 10*second, 1e6 // no budget stands in the way here
	b, effects := start(settings, 100)
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
	inSlowStart := 0
	for _, s := range effects.sends {
		if s.server >= 1000 {
			inSlowStart++
		}
	}
	// They have about a tenth of the capacity; without the exemption none went there.
	if inSlowStart < 20 {
		t.Errorf("%d of 400 calls went to the 50 new servers", inSlowStart)
	}
}

// Most traffic arrives in a zone with few servers. Its nodes stayed there by the cost of crossing and by
// their keys, and shed a third of the requests while another zone was idle. While they shed, they leave a
// slow zone.
func TestCrowdedZoneSpillsOverWhileShedding(t *testing.T) {
	for _, c := range []struct {
		name         string
		limit        float64
		latencyRatio float64 // of the local servers
		crossing     bool    // what must be chosen
	}{
		{"not shedding", 0, 2, false},
		{"shedding, zones alike", 5, 1, false},
		{"shedding, local zone slow", 5, 2, true},
	} {
		settings := testSettings()
		settings.KeyAffinity, settings.CrossZoneCost = true, 0.06
		b, _ := start(settings, 20)
		for _, s := range b.local.servers {
			s.latencyRatio, s.latencyRatioAt = c.latencyRatio, b.now
		}
		b.refreshWeights()
		b.concurrencyLimit = c.limit
		r := &request{Request: Request{ID: 1, Deadline: b.now + second}, objectiveAt: b.now + second}
		expected := b.expectedLatency(r)
		local := b.cost(r, b.local.servers[0], expected, true)
		remote := b.cost(r, b.remote.servers[0], expected, false)
		if c.crossing != (remote < local) {
			t.Errorf("%s: the local zone with the key costs %.4f, crossing %.4f", c.name, local, remote)
		}
	}
}

// A planner chose the server of a first attempt. It is taken in spite of shedding and slow start, but not
// against the endpoint list, an ejection or an overloaded server. What follows is the node's own choice.
func TestPlannedServer(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Balancer, *server)
		taken  bool
	}{
		"ready":    {func(*Balancer, *server) {}, true},
		"shedding": {func(b *Balancer, _ *server) { b.concurrencyLimit, b.local.inFlight = 1, 1000 }, true},
		"in slow start": {func(b *Balancer, s *server) {
			s.StartedAt, s.slowStartTokens, s.slowStartTokensAt = b.now, -5, b.now
		}, true},
		"draining":   {func(_ *Balancer, s *server) { s.State = Draining }, false},
		"ejected":    {func(_ *Balancer, s *server) { s.ejected = true }, false},
		"overloaded": {func(b *Balancer, s *server) { s.overloadedUntil = b.now + second }, false},
		"unknown":    {func(b *Balancer, s *server) { delete(b.serversByID, s.ID) }, false},
	} {
		for class := range 3 {
			b, effects := start(testSettings(), 6)
			s := b.serversByID[4]
			c.change(b, s)
			b.Arrive(b.now, Request{ID: 1, Class: class, Deadline: b.now + second, PlannedServer: 4})
			if len(effects.sends) == 0 {
				t.Fatalf("%s, class %d: nothing was sent", name, class)
			}
			if taken := effects.sends[0].server == 4; c.taken && !taken {
				t.Errorf("%s, class %d: sent to %d", name, class, effects.sends[0].server)
			}
			if !c.taken && name != "unknown" && effects.sends[0].server == 4 {
				t.Errorf("%s, class %d: the plan was taken", name, class)
			}
			if !c.taken {
				continue
			}
			b.AttemptFinished(b.now, Outcome{ID: 1, Result: Overloaded})
			if len(effects.sends) != 2 || effects.sends[1].server == 4 {
				t.Errorf("%s, class %d: after it was full: %+v", name, class, effects.sends)
			}
		}
	}
}

// A server that was never connected to has no idle connection, however early on the clock it is.
func TestNoIdleConnectionBeforeTheFirst(t *testing.T) {
	settings := testSettings()
	settings.IdleTimeout = 10 * second
	b := New(settings, 1, 0, newEffectLog())
	b.UpdateEndpoints(0, UpdateCached, servers(2))
	b.Arrive(second, Request{ID: 1, Deadline: 2 * second})
	if b.hasIdleConnection(b.ready[0]) || b.hasIdleConnection(b.ready[1]) {
		t.Fatal("an idle connection before anything was answered")
	}
	b.AttemptFinished(second, Outcome{ID: 1, Result: OK, Final: true})
	if b.hasIdleConnection(b.ready[0]) == b.hasIdleConnection(b.ready[1]) {
		t.Error("not one of two has an idle connection after one answer")
	}
}
