package fleetsim

import "testing"

// TestColdServersHold runs the slow-start scenarios with a small fleet: all nodes together send no cold server more
// within a second than its budget, allowing for chance.
func TestColdServersHold(t *testing.T) {
	for _, kind := range SlowStartScenarioKinds {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			set, err := SlowStartScenario(kind, 90, 30, 1)
			if err != nil {
				t.Fatal(err)
			}
			r := play(t, set)
			c := r.SlowStartCalls
			t.Logf("%d starts, smallest budget %.1f; by requests: highest ratio %.2f, highest excess %+.2f; by work: %.2f, %+.2f",
				c.Starts, c.MinBudget, c.WorstRatio, c.WorstExcess, r.SlowStartWork.WorstRatio, r.SlowStartWork.WorstExcess)
			if c.Starts < 8 || c.Overloaded > 0 {
				t.Errorf("%d of %d cold servers were overloaded, %d by nodes that knew their start time; want none, and at least 8 cold servers", c.Overloaded, c.Starts, c.OverloadedByInformedNodes)
			}
		})
	}
	if _, err := SlowStartScenario("doom", 90, 30, 1); err == nil {
		t.Error("the unknown scenario kind doom was accepted, want an error")
	}
}
