package decide

import (
	"testing"
	"time"
)

// setActiveCalls gives a server the calls of the interval that the next sweep ends.
func setActiveCalls(s *server, ok, bad float64) { s.active = callCounter{ok, bad} }

// One of ten servers fails nine of twenty calls, and the others none. A sweep ejects that one alone.
func TestSweepEjectsBySuccessRate(t *testing.T) {
	b, _ := start(testSettings(), 10)
	for _, s := range b.ready {
		setActiveCalls(s, 20, 0)
	}
	setActiveCalls(b.ready[3], 11, 9)
	b.sweepOutliers()
	for i, s := range b.ready {
		if s.ejected != (i == 3) {
			t.Errorf("server %d: ejected is %v", i, s.ejected)
		}
	}
	if b.ready[3].ejectionMultiplier != 1 {
		t.Errorf("multiplier is %d", b.ready[3].ejectionMultiplier)
	}
}

// Servers fail all their calls, but first too few servers have the request volume, and then the others too
// few calls. A sweep ejects none.
func TestSweepNeedsMinimumHostsAndRequestVolume(t *testing.T) {
	b, _ := start(testSettings(), 10)
	for _, s := range b.ready[:minimumHosts-1] {
		setActiveCalls(s, 0, 20)
	}
	b.sweepOutliers()
	for _, s := range b.ready[minimumHosts:] {
		setActiveCalls(s, 0, 1)
	}
	b.sweepOutliers()
	if ejectedServers(b) != 0 {
		t.Errorf("%d servers ejected without hosts or volume", ejectedServers(b))
	}
}

// Every server fails, of a node that is well otherwise. Ejections stop at maxEjectionShare of them, and one
// is always possible.
func TestEjectionsAreCapped(t *testing.T) {
	for n, most := range map[int]int{2: 1, 10: 3, 40: 12} {
		b, _ := start(testSettings(), n)
		for _, s := range b.ready {
			b.successRate.add(b.now, 100) // the node as a whole is well
			for range 10 {
				b.recordCall(s, true)
			}
		}
		if ejectedServers(b) != most {
			t.Errorf("%d servers: %d ejected, want %d", n, ejectedServers(b), most)
		}
	}
}

// A server is ejected twice. It returns after twice the base ejection time, on probation, and its
// multiplier falls with the next sweep in service.
func TestEjectionEndsAndMultiplierFalls(t *testing.T) {
	b, _ := start(testSettings(), 10)
	s := b.ready[0]
	b.eject(s, "test")
	b.eject(s, "test")
	from := b.now
	for b.now < from+2*baseEjectionTime {
		b.sweepOutliers()
		if !s.ejected {
			t.Fatalf("returned after %v, want %v", b.now-from, 2*baseEjectionTime)
		}
		b.now += outlierInterval
	}
	b.now++
	b.sweepOutliers()
	if s.ejected || !s.probation || ejectedServers(b) != 0 {
		t.Fatalf("not returned on probation: %+v", s.outlierState)
	}
	b.now++
	b.sweepOutliers()
	if s.ejectionMultiplier != 1 {
		t.Errorf("multiplier is %d after a sweep in service", s.ejectionMultiplier)
	}
}

// A node among many sends a server a call every few seconds, and one server fails them all. Its calls are
// carried over from interval to interval, or the request volume would never be reached.
func TestThinEvidenceCarriesOver(t *testing.T) {
	b, _ := start(testSettings(), 10)
	for range 3 {
		for i, s := range b.ready {
			if i == 2 {
				s.active.failures += 3
			} else {
				s.active.successes += 3
			}
		}
		b.now += outlierInterval
		b.sweepOutliers()
	}
	if !b.ready[2].ejected || ejectedServers(b) != 1 {
		t.Errorf("ejected: %v, in all %d", b.ready[2].ejected, ejectedServers(b))
	}
}

// Seven of ten calls fail at every server alike. Ejecting servers would only load the others, so at most
// one goes.
func TestCommonFailureEjectsNobody(t *testing.T) {
	b, _ := start(testSettings(), 20)
	for range 200 {
		for _, s := range b.ready {
			b.recordCall(s, b.rng.Float64() < 0.7)
		}
		b.now += 50 * time.Millisecond
	}
	for range 3 {
		b.sweepOutliers()
	}
	if ejectedServers(b) > 1 {
		t.Errorf("%d of 20 servers ejected while 70%% fail everywhere", ejectedServers(b))
	}
}

// A server fails four calls in a row at a node where nothing else fails. It is ejected at once, without a
// sweep.
func TestRunOfFailuresEjectsBetweenSweeps(t *testing.T) {
	b, _ := start(testSettings(), 20)
	for range 200 {
		for _, s := range b.ready {
			b.recordCall(s, false)
		}
	}
	bad := b.ready[5]
	for range 4 {
		b.recordCall(bad, true)
	}
	if !bad.ejected {
		t.Error("four failures in a row on a healthy node, and still in service")
	}
}
