package core

import (
	"fmt"
	"testing"

	"jasperpin/decide"
)

// maxBatchSize is how many servers of a list may be applied while requests wait for the pool's lock.
const maxBatchSize = 64

// endpointList returns n ready servers, with the names name-0, name-1 and so on.
func endpointList(name string, n int) []Endpoint {
	all := make([]Endpoint, n)
	for i := range all {
		all[i] = Endpoint{Name: fmt.Sprintf("%s-%d", name, i), Addr: fmt.Sprintf("10.%d.%d.1:80", i>>8, i&255), State: decide.Ready, Capacity: 1}
	}
	return all
}

// TestCompleteListIsAppliedInBatches: complete lists of thousands of servers are applied: one list, the same list
// again, and one of other servers only. The pool's lock is never held for more than a few servers at once, so
// that waiting requests get the lock in between.
func TestCompleteListIsAppliedInBatches(t *testing.T) {
	p := scriptedPool(&scriptedUpstream{})
	defer p.Close()
	for _, name := range []string{"a", "a", "b"} {
		p.UpdateEndpoints(decide.UpdateFull, endpointList(name, 3200))
		if listed, _ := p.CountServers(); listed != 3200 {
			t.Errorf("the pool lists %d servers, want 3200", listed)
		}
	}
	if d := p.Delays(); d.LargestBatch > maxBatchSize {
		t.Errorf("%d servers were applied while the lock was held, want at most %d", d.LargestBatch, maxBatchSize)
	}
}

// observingUpstream calls observe whenever a server is added.
type observingUpstream struct {
	scriptedUpstream
	observe func()
}

func (u *observingUpstream) AddServer() Server {
	u.observe()
	return u
}

// TestEndingServersAreAppliedBeforeNewOnes: a delta lists thousands of new servers and, after them, one that is
// draining; a complete list does not contain a known server. Both changes must be applied before the first new
// server is added, as an ending server must get no more requests.
func TestEndingServersAreAppliedBeforeNewOnes(t *testing.T) {
	observe := func() {}
	s := &observingUpstream{observe: func() { observe() }}
	pool := scriptedPool(&s.scriptedUpstream)
	pool.settings.Upstream = s
	defer pool.Close()
	drained := endpointList("new", 3200)
	drained = append(drained, Endpoint{Name: "a", Addr: "a:1", State: decide.Draining, Capacity: 1})
	early := 0
	observe = func() {
		if pool.servers["a"].State == decide.Ready {
			early++
		}
	}
	pool.UpdateEndpoints(decide.UpdateDelta, drained)
	if early > 0 {
		t.Errorf("%d new servers were added before a server in the same update began to drain, want 0", early)
	}
	early = 0
	observe = func() {
		if pool.servers["b"] != nil {
			early++
		}
	}
	pool.UpdateEndpoints(decide.UpdateFull, endpointList("newer", 3200))
	if early > 0 {
		t.Errorf("%d new servers were added before a server that the list does not contain was removed, want 0", early)
	}
}
