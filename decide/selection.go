package decide

import "math"

const (
	// drawsPerGroup is the d of "power of d choices", for each of the local and the remote servers: enough
	// to avoid the worst, while looking at all would send all nodes the same way.
	drawsPerGroup = 4
	// maxExcessInFlight is by how many attempts a server may exceed this node's mean and still be
	// chosen by cost: without it the key, the zone and the latency would have no say.
	maxExcessInFlight = 1.5
	// latencyPerInFlight is what each of this node's attempts in flight adds to a server's expected
	// latency, in latencies.
	latencyPerInFlight = 0.3
	// latencyCost is the cost of an expected latency, in requests: small, to distinguish servers that are
	// all in time.
	latencyCost = 0.01
	// crowdedZoneRatio is how much slower than the others its zone must be for a node that sheds load to
	// leave it at no cost: rejecting requests costs more than crossing zones.
	crowdedZoneRatio = 1.2
	// keyHitSaving is the share of the latency that a server which has the key cached saves. It is more
	// than one answer gains, since each miss elsewhere also evicts something there.
	keyHitSaving = 0.85
	// maxScanned bounds how many servers are looked at one after another: so many show what the rest is
	// like.
	maxScanned = 128
)

// pick returns which server gets the next attempt of a request: of a few drawn by weight, and those that
// have its key, the cheapest one that is eligible and not busy. Where there is none, it scans. It returns
// nil where no server is eligible.
//
// A planned server is taken for the first attempt without regard to its slow-start budget, since its
// planner keeps to that budget for all nodes.
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

// plannedServer is the server that a planner chose for the first attempt, if it may be used, or nil.
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

// candidates keeps the cheapest of the servers that are offered for an attempt.
type candidates struct {
	b               *Balancer
	request         *request
	expectedLatency float64 // ns
	// meanInFlight is how many of this node's attempts are in flight, for each unit of capacity.
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

// offer takes a server that costs less than the best so far. Nil and servers that must not be used are
// passed over.
func (c *candidates) offer(s *server, hasKey bool) {
	b := c.b
	b.examined++
	if s == nil || s == c.best || b.now < s.connectBackoffUntil {
		return
	}
	if c.busy(s) || !b.eligible(c.request, s) || b.onProbationFor(c.request, s) {
		return
	}
	if cost := b.cost(c.request, s, c.expectedLatency, hasKey); cost < c.bestCost {
		c.best, c.bestCost = s, cost
	}
}

// busy reports whether a server has over maxExcessInFlight more of this node's attempts in flight than the
// mean for its capacity.
func (c *candidates) busy(s *server) bool {
	return float64(s.inFlight) > maxExcessInFlight+c.meanInFlight*s.Capacity
}

// onProbationFor reports whether a server that has just returned from ejection is passed over for a
// request: until it has served one, it gets one at a time, and none that must not be repeated. A scan
// takes it all the same.
func (b *Balancer) onProbationFor(r *request, s *server) bool {
	return s.probation && (s.inFlight > 0 || b.settings.Classes[r.Class].Idempotency == NotIdempotent)
}

// eligible reports whether a request may go to a server at all.
func (b *Balancer) eligible(r *request, s *server) bool {
	return s.State == Ready &&
		!s.ejected &&
		b.now >= s.overloadedUntil &&
		b.maySend(r, s) &&
		!b.withheldForVerification(s) &&
		b.slowStartAllows(s) &&
		!r.sentTo(s)
}

// cost returns what is lost by sending a request to a server, in requests: the chance that the answer comes
// after its objective, and the costs of crossing zones and of a new connection. expectedLatency is in ns
// and for a server of normal speed; hasKey says that the server should have the request's key cached.
func (b *Balancer) cost(r *request, s *server, expectedLatency float64, hasKey bool) float64 {
	crowded := b.localZoneCrowded()
	ratio := b.loadedLatencyRatio(s)
	if hasKey {
		ratio = keyHitRatio(ratio, crowded)
	}
	cost := b.chanceOfLate(r, ratio*expectedLatency) + latencyCost*ratio
	if s.Zone != b.settings.Zone && !crowded {
		cost += b.settings.CrossZoneCost
	}
	if !b.hasIdleConnection(s) {
		cost += b.newConnectionCost
	}
	return cost
}

// loadedLatencyRatio is a server's latency ratio with what this node's attempts in flight there add. They
// weigh by the server's share of the capacity.
func (b *Balancer) loadedLatencyRatio(s *server) float64 {
	inFlight := latencyPerInFlight * float64(s.inFlight) * b.totalCapacity / (s.Capacity * float64(len(b.ready)))
	return s.currentLatencyRatio(b.now) + inFlight
}

// keyHitRatio is a server's latency ratio for a request whose key it has cached. In a crowded zone most of
// the latency is the wait for other requests, of which a hit saves nothing.
func keyHitRatio(ratio float64, crowded bool) float64 {
	if crowded {
		return ratio - keyHitSaving*min(ratio, 1)
	}
	return ratio * (1 - keyHitSaving)
}

// chanceOfLate is the chance that an answer with a mean latency, in ns, comes after the request's
// objective, if latencies are distributed exponentially.
func (b *Balancer) chanceOfLate(r *request, meanLatency float64) float64 {
	left := max(float64(r.objectiveAt-b.now), 1)
	return math.Exp(-left / meanLatency)
}

// localZoneCrowded reports whether this node sheds load while the servers of its zone are much slower than
// the others. Leaving the zone is free then.
func (b *Balancer) localZoneCrowded() bool {
	remote := b.remote.meanLatencyRatio()
	return b.concurrencyLimit > 0 && remote > 0 && b.local.meanLatencyRatio() > crowdedZoneRatio*remote
}

// scan looks for an eligible server where those drawn were none: one after another from a random start, as
// nodes must not all choose the same, it takes the one with the fewest of this node's attempts in flight.
// Unlike candidates.offer it takes busy servers, too, those in connect backoff and those on probation.
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

// hasIdleConnection reports whether a connection to a server is open and unused, as far as is known: all
// are in use while attempts are in flight, and idle ones close after Settings.IdleTimeout.
func (b *Balancer) hasIdleConnection(s *server) bool {
	return s.inFlight == 0 && s.lastResponseAt > 0 && b.now-s.lastResponseAt < b.settings.IdleTimeout
}
