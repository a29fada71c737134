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
		misses  int // failed connections, each to another server; below 0 with an answer before each
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
		t.Run(name, func(t *testing.T) {
			p := newZonePlay(c.watched)
			for i := range max(c.misses, -c.misses) {
				if c.misses < 0 {
					p.request(p.local[9], OK, 10*time.Millisecond)
				}
				p.request(p.local[i], ConnectFailed, c.took)
			}
			p.checkSuspected(t, c.zone)
			p.checkBudget(t)
			p.checkSuspicionEnds(t)
			p.checkLaterRefusal(t)
		})
	}
}

// zonePlay is a node with twenty servers, of which local are of its zone.
type zonePlay struct {
	b      *Balancer
	local  []*server
	lastID RequestID
}

// newZonePlay returns a node with 100 answers a second, 5 for each server, that is subscribed to discovery
// or not.
func newZonePlay(subscribed bool) *zonePlay {
	settings := testSettings()
	settings.PollDiscovery = true
	b, _ := start(settings, 20)
	b.subscribed = subscribed
	b.successRate.add(b.now, 300)
	return &zonePlay{b: b, local: slices.Clone(b.local.servers)}
}

// request sends a request to a server. It ends with a result after some time.
func (p *zonePlay) request(s *server, result Result, took time.Duration) {
	b := p.b
	p.lastID++
	r := &request{Request: Request{ID: p.lastID, Deadline: b.now + second}, objectiveAt: b.now + second}
	b.requests[p.lastID] = r
	b.send(r, s)
	b.now += took
	b.AttemptFinished(b.now, Outcome{ID: p.lastID, Result: result, Final: result == OK})
}

// checkSuspected checks that the first server is suspected of a restart, others of its zone as the case
// says, and those of other zones not.
func (p *zonePlay) checkSuspected(t *testing.T, zone bool) {
	b, first := p.b, p.local[0]
	if !b.restartSuspected(first) || b.slowStartFactor(first) > b.settings.SlowStartShare+0.1 {
		t.Errorf("suspected %v, slow-start factor %.2f", b.restartSuspected(first), b.slowStartFactor(first))
	}
	if got := b.restartSuspected(p.local[8]); got != zone {
		t.Errorf("one that got no request is suspected: %v", got)
	}
	if b.restartSuspected(b.remote.servers[0]) {
		t.Error("one of another zone is suspected")
	}
}

// checkBudget checks that the first server gets its slow-start budget for a second, and no more.
func (p *zonePlay) checkBudget(t *testing.T) {
	b, first := p.b, p.local[0]
	calls := 0
	for range 10 {
		b.now += 100 * time.Millisecond
		b.successRate.add(b.now, 10)
		if b.slowStartAllows(first) {
			first.slowStartTokens--
			calls++
		}
	}
	if most := 5*b.settings.OverloadMultiple*slowStartBudgetUse*0.35 + 1; float64(calls) > most {
		t.Errorf("%d calls in a second, of a budget of %.1f", calls, most)
	}
}

// checkSuspicionEnds has the first server answer. It stays suspected until the list has had time to
// announce a restart.
func (p *zonePlay) checkSuspicionEnds(t *testing.T) {
	b, first := p.b, p.local[0]
	p.request(first, OK, 10*time.Millisecond)
	b.now += maxListDelay - time.Millisecond
	if !b.restartSuspected(first) {
		t.Error("not suspected any more before the list has had time")
	}
	b.now += time.Millisecond
	if b.restartSuspected(first) || !b.slowStartAllows(first) {
		t.Error("still suspected, though the list has had time")
	}
}

// checkLaterRefusal has another server refuse a connection later on. That says nothing of the zone,
// whatever was silent before.
func (p *zonePlay) checkLaterRefusal(t *testing.T) {
	b := p.b
	for _, s := range p.local {
		s.connectionLostAt = 0
	}
	p.request(p.local[1], ConnectFailed, time.Millisecond)
	if !b.restartSuspected(p.local[1]) || b.restartSuspected(p.local[8]) {
		t.Errorf("refused later: suspected %v, one that got no request %v", b.restartSuspected(p.local[1]), b.restartSuspected(p.local[8]))
	}
}

