package decide

import (
	"math"
	"slices"
	"testing"
	"time"
)

// A server that has just started looks idle. It gets its slow-start budget and no more; and nothing from a
// node that withholds its part.
func TestSlowStartLimitsCalls(t *testing.T) {
	settings := testSettings()
	b, effects := start(settings, 9)
	id := RequestID(0)
	serve := func() {
		if id++; id%20 == 0 { // as often as in service
			b.TimerFired(b.now, timerTick)
		}
		b.Arrive(b.now, Request{ID: id, Deadline: b.now + second})
		b.AttemptFinished(b.now, Outcome{ID: id, Result: OK, Final: true})
	}
	for range 1000 {
		b.now += 5 * time.Millisecond
		serve()
	}
	b.UpdateEndpoints(b.now, UpdateDelta, []Server{{ID: 99, State: Ready, Capacity: 1, StartedAt: b.now}})
	effects.sends = nil
	for range 400 { // two seconds, 200 requests each
		b.now += 5 * time.Millisecond
		serve()
	}
	got := 0
	for _, s := range effects.sends {
		if s.server == 99 {
			got++
		}
	}
	// Its peers carry 20 a second; it starts at a fifth of that and has 0.36 of
	// it after two seconds. Three times that may be sent, of which
	// slowStartBudgetUse is used.
	if float64(got) > 2*20*3*slowStartBudgetUse*0.28+1 {
		t.Errorf("%d of 400 calls went to a server at a fifth of its capacity", got)
	}
	// A node that its fleet does not count has no part of it, whatever it had saved up.
	b.SetFleetPosition(3, 4, 1)
	effects.sends = nil
	for range 400 {
		b.now += 5 * time.Millisecond
		serve()
	}
	if slices.ContainsFunc(effects.sends, func(s sendCall) bool { return s.server == 99 }) {
		t.Error("a node without a part sent to a server in slow start, with nine warm ones")
	}
}

// In a rolling release half of the servers are in slow start and answer less. Counted as if they were warm,
// they kept the budgets so small that none of them got a call.
func TestSlowStartBudgetCountsWarmServers(t *testing.T) {
	b, _ := start(testSettings(), 10)
	for ms := range 5000 {
		if b.now += time.Millisecond; ms%10 == 0 {
			b.successRate.add(b.now, 1) // 100 a second
		}
	}
	var list []Server
	for id := range ServerID(10) {
		list = append(list, Server{ID: id + 50, State: Ready, Capacity: 1, StartedAt: b.now})
	}
	b.UpdateEndpoints(b.now, UpdateDelta, list)
	starting := b.serversByID[50]
	starting.slowStartTokens = 0
	b.now += 200 * time.Millisecond
	b.slowStartAllows(starting)
	// The warm ones answer more than 8 calls a second each, of which a fifth of
	// three times slowStartBudgetUse is free to send, for a fifth of a second.
	if want := 0.2 * 8 * 0.2 * 3 * slowStartBudgetUse * 0.8; starting.slowStartTokens < want {
		t.Errorf("a server in slow start has a budget of %.2f calls, want %.2f", starting.slowStartTokens, want)
	}
}

// Nodes stay in their zones. Where each had a part of a budget by its answers from all zones, two thirds
// lay with nodes that never came. A local server goes by what its zone answers this node.
func TestSlowStartBudgetFollowsZone(t *testing.T) {
	b, _ := start(testSettings(), 0)
	var list []Server
	for id := range ServerID(30) {
		list = append(list, Server{ID: id + 1, Zone: int(id % 3), State: Ready, Capacity: 1})
	}
	b.UpdateEndpoints(b.now, UpdateFull, list)
	for id := RequestID(1); id <= 1000; id++ { // 100 a second, in the local zone
		b.now += 10 * time.Millisecond
		r := &request{Request: Request{ID: id, Deadline: b.now + second}, objectiveAt: b.now + second}
		if !b.send(r, b.local.servers[id%10]) {
			t.Fatal("not sent")
		}
		b.requests[id] = r
		b.AttemptFinished(b.now, Outcome{ID: id, Result: OK, Final: true})
	}
	budget := func(zone int) float64 {
		s := &server{Server: Server{Zone: zone, Capacity: 1, StartedAt: b.now}, slowStartTokensAt: b.now}
		b.now += 200 * time.Millisecond
		b.slowStartAllows(s)
		return s.slowStartTokens
	}
	// 10 calls a second to each server here, 3.3 over all; a fifth of a second at some
	// more than a fifth of that.
	part := 0.2 * 0.2 * 3 * slowStartBudgetUse
	if got := budget(0); got < 9*part || got > 11*part {
		t.Errorf("a local server in slow start has a budget of %.2f calls, want %.2f", got, 10*part)
	}
	if got := budget(1); got < 3*part || got > 4*part {
		t.Errorf("one of another zone has a budget of %.2f calls, want %.2f", got, 3.3*part)
	}
	// A zone that is just back has answered next to nothing: it had a budget of its part of the
	// answers of all zones, and for ten seconds a fifth of the requests was rejected. Its nodes
	// share all of it, and no more than there are nodes; half of it answered, they go by that.
	for _, c := range []struct{ zones, nodes, local, want float64 }{
		{3, 300, 0, 10}, {3, 300, 4, 10}, {3, 300, 6, 6}, {3, 300, 10, 10}, {5, 2, 0, 6.7}, {0, 0, 0, 3.3}, {1, 300, 0, 3.3},
	} {
		b.settings.ZoneCount, b.settings.NodeCount = int(c.zones), int(c.nodes)
		b.successRate, b.local.answerRate = rateMeter{100, b.now}, rateMeter{c.local * 10, b.now}
		fade := math.Exp(-0.2 / rateWindow.Seconds())
		if got := budget(0) / part / fade; got < 0.9*c.want || got > 1.1*c.want {
			t.Errorf("%v zones, %v nodes, %v calls answered by each of the zone's: a budget of %.1f calls a second, want %.1f", c.zones, c.nodes, c.local, got, c.want)
		}
	}
}

// Servers that are full turn calls away, so more is sent than anyone carries. A budget by calls sent was
// exceeded eight times; it goes by calls answered.
func TestSlowStartBudgetGoesByAnswers(t *testing.T) {
	b, _ := start(testSettings(), 9)
	b.UpdateEndpoints(b.now, UpdateDelta, []Server{{ID: 99, State: Ready, Capacity: 1, StartedAt: b.now}})
	starting := b.serversByID[99]
	got := 0
	for ms := range 4000 {
		b.now += time.Millisecond
		b.sendRate.add(b.now, 1) // 1000 a second are sent, 200 answered
		if ms%5 == 0 {
			b.recordCall(b.ready[0], false)
		}
		if ms >= 2000 && b.slowStartAllows(starting) {
			starting.slowStartTokens--
			got++
		}
	}
	// From two seconds on it has 0.36 to 0.52 of the 20 a second of its peers.
	if most := 2*20*3*slowStartBudgetUse*0.52 + 1; float64(got) > most || got < 10 {
		t.Errorf("%d calls to a server in slow start in two seconds, want 10 to %.0f", got, most)
	}
}
