package decide

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// connectBackoffBase is for how long a server that took no connection is passed over, with jitter. It
	// doubles with each failure in a row, maxConnectBackoffDoublings times at the most.
	connectBackoffBase         = 500 * time.Millisecond
	maxConnectBackoffDoublings = 3

	// silentConnectTime is longer than a refused connection takes: one that failed no sooner was not
	// answered at all.
	silentConnectTime = 100 * time.Millisecond
	// silentConnectsForZone silent connections in a row, with no answer between, say that the whole zone is
	// away.
	silentConnectsForZone = 3

	// minSlowStartSlowdown is the least factor of latency, local over remote, from which on a zone is not
	// verified, whatever SlowStartShare implies.
	minSlowStartSlowdown = 2
	// minStartShare avoids dividing by 0.
	minStartShare = 0.01
)

// restartSuspicion is what is known of whether the local zone restarted. A node learns of restarts from
// discovery, which is late by up to maxListDelay. Until then servers that restarted would get what warm
// ones bear.
type restartSuspicion struct {
	silentConnects int // silent connections to the local zone in a row, since it last answered

	zoneSuspicions  uint64        // how often the whole local zone came under suspicion of a restart
	zoneSuspectedAt time.Duration // when it last did

	// Until zoneUnverifiedUntil the local zone may have restarted together with this node, whose first list
	// may be old. 0 once the zone is verified.
	zoneUnverifiedUntil time.Duration
	zoneSample          *server // the local server that is tried meanwhile
	zoneSamples         int     // how many were drawn so far
}

// recordConnectFailure notes that a server took no connection for so long: it is passed over for a while,
// and may have restarted. Neither holds where it answered within the last connectBackoffBase, or a busy
// machine's small pool would have no server left.
func (b *Balancer) recordConnectFailure(s *server, took time.Duration) {
	if b.now-s.lastResponseAt <= connectBackoffBase {
		return
	}
	b.recordConnectionLost(s, took)
	doublings := min(s.consecutiveFailures, maxConnectBackoffDoublings)
	jitter := 0.5 + b.rng.Float64()
	s.connectBackoffUntil = b.now + time.Duration(float64(connectBackoffBase<<doublings)*jitter)
}

// recordConnectionLost notes that a server took no connection for so long. Only the endpoint list, later,
// says whether it restarted, so it is in slow start until then: nodes that took such servers for warm
// overloaded them.
//
// Several silent connections to the local zone put all of the zone under suspicion. One is enough where
// discovery is not being watched, as no restart would be announced.
func (b *Balancer) recordConnectionLost(s *server, took time.Duration) {
	silentInZone := s.Zone == b.settings.Zone && took >= silentConnectTime
	if silentInZone {
		b.silentConnects++
	}
	unwatched := b.settings.PollDiscovery && !b.subscribed
	if b.silentConnects >= silentConnectsForZone || silentInZone && unwatched {
		b.suspectZone()
		return
	}
	b.examined++
	b.applyZoneSuspicion(s)
	s.connectionLostAt, s.suspicionEndsAt = b.now, 0
	b.beginSlowStart(s)
	b.updateWeight(s)
}

// suspectZone puts all local servers under suspicion of a restart. A server takes it over when it is next
// looked at, see applyZoneSuspicion; the sums over all of them change now, and the weights at the next
// tick.
func (b *Balancer) suspectZone() {
	b.zoneSuspicions++
	b.zoneSuspectedAt = b.now
	b.suspectZoneSums()
}

// applyZoneSuspicion brings a local server up to date with suspicions of the whole zone. The first share of
// its slow-start budget is random, but does not depend on when it is looked at.
func (b *Balancer) applyZoneSuspicion(s *server) {
	if s.zoneSuspicions == b.zoneSuspicions || s.Zone != b.settings.Zone {
		return
	}
	s.zoneSuspicions = b.zoneSuspicions
	s.connectionLostAt, s.suspicionEndsAt = b.zoneSuspectedAt, 0
	first := rand.New(rand.NewPCG(b.seed^uint64(s.ID), b.zoneSuspicions)).Float64()
	s.slowStartTokens, s.slowStartTokensAt = -first, b.zoneSuspectedAt
}

// restartSuspected reports whether a server may have restarted without the endpoint list saying so yet:
// since a connection to it was lost, until maxListDelay after it first answered again.
func (b *Balancer) restartSuspected(s *server) bool {
	b.applyZoneSuspicion(s)
	return s.connectionLostAt > 0 && (s.suspicionEndsAt == 0 || b.now < s.suspicionEndsAt)
}

// withheldForVerification reports whether a server must not get a request while its zone is not verified:
// only the sampled server does, one request at a time, so that nodes which all begin together do not
// overload a zone that has just restarted. It holds where the other zones have a warm server that can serve
// instead.
func (b *Balancer) withheldForVerification(s *server) bool {
	return b.now < b.zoneUnverifiedUntil &&
		s.Zone == b.settings.Zone &&
		b.slowStartFactor(s) == 1 &&
		b.remote.warmCapacity > 0 &&
		(s != b.zoneSample || b.local.inFlight > 0)
}

// offerZoneSample draws the local server that is tried while the zone is not verified, and offers it. Nodes
// that begin together spread evenly over the servers, by a sequence of low discrepancy that starts at the
// node's index; where there are more nodes than servers, some draw none.
func (b *Balancer) offerZoneSample(c *candidates) {
	if b.now >= b.zoneUnverifiedUntil {
		return
	}
	_, fraction := math.Modf(float64(b.settings.NodeIndex+b.zoneSamples*max(1, b.settings.NodeCount)) * math.Phi)
	nodesInZone := b.settings.NodeCount / max(1, b.settings.ZoneCount)
	position := int(fraction * float64(max(len(b.local.servers), nodesInZone)))
	b.zoneSample = b.keyTree.at(position) // its order is the same at all nodes
	b.zoneSamples++
	c.offer(b.zoneSample, false)
}

// verifyZone compares the latency of an answer, in ns for its work, between the local and the remote
// servers. The zone is verified as not restarted once its answers are nearer, on the logarithmic mean, to
// the others' than to what servers that have just started would take: one long request must not decide.
func (b *Balancer) verifyZone(r *request, s *server, took float64) {
	work := cmp.Or(r.WorkHint, b.settings.Classes[r.Class].LatencyObjective/defaultHintDivisor)
	group := b.groupOf(s)
	group.verificationAnswers++
	group.logLatencySum += math.Log(max(took, 1) / float64(max(1, work)))
	local, remote := &b.local, &b.remote
	if min(local.verificationAnswers, remote.verificationAnswers) <= 0 {
		return
	}
	slowdown := max(minSlowStartSlowdown, 1/math.Sqrt(max(b.settings.SlowStartShare, minStartShare)))
	if local.meanLogLatency() <= remote.meanLogLatency()+math.Log(slowdown) {
		b.zoneUnverifiedUntil = 0
	}
}
