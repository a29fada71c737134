package fleetsim

import (
	"fmt"
	"testing"
	"time"
)

// TestLostSiteComesBackCold has a third of the servers fall silent and come back cold, the
// list telling of it a second later. Taken for as warm as before by every node at once,
// most of them were sent three to six times what they could do before anybody was told; with
// nodes that begin anew beside them one to four of 34 still were on two seeds of three.
func TestLostSiteComesBackCold(t *testing.T) {
	for seed := range uint64(6) {
		nodes := seed > 0
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := play(t, Settings{
				Nodes: 150, Servers: 102, Load: 0.6, For: 11 * time.Second, Seed: seed + 1,
				Lost: Loss{At: 2 * time.Second, For: 6 * time.Second, Nodes: nodes},
			})
			t.Logf("nodes lost %v: %d of 34 fell, at most %.1f times their capacity; %.1f%% missed, %.2f crossed", nodes, r.Overloaded, r.BackMost, 100*r.MissedShare(), float64(r.Crossed)/float64(r.Attempts))
			if r.Overloaded > 0 {
				t.Errorf("%d cold servers were pushed over, one with %.1f times its capacity", r.Overloaded, r.BackMost)
			}
			if r.MissedShare() > 0.05 && !nodes { // 18% without the doubt
				t.Errorf("%.1f%% missed", 100*r.MissedShare())
			}
		})
	}
}

// TestDays plays the six days of the operators' trial, smaller. With an even seed a lost zone's
// nodes die with it.
func TestDays(t *testing.T) {
	for _, kind := range Kinds {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			set, err := Day(kind, 60, 45, 2)
			if err != nil {
				t.Fatal(err)
			}
			r := play(t, set)
			t.Logf("%d asked, %.2f%% missed, %d found no node, cold at most %.1f, %d fell, %d of %d calls failed, %.2f connections an attempt",
				r.Asked, 100*r.MissedShare(), r.Unmet, r.MaxSlowStartLoad, r.Overloaded, r.CallsFailed, r.Calls, float64(r.Connects)/float64(r.Attempts))
			for _, b := range r.Violations(kind, set) {
				t.Error(b)
			}
		})
	}
	if _, err := Day("doom", 60, 45, 1); err == nil {
		t.Error("a day of no kind is played")
	}
}
