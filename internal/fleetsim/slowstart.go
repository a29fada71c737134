package fleetsim

import (
	"fmt"
	"time"
)

// SlowStartKinds are the days that try what cold servers are sent by all nodes together.
var SlowStartKinds = []string{"newcomers", "uneven", "hot", "zone", "zone and nodes", "anew"}

// SlowStartDay is a day of such a kind: servers that join under a burst, also with uneven traffic
// and with hot keys; a zone that comes back cold, also with its nodes; nodes that all begin anew
// at once while servers are cold. It fails for a kind that there is not.
func SlowStartDay(kind string, nodes, servers int, seed uint64) (Settings, error) {
	set := Settings{Nodes: nodes, Servers: servers, Load: 0.6, For: 16 * time.Second, Seed: seed}
	m := &set.FleetDay
	at := 4 * time.Second
	join := func(part float64) {
		m.Replace.At, m.Replace.Over, m.Replace.Part = at, 3*time.Second, part
		m.Burst.At, m.Burst.For, m.Burst.Times = at+2*time.Second, 5*time.Second, 1.5
	}
	switch kind {
	case "newcomers":
		join(0.4)
	case "uneven":
		join(0.4)
		m.Uneven = true
	case "hot":
		join(0.4)
		m.Uneven, set.Hot = true, 0.2
	case "zone", "zone and nodes":
		set.Lost = Loss{At: at, For: 3 * time.Second, Nodes: kind != "zone"}
		m.Uneven = true
	case "anew":
		join(0.4)
		m.Uneven = true
		m.Anew.At, m.Anew.Part, m.Anew.Killed = at+2*time.Second, 1, true
	default:
		return set, fmt.Errorf("no day %q: want one of %v", kind, SlowStartKinds)
	}
	return set, nil
}
