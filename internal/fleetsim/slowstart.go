package fleetsim

import (
	"fmt"
	"time"
)

// SlowStartScenarioKinds are the scenarios that test what all nodes together send to cold servers.
var SlowStartScenarioKinds = []string{"newcomers", "uneven", "hot", "zone", "zone and nodes", "anew"}

// SlowStartScenario returns the settings of one of the SlowStartScenarioKinds: servers that join during a burst, also
// with uneven load and with hot keys; a zone that returns cold, also with its nodes; nodes that all restart at once
// while servers are cold. It returns an error for an unknown kind.
func SlowStartScenario(kind string, nodes, servers int, seed uint64) (Settings, error) {
	set := Settings{Nodes: nodes, Servers: servers, Load: 0.6, Duration: 16 * time.Second, Seed: seed}
	scenario := &set.Scenario
	at := 4 * time.Second
	replaceUnderBurst := func(part float64) {
		scenario.Replace.At, scenario.Replace.Over, scenario.Replace.Part = at, 3*time.Second, part
		scenario.Burst.At, scenario.Burst.For, scenario.Burst.Multiple = at+2*time.Second, 5*time.Second, 1.5
	}
	switch kind {
	case "newcomers":
		replaceUnderBurst(0.4)
	case "uneven":
		replaceUnderBurst(0.4)
		scenario.UnevenLoad = true
	case "hot":
		replaceUnderBurst(0.4)
		scenario.UnevenLoad, set.HotKeyShare = true, 0.2
	case "zone", "zone and nodes":
		set.Outage = ZoneOutage{At: at, For: 3 * time.Second, WithNodes: kind != "zone"}
		scenario.UnevenLoad = true
	case "anew":
		replaceUnderBurst(0.4)
		scenario.UnevenLoad = true
		scenario.NodeRestarts.At, scenario.NodeRestarts.Part, scenario.NodeRestarts.Killed = at+2*time.Second, 1, true
	default:
		return set, fmt.Errorf("unknown scenario %q: want one of %v", kind, SlowStartScenarioKinds)
	}
	return set, nil
}