// The only server takes no connection. Where every server is under suspicion none is spared.
func TestOnlyServerIsUsedThoughSuspected(t *testing.T) {
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
	const quick, slow = 100 * time.Millisecond, 600 * time.Millisecond
	list := newNodeList()
	b, effects := newNode(0, list)
	if playRequests(b, effects, 2*second, quick); b.zoneUnverifiedUntil != 0 {
		t.Error("a zone that answers as quickly as others is not verified within two seconds")
	}
	if local, _ := playRequests(b, effects, second, quick); local < 15 {
		t.Errorf("%d of 20 requests stay in a zone that is verified", local)
	}
	b, effects = newNode(0, list)
	if local, most := playRequests(b, effects, 2*second, slow); b.zoneUnverifiedUntil == 0 || most > 1 || local == 0 {
		t.Errorf("a zone six times slower got %d calls, %d at a time; verified: %v", local, most, b.zoneUnverifiedUntil == 0)
	}
	playRequests(b, effects, firstPollSpread+maxListDelay, slow)
	if b.withheldForVerification(b.local.servers[0]) || b.withheldForVerification(b.local.servers[1]) {
		t.Error("a zone is withheld for longer than the list is late")
	}
	localZone := b.settings.Zone
	onlyLocal := slices.DeleteFunc(slices.Clone(list), func(s Server) bool { return s.Zone != localZone })
	b, effects = newNode(0, onlyLocal)
	if local, _ := playRequests(b, effects, second, quick); local < 20 {
		t.Errorf("%d of 20 requests served where there is one zone alone", local)
	}
}

// All nodes of a zone start at once, and each gets three requests before any is answered. They spread
// evenly over the zone's servers.
func TestNewNodesSpreadOverTheirZone(t *testing.T) {
	got, most := make(map[ServerID]int), 0
	for self := 0; self < newNodes; self += newNodeZones {
		b, effects := newNode(self, newNodeList())
		for id := range RequestID(3) {
			b.Arrive(b.now, Request{ID: id + 1, Deadline: b.now + second, WorkHint: second / 10})
		}
		for _, s := range effects.sends {
			if b.serversByID[s.server].Zone == b.settings.Zone {
				got[s.server]++
				most = max(most, got[s.server])
			}
		}
	}
	if most > 4 || len(got) < serversPerZone/2 {
		t.Errorf("%d nodes that start at once try %d servers of their zone, one %d times", newNodes/newNodeZones, len(got), most)
	}
}

// The fleet of the tests of nodes that have just started.
const (
	newNodes       = 90
	newNodeZones   = 3
	serversPerZone = 20
)

// newNodeList lists the servers of all zones.
func newNodeList() []Server {
	list := make([]Server, newNodeZones*serversPerZone)
	for i := range list {
		list[i] = Server{ID: ServerID(i + 1), Zone: i % newNodeZones, State: Ready, Capacity: 2}
	}
	return list
}

// newNode returns a node that has just started with a cached list.
func newNode(self int, list []Server) (*Balancer, *effectLog) {
	settings := testSettings()
	settings.PollDiscovery, settings.CrossZoneCost = true, 0.12
	settings.NodeIndex, settings.NodeCount, settings.ZoneCount = self, newNodes, newNodeZones
	effects := newEffectLog()
	b := New(settings, uint64(self), 100*second, effects)
	b.UpdateEndpoints(b.now, UpdateCached, list)
	return b, effects
}

// playRequests has a node take 20 requests a second for a time. Local servers answer after localLatency,
// and others after 100 ms. It returns how many requests went to local servers, and the most that were in
// flight there.
func playRequests(b *Balancer, effects *effectLog, span, localLatency time.Duration) (local, mostInFlight int) {
	type answer struct {
		at time.Duration
		id RequestID
	}
	var pending []answer
	for id, until := RequestID(1), b.now+span; b.now < until; id++ {
		effects.sends = effects.sends[:0]
		b.Arrive(b.now, Request{ID: id, Deadline: b.now + 20*second, WorkHint: second / 10})
		took := 100 * time.Millisecond
		if len(effects.sends) > 0 && b.serversByID[effects.sends[0].server].Zone == b.settings.Zone {
			took = localLatency
			local++
		}
		mostInFlight = max(mostInFlight, b.local.inFlight)
		pending = append(pending, answer{b.now + took, id})
		b.now += 50 * time.Millisecond
		pending = slices.DeleteFunc(pending, func(a answer) bool {
			if a.at > b.now {
				return false
			}
			b.AttemptFinished(b.now, Outcome{ID: a.id, Result: OK, Final: true})
			return true
		})
	}
	return local, mostInFlight
}
