package fleetsim

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"jasperpin/decide"
)

// Scenario is the load and the failures of a run with hundreds of nodes: load that is thin and uneven,
// replaced servers, restarted nodes, network partitions, lost answers. At, For and Over are times of the
// run: the start of a failure, its duration, and the time over which its steps are spread. Part is a share of
// all nodes, servers or answers. The zero value is a run without failures.
type Scenario struct {
	// UnevenLoad sends some nodes several times the mean load.
	UnevenLoad bool
	// Replace drains servers in steps and adds a new cold server for each.
	Replace struct {
		At, Over time.Duration
		Part     float64
	}
	// NodeRestarts restarts nodes with the endpoint list that they had last: after SIGTERM without the
	// loss of a request or, with Killed, with the loss of all their open requests.
	NodeRestarts struct {
		At, Over time.Duration
		Part     float64
		Killed   bool
	}
	// Partition is a network partition between the first zone and the others.
	Partition struct{ At, For time.Duration }
	// LossyNetwork loses the share Part of the answers, and for an equal share of the answers resets the connection instead.
	LossyNetwork struct {
		At, For time.Duration
		Part    float64
	}
	// Resize grows or shrinks the fleet from one part of its nodes to another. If QuotaDelay is above 0, the
	// nodes know of each other: they learn of a change after membershipDelay, and a new node gets its quota
	// QuotaDelay after its start, when all nodes count it. If QuotaDelay is 0, the file of each node has the number
	// of nodes at the start of the run throughout.
	Resize struct {
		At, Over   time.Duration
		From, To   float64
		QuotaDelay time.Duration
	}
	// Burst multiplies the load by Multiple.
	Burst struct {
		At, For  time.Duration
		Multiple float64
	}
	// FaultyShare is the share of servers that fail half of their requests.
	FaultyShare float64
	// ExtraListDelay is added to the delay of the endpoint list.
	ExtraListDelay time.Duration
}

// ScenarioKinds are the scenarios of a fleet of many nodes, by the names in the operators' trial.
var ScenarioKinds = []string{"calm", "roll", "herd", "zone", "split", "join"}

// ScenarioSettings returns the settings of a scenario: a run of 22 seconds, with three to five zones by the seed. It
// returns an error for an unknown kind.
func ScenarioSettings(kind string, nodes, servers int, seed uint64) (Settings, error) {
	set := Settings{Nodes: nodes, Servers: servers, Load: 0.6, Duration: 22 * time.Second, Seed: seed, Zones: zoneCount + int(seed%3)}
	scenario := &set.Scenario
	scenario.UnevenLoad = true
	at := 5 * time.Second
	switch kind {
	case "calm":
		set.HotKeyShare = 0.1
	case "roll":
		scenario.Replace.At, scenario.Replace.Over, scenario.Replace.Part = at-2*time.Second, 14*time.Second, 0.5
		scenario.NodeRestarts.At, scenario.NodeRestarts.Over, scenario.NodeRestarts.Part = at-2*time.Second, 16*time.Second, 1
	case "herd":
		scenario.Replace.At, scenario.Replace.Over, scenario.Replace.Part = at, 8*time.Second, 0.2
		scenario.NodeRestarts.At, scenario.NodeRestarts.Part, scenario.NodeRestarts.Killed = at+time.Second, 0.7, true
		scenario.FaultyShare = 0.125
	case "zone":
		set.Outage = ZoneOutage{At: at, For: 5 * time.Second, WithNodes: seed%2 == 0}
		scenario.Partition.At, scenario.Partition.For = at+8*time.Second, 3*time.Second
		scenario.FaultyShare = 0.125
	case "split":
		scenario.Partition.At, scenario.Partition.For = at, 6*time.Second
		scenario.LossyNetwork.At, scenario.LossyNetwork.For, scenario.LossyNetwork.Part = at, 10*time.Second, 0.01
		scenario.ExtraListDelay = 2 * time.Second
	case "join":
		scenario.Replace.At, scenario.Replace.Over, scenario.Replace.Part = at, 7*time.Second, 0.6
		scenario.LossyNetwork.At, scenario.LossyNetwork.For, scenario.LossyNetwork.Part = at, 10*time.Second, 0.005
	default:
		return set, fmt.Errorf("unknown scenario %q: want one of %v", kind, ScenarioKinds)
	}
	return set, nil
}

