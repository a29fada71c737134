package decide

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// connectBackoffBase is how long a server that accepted no connection is skipped, before jitter. The
	// time doubles with each consecutive failure, at most maxConnectBackoffDoublings times.
	connectBackoffBase         = 500 * time.Millisecond
	maxConnectBackoffDoublings = 3

	// connectTimeoutThreshold is longer than a refused connection takes. A connection that took at least this
	// long to fail got no response at all.
	connectTimeoutThreshold = 100 * time.Millisecond
	// connectTimeoutsForZone is the number of consecutive connect timeouts, without an answer in between,
	// after which the whole zone is considered unreachable.
	connectTimeoutsForZone = 3

	// minSlowStartSlowdown is the minimum ratio of local to remote latency at which a zone is not
	// verified, regardless of SlowStartShare.
	minSlowStartSlowdown = 2
	// minStartShare avoids a division by 0.
	minStartShare = 0.01
)

// restartSuspicion tracks whether the local zone may have restarted. Discovery announces restarts with a
// delay of up to maxListDelay. Until then, restarted servers would get the load of warm ones.
type restartSuspicion struct {
	connectTimeouts int // consecutive connect timeouts in the local zone since its last answer

	zoneSuspicions  uint64        // how often the whole local zone was suspected of a restart
	zoneSuspectedAt time.Duration // when the whole zone was last suspected

	// zoneUnverifiedUntil is the time until which the local zone may have restarted together with this
	// node without the node knowing, because its first endpoint list may be out of date. It is 0 once the
	// zone is verified.
	zoneUnverifiedUntil time.Duration
	zoneSample          *server // the local server that is tried until the zone is verified
	zoneSampleCount     int     // number of samples drawn so far
}

// recordConnectFailure handles an attempt that waited for a connection to a server, for the time took, and
// got none. The server is then skipped for a while, and a restart is suspected. If the server responded
// within the last connectBackoffBase, neither happens: otherwise a small pool on a busy machine would have
// no server left.
func (b *Balancer) recordConnectFailure(s *server, took time.Duration) {
	if b.now-s.lastResponseAt <= connectBackoffBase {
		return
	}
	b.recordUnreachable(s, took)
	doublings := min(s.consecutiveFailures, maxConnectBackoffDoublings)
	jitter := 0.5 + b.rng.Float64()
	s.connectBackoffUntil = b.now + time.Duration(float64(connectBackoffBase<<doublings)*jitter)
}

// recordUnreachable records that an attempt waited in vain for a connection to a server, for the time took.
// Only the endpoint list announces, later, whether the server restarted. Until then the server is treated as
// in slow start: nodes that treated such servers as warm overloaded them.
//
// Several connect timeouts in the local zone make the whole zone suspected. One is enough if the node is
// not subscribed to discovery, as no restart would be announced.
func (b *Balancer) recordUnreachable(s *server, took time.Duration) {
	timedOutInZone := s.Zone == b.settings.Zone && took >= connectTimeoutThreshold
	if timedOutInZone {
		b.connectTimeouts++
	}
	unwatched := b.settings.PollDiscovery && !b.subscribed
	if b.connectTimeouts >= connectTimeoutsForZone || timedOutInZone && unwatched {
		b.suspectZone()
		return
	}
	b.examined++
	b.applyZoneSuspicion(s)
	s.unreachableAt, s.suspicionEndsAt = b.now, 0
	b.beginSlowStart(s)
	b.updateWeight(s)
}

// suspectZone suspects all local servers of a restart. The sums over all servers change now, the state of each server
// when the server is next examined (see applyZoneSuspicion), and the weights at the next tick.
func (b *Balancer) suspectZone() {
	b.zoneSuspicions++
	b.zoneSuspectedAt = b.now
	b.suspectZoneSums()
}

// applyZoneSuspicion applies suspicions of the whole zone to a local server that has not been examined
// since. The first value of its slow-start budget is random but independent of when the server is examined.
func (b *Balancer) applyZoneSuspicion(s *server) {
	if s.zoneSuspicions == b.zoneSuspicions || s.Zone != b.settings.Zone {
		return
	}
	s.zoneSuspicions = b.zoneSuspicions
	s.unreachableAt, s.suspicionEndsAt = b.zoneSuspectedAt, 0
	first := rand.New(rand.NewPCG(b.seed^uint64(s.ID), b.zoneSuspicions)).Float64()
	s.slowStartTokens, s.slowStartTokensAt = -first, b.zoneSuspectedAt
}

// restartSuspected reports whether a server may have restarted without the endpoint list having announced
// it: from when the server was found unreachable until maxListDelay after its first response since.
func (b *Balancer) restartSuspected(s *server) bool {
	b.applyZoneSuspicion(s)
	return s.unreachableAt > 0 && (s.suspicionEndsAt == 0 || b.now < s.suspicionEndsAt)
}

// blockedByZoneVerification reports whether a server must not get a request until its zone is verified. Only the
// sampled server gets requests, one at a time, so that nodes that start together do not overload a zone that
// has just restarted. The rule applies only if the other zones have a warm server that can serve instead.
func (b *Balancer) blockedByZoneVerification(s *server) bool {
	return b.now < b.zoneUnverifiedUntil &&
		s.Zone == b.settings.Zone &&
		b.slowStartFactor(s) == 1 &&
		b.remote.warmCapacity > 0 &&
		(s != b.zoneSample || b.local.inFlight > 0)
}

// offerZoneSample draws and offers the local server that is tried until the zone is verified. A
// low-discrepancy sequence that starts at the node's index spreads nodes that start together evenly over
// the servers. If there are more nodes than servers, some draw none.
func (b *Balancer) offerZoneSample(c *candidates) {
	if b.now >= b.zoneUnverifiedUntil {
		return
	}
	_, fraction := math.Modf(float64(b.settings.NodeIndex+b.zoneSampleCount*max(1, b.settings.NodeCount)) * math.Phi)
	nodesInZone := b.settings.NodeCount / max(1, b.settings.ZoneCount)
	position := int(fraction * float64(max(len(b.local.servers), nodesInZone)))
	b.zoneSample = b.keyTree.at(position) // the order is the same on all nodes
	b.zoneSampleCount++
	c.offer(b.zoneSample, false)
}

// verifyZone compares the latency per unit of work of local and remote servers, given an answer's latency
// in ns. The zone is verified as not restarted once the geometric mean of its latencies is nearer to that
// of the remote servers than to the latency of servers that have just started. A mean over several
// answers is used so that one long request does not decide.
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
