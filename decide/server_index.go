package decide

import "math/rand/v2"

const (
	// unconnectedPenalty is the factor by which the weight of a server without an idle connection is
	// reduced. A node that spreads its requests over a large fleet would get too few answers from each
	// server to judge it. Servers in slow start are exempt: otherwise, in a rolling release, the work
	// would stay with the servers that are still to be replaced.
	unconnectedPenalty = 40.0
	// connectionsPriced is the number of connections whose cost Settings.OpenConnectionCost is.
	connectionsPriced = 100
)

// serverIndex stores the known servers and, for the ready ones, the sums and weights that the rules use.
// With n servers, frequent events cost at most log2(n):
//
//	addReady, removeReady     log2(n)  a change of the endpoint list
//	updateWeight              log2(n)  an unreachable server
//	serverGroup.draw          log2(n)  a request, several times
//	rendezvousTree.choose     log2(n)  a request with a key, several times
//	setEjected                1        an ejection or its end
//	suspectZoneSums           1        a suspected restart of the zone
//	refreshWeights            n        a tick
//
// Each tick removes the rounding errors that small changes leave in the sums.
type serverIndex struct {
	serversByID map[ServerID]*server // listed servers, in any state except Gone

	ready         []*server   // servers in state Ready, in an order that depends only on the updates
	local, remote serverGroup // the same servers, by zone

	totalCapacity       float64 // total capacity of the ready servers
	unsuspectedCapacity float64 // warm capacity of the ready servers neither ejected nor suspected of a restart
	ejectedCount        int     // number of ejected ones among the ready servers
	newConnectionCost   float64 // cost of a new connection, in requests
}

// serverGroup is the ready servers of the local zone, or of all other zones, with weights for random draws.
type serverGroup struct {
	servers     []*server
	drawWeights weightedTree // indexed like servers

	latencyRatios       float64 // sum over all servers
	capacity            float64 // capacity of the servers not ejected
	warmCapacity        float64 // capacity of the servers not ejected, scaled by their slow-start factors
	unsuspectedCapacity float64 // warmCapacity without the servers suspected of a restart
	inFlight            int     // this node's attempts in flight

	// Until the zone is verified, verificationAnswers counts answers and logLatencySum is the sum of the
	// logarithms of their latency per unit of work.
	verificationAnswers, logLatencySum float64

	answerRate rateMeter // answers per second; used for the local zone only
}

// position is a server's position in the lists of ready servers.
type position struct {
	listed       bool // the server is in both lists
	ready, group int  // indices into serverIndex.ready and serverGroup.servers
}

// contribution is what a server last added to its group's sums.
type contribution struct {
	latencyRatio, capacity, warmCapacity, unsuspectedCapacity float64
	zoneSuspicions                                            uint64 // restartSuspicion.zoneSuspicions at that time
}

// meanLatencyRatio returns the mean over the group, or 0 if it has no servers.
func (g *serverGroup) meanLatencyRatio() float64 {
	return g.latencyRatios / float64(max(1, len(g.servers)))
}

// meanLogLatency returns the mean logarithm of the latencies per unit of work, for verifying the zone.
func (g *serverGroup) meanLogLatency() float64 { return g.logLatencySum / g.verificationAnswers }

// draw draws a server at random by weight. It returns nil, and draws no random number, if all weights are 0.
func (g *serverGroup) draw(rng *rand.Rand) *server {
	total := g.drawWeights.total()
	if !(total > 0) {
		return nil
	}
	return g.servers[g.drawWeights.locate(rng.Float64()*total)]
}

// groupOf returns the group that a server belongs to.
func (b *Balancer) groupOf(s *server) *serverGroup {
	if s.Zone == b.settings.Zone {
		return &b.local
	}
	return &b.remote
}

// addReady adds a server to the ready servers.
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
	if b.inKeyTree(g) {
		b.keyTree.add(s)
	}
	b.updateWeight(s)
}

// removeReady removes a server from the ready servers, if it is one of them.
func (b *Balancer) removeReady(s *server) {
	if !s.position.listed {
		return
	}
	g := b.groupOf(s)
	b.updateSums(g, s, contribution{zoneSuspicions: b.zoneSuspicions})
	if b.inKeyTree(g) {
		b.keyTree.remove(s)
	}
	b.swapRemoveReady(s.position.ready)
	g.swapRemove(s.position.group)
	s.position = position{}
	b.totalCapacity -= s.Capacity
	if s.ejected {
		b.ejectedCount--
	}
}

// swapRemoveReady replaces the ready server at an index by the last one and shortens the list.
func (b *Balancer) swapRemoveReady(index int) {
	last := len(b.ready) - 1
	b.ready[index] = b.ready[last]
	b.ready[index].position.ready = index
	b.ready[last] = nil // lets the garbage collector free the server
	b.ready = b.ready[:last]
}