// isScenario reports whether the run has a scenario or a zone outage. Such a run resembles the operators'
// trial: nodes call discovery, and start with a cached endpoint list.
func (s *Settings) isScenario() bool { return s.Scenario != Scenario{} || s.Outage.For > 0 }

// nodeState is the state of a node beside its balancer.
type nodeState struct {
	down, dead    bool    // down: the node accepts no requests; dead: its process has ended
	weight        float64 // share of the zone's requests that the node gets, relative to other nodes
	watching      bool
	endpoints     []decide.Server                   // the latest endpoint list of the node
	drainingSince map[decide.ServerID]time.Duration // time at which the node was notified that a server drains
	lastSent      map[decide.ServerID]time.Duration // time at which the latest attempt was sent to a server
}

const (
	drainDuration  = 3 * time.Second // time from the list that shows a server as draining until the server is gone
	drainGrace     = 2 * time.Second // a node sends a draining server no attempts this long after its notification
	linesPerSecond = 200             // lines that discovery writes to all callers, with at most lineRateNodes nodes
	lineRateNodes  = 300             // with more nodes linesPerSecond grows in proportion
	callTimeout    = 2 * time.Second // time after which a call of discovery fails
	nodeDowntime   = 3 * time.Second // time from the kill of a node until its restart
)

// scheduleScenario schedules the failures of the scenario.
func (s *sim) scheduleScenario() {
	scenario := &s.set.Scenario
	if scenario.UnevenLoad {
		for _, b := range s.balancers {
			b.weight = math.Exp(0.8 * s.rng.NormFloat64())
		}
	}
	for _, v := range s.servers {
		v.faulty = s.rng.Float64() < scenario.FaultyShare
	}
	spread := func(at, over time.Duration, n int, do func(i int)) {
		for i := range n {
			s.after(at+time.Duration(float64(over)*float64(i)/float64(n)), func() { do(i) })
		}
	}
	if scenario.Resize.From > 0 {
		s.resize()
	}
	order := s.rng.Perm(len(s.servers))
	spread(scenario.Replace.At, scenario.Replace.Over, int(scenario.Replace.Part*float64(len(order))), func(i int) { s.replaceServer(s.servers[order[i]]) })
	nodes := s.rng.Perm(len(s.balancers))
	spread(scenario.NodeRestarts.At, scenario.NodeRestarts.Over, int(scenario.NodeRestarts.Part*float64(len(nodes))), func(i int) {
		if !scenario.NodeRestarts.Killed { // the new process starts at once: the old one completes its requests beside it
			s.startNode(nodes[i])
			return
		}
		s.killNode(nodes[i])
		s.after(nodeDowntime, func() { s.startNode(nodes[i]) })
	})
}

// membershipDelay is the time until other nodes know of a node that has joined or left.
const membershipDelay = time.Second

// resize schedules the joins or leaves of nodes, and the changes of positions that follow.
func (s *sim) resize() {
	r := &s.set.Resize
	n := float64(len(s.balancers))
	first, last := int(r.From*n), int(r.To*n)
	unusedShare := make(map[int]float64)
	count := first
	updatePositions := func() {
		for i, b := range s.balancers {
			b.balancer.SetFleetPosition(i%count, count, unusedShare[i])
		}
	}
	for i := first; i < len(s.balancers); i++ {
		s.balancers[i].down = true
	}
	updatePositions()
	for step := range max(last-first, first-last) {
		at := r.At + time.Duration(float64(r.Over)*float64(step)/math.Abs(float64(last-first)))
		s.after(at, func() {
			change := -1
			if i := first + step; last > first {
				change = 1
				s.startNode(i)
				if r.QuotaDelay > 0 {
					unusedShare[i] = 1
					s.after(r.QuotaDelay, func() {
						unusedShare[i] = 0
						updatePositions()
					})
				}
				updatePositions()
			} else {
				s.balancers[first-1-step].down = true // the node still completes its open requests
			}
			if r.QuotaDelay > 0 {
				s.after(membershipDelay, func() {
					count += change
					updatePositions()
				})
			}
		})
	}
}

