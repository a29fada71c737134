package decide

import (
	"testing"
	"time"
)

// Sizes between which the work of an event is compared: a usual list, and one of sixteen times the servers.
const (
	fewServers  = 200
	manyServers = 3200
)

// mostGrowth is by how much an event's work may grow from the few servers to the many.
const mostGrowth = 1.5

// workOf returns how many servers an event looks at on the average, over many times, with a list of a size.
func workOf(n int, settings Settings, prepare func(*Balancer), event func(b *Balancer, i int)) float64 {
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

// each does something to every server but one in so many.
func each(but int, do func(b *Balancer, s *server)) func(*Balancer) {
	return func(b *Balancer) {
		for i, s := range b.ready {
			if i%but != 0 {
				do(b, s)
			}
		}
	}
}

// With thousands of servers each update, request with a key and failed connection cost work in proportion
// to all of them. Each event that comes often now costs the same with sixteen times the servers, whatever
// their state.
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
	for name, c := range map[string]struct {
		settings Settings
		prepare  func(*Balancer)
		event    func(b *Balancer, i int)
	}{
		"a request":                    {testSettings(), nil, serve},
		"a request with a key":         {keys, nil, serve},
		"a request, all in slow start": {testSettings(), each(manyServers, func(b *Balancer, s *server) { s.StartedAt, s.slowStartTokens = b.now, -1e9 }), serve},
		"a request, most overloaded":   {testSettings(), each(100, func(b *Balancer, s *server) { s.overloadedUntil = b.now + time.Hour }), serve},
		"a request, most unreachable":  {testSettings(), each(100, func(b *Balancer, s *server) { s.connectBackoffUntil = b.now + time.Hour }), serve},
		"a request, many are ejected":  {testSettings(), each(4, func(b *Balancer, s *server) { b.eject(s, "test") }), serve},
		"a failed connection":          {testSettings(), nil, failing},
		"a failed connection, no list": {polling, nil, failing},
		"a failed connection, a zone under suspicion": {testSettings(), nil, func(b *Balancer, i int) {
			b.silentConnects = silentConnectsForZone
			b.recordConnectionLost(b.local.servers[i%len(b.local.servers)], silentConnectTime)
		}},
		"an ejection": {testSettings(), nil, func(b *Balancer, i int) {
			b.successRate.add(b.now, 100)
			s := b.ready[i%(len(b.ready)/10)]
			b.recordCall(s, true)
		}},
		"a change of one server": {testSettings(), nil, change},
	} {
		t.Run(name, func(t *testing.T) {
			few := workOf(fewServers, c.settings, c.prepare, c.event)
			many := workOf(manyServers, c.settings, c.prepare, c.event)
			if many > mostGrowth*max(few, 1) {
				t.Errorf("it looks at %.1f servers of %d, and at %.1f of %d", few, fewServers, many, manyServers)
			}
		})
	}
}

// A complete list, the same or another, costs no more for each server that it names with sixteen times the
// servers.
func TestCompleteListCostsWhatItNames(t *testing.T) {
	const most = 1.3
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
	for name, part := range map[string]int{"the same": 0, "half are others": 2, "all are others": 1} {
		t.Run(name, func(t *testing.T) {
			shift := func(n int) ServerID {
				if part == 0 {
					return 0
				}
				return ServerID(n / part)
			}
			few, many := cost(fewServers, shift(fewServers)), cost(manyServers, shift(manyServers))
			if many > most*few {
				t.Errorf("for each server it looks at %.1f with %d of them, and at %.1f with %d", few, fewServers, many, manyServers)
			}
		})
	}
}
