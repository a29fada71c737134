package decide

import (
	"fmt"
	"math"
	"time"
)

// A50 outlier detection. Names follow the paper; what differs is a "Departure".
const (
	sweepEvery = 2 * time.Second // A50's interval: seconds, since faults last tens of them
	// baseEjection and maxEjection: a fault outlasts seconds, and a wrong ejection must be short.
	baseEjection = 4 * time.Second
	maxEjection  = 30 * time.Second
	// maxEjectionShare caps the ejected share (one may always go): well above
	// the share of servers that fails at once, below what the rest can carry.
	maxEjectionShare = 0.3
	minimumHosts     = 5

	// The floors are low, since a node among many sends one server a call a second or
	// less; carry makes the windows longer where even these are not met.
	successVolume = 8
	failureVolume = 4
	stdevFactor   = 1.9
	// minDeviation keeps a fleet without any failure from ejecting a server
	// for one: with no spread, the paper's cut would lie at 100%.
	minDeviation     = 0.1
	failureThreshold = 0.6

	// A run of failures with no success between is judged at once when chance would bring
	// it less often than falseRun, at the node's share of failures, or leastBad if less.
	falseRun   = 1e-4
	leastBad   = 0.01
	commonMode = 0.5 // share of failures from which on no one server is the cause
)

type bucket struct{ ok, bad float64 }

func (c bucket) total() float64 { return c.ok + c.bad }

// health is what outlier detection keeps of a server.
type health struct {
	active, closed bucket
	ejected        bool
	ejectedAt      time.Duration
	multiplier     int
	run            int  // failures since the last success
	probation      bool // returned from ejection, nothing answered since
}

// badShare is the share of the node's calls that failed of late.
func (b *Balancer) badShare() float64 {
	ok, bad := b.okMeter.at(b.now), b.badMeter.at(b.now)
	return bad / max(ok+bad, 1e-9)
}

// improbable says whether chance alone hardly explains a run of failures. In a
// failure common to all servers the runs needed grow long, and none is ejected.
func (b *Balancer) improbable(run int) bool {
	share := min(max(b.badShare(), leastBad), 0.9)
	return float64(run)*math.Log(share) < math.Log(falseRun)
}

// record books a call result; the run of failures may end in an ejection.
func (b *Balancer) record(s *server, bad bool) {
	if !bad {
		s.active.ok++
		s.run, s.probation = 0, false
		b.okMeter.add(b.now, 1)
		return
	}
	s.active.bad++
	s.run++
	b.badMeter.add(b.now, 1)
	// Departure (between sweeps): a server that only fails looks idle and draws calls. A run
	// of failures is judged on the spot, one failure where it has just returned.
	if !s.ejected && (b.improbable(s.run) || s.probation) && b.mayEject() {
		b.eject(s, "run of failures")
	}
}

// count counts the servers ready for which something holds.
func (b *Balancer) count(holds func(*server) bool) (n int) {
	b.looked += uint64(len(b.ready))
	for _, s := range b.ready {
		if holds(s) {
			n++
		}
	}
	return n
}

// mayEject applies the cap: one server may always go.
func (b *Balancer) mayEject() bool {
	n := b.ejectedCount
	return n == 0 || float64(n+1) <= maxEjectionShare*float64(len(b.ready))
}

func (b *Balancer) eject(s *server, why string) {
	b.setEjected(s, true)
	s.ejectedAt = b.now
	s.multiplier++
	b.out.Log(fmt.Sprintf("eject server %d: %s (x%d)", s.ID, why, s.multiplier))
}

// sweep runs once an interval, in the paper's order.
func (b *Balancer) sweep() {
	// By success rate: below the mean by more than stdevFactor deviations, the population's, as the
	// servers at hand are all there are.
	var n, sum, sq float64
	for _, s := range b.ready {
		s.closed, s.active = s.active, bucket{}
		if t := s.closed.total(); t >= successVolume {
			rate := s.closed.ok / t
			n, sum, sq = n+1, sum+rate, sq+rate*rate
		}
	}
	mean := sum / max(n, 1)
	cut := mean - stdevFactor*max(minDeviation, math.Sqrt(max(0, sq/max(n, 1)-mean*mean)))
	b.judge("success rate", successVolume, 1-cut)
	// By failure percentage, a fixed threshold. Departure (common mode): not when most calls
	// fail everywhere, as each ejection would only load the rest.
	if b.badShare() <= commonMode {
		b.judge("failure percentage", failureVolume, failureThreshold)
	}
	for _, s := range b.ready {
		// Departure (thin evidence): a window below the floor was not judged; its counts
		// carry over at half weight, so that floors are met over a longer one.
		if s.closed.total() < successVolume {
			s.active.ok += s.closed.ok / 2
			s.active.bad += s.closed.bad / 2
		}
		if !s.ejected {
			s.multiplier = max(0, s.multiplier-1)
		} else if b.now > s.ejectedAt+min(baseEjection*time.Duration(s.multiplier), maxEjection) {
			b.setEjected(s, false)
			s.probation, s.run = true, 0
			s.active = bucket{}
			b.out.Log(fmt.Sprintf("return server %d", s.ID))
		}
	}
}

// judge ejects servers that failed more than a share of their calls, where
// minimumHosts reached the request volume and as far as the cap allows.
func (b *Balancer) judge(why string, volume, share float64) {
	if b.count(func(s *server) bool { return s.closed.total() >= volume }) < minimumHosts {
		return
	}
	for _, s := range b.ready {
		if t := s.closed.total(); t >= volume && !s.ejected && s.closed.bad > share*t && b.mayEject() {
			b.eject(s, why)
		}
	}
}
