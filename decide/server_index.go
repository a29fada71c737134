package decide

import "math/rand/v2"

const (
	// unconnectedPenalty is how much less often a server without an idle connection is drawn: spread over a
	// large fleet, a node would hear from each server too seldom to judge it. Servers in slow start are
	// exempt, or a rolling release would leave the work to the servers that are still to be replaced.
	unconnectedPenalty = 40.0
	// connectionsPriced is the number of connections that Settings.OpenConnectionCost is for.
	connectionsPriced = 100
)

// serverIndex holds the servers that are known, and of those that may be sent to the sums and weights that
// rules go by. With n servers, events that come often cost at most log2(n):
//
//	addReady, removeReady     log2(n)  a change of the endpoint list
//	updateWeight              log2(n)  a connection lost
//	serverGroup.draw          log2(n)  a request, several times
//	rendezvousTree.choose     log2(n)  a request with a key, several times
//	setEjected                1        an ejection or its end
//	suspectZoneSums           1        a zone under suspicion
//	refreshWeights            n        a tick
//
// Rounding errors that small changes leave in the sums are gone with the next tick.
type serverIndex struct {
	serversByID map[ServerID]*server // those listed, in any state but Gone

	ready         []*server   // those that may be sent to, in an order that the updates alone decide
	local, remote serverGroup // the same, by zone

	totalCapacity       float64 // of those ready
	unsuspectedCapacity float64 // of those neither ejected nor suspected of a restart, as far as warm
	ejectedCount        int     // of those ready
	newConnectionCost   float64 // of a new connection, in requests
}

// serverGroup is the servers ready of the local zone, or of all others, with weights to draw them by.
type serverGroup struct {
	servers     []*server
	drawWeights weightedTree // by the positions of servers

	latencyRatios       float64 // the sum over all
	capacity            float64 // of those not ejected,
	warmCapacity        float64 // of these as far as their slow start has come,
	unsuspectedCapacity float64 // and of these without those suspected of a restart
	inFlight            int     // this node's attempts

	// While the zone is not verified, verificationAnswers counts answers, and logLatencySum adds up the
	// logarithms of their latencies over their work.
	verificationAnswers, logLatencySum float64

	answerRate rateMeter // answers; of the local zone only
}

// position is where a server stands in the lists of those ready.
type position struct {
	listed       bool // it is ready
	ready, group int  // its indices in serverIndex.ready and serverGroup.servers
}

// contribution is what a server adds to its group's sums, as of the last time.
type contribution struct {
	latencyRatio, capacity, warmCapacity, unsuspectedCapacity float64
	zoneSuspicions                                            uint64 // of restartSuspicion, at that time
}

// meanLatencyRatio is the mean over the group, 0 without servers.
func (g *serverGroup) meanLatencyRatio() float64 {
	return g.latencyRatios / float64(max(1, len(g.servers)))
}

// meanLogLatency is the mean logarithm of the latencies that the zone is verified by.
func (g *serverGroup) meanLogLatency() float64 { return g.logLatencySum / g.verificationAnswers }

// draw draws a server by weight. It returns nil, and makes no random choice, where none has a weight.
func (g *serverGroup) draw(rng *rand.Rand) *server {
	total := g.drawWeights.total()
	if !(total > 0) {
		return nil
	}
	return g.servers[g.drawWeights.locate(rng.Float64()*total)]
}

// groupOf is the group of a server's zone.
func (b *Balancer) groupOf(s *server) *serverGroup {
	if s.Zone == b.settings.Zone {
		return &b.local
	}
	return &b.remote
}

// addReady adds a server to those ready.
func (b *Balancer) addReady(s *server) {
	g := b.groupOf(s)
	s.position = position{listed: true, ready: len(b.ready), group: len(g.servers)}
	b.ready = append(b.ready, s)
	g.servers = append(g.servers, s)
	g.drawWeights.push(0)
	s.contribution = contribution{zoneSuspicions: b.zoneSuspicions}
	b.totalCapacity += s.Capacity
	if s.ejected {
		b.ejectedCount++
	}
	if b.hasKeyTree(g) {
		b.keyTree.add(s)
	}
	b.updateWeight(s)
}

// removeReady removes a server from those ready, if it is one.
func (b *Balancer) removeReady(s *server) {
	if !s.position.listed {
		return
	}
	g := b.groupOf(s)
	b.updateSums(g, s, contribution{zoneSuspicions: b.zoneSuspicions})
	if b.hasKeyTree(g) {
		b.keyTree.remove(s)
	}
	b.closeReadyGap(s.position.ready)
	g.closeGap(s.position.group)
	s.position = position{}
	b.totalCapacity -= s.Capacity
	if s.ejected {
		b.ejectedCount--
	}
}

// closeReadyGap moves the last of the servers ready to an index.
func (b *Balancer) closeReadyGap(index int) {
	last := len(b.ready) - 1
	b.ready[index] = b.ready[last]
	b.ready[index].position.ready = index
	b.ready[last] = nil // so that the server is freed
	b.ready = b.ready[:last]
}