// pickNode draws a running node of a zone by weight. It returns nil if none runs.
func (s *sim) pickNode(zone int) *balancerNode {
	sum := 0.0
	for i := zone; i < len(s.balancers); i += s.zones {
		if !s.balancers[i].down {
			sum += s.balancers[i].weight
		}
	}
	at := s.rng.Float64() * sum
	for i := zone; i < len(s.balancers); i += s.zones {
		if b := s.balancers[i]; !b.down {
			if at -= b.weight; at < 0 {
				return b
			}
		}
	}
	return nil
}

// killNode kills a node. Its open requests fail.
func (s *sim) killNode(i int) {
	b := s.balancers[i]
	b.down, b.dead = true, true
	for _, x := range b.requests {
		if !x.answered {
			x.answered = true
			s.res.Failed++
			s.closeRequest(x.request, false)
		}
	}
	clear(b.requests)
}

// startNode restarts a node with the endpoint list that it had last.
func (s *sim) startNode(i int) {
	old := s.balancers[i]
	s.nodeRestarts++
	b := s.newBalancerNode(i, len(s.balancers), old.zone, false)
	b.weight = old.weight
	b.updateEndpoints(decide.UpdateCached, old.endpoints)
	s.balancers[i] = b
}

// replaceServer adds a new cold server, and drains the old one as soon as the endpoint list has both.
func (s *sim) replaceServer(old *server) {
	v := &server{
		sim: s, id: decide.ServerID(len(s.servers) + 1), zone: old.zone, cores: old.cores, speed: old.speed,
		startedAt: s.now, cachedKeys: make(map[uint64]time.Duration), faulty: old.faulty, state: decide.Ready,
	}
	s.servers = append(s.servers, v)
	v.countSlowStart()
	old.state = decide.Draining
	s.after(listDelay+s.set.ExtraListDelay, s.announceServers)
	s.after(listDelay+s.set.ExtraListDelay+drainDuration, func() {
		old.state = decide.Gone
		s.after(listDelay+s.set.ExtraListDelay, s.announceServers)
	})
}

// partitioned reports whether two zones are partitioned from each other now.
func (s *sim) partitioned(a, b int) bool {
	c := &s.set.Partition
	return a != b && (a == 0 || b == 0) && s.now >= c.At && s.now < c.At+c.For
}

// drawAnswerFault draws whether a lossy network loses an answer, or resets its connection.
func (s *sim) drawAnswerFault() (lost, reset bool) {
	l := &s.set.LossyNetwork
	if l.Part == 0 || s.now < l.At || s.now >= l.At+l.For {
		return false, false
	}
	x := s.rng.Float64()
	return x < l.Part, x >= l.Part && x < 2*l.Part
}

// callDiscovery simulates a node's first call of a watch. Discovery answers one call after the other; its answer has a
// line for each entry that differs from those of the node.
func (s *sim) callDiscovery(b *balancerNode) {
	s.res.Calls++
	lines := 1
	for _, e := range s.announced {
		if !slices.ContainsFunc(b.endpoints, func(o decide.Server) bool { return o == e }) {
			lines++
		}
	}
	s.res.Lines += lines
	start := max(s.now, s.discoveryBusyUntil)
	late := start-s.now > callTimeout
	wait := callTimeout
	if !late {
		rate := linesPerSecond * max(1, float64(s.set.Nodes)/lineRateNodes)
		s.discoveryBusyUntil = start + time.Duration(float64(lines)/rate*float64(time.Second))
		wait = s.discoveryBusyUntil - s.now + watchDelay
	}
	s.after(wait, func() {
		switch {
		case b.dead:
		case late:
			s.res.CallsFailed++
			b.balancer.UpdateEndpoints(s.now, decide.UpdateFailed, nil)
		default:
			b.watching = true
			b.updateEndpoints(decide.UpdateFull, s.announced)
		}
	})
}

