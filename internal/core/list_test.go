package core

import (
	"fmt"
	"testing"

	"jasperpin/decide"
)

// mostInOneHold is how many servers of a list may be handled while no request has its turn.
const mostInOneHold = 64

// hostList lists servers of one name and numbers, all ready.
func hostList(name string, n int) []Endpoint {
	all := make([]Endpoint, n)
	for i := range all {
		all[i] = Endpoint{Name: fmt.Sprintf("%s-%d", name, i), Addr: fmt.Sprintf("10.%d.%d.1:80", i>>8, i&255), State: decide.Ready, Capacity: 1}
	}
	return all
}

// TestWholeListLetsRequestsIn has lists of thousands of servers come whole, again, and with all others:
// the pool's lock is never held for more than a few of them at once.
func TestWholeListLetsRequestsIn(t *testing.T) {
	p := scripted(&script{})
	defer p.Close()
	for _, name := range []string{"a", "a", "b"} {
		p.UpdateEndpoints(decide.UpdateFull, hostList(name, 3200))
		if listed, _ := p.Servers(); listed != 3200 {
			t.Errorf("%d servers are listed", listed)
		}
	}
	if d := p.Delays(); d.Named > mostInOneHold {
		t.Errorf("%d servers were named while the lock was held, want %d at the most", d.Named, mostInOneHold)
	}
}

// newcomers is an upstream that looks at its pool whenever a server is new to it.
type newcomers struct {
	script
	look func()
}

func (n *newcomers) AddServer() Server {
	n.look()
	return n
}

// TestDrainsGoAheadOfNewcomers has one list tell of thousands of newcomers and, behind them, of a drain,
// and another leave a server out: both are in force before the first newcomer is known.
func TestDrainsGoAheadOfNewcomers(t *testing.T) {
	look := func() {}
	s := &newcomers{look: func() { look() }}
	p := scripted(&s.script)
	p.set.Upstream = s
	defer p.Close()
	drained := hostList("new", 3200)
	drained = append(drained, Endpoint{Name: "a", Addr: "a:1", State: decide.Draining, Capacity: 1})
	early := 0
	look = func() {
		if p.servers["a"].State == decide.Ready {
			early++
		}
	}
	p.UpdateEndpoints(decide.UpdateDelta, drained)
	if early > 0 {
		t.Errorf("%d newcomers were known ahead of a drain in the same news", early)
	}
	early = 0
	look = func() {
		if p.servers["b"] != nil {
			early++
		}
	}
	p.UpdateEndpoints(decide.UpdateFull, hostList("newer", 3200))
	if early > 0 {
		t.Errorf("%d newcomers were known ahead of the end of a server that the list leaves out", early)
	}
}
