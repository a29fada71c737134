package decide

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// setActiveCalls gives a server a closed-to-be window of calls.
func setActiveCalls(s *server, ok, bad float64) { s.active = callCounter{ok, bad} }

func TestSweepEjectsBySuccessRate(t *testing.T) {
	b, _ := start(testSettings(), 10)
	for _, s := range b.ready {
		setActiveCalls(s, 20, 0)
	}
	setActiveCalls(b.ready[3], 11, 9)
	b.sweepOutliers()
	for i, s := range b.ready {
		if s.ejected != (i == 3) {
			t.Errorf("server %d: ejected is %v", i, s.ejected)
		}
	}
	if b.ready[3].ejectionMultiplier != 1 {
		t.Errorf("multiplier is %d", b.ready[3].ejectionMultiplier)
	}
}

func TestSweepNeedsHostsAndVolume(t *testing.T) {
	b, _ := start(testSettings(), 10)
	for _, s := range b.ready[:minimumHosts-1] {
		setActiveCalls(s, 0, 20)
	}
	b.sweepOutliers()
	for _, s := range b.ready[minimumHosts:] {
		setActiveCalls(s, 0, 1)
	}
	b.sweepOutliers()
	if ejectedServers(b) != 0 {
		t.Errorf("%d servers ejected without hosts or volume", ejectedServers(b))
	}
}

func TestEjectionCapAndOneMayGo(t *testing.T) {
	for n, most := range map[int]int{2: 1, 10: 3, 40: 12} {
		b, _ := start(testSettings(), n)
		for _, s := range b.ready {
			b.successRate.add(b.now, 100) // the node as a whole is well
			for range 10 {
				b.recordCall(s, true)
			}
		}
		if ejectedServers(b) != most {
			t.Errorf("%d servers: %d ejected, want %d", n, ejectedServers(b), most)
		}
	}
}

func TestEjectionEndsAndMultiplierFalls(t *testing.T) {
	b, _ := start(testSettings(), 10)
	s := b.ready[0]
	b.eject(s, "test")
	b.eject(s, "test")
	from := b.now
	for b.now < from+2*baseEjectionTime {
		b.sweepOutliers()
		if !s.ejected {
			t.Fatalf("returned after %v, want %v", b.now-from, 2*baseEjectionTime)
		}
		b.now += outlierInterval
	}
	b.now++
	b.sweepOutliers()
	if s.ejected || !s.probation || ejectedServers(b) != 0 {
		t.Fatalf("not returned on probation: %+v", s.outlierState)
	}
	b.now++
	b.sweepOutliers()
	if s.ejectionMultiplier != 1 {
		t.Errorf("multiplier is %d after a sweep in service", s.ejectionMultiplier)
	}
}

// A node among many sends a server a call every few seconds: without carrying
// counts over, its floors would never be met.
func TestThinEvidenceCarriesOver(t *testing.T) {
	b, _ := start(testSettings(), 10)
	for range 3 {
		for i, s := range b.ready {
			if i == 2 {
				s.active.failures += 3
			} else {
				s.active.successes += 3
			}
		}
		b.now += outlierInterval
		b.sweepOutliers()
	}
	if !b.ready[2].ejected || ejectedServers(b) != 1 {
		t.Errorf("ejected: %v, in all %d", b.ready[2].ejected, ejectedServers(b))
	}
}

// When everything fails alike, ejecting servers would only load the rest.
func TestCommonModeEjectsNobody(t *testing.T) {
	b, _ := start(testSettings(), 20)
	for range 200 {
		for _, s := range b.ready {
			b.recordCall(s, b.rng.Float64() < 0.7)
		}
		b.now += 50 * time.Millisecond
	}
	for range 3 {
		b.sweepOutliers()
	}
	if ejectedServers(b) > 1 {
		t.Errorf("%d of 20 servers ejected while 70%% fail everywhere", ejectedServers(b))
	}
}

func TestRunOfFailuresIsJudgedBetweenSweeps(t *testing.T) {
	b, _ := start(testSettings(), 20)
	for range 200 {
		for _, s := range b.ready {
			b.recordCall(s, false)
		}
	}
	bad := b.ready[5]
	for range 4 {
		b.recordCall(bad, true)
	}
	if !bad.ejected {
		t.Error("four failures in a row on a healthy node, and still in service")
	}
}

func TestRestartedServerStartsClean(t *testing.T) {
	b, _ := start(testSettings(), 10)
	s := b.ready[0]
	b.eject(s, "test")
	e := s.Server
	e.StartedAt = b.now
	b.UpdateEndpoints(b.now, UpdateDelta, []Server{e})
	if s.ejected || ejectedServers(b) != 0 || b.slowStartFactor(s) == 1 {
		t.Errorf("after a restart: ejected %v, count %d, warmth %v", s.ejected, ejectedServers(b), b.slowStartFactor(s))
	}
	e.State = Gone
	b.UpdateEndpoints(b.now, UpdateDelta, []Server{e})
	if b.serversByID[e.ID] != nil || len(b.ready) != 9 {
		t.Error("a gone server is still known")
	}
	e.State = Ready
	b.UpdateEndpoints(b.now, UpdateDelta, []Server{e})
	if len(b.ready) != 10 {
		t.Error("a server that came back is not used")
	}
}

