package slowstart

import (
	"math"
	"testing"
	"time"

	_ "jasperpin/internal/seeded"

	"pgregory.net/rapid"
)

var rule = Rule{Multiple: 2.5, Window: time.Second}

// TestBoundHoldsWithinWindow sends a server as much as it bears within a window: N requests, and 2 x root of N + 2
// for chance. That overloads nothing, nor does one more once the first has left the window; one more within
// the window does.
func TestBoundHoldsWithinWindow(t *testing.T) {
	const rate = 1.6 // N is 4, the bound 10
	w := Monitor{Rule: rule}
	for i := range 10 {
		w.Arrive(time.Duration(i)*90*time.Millisecond, rate, 1, true)
	}
	if w.Overload != nil || w.WorstExcess.Excess() != 1 || w.WorstExcess.Ratio() != 2.5 {
		t.Errorf("ten requests where ten are allowed: %+v", w.WorstExcess)
	}
	if w.Arrive(time.Second, rate, 1, true); w.Overload != nil {
		t.Errorf("the first had left the window: %+v", w.Overload)
	}
	if w.Arrive(1089*time.Millisecond, rate, 1, true); w.Overload == nil || !w.Overload.NodesAtFault() {
		t.Errorf("eleven within a second: %+v", w.WorstExcess)
	}
}

// TestOverloadCountsAgainstInformedNodes overloads a server by nodes of which some were informed of its start. It
// is their fault where over two thirds came from these, and only the first overload counts.
func TestOverloadCountsAgainstInformedNodes(t *testing.T) {
	for informed, atFault := range map[int]bool{0: false, 7: false, 8: true, 11: true} {
		w := Monitor{Rule: rule}
		for i := range 11 {
			w.Arrive(0, 1.6, 1, i < informed)
		}
		if w.Overload == nil || w.Overload.NodesAtFault() != atFault {
			t.Errorf("%d of 11 by informed nodes: %+v", informed, w.Overload)
		}
		for range 30 {
			w.Arrive(time.Millisecond, 1.6, 1, true)
		}
		sum := Totals{}
		sum.Add(&w)
		if sum.Starts != 1 || sum.Overloaded != 1 || (sum.NodesAtFault == 1) != atFault {
			t.Errorf("%d of 11 by informed nodes: %+v", informed, sum)
		}
	}
}

// TestWatchAgreesWithRecount compares each window, as it is kept up request by request, with one that is counted
// from all requests.
func TestWatchAgreesWithRecount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, at := Monitor{Rule: rule}, time.Duration(0)
		var all []arrival
		worst := math.Inf(-1)
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			at += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			a := arrival{at, float64(rapid.IntRange(0, 12).Draw(t, "quarters")) / 4, rapid.Bool().Draw(t, "informed")}
			all = append(all, a)
			rate := float64(rapid.IntRange(1, 40).Draw(t, "rate")) / 8
			p := w.Arrive(at, rate, a.work, a.informed)
			sent, informed := 0.0, 0.0
			for _, o := range all {
				if at-o.at < rule.Window {
					sent += o.work
					if o.informed {
						informed += o.work
					}
				}
			}
			if p.Sent != sent || p.SentInformed != informed || p.Budget != 2.5*rate {
				t.Fatalf("at %v: %+v, recounted %v, of it by informed nodes %v", at, p, sent, informed)
			}
			worst = max(worst, p.Excess())
		}
		if w.WorstExcess.Excess() != worst || (w.Overload != nil) != (worst > 1) {
			t.Fatalf("worst %v, %+v", worst, w)
		}
	})
}
