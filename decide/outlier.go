package decide

import (
	"fmt"
	"math"
	"time"
)

// Outlier detection ejects servers that fail more than the others, for a while. It is gRFC A50, with its
// names:
// https://github.com/grpc/proposal/blob/master/A50-xds-outlier-detection.md
// Where it differs from the gRFC the comment says "Departure".

const (
	// outlierInterval is A50's interval: seconds, since faults last tens of them.
	outlierInterval = 2 * time.Second
	// baseEjectionTime and maxEjectionTime are A50's: a fault outlasts seconds, and a wrong ejection must
	// be short.
	baseEjectionTime = 4 * time.Second
	maxEjectionTime  = 30 * time.Second
	// maxEjectionShare is A50's max_ejection_percent, as a share: above what fails at once, and below what
	// the others could not carry.
	maxEjectionShare = 0.3
	// minimumHosts is A50's minimum_hosts, of both algorithms: fewer servers give no mean to differ from.
	minimumHosts = 5
	// successRateRequestVolume and failurePercentageRequestVolume are A50's request_volume. They are low,
	// since one node among many sends a server a call a second or less.
	successRateRequestVolume       = 8
	failurePercentageRequestVolume = 4
	// successRateStdevFactor is A50's success_rate stdev_factor, its default.
	successRateStdevFactor = 1.9
	// minSuccessRateStdev is a Departure: servers without any failure have no deviation, and one of them
	// would be ejected for a single failure.
	minSuccessRateStdev = 0.1
	// failurePercentageThreshold is A50's failure_percentage threshold, as a share.
	failurePercentageThreshold = 0.6

	// maxChanceOfRun is a Departure: a run of failures that chance brings less often is judged at once, and
	// not at the next sweep.
	maxChanceOfRun = 1e-4
	// minFailureShare and maxFailureShare bound the share of failures by which that chance is computed.
	minFailureShare = 0.01
	maxFailureShare = 0.9
	// commonFailureShare is the share of the node's calls that fail from which on no single server is the
	// cause.
	commonFailureShare = 0.5
)

// callCounter is an A50 bucket: the calls of an interval, by result.
type callCounter struct{ successes, failures float64 }

func (c callCounter) total() float64 { return c.successes + c.failures }

// outlierState is what outlier detection knows of a server, A50's map entry.
type outlierState struct {
	active, inactive    callCounter // A50's buckets: of this interval, and of the one before
	ejected             bool
	ejectedAt           time.Duration // A50's ejection timestamp, where ejected
	ejectionMultiplier  int
	consecutiveFailures int  // since the last success
	probation           bool // it has returned from ejection and has had no success since
}

// recordCall counts a call's result. Departure: a run of failures is judged at once, since a server that
// fails quickly looks idle and draws calls until the next sweep; and one failure is enough on probation.
func (b *Balancer) recordCall(s *server, failed bool) {
	if !failed {
		s.active.successes++
		s.consecutiveFailures, s.probation = 0, false
		b.successRate.add(b.now, 1)
		return
	}
	s.active.failures++
	s.consecutiveFailures++
	b.failureRate.add(b.now, 1)
	if !s.ejected && (b.improbableRun(s.consecutiveFailures) || s.probation) && b.mayEject() {
		b.eject(s, "run of failures")
	}
}

// failureShare is the share of the node's recent calls that failed.
func (b *Balancer) failureShare() float64 {
	successes, failures := b.successRate.rateAt(b.now), b.failureRate.rateAt(b.now)
	return failures / max(successes+failures, 1e-9)
}

// improbableRun reports whether chance alone hardly explains a run of so many failures, at the node's share
// of failures. When calls fail everywhere the run needed grows long, and no server is ejected for it.
func (b *Balancer) improbableRun(failures int) bool {
	share := min(max(b.failureShare(), minFailureShare), maxFailureShare)
	return float64(failures)*math.Log(share) < math.Log(maxChanceOfRun)
}

