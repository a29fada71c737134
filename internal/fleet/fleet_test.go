package fleet

import (
	"reflect"
	"testing"
	"time"
)

// TestFleet plays small tiers in every form: one seed plays one run, every request
// ends once, and none that must not runs twice.
func TestFleet(t *testing.T) {
	for name, set := range map[string]Settings{
		"one level":     {Nodes: 4, Servers: 24, Load: 0.75},
		"one planner":   {Nodes: 4, Servers: 24, Load: 0.75, Planners: 1},
		"three by key":  {Nodes: 4, Servers: 24, Load: 0.95, Planners: 3},
		"three by site": {Nodes: 6, Servers: 24, Load: 0.95, SitePlanners: true},
		"restarts":      {Nodes: 4, Servers: 24, Load: 0.6, Restart: 0.1, RestartEvery: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			set.For, set.Seed = 5*time.Second, 7
			a, err := Run(set)
			if err != nil {
				t.Fatal(err)
			}
			if a.Open != 0 || a.Twice != 0 || a.Asked == 0 || len(a.Latencies)+a.Refused+a.Failed != a.Asked {
				t.Errorf("%d asked, %d answered, %d refused, %d failed; %d never ended, %d ran twice", a.Asked, len(a.Latencies), a.Refused, a.Failed, a.Open, a.Twice)
			}
			if a.MissedShare() > 0.6 {
				t.Errorf("%.0f%% missed", 100*a.MissedShare())
			}
			b, err := Run(set)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(a, b) {
				t.Error("one seed plays two runs")
			}
			t.Logf("missed %.2f%%, p99 %v, %.2f attempts a request", 100*a.MissedShare(), a.Quantile(0.99), float64(a.Attempts)/float64(a.Asked))
		})
	}
	if _, err := Run(Settings{}); err == nil {
		t.Error("a fleet of nothing runs")
	}
}
