package fleetsim

import "testing"

// TestColdServersHold plays the days that try cold servers, small: under the sum of all nodes none is
// sent more within a second than the settings allow it, and chance.
func TestColdServersHold(t *testing.T) {
	for _, kind := range SlowStartKinds {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			set, err := SlowStartDay(kind, 90, 30, 1)
			if err != nil {
				t.Fatal(err)
			}
			r := play(t, set)
			c := r.SlowStartCalls
			t.Logf("%d starts, the least budget %.1f: at most %.2f budgets, %+.2f of what is chance beyond them; by work %.2f, %+.2f",
				c.Starts, c.MinBudget, c.WorstRatio, c.WorstExcess, r.SlowStartWork.WorstRatio, r.SlowStartWork.WorstExcess)
			if c.Starts < 8 || c.Overloaded > 0 {
				t.Errorf("%d of %d cold servers were pushed over, %d by nodes that had been told", c.Overloaded, c.Starts, c.OverloadedByInformedNodes)
			}
		})
	}
	if _, err := SlowStartDay("doom", 90, 30, 1); err == nil {
		t.Error("a day of no kind is played")
	}
}