// A server just started looks idle; all nodes pouring in would push it over.
func TestColdServerGetsItsShareOnly(t *testing.T) {
	set := testSettings()
	b, tape := start(set, 9)
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
	tape.sends = nil
	for range 400 { // two seconds, 200 requests each
		b.now += 5 * time.Millisecond
		serve()
	}
	got := 0
	for _, s := range tape.sends {
		if s.server == 99 {
			got++
		}
	}
	// Its peers carry 20 a second; it starts at a fifth of that and has 0.36 of
	// it after two seconds. Three times that may be sent, of which
	// coldMargin is used.
	if float64(got) > 2*20*3*slowStartBudgetUse*0.28+1 {
		t.Errorf("%d of 400 calls went to a server at a fifth of its capacity", got)
	}
	// A node that its fleet does not count has no part of it, whatever it had saved up.
	b.SetFleetPosition(3, 4, 1)
	tape.sends = nil
	for range 400 {
		b.now += 5 * time.Millisecond
		serve()
	}
	if slices.ContainsFunc(tape.sends, func(s sendCall) bool { return s.server == 99 }) {
		t.Error("a node without a part sent to a cold server beside nine warm ones")
	}
}

// During a release half of the fleet may be cold and carries less: a share of
// the calls answered that counted them as whole kept them from taking any.
func TestColdBudgetCountsWarmServers(t *testing.T) {
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
	cold := b.serversByID[50]
	cold.slowStartTokens = 0
	b.now += 200 * time.Millisecond
	b.slowStartAllows(cold)
	// The warm ones answer more than 8 calls a second each, of which a fifth of
	// three times coldMargin is free to send, for a fifth of a second.
	if want := 0.2 * 8 * 0.2 * 3 * slowStartBudgetUse * 0.8; cold.slowStartTokens < want {
		t.Errorf("a cold server has a budget of %.2f calls, want %.2f", cold.slowStartTokens, want)
	}
}

// Nodes keep to their own zone: where each had a part of a cold server's budget after its
// answers from all zones, two thirds lay with nodes that never came, and it stood idle
// beside full ones.
func TestColdBudgetFollowsTheZone(t *testing.T) {
	b, _ := start(testSettings(), 0)
	var list []Server
	for id := range ServerID(30) {
		list = append(list, Server{ID: id + 1, Zone: int(id % 3), State: Ready, Capacity: 1})
	}
	b.UpdateEndpoints(b.now, UpdateFull, list)
	for id := RequestID(1); id <= 1000; id++ { // 100 a second, in the own zone
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
		t.Errorf("a cold server of the own zone has a budget of %.2f calls, want %.2f", got, 10*part)
	}
	if got := budget(1); got < 3*part || got > 4*part {
		t.Errorf("one of another zone has a budget of %.2f calls, want %.2f", got, 3.3*part)
	}
	// A zone that is just back has answered next to nothing: it had a budget of its part of the
	// answers of all zones, and for ten seconds a fifth of the requests was refused. Its nodes
	// share all of it, and no more than there are nodes; half of it answered, they go by that.
	for _, c := range []struct{ zones, nodes, near, want float64 }{
		{3, 300, 0, 10}, {3, 300, 4, 10}, {3, 300, 6, 6}, {3, 300, 10, 10}, {5, 2, 0, 6.7}, {0, 0, 0, 3.3}, {1, 300, 0, 3.3},
	} {
		b.settings.ZoneCount, b.settings.NodeCount = int(c.zones), int(c.nodes)
		b.successRate, b.local.answerRate = rateMeter{100, b.now}, rateMeter{c.near * 10, b.now}
		fade := math.Exp(-0.2 / rateWindow.Seconds())
		if got := budget(0) / part / fade; got < 0.9*c.want || got > 1.1*c.want {
			t.Errorf("%v zones, %v nodes, %v calls answered by each of the zone's: a budget of %.1f calls a second, want %.1f", c.zones, c.nodes, c.near, got, c.want)
		}
	}
}

