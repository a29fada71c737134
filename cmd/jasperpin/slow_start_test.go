package main

import (
	"testing"
	"time"

	"jasperpin/internal/emulator/check"
	"jasperpin/internal/emulator/testbed"
)

// TestSlowStartUnderManyProcesses adds servers to twenty processes under a burst and uneven traffic: in no
// second does a server receive more requests from all processes than the slow-start settings allow, plus a
// margin for chance.
func TestSlowStartUnderManyProcesses(t *testing.T) {
	t.Parallel()
	result := check.Must[*testbed.SlowStartResult](t)(testbed.RunSlowStart(t.Context(), testbed.SlowStartOptions{
		Nodes: 20, Servers: 9, Scenario: "uneven", Dir: t.TempDir(), Seed: 3, StartNode: startServing, WarmUp: 2 * time.Second, Duration: 4 * time.Second,
	}))
	t.Logf("%d starts, minimum budget %.1f: at most %.2f times the budget, exceeding it by %+.2f times the margin for chance; clients missed %.1f%%",
		result.Starts, result.MinBudget, result.WorstRatio, result.WorstExcess, 100*result.ClientTally.Missed())
	if result.Starts != 3 || result.Overloaded > 0 {
		t.Errorf("%d of %d servers in slow start were overloaded, %d of them by nodes that had learned of their start; want 3 starts and none overloaded", result.Overloaded, result.Starts, result.OverloadedByInformedNodes)
	}
}