// closeGap moves the last server of the group to an index.
func (g *serverGroup) closeGap(index int) {
	last := len(g.servers) - 1
	g.servers[index] = g.servers[last]
	g.servers[index].position.group = index
	g.drawWeights.set(index, g.drawWeights.weights[last])
	g.drawWeights.pop()
	g.servers[last] = nil // so that the server is freed
	g.servers = g.servers[:last]
}

// hasKeyTree reports whether a group's servers are in the key tree: the local ones, where keys are assigned
// to servers or where nodes that begin share the servers out among them.
func (b *Balancer) hasKeyTree(g *serverGroup) bool {
	return g == &b.local && (b.settings.KeyAffinity || b.settings.PollDiscovery)
}

// setEjected notes that a server is ejected, or not any more. Its weight changes at the next tick.
func (b *Balancer) setEjected(s *server, ejected bool) {
	if s.ejected == ejected {
		return
	}
	s.ejected = ejected
	switch {
	case !s.position.listed:
	case ejected:
		b.ejectedCount++
	default:
		b.ejectedCount--
	}
}

// evaluate returns what a server contributes now, and the weight by which it is drawn: its capacity over
// its latency ratio, less in slow start, and little without an idle connection. An ejected server has
// weight 0.
func (b *Balancer) evaluate(s *server) (now contribution, weight float64) {
	b.examined++
	now = contribution{latencyRatio: s.currentLatencyRatio(b.now), zoneSuspicions: b.zoneSuspicions}
	if s.ejected {
		return now, 0
	}
	factor := b.slowStartFactor(s)
	now.capacity, now.warmCapacity = s.Capacity, s.Capacity*factor
	if !b.restartSuspected(s) {
		now.unsuspectedCapacity = now.warmCapacity
	}
	weight = now.warmCapacity / now.latencyRatio
	if s.inFlight == 0 && factor == 1 && !b.hasIdleConnection(s) {
		weight /= unconnectedPenalty
	}
	return now, weight
}

// updateWeight brings a server's weight, and the sums over all servers, up to date.
func (b *Balancer) updateWeight(s *server) {
	if !s.position.listed {
		return
	}
	g := b.groupOf(s)
	now, weight := b.evaluate(s)
	b.updateSums(g, s, now)
	g.drawWeights.set(s.position.group, weight)
}

// updateSums replaces what a server contributed to the sums.
func (b *Balancer) updateSums(g *serverGroup, s *server, now contribution) {
	old := s.contribution
	if g == &b.local && old.zoneSuspicions != b.zoneSuspicions { // suspectZoneSums has changed it since
		old.warmCapacity, old.unsuspectedCapacity = old.capacity*b.minSlowStartFactor(), 0
	}
	g.latencyRatios += now.latencyRatio - old.latencyRatio
	g.capacity += now.capacity - old.capacity
	g.warmCapacity += now.warmCapacity - old.warmCapacity
	g.unsuspectedCapacity += now.unsuspectedCapacity - old.unsuspectedCapacity
	b.unsuspectedCapacity += now.unsuspectedCapacity - old.unsuspectedCapacity
	s.contribution = now
}

// suspectZoneSums has all local servers contribute as if they had just started and were suspected of a
// restart.
func (b *Balancer) suspectZoneSums() {
	b.unsuspectedCapacity = b.remote.unsuspectedCapacity
	b.local.unsuspectedCapacity = 0
	b.local.warmCapacity = b.local.capacity * b.minSlowStartFactor()
}

// refreshWeights brings all weights and sums up to date.
func (b *Balancer) refreshWeights() {
	b.totalCapacity = 0
	for _, g := range [...]*serverGroup{&b.local, &b.remote} {
		b.refreshGroup(g)
	}
	b.unsuspectedCapacity = b.local.unsuspectedCapacity + b.remote.unsuspectedCapacity
	b.updateConnectionCost()
}

// refreshGroup sums a group up anew.
func (b *Balancer) refreshGroup(g *serverGroup) {
	g.latencyRatios, g.capacity, g.warmCapacity, g.unsuspectedCapacity = 0, 0, 0, 0
	for i, s := range g.servers {
		now, weight := b.evaluate(s)
		g.latencyRatios += now.latencyRatio
		g.capacity += now.capacity
		g.warmCapacity += now.warmCapacity
		g.unsuspectedCapacity += now.unsuspectedCapacity
		g.drawWeights.weights[i] = weight
		s.contribution = now
		b.totalCapacity += s.Capacity
	}
	g.drawWeights.rebuild()
}

// updateConnectionCost sets the cost of a new connection, in requests: the handshake, and the time that it
// is held open. The rarer a server's requests are over all nodes, the fewer connections to it are open at a
// time.
func (b *Balancer) updateConnectionCost() {
	requestsPerServer := b.sendRate.rateAt(b.now) * float64(b.settings.NodeCount) / float64(max(1, len(b.ready)))
	heldOpen := b.settings.OpenConnectionCost / connectionsPriced * requestsPerServer * b.settings.IdleTimeout.Seconds()
	b.newConnectionCost = b.settings.HandshakeCost + heldOpen
}
