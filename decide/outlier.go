package decide

import (
	"fmt"
	"math"
	"time"
)

// Outlier detection ejects servers that fail more often than the others, for a limited time. It follows
// gRFC A50 and uses its names:
// https://github.com/grpc/proposal/blob/master/A50-xds-outlier-detection.md
// Differences from the gRFC are marked "Departure" in the comments.

const (
	// outlierInterval is A50's interval. It is a few seconds long, since faults last tens of seconds.
	outlierInterval = 2 * time.Second
	// baseEjectionTime and maxEjectionTime are A50's. A fault lasts for more than a few seconds, and a
	// wrong ejection must be short.
	baseEjectionTime = 4 * time.Second
	maxEjectionTime  = 30 * time.Second
	// maxEjectionShare is A50's max_ejection_percent, as a share. It is above the share of servers that
	// fail at the same time, and below the share whose load the other servers could not carry.
	maxEjectionShare = 0.3
	// minimumHosts is A50's minimum_hosts, for both algorithms: with fewer servers the mean is not meaningful.
	minimumHosts = 5
	// successRateRequestVolume and failurePercentageRequestVolume are A50's request_volume. They are low,
	// since one node of many sends a server at most one call per second.
	successRateRequestVolume       = 8
	failurePercentageRequestVolume = 4
	// successRateStdevFactor is A50's success_rate stdev_factor, its default.
	successRateStdevFactor = 1.9
	// minSuccessRateStdev is a Departure: among servers without failures the deviation is 0, and a single
	// failure would get a server ejected.
	minSuccessRateStdev = 0.1
	// failurePercentageThreshold is A50's failure_percentage threshold, as a share.
	failurePercentageThreshold = 0.6

	// maxRunProbability is a Departure: a run of failures that is less likely than this by chance ejects the
	// server at once rather than at the next sweep.
	maxRunProbability = 1e-4
	// minFailureShare and maxFailureShare bound the share of failures that this probability is computed with.
	minFailureShare = 0.01
	maxFailureShare = 0.9
	// commonFailureShare is the share of failed calls among the node's calls above which no single server is
	// the cause of the failures.
	commonFailureShare = 0.5
)

// callCounter is an A50 bucket: the calls of one interval, by result.
type callCounter struct{ successes, failures float64 }

func (c callCounter) total() float64 { return c.successes + c.failures }

// outlierState is what outlier detection stores for one server: A50's map entry.
type outlierState struct {
	active, inactive    callCounter // A50's buckets: of this interval and of the previous one
	ejected             bool
	ejectedAt           time.Duration // A50's ejection timestamp, if the server is ejected
	ejectionMultiplier  int
	consecutiveFailures int  // number of failures since the last success
	probation           bool // the server has returned from ejection and had no success since
}

// recordCall counts a call's result. Departure: a run of failures is evaluated at once, since a server that
// fails fast looks idle and would attract calls until the next sweep. On probation, a single failure ejects.
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

// failureShare returns the share of the node's recent calls that failed.
func (b *Balancer) failureShare() float64 {
	successes, failures := b.successRate.rateAt(b.now), b.failureRate.rateAt(b.now)
	return failures / max(successes+failures, 1e-9)
}

// improbableRun reports whether a run of this many failures is improbable by chance at the node's share of
// failures. If calls fail at all servers, the run that ejects grows long and no server is ejected for it.
func (b *Balancer) improbableRun(failures int) bool {
	share := min(max(b.failureShare(), minFailureShare), maxFailureShare)
	return float64(failures)*math.Log(share) < math.Log(maxRunProbability)
}

// mayEject reports whether one more server may be ejected under A50's max_ejection_percent; the first one always
// may. Departure: the server to be ejected counts, too, so that only the first ejection can exceed the maximum.
func (b *Balancer) mayEject() bool {
	ejected := b.ejectedCount
	return ejected == 0 || float64(ejected+1) <= maxEjectionShare*float64(len(b.ready))
}

// eject ejects a server. The reason is logged.
func (b *Balancer) eject(s *server, reason string) {
	b.setEjected(s, true)
	s.ejectedAt = b.now
	s.ejectionMultiplier++
	b.effects.Log(fmt.Sprintf("eject server %d: %s (x%d)", s.ID, reason, s.ejectionMultiplier))
}

// unejectIfDue returns an ejected server to service, on probation, once its ejection time has passed.
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

// sweepOutliers runs once per interval, in A50's order: swap the buckets, run both algorithms, then
// decrement multipliers and uneject servers.
func (b *Balancer) sweepOutliers() {
	for _, s := range b.ready {
		s.inactive, s.active = s.active, callCounter{}
	}
	b.ejectAbove("success rate", successRateRequestVolume, b.maxFailureShareBySuccessRate())
	// Departure from A50: while most of the node's calls fail, taken over all servers, this algorithm ejects
	// no server, as an ejection would only increase the load of the remaining servers.
	if b.failureShare() <= commonFailureShare {
		b.ejectAbove("failure percentage", failurePercentageRequestVolume, failurePercentageThreshold)
	}
	for _, s := range b.ready {
		s.carryOverSmallSample()
		if s.ejected {
			b.unejectIfDue(s)
		} else {
			s.ejectionMultiplier = max(0, s.ejectionMultiplier-1)
		}
	}
}

// maxFailureShareBySuccessRate returns the threshold of A50's success rate algorithm, as a share of
// failures: the mean success rate minus successRateStdevFactor standard deviations. It uses the
// population's standard deviation, since the servers are the whole population.
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

// ejectAbove ejects the servers whose share of failures exceeds maxShare, among those with at least the
// request volume, as long as mayEject allows. At least minimumHosts servers must have the request volume.
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

// carryOverSmallSample is a Departure: if an interval has too few calls for the success rate, half of
// them count in the next one, so that a server with few calls is judged over a longer time.
func (s *server) carryOverSmallSample() {
	if s.inactive.total() < successRateRequestVolume {
		s.active.successes += s.inactive.successes / 2
		s.active.failures += s.inactive.failures / 2
	}
}

// countReady counts the ready servers that match a condition.
func (b *Balancer) countReady(match func(*server) bool) (n int) {
	b.examined += uint64(len(b.ready))
	for _, s := range b.ready {
		if match(s) {
			n++
		}
	}
	return n
}

// EjectedCount returns the number of servers that are ejected as outliers.
func (b *Balancer) EjectedCount() int { return b.ejectedCount }
