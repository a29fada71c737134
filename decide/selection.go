package decide

import "math"

const (
	// drawsPerGroup is the d of "power of d choices", for the local and for the remote servers. It is
	// enough to avoid the worst server; comparing all servers would make all nodes choose the same one.
	drawsPerGroup = 4
	// maxExcessInFlight is the number of attempts by which a server may exceed this node's mean and still
	// be chosen by cost. With a lower value the key, the zone and the latency would have no influence.
	maxExcessInFlight = 1.5
	// latencyPerInFlight is the latency that each of this node's attempts in flight adds to a server's
	// latency, in expected latencies.
	latencyPerInFlight = 0.3
	// latencyCost is the cost of one expected latency, in requests. It is small: it only distinguishes
	// servers that all answer within the objective.
	latencyCost = 0.01
	// overloadedZoneRatio is the factor by which the mean latency ratio of the local servers must exceed the ratio of
	// the remote servers for a node that sheds load to ignore the cost of crossing zones: rejecting requests
	// costs more.
	overloadedZoneRatio = 1.2
	// keyHitSaving is the share of the latency that a cached key saves. It is higher than the gain of one
	// answer, since each miss at another server also evicts something from that server's cache.
	keyHitSaving = 0.85
	// maxScanned bounds the servers that a scan examines: they are a sufficient sample of the others.
	maxScanned = 128
)

// pick returns the server for the next attempt of a request, or nil if no server is eligible: the
// cheapest eligible server that is not busy, among a few servers drawn by weight and the servers of the request's
// key. If there is none, it scans.
//
// A planned server gets the first attempt regardless of its slow-start budget, since the planner enforces
// that budget for all nodes.
func (b *Balancer) pick(r *request) *server {
	if s := b.plannedServer(r); s != nil {
		return s
	}
	c := b.newCandidates(r)
	b.offerZoneSample(c)
	b.offerKeyServers(c)
	for range drawsPerGroup {
		c.offer(b.local.draw(b.rng), false)
		c.offer(b.remote.draw(b.rng), false)
	}
	if c.best != nil {
		return c.best
	}
	return b.scan(r)
}

// plannedServer returns the server that a planner chose for the first attempt, or nil if it must not be used.
func (b *Balancer) plannedServer(r *request) *server {
	s := b.serversByID[r.PlannedServer]
	if s == nil || r.PlannedServer == 0 || len(r.attempts) > 0 {
		return nil
	}
	if s.State != Ready || s.ejected || b.now < s.overloadedUntil {
		return nil
	}
	return s
}

// candidates stores the cheapest of the servers offered for an attempt.
type candidates struct {
	b               *Balancer
	request         *request
	expectedLatency float64 // ns
	// meanInFlight is the number of this node's attempts in flight per unit of capacity.
	meanInFlight float64
	best         *server
	bestCost     float64
}

func (b *Balancer) newCandidates(r *request) *candidates {
	return &candidates{
		b:               b,
		request:         r,
		expectedLatency: b.expectedLatency(r),
		meanInFlight:    float64(b.local.inFlight+b.remote.inFlight) / max(b.totalCapacity, 1e-9),
		bestCost:        math.Inf(1),
	}
}

// offer makes s the best candidate if it costs less than the best so far. It ignores nil and servers that
// must not be used.
func (c *candidates) offer(s *server, hasKey bool) {
	b := c.b
	b.examined++
	if s == nil || s == c.best || b.now < s.connectBackoffUntil {
		return
	}
	if c.busy(s) || !b.eligible(c.request, s) || b.skippedOnProbation(c.request, s) {
		return
	}
	if cost := b.cost(c.request, s, c.expectedLatency, hasKey); cost < c.bestCost {
		c.best, c.bestCost = s, cost
	}
}

// busy reports whether a server has more of this node's attempts in flight than the mean for its capacity
// plus maxExcessInFlight.
func (c *candidates) busy(s *server) bool {
	return float64(s.inFlight) > maxExcessInFlight+c.meanInFlight*s.Capacity
}

