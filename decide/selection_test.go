package decide

import (
	"testing"
	"time"
)

// A server at capacity declines calls within a millisecond, so it looks idle and attracted most of the
// traffic. It must get no call for the mean latency of a call.
func TestOverloadedServerIsAvoided(t *testing.T) {
	b, effects := start(testSettings(), 6)
	overloaded := b.ready[0].ID
	sent := 0
	for id := RequestID(1); id <= 60; id++ {
		b.now += time.Millisecond
		effects.sends = nil
		b.classes[0].meanLatency = float64(100 * time.Millisecond)
		b.Arrive(b.now, Request{ID: id, Deadline: b.now + second})
		for n := 0; n < len(effects.sends); n++ {
			o := Outcome{ID: id, Attempt: n, Result: OK, Final: true}
			if effects.sends[n].server == overloaded {
				sent++
				o = Outcome{ID: id, Attempt: n, Result: Overloaded}
			}
			b.AttemptFinished(b.now, o)
		}
	}
	if sent != 1 {
		t.Errorf("overloaded server was sent %d calls within 60 ms, want 1", sent)
	}
}

// A node sends one call at a time and has a hundred servers. Spread over all of them, its calls gave it
// one answer per server in several seconds, too few to judge any. It must stay with the servers that it
// is connected to, unless all of them are ejected.
func TestNodeStaysWithConnectedServers(t *testing.T) {
	settings := testSettings()
	settings.IdleTimeout = 10 * second
	b, effects := start(settings, 100)
	used := map[ServerID]bool{}
	for id := RequestID(1); id <= 400; id++ {
		b.refreshWeights()
		b.Arrive(b.now, Request{ID: id, Deadline: b.now + second})
		b.now += time.Duration(b.classes[0].meanLatency) // the clock moves by the mean latency, so no server is faster
		b.AttemptFinished(b.now, Outcome{ID: id, Result: OK, Final: true})
		used[effects.sends[len(effects.sends)-1].server] = true
	}
	if len(used) > 40 {
		t.Errorf("one call at a time was sent to %d of 100 servers, want at most 40", len(used))
	}
	// With every connected server ejected the others must serve.
	effects.sends = nil
	for id := range used {
		b.serversByID[id].ejected = true
	}
	b.refreshWeights()
	b.Arrive(b.now, Request{ID: 999, Deadline: b.now + second})
	if len(effects.sends) != 1 || used[effects.sends[0].server] {
		t.Errorf("attempts sent with all connected servers ejected: %+v, want one to another server", effects.sends)
	}
}

// In a rolling release no new server has a connection. Drawn as seldom as other unconnected servers, the
// new servers stayed idle while the last old ones were overloaded.
func TestServersInSlowStartAreDrawnWithoutConnection(t *testing.T) {
	settings := testSettings()
	settings.IdleTimeout, settings.OverloadMultiple = 10*second, 1e6 // the slow-start budget is no limit here
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
	// The new servers have about a tenth of the capacity; without the exemption they got no call.
	if inSlowStart < 20 {
		t.Errorf("%d of 400 calls were sent to the 50 new servers, want at least 20", inSlowStart)
	}
}

// Most traffic arrives in a zone with few servers. Because of the cost of crossing zones and of key
// affinity, its nodes sent only to their zone and shed a third of the requests while another zone was idle.
// While nodes shed load, they must leave a slow zone.
func TestSheddingNodeLeavesSlowZone(t *testing.T) {
	for _, tc := range []struct {
		name         string
		limit        float64
		latencyRatio float64 // latency ratio of the local servers
		crossing     bool    // the remote server must be cheaper
	}{
		{"not shedding", 0, 2, false},
		{"shedding, zones equally fast", 5, 1, false},
		{"shedding, local zone slow", 5, 2, true},
	} {
		settings := testSettings()
		settings.KeyAffinity, settings.CrossZoneCost = true, 0.06
		b, _ := start(settings, 20)
		for _, s := range b.local.servers {
			s.latencyRatio, s.latencyRatioAt = tc.latencyRatio, b.now
		}
		b.refreshWeights()
		b.concurrencyLimit = tc.limit
		r := &request{Request: Request{ID: 1, Deadline: b.now + second}, objectiveAt: b.now + second}
		expected := b.expectedLatency(r)
		local := b.cost(r, b.local.servers[0], expected, true)
		remote := b.cost(r, b.remote.servers[0], expected, false)
		if tc.crossing != (remote < local) {
			t.Errorf("%s: a local server with the key costs %.4f, a remote server %.4f; want the opposite order", tc.name, local, remote)
		}
	}
}

// A planner chose the server of a first attempt. The server gets the attempt in spite of load shedding
// and slow start, but not if it is not ready, ejected or overloaded. The node itself chooses the servers
// of later attempts.
func TestPlannedServer(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(*Balancer, *server)
		used   bool
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
			tc.change(b, s)
			b.Arrive(b.now, Request{ID: 1, Class: class, Deadline: b.now + second, PlannedServer: 4})
			if len(effects.sends) == 0 {
				t.Fatalf("%s, class %d: no attempt was sent, want one", name, class)
			}
			if used := effects.sends[0].server == 4; tc.used && !used {
				t.Errorf("%s, class %d: first attempt was sent to server %d, want the planned server", name, class, effects.sends[0].server)
			}
			if !tc.used && name != "unknown" && effects.sends[0].server == 4 {
				t.Errorf("%s, class %d: the planned server got the attempt, want another server", name, class)
			}
			if !tc.used {
				continue
			}
			b.AttemptFinished(b.now, Outcome{ID: 1, Result: Overloaded})
			if len(effects.sends) != 2 || effects.sends[1].server == 4 {
				t.Errorf("%s, class %d: attempts sent after the planned server declined: %+v, want a second one to another server", name, class, effects.sends)
			}
		}
	}
}

// A server without a previous connection has no idle connection, even at the origin of the clock.
func TestNoIdleConnectionBeforeTheFirst(t *testing.T) {
	settings := testSettings()
	settings.IdleTimeout = 10 * second
	b := New(settings, 1, 0, newEffectLog())
	b.UpdateEndpoints(0, UpdateCached, servers(2))
	b.Arrive(second, Request{ID: 1, Deadline: 2 * second})
	if b.hasIdleConnection(b.ready[0]) || b.hasIdleConnection(b.ready[1]) {
		t.Fatal("a server has an idle connection before its first answer, want none")
	}
	b.AttemptFinished(second, Outcome{ID: 1, Result: OK, Final: true})
	if b.hasIdleConnection(b.ready[0]) == b.hasIdleConnection(b.ready[1]) {
		t.Error("number of servers with an idle connection after one answer is wrong, want 1")
	}
}
