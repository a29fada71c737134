package decide

import (
	"slices"
	"testing"
	"time"
)

// All servers of the local zone refuse connections at once, too many for outlier detection. They are passed
// over for a while, and used again once they are back.
func TestZoneWithoutConnections(t *testing.T) {
	settings := testSettings()
	settings.CrossZoneCost = 0.12
	b, effects := start(settings, 0)
	var list []Server
	for id := range ServerID(30) {
		list = append(list, Server{ID: id + 1, Zone: int(id % 3), State: Ready, Capacity: 1})
	}
	b.UpdateEndpoints(b.now, UpdateFull, list)
	dead, id := true, RequestID(0)
	serve := func(n int) (served int) {
		for range n {
			b.now += 20 * time.Millisecond
			id++
			effects.sends = nil
			b.Arrive(b.now, Request{ID: id, Deadline: b.now + second})
			for i := 0; i < len(effects.sends); i++ { // grows as attempts fail
				if s := b.serversByID[effects.sends[i].server]; dead && s.Zone == settings.Zone {
					b.AttemptFinished(b.now, Outcome{ID: id, Attempt: i, Result: ConnectFailed})
					continue
				}
				served++
				b.AttemptFinished(b.now, Outcome{ID: id, Attempt: i, Result: OK, Final: true})
			}
		}
		return served
	}
	serve(50) // one second to find out
	if got := serve(150); got < 140 {
		t.Errorf("%d of 150 requests served while one zone takes no connection", got)
	}
	dead = false
	serve(400) // the longest rest, and some
	crossed := 0
	for range 100 {
		serve(1)
		if b.serversByID[effects.sends[0].server].Zone != settings.Zone {
			crossed++
		}
	}
	if crossed > 5 {
		t.Errorf("%d of 100 requests leave a zone that is back", crossed)
	}
}

// A server takes no connection: it may have restarted, and counts as in slow start until the endpoint list
// must have said so. Three silent connections in a row, or one without a subscription, say the same of the
// whole zone; refused ones do not.
func TestServerThatLostConnectionsMayHaveRestarted(t *testing.T) {
	for name, c := range map[string]struct {
		misses  int
		took    time.Duration
		watched bool
		zone    bool // those of the zone that got no request are suspected, too
	}{
		"refused":                {3, time.Millisecond, true, false},
		"silent twice":           {2, 250 * time.Millisecond, true, false},
		"silent thrice":          {3, 250 * time.Millisecond, true, true},
		"silent, no watch":       {1, 250 * time.Millisecond, false, true},
		"refused, and no watch":  {3, time.Millisecond, false, false},
		"silent, between others": {-3, 250 * time.Millisecond, true, false},
	} {
		settings := testSettings()
		settings.PollDiscovery = true
		b, _ := start(settings, 20)
		b.subscribed = c.watched
		b.successRate.add(b.now, 300) // 100 a second, 5 for each server
		local, id := slices.Clone(b.local.servers), RequestID(0)
		end := func(s *server, r Result, took time.Duration) {
			id++
			q := &request{Request: Request{ID: id, Deadline: b.now + second}, objectiveAt: b.now + second}
			b.requests[id] = q
			b.send(q, s)
			b.now += took
			b.AttemptFinished(b.now, Outcome{ID: id, Result: r, Final: r == OK})
		}
		for i := range max(c.misses, -c.misses) {
			if c.misses < 0 {
				end(local[9], OK, 10*time.Millisecond)
			}
			end(local[i], ConnectFailed, c.took)
		}
		if !b.restartSuspected(local[0]) || b.slowStartFactor(local[0]) > settings.SlowStartShare+0.1 {
			t.Errorf("%s: suspected %v, slow-start factor %.2f", name, b.restartSuspected(local[0]), b.slowStartFactor(local[0]))
		}
		if got := b.restartSuspected(local[8]); got != c.zone {
			t.Errorf("%s: one that got no request is suspected: %v", name, got)
		}
		if remote := b.remote.servers[0]; b.restartSuspected(remote) {
			t.Errorf("%s: one of another zone is suspected", name)
		}
		// It has its slow-start budget, and no more, until it has answered and the list has had
		// time to announce a restart.
		may := 0
		for range 10 {
			b.now += 100 * time.Millisecond
			b.successRate.add(b.now, 10)
			if b.slowStartAllows(local[0]) {
				local[0].slowStartTokens--
				may++
			}
		}
		if most := 5*settings.OverloadMultiple*slowStartBudgetUse*0.35 + 1; float64(may) > most {
			t.Errorf("%s: %d calls in a second, of a budget of %.1f", name, may, most)
		}
		end(local[0], OK, 10*time.Millisecond)
		b.now += maxListDelay - time.Millisecond
		if !b.restartSuspected(local[0]) {
			t.Errorf("%s: not suspected any more before the list has had time", name)
		}
		if b.now += time.Millisecond; b.restartSuspected(local[0]) || !b.slowStartAllows(local[0]) {
			t.Errorf("%s: still suspected, though the list has had time", name)
		}
		// A refused connection later on says nothing of the zone, whatever was silent once.
		for _, s := range local {
			s.connectionLostAt = 0
		}
		end(local[1], ConnectFailed, time.Millisecond)
		if !b.restartSuspected(local[1]) || b.restartSuspected(local[8]) {
			t.Errorf("%s: refused later: suspected %v, one that got no request %v", name, b.restartSuspected(local[1]), b.restartSuspected(local[8]))
		}
	}
	// Where every server is under suspicion none is spared.
	b, effects := start(testSettings(), 1)
	b.now += second
	b.Arrive(b.now, Request{ID: 1, Deadline: b.now + second})
	b.AttemptFinished(b.now, Outcome{ID: 1, Result: ConnectFailed})
	b.Arrive(b.now, Request{ID: 2, Deadline: b.now + second})
	if len(effects.sends) != 2 {
		t.Errorf("%d sends to the only server, want 2", len(effects.sends))
	}
}

