package decide

import (
	"testing"
	"time"
)

// 300 nodes start at once. All nodes after the first two dozen polled discovery at the same time, and 276
// of them learned of restarts six seconds late. Their first polls must be spread evenly.
func TestFirstPollsOfManyNodesAreSpread(t *testing.T) {
	at := make(map[time.Duration]int)
	for i := range 300 {
		settings := testSettings()
		settings.NodeIndex, settings.NodeCount, settings.PollDiscovery = i, 300, true
		_, effects := start(settings, 1)
		for _, set := range effects.timers {
			if set.token == timerDiscoveryPoll {
				at[(set.at-100*second).Truncate(100*time.Millisecond)]++
			}
		}
	}
	polls := 0
	for when, n := range at {
		if polls += n; n > 20 || when > firstPollSpread {
			t.Errorf("%d first polls within a tenth of a second, %v after the start; want at most 20, within firstPollSpread", n, when)
		}
	}
	if polls != 300 {
		t.Errorf("%d first polls by 300 nodes, want 300", polls)
	}
}

// 30 nodes start at once, and discovery serves few calls per second. Their first polls are spread; each
// node polls once, and again after a failure.
func TestFirstPollsAreSpreadAndRetried(t *testing.T) {
	settings := testSettings()
	settings.PollDiscovery = true
	seen := map[time.Duration]int{}
	for i := range 30 {
		settings.NodeIndex = i
		effects := newEffectLog()
		b := New(settings, uint64(i), 0, effects)
		for _, set := range effects.timers {
			if set.token != timerDiscoveryPoll {
				continue
			}
			seen[set.at/second]++
			if set.at > settings.PollPeriod {
				t.Errorf("node %d polls first after %v, want at most %v", i, set.at, settings.PollPeriod)
			}
			b.TimerFired(set.at, set.token)
			b.TimerFired(set.at, set.token)
			if effects.watches != 1 {
				t.Errorf("node %d polls %d times, want 1", i, effects.watches)
			}
			b.UpdateEndpoints(set.at, UpdateFailed, nil)
			again := effects.timers[len(effects.timers)-1]
			if again.token != timerDiscoveryPoll || again.at <= set.at {
				t.Errorf("node %d does not poll again after a failure, want another poll", i)
			}
		}
	}
	for s, n := range seen {
		if n > 12 {
			t.Errorf("%d of the 30 first polls fall into second %d, want at most 12", n, s)
		}
	}
}