// swapRemove replaces the server at an index of the group by the last one and shortens the list.
func (g *serverGroup) swapRemove(index int) {
	last := len(g.servers) - 1
	g.servers[index] = g.servers[last]
	g.servers[index].position.group = index
	g.drawWeights.set(index, g.drawWeights.weights[last])
	g.drawWeights.pop()
	g.servers[last] = nil // lets the garbage collector free the server
	g.servers = g.servers[:last]
}

// inKeyTree reports whether a group's servers are in the key tree. The local servers are in it, if keys are
// assigned to servers or if starting nodes divide the local servers among themselves (see
// offerZoneSample).
func (b *Balancer) inKeyTree(g *serverGroup) bool {
	return g == &b.local && (b.settings.KeyAffinity || b.settings.PollDiscovery)
}

// setEjected marks a server as ejected or not. The server's weight changes at the next tick.
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

// evaluate returns a server's current contribution and its weight for random draws: its capacity divided
// by its latency ratio, reduced in slow start, and much reduced without an idle connection. The weight of
// an ejected server is 0.
func (b *Balancer) evaluate(s *server) (current contribution, weight float64) {
	b.examined++
	current = contribution{latencyRatio: s.currentLatencyRatio(b.now), zoneSuspicions: b.zoneSuspicions}
	if s.ejected {
		return current, 0
	}
	factor := b.slowStartFactor(s)
	current.capacity, current.warmCapacity = s.Capacity, s.Capacity*factor
	if !b.restartSuspected(s) {
		current.unsuspectedCapacity = current.warmCapacity
	}
	weight = current.warmCapacity / current.latencyRatio
	if s.inFlight == 0 && factor == 1 && !b.hasIdleConnection(s) {
		weight /= unconnectedPenalty
	}
	return current, weight
}

// updateWeight updates a server's weight, and the sums that the server contributes to.
func (b *Balancer) updateWeight(s *server) {
	if !s.position.listed {
		return
	}
	g := b.groupOf(s)
	current, weight := b.evaluate(s)
	b.updateSums(g, s, current)
	g.drawWeights.set(s.position.group, weight)
}

// updateSums replaces a server's previous contribution to the sums by its current one.
func (b *Balancer) updateSums(g *serverGroup, s *server, current contribution) {
	old := s.contribution
	if g == &b.local && old.zoneSuspicions != b.zoneSuspicions { // suspectZoneSums has changed the sums since
		old.warmCapacity, old.unsuspectedCapacity = old.capacity*b.minSlowStartFactor(), 0
	}
	g.latencyRatios += current.latencyRatio - old.latencyRatio
	g.capacity += current.capacity - old.capacity
	g.warmCapacity += current.warmCapacity - old.warmCapacity
	g.unsuspectedCapacity += current.unsuspectedCapacity - old.unsuspectedCapacity
	b.unsuspectedCapacity += current.unsuspectedCapacity - old.unsuspectedCapacity
	s.contribution = current
}

// suspectZoneSums sets the sums as if all local servers had just started and were suspected of a restart.
func (b *Balancer) suspectZoneSums() {
	b.unsuspectedCapacity = b.remote.unsuspectedCapacity
	b.local.unsuspectedCapacity = 0
	b.local.warmCapacity = b.local.capacity * b.minSlowStartFactor()
}

// refreshWeights recomputes all weights and sums.
func (b *Balancer) refreshWeights() {
	b.totalCapacity = 0
	for _, g := range [...]*serverGroup{&b.local, &b.remote} {
		b.refreshGroup(g)
	}
	b.unsuspectedCapacity = b.local.unsuspectedCapacity + b.remote.unsuspectedCapacity
	b.updateConnectionCost()
}

// refreshGroup recomputes the weights and sums of a group.
func (b *Balancer) refreshGroup(g *serverGroup) {
	g.latencyRatios, g.capacity, g.warmCapacity, g.unsuspectedCapacity = 0, 0, 0, 0
	for i, s := range g.servers {
		current, weight := b.evaluate(s)
		g.latencyRatios += current.latencyRatio
		g.capacity += current.capacity
		g.warmCapacity += current.warmCapacity
		g.unsuspectedCapacity += current.unsuspectedCapacity
		g.drawWeights.weights[i] = weight
		s.contribution = current
		b.totalCapacity += s.Capacity
	}
	g.drawWeights.rebuild()
}

// updateConnectionCost updates the cost of a new connection, in requests: the handshake plus the time
// that the connection stays open. The fewer requests a server gets from all nodes, the fewer connections
// to it are open at a time.
func (b *Balancer) updateConnectionCost() {
	requestsPerServer := b.sendRate.rateAt(b.now) * float64(b.settings.NodeCount) / float64(max(1, len(b.ready)))
	heldOpen := b.settings.OpenConnectionCost / connectionsPriced * requestsPerServer * b.settings.IdleTimeout.Seconds()
	b.newConnectionCost = b.settings.HandshakeCost + heldOpen
}
