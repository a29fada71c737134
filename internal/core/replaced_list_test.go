package core

import (
	"context"
	"testing"

	"jasperpin/decide"
)

// hookedUpstream is a scriptedUpstream that calls a function whenever a server is removed or changed.
type hookedUpstream struct {
	*scriptedUpstream
	invalidated func()
}

func (h *hookedUpstream) AddServer() Server { return h }
func (h *hookedUpstream) Invalidate()       { h.invalidated() }

// TestRequestWhileListReplacesAllServers guards against a request that is rejected although servers are listed: a list
// replaces all servers, and the request comes right after the old ones were removed.
func TestRequestWhileListReplacesAllServers(t *testing.T) {
	upstream := &hookedUpstream{invalidated: func() {}, scriptedUpstream: &scriptedUpstream{
		do: func(context.Context, int, string) (decide.Result, *Answer) {
			return decide.OK, &Answer{StatusCode: 200}
		},
	}}
	pool := NewPool(Settings{Upstream: upstream, Balancer: decide.Settings{NodeCount: 1, MaxAttempts: 1, Classes: []decide.Class{{PriorityWeight: 1}}}})
	defer pool.Close()
	listed := func(names ...string) (list []Endpoint) {
		for _, name := range names {
			list = append(list, Endpoint{Name: name, Addr: name + ":1", State: decide.Ready, Capacity: 1})
		}
		return list
	}
	pool.UpdateEndpoints(decide.UpdateFull, listed("a", "b"))
	var request *OpenRequest
	upstream.invalidated = func() {
		if request != nil {
			return
		}
		var err error
		if request, err = submit(pool, "r", 0); err != nil {
			t.Error(err)
		}
	}
	pool.UpdateEndpoints(decide.UpdateFull, listed("c", "d"))
	if request == nil {
		t.Fatal("no server was removed")
	}
	if final := <-request.Final(); final.Status != Served {
		t.Errorf("the request ended with status %v, want %v", final.Status, Served)
	}
}
