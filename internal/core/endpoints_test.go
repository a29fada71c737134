package core

import (
	"fmt"
	"testing"

	"jasperpin/decide"
)

// mostInOneHold is how many servers of a list may be applied while requests wait for the pool's lock.
const mostInOneHold = 64

// endpointList lists n ready servers, name-0 and on.
func endpointList(name string, n int) []Endpoint {
	all := make([]Endpoint, n)
	for i := range all {
		all[i] = Endpoint{Name: fmt.Sprintf("%s-%d", name, i), Addr: fmt.Sprintf("10.%d.%d.1:80", i>>8, i&255), State: decide.Ready, Capacity: 1}
	}
	return all
}

// TestWholeListIsAppliedInBatches: whole lists of thousands of servers come, once more the same and then
// with all others. The pool's lock is never held for more than a few servers at once, so that requests
// get their turn.
func TestWholeListIsAppliedInBatches(t *testing.T) {
	p := scriptedPool(&scriptedUpstream{})
	defer p.Close()
	for _, name := range []string{"a", "a", "b"} {
		p.UpdateEndpoints(decide.UpdateFull, endpointList(name, 3200))
		if listed, _ := p.CountServers(); listed != 3200 {
			t.Errorf("%d servers are listed", listed)
		}
	}
	if d := p.Delays(); d.LargestBatch > mostInOneHold {
		t.Errorf("%d servers were named while the lock was held, want %d at the most", d.LargestBatch, mostInOneHold)
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

// TestEndingServersAreAppliedBeforeNewOnes: one update names thousands of new servers and, behind them,
// one that drains; a whole list leaves a server out. Both are in force before the first new server is
// added: nothing more must be sent to a server that is on its way out.
func TestEndingServersAreAppliedBeforeNewOnes(t *testing.T) {
	look := func() {}
	s := &observingUpstream{observe: func() { look() }}
	p := scriptedPool(&s.scriptedUpstream)
	p.settings.Upstream = s
	defer p.Close()
	drained := endpointList("new", 3200)
	drained = append(drained, Endpoint{Name: "a", Addr: "a:1", State: decide.Draining, Capacity: 1})
	early := 0
	look = func() {
		if p.servers["a"].State == decide.Ready {
			early++
		}
	}
	p.UpdateEndpoints(decide.UpdateDelta, drained)
	if early > 0 {
		t.Errorf("%d new servers were added before a drain in the same update", early)
	}
	early = 0
	look = func() {
		if p.servers["b"] != nil {
			early++
		}
	}
	p.UpdateEndpoints(decide.UpdateFull, endpointList("newer", 3200))
	if early > 0 {
		t.Errorf("%d new servers were added before the removal of one that the list leaves out", early)
	}
}