// A node starts with a list of unknown age, beside a zone that may have restarted. Seventy such nodes at
// once overloaded servers before any had an answer. Each tries one local server at a time until answers are
// as quick as elsewhere.
func TestNewNodeVerifiesItsZone(t *testing.T) {
	const nodes, zones, each = 90, 3, 20
	list := make([]Server, zones*each)
	for i := range list {
		list[i] = Server{ID: ServerID(i + 1), Zone: i % zones, State: Ready, Capacity: 2}
	}
	settings := testSettings()
	settings.PollDiscovery, settings.CrossZoneCost, settings.NodeCount, settings.ZoneCount = true, 0.12, nodes, zones
	newNode := func(self int, list []Server) (*Balancer, *effectLog) {
		settings.NodeIndex = self
		effects := newEffectLog()
		b := New(settings, uint64(self), 100*second, effects)
		b.UpdateEndpoints(b.now, UpdateCached, list)
		return b, effects
	}
	// play has a node take requests, 20 a second, for a time, and counts those sent to its own zone.
	play := func(b *Balancer, effects *effectLog, span time.Duration, local time.Duration) (near, most int) {
		type end struct {
			at time.Duration
			id RequestID
		}
		var ends []end
		for id, until := RequestID(1), b.now+span; b.now < until; id++ {
			effects.sends = effects.sends[:0]
			b.Arrive(b.now, Request{ID: id, Deadline: b.now + 20*second, WorkHint: second / 10})
			took := 100 * time.Millisecond
			if len(effects.sends) > 0 && b.serversByID[effects.sends[0].server].Zone == settings.Zone {
				took = local
				near++
			}
			most = max(most, b.local.inFlight)
			ends = append(ends, end{b.now + took, id})
			b.now += 50 * time.Millisecond
			for i := 0; i < len(ends); i++ {
				if ends[i].at <= b.now {
					b.AttemptFinished(b.now, Outcome{ID: ends[i].id, Result: OK, Final: true})
					ends = slices.Delete(ends, i, i+1)
					i--
				}
			}
		}
		return near, most
	}
	b, effects := newNode(0, list)
	if play(b, effects, 2*second, 100*time.Millisecond); b.zoneUnverifiedUntil != 0 {
		t.Error("a zone that answers as quickly as others is not verified within two seconds")
	}
	if near, _ := play(b, effects, second, 100*time.Millisecond); near < 15 {
		t.Errorf("%d of 20 requests stay in a zone that is verified", near)
	}
	b, effects = newNode(0, list)
	if near, most := play(b, effects, 2*second, 600*time.Millisecond); b.zoneUnverifiedUntil == 0 || most > 1 || near == 0 {
		t.Errorf("a zone six times slower got %d calls, %d at a time; verified: %v", near, most, b.zoneUnverifiedUntil == 0)
	}
	if play(b, effects, firstPollSpread+maxListDelay, 600*time.Millisecond); b.withheldForVerification(b.local.servers[0]) || b.withheldForVerification(b.local.servers[1]) {
		t.Error("a zone is withheld for longer than the list is late")
	}
	alone := slices.DeleteFunc(slices.Clone(list), func(s Server) bool { return s.Zone != settings.Zone })
	b, effects = newNode(0, alone)
	if near, _ := play(b, effects, second, 100*time.Millisecond); near < 20 {
		t.Errorf("%d of 20 requests served where there is one zone alone", near)
	}
	// All nodes of a zone begin at once, and each gets three requests before any is answered.
	got, most := make(map[ServerID]int), 0
	for self := 0; self < nodes; self += zones {
		b, effects := newNode(self, list)
		for id := range RequestID(3) {
			b.Arrive(b.now, Request{ID: id + 1, Deadline: b.now + second, WorkHint: second / 10})
		}
		for _, s := range effects.sends {
			if b.serversByID[s.server].Zone == settings.Zone {
				got[s.server]++
				most = max(most, got[s.server])
			}
		}
	}
	if most > 4 || len(got) < each/2 {
		t.Errorf("%d nodes that begin at once try %d servers of their zone, one %d times", nodes/zones, len(got), most)
	}
}
