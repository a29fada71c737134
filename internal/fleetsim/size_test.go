package fleetsim

import (
	"testing"
	"time"
)

// TestColdServersShareTheWork replaces two of 60 servers a second before 80 nodes, so that
// most are cold, and has ever new keys grow hot. Cold servers stood idle while warm ones were
// overloaded and work was shed: each node had a part of their budgets by its answers from all
// zones, though nodes keep to their own, and no key was kept on a cold server. Saved up
// without bound, the parts of all nodes came together when a key grew hot, and pushed four
// times what it could do at a server.
func TestColdServersShareTheWork(t *testing.T) {
	for seed := range uint64(3) {
		r := play(t, Settings{
			Nodes: 80, Servers: 60, Load: 0.6, For: 30 * time.Second, Seed: seed + 1,
			Restart: 1.01 / 60, RestartEvery: 500 * time.Millisecond, Hot: 0.2,
		})
		t.Logf("seed %d: cores worked %.2f of their time while cold and %.2f otherwise; %.2f%% missed; at most %.1f times its capacity to a cold server",
			seed+1, r.SlowStartUse, r.WarmUse, 100*r.MissedShare(), r.MaxSlowStartLoad)
		if r.SlowStartUse < 0.8*r.WarmUse {
			t.Errorf("cold servers worked %.2f of their time beside %.2f of the others", r.SlowStartUse, r.WarmUse)
		}
		if r.MaxSlowStartLoad > 3.4 { // the multiple of 2.5, and chance: calls of the mean size are counted
			t.Errorf("a cold server was sent %.1f times what it could do", r.MaxSlowStartLoad)
		}
	}
}
