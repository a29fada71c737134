package decide

import (
	"slices"
	"testing"
	"time"
)

// TestZoneWithoutConnections: All servers of the local zone refuse connections at once, too many for outlier
// detection. They are passed over for a while, and used again once they are back.
func TestZoneWithoutConnections(t *testing.T) {
	set := testSettings()
	set.CrossZoneCost = 0.12
	b, tape := start(set, 0)
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
			tape.sends = nil
			b.Arrive(b.now, Request{ID: id, Deadline: b.now + second})
			for i := 0; i < len(tape.sends); i++ { // grows as attempts fail
				if s := b.serversByID[tape.sends[i].server]; dead && s.Zone == set.Zone {
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
		if b.serversByID[tape.sends[0].server].Zone != set.Zone {
			crossed++
		}
	}
	if crossed > 5 {
		t.Errorf("%d of 100 requests leave a zone that is back", crossed)
	}
}

// TestServerThatLostConnectionsMayHaveRestarted: A server takes no connection: it may have restarted, and
// counts as in slow start until the endpoint list must have said so. Three silent connections in a row, or one
// without a subscription, say the same of the whole zone; refused ones do not.
func TestServerThatLostConnectionsMayHaveRestarted(t *testing.T) {
	for name, c := range map[string]struct {
		misses  int
		took    time.Duration
		watched bool
		zone    bool // those of the zone that were not tried are doubted, too
	}{
		"refused":                {3, time.Millisecond, true, false},
		"silent twice":           {2, 250 * time.Millisecond, true, false},
		"silent thrice":          {3, 250 * time.Millisecond, true, true},
		"silent, no watch":       {1, 250 * time.Millisecond, false, true},
		"refused, and no watch":  {3, time.Millisecond, false, false},
		"silent, between others": {-3, 250 * time.Millisecond, true, false},
	} {
		set := testSettings()
		set.PollDiscovery = true
		b, _ := start(set, 20)
		b.subscribed = c.watched
		b.successRate.add(b.now, 300) // 100 a second, 5 for each server
		own, id := slices.Clone(b.local.servers), RequestID(0)
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
				end(own[9], OK, 10*time.Millisecond)
			}
			end(own[i], ConnectFailed, c.took)
		}
		if !b.restartSuspected(own[0]) || b.slowStartFactor(own[0]) > set.SlowStartShare+0.1 {
			t.Errorf("%s: doubted %v, taken for %.2f warm", name, b.restartSuspected(own[0]), b.slowStartFactor(own[0]))
		}
		if got := b.restartSuspected(own[8]); got != c.zone {
			t.Errorf("%s: one that was not tried is doubted: %v", name, got)
		}
		if far := b.remote.servers[0]; b.restartSuspected(far) {
			t.Errorf("%s: one of another zone is doubted", name)
		}
		// It has its part of a cold server's budget, and no more, until it has answered and the
		// list has had the time to tell.
		may := 0
		for range 10 {
			b.now += 100 * time.Millisecond
			b.successRate.add(b.now, 10)
			if b.slowStartAllows(own[0]) {
				own[0].slowStartTokens--
				may++
			}
		}
		if most := 5*set.OverloadMultiple*slowStartBudgetUse*0.35 + 1; float64(may) > most {
			t.Errorf("%s: %d calls in a second, of a budget of %.1f", name, may, most)
		}
		end(own[0], OK, 10*time.Millisecond)
		b.now += maxListDelay - time.Millisecond
		if !b.restartSuspected(own[0]) {
			t.Errorf("%s: believed before the list has had its time", name)
		}
		if b.now += time.Millisecond; b.restartSuspected(own[0]) || !b.slowStartAllows(own[0]) {
			t.Errorf("%s: still doubted, though the list has had its time", name)
		}
		// A refusal later on says nothing of the zone, whatever was silent once.
		for _, s := range own {
			s.connectionLostAt = 0
		}
		end(own[1], ConnectFailed, time.Millisecond)
		if !b.restartSuspected(own[1]) || b.restartSuspected(own[8]) {
			t.Errorf("%s: refused later, it is doubted: %v, one not tried: %v", name, b.restartSuspected(own[1]), b.restartSuspected(own[8]))
		}
	}
	// Where every server is in doubt there is nothing to spare them for.
	b, tape := start(testSettings(), 1)
	b.now += second
	b.Arrive(b.now, Request{ID: 1, Deadline: b.now + second})
	b.AttemptFinished(b.now, Outcome{ID: 1, Result: ConnectFailed})
	b.Arrive(b.now, Request{ID: 2, Deadline: b.now + second})
	if len(tape.sends) != 2 {
		t.Errorf("%d sends to the only server, want 2", len(tape.sends))
	}
}

