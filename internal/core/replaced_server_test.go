package core

import (
	"testing"
	"time"

	"jasperpin/decide"
)

// TestServerReplacedAtItsAddressGetsNothing guards against work that goes to the wrong process: a new server is listed at
// the address of one that has ended, before the list says that it has. Attempts for the old one would reach the new one,
// beyond its own part. The old one counts as draining while the new one is listed, and its chosen attempts do not begin.
func TestServerReplacedAtItsAddressGetsNothing(t *testing.T) {
	old := Endpoint{Name: "old", Addr: "a:1", State: decide.Ready, Capacity: 1}
	other := Endpoint{Name: "other", Addr: "a:2", State: decide.Ready, Capacity: 1}
	started := Endpoint{Name: "started", Addr: "a:1", State: decide.Ready, Capacity: 1, StartedAtMS: float64(time.Now().UnixMilli())}
	for name, testCase := range map[string]struct {
		kind  decide.UpdateKind
		begin []Endpoint
		end   []Endpoint
	}{
		"deltas":         {decide.UpdateDelta, []Endpoint{started}, []Endpoint{{Name: "started", State: decide.Gone}}},
		"complete lists": {decide.UpdateFull, []Endpoint{old, other, started}, []Endpoint{old, other}},
		"new address":    {decide.UpdateFull, []Endpoint{started, old, other}, []Endpoint{old, other, {Name: "started", Addr: "a:3", State: decide.Ready, Capacity: 1, StartedAtMS: started.StartedAtMS}}},
	} {
		t.Run(name, func(t *testing.T) {
			pool := NewPool(Settings{Upstream: &recordingUpstream{}, Balancer: decide.Settings{NodeCount: 1, MaxAttempts: 1, Classes: []decide.Class{{PriorityWeight: 1}}}})
			defer pool.Close()
			pool.UpdateEndpoints(decide.UpdateFull, []Endpoint{old, other})
			server := pool.servers["old"]
			chosen := &attempt{server: server, serverEpoch: server.epoch.Load()}
			state := func(name string) decide.ServerState { return pool.balancerServer(pool.servers[name]).State }
			pool.UpdateEndpoints(testCase.kind, testCase.begin)
			if state("old") != decide.Draining || state("started") != decide.Ready || state("other") != decide.Ready {
				t.Errorf("states: old %v, started %v, other %v, want only the old one draining", state("old"), state("started"), state("other"))
			}
			if chosen.serverUnchanged() {
				t.Error("an attempt that was chosen for the old server may begin")
			}
			pool.UpdateEndpoints(testCase.kind, testCase.end)
			if state("old") != decide.Ready {
				t.Errorf("the old server is %v once no other is listed at its address, want it ready", state("old"))
			}
			pool.UpdateEndpoints(decide.UpdateFull, nil)
			if len(pool.serversAt) != 0 {
				t.Errorf("addresses of removed servers are stored: %v", pool.serversAt)
			}
		})
	}
}

// TestServersBehindOneProxyAreAllUsed: more than two servers are listed at one address, as behind a proxy. None of them
// counts as replaced.
func TestServersBehindOneProxyAreAllUsed(t *testing.T) {
	pool := NewPool(Settings{Upstream: &recordingUpstream{}, Balancer: decide.Settings{NodeCount: 1, MaxAttempts: 1, Classes: []decide.Class{{PriorityWeight: 1}}}})
	defer pool.Close()
	now := float64(time.Now().UnixMilli())
	pool.UpdateEndpoints(decide.UpdateFull, []Endpoint{
		{Name: "a", Addr: "p:1", State: decide.Ready, Capacity: 1},
		{Name: "b", Addr: "p:1", State: decide.Ready, Capacity: 1, StartedAtMS: now - 1000},
		{Name: "c", Addr: "p:1", State: decide.Ready, Capacity: 1, StartedAtMS: now},
	})
	for name, server := range pool.servers {
		if state := pool.balancerServer(server).State; state != decide.Ready {
			t.Errorf("server %s is %v, want it ready", name, state)
		}
	}
}
