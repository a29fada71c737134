package decide

import (
	"testing"
	"time"
)

// 300 nodes start at once. Past the first two dozen all polled discovery at the same moment, and 276
// learned of restarts six seconds late. Their polls are spread evenly.
func TestFirstPollsOfManyNodesAreSpread(t *testing.T) {
	at := make(map[time.Duration]int)
	for i := range 300 {
		settings := testSettings()
		settings.NodeIndex, settings.NodeCount, settings.PollDiscovery = i, 300, true
		_, effects := start(settings, 1)
		for _, w := range effects.timers {
			if w.token == timerDiscoveryPoll {
				at[(w.at-100*second).Truncate(100*time.Millisecond)]++
			}
		}
	}
	polls := 0
	for when, n := range at {
		if polls += n; n > 20 || when > firstPollSpread {
			t.Errorf("%d first polls within a tenth of a second, %v after the start", n, when)
		}
	}
	if polls != 300 {
		t.Errorf("%d first polls of 300 nodes", polls)
	}
}

// 30 nodes start at once, and discovery serves few calls a second. Their polls are spread, each polls once,
// and again after a failure.
func TestFirstPollsAreSpreadAndRetried(t *testing.T) {
	settings := testSettings()
	settings.PollDiscovery = true
	seen := map[time.Duration]int{}
	for i := range 30 {
		settings.NodeIndex = i
		effects := newEffectLog()
		b := New(settings, uint64(i), 0, effects)
		for _, w := range effects.timers {
			if w.token != timerDiscoveryPoll {
				continue
			}
			seen[w.at/second]++
			if w.at > settings.PollPeriod {
				t.Errorf("node %d polls after %v", i, w.at)
			}
			b.TimerFired(w.at, w.token)
			b.TimerFired(w.at, w.token)
			if effects.watches != 1 {
				t.Errorf("node %d: %d calls", i, effects.watches)
			}
			b.UpdateEndpoints(w.at, UpdateFailed, nil)
			again := effects.timers[len(effects.timers)-1]
			if again.token != timerDiscoveryPoll || again.at <= w.at {
				t.Errorf("node %d does not poll again", i)
			}
		}
	}
	for s, n := range seen {
		if n > 12 {
			t.Errorf("%d of 30 first polls in second %d", n, s)
		}
	}
}
