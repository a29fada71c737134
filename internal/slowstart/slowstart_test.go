package slowstart

import (
	"math"
	"testing"
	"time"

	_ "jasperpin/internal/seeded"

	"pgregory.net/rapid"
)

var rule = Rule{Multiple: 2.5, Window: time.Second}

// TestBoundHoldsWithinWindow sends a server the maximum load of a window: a budget of N requests plus 2 *
// sqrt(N) + 2 for chance. This is no overload, nor is one more request once the first has left the
// window. One more within the window is.
func TestBoundHoldsWithinWindow(t *testing.T) {
	const rate = 1.6 // N is 4, the maximum 10
	monitor := Monitor{Rule: rule}
	for i := range 10 {
		monitor.Arrive(time.Duration(i)*90*time.Millisecond, rate, 1, true)
	}
	if monitor.Overload != nil || monitor.WorstExcess.Excess() != 1 || monitor.WorstExcess.Ratio() != 2.5 {
		t.Errorf("ten requests, at most ten allowed: %+v", monitor.WorstExcess)
	}
	if monitor.Arrive(time.Second, rate, 1, true); monitor.Overload != nil {
		t.Errorf("the first request had left the window: %+v", monitor.Overload)
	}
	if monitor.Arrive(1089*time.Millisecond, rate, 1, true); monitor.Overload == nil || !monitor.Overload.OverloadedByInformedNodes() {
		t.Errorf("eleven requests within a second: %+v", monitor.WorstExcess)
	}
}

// TestOverloadCountsAgainstInformedNodes overloads a server by requests of nodes, some of which were
// informed of its start. The nodes are at fault if over two thirds of the requests came from informed
// ones, and only the first overload counts.
func TestOverloadCountsAgainstInformedNodes(t *testing.T) {
	for informed, atFault := range map[int]bool{0: false, 7: false, 8: true, 11: true} {
		monitor := Monitor{Rule: rule}
		for i := range 11 {
			monitor.Arrive(0, 1.6, 1, i < informed)
		}
		if monitor.Overload == nil || monitor.Overload.OverloadedByInformedNodes() != atFault {
			t.Errorf("%d of 11 requests by informed nodes: %+v", informed, monitor.Overload)
		}
		for range 30 {
			monitor.Arrive(time.Millisecond, 1.6, 1, true)
		}
		sum := Totals{}
		sum.Add(&monitor)
		if sum.Starts != 1 || sum.Overloaded != 1 || (sum.OverloadedByInformedNodes == 1) != atFault {
			t.Errorf("%d of 11 requests by informed nodes: %+v", informed, sum)
		}
	}
}

// TestMonitorAgreesWithRecount compares the load of each window, which Monitor updates per request, with
// a sum over all requests.
func TestMonitorAgreesWithRecount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		monitor, at := Monitor{Rule: rule}, time.Duration(0)
		var all []arrival
		worst := math.Inf(-1)
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			at += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			a := arrival{at, float64(rapid.IntRange(0, 12).Draw(t, "quarters")) / 4, rapid.Bool().Draw(t, "informed")}
			all = append(all, a)
			rate := float64(rapid.IntRange(1, 40).Draw(t, "rate")) / 8
			load := monitor.Arrive(at, rate, a.work, a.informed)
			sent, informed := 0.0, 0.0
			for _, earlier := range all {
				if at-earlier.at < rule.Window {
					sent += earlier.work
					if earlier.informed {
						informed += earlier.work
					}
				}
			}
			if load.Sent != sent || load.SentInformed != informed || load.Budget != 2.5*rate {
				t.Fatalf("at %v: %+v, recounted %v, of which %v by informed nodes", at, load, sent, informed)
			}
			worst = max(worst, load.Excess())
		}
		if monitor.WorstExcess.Excess() != worst || (monitor.Overload != nil) != (worst > 1) {
			t.Fatalf("worst excess is %v, monitor has %+v", worst, monitor)
		}
	})
}
