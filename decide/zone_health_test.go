package decide

import (
	"slices"
	"testing"
	"time"
)

// All servers of the local zone refuse connections at once, too many for outlier detection. They must be
// skipped for a while, and used again once they accept connections.
func TestZoneWithoutConnections(t *testing.T) {
	settings := testSettings()
	settings.CrossZoneCost = 0.12
	b, effects := start(settings, 0)
	var list []Server
	for id := range ServerID(30) {
		list = append(list, Server{ID: id + 1, Zone: int(id % 3), State: Ready, Capacity: 1})
	}
	b.UpdateEndpoints(b.now, UpdateFull, list)
	unreachable, id := true, RequestID(0)
	serve := func(n int) (served int) {
		for range n {
			b.now += 20 * time.Millisecond
			id++
			effects.sends = nil
			b.Arrive(b.now, Request{ID: id, Deadline: b.now + second})
			for i := 0; i < len(effects.sends); i++ { // the list of sends grows as attempts fail
				if s := b.serversByID[effects.sends[i].server]; unreachable && s.Zone == settings.Zone {
					b.AttemptFinished(b.now, Outcome{ID: id, Attempt: i, Result: ConnectFailed})
					continue
				}
				served++
				b.AttemptFinished(b.now, Outcome{ID: id, Attempt: i, Result: OK, Final: true})
			}
		}
		return served
	}
	serve(50) // requests of one second, in which the node detects the failure
	if got := serve(150); got < 140 {
		t.Errorf("%d of 150 requests were served while one zone is unreachable, want at least 140", got)
	}
	unreachable = false
	serve(400) // requests for longer than the longest connect backoff
	crossed := 0
	for range 100 {
		serve(1)
		if b.serversByID[effects.sends[0].server].Zone != settings.Zone {
			crossed++
		}
	}
	if crossed > 5 {
		t.Errorf("%d of 100 requests are sent to another zone after the local zone has recovered, want at most 5", crossed)
	}
}

// A server accepts no connection: it may have restarted, and counts as in slow start until the endpoint
// list must have announced a restart. Three consecutive connect timeouts, or one without a subscription,
// make the whole zone suspected. Refused connections do not.
func TestUnreachableServerMayHaveRestarted(t *testing.T) {
	for name, tc := range map[string]struct {
		failures   int // number of failed connections, each to another server; if negative, each one follows an answer
		took       time.Duration
		subscribed bool
		zone       bool // servers of the zone that got no request are suspected, too
	}{
		"refused":                          {3, time.Millisecond, true, false},
		"two timeouts":                     {2, 250 * time.Millisecond, true, false},
		"three timeouts":                   {3, 250 * time.Millisecond, true, true},
		"timeout, not subscribed":          {1, 250 * time.Millisecond, false, true},
		"refused, not subscribed":          {3, time.Millisecond, false, false},
		"timeouts with answers in between": {-3, 250 * time.Millisecond, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newZoneFixture(tc.subscribed)
			for i := range max(tc.failures, -tc.failures) {
				if tc.failures < 0 {
					fixture.request(fixture.local[9], OK, 10*time.Millisecond)
				}
				fixture.request(fixture.local[i], ConnectFailed, tc.took)
			}
			fixture.checkSuspected(t, tc.zone)
			fixture.checkBudget(t)
			fixture.checkSuspicionEnds(t)
			fixture.checkLaterRefusal(t)
		})
	}
}

// zoneFixture is a node with twenty servers; local are those of its zone.
type zoneFixture struct {
	b      *Balancer
	local  []*server
	lastID RequestID
}

// newZoneFixture returns a node with 100 answers a second, 5 from each server, that is subscribed to
// discovery or not.
func newZoneFixture(subscribed bool) *zoneFixture {
	settings := testSettings()
	settings.PollDiscovery = true
	b, _ := start(settings, 20)
	b.subscribed = subscribed
	b.successRate.add(b.now, 300)
	return &zoneFixture{b: b, local: slices.Clone(b.local.servers)}
}