// A zone that refuses all connections at once leaves too many failures for any server to be
// ejected: each request made its three attempts there, as crossing has a price, and was
// refused. Servers that take no connection are left alone for a while, and come back.
func TestZoneThatTakesNoConnection(t *testing.T) {
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

// A server that took no connection may have begun anew, which only the list says, and later:
// all nodes at once took such for as warm as before. Three connections in a row that never came
// up, or one where no watch stands, say as much of their zone; refusals of a few servers do not.
func TestServerThatWasAwayMayBeCold(t *testing.T) {
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

// The first call to discovery was made at one and the same moment, askShare of AskWithin after
// the start, by all nodes past the first two dozen: of 300 that began at once 276 were told of
// restarts six seconds late, or not served.
func TestFirstCallsAreSpread(t *testing.T) {
	at := make(map[time.Duration]int)
	for i := range 300 {
		set := testSettings()
		set.NodeIndex, set.NodeCount, set.PollDiscovery = i, 300, true
		_, tape := start(set, 1)
		for _, w := range tape.timers {
			if w.token == timerDiscoveryPoll {
				at[(w.at-100*second).Truncate(100*time.Millisecond)]++
			}
		}
	}
	calls := 0
	for when, n := range at {
		if calls += n; n > 20 || when > firstPollSpread {
			t.Errorf("%d first calls within a tenth of a second, %v after the start", n, when)
		}
	}
	if calls != 300 {
		t.Errorf("%d first calls of 300 nodes", calls)
	}
}

// Where full servers turn calls away, more is sent than anyone carries: a cold
// server's budget that went by calls sent was exceeded eight times.
func TestColdBudgetGoesByCallsAnswered(t *testing.T) {
	b, _ := start(testSettings(), 9)
	b.UpdateEndpoints(b.now, UpdateDelta, []Server{{ID: 99, State: Ready, Capacity: 1, StartedAt: b.now}})
	cold := b.serversByID[99]
	got := 0
	for ms := range 4000 {
		b.now += time.Millisecond
		b.sendRate.add(b.now, 1) // 1000 a second are sent, 200 answered
		if ms%5 == 0 {
			b.recordCall(b.ready[0], false)
		}
		if ms >= 2000 && b.slowStartAllows(cold) {
			cold.slowStartTokens--
			got++
		}
	}
	// From two seconds on it has 0.36 to 0.52 of the 20 a second of its peers.
	if most := 2*20*3*slowStartBudgetUse*0.52 + 1; float64(got) > most || got < 10 {
		t.Errorf("%d calls to a cold server in two seconds, want 10 to %.0f", got, most)
	}
}

func TestNoServerRefusesAtOnce(t *testing.T) {
	b, tape := start(testSettings(), 0)
	b.Arrive(b.now, Request{ID: 1, Deadline: b.now + second})
	if tape.rejected[1] != 1 || len(tape.sends) != 0 {
		t.Errorf("refused %d times, %d sends", tape.rejected[1], len(tape.sends))
	}
}

func TestAbsurdInputIsAnswered(t *testing.T) {
	tape := newEffectLog()
	b := New(Settings{}, 0, 0, tape)
	b.UpdateEndpoints(0, UpdateFull, []Server{{ID: 1, State: Ready, Capacity: -1, StartedAt: 1 << 60}, {ID: 2, State: Ready}})
	b.Arrive(0, Request{ID: 1, Class: 9})
	b.AttemptFinished(0, Outcome{ID: 5, Attempt: -1})
	b.SetDeadline(0, 5, 70000)
	b.TimerFired(0, 1<<63)
	if tape.rejected[1] != 1 {
		t.Error("a request of no known class is not refused")
	}
	b, tape = start(testSettings(), 3)
	b.Arrive(b.now-time.Hour, Request{ID: 1, Deadline: b.now - second})
	if tape.rejected[1] != 1 {
		t.Error("a request past its deadline is not refused")
	}
}

// An overloaded fleet sheds what is worth least, and not for a passing peak
// what is worth most.
func TestOverloadShedsLowWorthFirst(t *testing.T) {
	set := testSettings()
	set.MaxAttempts = 1
	b, tape := start(set, 6)
	id, low, high := RequestID(0), 0, 0
	type call struct {
		id RequestID
		at time.Duration
	}
	var out []call
	for step := range 3000 {
		b.now += 5 * time.Millisecond
		for b.tickDue(tape) {
		}
		id++
		class := step % 2
		b.Arrive(b.now, Request{ID: id, Class: class, Deadline: b.now + second})
		if tape.rejected[id] > 0 {
			if class == 0 {
				low++
			} else {
				high++
			}
		} else {
			// The more is out, the longer each takes: past its aim from 120 on.
			out = append(out, call{id, b.now + 60*time.Millisecond + time.Duration(len(out))*4*time.Millisecond})
		}
		keep := out[:0]
		for _, c := range out {
			if b.now >= c.at {
				b.AttemptFinished(b.now, Outcome{ID: c.id, Result: OK, Final: true})
			} else {
				keep = append(keep, c)
			}
		}
		out = keep
	}
	if low == 0 || high > low/4 {
		t.Errorf("refused %d of low worth and %d of high worth", low, high)
	}
}

// tickDue fires one due timer of the tape, if any.
func (b *Balancer) tickDue(t *effectLog) bool {
	for i, w := range t.timers {
		if w.at <= b.now {
			t.timers = append(t.timers[:i], t.timers[i+1:]...)
			b.TimerFired(b.now, w.token)
			return true
		}
	}
	return false
}

// All nodes start in one step, and discovery serves few lines a second.
func TestFirstCallsToDiscoveryAreSpread(t *testing.T) {
	set := testSettings()
	set.PollDiscovery = true
	seen := map[time.Duration]int{}
	for i := range 30 {
		set.NodeIndex = i
		tape := newEffectLog()
		b := New(set, uint64(i), 0, tape)
		for _, w := range tape.timers {
			if w.token != timerDiscoveryPoll {
				continue
			}
			seen[w.at/second]++
			if w.at > set.PollPeriod {
				t.Errorf("node %d asks after %v", i, w.at)
			}
			b.TimerFired(w.at, w.token)
			b.TimerFired(w.at, w.token)
			if tape.watches != 1 {
				t.Errorf("node %d: %d calls", i, tape.watches)
			}
			b.UpdateEndpoints(w.at, UpdateFailed, nil)
			again := tape.timers[len(tape.timers)-1]
			if again.token != timerDiscoveryPoll || again.at <= w.at {
				t.Errorf("node %d does not ask again", i)
			}
		}
	}
	for s, n := range seen {
		if n > 12 {
			t.Errorf("%d of 30 first calls in second %d", n, s)
		}
	}
}

// The same key goes to the same servers from every node, a hot one to more.
func TestKeysKeepToTheirServers(t *testing.T) {
	set := testSettings()
	set.KeyAffinity = true
	used := map[ServerID]bool{}
	for seed := range uint64(5) {
		tape := newEffectLog()
		b := New(set, seed, 0, tape)
		b.UpdateEndpoints(0, UpdateCached, servers(60))
		for i := range 20 {
			id := RequestID(i)
			b.now += 200 * time.Millisecond
			b.Arrive(b.now, Request{ID: id, Key: 77, Deadline: b.now + second})
			b.AttemptFinished(b.now+50*time.Millisecond, Outcome{ID: id, Result: OK, Final: true})
		}
		for _, s := range tape.sends {
			used[s.server] = true
		}
	}
	if len(used) > 25 {
		t.Errorf("100 calls for one key from 5 nodes met %d servers of 60", len(used))
	}
}

// One node among many sends a server so little that it rarely has another
// answer during a time-out: overload must show in the first one all the same,
// while a server that goes on failing must not pass for overload.
func TestThinNodeFeelsOverload(t *testing.T) {
	b, _ := start(testSettings(), 10)
	s := b.ready[0]
	timeOut := func(id RequestID) float64 {
		before := b.latencyPressure
		r := &request{Request: Request{ID: id}, attempts: []attempt{{server: s, sentAt: b.now, expectedLatency: second, inFlight: true}}}
		b.now += second
		b.recordOutcome(r, &r.attempts[0], Outcome{ID: id, Result: TimedOut})
		return b.latencyPressure - before
	}
	if timeOut(1) <= 0 {
		t.Error("a first time-out left the overload signal where it was")
	}
	if timeOut(2) > 0 {
		t.Error("a second time-out in a row at one server counted as overload")
	}
}

// A full server turns calls away within a millisecond; with its own calls gone
// it looks idle, and under overload it drew most of the traffic.
func TestFullServerRests(t *testing.T) {
	b, tape := start(testSettings(), 6)
	full := b.ready[0].ID
	sent := 0
	for id := RequestID(1); id <= 60; id++ {
		b.now += time.Millisecond
		tape.sends = nil
		b.classes[0].meanLatency = float64(100 * time.Millisecond)
		b.Arrive(b.now, Request{ID: id, Deadline: b.now + second})
		for n := 0; n < len(tape.sends); n++ {
			o := Outcome{ID: id, Attempt: n, Result: OK, Final: true}
			if tape.sends[n].server == full {
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

// A node started under overload multiplied its first latencies into an
// expectation of many seconds, and never came back to its servers.
func TestExpectedLatencyStaysWithinTheAim(t *testing.T) {
	b, _ := start(testSettings(), 6)
	s := b.ready[0]
	for range 50 {
		a := attempt{server: s, sentAt: b.now, expectedLatency: time.Millisecond, inFlight: true}
		b.recordLatency(&request{}, &a, float64(100*time.Millisecond), false)
	}
	if got := time.Duration(b.classes[0].meanLatency); got > b.settings.Classes[0].LatencyObjective {
		t.Errorf("a class with an aim of %v is expected to take %v", b.settings.Classes[0].LatencyObjective, got)
	}
}

// Clients refused under overload come back with little of their patience left,
// too late for the aim; a fifth of the fleet's work went into such tries.
func TestTryTooLateForItsAimIsNotSent(t *testing.T) {
	const usual = time.Second
	for name, c := range map[string]struct {
		window  float64
		left    time.Duration
		sent    int
		timeout time.Duration
	}{
		"first try":               {1e6, usual, 1, 400 * time.Millisecond},
		"come back too late":      {1e6, 450 * time.Millisecond, 0, 0},
		"come back in time":       {1e6, 1400 * time.Millisecond, 1, 300 * time.Millisecond},
		"less left than it takes": {1e6, 1250 * time.Millisecond, 0, 0},
		"late, but no overload":   {0, 450 * time.Millisecond, 1, 400 * time.Millisecond},
	} {
		set := testSettings()
		set.Classes[0].LatencyObjective, set.Classes[0].Deadline = 400*time.Millisecond, 1500*time.Millisecond
		set.MaxRetryAfter = 2 * second
		b, tape := start(set, 6)
		for id := RequestID(1); id <= 20; id++ {
			b.Arrive(b.now, Request{ID: id, Deadline: b.now + usual})
			b.AttemptFinished(b.now, Outcome{ID: id, Result: OK, Final: true})
		}
		b.concurrencyLimit, tape.sends = c.window, nil
		b.classes[0].meanLatency = float64(200 * time.Millisecond)
		b.Arrive(b.now, Request{ID: 99, Deadline: b.now + c.left})
		if len(tape.sends) != c.sent || c.sent == 1 && tape.sends[0].timeout != c.timeout {
			t.Errorf("%s: sent %+v, want %d with a time-out of %v", name, tape.sends, c.sent, c.timeout)
		}
		if got := tape.rejected[99]; got != 1-c.sent {
			t.Errorf("%s: refused %d times on arrival, want %d", name, got, 1-c.sent)
		}
		if c.sent == 1 { // its aim passes: given up, and not held until its deadline
			b.AttemptFinished(b.now+c.timeout, Outcome{ID: 99, Result: TimedOut})
		}
		if tape.rejected[99] != 1 || tape.retryAfters[len(tape.retryAfters)-1] != set.MaxRetryAfter {
			t.Errorf("%s: refused %d times, told to stay away for %v", name, tape.rejected[99], tape.retryAfters)
		}
		b.TimerFired(b.now+c.left, 99<<4|timerDeadline)
		if tape.rejected[99] != 1 {
			t.Errorf("%s: %d answers after its deadline", name, tape.rejected[99])
		}
	}
}

// A refused client is told when to come back: soon while its aim lies ahead, and
// never for longer than clients follow, or not at all where none may be told.
func TestRefusalTellsWhenToComeBack(t *testing.T) {
	for most, want := range map[time.Duration]time.Duration{
		0: 0, 50 * time.Millisecond: 50 * time.Millisecond, 2 * second: 125 * time.Millisecond,
	} {
		set := testSettings()
		set.MaxRetryAfter = most
		b, tape := start(set, 0)
		b.Arrive(b.now, Request{ID: 1, Deadline: b.now + second})
		if len(tape.retryAfters) != 1 || tape.retryAfters[0] != want {
			t.Errorf("at most %v: told %v, want %v", most, tape.retryAfters, want)
		}
	}
}

// A node among many that spread over the whole fleet heard from a server once
// in seconds, could judge none, and opened a connection for every other call.
func TestNodeKeepsToServersItKnows(t *testing.T) {
	set := testSettings()
	set.IdleTimeout = 10 * second
	b, tape := start(set, 100)
	used := map[ServerID]bool{}
	for id := RequestID(1); id <= 400; id++ {
		b.refreshWeights()
		b.Arrive(b.now, Request{ID: id, Deadline: b.now + second})
		b.now += time.Duration(b.classes[0].meanLatency) // no server is faster
		b.AttemptFinished(b.now, Outcome{ID: id, Result: OK, Final: true})
		used[tape.sends[len(tape.sends)-1].server] = true
	}
	if len(used) > 40 {
		t.Errorf("one call at a time went to %d of 100 servers", len(used))
	}
	// With every known server ejected the others must serve.
	tape.sends = nil
	for id := range used {
		b.serversByID[id].ejected = true
	}
	b.refreshWeights()
	b.Arrive(b.now, Request{ID: 999, Deadline: b.now + second})
	if len(tape.sends) != 1 || used[tape.sends[0].server] {
		t.Errorf("with all known servers ejected: %+v", tape.sends)
	}
}

// In a release every new server is without connections: drawn as seldom as any
// unconnected one, they stayed idle while the last old ones were overrun.
func TestNewServersAreDrawnWithoutConnection(t *testing.T) {
	set := testSettings()
	set.IdleTimeout, set.OverloadMultiple = 10*second, 1e6 // no budget stands in the way here
	b, tape := start(set, 100)
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
	fresh := 0
	for _, s := range tape.sends {
		if s.server >= 1000 {
			fresh++
		}
	}
	// They have about a tenth of the capacity; without the exemption none went there.
	if fresh < 20 {
		t.Errorf("%d of 400 calls went to the 50 new servers", fresh)
	}
}

// Where servers have room for two or three calls, some are full at any time;
// that was taken for overload, and a third of the requests was refused.
func TestFullServersAreTriedElsewhere(t *testing.T) {
	b, tape := start(testSettings(), 6)
	b.retryBudget = 0
	for id := RequestID(1); id <= 40; id++ {
		b.now += 200 * time.Millisecond
		tape.sends = nil
		b.Arrive(b.now, Request{ID: id, Class: 2, Deadline: b.now + second})
		b.AttemptFinished(b.now, Outcome{ID: id, Result: Overloaded})
		if len(tape.sends) != 2 {
			t.Fatalf("request %d, turned away as full, was sent %d times", id, len(tape.sends))
		}
		b.AttemptFinished(b.now, Outcome{ID: id, Attempt: 1, Result: OK, Final: true})
	}
	if b.latencyPressure > 0 {
		t.Errorf("full servers beside free ones gave an overload signal of %.2f", b.latencyPressure)
	}
	for id := RequestID(50); id <= 90; id++ { // now all are full
		b.now += 200 * time.Millisecond
		b.Arrive(b.now, Request{ID: id, Deadline: b.now + second})
		for n := range 3 {
			b.AttemptFinished(b.now, Outcome{ID: id, Attempt: n, Result: Overloaded})
		}
		if tape.rejected[id] != 1 {
			t.Fatalf("request %d has %d answers", id, tape.rejected[id])
		}
	}
	if b.latencyPressure < targetPressure {
		t.Errorf("a full fleet gave an overload signal of %.2f only", b.latencyPressure)
	}
}

// A fleet that lost half its speed answered late for as long as that lasted:
// the window stood at what was out, which was itself too much.
func TestWindowGoesBelowWhatIsOutWhereMostIsLate(t *testing.T) {
	for fill, most := range map[float64]float64{0.3: 100, 0.8: 45} {
		b, _ := start(testSettings(), 6)
		b.concurrencyLimit, b.smoothedInFlight, b.local.inFlight = 200, 100, 100
		for range 100 {
			b.latencyPressure = fill
			b.updateConcurrencyLimit()
		}
		if b.concurrencyLimit > most || b.concurrencyLimit < most/2 {
			t.Errorf("signal %.1f with 100 calls out: window of %.0f, want %.0f at most", fill, b.concurrencyLimit, most)
		}
	}
}

// A request that streams has one attempt, no second copy, and no end until its last byte
// has gone: then its clocks start.
func TestStreamHasOneAttemptFromItsLastByte(t *testing.T) {
	set := testSettings()
	set.Hedging, set.Classes[1].DedupScope = true, DedupAll
	b, tape := start(set, 6)
	far := b.now + time.Hour
	b.Arrive(b.now, Request{ID: 1, Class: 1, Deadline: far, Streaming: true})
	if len(tape.sends) != 1 || tape.sends[0].timeout != time.Hour {
		t.Fatalf("on arrival: %+v", tape.sends)
	}
	b.TimerFired(b.now+10*second, 1<<4|timerHedge)
	b.TimerFired(b.now, 1<<4|timerDeadline)
	due := b.now + 2*second
	if got := b.SetDeadline(b.now, 1, due); got != set.Classes[1].LatencyObjective {
		t.Errorf("from its last byte on it has %v", got)
	}
	b.AttemptFinished(b.now+set.Classes[1].LatencyObjective/2, Outcome{ID: 1, Result: ConnectFailed})
	if len(tape.sends) != 1 || tape.rejected[1] != 1 || len(b.requests) != 0 {
		t.Errorf("%d sends, refused %v, %d held", len(tape.sends), tape.rejected, len(b.requests))
	}
	b.Arrive(b.now, Request{ID: 2, Class: 2, Deadline: far, Streaming: true})
	b.SetDeadline(b.now, 2, due)
	b.TimerFired(due, 2<<4|timerDeadline)
	if tape.failed[2] != 1 || len(tape.cancels) != 1 {
		t.Errorf("after its deadline: %+v", tape)
	}
	if b.SetDeadline(b.now, 9, due) != 0 || b.SetDeadline(b.now, 1, due) != 0 {
		t.Error("a request that is not there was written")
	}
}

// Absurd input must not bring a node down, and every request gets its answer.
func TestAbsurdInput(t *testing.T) {
	for name, set := range map[string]Settings{
		"zero settings": {Classes: []Class{{}}},
		"negative":      {NodeIndex: -1, NodeCount: -3, Classes: []Class{{LatencyObjective: -second, DedupWindow: -second}}, MaxAttempts: -1, OverloadMultiple: -2, SlowStartShare: -1, SlowStartWindow: -second, IdleTimeout: -second},
		"usual":         testSettings(),
	} {
		tape := newEffectLog()
		b := New(set, 3, 50*second, tape)
		b.UpdateEndpoints(b.now, UpdateFull, []Server{
			{ID: 1, State: Ready, Capacity: -1, StartedAt: b.now + 1000*second},
			{ID: 2, State: ServerState(9)},
			{ID: 2, State: Ready, Zone: -4, Cell: 1 << 20},
			{ID: 3, State: Gone},
		})
		for id := RequestID(1); id <= 50; id++ { // time stands still, or goes back
			b.Arrive(b.now-second, Request{ID: id, Class: int(id)%3 - 1, WorkHint: -second, Deadline: b.now - second})
			b.Arrive(b.now, Request{ID: id + 100, Key: uint64(id), Deadline: b.now + second})
			b.AttemptFinished(0, Outcome{ID: id + 100, Attempt: int(id) - 2, Result: Result(id % 8), Final: id%8 == 0})
			b.TimerFired(0, uint64(id))
		}
		for id := range RequestID(151) {
			b.TimerFired(b.now+second, uint64(id)<<4|timerDeadline)
		}
		for id := RequestID(1); id <= 50; id++ {
			if got := tape.rejected[id] + tape.failed[id]; got != 1 {
				t.Errorf("%s: request %d has %d answers", name, id, got)
			}
		}
	}
}

// A thin node hears from a server less than once in the time of a call. Where
// a first time-out weighed less for want of another answer, such nodes shed a
// sixth where twice as much was due, and a fifth of all attempts timed out.
// Further ones at a server that has answered nobody since are its own fault.
func TestFirstTimeOutCountsInFull(t *testing.T) {
	for _, c := range []struct {
		run   int
		alive bool
		want  float64
	}{{0, false, weightedTimeoutPressure}, {0, true, weightedTimeoutPressure}, {1, false, 0}, {1, true, weightedTimeoutPressure}} {
		b, _ := start(testSettings(), 6)
		b.Arrive(b.now, Request{ID: 1, Deadline: b.now + second})
		s := b.requests[1].attempts[0].server
		s.consecutiveFailures = c.run
		b.now += second / 2
		if c.alive {
			s.lastResponseAt = b.now
		}
		b.AttemptFinished(b.now, Outcome{ID: 1, Result: TimedOut})
		if want := c.want * pressureGain; b.latencyPressure < want-1e-9 || b.latencyPressure > want+1e-9 {
			t.Errorf("run of %d, sign of life %v: signal %.3f, want %.3f", c.run, c.alive, b.latencyPressure, want)
		}
	}
}

// Where much of the traffic comes in at a zone with few servers, its nodes kept
// to those by the price of crossing and by their keys, and shed a third of the
// requests while the other zone stood idle.
func TestCrowdedZoneSpillsOverWhileShedding(t *testing.T) {
	for _, c := range []struct {
		name     string
		window   float64
		stretch  float64 // of the own zone's servers
		crossing bool    // what must be chosen
	}{
		{"not shedding", 0, 2, false},
		{"shedding, zones alike", 5, 1, false},
		{"shedding, own zone slow", 5, 2, true},
	} {
		set := testSettings()
		set.KeyAffinity, set.CrossZoneCost = true, 0.06
		b, _ := start(set, 20)
		for _, s := range b.local.servers {
			s.latencyRatio, s.latencyRatioAt = c.stretch, b.now
		}
		b.refreshWeights()
		b.concurrencyLimit = c.window
		r := &request{Request: Request{ID: 1, Deadline: b.now + second}, objectiveAt: b.now + second}
		expect := b.expectedLatency(r)
		own := b.cost(r, b.local.servers[0], expect, true)
		other := b.cost(r, b.remote.servers[0], expect, false)
		if c.crossing != (other < own) {
			t.Errorf("%s: own zone with the key costs %.4f, crossing %.4f", c.name, own, other)
		}
	}
}

// Nodes with two calls out on average refused a fifth by chance alone: a count
// that has doubled for a moment says nothing there, but much where calls are many.
func TestFewCallsAreSmoothedLonger(t *testing.T) {
	for _, c := range []struct{ calls, least, most float64 }{{2, 0.05, 0.2}, {40, 0.25, 0.35}} {
		b, _ := start(testSettings(), 5)
		b.smoothedInFlight, b.local.inFlight = c.calls, int(2*c.calls)
		b.updateConcurrencyLimit()
		if rise := (b.smoothedInFlight - c.calls) / c.calls; rise < c.least || rise > c.most {
			t.Errorf("%v calls: level rose by %.2f of the rise in calls", c.calls, rise)
		}
	}
}

// Refused clients came back three times within their aim. The waits of further
// tries, three times as many, passed for the usual one, and late tries for new.
func TestFirstTriesSetTheUsualWaitInAStorm(t *testing.T) {
	set := testSettings()
	set.Classes[0].Deadline = 1200 * time.Millisecond
	b, _ := start(set, 6)
	id := RequestID(0)
	for ; id < 20; id++ { // before the storm
		b.Arrive(b.now, Request{ID: id, Deadline: b.now + 1200*time.Millisecond})
	}
	for range 60 {
		for _, left := range []time.Duration{1200, 1040, 880, 720} {
			id++
			b.Arrive(b.now, Request{ID: id, Deadline: b.now + left*time.Millisecond})
		}
	}
	b.concurrencyLimit = 1e6
	c := &b.classes[0]
	if c.clientTimeout != 1200*time.Millisecond || c.clientTimeoutVotes < clientTimeoutTrusted {
		t.Fatalf("usual wait is %v with %d votes", c.clientTimeout, c.clientTimeoutVotes)
	}
	r := &request{Request: Request{Deadline: b.now + 880*time.Millisecond}}
	if age := b.requestAge(r); age != 320*time.Millisecond {
		t.Errorf("a third try is %v old, want 320 ms", age)
	}
}

// Late tries are cut at what is left of their aim, and many time out for it: a
// node that took that for overload shed on with the fleet at rest.
func TestTimeOutCutShortIsNoOverload(t *testing.T) {
	for waited, counts := range map[time.Duration]bool{100 * time.Millisecond: false, 500 * time.Millisecond: true} {
		b, _ := start(testSettings(), 6)
		b.Arrive(b.now, Request{ID: 1, Deadline: b.now + second})
		b.AttemptFinished(b.now+waited, Outcome{ID: 1, Result: TimedOut})
		if counts != (b.latencyPressure > 0) {
			t.Errorf("after %v: signal is %.3f", waited, b.latencyPressure)
		}
	}
}

// A wide day lost one answer in ten while the rest took a twentieth of their
// aim. Each lost one passed for load: half of the requests were refused.
func TestLostAnswersAreNoOverload(t *testing.T) {
	for took, shed := range map[time.Duration]bool{10 * time.Millisecond: false, 300 * time.Millisecond: true} {
		set := testSettings()
		b, tape := start(set, 6)
		b.classes[0].unloadedLatency = float64(10 * time.Millisecond)
		id := RequestID(0)
		for range 400 {
			id++
			b.Arrive(b.now, Request{ID: id, Deadline: b.now + second})
			if id%10 == 0 {
				b.AttemptFinished(b.now+set.Classes[0].LatencyObjective, Outcome{ID: id, Result: TimedOut})
			} else {
				b.AttemptFinished(b.now+took, Outcome{ID: id, Result: OK, Final: true})
			}
			b.updateConcurrencyLimit()
		}
		if got := strings.Contains(strings.Join(tape.logs, " "), "shedding begins"); got != shed {
			t.Errorf("answers after %v: shedding is %v, signal %.2f", took, got, b.latencyPressure)
		}
	}
}

// With answers coming quickly, one that does not come by two thirds of its time
// is asked for a second time, where the class allows it; the server that lost it
// is charged with a failure once the copy is answered.
func TestSecondCopyOfALostAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		class int
		crowd float64
		sends int
	}{
		"free":        {0, 0, 2},
		"guarded":     {1, 0, 2},
		"single shot": {2, 0, 1},
		"crowded":     {0, overloadSignal, 1},
		"node behind": {0, 0, 1},
	} {
		set := testSettings()
		set.Hedging = true
		set.Classes[1].DedupScope = DedupAll
		b, tape := start(set, 6)
		b.latencySignal = c.crowd
		b.classes[c.class].meanLatency = float64(20 * time.Millisecond)
		b.Arrive(b.now, Request{ID: 1, Class: c.class, Deadline: b.now + second})
		lost := b.requests[1].attempts[0].server
		late := b.now + set.Classes[c.class].LatencyObjective*2/3
		due := slices.ContainsFunc(tape.timers, func(w timer) bool { return w == timer{late, 1<<4 | timerHedge} })
		if name == "node behind" {
			late += 2 * maxHedgeTimerDelay
		}
		b.TimerFired(late, 1<<4|timerHedge)
		if !due || len(tape.sends) != c.sends {
			t.Errorf("%s: due in time: %v, sent %d times, want %d", name, due, len(tape.sends), c.sends)
		}
		if c.sends < 2 {
			continue
		}
		b.AttemptFinished(late+10*time.Millisecond, Outcome{ID: 1, Attempt: 1, Result: OK, Final: true})
		b.AttemptFinished(late+10*time.Millisecond, Outcome{ID: 1, Attempt: 0, Result: Cancelled, Final: true})
		if lost.consecutiveFailures != 1 || len(b.requests) != 0 {
			t.Errorf("%s: the server that lost it has a run of %d failures, %d requests held", name, lost.consecutiveFailures, len(b.requests))
		}
	}
}

// A server that another planned is taken for the first attempt, past the node's own
// shedding and its own part of a cold server's budget, and never against the list,
// an ejection or the rules on repeats. What follows is the node's own choice.
func TestPlannedServer(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Balancer, *server)
		taken  bool
	}{
		"ready":    {func(*Balancer, *server) {}, true},
		"shedding": {func(b *Balancer, _ *server) { b.concurrencyLimit, b.local.inFlight = 1, 1000 }, true},
		"cold": {func(b *Balancer, s *server) {
			s.StartedAt, s.slowStartTokens, s.slowStartTokensAt = b.now, -5, b.now
		}, true},
		"draining": {func(_ *Balancer, s *server) { s.State = Draining }, false},
		"ejected":  {func(_ *Balancer, s *server) { s.ejected = true }, false},
		"full":     {func(b *Balancer, s *server) { s.overloadedUntil = b.now + second }, false},
		"unknown":  {func(b *Balancer, s *server) { delete(b.serversByID, s.ID) }, false},
	} {
		for class := range 3 {
			b, tape := start(testSettings(), 6)
			s := b.serversByID[4]
			c.change(b, s)
			b.Arrive(b.now, Request{ID: 1, Class: class, Deadline: b.now + second, PlannedServer: 4})
			if len(tape.sends) == 0 {
				t.Fatalf("%s, class %d: nothing was sent", name, class)
			}
			if taken := tape.sends[0].server == 4; c.taken && !taken {
				t.Errorf("%s, class %d: sent to %d", name, class, tape.sends[0].server)
			}
			if !c.taken && name != "unknown" && tape.sends[0].server == 4 {
				t.Errorf("%s, class %d: the plan was taken", name, class)
			}
			if !c.taken {
				continue
			}
			b.AttemptFinished(b.now, Outcome{ID: 1, Result: Overloaded})
			if len(tape.sends) != 2 || tape.sends[1].server == 4 {
				t.Errorf("%s, class %d: after it was full: %+v", name, class, tape.sends)
			}
		}
	}
}

// A node that begins has a list of unknown age: its own zone may have begun anew beside it, cold.
// Seventy such nodes at once pushed servers over before any of them had an answer. One call at a
// time goes there until the zone's answers are as quick as those of others.
func TestNodeThatBeginsTriesItsZoneFirst(t *testing.T) {
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

// A request whose node ends before its deadline is answered by then, as what became of it
// allows: refused where nothing ran, failed where it may have.
func TestNodeThatEndsBringsDeadlinesForward(t *testing.T) {
	set := testSettings()
	for i := range set.Classes {
		set.Classes[i].LatencyObjective = 20 * second
	}
	b, tape := start(set, 6)
	b.Arrive(b.now, Request{ID: 1, Class: 0, Deadline: b.now + 20*second})
	b.Arrive(b.now, Request{ID: 2, Class: 2, Deadline: b.now + 20*second})
	by := b.now + second
	for id := RequestID(1); id <= 2; id++ {
		if got := b.SetDeadline(b.now, id, by); got != second {
			t.Errorf("request %d has %v left", id, got)
		}
		if !slices.ContainsFunc(tape.timers, func(w timer) bool { return w.token == uint64(id)<<4|timerDeadline && w.at == by }) {
			t.Errorf("request %d is not woken for", id)
		}
	}
	b.TimerFired(by, 1<<4|timerDeadline)
	b.TimerFired(by, 2<<4|timerDeadline)
	if tape.rejected[1] != 1 || tape.failed[2] != 1 || len(tape.cancels) != 2 {
		t.Errorf("refused %v, failed %v, %d called off", tape.rejected, tape.failed, len(tape.cancels))
	}
}

// A server that was never connected to has no connection, however early on the clock it is.
func TestNoConnectionBeforeTheFirst(t *testing.T) {
	set := testSettings()
	set.IdleTimeout = 10 * second
	b := New(set, 1, 0, newEffectLog())
	b.UpdateEndpoints(0, UpdateCached, servers(2))
	b.Arrive(second, Request{ID: 1, Deadline: 2 * second})
	if b.hasIdleConnection(b.ready[0]) || b.hasIdleConnection(b.ready[1]) {
		t.Fatal("linked before anything was answered")
	}
	b.AttemptFinished(second, Outcome{ID: 1, Result: OK, Final: true})
	if b.hasIdleConnection(b.ready[0]) == b.hasIdleConnection(b.ready[1]) {
		t.Error("not one of two is linked after one answer")
	}
}
