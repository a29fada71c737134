package fleetsim

import (
	"testing"
	"time"
)

// TestColdServersShareTheWork restarts two of the 60 servers behind 80 nodes every second, so that most servers are
// cold, and makes ever new keys hot. Cold servers were idle while warm ones were overloaded and requests were
// rejected: each node's part of the slow-start budgets followed its answers from all zones, although nodes
// prefer their own zone, and no key had affinity to a cold server. When nodes saved up their parts without
// bound, they spent them together as a key grew hot, and sent a server four times its capacity.
func TestColdServersShareTheWork(t *testing.T) {
	for seed := range uint64(3) {
		r := play(t, Settings{
			Nodes: 80, Servers: 60, Load: 0.6, Duration: 30 * time.Second, Seed: seed + 1,
			RestartShare: 1.01 / 60, RestartEvery: 500 * time.Millisecond, HotKeyShare: 0.2,
		})
		t.Logf("seed %d: cores busy for %.2f of their time in slow start and %.2f otherwise; %.2f%% missed; at most %.1f times its capacity to a cold server",
			seed+1, r.SlowStartUse, r.WarmUse, 100*r.MissedShare(), r.MaxSlowStartLoad)
		if r.SlowStartUse < 0.8*r.WarmUse {
			t.Errorf("cold servers were busy for %.2f of their time, want at least 0.8 times the %.2f of other servers", r.SlowStartUse, r.WarmUse)
		}
		if r.MaxSlowStartLoad > 3.4 { // the multiple of 2.5, and an allowance for chance: each request counts with the mean work
			t.Errorf("a cold server was sent %.1f times its capacity within a second, want at most 3.4", r.MaxSlowStartLoad)
		}
	}
}