// request sends a request to a server. The attempt ends with result after took.
func (p *zoneFixture) request(s *server, result Result, took time.Duration) {
	b := p.b
	p.lastID++
	r := &request{Request: Request{ID: p.lastID, Deadline: b.now + second}, objectiveAt: b.now + second}
	b.requests[p.lastID] = r
	b.send(r, s)
	b.now += took
	b.AttemptFinished(b.now, Outcome{ID: p.lastID, Result: result, Final: result == OK})
}

// checkSuspected checks that the first server is suspected of a restart, that other servers of its zone
// are suspected if zone is true, and that those of other zones are not.
func (p *zoneFixture) checkSuspected(t *testing.T, zone bool) {
	b, first := p.b, p.local[0]
	if !b.restartSuspected(first) || b.slowStartFactor(first) > b.settings.SlowStartShare+0.1 {
		t.Errorf("first server: suspected is %v, slow-start factor is %.2f; want a suspected restart", b.restartSuspected(first), b.slowStartFactor(first))
	}
	if got := b.restartSuspected(p.local[8]); got != zone {
		t.Errorf("local server that got no request: suspected is %v, want %v", got, zone)
	}
	if b.restartSuspected(b.remote.servers[0]) {
		t.Error("remote server is suspected, want no suspicion")
	}
}

// checkBudget checks that the first server gets at most its slow-start budget for a second.
func (p *zoneFixture) checkBudget(t *testing.T) {
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
	if maxCalls := 5*b.settings.OverloadMultiple*slowStartBudgetUse*0.35 + 1; float64(calls) > maxCalls {
		t.Errorf("%d calls were allowed in a second, want at most %.1f", calls, maxCalls)
	}
}

// checkSuspicionEnds lets the first server answer. The server stays suspected until the list has had time
// to announce a restart.
func (p *zoneFixture) checkSuspicionEnds(t *testing.T) {
	b, first := p.b, p.local[0]
	p.request(first, OK, 10*time.Millisecond)
	b.now += maxListDelay - time.Millisecond
	if !b.restartSuspected(first) {
		t.Error("suspicion ended before the list had time to announce a restart, want it to continue")
	}
	b.now += time.Millisecond
	if b.restartSuspected(first) || !b.slowStartAllows(first) {
		t.Error("server is still suspected after the list has had time to announce a restart, want no suspicion")
	}
}

// checkLaterRefusal lets another server refuse a connection later. That does not make the zone suspected,
// regardless of earlier timeouts.
func (p *zoneFixture) checkLaterRefusal(t *testing.T) {
	b := p.b
	for _, s := range p.local {
		s.unreachableAt = 0
	}
	p.request(p.local[1], ConnectFailed, time.Millisecond)
	if !b.restartSuspected(p.local[1]) || b.restartSuspected(p.local[8]) {
		t.Errorf("after a later refusal: suspected is %v, for a server that got no request %v; want only the server that refused suspected", b.restartSuspected(p.local[1]), b.restartSuspected(p.local[8]))
	}
}

// The only server accepts no connection. If every server is suspected, all of them are used.
func TestOnlyServerIsUsedThoughSuspected(t *testing.T) {
	b, effects := start(testSettings(), 1)
	b.now += second
	b.Arrive(b.now, Request{ID: 1, Deadline: b.now + second})
	b.AttemptFinished(b.now, Outcome{ID: 1, Result: ConnectFailed})
	b.Arrive(b.now, Request{ID: 2, Deadline: b.now + second})
	if len(effects.sends) != 2 {
		t.Errorf("only server was sent %d attempts, want 2", len(effects.sends))
	}
}

