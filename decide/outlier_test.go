package decide

import (
	"testing"
	"time"
)

// setActiveCalls sets a server's calls of the current interval.
func setActiveCalls(s *server, ok, bad float64) { s.active = callCounter{ok, bad} }

// One of ten servers fails nine of twenty calls, the others none. A sweep ejects only that server.
func TestSweepEjectsBySuccessRate(t *testing.T) {
	b, _ := start(testSettings(), 10)
	for _, s := range b.ready {
		setActiveCalls(s, 20, 0)
	}
	setActiveCalls(b.ready[3], 11, 9)
	b.sweepOutliers()
	for i, s := range b.ready {
		if s.ejected != (i == 3) {
			t.Errorf("server %d: ejected is %v, want %v", i, s.ejected, i == 3)
		}
	}
	if b.ready[3].ejectionMultiplier != 1 {
		t.Errorf("ejection multiplier of the outlier is %d, want 1", b.ready[3].ejectionMultiplier)
	}
}

// Servers fail all their calls. In a first sweep too few servers have the request volume, in a second one
// the other servers have too few calls. Neither sweep ejects a server.
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
		t.Errorf("%d servers are ejected below minimum hosts or request volume, want 0", ejectedServers(b))
	}
}

// Every server fails while the node as a whole is healthy. Ejections stop at maxEjectionShare of the
// servers; one ejection is always possible.
func TestEjectionsAreCapped(t *testing.T) {
	for n, want := range map[int]int{2: 1, 10: 3, 40: 12} {
		b, _ := start(testSettings(), n)
		for _, s := range b.ready {
			b.successRate.add(b.now, 100) // the node as a whole is healthy
			for range 10 {
				b.recordCall(s, true)
			}
		}
		if ejectedServers(b) != want {
			t.Errorf("pool of %d servers has %d ejected, want %d", n, ejectedServers(b), want)
		}
	}
}

// A server is ejected twice. It returns after twice the base ejection time, on probation, and the next
// sweep decrements its multiplier.
func TestEjectionEndsAndMultiplierFalls(t *testing.T) {
	b, _ := start(testSettings(), 10)
	srv := b.ready[0]
	b.eject(srv, "test")
	b.eject(srv, "test")
	from := b.now
	for b.now < from+2*baseEjectionTime {
		b.sweepOutliers()
		if !srv.ejected {
			t.Fatalf("server returned from ejection after %v, want %v", b.now-from, 2*baseEjectionTime)
		}
		b.now += outlierInterval
	}
	b.now++
	b.sweepOutliers()
	if srv.ejected || !srv.probation || ejectedServers(b) != 0 {
		t.Fatalf("server has not returned on probation, want it on probation; its state: %+v", srv.outlierState)
	}
	b.now++
	b.sweepOutliers()
	if srv.ejectionMultiplier != 1 {
		t.Errorf("ejection multiplier is %d after a sweep, want 1", srv.ejectionMultiplier)
	}
}

// A node of many sends a server one call every few seconds, and one server fails them all. Its calls must
// carry over from interval to interval, or the request volume would never be reached.
func TestSmallSamplesCarryOver(t *testing.T) {
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
		t.Errorf("failing server is ejected: %v; %d servers are ejected, want 1", b.ready[2].ejected, ejectedServers(b))
	}
}

// Seven of ten calls fail at every server. Ejecting servers would only load the others more, so at most
// one is ejected.
func TestCommonFailureEjectsAtMostOneServer(t *testing.T) {
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
		t.Errorf("%d of 20 servers are ejected while 70%% of calls fail at every server, want at most 1", ejectedServers(b))
	}
}

// A server fails four consecutive calls on a node without other failures. It is ejected at once, before
// the next sweep.
func TestRunOfFailuresEjectsBetweenSweeps(t *testing.T) {
	b, _ := start(testSettings(), 20)
	for range 200 {
		for _, s := range b.ready {
			b.recordCall(s, false)
		}
	}
	failing := b.ready[5]
	for range 4 {
		b.recordCall(failing, true)
	}
	if !failing.ejected {
		t.Error("server with four consecutive failures on a healthy node is not ejected, want it ejected")
	}
}