// skippedOnProbation reports whether a server on probation is skipped for a request. Until a request succeeds
// there, such a server gets one request at a time, and none that is NotIdempotent. A scan ignores this rule.
func (b *Balancer) skippedOnProbation(r *request, s *server) bool {
	return s.probation && (s.inFlight > 0 || b.settings.Classes[r.Class].Idempotency == NotIdempotent)
}

// eligible reports whether a request may be sent to a server at all.
func (b *Balancer) eligible(r *request, s *server) bool {
	return s.State == Ready &&
		!s.ejected &&
		b.now >= s.overloadedUntil &&
		b.maySend(r, s) &&
		!b.blockedByZoneVerification(s) &&
		b.slowStartAllows(s) &&
		!r.sentTo(s)
}

// cost returns the expected cost of sending a request to a server, in requests: the probability that the
// answer arrives after its objective, plus the costs of crossing zones and of a new connection.
// expectedLatency is in ns, for a server of normal speed. hasKey means that the server should have the
// request's key cached.
func (b *Balancer) cost(r *request, s *server, expectedLatency float64, hasKey bool) float64 {
	zoneOverloaded := b.localZoneOverloaded()
	ratio := b.loadedLatencyRatio(s)
	if hasKey {
		ratio = keyHitRatio(ratio, zoneOverloaded)
	}
	cost := b.lateProbability(r, ratio*expectedLatency) + latencyCost*ratio
	if s.Zone != b.settings.Zone && !zoneOverloaded {
		cost += b.settings.CrossZoneCost
	}
	if !b.hasIdleConnection(s) {
		cost += b.newConnectionCost
	}
	return cost
}

// loadedLatencyRatio returns a server's latency ratio plus the effect of this node's attempts in flight
// there, which is scaled by the server's share of the capacity.
func (b *Balancer) loadedLatencyRatio(s *server) float64 {
	inFlight := latencyPerInFlight * float64(s.inFlight) * b.totalCapacity / (s.Capacity * float64(len(b.ready)))
	return s.currentLatencyRatio(b.now) + inFlight
}

// keyHitRatio returns a server's latency ratio for a request whose key it has cached. In an overloaded
// zone most of the latency is waiting for other requests, which a cache hit does not reduce.
func keyHitRatio(ratio float64, zoneOverloaded bool) float64 {
	if zoneOverloaded {
		return ratio - keyHitSaving*min(ratio, 1)
	}
	return ratio * (1 - keyHitSaving)
}

// lateProbability returns the probability that an answer with a mean latency, in ns, arrives after the
// request's objective, assuming exponentially distributed latencies.
func (b *Balancer) lateProbability(r *request, meanLatency float64) float64 {
	remaining := max(float64(r.objectiveAt-b.now), 1)
	return math.Exp(-remaining / meanLatency)
}

// localZoneOverloaded reports whether this node sheds load while the local servers are much slower than the
// remote ones. Crossing zones costs nothing then.
func (b *Balancer) localZoneOverloaded() bool {
	remote := b.remote.meanLatencyRatio()
	return b.concurrencyLimit > 0 && remote > 0 && b.local.meanLatencyRatio() > overloadedZoneRatio*remote
}

// scan examines servers in order from a random start, because nodes must not all choose the same one, and
// returns the eligible server with the fewest of this node's attempts in flight. Unlike candidates.offer
// it accepts busy servers and those in connect backoff or on probation.
func (b *Balancer) scan(r *request) (best *server) {
	from := b.rng.IntN(max(1, len(b.ready)))
	for i := range min(len(b.ready), maxScanned) {
		b.examined++
		s := b.ready[(from+i)%len(b.ready)]
		if (best == nil || s.inFlight < best.inFlight) && b.eligible(r, s) {
			best = s
		}
		if best != nil && best.inFlight == 0 {
			break
		}
	}
	return best
}

// hasIdleConnection reports whether an idle connection to a server is likely to be open: while attempts
// are in flight all connections are in use, and idle ones are closed after Settings.IdleTimeout.
func (b *Balancer) hasIdleConnection(s *server) bool {
	return s.inFlight == 0 && s.lastResponseAt > 0 && b.now-s.lastResponseAt < b.settings.IdleTimeout
}
