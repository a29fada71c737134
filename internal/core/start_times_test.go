package core

import (
	"testing"
	"testing/synctest"
	"time"

	"jasperpin/decide"
)

// TestStartTimesAreBoundedByEndpointLists: servers start while the node runs, on machines whose clocks differ from
// the node's by up to an hour. A start time must be neither before the lists that did not contain the server,
// allowing for their delay, nor after the server was listed.
func TestStartTimesAreBoundedByEndpointLists(t *testing.T) {
	const delay = 6 * time.Second // longest delay of an endpoint list
	for name, testCase := range map[string]struct {
		skew time.Duration // difference of the servers' clocks relative to the node's
		kind decide.UpdateKind
	}{
		"node's clock is ahead, delta":              {-time.Hour, decide.UpdateDelta},
		"node's clock is ahead, complete list":      {-time.Hour, decide.UpdateFull},
		"node's clock is behind, delta":             {time.Hour, decide.UpdateDelta},
		"node's clock is behind, complete list":     {time.Hour, decide.UpdateFull},
		"clocks agree, delta":                       {0, decide.UpdateDelta},
		"clocks differ by a second, delta":          {-time.Second, decide.UpdateDelta},
		"node's clock is 3 s behind, complete list": {3 * time.Second, decide.UpdateFull},
	} {
		synctest.Test(t, func(t *testing.T) {
			pool := NewPool(Settings{Upstream: &recordingUpstream{}, Balancer: decide.Settings{NodeCount: 1, MaxAttempts: 1, Classes: []decide.Class{{PriorityWeight: 1}}}})
			defer pool.Close()
			at := func(born time.Time) float64 { return float64(born.Add(testCase.skew).UnixMilli()) }
			old := Endpoint{Name: "old", Addr: "a:1", State: decide.Ready, Capacity: 1}
			again := Endpoint{Name: "again", Addr: "a:2", State: decide.Ready, Capacity: 1, StartedAtMS: at(time.Now().Add(-time.Hour))}
			pool.UpdateEndpoints(decide.UpdateFull, []Endpoint{old, again})
			time.Sleep(time.Minute) // of virtual time
			pool.UpdateEndpoints(decide.UpdateFull, []Endpoint{old, again})
			time.Sleep(2 * time.Second)
			born := time.Now()
			time.Sleep(time.Second)
			again.StartedAtMS = at(born)
			fresh := Endpoint{Name: "fresh", Addr: "a:3", State: decide.Ready, Capacity: 1, StartedAtMS: at(born)}
			pool.UpdateEndpoints(testCase.kind, []Endpoint{old, again, fresh})
			listedAt := time.Now()
			for _, kind := range []decide.UpdateKind{decide.UpdateDelta, decide.UpdateFull} { // must not change start times
				for _, server := range []string{"again", "fresh"} {
					since := pool.wallTime(pool.balancerServer(pool.servers[server]).StartedAt)
					if since.After(listedAt) || since.Before(listedAt.Add(-3*time.Second-delay)) {
						t.Errorf("%s: server %s has a start time %v before it was listed, want one within the bounds of the lists", name, server, listedAt.Sub(since))
					}
					if testCase.skew == 0 && !since.Equal(born) {
						t.Errorf("%s: start time of %s is %v after its actual start, want the actual start", name, server, since.Sub(born))
					}
				}
				time.Sleep(10 * time.Second)
				pool.UpdateEndpoints(kind, []Endpoint{old, again, fresh})
			}
		})
	}
}

// TestStartTimesSurviveSnapshot: a pool restores the snapshot of another, in a process whose clock has another
// origin. The ages of servers stay the same.
func TestStartTimesSurviveSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := Settings{Upstream: &recordingUpstream{}, Balancer: decide.Settings{NodeCount: 1, MaxAttempts: 1, Classes: []decide.Class{{PriorityWeight: 1}}}}
		first := NewPool(settings)
		defer first.Close()
		first.UpdateEndpoints(decide.UpdateFull, []Endpoint{{Name: "old", Addr: "a:1", State: decide.Ready, Capacity: 1}})
		time.Sleep(time.Minute) // of virtual time
		ahead := float64(time.Now().Add(-time.Hour).UnixMilli())
		fresh := Endpoint{Name: "fresh", Addr: "a:2", State: decide.Ready, Capacity: 1, StartedAtMS: ahead}
		first.UpdateEndpoints(decide.UpdateDelta, []Endpoint{fresh})
		time.Sleep(2 * time.Second)

		m := first.Snapshot()
		settings.Snapshot, settings.Shared = &m, NewSharedState(time.Now().Add(-time.Hour)) // the wall clock was stepped
		next := NewPool(settings)
		defer next.Close()
		next.UpdateEndpoints(decide.UpdateCached, m.Endpoints)
		if age := time.Since(next.wallTime(next.balancerServer(next.servers["fresh"]).StartedAt)); age != 2*time.Second {
			t.Errorf("the server's age is %v, want 2s", age)
		}
		next.UpdateEndpoints(decide.UpdateFull, m.Endpoints)
		if age := time.Since(next.wallTime(next.balancerServer(next.servers["fresh"]).StartedAt)); age != 2*time.Second {
			t.Errorf("after a complete list the server's age is %v, want 2s", age)
		}
	})
}