// mayEject reports whether one more server may be ejected, by A50's max_ejection_percent: one always may.
// Departure: the server to be ejected counts, too, so that no second one goes beyond the cap.
func (b *Balancer) mayEject() bool {
	ejected := b.ejectedCount
	return ejected == 0 || float64(ejected+1) <= maxEjectionShare*float64(len(b.ready))
}

// eject ejects a server, for a reason that the log names.
func (b *Balancer) eject(s *server, reason string) {
	b.setEjected(s, true)
	s.ejectedAt = b.now
	s.ejectionMultiplier++
	b.effects.Log(fmt.Sprintf("eject server %d: %s (x%d)", s.ID, reason, s.ejectionMultiplier))
}

// unejectIfDue returns an ejected server once its ejection time is over, on probation.
func (b *Balancer) unejectIfDue(s *server) {
	ejectionTime := min(baseEjectionTime*time.Duration(s.ejectionMultiplier), maxEjectionTime)
	if b.now <= s.ejectedAt+ejectionTime {
		return
	}
	b.setEjected(s, false)
	s.probation, s.consecutiveFailures = true, 0
	s.active = callCounter{}
	b.effects.Log(fmt.Sprintf("return server %d", s.ID))
}

// sweepOutliers runs once an interval, in A50's order: swap the buckets, run both algorithms, then let
// multipliers fall and servers return.
func (b *Balancer) sweepOutliers() {
	for _, s := range b.ready {
		s.inactive, s.active = s.active, callCounter{}
	}
	b.ejectAbove("success rate", successRateRequestVolume, b.maxFailureShareBySuccessRate())
	// Departure: not when most calls fail everywhere, as each ejection would only load the others.
	if b.failureShare() <= commonFailureShare {
		b.ejectAbove("failure percentage", failurePercentageRequestVolume, failurePercentageThreshold)
	}
	for _, s := range b.ready {
		s.carryOverThinEvidence()
		if s.ejected {
			b.unejectIfDue(s)
		} else {
			s.ejectionMultiplier = max(0, s.ejectionMultiplier-1)
		}
	}
}

// maxFailureShareBySuccessRate is the threshold of A50's success rate algorithm, as a share of failures:
// the mean success rate less so many standard deviations. They are the population's, since the servers are
// all there are.
func (b *Balancer) maxFailureShareBySuccessRate() float64 {
	var hosts, sum, squares float64
	for _, s := range b.ready {
		if total := s.inactive.total(); total >= successRateRequestVolume {
			rate := s.inactive.successes / total
			hosts, sum, squares = hosts+1, sum+rate, squares+rate*rate
		}
	}
	mean := sum / max(hosts, 1)
	stdev := math.Sqrt(max(0, squares/max(hosts, 1)-mean*mean))
	threshold := mean - successRateStdevFactor*max(minSuccessRateStdev, stdev)
	return 1 - threshold
}

// ejectAbove ejects the servers of at least the request volume that failed more than a share of their
// calls, as far as the cap allows, where minimumHosts servers reached that volume.
func (b *Balancer) ejectAbove(reason string, requestVolume, maxShare float64) {
	hosts := b.countReady(func(s *server) bool { return s.inactive.total() >= requestVolume })
	if hosts < minimumHosts {
		return
	}
	for _, s := range b.ready {
		total := s.inactive.total()
		if total >= requestVolume && !s.ejected && s.inactive.failures > maxShare*total && b.mayEject() {
			b.eject(s, reason)
		}
	}
}

// carryOverThinEvidence is a Departure: the calls of an interval with too few for the success rate count
// half in the next, so that a server with few calls is judged over a longer time.
func (s *server) carryOverThinEvidence() {
	if s.inactive.total() < successRateRequestVolume {
		s.active.successes += s.inactive.successes / 2
		s.active.failures += s.inactive.failures / 2
	}
}

// countReady counts the servers ready for which something holds.
func (b *Balancer) countReady(holds func(*server) bool) (n int) {
	b.examined += uint64(len(b.ready))
	for _, s := range b.ready {
		if holds(s) {
			n++
		}
	}
	return n
}

// EjectedCount is how many servers are ejected as outliers.
func (b *Balancer) EjectedCount() int { return b.ejectedCount }