// updateEndpoints updates the node's endpoint list.
func (b *balancerNode) updateEndpoints(kind decide.UpdateKind, list []decide.Server) {
	b.endpoints = list
	for _, e := range list {
		if _, known := b.drainingSince[e.ID]; e.State == decide.Draining && !known {
			b.drainingSince[e.ID] = b.sim.now
		}
	}
	b.balancer.UpdateEndpoints(b.sim.now, kind, list)
}

// knowsStart reports whether the node's list has the start time of a cold server.
func (b *balancerNode) knowsStart(v *server) bool {
	return v.inSlowStart() && slices.ContainsFunc(b.endpoints, func(e decide.Server) bool { return e.ID == v.id && e.StartedAt == v.startedAt })
}

// recordSend counts an attempt to a server at the moment that it is sent, for Result.
func (b *balancerNode) recordSend(v *server) {
	s := b.sim
	if at, ok := b.drainingSince[v.id]; ok && s.now-at > drainGrace {
		s.res.AfterGrace++
	}
	if last, ok := b.lastSent[v.id]; !ok || s.now-last > idleTimeout {
		s.res.Connections++
	}
	b.lastSent[v.id] = s.now
}

// Bounds of the results of a scenario.
const (
	minColdUse            = 0.5  // least use of cold servers, relative to the use of other servers: below it cold servers are idle beside busy ones
	maxColdLoad           = 3.4  // maximum load sent to a cold server within a second, as a multiple of its capacity: overloadMultiple, and an allowance for chance
	maxOverloadedShare    = 0.08 // share of the servers of a lost zone: nodes that restart in the zone have no knowledge of its servers yet
	maxConnectsPerAttempt = 0.45 // connections opened per attempt: at low load few connections are still open
	maxFailedCallShare    = 0.5  // share of first calls that discovery fails, because it has too many callers
)

// maxMissedShare bounds the share of missed requests by kind, without those that found no running node in
// their zone. In "zone" a third of the servers is unreachable for a quarter of the run.
var maxMissedShare = map[string]float64{"calm": 0.01, "roll": 0.02, "herd": 0.03, "zone": 0.12, "split": 0.02, "join": 0.06}

// SlowStartShare returns the use of servers in slow start, relative to their use afterwards.
func (r *Result) SlowStartShare() float64 { return r.SlowStartUse / max(r.WarmUse, 1e-9) }

// Violations returns a description of each bound that the run of a scenario exceeded. It returns none for a
// sound run.
func (r *Result) Violations(kind string, set Settings) (violations []string) {
	none := func(n int, what string) {
		if n != 0 {
			violations = append(violations, fmt.Sprintf("%d %s", n, what))
		}
	}
	atMost := func(got, bound float64, what string) {
		if got > bound {
			violations = append(violations, fmt.Sprintf("%s: %.3f, at most %.3f", what, got, bound))
		}
	}
	none(r.Unended, "requests or attempts that never ended")
	none(r.Requests-len(r.Latencies)-r.Rejected-r.Failed, "requests without exactly one final answer")
	none(r.RanTwice, "requests that are not idempotent ran twice")
	none(r.SlowStartCalls.OverloadedByInformedNodes, "cold servers were sent more than budget and chance by nodes that knew their start time")
	none(r.AfterGrace, "attempts sent to a draining server after the grace period")
	if kind == "roll" || kind == "join" { // kinds with many new servers
		if got := r.SlowStartShare(); got < minColdUse {
			violations = append(violations, fmt.Sprintf("use of cold servers relative to the others: %.3f, at least %.3f", got, minColdUse))
		}
	}
	atMost(r.MaxSlowStartLoad, maxColdLoad, "sent to a cold server within a second, as a multiple of its capacity")
	atMost(float64(r.Overloaded)/float64(max(1, set.Servers/cmp.Or(set.Zones, zoneCount))), maxOverloadedShare, "share of a lost zone's servers overloaded on their return")
	atMost(float64(r.Missed-r.NoNode)/float64(max(1, r.Requests)), maxMissedShare[kind], "share of requests missed")
	atMost(float64(r.Connections)/float64(max(1, r.Attempts)), maxConnectsPerAttempt, "connections per attempt")
	atMost(float64(r.CallsFailed)/float64(max(1, r.Calls)), maxFailedCallShare, "share of first calls that discovery failed")
	return violations
}
