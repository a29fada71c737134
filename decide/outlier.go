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
	falseRun = 1e-4
	leastBad = 0.01
	// commonMode: above this share of failures over the node no one server is
	// the cause, and none is judged on failures alone.
	commonMode = 0.5
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

// detector holds what outlier detection knows across servers.
type detector struct {
	ejectedCount      int
	okMeter, badMeter meter
}

// badShare is the share of the node's calls that failed of late.
func (d *detector) badShare(now time.Duration) float64 {
	ok, bad := d.okMeter.at(now), d.badMeter.at(now)
	return bad / max(ok+bad, 1e-9)
}

// improbable says whether chance alone hardly explains a run of failures. In a
// failure common to all servers the runs needed grow long, and none is ejected.
func (d *detector) improbable(run int, now time.Duration) bool {
	share := min(max(d.badShare(now), leastBad), 0.9)
	return float64(run)*math.Log(share) < math.Log(falseRun)
}

// record books a call result; the run of failures may end in an ejection.
func (d *detector) record(s *server, bad bool, now time.Duration, servers []*server, out Effects) {
	if !bad {
		s.active.ok++
		s.run, s.probation = 0, false
		d.okMeter.add(now, 1)
		return
	}
	s.active.bad++
	s.run++
	d.badMeter.add(now, 1)
	// Departure (between sweeps): a server that only fails looks idle and draws calls. A run
	// of failures is judged on the spot, one failure where it has just returned.
	if !s.ejected && (d.improbable(s.run, now) || s.probation) && d.mayEject(servers) {
		d.eject(s, now, "run of failures", out)
	}
}

// mayEject applies the cap: one server may always go.
func (d *detector) mayEject(servers []*server) bool {
	return d.ejectedCount == 0 || float64(d.ejectedCount+1) <= maxEjectionShare*float64(len(servers))
}

func (d *detector) eject(s *server, at time.Duration, why string, out Effects) {
	s.ejected, s.ejectedAt = true, at
	s.multiplier++
	d.ejectedCount++
	out.Log(fmt.Sprintf("eject server %d: %s (x%d)", s.ID, why, s.multiplier))
}

// forget drops a server from the count when it leaves or starts anew.
func (d *detector) forget(s *server) {
	if s.ejected {
		d.ejectedCount--
	}
	s.health = health{}
}

// sweep runs once an interval, in the paper's order.
func (d *detector) sweep(now time.Duration, servers []*server, out Effects) {
	for _, s := range servers {
		s.closed, s.active = s.active, bucket{}
	}
	d.bySuccessRate(now, servers, out)
	// By failure percentage, a fixed threshold. Departure (common mode): not when most calls
	// fail everywhere, as each ejection would only load the rest.
	if d.badShare(now) <= commonMode {
		d.judge("failure percentage", failureVolume, failureThreshold, now, servers, out)
	}
	for _, s := range servers {
		// Departure (thin evidence): a window below the floor was not judged; its counts
		// carry over at half weight, so that floors are met over a longer one.
		if s.closed.total() < successVolume {
			s.active.ok += s.closed.ok / 2
			s.active.bad += s.closed.bad / 2
		}
		if !s.ejected {
			s.multiplier = max(0, s.multiplier-1)
		} else if now > s.ejectedAt+min(baseEjection*time.Duration(s.multiplier), maxEjection) {
			d.ejectedCount--
			s.ejected, s.probation, s.run = false, true, 0
			s.active = bucket{}
			out.Log(fmt.Sprintf("return server %d", s.ID))
		}
	}
}

// bySuccessRate ejects servers whose success rate lies below the mean by more
// than stdevFactor deviations.
func (d *detector) bySuccessRate(now time.Duration, servers []*server, out Effects) {
	var n, sum, sq float64
	for _, s := range servers {
		if t := s.closed.total(); t >= successVolume {
			rate := s.closed.ok / t
			n, sum, sq = n+1, sum+rate, sq+rate*rate
		}
	}
	// Population deviation: the servers at hand are all there are.
	mean := sum / max(n, 1)
	cut := mean - stdevFactor*max(minDeviation, math.Sqrt(max(0, sq/max(n, 1)-mean*mean)))
	d.judge("success rate", successVolume, 1-cut, now, servers, out)
}

// judge ejects servers that failed more than a share of their calls, where
// minimumHosts reached the request volume and as far as the cap allows.
func (d *detector) judge(why string, volume, share float64, now time.Duration, servers []*server, out Effects) {
	n := 0
	for _, s := range servers {
		if s.closed.total() >= volume {
			n++
		}
	}
	if n < minimumHosts {
		return
	}
	for _, s := range servers {
		t := s.closed.total()
		if !d.mayEject(servers) {
			return
		}
		if t >= volume && !s.ejected && s.closed.bad > share*t {
			d.eject(s, now, why, out)
		}
	}
}
