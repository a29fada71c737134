package decide

import (
	"testing"
	"time"
)

// The work per event is compared between a list of usual size and one with sixteen times the servers.
const (
	fewServers  = 200
	manyServers = 3200
)

// maxGrowth is the factor by which the work per event may grow from fewServers to manyServers.
const maxGrowth = 1.5

// examinedPerEvent returns the mean number of servers that an event examines, with a list of n servers.
func examinedPerEvent(n int, settings Settings, prepare func(*Balancer), event func(b *Balancer, i int)) float64 {
	const times = 200
	b, _ := start(settings, n)
	if prepare != nil {
		prepare(b)
	}
	before := b.examined
	for i := range times {
		b.now += time.Millisecond
		event(b, i)
	}
	return float64(b.examined-before) / times
}

// forAllExceptOneIn calls update for all ready servers except for one in n.
func forAllExceptOneIn(n int, update func(b *Balancer, s *server)) func(*Balancer) {
	return func(b *Balancer) {
		for i, s := range b.ready {
			if i%n != 0 {
				update(b, s)
			}
		}
	}
}

// With thousands of servers, the work of each update, request with a key and failed connection was
// proportional to the number of servers. Frequent events must cost the same with sixteen times the
// servers, whatever the servers' state.
func TestWorkDoesNotGrowWithServers(t *testing.T) {
	serve := func(b *Balancer, i int) {
		id := RequestID(i + 1)
		b.Arrive(b.now, Request{ID: id, Class: 0, Key: uint64(i%3 + 1), Deadline: b.now + second})
		b.AttemptFinished(b.now, Outcome{ID: id, Result: OK, Final: true})
	}
	failing := func(b *Balancer, i int) {
		id := RequestID(i + 1)
		b.Arrive(b.now, Request{ID: id, Class: 0, Deadline: b.now + second})
		b.AttemptFinished(b.now, Outcome{ID: id, Result: ConnectFailed})
		b.ClientDisconnected(b.now, id)
	}
	change := func(b *Balancer, i int) {
		e := b.ready[i%len(b.ready)].Server
		e.StartedAt = b.now
		b.UpdateEndpoints(b.now, UpdateDelta, []Server{e})
	}
	keys, polling := testSettings(), testSettings()
	keys.KeyAffinity, polling.PollDiscovery = true, true
	for name, tc := range map[string]struct {
		settings Settings
		prepare  func(*Balancer)
		event    func(b *Balancer, i int)
	}{
		"a request":                           {testSettings(), nil, serve},
		"a request with a key":                {keys, nil, serve},
		"a request, all in slow start":        {testSettings(), forAllExceptOneIn(manyServers, func(b *Balancer, s *server) { s.StartedAt, s.slowStartTokens = b.now, -1e9 }), serve},
		"a request, most overloaded":          {testSettings(), forAllExceptOneIn(100, func(b *Balancer, s *server) { s.overloadedUntil = b.now + time.Hour }), serve},
		"a request, most unreachable":         {testSettings(), forAllExceptOneIn(100, func(b *Balancer, s *server) { s.connectBackoffUntil = b.now + time.Hour }), serve},
		"a request, many ejected":             {testSettings(), forAllExceptOneIn(4, func(b *Balancer, s *server) { b.eject(s, "test") }), serve},
		"a failed connection":                 {testSettings(), nil, failing},
		"a failed connection, not subscribed": {polling, nil, failing},
		"a failed connection, zone suspected": {testSettings(), nil, func(b *Balancer, i int) {
			b.connectTimeouts = connectTimeoutsForZone
			b.recordUnreachable(b.local.servers[i%len(b.local.servers)], connectTimeoutThreshold)
		}},
		"an ejection": {testSettings(), nil, func(b *Balancer, i int) {
			b.successRate.add(b.now, 100)
			s := b.ready[i%(len(b.ready)/10)]
			b.recordCall(s, true)
		}},
		"a change of one server": {testSettings(), nil, change},
	} {
		t.Run(name, func(t *testing.T) {
			few := examinedPerEvent(fewServers, tc.settings, tc.prepare, tc.event)
			many := examinedPerEvent(manyServers, tc.settings, tc.prepare, tc.event)
			if many > maxGrowth*max(few, 1) {
				t.Errorf("event examines %.1f of %d servers, and %.1f of %d; want growth of at most maxGrowth", few, fewServers, many, manyServers)
			}
		})
	}
}

// The cost per listed server of a complete list, identical to the last one or not, does not grow with sixteen
// times the servers.
func TestCompleteListCostIsLinear(t *testing.T) {
	const maxGrowth = 1.3
	cost := func(n int, shift ServerID) float64 {
		b, _ := start(testSettings(), n)
		list := servers(n)
		for i := range list {
			list[i].ID += shift
		}
		before := b.examined
		b.UpdateEndpoints(b.now, UpdateFull, list)
		return float64(b.examined-before) / float64(n)
	}
	for name, part := range map[string]int{"identical": 0, "half replaced": 2, "all replaced": 1} {
		t.Run(name, func(t *testing.T) {
			shift := func(n int) ServerID {
				if part == 0 {
					return 0
				}
				return ServerID(n / part)
			}
			few, many := cost(fewServers, shift(fewServers)), cost(manyServers, shift(manyServers))
			if many > maxGrowth*few {
				t.Errorf("each listed server costs %.1f examined servers in a list of %d, and %.1f in a list of %d; want growth of at most maxGrowth", few, fewServers, many, manyServers)
			}
		})
	}
}
