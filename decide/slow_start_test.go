package decide

import (
	"math"
	"slices"
	"testing"
	"time"
)

// A server that has just started looks idle. It must get at most its slow-start budget, and nothing from
// a node that leaves its part of the budget unused.
func TestSlowStartLimitsCalls(t *testing.T) {
	settings := testSettings()
	b, effects := start(settings, 9)
	id := RequestID(0)
	serve := func() {
		if id++; id%20 == 0 { // once per 100 ms, the tick interval
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
	for range 400 { // two seconds of 200 requests each
		b.now += 5 * time.Millisecond
		serve()
	}
	got := 0
	for _, s := range effects.sends {
		if s.server == 99 {
			got++
		}
	}
	// The other servers handle 20 calls a second each. The new server starts at a fifth of that and has 0.36
	// of it after two seconds. It may be sent three times its capacity, of which slowStartBudgetUse is used.
	if float64(got) > 2*20*3*slowStartBudgetUse*0.28+1 {
		t.Errorf("%d of 400 calls were sent to a server at a fifth of its capacity, want a number within its slow-start budget", got)
	}
	// A node that the fleet does not count has no part of the budget, regardless of the tokens that it has left.
	b.SetFleetPosition(3, 4, 1)
	effects.sends = nil
	for range 400 {
		b.now += 5 * time.Millisecond
		serve()
	}
	if slices.ContainsFunc(effects.sends, func(s sendCall) bool { return s.server == 99 }) {
		t.Error("node without a part of the budget sent a call to a server in slow start, want none")
	}
}

// In a rolling release half of the servers are in slow start and answer less. When they counted as warm,
// the budgets were so small that none of them got a call.
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
	// The warm servers answer more than 8 calls a second each. A fifth of three times slowStartBudgetUse
	// of that may be sent, for a fifth of a second.
	if want := 0.2 * 8 * 0.2 * 3 * slowStartBudgetUse * 0.8; starting.slowStartTokens < want {
		t.Errorf("a server in slow start has a budget of %.2f calls, want at least %.2f", starting.slowStartTokens, want)
	}
}

// Nodes prefer their own zones. When each node's part of a budget depended on its answers from all zones,
// two thirds of the budget belonged to nodes that never used it. For a local server the part must depend
// on the zone's answers to this node.
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
			t.Fatal("request was not sent, want one attempt")
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
	// Each local server answers 10 calls a second, and the mean over all servers is 3.3. The budget for a
	// fifth of a second is somewhat more than a fifth of that.
	part := 0.2 * 0.2 * 3 * slowStartBudgetUse
	if got := budget(0); got < 9*part || got > 11*part {
		t.Errorf("a local server in slow start has a budget of %.2f calls, want %.2f", got, 10*part)
	}
	if got := budget(1); got < 3*part || got > 4*part {
		t.Errorf("a remote server in slow start has a budget of %.2f calls, want %.2f", got, 3.3*part)
	}
	// A zone that has just recovered has answered almost nothing. When its budget was its part of the
	// answers of all zones, a fifth of the requests was rejected for ten seconds. While the zone answers
	// less than half of its share, the budget is that share: the mean rate over all servers times the number
	// of zones, or of nodes if there are fewer. From half on, the budget depends on the zone's answers.
	for _, c := range []struct{ zones, nodes, local, want float64 }{
		{3, 300, 0, 10}, {3, 300, 4, 10}, {3, 300, 6, 6}, {3, 300, 10, 10}, {5, 2, 0, 6.7}, {0, 0, 0, 3.3}, {1, 300, 0, 3.3},
	} {
		b.settings.ZoneCount, b.settings.NodeCount = int(c.zones), int(c.nodes)
		b.successRate, b.local.answerRate = rateMeter{100, b.now}, rateMeter{c.local * 10, b.now}
		fade := math.Exp(-0.2 / rateWindow.Seconds())
		if got := budget(0) / part / fade; got < 0.9*c.want || got > 1.1*c.want {
			t.Errorf("%v zones, %v nodes, %v calls a second answered by each local server: the budget is %.1f calls a second, want %.1f", c.zones, c.nodes, c.local, got, c.want)
		}
	}
}

// Servers at capacity decline calls, so nodes send more calls than are answered. A budget based on calls
// sent was exceeded eight times over. It must be based on calls answered.
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
	// From two seconds on the server has 0.36 to 0.52 of the 20 calls a second of the others.
	if maxCalls := 2*20*3*slowStartBudgetUse*0.52 + 1; float64(got) > maxCalls || got < 10 {
		t.Errorf("%d calls were allowed to a server in slow start in two seconds, want 10 to %.0f", got, maxCalls)
	}
}