// A node starts with a list of unknown age, in a zone that may have restarted. Seventy such nodes at once
// overloaded servers before any had answered. Each node must try one local server at a time until local
// answers are as fast as remote ones.
func TestNewNodeVerifiesItsZone(t *testing.T) {
	const quick, slow = 100 * time.Millisecond, 600 * time.Millisecond
	list := newNodeList()
	b, effects := newNode(0, list)
	if simulateRequests(b, effects, 2*second, quick); b.zoneUnverifiedUntil != 0 {
		t.Error("zone that answers as fast as others is not verified within two seconds, want it verified")
	}
	if local, _ := simulateRequests(b, effects, second, quick); local < 15 {
		t.Errorf("%d of 20 requests stay in a verified zone, want at least 15", local)
	}
	b, effects = newNode(0, list)
	if local, maxInFlight := simulateRequests(b, effects, 2*second, slow); b.zoneUnverifiedUntil == 0 || maxInFlight > 1 || local == 0 {
		t.Errorf("a zone six times slower got %d calls, at most %d at a time, verified: %v; want some calls, one at a time, and the zone not verified", local, maxInFlight, b.zoneUnverifiedUntil == 0)
	}
	simulateRequests(b, effects, firstPollSpread+maxListDelay, slow)
	if b.blockedByZoneVerification(b.local.servers[0]) || b.blockedByZoneVerification(b.local.servers[1]) {
		t.Error("zone verification blocks servers for longer than the maximum list delay, want no server blocked")
	}
	localZone := b.settings.Zone
	onlyLocal := slices.DeleteFunc(slices.Clone(list), func(s Server) bool { return s.Zone != localZone })
	b, effects = newNode(0, onlyLocal)
	if local, _ := simulateRequests(b, effects, second, quick); local < 20 {
		t.Errorf("%d of 20 requests are sent to the only zone, want 20", local)
	}
}

// All nodes of a zone start at once, and each gets three requests before any is answered. The nodes must
// spread evenly over the zone's servers.
func TestNewNodesSpreadOverTheirZone(t *testing.T) {
	sends, maxSends := make(map[ServerID]int), 0
	for nodeIndex := 0; nodeIndex < newNodes; nodeIndex += newNodeZones {
		b, effects := newNode(nodeIndex, newNodeList())
		for id := range RequestID(3) {
			b.Arrive(b.now, Request{ID: id + 1, Deadline: b.now + second, WorkHint: second / 10})
		}
		for _, s := range effects.sends {
			if b.serversByID[s.server].Zone == b.settings.Zone {
				sends[s.server]++
				maxSends = max(maxSends, sends[s.server])
			}
		}
	}
	if maxSends > 4 || len(sends) < serversPerZone/2 {
		t.Errorf("%d nodes that start at once try %d servers of their zone, one of them %d times; want at least half of the servers and at most 4 times", newNodes/newNodeZones, len(sends), maxSends)
	}
}

// The fleet of the tests of nodes that have just started.
const (
	newNodes       = 90
	newNodeZones   = 3
	serversPerZone = 20
)

// newNodeList returns the servers of all zones.
func newNodeList() []Server {
	list := make([]Server, newNodeZones*serversPerZone)
	for i := range list {
		list[i] = Server{ID: ServerID(i + 1), Zone: i % newNodeZones, State: Ready, Capacity: 2}
	}
	return list
}

// newNode returns a node that has just started with a cached list.
func newNode(nodeIndex int, list []Server) (*Balancer, *effectLog) {
	settings := testSettings()
	settings.PollDiscovery, settings.CrossZoneCost = true, 0.12
	settings.NodeIndex, settings.NodeCount, settings.ZoneCount = nodeIndex, newNodes, newNodeZones
	effects := newEffectLog()
	b := New(settings, uint64(nodeIndex), 100*second, effects)
	b.UpdateEndpoints(b.now, UpdateCached, list)
	return b, effects
}

// simulateRequests sends a node 20 requests a second for the duration span. Local servers answer after
// localLatency, the others after 100 ms. It returns the number of requests sent to local servers, and the
// maximum number of them in flight.
func simulateRequests(b *Balancer, effects *effectLog, span, localLatency time.Duration) (local, maxInFlight int) {
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
		maxInFlight = max(maxInFlight, b.local.inFlight)
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
	return local, maxInFlight
}