// TestNewNodeVerifiesItsZone: A node starts with a list of unknown age, beside a zone that may have restarted.
// Seventy such nodes at once overloaded servers before any had an answer. Each tries one local server at a time
// until answers are as quick as elsewhere.
func TestNewNodeVerifiesItsZone(t *testing.T) {
	const nodes, zones, each = 90, 3, 20
	list := make([]Server, zones*each)
	for i := range list {
		list[i] = Server{ID: ServerID(i + 1), Zone: i % zones, State: Ready, Capacity: 2}
	}
	set := testSettings()
	set.PollDiscovery, set.CrossZoneCost, set.NodeCount, set.ZoneCount = true, 0.12, nodes, zones
	begin := func(self int, list []Server) (*Balancer, *effectLog) {
		set.NodeIndex = self
		tape := newEffectLog()
		b := New(set, uint64(self), 100*second, tape)
		b.UpdateEndpoints(b.now, UpdateCached, list)
		return b, tape
	}
	// play has a node take requests, 20 a second, for a time, and counts those sent to its own zone.
	play := func(b *Balancer, tape *effectLog, span time.Duration, own time.Duration) (near, most int) {
		type end struct {
			at time.Duration
			id RequestID
		}
		var ends []end
		for id, until := RequestID(1), b.now+span; b.now < until; id++ {
			tape.sends = tape.sends[:0]
			b.Arrive(b.now, Request{ID: id, Deadline: b.now + 20*second, WorkHint: second / 10})
			took := 100 * time.Millisecond
			if len(tape.sends) > 0 && b.serversByID[tape.sends[0].server].Zone == set.Zone {
				took = own
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
	b, tape := begin(0, list)
	if play(b, tape, 2*second, 100*time.Millisecond); b.zoneUnverifiedUntil != 0 {
		t.Error("a zone that answers as quickly as others is not proven within two seconds")
	}
	if near, _ := play(b, tape, second, 100*time.Millisecond); near < 15 {
		t.Errorf("%d of 20 requests stay in a zone that is proven", near)
	}
	b, tape = begin(0, list)
	if near, most := play(b, tape, 2*second, 600*time.Millisecond); b.zoneUnverifiedUntil == 0 || most > 1 || near == 0 {
		t.Errorf("a zone six times slower got %d calls, %d at a time; proven: %v", near, most, b.zoneUnverifiedUntil == 0)
	}
	if play(b, tape, firstPollSpread+maxListDelay, 600*time.Millisecond); b.withheldForVerification(b.local.servers[0]) || b.withheldForVerification(b.local.servers[1]) {
		t.Error("a zone is spared for longer than the list is late")
	}
	alone := slices.DeleteFunc(slices.Clone(list), func(s Server) bool { return s.Zone != set.Zone })
	b, tape = begin(0, alone)
	if near, _ := play(b, tape, second, 100*time.Millisecond); near < 20 {
		t.Errorf("%d of 20 requests served where there is one zone alone", near)
	}
	// All nodes of a zone begin at once, and each gets three requests before any is answered.
	got, most := make(map[ServerID]int), 0
	for self := 0; self < nodes; self += zones {
		b, tape := begin(self, list)
		for id := range RequestID(3) {
			b.Arrive(b.now, Request{ID: id + 1, Deadline: b.now + second, WorkHint: second / 10})
		}
		for _, s := range tape.sends {
			if b.serversByID[s.server].Zone == set.Zone {
				got[s.server]++
				most = max(most, got[s.server])
			}
		}
	}
	if most > 4 || len(got) < each/2 {
		t.Errorf("%d nodes that begin at once try %d servers of their zone, one %d times", nodes/zones, len(got), most)
	}
}
