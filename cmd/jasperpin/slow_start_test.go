package main

import (
	"testing"
	"time"

	"jasperpin/internal/emulator/check"
	"jasperpin/internal/emulator/testbed"
)

// TestSlowStartUnderManyProcesses has servers join twenty processes under a burst and uneven
// traffic: none gets more within a second, from all of them, than the settings allow in slow start,
// and chance.
func TestSlowStartUnderManyProcesses(t *testing.T) {
	t.Parallel()
	r := check.Must[*testbed.SlowStartResult](t)(testbed.RunSlowStart(t.Context(), testbed.SlowStartOptions{
		Nodes: 20, Servers: 9, Scenario: "uneven", Dir: t.TempDir(), Seed: 3, StartNode: startServing, CalmFor: 2 * time.Second, WatchFor: 4 * time.Second,
	}))
	t.Logf("%d starts, the least budget %.1f: at most %.2f budgets, %+.2f of what is chance beyond them; clients missed %.1f%%",
		r.Starts, r.MinBudget, r.WorstRatio, r.WorstExcess, 100*r.Clients.Missed())
	if r.Starts != 3 || r.Overloaded > 0 {
		t.Errorf("%d of %d servers in slow start were overloaded, %d by nodes that knew of their start", r.Overloaded, r.Starts, r.NodesAtFault)
	}
}
