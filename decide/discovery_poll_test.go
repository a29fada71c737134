package decide

import (
	"testing"
	"time"
)

// TestFirstPollsOfManyNodesAreSpread: 300 nodes start at once. Past the first two dozen all polled discovery at
// the same moment, and 276 learned of restarts six seconds late. Their polls are spread evenly.
func TestFirstPollsOfManyNodesAreSpread(t *testing.T) {
	at := make(map[time.Duration]int)
	for i := range 300 {
		set := testSettings()
		set.NodeIndex, set.NodeCount, set.PollDiscovery = i, 300, true
		_, tape := start(set, 1)
		for _, w := range tape.timers {
			if w.token == timerDiscoveryPoll {
				at[(w.at-100*second).Truncate(100*time.Millisecond)]++
			}
		}
	}
	calls := 0
	for when, n := range at {
		if calls += n; n > 20 || when > firstPollSpread {
			t.Errorf("%d first calls within a tenth of a second, %v after the start", n, when)
		}
	}
	if calls != 300 {
		t.Errorf("%d first calls of 300 nodes", calls)
	}
}

// TestFirstPollsAreSpreadAndRetried: 30 nodes start at once, and discovery serves few calls a second. Their
// polls are spread, each polls once, and again after a failure.
func TestFirstPollsAreSpreadAndRetried(t *testing.T) {
	set := testSettings()
	set.PollDiscovery = true
	seen := map[time.Duration]int{}
	for i := range 30 {
		set.NodeIndex = i
		tape := newEffectLog()
		b := New(set, uint64(i), 0, tape)
		for _, w := range tape.timers {
			if w.token != timerDiscoveryPoll {
				continue
			}
			seen[w.at/second]++
			if w.at > set.PollPeriod {
				t.Errorf("node %d asks after %v", i, w.at)
			}
			b.TimerFired(w.at, w.token)
			b.TimerFired(w.at, w.token)
			if tape.watches != 1 {
				t.Errorf("node %d: %d calls", i, tape.watches)
			}
			b.UpdateEndpoints(w.at, UpdateFailed, nil)
			again := tape.timers[len(tape.timers)-1]
			if again.token != timerDiscoveryPoll || again.at <= w.at {
				t.Errorf("node %d does not ask again", i)
			}
		}
	}
	for s, n := range seen {
		if n > 12 {
			t.Errorf("%d of 30 first calls in second %d", n, s)
		}
	}
}
